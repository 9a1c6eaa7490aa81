"""Chooses upstreams for requests, and requests slots from agents."""

import typing

from godwitloft import clock as clocks
from godwitloft.gateway import config_state as config_states
from godwitloft.gateway import request as requests
from godwitloft.gateway.allowances import share_factor
from godwitloft.gateway.allowances import sharing as sharings
from godwitloft.gateway.placing import ordering
from godwitloft.gateway.placing import placement
from godwitloft.gateway.placing import room_shares
from godwitloft.gateway.placing import slot_client as slot_clients
from godwitloft.gateway.upstreams import fleet as fleets
from godwitloft.gateway.upstreams import learned_room
from godwitloft.gateway.upstreams import named_limit


class Candidates:
    """Upstreams among which the requests of one scheduling pass are placed.

    Many requests may wait for many upstreams, so what concerns an upstream is
    worked out once for all of them.

    :param place: describes an upstream at a time for the choice, None if it
        takes no request
    :param states: the upstreams
    :param now_ms: the current time
    :param work: returns what is known of a request's work
    """

    def __init__(
        self,
        place: typing.Callable[
            [fleets.UpstreamState, int], placement.Place | None
        ],
        states: typing.Iterable[fleets.UpstreamState],
        now_ms: int,
        work: typing.Callable[[requests.Facts], placement.Work],
    ) -> None:
        self.place = place
        self.work = work
        self.now_ms = now_ms
        self.states: dict[str, fleets.UpstreamState] = {}
        self.places: dict[str, placement.Place] = {}
        # Divides upstreams into those to be tried first and others, and omits
        # some, in a roll-out.
        self.groups: (
            typing.Callable[
                [requests.Request, str | None, Candidates],
                typing.Iterable[list[placement.Place]],
            ]
            | None
        ) = None
        # Versions of those with room; None until asked for, and after changes.
        self.roomy: set[str] | None = None
        for state in states:
            self.states[state.upstream.id] = state
            self.update(state)

    def update(self, state: fleets.UpstreamState) -> None:
        """Takes over the state of an upstream that has just got a request.

        :param state: one of the upstreams
        """
        self.roomy = None
        place = self.place(state, self.now_ms)
        if place is not None:
            self.places[state.upstream.id] = place
        else:
            self.places.pop(state.upstream.id, None)

    def have_room(self) -> bool:
        """Returns whether any request might be sent now."""
        return any(place.has_room for place in self.places.values())

    def versions_with_room(self) -> set[str]:
        """Returns the versions of the upstreams that have room.

        It is the same for all requests that wait, of which there may be many.
        """
        if self.roomy is None:
            self.roomy = {
                self.states[name].upstream.version
                for name, place in self.places.items()
                if place.has_room
            }
        return self.roomy

    def choose(
        self, request: requests.Request, version: str | None
    ) -> fleets.UpstreamState | None:
        """Chooses the upstream for a request.

        :param request: a waiting request
        :param version: version of the upstream's software, None for any
        :return: an upstream with a free slot, None to keep the request waiting
        """
        if self.now_ms < request.resend_at_ms:
            return None
        groups: typing.Iterable[list[placement.Place]]
        if self.groups is None:
            groups = (self.places_of(version),)
        else:
            groups = self.groups(request, version, self)
        prompt_tokens = request.facts.sizes.prompt_tokens
        work = self.work(request.facts)
        for places in groups:
            place = placement.choose(
                places,
                prompt_tokens,
                request.facts.target_at_ms - self.now_ms,
                request.tried_upstreams,
                work,
            )
            if place is not None:
                request.choice = placement.explain(
                    places, place, prompt_tokens, work
                )
                return self.states[place.id]
        return None

    def places_of(self, version: str | None) -> list[placement.Place]:
        """Returns the upstreams of a version.

        :param version: version of their software, None for any
        """
        if version is None:
            return list(self.places.values())
        return [
            place
            for name, place in self.places.items()
            if self.states[name].upstream.version == version
        ]


