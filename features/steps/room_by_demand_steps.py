import collections
import itertools
import math
import random
import time

from behave import given
from behave import then
from behave import when

from features.support import room_fleet
from godwitloft.gateway.placing import demand_share
from godwitloft.gateway.placing import ordering
from godwitloft.gateway.placing import placement
from godwitloft.gateway.placing import room_shares

RUN_MS = 400
SPEEDS = (0.3, 0.5, 0.7, 1.0, 1.0, 1.5, 2.0, 3.0)
MEASURED_MS = 6000
SAMPLE_MS = 100
# Quotas are whole numbers.
QUOTA_TOLERANCE = 2
WAVE_MS = 3000


def wave(now_ms):
    """Returns the callers' parts at 3 zones of 4 gateways, out of phase."""
    turns = (now_ms / WAVE_MS + zone / 3 for zone in range(3))
    return [
        1.1 + math.cos(2 * math.pi * turn) for turn in turns for _ in range(4)
    ]


PATTERNS = {
    "half of the callers at one of 14 gateways": (
        [0.5] + [0.5 / 13] * 13,
        [0] + [1] * 13,
        [RUN_MS] * 10,
        13,
    ),
    "a zone with 60 % of the callers": (
        [0.6 / 4] * 4 + [0.2 / 4] * 8,
        [0] * 4 + [1] * 4 + [2] * 4,
        [RUN_MS / speed for speed in SPEEDS],
        13,
    ),
    "waves out of phase between 3 zones": (
        wave,
        [0] * 4 + [1] * 4 + [2] * 4,
        [RUN_MS / speed for speed in SPEEDS],
        13,
    ),
}


@when(
    "{count:d} gateways with drawn demand divide {upstreams:d} upstreams"
    " with drawn room, seed {seed:d}"
)
def divide(context, count, upstreams, seed):
    rng = random.Random(seed)
    context.demands = {
        f"g{number:02d}": demand_share.Demand(
            rng.randrange(20),
            (rng.randrange(5),),
            (rng.randrange(800), rng.randrange(800)),
        )
        for number in range(count)
    }
    slots = {f"u{number}": rng.randint(4, 13) for number in range(upstreams)}
    context.rooms = {
        name: rng.randint(1, number) for name, number in slots.items()
    }
    order = demand_share.SlotOrder(slots)
    total = sum(slots.values())
    context.times_ms = []
    context.shares = collections.Counter()
    for name in context.demands:
        start_s = time.process_time()
        context.division = demand_share.divide(
            context.demands, total, sum(context.rooms.values())
        )
        context.shares.update(
            order.shares(
                demand_share.spans(context.division.quotas, total, name),
                context.rooms,
            )
        )
        context.times_ms.append((time.process_time() - start_s) * 1000)
    context.slots = total


@then("the shares of each upstream add up to no more than its room")
def check_sums(context):
    over = {
        name: number
        for name, number in context.shares.items()
        if number > context.rooms[name]
    }
    assert not over, over


@then("no gateway that asks for more gets less than another one")
def check_quotas(context):
    quotas = context.division.quotas
    assert sum(quotas.values()) <= context.slots
    asked = {
        name: (demand.running, *demand.claims())
        for name, demand in context.demands.items()
    }
    for first, second in itertools.permutations(asked, 2):
        pairs = zip(asked[first], asked[second], strict=True)
        if all(more >= less for more, less in pairs):
            assert quotas[first] + QUOTA_TOLERANCE > quotas[second], (
                asked[first],
                asked[second],
                quotas[first],
                quotas[second],
            )


