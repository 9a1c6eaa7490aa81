import json
from unittest import mock

from behave import given
from behave import then
from behave import when
from twisted.internet import task
from twisted.web.test import requesthelper

from godwitloft.standins import lakeshore
from godwitloft.standins import lakeshore_rollouts as rollouts

ORDER_KEY = ("op", "rollout/desk")


@given("an ordered version with the defect {defect}")
def create_bad_runner(context, defect):
    reactor = task.Clock()
    rows = lakeshore.Rows(reactor)
    context.runner = lakeshore.Runner(0, "desk", rows, reactor)
    context.runner.defect = rollouts.Defect(**json.loads(defect))


@when(
    'it has run for {age:d} ms and is asked {count:d} times for "{path}" with'
    " {busy:d} others running"
)
def ask_often(context, age, count, path, busy):
    context.runner.born -= age
    for number in range(count):
        request = requesthelper.DummyRequest([b""])
        request.uri = request.path = path.encode()
        request._disconnected = False
        header = request.requestHeaders.setRawHeaders
        header(lakeshore.REQUEST_ID, [f"r{number}"])
        context.runner.running = busy
        context.runner.run(request)
        bad = context.runner.ledger[-1]["bad"]
        assert (request.responseCode == 500) == (bad == "fails")


@then('{bad} of its answers are "{kind}"')
def check_bad(context, bad, kind):
    found = [run["bad"] for run in context.runner.ledger]
    least, _, most = bad.partition(" to ")
    assert int(least) <= found.count(kind) <= int(most or least), found
    assert set(found) <= {kind, ""}, found


@given("a stand-in platform whose store is away for {away_ms:d} ms")
def create_platform(context, away_ms):
    context.reactor = task.Clock()
    settings = lakeshore.LakeshoreSettings(models=1, desks=2)
    context.lakeshore = lakeshore.Lakeshore(settings, context.reactor)
    patched = mock.patch.object(lakeshore, "_start_runner")
    patched.start()
    context.add_cleanup(patched.stop)
    for runner in context.lakeshore.runners.values():
        runner.send_heartbeat()
    context.lakeshore.control({"away_ms": away_ms})


@given(
    'a stand-in platform where a roll-out of "desk" to "{version}" is ordered'
)
def create_with_order(context, version):
    create_platform(context, 0)
    order(context, version)


@when('a roll-out of "desk" to "{version}" is ordered as well')
def order(context, version):
    context.version = version
    context.lakeshore.control(
        {
            "rollout": {
                "service": "desk",
                "to": version,
                "duration_s": 12,
                "count": 2,
            }
        }
    )
    context.reactor.advance(0)


@when('the status of the roll-out says "{state}" for {duration_ms:d} ms')
def say(context, state, duration_ms):
    status = {"state": state, "to": "v2"}
    context.lakeshore.rows.put_json("status", "rollout/desk", status)
    for _ in range(duration_ms // 20):
        context.reactor.advance(0.02)


@then('runners of "{versions}" serve')
def check_serving(context, versions):
    found = {
        runner.version
        for runner in context.lakeshore.runners.values()
        if runner.service == "desk"
        and not runner.stopped
        and runner.state == "ready"
    }
    assert found == set(versions.split(",")), found


@then("its order is not in the store")
def check_no_order(context):
    assert ORDER_KEY not in context.lakeshore.rows.rows


@then("its order is in the store")
def check_ordered(context):
    assert ORDER_KEY in context.lakeshore.rows.rows
    (record,) = context.lakeshore.rollouts.report()
    assert record["ordered_ms"] is not None, record
