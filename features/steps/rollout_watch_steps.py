import base64
import json

from behave import given
from behave import step
from behave import then

from features.support import following_gateways
from features.support import restored_store
from features.support import scripted_rollouts
from godwitloft import events
from godwitloft.rollouts import types

ORDER = {"service": "desk", "to": "v2", "duration-s": 12}
STATES = {"judging": "running", "moving": "running"}
# After 3.5 s without a confirmation a gateway polls, 1.4 s at the most.
MAX_AGE_MS = 5_000
PARTED_MS = 8_000
RUNS_ON = {"goes on as before": (False, False)} | {
    "hears no other gateway": (True, False),
    "is cut off from the store": (False, True),
    "is cut off from all": (True, True),
}


def new_rollouts():
    rollouts = scripted_rollouts.ScriptedRollouts()
    rollouts.in_use = True
    return rollouts


@given("{count:d} gateways that follow a store with roll-outs")
def create(context, count):
    context.fleet = following_gateways.FollowingGateways(
        context, count, ["u0", "u1"], new_rollouts
    )
    context.following = context.fleet


@given('gateways "{names}" decide')
def decide(context, names):
    decide_up_to(context, names, "completed")


@given('gateways "{names}" decide up to "{phase}"')
def decide_up_to(context, names, phase):
    for member in context.fleet.members.values():
        member.rollouts.last_phase = types.Phase(phase)
        member.rollouts.decides = member.lease.instance in names.split(",")


@step('version "{version}" of "{service}" is ordered')
def order(context, version, service):
    row = ORDER | {"service": service, "to": version}
    context.fleet.first.rows.put_json("op", f"rollout/{service}", row)


@step("nothing is ordered")
def order_nothing(context):
    pass


@step('an order with "{content}" is written for "{service}"')
def write_order(context, content, service):
    value = base64.b64encode(content.encode()).decode()
    context.fleet.first.rows.put("op", f"rollout/{service}", value)


@step('the row of the roll-out of "{service}" is "{content}"')
def write_saved(context, service, content):
    value = base64.b64encode(content.encode()).decode()
    context.fleet.first.rows.put("rollouts", service, value)


@step("{seconds:d} s pass with the store")
def wait(context, seconds):
    context.fleet.advance(seconds * 1000)


@step("{duration_ms:d} ms pass with the store")
def wait_ms(context, duration_ms):
    context.fleet.advance(duration_ms)


@step("{seconds:d} s pass with the store, in which calls are counted")
def wait_and_count(context, seconds):
    members = context.fleet.members.values()
    for member in members:
        member.client.calls.clear()
    context.fleet.advance(seconds * 1000)
    context.reads = [
        sum(
            count
            for (_path, table), count in member.client.calls.items()
            if table == "rollouts"
        )
        for member in members
    ]


@step("the answers to {count:d} writes are lost")
def lose_answers(context, count):
    for member in context.fleet.members.values():
        member.client.lose_answers = count


@step("writes fail for {duration_ms:d} ms")
def fail_writes(context, duration_ms):
    for member in context.fleet.members.values():
        member.client.writes_fail = True
    context.fleet.advance(duration_ms)
    for member in context.fleet.members.values():
        member.client.writes_fail = False


@step(
    "writes are performed {late_ms:d} ms late for {duration_ms:d} ms with the"
    " store"
)
def write_late(context, late_ms, duration_ms):
    for member in context.fleet.members.values():
        member.client.late_ms = late_ms
    context.fleet.advance(duration_ms)
    for member in context.fleet.members.values():
        member.client.late_ms = None


def member_named(context, name):
    return next(
        (host, member)
        for host, member in context.fleet.members.items()
        if member.lease.instance == name
    )


@step('gateway "{name}" is killed and "{heir}" decides')
def kill(context, name, heir):
    host, _member = member_named(context, name)
    if host == "127.0.0.1":
        # The first one drives the store, and is only cut off.
        first = context.fleet.first
        first.watch.stop()
        first.client.cut = True
        first.rollouts.decides = False
        context.fleet.parted.add(host)
    else:
        context.fleet.kill_host(host)
    member_named(context, heir)[1].rollouts.decides = True
    for member in context.fleet.members.values():
        member.rollouts.last_phase = types.Phase.COMPLETED


@step("the store comes back from a copy that is {age_ms:d} ms old")
def restore(context, age_ms):
    context.fleet.first.rows.drill(500, age_ms, restored_store.OPERATOR_MS)


