from behave import given
from behave import then
from behave import when

from features.support import fleet_points
from features.support import keyed_fleet
from godwitloft.entry import answers

LONG_MS = 40_000


@given("a simulated fleet whose entries accept idempotency keys")
def make_keyed_fleet(context):
    context.fleet = keyed_fleet.KeyedFleet()
    context.fleet.run_until_idle()


@when('the claims store answers "{faults}" and then {rest}')
@when('the claims store answers "" and then {rest}')
def set_store(context, rest, faults=""):
    context.fleet.store_faults = faults.split()
    context.fleet.store_rest = rest


@when('caller {number:d} sends "{body}" to {entry} and {pause}')
def send_call(context, number, body, entry, pause):
    fleet = context.fleet
    fleet.keyed_call(entry, body.encode())
    if pause == "it is finished":
        fleet.run_for(LONG_MS)
    elif pause == "it runs":
        fleet.run_until(lambda fleet: fleet.run_count() > 0)
    elif pause == "its dispatch is under way":
        fleet.run_until(dispatch_under_way)


def dispatch_under_way(fleet):
    return any(
        name == "dispatch"
        for link in fleet.links.values()
        for queue in link.queues.values()
        for name, _ in queue
    )


@when("this fault occurs: {fault}")
def fail(context, fault):
    fleet = context.fleet
    if fault == "e1 is killed":
        fleet.crash_entry("e1")
    elif fault == "both agents are killed":
        fleet.crash_agent("a1")
        fleet.crash_agent("a2")
    elif fault == "caller 1 disconnects":
        caller = fleet.callers[0]
        caller.received = []
        fleet.keyed_at("e1").cancel(caller.request_id)
    else:
        for name in fleet.agents:
            fleet.apply_event(("stop_engine", name))
        fleet.run_for(1_000)
        for name in fleet.agents:
            fleet.apply_event(("stop_engine", name))


def final_outcome(caller):
    finals = caller.final_answers()
    assert len(finals) <= 1, finals
    if not finals:
        return "nothing"
    if isinstance(finals[0], answers.Refused):
        return finals[0].reason.value
    reason = getattr(finals[0], "reason", None)
    if reason is answers.Reason.KEY_UNKNOWN:
        return reason.value
    return fleet_points.outcome_of(finals[0])


@then("the callers got {first} and {second}")
def check_callers(context, first, second):
    caller_1, caller_2 = context.fleet.callers
    assert final_outcome(caller_1) == first, caller_1.received
    if second == "the same":
        assert caller_2.received == caller_1.received, caller_2.received
        assert caller_2.data(), caller_2.received
    else:
        assert final_outcome(caller_2) == second, caller_2.received


@then("caller 1 got {first}")
def check_caller(context, first):
    assert final_outcome(context.fleet.callers[0]) == first, (
        context.fleet.callers[0].received
    )


@then("the call ran {count:d} times")
def check_runs(context, count):
    assert context.fleet.run_count() == count, context.fleet.run_count()
    assert not context.fleet.breaches, context.fleet.breaches
