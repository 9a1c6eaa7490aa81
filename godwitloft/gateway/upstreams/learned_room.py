"""Learns the room of each upstream, together with the other gateways.

Each gateway records the answers that it got, and announces what it has
recorded of an upstream when that changes. For each upstream one gateway, the
first in the order of :func:`gateway_list.order` that is alive, decides on the
room by what all have announced, and announces it in turn. Another one takes
over from the announced room when the first falls silent.

Designed for up to some 30 gateways and 300 upstreams: what is sent and worked
out at a time is bounded, and an upstream without requests costs nothing.
"""

import dataclasses
import math
import typing

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft import metrics
from godwitloft.gateway import request as requests
from godwitloft.gateway.allowances import gateway_list
from godwitloft.gateway.allowances import sharing as sharings
from godwitloft.gateway.peers import peer_status
from godwitloft.gateway.placing import run_times
from godwitloft.gateway.upstreams import fleet as fleets
from godwitloft.policy import capacity

# In one announcement. One report takes about 50 bytes, so that they fit into
# a datagram together with what else it carries.
MAX_REPORTS = 8
# A report is repeated after this time while there are requests, as one may
# get lost, and is taken as outdated after the others.
REPEAT_MS = 2_000
RUNNING_KEPT_MS = 3_500
EVIDENCE_KEPT_MS = 10_000
# Without news from the gateway that decides, all slots are used again.
ROOM_KEPT_MS = 10_000
REFUSAL_TOLD_MS = 300
CHANGED_ANSWERS = 8
CHANGED_RUNNING_SHARE = 0.25
MAX_DECISIONS_AT_ONCE = 10
CHECK_INTERVAL_MS = 100
# How fast the own view of an upstream's speed follows its answers, and how
# long it counts without any.
RECENT_WEIGHT = 0.2
BIAS_WEIGHT = 0.1
BIAS_HALF_LIFE_MS = 20_000
# Logarithm of the least difference in speed that counts. With 0.05, noise of
# 10 ms kept gateways from a limited upstream: it got half of what it took.
RESOLUTION = 0.3
NEVER_MS = -(1 << 62)


@dataclasses.dataclass(frozen=True)
class Received:
    """The last report of a peer.

    :param report: the report
    :param at_ms: when it was received
    """

    report: peer_status.CapacityReport
    at_ms: int


class Learned:
    """What is known of one life of an upstream.

    :param state: the upstream
    """

    def __init__(self, state: fleets.UpstreamState) -> None:
        self.state = state
        slots = max(1, state.upstream.slots)
        self.own = capacity.Observations(slots)
        self.room = capacity.Room(slots)
        self.curve: capacity.Curve | None = None
        self.peers: dict[str, Received] = {}
        self.running_elsewhere = 0
        # Mean logarithm of the relative time of the last own answers, and of
        # that relative to the curve.
        self.recent = 0.0
        self.bias = 0.0
        self.last_answer_ms = NEVER_MS
        self.answers = 0
        self.decided_ms = NEVER_MS
        # The room as another gateway has announced it, and when.
        self.told_room = slots
        self.told_ms = NEVER_MS
        self.refused_load = 0
        self.refused_ms = NEVER_MS
        # What was last announced, and when.
        self.told_running = 0
        self.told_answers = 0
        self.told_own_room = slots
        self.reported_ms = NEVER_MS

    def relative_time(self, load: float, now_ms: int) -> float | None:
        """Returns the expected time of an answer relative to the usual one.

        An upstream that was found slow and then gets no requests is tried
        again, as the bias loses its weight.

        :param load: work in progress there, including the request
        :param now_ms: the current time
        :return: None if this gateway has got no answer from it
        """
        if self.last_answer_ms == NEVER_MS:
            return None
        value = self.recent
        if self.curve is not None and self.curve.is_saturated:
            value = self.bias + math.log(self.curve.relative_time(load))
        idle_ms = max(0, now_ms - self.last_answer_ms)
        value *= 0.5 ** (idle_ms / BIAS_HALF_LIFE_MS)
        return math.exp(RESOLUTION * round(value / RESOLUTION))

    def record_bias(self, load: float, relative_time: float) -> None:
        """Compares an own answer with the curve.

        :param load: work in progress while it ran
        :param relative_time: its time relative to the usual one
        """
        recent = math.log(max(1e-3, relative_time))
        bias = recent
        if self.curve is not None and self.curve.is_saturated:
            bias -= math.log(self.curve.relative_time(load))
        if self.last_answer_ms == NEVER_MS:
            self.recent, self.bias = recent, bias
            return
        most = capacity.MAX_DEVIATION
        change = max(-most, min(most, recent - self.recent))
        self.recent += RECENT_WEIGHT * change
        change = max(-most, min(most, bias - self.bias))
        self.bias += BIAS_WEIGHT * change

    def update_running(self, now_ms: int) -> None:
        """Adds up the requests that peers run.

        :param now_ms: the current time
        """
        since_ms = now_ms - RUNNING_KEPT_MS
        self.running_elsewhere = sum(
            received.report.running
            for received in self.peers.values()
            if received.at_ms >= since_ms
        )

    def decide(self, now_ms: int) -> None:
        """Decides on the room by what all gateways have observed.

        :param now_ms: the current time
        """
        self.decided_ms = now_ms
        self.own.decay(now_ms)
        levels = list(self.own.levels())
        weight = sum(level.weight for level in levels)
        slow = weight * self.own.slow_share
        for name, received in list(self.peers.items()):
            age_ms = now_ms - received.at_ms
            if age_ms > EVIDENCE_KEPT_MS:
                del self.peers[name]
                continue
            factor = 0.5 ** (age_ms / capacity.HALF_LIFE_MS)
            told = received.report.observed(self.room.slots, factor)
            told_weight = sum(level.weight for level in told)
            levels.extend(told)
            weight += told_weight
            slow += told_weight * received.report.slow_percent / 100
        points = capacity.combine(levels, self.room.slots)
        self.curve = self.room.decide(
            points, self.own.variance, slow / max(1.0, weight), now_ms
        )


