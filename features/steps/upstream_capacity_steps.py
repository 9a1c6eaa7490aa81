import dataclasses
import heapq
import math
import random

from behave import given
from behave import then
from behave import when

from features.support import unequal_upstreams
from godwitloft.gateway.allowances import gateway_list
from godwitloft.gateway.peers import peer_status
from godwitloft.links import datagrams
from godwitloft.policy import capacity

USUAL_MS = 200
NOISE = 0.3
TARGET_MS = 500


class Single:
    """One upstream on the test clock, and its model."""

    def __init__(self, slots, behavior):
        self.slots = slots
        self.behavior = behavior
        self.words = behavior.replace(",", "").split()
        self.rng = random.Random(4)
        self.done = 0
        self.possible = 0.0
        self.rooms = []

    def knee(self, at_s):
        if "knee" in self.words and "no" not in self.words:
            if "until" not in self.words or at_s < 20:
                return float(self.words[self.words.index("knee") + 1])
        if "collapse" in self.words:
            return float(self.words[-1])
        return float(self.slots)

    def slowed(self, at_s):
        if "from" in self.words and 20 <= at_s < 26:
            return 5.0
        if "step" in self.words and at_s >= 20:
            return 2.0
        if "drift" in self.words:
            return 1.0 + at_s / 30
        if self.behavior == "slow until 2 s" and at_s < 2:
            return 4.0
        return 1.0

    def relative_time(self, load, at_s):
        knee = self.knee(at_s)
        growth = max(1.0, load / knee) * self.slowed(at_s)
        if "collapse" in self.words:
            growth *= max(1.0, load / knee) ** 0.5
        if "gentle" in self.words:
            growth *= 1.0 + load / self.slots
        if self.behavior == "one slow request" and self.done == 500:
            growth *= 30
        return growth

    def demand(self, at_s):
        if self.behavior == "bursts":
            return self.slots if at_s % 10 < 0.5 else self.slots // 3
        return self.slots

    def run(self, seconds):
        observed = capacity.Observations(self.slots)
        room = capacity.Room(self.slots)
        ends = []
        now_ms = decide_ms = 0.0
        while now_ms < seconds * 1000:
            at_s = now_ms / 1000
            most = min(room.current(int(now_ms)), self.demand(at_s))
            while len(ends) < most:
                load = len(ends) + 1
                took_ms = USUAL_MS * self.relative_time(load, at_s)
                took_ms *= math.exp(self.rng.gauss(0.0, NOISE))
                heapq.heappush(ends, (now_ms + took_ms, load, took_ms))
            before_ms = now_ms
            now_ms, load, took_ms = heapq.heappop(ends)
            mean_load = (load + len(ends) + 1) / 2
            slow = took_ms > capacity.SLOW_TARGET_SHARE * TARGET_MS
            relative = took_ms / USUAL_MS
            observed.record(mean_load, relative, slow, int(now_ms))
            self.done += 1
            self.possible += (now_ms - before_ms) * self.best_per_ms(at_s)
            if now_ms >= decide_ms:
                decide_ms = now_ms + capacity.DECISION_INTERVAL_MS
                points = capacity.combine(observed.levels(), self.slots)
                room.decide(
                    points,
                    observed.variance,
                    observed.slow_share,
                    int(now_ms),
                )
                self.rooms.append((now_ms, room.base))

    def best_per_ms(self, at_s):
        mean = math.exp(NOISE**2 / 2)
        return max(
            load / (USUAL_MS * mean * self.relative_time(load, at_s))
            for load in range(1, self.slots + 1)
        )


@given("an upstream of {slots:d} slots with {behavior}")
def one_upstream(context, slots, behavior):
    context.single = Single(slots, behavior)


@when("it is used fully for {seconds:d} s")
def use_fully(context, seconds):
    context.seconds = seconds
    context.single.run(seconds)


@then("its room was {least:d} to {most:d} in the last half of the time")
def check_room(context, least, most):
    late = [
        room
        for at_ms, room in context.single.rooms
        if at_ms > context.seconds * 500
    ]
    # Now and then it may be wrong for a moment.
    wrong = sum(not least <= room <= most for room in late)
    assert wrong <= len(late) / 10, late


