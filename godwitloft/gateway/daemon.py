"""A gateway with its listeners and timers."""

import dataclasses
import typing

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway import front
from godwitloft.gateway import gateway as gateways
from godwitloft.gateway import model
from godwitloft.runtime import waiting

TICK_INTERVAL_MS = 25
AGE_INTERVAL_MS = 500
TELL_CHECK_INTERVAL_MS = 50
READY_PATH = b"/ready"
METRICS_PATH = b"/metrics"
METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


@dataclasses.dataclass(frozen=True)
class Source:
    """What tells a gateway its configuration and upstreams.

    :param start: begins to follow
    :param stop: ends it
    """

    start: typing.Callable[[], None]
    stop: typing.Callable[[], None]


@dataclasses.dataclass(frozen=True)
class Listen:
    """Where a gateway listens.

    :param host: IP number
    :param front_port: for callers
    :param ready_port: for the balancer's question, None for nowhere
    :param metrics_port: for metrics, None for nowhere
    :param render_metrics: returns the counts as Prometheus text
    :param backlog: connections that wait to be accepted
    """

    host: str
    front_port: int
    ready_port: int | None
    metrics_port: int | None = None
    render_metrics: typing.Callable[[], bytes] = bytes
    backlog: int = 1024


class GatewayDaemon:
    """Runs a gateway until it is told to leave.

    :param reactor: the twisted reactor
    :param clock: tells the time
    :param gateway: the task that owns the requests
    :param source: tells it what it serves
    :param listen: where it listens
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: clocks.Clock,
        gateway: gateways.Gateway,
        source: Source,
        listen: Listen,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.gateway = gateway
        self.source = source
        self.listen = listen
        self.on_left: typing.Callable[[], None] = _nothing
        self.stopped = False
        self.closing = False
        self.ports: list[typing.Any] = []
        self.front = front.FrontFactory(
            front.FrontOwner(
                on_request=gateway.on_request,
                on_refused=gateway.reports.unreadable,
                limits=gateway.knowledge.limits,
                closing=lambda: self.closing,
            ),
            clock,
        )
        self.ready = self.side_factory(self.answer_ready)
        self.metrics = self.side_factory(self.answer_metrics)

    def side_factory(
        self, answer: typing.Callable[[front.Exchange], None]
    ) -> front.FrontFactory:
        """Returns what serves a port that isn't for callers.

        :param answer: answers its requests
        :return: a factory of connections
        """
        owner = front.FrontOwner(
            on_request=answer,
            on_refused=self.gateway.reports.unreadable,
            limits=model.CallerLimits,
            closing=lambda: False,
        )
        return front.FrontFactory(owner, self.clock)

    def start(self) -> int:
        """Listens and starts all timers.

        :return: the port for callers
        """
        listen = self.listen
        front_port = self.reactor.listenTCP(
            listen.front_port, self.front, listen.backlog, listen.host
        )
        self.ports.append(front_port)
        for port, factory in (
            (listen.ready_port, self.ready),
            (listen.metrics_port, self.metrics),
        ):
            if port is not None:
                self.ports.append(
                    self.reactor.listenTCP(
                        port, factory, interface=listen.host
                    )
                )
        self.source.start()
        self.every(TICK_INTERVAL_MS, self.gateway.tick)
        self.every(AGE_INTERVAL_MS, self.front.check_ages)
        self.every(AGE_INTERVAL_MS, self.ready.check_ages)
        self.every(AGE_INTERVAL_MS, self.metrics.check_ages)
        self.every(TELL_CHECK_INTERVAL_MS, self.gateway.tell_peers)
        events.log(
            events.STARTED,
            instance=self.gateway.options.instance,
            zone=self.gateway.options.zone,
        )
        return int(front_port.getHost().port)

    def every(self, interval_ms: int, work: typing.Callable[[], None]) -> None:
        """Calls a function again and again.

        :param interval_ms: time between calls
        :param work: the function
        """

        def run() -> None:
            if self.stopped:
                return
            try:
                work()
            except Exception as problem:
                events.log_error(events.INTERNAL_ERROR, problem, task="timer")
            self.reactor.callLater(interval_ms / clocks.MS_PER_S, run)

        run()

    def answer_ready(self, exchange: front.Exchange) -> None:
        """Tells the balancer whether to send callers here.

        :param exchange: its question
        """
        path = exchange.target.partition(b"?")[0]
        if path != READY_PATH:
            exchange.respond(404, [])
        else:
            exchange.respond(200 if self.gateway.ready() else 503, [])

    def answer_metrics(self, exchange: front.Exchange) -> None:
        """Returns all counts.

        :param exchange: the question
        """
        path = exchange.target.partition(b"?")[0]
        if path != METRICS_PATH:
            exchange.respond(404, [])
            return
        kind = (b"content-type", METRICS_TYPE)
        exchange.respond(200, [kind], self.listen.render_metrics())

    def drain(self, done: typing.Callable[[], None]) -> None:
        """Leaves without cutting anything off.

        First the balancer must notice; only then do connections end, each
        after the answer that is under way.

        :param done: called once the process may end
        """
        options = self.gateway.options
        end_ms = self.clock.monotonic_ms() + options.leave_limit_ms
        self.gateway.leave()
        self.reactor.callLater(
            options.spread_ms / clocks.MS_PER_S, self.close, end_ms, done
        )
        self.reactor.callLater(
            options.last_request_ms / clocks.MS_PER_S, self.gateway.close
        )

    def close(self, end_ms: int, done: typing.Callable[[], None]) -> None:
        """Ends connections between answers, and waits for the last one.

        :param end_ms: when the process must end
        :param done: called once the process may end
        """
        self.closing = True
        self.front.close_idle()
        left_ms = max(0, end_ms - self.clock.monotonic_ms())
        started_ms = self.clock.monotonic_ms()

        def nothing_left() -> bool:
            self.front.close_idle()
            return not self.gateway.busy()

        def end(in_time: bool) -> None:
            events.log(
                events.STOPPED,
                finished=in_time,
                left=self.gateway.unfinished(),
                took_ms=self.clock.monotonic_ms() - started_ms,
            )
            self.gateway.abandon()
            done()

        waiting.until(self.reactor, nothing_left, left_ms, end)

    def stop(self) -> None:
        """Closes everything at once."""
        self.stopped = True
        self.source.stop()
        for port in self.ports:
            port.stopListening()


def _nothing() -> None:
    pass
