"""Runs a gateway with its listening ports and timers."""

import dataclasses
import random
import typing

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft import immediate_write
from godwitloft.gateway import gateway as gateways
from godwitloft.gateway import model
from godwitloft.gateway import overload_guard
from godwitloft.gateway import refusals
from godwitloft.gateway import request as requests
from godwitloft.gateway import stop_report
from godwitloft.gateway.callers import http_server
from godwitloft.runtime import polling

TICK_INTERVAL_MS = 25
TIMEOUT_CHECK_INTERVAL_MS = 500
ANNOUNCE_CHECK_INTERVAL_MS = 50
GUARD_INTERVAL_MS = 100
OVERLOADED = "gateway_overloaded"
# Another gateway may have room at once.
MAX_OVERLOADED_RETRY_MS = 700
READY_PATH = b"/ready"
METRICS_PATH = b"/metrics"
METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


@dataclasses.dataclass(frozen=True)
class ConfigurationSource:
    """Source of a gateway's configuration and upstreams.

    :param start: starts to watch the source for changes
    :param stop: stops to watch it
    """

    start: typing.Callable[[], None]
    stop: typing.Callable[[], None]


@dataclasses.dataclass(frozen=True)
class ListenOptions:
    """Addresses on which a gateway listens.

    :param host: IP number
    :param caller_port: port for callers
    :param ready_port: port of the balancer's readiness check, None for none
    :param metrics_port: port of the metrics, None for none
    :param render_metrics: returns the metrics as Prometheus text
    :param backlog: maximum number of connections that wait to be accepted
    """

    host: str
    caller_port: int
    ready_port: int | None
    metrics_port: int | None = None
    render_metrics: typing.Callable[[], bytes] = bytes
    backlog: int = 1024


