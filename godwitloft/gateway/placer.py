"""Chooses upstreams for requests, and requests slots from agents."""

from godwitloft import clock as clocks
from godwitloft.gateway import config_state as config_states
from godwitloft.gateway import fleet as fleets
from godwitloft.gateway import named_limit
from godwitloft.gateway import ordering
from godwitloft.gateway import placement
from godwitloft.gateway import request as requests
from godwitloft.gateway import sharing as sharings
from godwitloft.gateway import slot_client as slot_clients


class Placer:
    """Chooses among the upstreams that a gateway may use.

    :param clock: source of the time
    :param zone: the gateway's availability zone
    :param config_state: the configuration in force
    :param fleet: the upstreams
    :param sharing: number of gateways
    :param slot_client: exchanges datagrams with the upstreams' agents
    """

    def __init__(
        self,
        clock: clocks.Clock,
        zone: str,
        config_state: config_states.ConfigState,
        fleet: fleets.Fleet,
        sharing: sharings.Sharing,
        slot_client: slot_clients.SlotClient,
    ) -> None:
        self.clock = clock
        self.wall_ms = clocks.steady_wall(clock)
        self.zone = zone
        self.config_state = config_state
        self.fleet = fleet
        self.sharing = sharing
        self.slot_client = slot_client

    def choose_upstream(
        self,
        request: requests.Request,
        states: list[fleets.UpstreamState],
        now_ms: int,
    ) -> fleets.UpstreamState | None:
        """Chooses the upstream for a request.

        :param request: a waiting request
        :param states: the usable upstreams of its service
        :param now_ms: the current time
        :return: an upstream with a free slot, None to keep the request waiting
        """
        places = [
            placement.Place(
                id=state.upstream.id,
                same_zone=state.upstream.zone == self.zone,
                running=state.running,
                allowed=self.allowed(state, now_ms),
                slots=state.upstream.slots,
                slowness=state.slowness,
                pending_prompt_tokens=state.pending_prompt_tokens
                + state.pending_prompt_tokens_elsewhere,
                tried=state.upstream.id in request.tried_upstreams,
                paused=state.paused_until_ms > now_ms,
            )
            for state in states
            if state.is_open(now_ms) and self.is_within_limit(state, now_ms)
        ]
        place = placement.choose(
            places,
            request.facts.sizes.prompt_tokens,
            request.facts.target_at_ms - now_ms,
        )
        if place is None:
            return None
        return next(state for state in states if state.upstream.id == place.id)

    def is_within_limit(
        self, state: fleets.UpstreamState, now_ms: int
    ) -> bool:
        """Returns whether an upstream's named limit lets a request start.

        :param state: the upstream
        :param now_ms: the current time
        """
        if state.limit is None:
            return True
        turn = named_limit.Turn(
            gateways=self.sharing.gateways,
            place=self.sharing.place(state.upstream.id),
            idle_ms=now_ms - state.last_start_ms,
            wall_ms=self.wall_ms(),
        )
        return named_limit.may_start(state.limit, turn)

    def allowed(self, state: fleets.UpstreamState, now_ms: int) -> int:
        """Returns how many requests this gateway may run at an upstream.

        :param state: the upstream
        :param now_ms: the current time
        :return: number granted by the upstream's agent, or the gateway's share
            without a valid grant
        """
        if now_ms < state.granted_until_ms:
            return state.running + state.start_limit - state.started
        return placement.allowed_without_agent(
            state.upstream.slots, self.sharing.gateways
        )

    def send_wants(
        self, service: str, waiting: list[requests.Request]
    ) -> None:
        """Sends the running and waiting requests to a service's agents.

        :param service: name of the service
        :param waiting: requests that wait for it
        """
        router = self.config_state.router
        if router is None:
            return
        service_settings = router.configuration.services.get(service)
        if service_settings is None or not service_settings.is_engine:
            return
        now_ms = self.clock.monotonic_ms()
        counts = [0] * ordering.URGENCIES
        for request in waiting:
            if request.state is requests.State.WAITING:
                counts[ordering.urgency(request, now_ms)] += 1
        while counts and counts[-1] == 0:
            counts.pop()
        self.slot_client.refresh(self.fleet.usable(service), tuple(counts))
