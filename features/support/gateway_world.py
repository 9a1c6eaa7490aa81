"""A gateway on a simulated clock, with upstreams simulated by the test."""

import dataclasses
import random

from twisted.internet import address
from twisted.internet import error
from twisted.internet import task
from twisted.internet import testing
from twisted.python import failure

from godwitloft import attempt as attempts
from godwitloft import clock as clocks
from godwitloft import metrics
from godwitloft.gateway import checked_attempt
from godwitloft.gateway import gateway as gateways
from godwitloft.gateway import model
from godwitloft.gateway import options
from godwitloft.gateway import retry_budget
from godwitloft.gateway.allowances import allowance
from godwitloft.gateway.allowances import sharing
from godwitloft.gateway.callers import http_server
from godwitloft.gateway.placing import slot_client
from godwitloft.platform import headers

START_S = 1000.0
NO_POLICIES = options.LoadPolicies()
TICK_MS = 25
RUN_MS = 60_000
CALLER = address.IPv4Address("TCP", "127.0.0.1", 4000)
DIALECT = headers.DIALECT
TOLERANCE = allowance.Tolerance(window_ms=8000, share=0.1, tokens=1000.0)

ROUTES = {
    "post": (model.Kind.NON_IDEMPOTENT, "desk", 1, False, 2),
    "lookup": (model.Kind.IDEMPOTENT, "desk", 2, False, 2),
    "draft": (model.Kind.STREAM, "model", 1, False, 0),
    "query": (model.Kind.STREAM, "model", 2, True, 1),
    "class": (model.Kind.STREAM, "model", 1, False, 2),
}


def routes():
    return tuple(
        model.Route(
            name=name,
            host="h",
            prefix=f"/{name}/",
            kind=kind,
            targets=(model.Target(service, 1.0),),
            rank=rank,
            timeout_ms=5000,
            target_ms=400,
            max_attempts=most,
            public=False,
            resumable=resumable,
        )
        for name, (kind, service, most, resumable, rank) in ROUTES.items()
    )


def configuration(version=1, keys=("key",), tokens_per_s=0.0):
    team = model.Team("team", tuple(keys), None, tokens_per_s, 0.0, 10, True)
    return model.Configuration(
        version=version,
        routes=routes(),
        services={
            "desk": model.Service("desk", 50, False, 0),
            "model": model.Service("model", 50, True, 100_000),
        },
        teams=(team,),
        limits=model.CallerLimits(),
    )


def upstream(name, service, slots=4, leaving=False):
    return model.Upstream(
        name, service, "127.0.0.1", 9, "a", slots, leaving, 1
    )


@dataclasses.dataclass
class Sent:
    """One attempt of the gateway."""

    upstream: model.Upstream
    outgoing: attempts.Outgoing
    callbacks: attempts.AttemptCallbacks
    cancelled: bool = False
    sent: bool = True
    is_closed: bool = False

    def cancel(self):
        self.cancelled = True

    def conclude(self):
        pass

    @property
    def headers(self):
        return dict(self.outgoing.headers)

    def answer(self, status=200, body=b"data: ok\n\n", sealed=True, **extra):
        """Sends a complete answer, as the upstream does."""
        self.head(status, sealed, **extra)
        if body:
            self.callbacks.on_data(body)
        self.callbacks.on_end(attempts.End.COMPLETE, "")

    def head(self, status=200, sealed=True, **extra):
        found = [(DIALECT.request_id, self.headers[DIALECT.request_id])]
        if sealed:
            found.append((DIALECT.seal, b"seal"))
        found.append((b"transfer-encoding", b"chunked"))
        found = [
            header
            for header in found
            if header[0] not in extra.get("drop", ())
        ]
        found.extend(extra.get("add", ()))
        self.callbacks.on_head(status, found)

    def end(self, how, reason="played"):
        self.callbacks.on_end(how, reason)


class Caller:
    """An in-memory connection of a caller."""

    def __init__(self, world):
        self.protocol = world.front.buildProtocol(CALLER)
        self.transport = testing.StringTransportWithDisconnection()
        self.transport.protocol = self.protocol
        self.aborted = False
        self.transport.setTcpNoDelay = lambda _on: None
        self.transport.abortConnection = self.abort
        self.protocol.makeConnection(self.transport)

    def abort(self):
        self.aborted = True
        self.transport.loseConnection()

    def leave(self):
        lost = failure.Failure(error.ConnectionDone())
        self.protocol.connectionLost(lost)

    def send(self, data):
        self.protocol.dataReceived(data)

    def ask(self, request_id, route, key="key", left_ms=5000, extra=b""):
        self.send(
            b"POST /%s/x HTTP/1.1\r\nHost: h\r\n"
            b"Godwitloft-Request-Id: %s\r\n"
            b"Godwitloft-Deadline-Ms: %d\r\n"
            b"Authorization: Token %s\r\n"
            b"Content-Length: 0\r\n%s\r\n"
            % (
                route.encode(),
                request_id.encode(),
                left_ms,
                key.encode(),
                extra,
            )
        )

    @property
    def received(self):
        return self.transport.value()

    @property
    def status(self):
        return int(self.received.split()[1]) if self.received else None

    @property
    def closed(self):
        return not self.transport.connected