@then("it finished at least {share:g} of what it could")
def check_share(context, share):
    single = context.single
    assert single.done >= share * single.possible, (
        single.done / single.possible,
        single.rooms,
    )


def make_fleet(context, gateways, upstreams, **kind):
    context.fleet = unequal_upstreams.UnequalUpstreams(
        upstreams, 150, gateways, **kind
    )


@given(
    "{gateways:d} gateways before plain upstreams with knees 3 and 10 of 10"
)
def two_knees(context, gateways):
    upstreams = [unequal_upstreams.Upstream(1.0, knee, 10) for knee in (3, 10)]
    make_fleet(context, gateways, upstreams)


@when("callers ask for twice the capacity for {seconds:d} s")
def ask_much(context, seconds):
    context.fleet.run(seconds * 1000, 2.0)


def order_of(fleet, upstream):
    return sorted(
        range(len(fleet.worlds)),
        key=lambda number: gateway_list.order(upstream, f"g{number}"),
    )


def rooms_of(world, upstream):
    return world.gateway.rooms, world.gateway.fleet.states[upstream]


@when("no gateway fails")
def nothing(context):
    pass


@when("the decider is cut off for 4 s of load")
def cut_decider(context):
    fleet = context.fleet
    fleet.cut_off.add(order_of(fleet, "u0")[0])
    fleet.run(4000, 2.0)


@when("the decider tells nothing of rooms for 12 s")
def tell_nothing(context):
    fleet = context.fleet
    # What the decider had told last.
    for number in order_of(fleet, "u0")[1:]:
        rooms, state = rooms_of(fleet.worlds[number], "u0")
        learned = rooms.of(state)
        learned.room.adopt(4)
        learned.told_room, learned.told_ms = 4, rooms.clock.monotonic_ms()
        rooms.apply(learned, rooms.clock.monotonic_ms())
        assert state.room == 4
    decider = fleet.worlds[order_of(fleet, "u0")[0]]
    decider.gateway.rooms.reports = lambda: ()
    fleet.run(12_000, 0.0)


@then("all gateways have the same rooms")
def check_same(context):
    fleet = context.fleet
    fleet.run(1000, 0.0)
    for name in fleet.upstreams:
        found = {rooms_of(world, name)[1].room for world in fleet.worlds}
        assert len(found) == 1, (name, found)
    curves = [rooms_of(world, "u0") for world in fleet.worlds]
    assert all(rooms.of(state).curve for rooms, state in curves)


@then("another gateway decides")
def check_other(context):
    fleet = context.fleet
    number = order_of(fleet, "u0")[1]
    rooms, state = rooms_of(fleet.worlds[number], "u0")
    assert rooms.decides("u0", rooms.clock.monotonic_ms())
    assert rooms.of(state).curve is not None


@then("a gateway that doesn't decide uses all slots")
def check_all_slots(context):
    fleet = context.fleet
    number = order_of(fleet, "u0")[-1]
    assert rooms_of(fleet.worlds[number], "u0")[1].room == 10


@when("its room was learned as {room:d}")
def learn_room(context, room):
    fleet = context.fleet
    fleet.run(2000, 0.5)
    rooms, state = rooms_of(fleet.worlds[0], "u0")
    fleet.run(3000, 0.0)
    rooms.of(state).room.adopt(room)
    fleet.run(200, 0.0)
    assert state.room == room
    context.name = "u0"


@when("it is listed with a new start")
def list_restarted(context):
    fleet = context.fleet
    listed = fleet.listed({"u0": 2})
    fleet.worlds[0].gateway.update_upstreams(listed)
    fleet.run(1000, 0.5)


@when("it is listed with a new id and version")
def list_other(context):
    fleet = context.fleet
    listed = fleet.listed()
    old = listed.pop("u0")
    context.name = "v0"
    fleet.upstreams["v0"] = fleet.upstreams.pop("u0")
    listed["v0"] = dataclasses.replace(old, id="v0", version="2", born_ms=2)
    fleet.worlds[0].gateway.update_upstreams(listed)
    fleet.run(4000, 0.5)


