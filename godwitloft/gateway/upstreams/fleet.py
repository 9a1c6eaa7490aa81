"""State of each upstream, from the list and from the gateway's requests."""

import collections
import dataclasses

from godwitloft.gateway import model
from godwitloft.gateway.peers import peer_status
from godwitloft.gateway.placing import placement
from godwitloft.gateway.upstreams import named_limit

UNREACHABLE_PAUSE_MS = 500
MAX_PAUSE_MS = 4_000
FAILURES_BEFORE_PAUSE = 3
NEW_VALUE_WEIGHT = 0.2
REFERENCE_SLOWNESS = 1.0
# What an upstream has said about itself is kept for this long after it was
# last listed, as the list may lose it and get it back.
UNLISTED_KEPT_MS = 600_000
# By how much the clocks of an upstream and a gateway may differ when it is
# decided in which life the upstream asked for a pause.
CLOCK_TOLERANCE_MS = 5_000
# After a pause that an upstream asked for, requests to it start at most this
# often for a while.
PACED_MS = 1_000
FOREVER_MS = 1 << 62
PACED_START_INTERVAL_MS = 100
MIN_SLOWNESS = 0.2
MAX_SLOWNESS = 20.0


class UpstreamState:
    """State of one upstream at this gateway.

    :param upstream: its entry in the list
    """

    def __init__(self, upstream: model.Upstream) -> None:
        self.upstream = upstream
        self.running = 0
        self.pending_prompt_tokens = 0
        self.pending_prompt_tokens_elsewhere = 0
        self.failures = 0
        # When it last broke an answer off.
        self.last_broken_ms = -FOREVER_MS
        self.paused_until_ms = 0
        self.slowness = REFERENCE_SLOWNESS
        self.started = 0
        self.start_limit = 0
        self.granted_until_ms = 0
        self.grant_sequence = 0
        self.last_want: object = None
        # Whether requests ran there or waited for it at the last check.
        self.is_busy = False
        self.last_want_ms = 0
        # When it said that it is leaving, None if it has not said so.
        self.said_leaving_ms: int | None = None
        # Times of day of what it has said.
        self.said_leaving_wall_ms = 0
        self.asked_pause_wall_ms = 0
        # End of the last pause that it asked for.
        self.asked_pause_until_ms = 0
        self.next_start_ms = 0
        self.last_start_ms = 0
        # What it, or a peer that it told, has last said of its limit.
        self.limit_statement: named_limit.Statement | None = None
        # Whether another process was found at its address.
        self.is_replaced = False
        # When it was last listed, before it went missing.
        self.last_listed_ms = 0
        # How many requests it was found to take well, None if unknown.
        self.learned_room: int | None = None

    @property
    def room(self) -> int:
        """How many requests of all gateways together it takes well.

        From 1 to its slots; all of its slots until more is known.
        """
        if self.learned_room is None:
            return self.upstream.slots
        return max(1, min(self.upstream.slots, self.learned_room))

    @property
    def life(self) -> peer_status.Life:
        """The life of the upstream that this state belongs to."""
        return peer_status.Life(self.upstream.id, self.upstream.born_ms)

    def is_open(self, now_ms: int) -> bool:
        """Returns whether it wants requests.

        :param now_ms: the current time
        :return: whether no pause that it asked for is in force, and a request
            may start now
        """
        return now_ms >= max(self.asked_pause_until_ms, self.next_start_ms)

    @property
    def limit(self) -> float | None:
        """Requests a second that it takes, None if it names no limit."""
        statement = self.limit_statement
        return statement.per_s if statement is not None else None

    def set_limit(self, statement: named_limit.Statement) -> bool:
        """Records what it has said of its limit.

        :param statement: the statement
        :return: whether the limit is another one than before
        """
        before = self.limit
        self.limit_statement = statement
        return statement.per_s != before

    def record_start(self, now_ms: int) -> None:
        """Records that a request starts.

        :param now_ms: the current time
        """
        self.running += 1
        self.started += 1
        self.last_start_ms = now_ms
        if now_ms < self.asked_pause_until_ms + PACED_MS:
            self.next_start_ms = now_ms + PACED_START_INTERVAL_MS

    def inherit(self, before: "UpstreamState") -> None:
        """Takes over what this life had said before it was listed.

        Answers come from the new life as soon as it has started, and the list
        shows it later.

        :param before: state of the life that was listed before
        """
        born_ms = self.upstream.born_ms
        has_said = before.said_leaving_ms is not None
        if has_said and before.said_leaving_wall_ms >= born_ms:
            self.said_leaving_ms = before.said_leaving_ms
            self.said_leaving_wall_ms = before.said_leaving_wall_ms
            self.mark_leaving()
        if before.asked_pause_wall_ms + CLOCK_TOLERANCE_MS >= born_ms:
            self.asked_pause_until_ms = before.asked_pause_until_ms
            self.asked_pause_wall_ms = before.asked_pause_wall_ms
        statement = before.limit_statement
        if statement is not None and (
            statement.wall_ms + CLOCK_TOLERANCE_MS >= born_ms
        ):
            self.limit_statement = statement
            self.last_start_ms = before.last_start_ms

    def say_leaving(self, now_ms: int, wall_ms: int) -> bool:
        """Records that it has said that it is leaving.

        :param now_ms: the current time
        :param wall_ms: the time of day, in Unix milliseconds
        :return: whether this was not known
        """
        if self.upstream.leaving:
            return False
        self.said_leaving_ms = now_ms
        self.said_leaving_wall_ms = wall_ms
        self.mark_leaving()
        return True

    def record_success(self, first_data_ms: float, prompt_tokens: int) -> None:
        """Records a successful answer.

        :param first_data_ms: time from sending to the first data
        :param prompt_tokens: prompt tokens to be processed before, including
            those of other requests
        """
        self.failures = 0
        self.paused_until_ms = 0
        reference_ms = placement.reference_first_data_ms(prompt_tokens)
        slowness = first_data_ms / reference_ms
        bounded = min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))
        self.slowness += NEW_VALUE_WEIGHT * (bounded - self.slowness)

    def mark_leaving(self) -> None:
        """Excludes the upstream from new requests, whatever the list says."""
        self.upstream = dataclasses.replace(self.upstream, leaving=True)

    def mark_replaced(self) -> None:
        """Records that another process was found at its address."""
        self.is_replaced = True
        self.mark_leaving()

    def record_failure(self, now_ms: int, unreachable: bool) -> None:
        """Records a failure and pauses after several in a row.

        :param now_ms: the current time
        :param unreachable: whether the connection failed, which pauses the
            upstream at once
        """
        self.failures += 1
        if not unreachable and self.failures < FAILURES_BEFORE_PAUSE:
            return
        doublings = min(self.failures, 4) - 1
        pause_ms = min(MAX_PAUSE_MS, UNREACHABLE_PAUSE_MS << doublings)
        self.paused_until_ms = now_ms + pause_ms