@then("a share takes less than {most:d} ms to compute")
def check_time(context, most):
    times_ms = sorted(context.times_ms)
    assert times_ms[len(times_ms) // 2] < most, times_ms


@given('the callers of "{pattern}"')
def pattern(context, pattern):
    context.pattern = PATTERNS[pattern]


@when(
    "they ask for {load:g} times the capacity, with equal shares and by demand"
)
def ask(context, load):
    parts, zones, upstreams, slots = context.pattern
    context.found = {}
    for is_equal in (True, False):
        older = range(len(zones)) if is_equal else ()
        fleet = room_fleet.RoomFleet(len(zones), upstreams, slots, older)
        run_sampled(fleet, room_fleet.SETTLING_MS, load, parts)
        since_ms = fleet.now_ms
        excess = run_sampled(fleet, MEASURED_MS, load, parts)
        until_ms = fleet.now_ms
        fleet.run(room_fleet.LEFT_MS, 0.0, lambda _ms: [1.0] * len(zones))
        fractions = fleet.fractions(since_ms, until_ms, zones)
        finished = sum(
            asked.in_time and since_ms <= asked.ended_ms < until_ms
            for asked in fleet.asked
        )
        context.found[is_equal] = fractions, finished
    context.excess = excess


def run_sampled(fleet, duration_ms, load, parts):
    """Lets callers ask, and returns the largest excess of the shares."""
    excess = 0
    for _ in range(duration_ms // SAMPLE_MS):
        now = parts(fleet.now_ms) if callable(parts) else parts
        fleet.run(SAMPLE_MS, load, lambda _ms, now=now: now)
        excess = max(excess, fleet.allowed_excess())
    return excess


@then(
    "by demand, the worst zone gets {part:g} of the fraction of the best one"
)
def check_zones(context, part):
    fractions, _ = context.found[False]
    worst, best = min(fractions.values()), max(fractions.values())
    assert worst >= part * best, context.found


@then("by demand, no less is finished in time")
def check_total(context):
    assert context.found[False][1] >= context.found[True][1], context.found


@then("the shares of an upstream exceeded its slots by at most {most:d}")
def check_excess(context, most):
    assert context.excess <= most, context.excess


@given(
    "{count:d} gateways of {upstreams:d} upstreams with {slots:d} slots under"
    " {load:g} times their capacity"
)
def fleet_under_load(context, count, upstreams, slots, load):
    context.fleet = room_fleet.RoomFleet(count, [RUN_MS] * upstreams, slots)
    context.load = load
    # The last gateway of many is idle.
    context.parts = [1.0] * (count - 1) + [float(count <= 4)]
    context.fleet.run(room_fleet.SETTLING_MS, load, lambda _ms: context.parts)


@when("the first one {event}, and {seconds:d} s pass")
def happen(context, event, seconds):
    fleet = context.fleet
    first = fleet.worlds[0]
    if event == "is silent":
        fleet.silent_out.add(0)
    elif event == "is cut off":
        fleet.silent_out.add(0)
        fleet.silent_in.add(0)
    elif event == "is stopped":
        fleet.gone.add(0)
    elif event == "is joined by a new one":
        fleet.add()
        fleet.read_leases()
        context.parts.append(1.0)
    else:
        context.parts[0] = 0.0
        claim = demand_share.Demand(0, (1_000_000,), (1_000_000,))
        own = first.gateway.placer.room_shares
        own.refresh = lambda: own.announced.update(desk=claim)
        first.sharing.announcer.room_demand = type(
            first.sharing.announcer.room_demand
        )(own.refresh, own.to_send)
    context.excess = run_sampled(
        fleet, seconds * 1000, context.load, context.parts
    )


@then("the others together may use at least {least:g} of the slots")
def check_others(context, least):
    fleet = context.fleet
    allowed = sum(
        world.gateway.placer.allowed(state, fleet.now_ms)
        for world in fleet.worlds[1:]
        for state in world.gateway.fleet.listed.values()
    )
    slots = sum(upstream.slots for upstream in fleet.upstreams.values())
    assert allowed >= least * slots, (allowed, slots)


@given(
    "{count:d} gateways of {upstreams:d} upstreams with {slots:d} slots, one"
    " of an older release"
)
def older_fleet(context, count, upstreams, slots):
    context.fleet = room_fleet.RoomFleet(
        count, [RUN_MS] * upstreams, slots, older=(1,)
    )
    context.fleet.run(room_fleet.SETTLING_MS, 0.5, lambda _ms: [1.0] * count)


@then("each gateway has the share that it had before")
def check_former(context):
    for world in context.fleet.worlds:
        placer = world.gateway.placer
        service = placer.room_shares.services["desk"]
        assert service.basis is room_shares.Basis.EQUAL
        for name, state in world.gateway.fleet.listed.items():
            part = placement.Part(
                placer.sharing.gateways,
                placer.sharing.others.place("desk"),
                placer.share_factor("desk"),
            )
            former = placement.allowed_without_agent(
                state.room, world.gateway.fleet.service_slots[name], part
            )
            allowed = placer.allowed(state, context.fleet.now_ms)
            assert allowed == former, (allowed, former)


@when("an idle gateway gets a request")
def ask_idle(context):
    context.fleet.ask(len(context.fleet.worlds) - 1)


@then("it is sent at once")
def check_sent(context):
    assert len(context.fleet.worlds[-1].sent) == 1


@given(
    "{count:d} gateways of {upstreams:d} upstreams with {slots:d} slots under"
    " a steady urgent load of {load:g}"
)
def urgent_load(context, count, upstreams, slots, load):
    context.fleet = room_fleet.RoomFleet(count, [RUN_MS] * upstreams, slots)
    context.parts = [1.0] * (count - 1) + [0.0]
    context.load = load
    context.fleet.run(
        room_fleet.SETTLING_MS,
        load,
        lambda _ms: context.parts,
        room_fleet.URGENT,
    )


@when("{number:d} of the least urgent requests arrive at the last gateway")
def burst(context, number):
    fleet = context.fleet
    context.since_ms = fleet.now_ms
    for _ in range(number):
        fleet.ask(len(fleet.worlds) - 1)
    fleet.run(4000, context.load, lambda _ms: context.parts, room_fleet.URGENT)
    fleet.run(2000, 0.0, lambda _ms: context.parts)


@then("all urgent requests are finished within {most:d} ms")
def check_urgent(context, most):
    took = [
        asked.ended_ms - asked.at_ms if asked.in_time else None
        for asked in context.fleet.asked
        if asked.route == room_fleet.URGENT and asked.at_ms >= context.since_ms
    ]
    late = [took_ms for took_ms in took if took_ms is None or took_ms > most]
    assert took and not late, (len(late), len(took), late[:5])


@when("more urgent requests than the slots arrive at the first gateway")
def urgent_burst(context):
    fleet = context.fleet
    # Since when a timely urgent request has waited at the first gateway.
    since_ms = None
    context.waited_ms = {}
    for number in range(300):
        if number % 20 == 0:
            for _ in range(40):
                fleet.ask(0, room_fleet.URGENT)
        fleet.run(room_fleet.STEP_MS, context.load, lambda _ms: context.parts)
        waits = any(
            request.facts.route.name == room_fleet.URGENT
            and not ordering.is_late(request, fleet.now_ms)
            for request in fleet.worlds[0].gateway.waiting["desk"]
        )
        since_ms = (since_ms or fleet.now_ms) if waits else None
        if waits:
            context.waited_ms[fleet.now_ms] = fleet.now_ms - since_ms


@then(
    "from {after:d} ms later on no other gateway starts a less urgent one"
    " while they wait"
)
def check_held(context, after):
    wrong = [
        start
        for start in context.fleet.starts
        if start.route == room_fleet.OTHER
        and start.gateway != 0
        and context.waited_ms.get(start.at_ms, 0) > after
    ]
    assert max(context.waited_ms.values()) > 2 * after and not wrong, (
        max(context.waited_ms.values()),
        wrong[:5],
    )