class LearnedRooms:
    """Keeps the room of all upstreams up to date.

    :param clock: source of the time
    :param sharing: knows the other gateways
    :param fleet: the upstreams, whose room is set
    :param instruments: metrics
    :param enabled: whether rooms are learned at all, and requests placed by
        what is known
    """

    def __init__(
        self,
        clock: clocks.Clock,
        sharing: sharings.Sharing,
        fleet: fleets.Fleet,
        instruments: metrics.Instruments,
        enabled: bool,
    ) -> None:
        self.enabled = enabled
        self.clock = clock
        self.sharing = sharing
        self.fleet = fleet
        self.instruments = instruments
        self.usual = run_times.UsualTimes()
        self.learned: dict[str, Learned] = {}
        # Names that precede this gateway in the order for an upstream, and
        # the gateways for which that was worked out.
        self.before: dict[str, list[str]] = {}
        self.before_hosts: frozenset[str] = frozenset()
        self.checked_ms = NEVER_MS

    def of(self, state: fleets.UpstreamState) -> Learned:
        """Returns what is known of an upstream, nothing for a new life.

        :param state: the upstream
        """
        learned = self.learned.get(state.upstream.id)
        if learned is None or learned.state is not state:
            learned = self.learned[state.upstream.id] = Learned(state)
        return learned

    def load(self, state: fleets.UpstreamState) -> int:
        """Returns how many requests of all gateways an upstream runs.

        :param state: the upstream
        """
        learned = self.learned.get(state.upstream.id)
        if learned is None or learned.state is not state:
            return state.running
        return state.running + learned.running_elsewhere

    def relative_time(self, state: fleets.UpstreamState) -> float | None:
        """Returns the expected time of a further request at an upstream.

        :param state: the upstream
        :return: relative to the usual time of its route, None if unknown
        """
        learned = self.learned.get(state.upstream.id)
        if not self.enabled or learned is None or learned.state is not state:
            return None
        return learned.relative_time(
            self.load(state) + 1, self.clock.monotonic_ms()
        )

    def record_answer(
        self,
        request: requests.Request,
        state: fleets.UpstreamState,
        now_ms: int,
    ) -> None:
        """Records a whole answer.

        Not that of a caller who has read slowly: its upstream had to wait.

        :param request: its request, which no longer counts as running
        :param state: the upstream
        :param now_ms: the current time
        """
        if request.was_congested or not self.enabled:
            return
        facts = request.facts
        took_ms = max(1, now_ms - request.sent_ms)
        begun = request.answering_since_ms
        first_ms = begun - request.sent_ms if begun else took_ms
        relative = self.usual.learn(facts, first_ms, took_ms)
        due_ms = facts.route.target_ms
        is_slow = (
            first_ms if run_times.is_stream(facts) else took_ms
        ) > capacity.SLOW_TARGET_SHARE * due_ms
        learned = self.of(state)
        load = (request.load_when_sent + self.load(state) + 1) / 2
        learned.own.record(load, relative, is_slow, now_ms)
        learned.record_bias(load, relative)
        learned.last_answer_ms = now_ms
        learned.answers += 1

    def record_unanswered(
        self,
        request: requests.Request,
        state: fleets.UpstreamState,
        now_ms: int,
    ) -> None:
        """Records that a request was given up after a long time.

        Its whole answer would have taken even longer.

        :param request: the request
        :param state: the upstream
        :param now_ms: the current time
        """
        if request.was_congested or not self.enabled:
            return
        took_ms = max(1, now_ms - request.sent_ms)
        relative = took_ms / self.usual.whole_ms(request.facts)
        if relative < 1.0:
            return
        learned = self.of(state)
        load = max(1, (request.load_when_sent + self.load(state)) / 2)
        learned.own.record(load, relative, True, now_ms)
        learned.record_bias(load, relative)
        learned.last_answer_ms = now_ms
        learned.answers += 1

    def record_refusal(self, state: fleets.UpstreamState, now_ms: int) -> None:
        """Records that an upstream has refused a request for overload.

        :param state: the upstream
        :param now_ms: the current time
        """
        if not self.enabled:
            return
        learned = self.of(state)
        learned.refused_load = self.load(state) + 1
        learned.refused_ms = now_ms
        if self.decides(state.upstream.id, now_ms):
            learned.room.refuse(learned.refused_load, now_ms)

    def decides(self, upstream: str, now_ms: int) -> bool:
        """Returns whether this gateway decides on an upstream's room.

        :param upstream: its identity
        :param now_ms: the current time
        """
        others = self.sharing.others
        hosts = frozenset(others.hosts)
        if hosts != self.before_hosts:
            self.before.clear()
            self.before_hosts = hosts
        before = self.before.get(upstream)
        if before is None:
            own = gateway_list.order(upstream, others.instance)
            before = self.before[upstream] = [
                name
                for name in hosts
                if gateway_list.order(upstream, name) < own
            ]
        return not any(others.is_alive(name, now_ms) for name in before)

    def check(self) -> None:
        """Decides on rooms where that is due, and applies them."""
        now_ms = self.clock.monotonic_ms()
        is_due = now_ms - self.checked_ms >= CHECK_INTERVAL_MS
        if not self.enabled or not is_due:
            return
        self.checked_ms = now_ms
        due_ms = now_ms - capacity.DECISION_INTERVAL_MS
        decisions = 0
        for name, learned in list(self.learned.items()):
            if self.fleet.states.get(name) is not learned.state:
                del self.learned[name]
                continue
            if learned.decided_ms > due_ms:
                self.apply(learned, now_ms)
                continue
            if decisions >= MAX_DECISIONS_AT_ONCE:
                continue
            learned.update_running(now_ms)
            if self.decides(name, now_ms):
                decisions += 1
                learned.decide(now_ms)
            else:
                learned.decided_ms = now_ms
            self.apply(learned, now_ms)

    def apply(self, learned: Learned, now_ms: int) -> None:
        """Sets the room of an upstream.

        :param learned: what is known of it
        :param now_ms: the current time
        """
        state = learned.state
        if self.decides(state.upstream.id, now_ms):
            room = learned.room.current(now_ms)
        elif now_ms - learned.told_ms <= ROOM_KEPT_MS:
            room = learned.told_room
        else:
            room = learned.room.slots
            learned.room.adopt(room)
        before = state.room
        state.learned_room = room if room < state.upstream.slots else None
        if state.room != before:
            self.report_room(learned, before, now_ms)

    def report_room(self, learned: Learned, before: int, now_ms: int) -> None:
        """Logs the room of an upstream, and records it as a metric.

        :param learned: what is known of the upstream
        :param before: its room before
        :param now_ms: the current time
        """
        state = learned.state
        name = state.upstream.id
        curve = learned.curve
        self.instruments.upstream_room.set(state.room, {"upstream": name})
        decides = self.decides(name, now_ms)
        why = learned.room.why.value if decides else "told"
        if decides and now_ms < learned.room.probe_until_ms:
            why = "probe"
        elif decides and now_ms < learned.room.trial_until_ms:
            why = "trial"
        events.log(
            events.ROOM_CHANGED,
            upstream=name,
            room=state.room,
            before=before,
            slots=state.upstream.slots,
            why=why,
            knee=round(curve.knee, 1) if curve else None,
            slope=round(curve.slope, 2) if curve else None,
            relative_time=round(math.exp(curve.base), 2) if curve else None,
            answers=round(curve.weight) if curve else 0,
            running=state.running,
            running_elsewhere=learned.running_elsewhere,
            gateways=1 + len(learned.peers),
        )

    def reports(self) -> tuple[peer_status.CapacityReport, ...]:
        """Returns what peers are told in the next announcement.

        :return: of upstreams whose figures have changed, those first that
            were not told for the longest time
        """
        if not self.enabled or self.sharing.gateways <= 1:
            return ()
        now_ms = self.clock.monotonic_ms()
        due = [
            learned
            for learned in self.learned.values()
            if self.is_due(learned, now_ms)
        ]
        due.sort(key=lambda learned: learned.reported_ms)
        return tuple(
            self.report(learned, now_ms) for learned in due[:MAX_REPORTS]
        )

    def is_due(self, learned: Learned, now_ms: int) -> bool:
        """Returns whether peers should be told of an upstream.

        :param learned: what is known of it
        :param now_ms: the current time
        """
        running = learned.state.running
        changed = abs(running - learned.told_running)
        if changed and changed >= CHANGED_RUNNING_SHARE * learned.told_running:
            return True
        if learned.answers - learned.told_answers >= CHANGED_ANSWERS:
            return True
        if now_ms - learned.refused_ms <= REFUSAL_TOLD_MS:
            return True
        if learned.room.current(now_ms) != learned.told_own_room:
            return self.decides(learned.state.upstream.id, now_ms)
        if now_ms - learned.reported_ms < REPEAT_MS:
            return False
        return (
            running > 0
            or learned.answers != learned.told_answers
            or learned.room.base < learned.room.slots
        )

    def report(
        self, learned: Learned, now_ms: int
    ) -> peer_status.CapacityReport:
        """Returns what peers are told of an upstream.

        :param learned: what is known of it
        :param now_ms: the current time
        """
        state = learned.state
        learned.own.decay(now_ms)
        learned.reported_ms = now_ms
        learned.told_running = state.running
        learned.told_answers = learned.answers
        room = learned.room.current(now_ms)
        learned.told_own_room = room
        decides = self.decides(state.upstream.id, now_ms)
        curve = learned.curve
        is_saturated = curve is not None and curve.is_saturated
        refused = now_ms - learned.refused_ms <= REFUSAL_TOLD_MS
        return peer_status.CapacityReport(
            life=state.life,
            running=state.running,
            levels=peer_status.pack_levels(learned.own.levels()),
            slow_percent=round(100 * learned.own.slow_share),
            refused=learned.refused_load if refused else 0,
            room=room if decides else None,
            base=learned.room.base if decides else None,
            curve=learned.curve if decides and is_saturated else None,
        )

    def learn(
        self,
        sender: str,
        reports: typing.Sequence[peer_status.CapacityReport],
    ) -> None:
        """Takes over what a peer has told.

        :param sender: name of its instance
        :param reports: what it has told of upstreams
        """
        now_ms = self.clock.monotonic_ms()
        if not self.enabled:
            return
        for report in reports:
            state = self.fleet.state_of(report.life)
            if state is None:
                continue
            learned = self.of(state)
            before = learned.peers.get(sender)
            learned.peers[sender] = Received(report, now_ms)
            if before is None or before.report.running != report.running:
                learned.update_running(now_ms)
            decides = self.decides(report.life.id, now_ms)
            if decides and report.refused:
                learned.room.refuse(report.refused, now_ms)
            if not decides and report.room is not None:
                learned.told_room = min(learned.room.slots, report.room)
                learned.told_ms = now_ms
                learned.room.adopt(report.base or report.room)
                learned.curve = report.curve