@step("all gateways that follow it are killed and start again")
def restart_all(context):
    fleet = context.fleet
    members = list(fleet.members.items())
    for host, _member in members:
        fleet.kill_host(host)
    for host, former in members:
        member = restored_store.RestoredStore(
            context,
            fleet.first.rows,
            former.lease.instance,
            host,
            rollouts=new_rollouts(),
        )
        fleet.parted.discard(host)
        fleet.members[host] = member
        fleet.connect(host, member)
        member.start_watching()


@then("gateways {have} taken over rows")
def check_taken_over(context, have):
    for member in context.fleet.members.values():
        has_taken = member.rollouts.rows.current_ms is not None
        assert has_taken == (have == "have"), member.lease.instance


@step("a gateway that doesn't poll {what}")
def part(context, what):
    host, context.parted = context.fleet.one(is_poller=False)
    hears_none, has_no_store = RUNS_ON[what]
    if hears_none:
        context.fleet.parted.add(host)
    context.parted.client.cut = has_no_store


@then("it {knows} that its rows are current")
def check_current(context, knows):
    current_ms = context.parted.rollouts.rows.current_ms
    age_ms = context.parted.now_ms() - current_ms
    if knows == "knows":
        assert age_ms <= MAX_AGE_MS, age_ms
    else:
        assert age_ms >= PARTED_MS, age_ms


@step('an upstream of version "{version}" starts')
def start_upstream(context, version):
    first = context.fleet.first
    first.upstreams["u9"] = restored_store.Upstream(
        "u9", 1, first.rows, version=version
    )


def decode(value):
    return json.loads(base64.b64decode(value))


def writes(context, table, key):
    return [
        decode(value)
        for _at_s, _version, *name, value in context.fleet.first.rows.writes
        if name == [table, key] and value is not None
    ]


@then('the row of "{service}" went through "{phases}" once')
def check_phases(context, service, phases):
    found = [row["phase"] for row in writes(context, "rollouts", service)]
    assert found == phases.split(","), found


@then("each step was written together with its status")
def check_statuses(context):
    rows = context.fleet.first.rows
    found = 0
    for place, (at_s, _version, table, key, value) in enumerate(rows.writes):
        if table != "rollouts":
            continue
        next_at_s, _version, *place_of_status, status = rows.writes[place + 1]
        assert place_of_status == ["status", f"rollout/{key}"], place_of_status
        assert next_at_s == at_s
        phase = decode(value)["phase"]
        state = STATES.get(phase, phase)
        assert decode(status) == {"state": state, "to": "v2"}, status
        found += 1
    assert found, rows.writes


@then('all gateways know that "{service}" is "{phase}"')
def check_known(context, service, phase):
    for member in context.fleet.members.values():
        saved = member.rollouts.held.get(service)
        assert saved is not None, member.lease.instance
        found = saved.rollout.phase.value
        assert found == phase, (member.lease.instance, found)


def current(context, table, key):
    value, _version = context.fleet.first.rows.rows.get((table, key), ("", 0))
    return decode(value) if value else None


@then('all gateways {know} the order for "{service}"')
def check_order_known(context, know, service):
    for member in context.fleet.members.values():
        is_known = service in member.rollouts.orders
        assert is_known == (know == "know"), member.lease.instance


@then('the row of "{service}" and its status say "{phase}"')
def check_row(context, service, phase):
    assert current(context, "rollouts", service)["phase"] == phase
    status = current(context, "status", f"rollout/{service}")
    assert status["state"] == STATES.get(phase, phase), status


@then(
    "at most {count:d} gateways read the roll-outs, together {most:d} times or"
    " less"
)
def check_reads(context, count, most):
    assert sum(map(bool, context.reads)) <= count, context.reads
    assert sum(context.reads) <= most, context.reads


@then(
    'the status of "{service}" has an error that names "{row}" and "{field}"'
)
def check_error(context, service, row, field):
    status = current(context, "status", f"rollout/{service}")
    assert f"row {row}: field '{field}': " in status["error"], status
    context.error_row = row


@then('the status of "{service}" has an error that names "{row}" and ""')
def check_whole_error(context, service, row):
    check_error(context, service, row, "")


@then('the status of "{service}" has no error')
def check_no_error(context, service):
    status = current(context, "status", f"rollout/{service}")
    assert status is not None and "error" not in status, status


@then('"{service}" has no roll-out')
def check_no_rollout(context, service):
    assert current(context, "rollouts", service) is None


@then("no gateway logged it twice")
def check_logged(context):
    lines = [
        fields
        for fields in context.fleet.first.log.fields(events.ROW_SKIPPED.code)
        if fields["row"] == context.error_row
    ]
    assert 1 <= len(lines) <= len(context.fleet.members), lines
