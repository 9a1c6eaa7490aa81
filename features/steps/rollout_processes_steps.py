import http
import time

from behave import given
from behave import then
from behave import when

from features.support import lakeshore_fleet
from godwitloft.gateway.allowances import gateway_list

DEFECTS = {
    "good": None,
    "failing": {"kind": "fails", "share": 0.5},
    "slow": {"kind": "slow", "share": 0.6, "factor": 8},
}
ENDS = ("completed", "rolled_back")
NEW_RUNNERS = 2
ANSWER_MS = 10
# From a step to the time at which the stand-in has seen it.
NOTICE_MS = 300
WAIT_S = 3


@given("{count:d} real gateways on a stand-in platform under load")
def start_fleet(context, count):
    context.fleet = lakeshore_fleet.Fleet(context, count)
    context.fleet.control(
        runners={
            f"i-desk-{number}": {"answer_ms": ANSWER_MS} for number in (0, 1)
        }
    )
    time.sleep(WAIT_S)


@when(
    'a roll-out of "{service}" to a {version} version is ordered, within'
    " {seconds:d} s"
)
def order(context, service, version, seconds):
    context.service = service
    context.fleet.control(
        rollout={
            "service": service,
            "to": "v2",
            "duration_s": seconds,
            "count": NEW_RUNNERS,
            "defect": DEFECTS[version],
            "answer_ms": ANSWER_MS,
        }
    )


@when("the gateway that decides is killed before its first step")
def kill_first(context):
    names = [entry.name for entry in context.fleet.entries]
    first = min(
        names, key=lambda name: gateway_list.order(context.service, name)
    )
    context.fleet.entry_named(first).kill()


@when("the gateway that decides is killed in {phase}")
def kill_in(context, phase):
    row = context.fleet.wait_for_phase(context.service, (phase,))
    context.fleet.entry_named(row["decider"]).kill()


@when("the gateway that decides is killed never")
def kill_none(context):
    pass


@then('the roll-out is "{state}" within its time')
def check_state(context, state):
    row = context.fleet.wait_for_phase(context.service, ENDS)
    assert row["phase"] == state, row
    time.sleep(WAIT_S)
    context.fleet.stop_callers()
    (record,) = context.fleet.fetch("rollouts")
    last = record["states"][-1]
    assert last["status"] == {"state": state, "to": "v2"}, record
    took_ms = last["at_ms"] - record["ordered_ms"]
    assert took_ms <= record["duration_ms"] + NOTICE_MS, record
    context.record = record


@then("its phases only went forward")
def check_phases(context):
    states = [entry["status"]["state"] for entry in context.record["states"]]
    assert states in (["running", state] for state in ENDS), states


def runs_at_new(context):
    ledger = context.fleet.fetch("ledger")
    return [
        run
        for runner, runs in ledger.items()
        for run in runs
        if runner.startswith(f"i-{context.service}-")
        and run["version"] == "v2"
    ]


@then("the new version got no more requests than it may")
def check_exposure(context):
    if context.record["defect"] is None:
        return
    new = runs_at_new(context)
    start_ms = context.record["ordered_ms"]
    end_ms = start_ms + context.record["duration_ms"]
    sent = [
        request
        for request in context.fleet.requests
        if request.route in ("lookup", "post")
        and start_ms <= request.sent_ms <= end_ms
    ]
    most = (
        lakeshore_fleet.EXPOSURE_SHARE * len(sent)
        + lakeshore_fleet.EXPOSURE_SLACK
    )
    assert 0 < len(new) <= most, (len(new), most)
    ended_ms = context.record["ended_ms"]
    late = [run for run in new if run["at_ms"] > ended_ms + 1000]
    assert not late, late


@then("no caller of a living gateway lost an answer")
def check_answers(context):
    lost = [
        request
        for request in context.fleet.requests
        if request.entry.killed_ms is None
        and request.status
        not in (
            http.HTTPStatus.OK,
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            # What a bad version answered.
            http.HTTPStatus.INTERNAL_SERVER_ERROR,
            http.HTTPStatus.BAD_GATEWAY,
        )
    ]
    assert not lost, lost[:5]