class World:
    """A gateway with its dependencies, upstreams and callers."""

    def __init__(
        self,
        upstreams=("desk", "desk", "model", "model"),
        reactor=None,
        instance="g0",
        is_new=False,
        policies=NO_POLICIES,
    ):
        if reactor is None:
            reactor = task.Clock()
            reactor.advance(START_S)
        self.reactor = reactor
        # How far the time of day has jumped since the start.
        self.wall_jump_ms = 0
        monotonic_ms = clocks.reactor_clock(self.reactor).monotonic_ms
        self.clock = clocks.Clock(
            monotonic_ms, lambda: monotonic_ms() + self.wall_jump_ms
        )
        self.sent = []
        self.datagrams = []
        self.checks = []
        self.sharing = sharing.Sharing(
            self.clock, self.send_datagram, instance, 1, TOLERANCE
        )
        if not is_new:
            # It has run for long.
            self.sharing.start.started_ms -= RUN_MS
            self.sharing.start.restore({}, 0)
            self.sharing.start.join()
        self.gateway = gateways.Gateway(
            options.Options(
                instance=instance,
                host="",
                zone="a",
                key_proof_ms=4000,
                drain_limit_ms=7000,
                flush_limit_ms=400,
                balancer_notice_ms=2600,
                last_accept_ms=3600,
                retries=retry_budget.BudgetSettings(10_000, 0.2, 20),
                tolerance=TOLERANCE,
                max_held_bytes=10_000_000,
                store_outage_ms=1800,
                policies=policies,
            ),
            DIALECT,
            gateways.Dependencies(
                clock=self.clock,
                send=self.send,
                check_connection=self.check_connection,
                check_life=lambda *asked: self.check_life(*asked),
                rng=random.Random(1),
                instruments=metrics.discard(),
                slot_client=slot_client.SlotClient(
                    self.clock, self.send_datagram, f"{instance}-1", 1, "a"
                ),
                sharing=self.sharing,
                call_later=lambda delay_ms, call: self.reactor.callLater(
                    delay_ms / 1000, call
                ),
            ),
        )
        self.front = http_server.HttpServerFactory(
            http_server.ConnectionCallbacks(
                on_request=self.gateway.on_request,
                on_refused=self.gateway.reports.count_unreadable,
                limits=self.gateway.config_state.limits,
                closing=lambda: False,
            ),
            self.clock,
            self.gateway.options.max_held_bytes,
        )
        if not is_new:
            self.gateway.config_state.configure(configuration())
        self.upstreams = {
            f"u{number}": upstream(f"u{number}", service)
            for number, service in enumerate(upstreams)
        }
        if not is_new:
            self.gateway.update_upstreams(self.upstreams)
            self.confirm()

    def confirm(self):
        self.gateway.config_state.confirm(self.clock.monotonic_ms())

    def send(self, place, outgoing, callbacks):
        sent = Sent(place, outgoing, callbacks)
        self.sent.append(sent)
        return sent

    def check_connection(self, place, on_checked):
        self.checks.append((place, on_checked))

    def check_life(self, place, on_checked):
        born_ms = self.born_of(place.id)
        if born_ms is None:
            on_checked(checked_attempt.Found.UNTOLD)
            return
        found = checked_attempt.Found.SAME
        if born_ms != place.born_ms:
            found = checked_attempt.Found.REPLACED
        self.reactor.callLater(0, on_checked, found)

    def born_of(self, _upstream_id):
        """Returns the start that an upstream reports, None if it doesn't."""
        return None

    def send_datagram(self, data, where):
        self.datagrams.append((data, where))

    def advance(self, duration_ms, confirmed=True):
        for _ in range(duration_ms // TICK_MS):
            self.reactor.advance(TICK_MS / 1000)
            if confirmed:
                self.confirm()
            self.gateway.tick()

    def ask(self, request_id, route, **how):
        caller = Caller(self)
        caller.ask(request_id, route, **how)
        return caller
