import re
import types as python_types

from behave import given
from behave import then
from behave import when

from features.support import gateway_world
from features.support import rollout_fleet
from godwitloft.gateway import rollouts
from godwitloft.rollouts import evidence
from godwitloft.rollouts import types

DURATION_MS = 12_000
SERVICE = rollout_fleet.SERVICE


@given(
    "{count:d} gateways that get {per_s:d} requests a second, seed {seed:d}"
)
def fleet(context, count, per_s, seed):
    context.fleet = rollout_fleet.RolloutFleet(seed, count, per_s)
    context.end_ms = None


def set_badness(fleet, load, start_ms):
    failing = re.fullmatch(r"fails ([\d.]+)(?: after (\d+) s)?", load)
    slower = re.fullmatch(r"is (\d+) times slower", load)
    assert failing or slower or load == "is good", load
    fleet.bad = float(failing[1]) if failing else float(bool(slower))
    fleet.slower = float(slower[1]) if slower else 0.0
    late_s = int(failing[2] or 0) if failing else 0
    fleet.bad_from_ms = start_ms + 1000 * late_s


@when("a roll-out to a new version begins that {load}")
def begin(context, load):
    fleet = context.fleet
    context.start_ms = fleet.now_ms()
    set_badness(fleet, load, context.start_ms)
    fleet.order("v2", DURATION_MS)
    fleet.list("v2", 4)


@when("a new version that {load} is ordered {after_s:f} s {side} it is listed")
def ordered(context, load, after_s, side):
    fleet = context.fleet
    context.start_ms = fleet.now_ms()
    set_badness(fleet, load, context.start_ms)
    steps = [
        lambda: fleet.list("v2", 4),
        lambda: fleet.order("v2", DURATION_MS),
    ]
    for step in reversed(steps) if side == "before" else steps:
        step()
        fleet.advance(round(1000 * after_s))


@when("no fault occurs")
def nothing(_context):
    pass


@when("the deciding gateway is killed")
def kill_decider(context):
    fleet = context.fleet
    fleet.advance(2500)
    decider = next(iter(fleet.members.values())).rollouts.decider(SERVICE)
    fleet.kill(int(decider[1:]))


@when("the deciding gateway no longer reaches the store")
def cut_decider_from_store(context):
    fleet = context.fleet
    fleet.advance(1500)
    decider = next(iter(fleet.members.values())).rollouts.decider(SERVICE)
    fleet.members[decider].store_cut = True


@when("gateways are killed and started in turn")
def kill_in_turn(context):
    fleet = context.fleet
    for number in range(5):
        fleet.advance(1000)
        fleet.kill(number)
        fleet.advance(500)
        fleet.start(number)


@when("the store is away from 1 s to 6 s")
def store_away(context):
    fleet = context.fleet
    fleet.advance(1000)
    fleet.is_away = True
    fleet.advance(5000)
    fleet.is_away = False


@when("a gateway is cut off for 4 s")
def cut_off(context):
    fleet = context.fleet
    fleet.advance(2000)
    member = next(iter(fleet.members.values()))
    member.cut = True
    fleet.advance(4000)
    member.cut = False


@when("an upstream of the new version is killed")
def kill_upstream(context):
    context.fleet.advance(4000)
    context.fleet.kill_upstream("v2-0")


@when("the order is removed")
def remove_order(context):
    context.fleet.advance(2000)
    del context.fleet.orders[SERVICE]


@when("the order is written again")
def write_again(context):
    fleet = context.fleet
    fleet.advance(2000)
    fleet.order("v2", DURATION_MS)
    fleet.advance(1000)
    assert fleet.rollout.order_version == 1


@when("the store loses the roll-out after 6 s")
def lose(context):
    context.fleet.advance(6000)
    assert context.fleet.rollout.phase is types.Phase.ROLLED_BACK
    context.fleet.rows.clear()


@when("after 3 s another version is ordered that is good")
def second_order(context):
    fleet = context.fleet
    fleet.advance(3000)
    fleet.sent_ms["v3"] = []
    fleet.order("v3", DURATION_MS)
    fleet.list("v3", 4)
    context.end_ms = fleet.now_ms() + DURATION_MS


@when("the time of the roll-out is over")
def time_over(context):
    fleet = context.fleet
    end_ms = context.end_ms or context.start_ms + DURATION_MS
    context.known_ms = None
    while fleet.now_ms() < end_ms:
        fleet.advance(100)
        rollout = fleet.rollout
        if rollout is not None and rollout.phase is types.Phase.MOVING:
            context.known_ms = context.known_ms or fleet.now_ms()
    fleet.advance(1000)
    context.end_ms = fleet.now_ms()


@then("the roll-out is {phase}")
def phase_is(context, phase):
    rollout = context.fleet.rollout
    assert rollout.phase.value == phase, rollout


@then("the new version had few requests until it was known to be good")
def few(context):
    fleet = context.fleet
    is_good = fleet.rollout.phase is types.Phase.COMPLETED
    until_ms = context.known_ms if is_good else context.end_ms
    sent = fleet.sent_since(context.start_ms, until_ms)
    most = 0.1 * sum(sent.values()) + 50
    assert sent["v2"] <= most, sent
    judged = fleet.sent_since(context.start_ms, context.known_ms or until_ms)
    # Nothing is sent that was not earned.
    assert 0 < judged["v2"] <= 0.08 * sum(judged.values()), judged