@dataclasses.dataclass(frozen=True)
class FleetChange:
    """Differences between a new list and the previous one.

    :param added: ids of new upstreams
    :param leaving: ids of upstreams that must get no new requests from now on
    :param removed: ids of upstreams that are no longer on the list
    """

    added: tuple[str, ...]
    leaving: tuple[str, ...]
    removed: tuple[str, ...]


class Fleet:
    """States of all upstreams, by id."""

    def __init__(self) -> None:
        self.states: dict[str, UpstreamState] = {}
        self.listed: dict[str, UpstreamState] = {}
        self.has_list = False
        # End of the longest pause that any upstream has asked for.
        self.last_pause_end_ms = 0
        # When and how long all upstreams of a service wanted a pause.
        self.cached_pauses: dict[str, tuple[int, int]] = {}
        # By id of each listed upstream.
        self.service_slots: dict[str, placement.ServiceSlots] = {}

    def update(
        self, upstreams: dict[str, model.Upstream], now_ms: int
    ) -> FleetChange:
        """Replaces the list of upstreams.

        An upstream that is leaving stays so until its process is replaced,
        even if an outdated copy of the list says otherwise.

        :param upstreams: upstreams by id
        :param now_ms: the current time
        :return: differences from the previous list
        """
        self.has_list = True
        added = []
        leaving = []
        for upstream_id, upstream in upstreams.items():
            state = self.states.get(upstream_id)
            if state is None or state.upstream.born_ms != upstream.born_ms:
                before = state
                state = self.states[upstream_id] = UpstreamState(upstream)
                if before is not None:
                    state.inherit(before)
                added.append(upstream_id)
            elif upstream_id not in self.listed:
                added.append(upstream_id)
            state.last_listed_ms = now_ms
            was_leaving = state.upstream.leaving
            if was_leaving and not upstream.leaving:
                upstream = dataclasses.replace(upstream, leaving=True)
            state.upstream = upstream
            if upstream.leaving and not was_leaving:
                leaving.append(upstream_id)
        removed = [name for name in self.listed if name not in upstreams]
        self.listed = {name: self.states[name] for name in upstreams}
        self.service_slots = service_slots(upstreams)
        for name, state in list(self.states.items()):
            unlisted_ms = now_ms - state.last_listed_ms
            if unlisted_ms > UNLISTED_KEPT_MS and not state.running:
                del self.states[name]
        return FleetChange(tuple(added), tuple(leaving), tuple(removed))

    def usable(
        self, service: str, version: str | None = None
    ) -> list[UpstreamState]:
        """Returns the upstreams of a service that may get new requests.

        :param service: name of the service
        :param version: version that their software must have, None for any
        :return: states of upstreams on the list
        """
        return [
            state
            for state in self.listed.values()
            if state.upstream.service == service
            and not state.upstream.leaving
            and version in (None, state.upstream.version)
        ]

    def has_lost(self, service: str, version: str) -> bool:
        """Returns whether only other versions of a service take requests.

        :param service: name of the service
        :param version: the version
        :return: False also while no upstream of the service does
        """
        versions = {state.upstream.version for state in self.usable(service)}
        return bool(versions) and version not in versions

    def zone_of(self, upstream: str) -> str:
        """Returns the availability zone of an upstream.

        :param upstream: its identity
        :return: the zone, empty if the upstream isn't known
        """
        state = self.states.get(upstream)
        return state.upstream.zone if state is not None else ""

    def version_of(self, upstream: str) -> str:
        """Returns the version of an upstream's software.

        :param upstream: its identity
        :return: the version, empty if it isn't known
        """
        state = self.states.get(upstream)
        return state.upstream.version if state is not None else ""

    def ask_pause(
        self,
        state: UpstreamState,
        duration_ms: int,
        now_ms: int,
        wall_ms: int,
    ) -> None:
        """Starts a pause that an upstream asked for, or prolongs one.

        :param state: the upstream
        :param duration_ms: how long it wants no requests
        :param now_ms: the current time
        :param wall_ms: the time of day, in Unix milliseconds
        """
        state.asked_pause_wall_ms = wall_ms
        until_ms = max(state.asked_pause_until_ms, now_ms + duration_ms)
        state.asked_pause_until_ms = until_ms
        self.last_pause_end_ms = max(self.last_pause_end_ms, until_ms)
        self.cached_pauses.clear()

    def pause_left_ms(self, service: str, now_ms: int) -> int:
        """Returns how long all upstreams of a service still want a pause.

        :param service: name of the service
        :param now_ms: the current time
        :return: milliseconds until the first of them ends its pause, 0 if one
            takes requests or there are none
        """
        if now_ms >= self.last_pause_end_ms:
            return 0
        cached_ms, left_ms = self.cached_pauses.get(service, (-1, 0))
        if cached_ms != now_ms:
            ends_ms = (
                state.asked_pause_until_ms for state in self.usable(service)
            )
            left_ms = max(0, min(ends_ms, default=0) - now_ms)
            self.cached_pauses[service] = (now_ms, left_ms)
        return left_ms

    def lately_leaving(self, since_ms: int) -> tuple[peer_status.Life, ...]:
        """Returns upstreams that have said that they are leaving.

        :param since_ms: since when
        :return: their lives
        """
        return tuple(
            state.life
            for state in self.states.values()
            if state.said_leaving_ms is not None
            and state.said_leaving_ms >= since_ms
        )

    def limited(self, service: str) -> int:
        """Returns how many usable upstreams of a service name a limit.

        :param service: name of the service
        """
        return sum(state.limit is not None for state in self.usable(service))

    def limit_statements(
        self, since_ms: int
    ) -> list[tuple[peer_status.Life, named_limit.Statement]]:
        """Returns what upstreams have told this gateway of their limits.

        What peers have told isn't told again: its age would grow younger with
        each hop.

        :param since_ms: since when the latter were taken back
        :return: limits in force and those taken back, with the lives of their
            upstreams
        """
        return [
            (state.life, state.limit_statement)
            for state in self.states.values()
            if state.limit_statement is not None
            and state.limit_statement.own
            and (
                state.limit is not None
                or state.limit_statement.at_ms >= since_ms
            )
        ]

    def latest(self, state: UpstreamState) -> UpstreamState:
        """Returns the state of an upstream's latest life.

        An answer that arrives once the list shows a new life comes from that
        one, also to a request that was sent before: the former has ended.

        :param state: state of any life of the upstream
        :return: state of its latest known life
        """
        return self.states.get(state.upstream.id, state)

    def state_of(self, life: peer_status.Life) -> UpstreamState | None:
        """Returns the state of an upstream, if it is still in that life.

        :param life: identity and start of the upstream
        :return: its state, None if it isn't known or was replaced
        """
        state = self.states.get(life.id)
        return state if state is not None and state.life == life else None


def service_slots(
    upstreams: dict[str, model.Upstream],
) -> dict[str, placement.ServiceSlots]:
    """Returns the slots of each upstream's service.

    :param upstreams: upstreams by id
    :return: by the same ids; alike at all gateways that have the same list
    """
    totals: collections.Counter[str] = collections.Counter()
    before = {}
    for name in sorted(upstreams):
        service = upstreams[name].service
        before[name] = totals[service]
        totals[service] += upstreams[name].slots
    return {
        name: placement.ServiceSlots(
            totals[upstreams[name].service], before[name]
        )
        for name in upstreams
    }