class Placer:
    """Chooses among the upstreams that a gateway may use.

    :param clock: source of the time
    :param zone: the gateway's availability zone
    :param config_state: the configuration in force
    :param fleet: the upstreams
    :param sharing: number of gateways
    :param slot_client: exchanges datagrams with the upstreams' agents
    :param rooms: knows how fast the upstreams are
    """

    def __init__(
        self,
        clock: clocks.Clock,
        zone: str,
        config_state: config_states.ConfigState,
        fleet: fleets.Fleet,
        sharing: sharings.Sharing,
        slot_client: slot_clients.SlotClient,
        rooms: learned_room.LearnedRooms,
    ) -> None:
        self.clock = clock
        self.wall_ms = clocks.steady_wall(clock)
        self.zone = zone
        self.config_state = config_state
        self.fleet = fleet
        self.sharing = sharing
        self.slot_client = slot_client
        self.room_shares = room_shares.RoomShares(clock, sharing, fleet)
        self.rooms = rooms
        self.share_factors: dict[str, float] = {}

    def share_factor(self, service: str) -> float:
        """Returns by how much the gateways' shares of a service overlap.

        :param service: name of the service
        """
        return self.share_factors.get(service, share_factor.MAX_FACTOR)

    def record_first_data(
        self, service: str, first_data_ms: float, target_ms: float
    ) -> None:
        """Learns from an answer that has begun.

        :param service: name of the service
        :param first_data_ms: time from sending to the first data
        :param target_ms: time in which it should reach the caller
        """
        self.share_factors[service] = share_factor.after_answer(
            self.share_factor(service), first_data_ms, target_ms
        )

    def candidates(
        self, states: list[fleets.UpstreamState], now_ms: int
    ) -> "Candidates":
        """Returns the upstreams that requests may be sent to now.

        :param states: the usable upstreams of a service
        :param now_ms: the current time
        :return: none at all while no upstream has room, which is the usual
            case under overload and takes the least time
        """
        has_room = any(
            state.running < self.allowed(state, now_ms) for state in states
        )
        return Candidates(
            self.place, states if has_room else (), now_ms, self.work
        )

    def work(self, facts: requests.Facts) -> placement.Work:
        """Returns what is known of a request's work.

        :param facts: its properties
        """
        if not self.rooms.enabled:
            return placement.NO_WORK
        is_engine = self.config_state.is_engine(facts.service)
        return self.rooms.usual.work(facts, is_engine)

    def place(
        self, state: fleets.UpstreamState, now_ms: int
    ) -> placement.Place | None:
        """Returns an upstream as the choice needs it.

        :param state: the upstream
        :param now_ms: the current time
        :return: None if it takes no request now
        """
        if not state.is_open(now_ms):
            return None
        if not self.is_within_limit(state, now_ms):
            return None
        return placement.Place(
            id=state.upstream.id,
            same_zone=state.upstream.zone == self.zone,
            running=state.running,
            allowed=self.allowed(state, now_ms),
            slots=state.room,
            slowness=state.slowness,
            pending_prompt_tokens=state.pending_prompt_tokens
            + state.pending_prompt_tokens_elsewhere,
            paused=state.paused_until_ms > now_ms,
            relative_time=self.rooms.relative_time(state),
        )

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
            place=self.sharing.others.place(state.upstream.id),
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
        share = self.room_shares.share(state, now_ms)
        if share is not None:
            # At one that names a limit, all gateways take turns.
            return max(1, share) if state.limit is not None else share
        allowed = placement.allowed_without_agent(
            state.room,
            self.fleet.service_slots[state.upstream.id],
            placement.Part(
                self.sharing.gateways,
                self.sharing.others.place(state.upstream.service),
                self.share_factor(state.upstream.service),
            ),
        )
        # At one that names a limit, all gateways take turns.
        return max(1, allowed) if state.limit is not None else allowed

    def has_room(self, service: str) -> bool:
        """Returns whether a request could start at some upstream now.

        :param service: name of the service
        """
        now_ms = self.clock.monotonic_ms()
        return any(
            state.running < self.allowed(state, now_ms)
            and state.is_open(now_ms)
            for state in self.fleet.usable(service)
        )

    def share_fields(
        self, state: fleets.UpstreamState, now_ms: int
    ) -> dict[str, object]:
        """Returns why a gateway's share of an upstream is what it is.

        :param state: the upstream
        :param now_ms: the current time
        :return: fields for the log
        """
        if now_ms < state.granted_until_ms:
            return {"share_by": room_shares.Basis.GRANT.value}
        service = state.upstream.service
        share = self.room_shares.service_share(service, now_ms)
        fields: dict[str, object] = {"share_by": share.basis.value}
        if share.basis is not room_shares.Basis.EQUAL:
            fields["service_share"] = share.quota
            fields["service_claimed"] = share.claimed
        return fields

    def send_wants(
        self, service: str, waiting: list[requests.Request]
    ) -> None:
        """Tells peers and a service's agents what runs and waits.

        :param service: name of the service
        :param waiting: requests that wait for it
        """
        is_engine = self.config_state.is_engine(service)
        if not is_engine and not self.room_shares.is_announcing:
            return
        now_ms = self.clock.monotonic_ms()
        counts = [0] * ordering.URGENCIES
        # What could start at any upstream, and what of it can be on time. A
        # gateway whose requests become late must not lose its share for that.
        # Requests that a group is owed count only where they wait.
        backlog = [0] * ordering.URGENCIES
        timely = [0] * ordering.URGENCIES
        for request in waiting:
            if request.state is not requests.State.WAITING:
                continue
            urgency = ordering.urgency(request, now_ms)
            counts[urgency] += 1
            if (
                request.version is None
                and not request.owed
                and now_ms >= request.resend_at_ms
            ):
                backlog[ordering.timely_urgency(request)] += 1
                timely[urgency] += not ordering.is_late(request, now_ms)
        self.room_shares.record_waiting(
            service, _trimmed(timely), _trimmed(backlog)
        )
        if not is_engine:
            return
        self.slot_client.refresh(self.fleet.usable(service), _trimmed(counts))


def _trimmed(counts: list[int]) -> tuple[int, ...]:
    while counts and counts[-1] == 0:
        counts.pop()
    return tuple(counts)