@then("it had none later than 5 s after its 50th bad answer")
def none_later(context):
    fleet = context.fleet
    if len(fleet.bad_ms) >= 50:
        assert max(fleet.sent_ms["v2"]) <= fleet.bad_ms[49] + 5000


@then("requests go only to the version that is in use")
def only_one(context):
    fleet = context.fleet
    since_ms = fleet.now_ms()
    fleet.advance(2000)
    sent = fleet.sent_since(since_ms)
    is_good = fleet.rollout.phase is types.Phase.COMPLETED
    used, unused = ("v2", "v1") if is_good else ("v1", "v2")
    assert sent[used] > 0, sent
    assert sent[unused] == 0, sent


@when("a new version is listed without an order for 6 s")
def no_order(context):
    context.fleet.list("v2", 4)
    context.fleet.advance(6000)


@then("both versions have had requests")
def both(context):
    sent = context.fleet.sent_since(0)
    assert sent["v2"] > 0.1 * sent["v1"] > 0, sent


@then("gateways have told and counted nothing of roll-outs")
def told_nothing(context):
    for member in context.fleet.members.values():
        assert member.rollouts.status_for_peers() is None
        assert not member.rollouts.counts.tracks
        assert not member.rollouts.counts.counters.cells


@then("the first new version had few requests")
def first_few(context):
    sent = context.fleet.sent_since(context.start_ms)
    assert 0 < sent["v2"] <= 0.08 * sum(sent.values()), sent


@given(
    'a gateway that knows a roll-out from "v1" to "v2" in phase "{phase}"'
    " {stopped}"
)
def known(context, phase, stopped):
    context.world = gateway_world.World(())
    rollout = types.Rollout(
        SERVICE, 1, "v2", ("v1",), types.Phase(phase), 0, DURATION_MS
    )
    known = context.world.gateway.rollouts
    known.adopt(rollout, "store")
    known.active[SERVICE].has_stopped = stopped == "stopped"
    context.may_send = lambda upstream, version: known.may_send(
        python_types.SimpleNamespace(
            facts=python_types.SimpleNamespace(
                service=SERVICE, route=python_types.SimpleNamespace(name="r")
            ),
            attempt_count=0,
        ),
        upstream,
        version,
    )


@then('a new request without credits may go to "{versions}"')
def may_go(context, versions):
    allowed = [
        version
        for version in ("v1", "v2", "v3")
        if context.may_send(version, None)
    ]
    assert allowed == versions.split(","), allowed


@then('a stream of "{version}" may go on: {answer}')
def goes_on(context, version, answer):
    assert context.may_send(version, version) == (answer == "yes")


@when(
    'streams begin, break off and are taken up while "{version}" is rolled out'
)
def streams_in_rollout(context, version):
    fleet = context.streams
    for member in fleet.members.values():
        member.rollouts.in_use = True
    order = {"service": "model", "to": version, "duration-s": 12}
    fleet.first.rows.put_json("op", "rollout/model", order)
    for _ in range(4):
        fleet.start_engine(version)
    for number in range(90):
        fleet.begin_one(1 + number % 3)
        fleet.advance(100)
        if number % 15 == 10:
            fleet.break_connections()
            fleet.take_up_at_others()
    fleet.collect()
    known = [member.rollouts.active for member in fleet.members.values()]
    phases = {active["model"].rollout.phase for active in known}
    assert phases == {types.Phase.COMPLETED}, phases


@then('streams have begun at "{first}" and "{second}", and none has both')
def no_joined(context, first, second):
    fleet = context.streams
    held = [fleet.held_versions(stream) for stream in fleet.streams]
    assert all(len(versions) <= 1 for versions in held), held
    assert set().union(*held) == {first.encode(), second.encode()}, held


@given("counts of two processes")
def processes(context):
    context.counters = [evidence.Counters(), evidence.Counters()]
    context.keys = [
        evidence.Key("s", 1, "v2", f"r{number}", "u") for number in range(5)
    ]
    for counters in context.counters:
        for key in context.keys:
            for _ in range(10):
                counters.add_answer(key, failed=False)
                counters.add_time(key, 100.0)


@when("what they tell arrives twice, late and not at all")
def arrive(context):
    context.evidence = evidence.Evidence()
    first = [counters.to_tell(3) for counters in context.counters]
    for _ in range(rollouts.MAX_CELLS):
        for number, counters in enumerate(context.counters):
            counters.add_answer(context.keys[0], failed=True)
            told = counters.to_tell(3)
            context.evidence.learn(f"p{number}", told)
            context.evidence.learn(f"p{number}", told)
            counters.to_tell(3)  # is lost
            context.evidence.learn(f"p{number}", first[number])


@then("the sum has each answer once")
def each_once(context):
    cells = context.evidence.merged("s", 1)
    assert cells[context.keys[0]].failed == 2 * rollouts.MAX_CELLS
    for key in context.keys[1:]:
        assert (cells[key].answers, sum(cells[key].times)) == (20, 20)
