from behave import given
from behave import step
from behave import then
from behave import when

from features.support import retry_fleet

WINDOW_MS = retry_fleet.WINDOW_MS
SETTLE_MS = 12_000
# The kills or starts of one round end this long after the last of them.
BACK_MS = 2_000


@given("{count:d} gateways that share a retry budget, seed {seed:d}")
def fleet(context, count, seed):
    context.fleet = fleet = retry_fleet.RetryFleet(context, seed)
    context.count = count
    for number in range(count):
        fleet.start(number)
    fleet.wait_until_ready(count)


@when("{firsts:d} requests a second come for {duration_s:d} s")
def serve(context, firsts, duration_s):
    context.fleet.firsts_per_s = firsts
    context.fleet.advance(duration_s * 1000)


@when(
    "all requests fail, {firsts:d} a second, from its start on for"
    " {duration_s:d} s"
)
def fail_from_start(context, firsts, duration_s):
    context.fleet.failing = True
    serve(context, firsts, duration_s)


def fail(context):
    context.since_ms = context.fleet.now_ms()
    context.fleet.failing = True


def settle(context):
    fleet = context.fleet
    fleet.advance(BACK_MS)
    context.settled_ms = fleet.now_ms() + SETTLE_MS - BACK_MS
    fleet.advance(SETTLE_MS + WINDOW_MS)


@step("all requests fail, nothing else happens")
def fail_only(context):
    fail(context)
    settle(context)


@step(
    "all requests fail, each is killed in turn every {gap_ms:d} ms,"
    " {rounds:d} times"
)
def kill_in_turn(context, gap_ms, rounds):
    fail(context)
    for _ in range(rounds):
        for number in range(context.count):
            context.fleet.advance(gap_ms)
            context.fleet.kill_and_restart(number)
    settle(context)


@step("all requests fail, all are killed at once, {rounds:d} times")
def kill_all(context, rounds):
    fail(context)
    for _ in range(rounds):
        context.fleet.advance(2000)
        for number in range(context.count):
            context.fleet.kill_and_restart(number)
    settle(context)


@step("all requests fail, {more:d} more start {gap_ms:d} ms apart")
def start_in_turn(context, more, gap_ms):
    fail(context)
    for number in range(context.count, context.count + more):
        context.fleet.advance(gap_ms)
        context.fleet.start(number)
    settle(context)


@step("all requests fail, {more:d} more start at once")
def start_at_once(context, more):
    start_in_turn(context, more, 0)


@then("the retries in any 10 s kept the budget")
def check_most(context):
    most = context.fleet.most_of_budget()
    assert most <= 1, most


@then(
    "at least {least:g} of the budget was used in the first 10 s, and"
    " {later:g} in the 10 s from 12 s after the last start on"
)
def check_least(context, least, later):
    fleet = context.fleet
    budget = (
        retry_fleet.RATIO * fleet.firsts_per_s * WINDOW_MS / 1000
        + retry_fleet.EXTRA
    )
    found = [
        retry_fleet.count(fleet.retries, since_ms, WINDOW_MS) / budget
        for since_ms in (context.since_ms, context.settled_ms)
    ]
    assert found[0] >= least and found[1] >= later, found


@then("at least {least:d} retries were sent")
def check_retries(context, least):
    assert len(context.fleet.retries) >= least, len(context.fleet.retries)
