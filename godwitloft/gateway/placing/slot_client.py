"""Requests slots of upstreams and stores the grants.

A want is a datagram with the requests of this gateway that run at an upstream
or wait for its service. The upstream's agent, or the gateway that takes its
place, answers with a grant: how many requests the gateway may start.
"""

import typing

from godwitloft import clock as clocks
from godwitloft.gateway.upstreams import fleet as fleets
from godwitloft.links import datagrams
from godwitloft.links.generated.datagrams import ttypes

# Interval at which an unchanged want is repeated, while requests run or wait
# and while none do.
BUSY_INTERVAL_MS = 250
IDLE_INTERVAL_MS = 800
# After this time without a grant whoever grants is assumed to be dead; each
# want is answered.
GRANT_TIMEOUT_MS = 1_100
BUSY_GRANT_TIMEOUT_MS = 800
MAX_AGENTS_ASKED = 8


class SlotClient:
    """Sends this gateway's wants to agents, and stores their grants.

    :param clock: source of the time
    :param send: sends a datagram to an address
    :param incarnation: incarnation of this gateway
    :param port: UDP port on which all agents listen
    :param zone: availability zone of this gateway
    :param grants_by: returns who grants the slots of an upstream, by default
        the agent on its machine
    """

    def __init__(
        self,
        clock: clocks.Clock,
        send: typing.Callable[[bytes, datagrams.Address], None],
        incarnation: str,
        port: int,
        zone: str,
        grants_by: typing.Callable[[str], datagrams.Address] | None = None,
    ) -> None:
        self.clock = clock
        self.send = send
        self.incarnation = incarnation
        self.port = port
        self.zone = zone
        self.grants_by = grants_by
        self.sequence = 0

    def refresh(
        self,
        states: typing.Sequence[fleets.UpstreamState],
        waiting: tuple[int, ...],
    ) -> None:
        """Sends wants that have changed or are due for repetition.

        :param states: upstreams of one service
        :param waiting: number of requests that wait for it, by urgency
        """
        now_ms = self.clock.monotonic_ms()
        selected = self.select_agents(states) if any(waiting) else set()
        for state in states:
            requested = waiting if state.upstream.id in selected else ()
            if not state.is_open(now_ms):
                requested = ()
            want_state = (
                state.started,
                state.running,
                requested,
                state.pending_prompt_tokens,
            )
            state.is_busy = state.running > 0 or bool(requested)
            interval_ms = (
                BUSY_INTERVAL_MS if state.is_busy else IDLE_INTERVAL_MS
            )
            if (
                want_state == state.last_want
                and now_ms - state.last_want_ms < interval_ms
            ):
                continue
            state.last_want = want_state
            state.last_want_ms = now_ms
            self.send_want(state, requested)

    def select_agents(
        self, states: typing.Sequence[fleets.UpstreamState]
    ) -> set[str]:
        """Returns the upstreams whose agents are asked for slots.

        :param states: upstreams of one service
        :return: identities of the fastest upstreams
        """
        if len(states) <= MAX_AGENTS_ASKED:
            return {state.upstream.id for state in states}
        fastest = sorted(states, key=lambda state: state.slowness)
        return {state.upstream.id for state in fastest[:MAX_AGENTS_ASKED]}

    def send_want(
        self, state: fleets.UpstreamState, waiting: tuple[int, ...]
    ) -> None:
        """Sends a want to an agent.

        :param state: the agent's upstream
        :param waiting: number of waiting requests, by urgency
        """
        self.sequence += 1
        want = ttypes.SlotWant(
            upstream=state.upstream.id,
            gateway=self.incarnation,
            sequence=self.sequence,
            started=state.started,
            running=state.running,
            slots=state.room,
            waiting=list(waiting),
            unread=state.pending_prompt_tokens,
            zone=self.zone,
        )
        if self.grants_by is None:
            address = (state.upstream.host, self.port)
        else:
            address = self.grants_by(state.upstream.id)
        self.send(datagrams.encode(want=want), address)

    def on_grant(
        self, grant: ttypes.SlotGrant, fleet: fleets.Fleet
    ) -> str | None:
        """Stores a grant.

        :param grant: an agent's grant
        :param fleet: all upstreams
        :return: the service whose requests may be sent now, None if the grant
            permits no further start
        """
        state = fleet.listed.get(grant.upstream)
        if state is None or grant.gateway != self.incarnation:
            return None
        if grant.sequence < state.grant_sequence:
            return None
        now_ms = self.clock.monotonic_ms()
        state.grant_sequence = grant.sequence
        state.start_limit = grant.start_limit
        state.pending_prompt_tokens_elsewhere = grant.unread_elsewhere
        state.granted_until_ms = now_ms + (
            BUSY_GRANT_TIMEOUT_MS if state.is_busy else GRANT_TIMEOUT_MS
        )
        if grant.start_limit <= state.started:
            return None
        return state.upstream.service