class GatewayDaemon:
    """Runs a gateway until it is drained.

    :param reactor: the twisted reactor
    :param clock: source of the time
    :param gateway: owns the requests
    :param source: source of configuration and upstreams
    :param listen: addresses on which it listens
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: clocks.Clock,
        gateway: gateways.Gateway,
        source: ConfigurationSource,
        listen: ListenOptions,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.gateway = gateway
        self.source = source
        self.listen = listen
        self.on_drained: typing.Callable[[], None] = _do_nothing
        self.stopped = False
        self.closing = False
        self.ports: list[typing.Any] = []
        self.ticks = 0
        # When the timer was to be called next.
        self.due_ms = clock.monotonic_ms()
        self.guard = overload_guard.OverloadGuard(self.due_ms)
        # How late the timer was at most since the guard has last looked.
        self.latest_ms = 0
        self.rng = random.Random()
        # Called with whether the process is busy, when that changes.
        self.on_busy: typing.Callable[[bool], None] = _ignore_busy
        # Number of ticks between calls, and what is called.
        self.periodic_work: list[tuple[int, typing.Callable[[], None]]] = []
        self.caller_factory = http_server.HttpServerFactory(
            http_server.ConnectionCallbacks(
                on_request=self.on_request,
                on_refused=gateway.reports.count_unreadable,
                limits=gateway.config_state.limits,
                closing=lambda: self.closing,
                on_left_unread=lambda count: stop_report.report_left_unread(
                    count, gateway.shutdown
                ),
            ),
            clock,
            gateway.options.max_held_bytes,
        )
        self.ready_factory = self.internal_factory(self.answer_ready)
        self.metrics_factory = self.internal_factory(self.answer_metrics)

    def internal_factory(
        self, answer: typing.Callable[[http_server.Exchange], None]
    ) -> http_server.HttpServerFactory:
        """Returns the factory for a port that isn't for callers.

        :param answer: answers its requests
        :return: a factory of connections
        """
        callbacks = http_server.ConnectionCallbacks(
            on_request=answer,
            on_refused=self.gateway.reports.count_unreadable,
            limits=model.CallerLimits,
            closing=lambda: False,
        )
        return http_server.HttpServerFactory(
            callbacks, self.clock, self.gateway.options.max_held_bytes
        )

    def start(self) -> int:
        """Opens the ports and starts all timers.

        :return: the port for callers
        """
        listen = self.listen
        caller_port = self.reactor.listenTCP(
            listen.caller_port,
            self.caller_factory,
            listen.backlog,
            listen.host,
        )
        self.ports.append(caller_port)
        for port, factory in (
            (listen.ready_port, self.ready_factory),
            (listen.metrics_port, self.metrics_factory),
        ):
            if port is not None:
                self.ports.append(
                    self.reactor.listenTCP(
                        port, factory, interface=listen.host
                    )
                )
        self.source.start()
        self.call_every(TICK_INTERVAL_MS, self.guard_load)
        self.call_every(TICK_INTERVAL_MS, self.gateway.tick)
        self.call_every(ANNOUNCE_CHECK_INTERVAL_MS, self.gateway.announce)
        for factory in (
            self.caller_factory,
            self.ready_factory,
            self.metrics_factory,
        ):
            self.call_every(TIMEOUT_CHECK_INTERVAL_MS, factory.check_timeouts)
        self.run_periodic_work()
        events.log(
            events.STARTED,
            instance=self.gateway.options.instance,
            zone=self.gateway.options.zone,
        )
        return int(caller_port.getHost().port)

    def call_every(
        self, interval_ms: int, work: typing.Callable[[], None]
    ) -> None:
        """Calls a function periodically until the daemon is stopped.

        :param interval_ms: time between calls, in whole ticks
        :param work: the function
        """
        ticks = interval_ms // TICK_INTERVAL_MS
        self.periodic_work.append((ticks, work))

    def run_periodic_work(self) -> None:
        """Calls the functions that are due, and those of later ticks.

        All share one timer, as each wakes the process.
        """
        if self.stopped:
            return
        started_ms = self.clock.monotonic_ms()
        self.latest_ms = max(self.latest_ms, started_ms - self.due_ms)
        self.due_ms = started_ms + TICK_INTERVAL_MS
        for ticks, work in self.periodic_work:
            if self.ticks % ticks:
                continue
            try:
                work()
            except Exception as problem:
                events.log_error(events.INTERNAL_ERROR, problem, task="timer")
        self.ticks += 1
        self.reactor.callLater(
            TICK_INTERVAL_MS / clocks.MS_PER_S, self.run_periodic_work
        )

    def guard_load(self) -> None:
        """Adapts to the load which part of new requests is refused unread."""
        state = self.gateway.config_state
        now_ms = self.clock.monotonic_ms()
        if now_ms - self.guard.observed_ms < GUARD_INTERVAL_MS:
            return
        age_ms = state.confirmation_age_ms(now_ms)
        proof_share = 0.0
        if state.key_proof_ms > 0 and age_ms is not None:
            proof_share = age_ms / state.key_proof_ms
        load = overload_guard.Load(
            late_ms=self.latest_ms,
            unsent_bytes=sum(
                immediate_write.unsent_bytes(connection.transport)
                for connection in self.caller_factory.connections
            ),
            proof_share=proof_share,
        )
        self.latest_ms = 0
        was_busy = self.guard.busy
        self.guard.observe(load, now_ms)
        busy = self.guard.busy
        if busy != was_busy:
            self.on_busy(busy)
            events.log(
                events.GATEWAY_SATURATED, sheds=busy, **self.load_fields()
            )

    def load_fields(self) -> dict[str, typing.Any]:
        """Returns what the guard's decision is based on, for the log."""
        load = self.guard.load
        return {
            "late_ms": round(self.guard.late_ms),
            "unsent_bytes": load.unsent_bytes,
            "proof_share": round(load.proof_share, 2),
            "shed_share": round(self.guard.share, 2),
        }

    def on_request(self, exchange: http_server.Exchange) -> None:
        """Passes a request to the gateway, or refuses it unread.

        A stream that its caller takes up again is let in: what has come of it
        would be lost.

        :param exchange: a complete request
        """
        if not self.guard.sheds(self.rng.random()):
            self.gateway.on_request(exchange)
            return
        dialect = self.gateway.dialect
        if requests.read_resumed_id(exchange, dialect) is not None:
            self.gateway.on_request(exchange)
            return
        left_ms = requests.read_time_left(exchange, dialect)
        longest_ms = float(MAX_OVERLOADED_RETRY_MS)
        if left_ms is not None:
            longest_ms = min(longest_ms, left_ms / 3)
        refusal = refusals.Refusal(
            503,
            OVERLOADED,
            int(longest_ms * self.rng.uniform(0.5, 1.0)),
            self.load_fields(),
        )
        request_id = exchange.header(dialect.request_id) or b""
        self.gateway.reports.report_unadmitted(
            request_id.decode("latin-1"), refusal
        )
        refusals.answer(exchange, refusal)

    def answer_ready(self, exchange: http_server.Exchange) -> None:
        """Answers the balancer's readiness check.

        :param exchange: the request
        """
        path = exchange.target.partition(b"?")[0]
        if path != READY_PATH:
            exchange.respond(404, [])
        else:
            exchange.respond(200 if self.gateway.ready() else 503, [])

    def answer_metrics(self, exchange: http_server.Exchange) -> None:
        """Answers a request for the metrics.

        :param exchange: the request
        """
        path = exchange.target.partition(b"?")[0]
        if path != METRICS_PATH:
            exchange.respond(404, [])
            return
        kind = (b"content-type", METRICS_TYPE)
        exchange.respond(200, [kind], self.listen.render_metrics())

    def is_draining(self) -> bool:
        """Returns whether it drains."""
        return self.gateway.shutdown.has_begun

    def drain(self, done: typing.Callable[[], None]) -> None:
        """Shuts down without interrupting answers.

        Connections are closed only after the balancer has had time to notice
        that the gateway isn't ready, each after its current answer.

        :param done: called once the process may end
        """
        options = self.gateway.options
        end_ms = self.clock.monotonic_ms() + options.drain_limit_ms
        self.gateway.start_draining(end_ms)
        self.reactor.callLater(
            options.balancer_notice_ms / clocks.MS_PER_S,
            self.close,
            end_ms,
            done,
        )
        self.reactor.callLater(
            options.last_accept_ms / clocks.MS_PER_S, self.stop_accepting
        )

    def stop_accepting(self) -> None:
        """Refuses requests from now on, and reads answers to their ends."""
        self.gateway.stop_accepting()
        self.caller_factory.read_ahead()

    def close(self, end_ms: int, done: typing.Callable[[], None]) -> None:
        """Closes connections between answers, and waits for the last answer.

        An answer has ended once the kernel has all of it: what its caller has
        not read yet may still be in this process. A request that has arrived
        in part is waited for, as its caller may be about to send the rest.

        :param end_ms: when the process must end
        :param done: called once the process may end
        """
        options = self.gateway.options
        self.closing = True
        self.caller_factory.close_idle()
        remaining_ms = max(0, end_ms - self.clock.monotonic_ms())
        started_ms = self.clock.monotonic_ms()

        def is_idle() -> bool:
            all_closed = self.caller_factory.close_all()
            return all_closed and not self.gateway.has_requests()

        def end(in_time: bool) -> None:
            fields = {
                "finished": in_time,
                "left": self.gateway.unfinished(),
                "unsent": self.caller_factory.count_closing(),
                "took_ms": self.clock.monotonic_ms() - started_ms,
            }
            self.gateway.stop_accepting()
            self.gateway.end_all()

            def on_flushed(_in_time: bool) -> None:
                try:
                    self.report_stop(fields)
                finally:
                    done()

            polling.wait_until(
                self.reactor,
                self.caller_factory.close_all,
                options.flush_limit_ms,
                on_flushed,
            )

        polling.wait_until(self.reactor, is_idle, remaining_ms, end)

    def report_stop(self, fields: typing.Mapping[str, typing.Any]) -> None:
        """Logs the end of a planned stop, and what callers did not get.

        :param fields: what was found when it had no more time
        """
        shutdown = self.gateway.shutdown
        stop_report.report_connections(
            self.caller_factory.connections, self.gateway.dialect, shutdown
        )
        events.log(
            events.STOPPED,
            **fields,
            unsent_at_end=self.caller_factory.count_closing(),
            **shutdown.log_fields(),
            ended=dict(shutdown.ended),
        )

    def stop(self) -> None:
        """Stops timers, ports and the source at once."""
        self.stopped = True
        self.source.stop()
        for port in self.ports:
            port.stopListening()


def _do_nothing() -> None:
    pass


def _ignore_busy(_busy: bool) -> None:
    pass