@when("10 answers are slow as their callers read slowly")
def read_slowly(context):
    fleet = context.fleet
    gateway = fleet.worlds[0].gateway
    before = rooms_of(fleet.worlds[0], "u0")[0].of(gateway.fleet.states["u0"])
    levels = before.own.levels()
    answers = before.answers
    for _ in range(10):
        fleet.ask()
        for request in list(gateway.running):
            gateway.on_caller_congested(request, True)
            gateway.on_caller_congested(request, False)
        fleet.upstreams["u0"].speed = 0.2
    fleet.run(4000, 0.0)
    assert before.answers == answers, (before.answers, answers)
    assert [level.mean for level in before.own.levels()] == [
        level.mean for level in levels if level.weight > 0.6
    ]


@when("it answers nothing for 6 s")
def stall(context):
    fleet = context.fleet
    start_ms = fleet.at_ms
    fleet.upstreams["u0"].slowed = lambda at_ms: (
        1000.0 if at_ms < start_ms + 6000 else 1.0
    )
    fleet.run(6000, 1.5)


@then("its room is {room:d}")
def check_room_now(context, room):
    found = rooms_of(context.fleet.worlds[0], context.name)[1].room
    assert found == room or (room == 3 and found >= 3), found


@given("2 gateways before 300 plain upstreams")
def many(context):
    upstreams = [unequal_upstreams.Upstream(1.0, 2, 2) for _ in range(300)]
    make_fleet(context, 2, upstreams)


@when("each upstream has answered once at one of them")
def answer_once(context):
    fleet = context.fleet
    gateway = fleet.worlds[0].gateway
    for state in gateway.fleet.states.values():
        learned = gateway.rooms.of(state)
        learned.own.record(1, 1.2, False, gateway.clock.monotonic_ms())
        learned.answers += 1
    fleet.sizes = []
    fleet.told = set()
    send = fleet.worlds[0].sharing.announcer.send

    def record(data, where):
        sharing = datagrams.decode(data).sharing
        if sharing is not None:
            fleet.sizes.append(len(data))
            fleet.told.update(
                entry.upstream for entry in sharing.capacities or ()
            )
        send(data, where)

    fleet.worlds[0].sharing.announcer.send = record
    while len(fleet.sizes) < 40:
        fleet.run(250, 0.0)


@then("no announcement is larger than {most:d} bytes")
def check_size(context, most):
    assert max(context.fleet.sizes) <= most, max(context.fleet.sizes)


@then("the other has been told of all 300 in 40 announcements")
def check_known(context):
    assert len(context.fleet.told) == 300, len(context.fleet.told)


@when('a report of a capacity is read with levels "{levels}"')
def read_report(context, levels):
    report = peer_status.CapacityReport(
        peer_status.Life("u", 1), 1, tuple(map(int, levels.split()))
    )
    context.observed = report.observed(10, 1.0)


@then("it has {count:d} usable levels")
def check_levels(context, count):
    assert len(context.observed) == count, context.observed


@given('upstreams "{kinds}" of {slots:d} slots behind {gateways:d} gateways')
def unequal(context, kinds, slots, gateways):
    context.upstreams = []
    for kind in kinds.split(", "):
        count, _, figures = kind.partition(" x ")
        speed, knee = map(float, figures.split("/"))
        context.upstreams += [
            unequal_upstreams.Upstream(speed, knee * slots, slots)
            for _ in range(int(count))
        ]
    context.gateways = gateways


@when(
    'callers of "{route}" ask for {load:g} times the capacity for '
    "{seconds:d} s"
)
def compare(context, route, load, seconds):
    context.found = unequal_upstreams.compare(
        context.upstreams, context.gateways, load, seconds * 1000, route
    )


@then("at least {share:g} of the work of an oracle is finished in time")
def check_oracle(context, share):
    found = context.found
    assert found["learned"] >= share * found["oracle"], found


@then("it is no less than {more:g} above that of the previous code")
def check_previous(context, more):
    found = context.found
    gain = (found["learned"] - found["previous"]) / found["oracle"]
    assert gain >= more, (gain, found)


@then("it is no less than {more:g} above that of equal weights")
def check_equal(context, more):
    found = context.found
    gain = (found["learned"] - found["equal"]) / found["oracle"]
    assert gain >= more, (gain, found)
