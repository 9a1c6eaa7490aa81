"""Heeds what upstreams say about themselves in their answers.

An upstream may say that it is leaving, ask for a pause or name a limit. What
one gateway is told, all must know: each statement is announced at once.
"""

import typing

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft import metrics
from godwitloft.gateway import request as requests
from godwitloft.gateway.allowances import sharing as sharings
from godwitloft.gateway.callers import dialect as dialects
from godwitloft.gateway.callers import http_server
from godwitloft.gateway.upstreams import fleet as fleets
from godwitloft.gateway.upstreams import named_limit
from godwitloft.gateway.upstreams import upstream_signs

MAX_VALUE_LOGGED = 60


class UpstreamStatements:
    """Records statements of upstreams, from answers, agents and peers.

    :param clock: source of the time
    :param dialect: names of the headers
    :param fleet: the upstreams
    :param sharing: announces to peers
    :param instruments: metrics
    :param take_back_unsent: called with an upstream that asked for a pause;
        takes back requests whose connections to it are still being made
    """

    def __init__(
        self,
        clock: clocks.Clock,
        dialect: dialects.Dialect,
        fleet: fleets.Fleet,
        sharing: sharings.Sharing,
        instruments: metrics.Instruments,
        take_back_unsent: typing.Callable[[fleets.UpstreamState], None],
    ) -> None:
        self.clock = clock
        self.wall_ms = clocks.steady_wall(clock)
        self.dialect = dialect
        self.fleet = fleet
        self.sharing = sharing
        self.instruments = instruments
        self.take_back_unsent = take_back_unsent

    def heed(
        self,
        request: requests.Request,
        status: int,
        headers: list[http_server.Header],
    ) -> None:
        """Handles what an upstream says about itself in an answer.

        :param request: the answered request
        :param status: HTTP status
        :param headers: all headers
        """
        state = request.upstream_state
        answering_id = dict(headers).get(self.dialect.upstream_id)
        if state is None or answering_id not in (
            None,
            state.upstream.id.encode("latin-1"),
        ):
            return
        state = self.fleet.latest(state)
        signs = upstream_signs.read(
            status, headers, self.dialect, self.wall_ms()
        )
        if signs.leaving:
            self.mark_leaving(state, "answer")
        if signs.pause.error:
            events.log(
                events.RETRY_AFTER_IGNORED,
                upstream=state.upstream.id,
                request=request.facts.id,
                value=signs.retry_after[:MAX_VALUE_LOGGED],
                reason=signs.pause.error,
            )
        if signs.pause.duration_ms > 0:
            self.pause_upstream(state, request, signs.pause.duration_ms)
        self.heed_limit(state, request, signs.limit)

    def heed_limit(
        self,
        state: fleets.UpstreamState,
        request: requests.Request,
        limit: upstream_signs.Limit,
    ) -> None:
        """Handles what an answer says of an upstream's limit.

        An answer without a limit takes it back, unless its request was sent
        before the limit was named: then it may have been on its way.

        :param state: the upstream
        :param request: the answered request
        :param limit: the limit that the answer names
        """
        if limit.error:
            events.log(
                events.LIMIT_IGNORED,
                upstream=state.upstream.id,
                request=request.facts.id,
                value=limit.value[:MAX_VALUE_LOGGED],
                reason=limit.error,
            )
            return
        before = state.limit_statement
        if limit is upstream_signs.NO_LIMIT:
            if before is None or request.sent_ms <= before.at_ms:
                return
            if before.per_s is None:
                return
        statement = named_limit.Statement(
            None if limit is upstream_signs.NO_LIMIT else limit.per_s,
            self.clock.monotonic_ms(),
            self.wall_ms(),
            own=True,
        )
        self.set_limit(state, statement, "answer")

    def set_limit(
        self,
        state: fleets.UpstreamState,
        statement: named_limit.Statement,
        source: str,
    ) -> None:
        """Records what an upstream has said of its limit.

        :param state: the upstream
        :param statement: what it has said
        :param source: who says so: its ``answer`` or a ``peer``
        """
        if not state.set_limit(statement):
            return
        self.instruments.upstream_signs.add(1, {"sign": "limit"})
        events.log(
            events.UPSTREAM_LIMITED,
            upstream=state.upstream.id,
            per_s=statement.per_s,
            source=source,
            gateways=self.sharing.gateways,
        )
        if source == "answer":
            self.sharing.must_announce = True

    def mark_leaving(self, state: fleets.UpstreamState, source: str) -> None:
        """Stops sending new requests to an upstream that is leaving.

        :param state: the upstream
        :param source: who says so: its ``answer``, its ``agent`` or a
            ``peer``
        """
        now_ms = self.clock.monotonic_ms()
        if not state.say_leaving(now_ms, self.wall_ms()):
            return
        self.instruments.upstream_signs.add(1, {"sign": "leaving"})
        events.log(
            events.UPSTREAM_LEAVING,
            upstream=state.upstream.id,
            source=source,
            running=state.running,
        )
        self.sharing.must_announce = True

    def pause_upstream(
        self,
        state: fleets.UpstreamState,
        request: requests.Request,
        duration_ms: int,
    ) -> None:
        """Sends nothing to an upstream for as long as it asked.

        Requests whose connections are still being made are taken back.

        :param state: the upstream
        :param request: the request that it refused
        :param duration_ms: how long it wants no requests
        """
        now_ms = self.clock.monotonic_ms()
        self.fleet.ask_pause(state, duration_ms, now_ms, self.wall_ms())
        self.instruments.upstream_signs.add(1, {"sign": "pause"})
        events.log(
            events.UPSTREAM_PAUSED,
            upstream=state.upstream.id,
            request=request.facts.id,
            pause_ms=duration_ms,
            running=state.running,
        )
        self.take_back_unsent(state)
