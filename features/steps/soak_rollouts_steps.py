from behave import given
from behave import then
from behave import when

from bench.soak import callers
from bench.soak import deployment
from bench.soak import history as histories
from bench.soak import plan
from bench.soak import rollouts
from bench.soak import verdict
from godwitloft.standins import lakeshore_rollouts

ORDERED_MS = 1_000
FORMER = "i-desk-0"
NEW = "i-desk-5"
CHECKS = ("EXPOSURE", "ROUTE", "LOST")
SECONDS = 60


@given(
    "a roll-out to a {version} version for {duration:d} ms that is"
    ' "{state}" after {ended:d} ms'
)
def create(context, version, duration, state, ended):
    at_ms = ORDERED_MS + ended
    has_ended = state != "running"
    record = lakeshore_rollouts.Record(
        "desk",
        "v3",
        ("v1",),
        duration,
        lakeshore_rollouts.Defect() if version == "bad" else None,
        ordered_ms=ORDERED_MS,
        states=[{"at_ms": at_ms, "status": {"state": state, "to": "v3"}}],
        ended_ms=at_ms if has_ended else None,
        stopped={FORMER: at_ms} if state == "completed" else {},
    )
    context.history = histories.History([], [], rollouts=[record])
    context.history.end_ms = ORDERED_MS + duration


def add_request(context, number, sent_ms, **fields):
    record = callers.RequestRecord(
        id=f"q{number}",
        route="lookup",
        key="key-large",
        entry="entry-0",
        events=0,
        sent_ms=sent_ms,
        ended_ms=sent_ms + 20,
        status=200,
        is_complete=True,
    )
    run = histories.Run(
        id=record.id,
        runner=FORMER,
        at_ms=sent_ms,
        ended_ms=sent_ms + 10,
        version="v1",
    )
    for name, value in fields.items():
        target = record if hasattr(record, name) else run
        object.__setattr__(target, name, value)
    context.history.records.append(record)
    context.history.runs.append(run)


@given(
    "{count:d} requests, one each {gap:d} ms, of which the new version got the"
    " first {new:d} and answered {bad:d} badly"
)
def add_requests(context, count, gap, new, bad):
    for number in range(count):
        fields = {}
        if number < new:
            fields = {"runner": NEW, "version": "v3"}
            fields["bad"] = "fails" if number < bad else ""
        add_request(context, number, ORDERED_MS + number * gap, **fields)


@given("a request that runs at a former runner when it stops, which is {what}")
def add_cut(context, what):
    stopped_ms = context.history.rollouts[0].stopped[FORMER]
    fields = {"is_complete": what == "whole"}
    if what == "left by its caller":
        fields["disconnected_ms"] = stopped_ms - 5
    add_request(context, 0, stopped_ms - 10, **fields)


@given("a request of a plain service that ran at a model")
def add_stray(context):
    add_request(context, 0, ORDERED_MS, runner="i-model-0")


@given("no fault")
def add_no_fault(context):
    pass


@given("a {kind} of {target} from {start:d} to {end:d} ms")
def add_fault(context, kind, target, start, end):
    context.history.injected_faults.append(
        deployment.InjectedFault(
            kind, target, ORDERED_MS + start, ORDERED_MS + end
        )
    )


@when("the history of roll-outs is checked")
def check(context):
    context.history.__post_init__()
    context.broken = [
        name for name in CHECKS if verdict.CHECKS[name](context.history)
    ]


@then('"{promise}" alone is reported as broken')
def check_broken(context, promise):
    expected = [] if promise == "-" else [promise]
    assert context.broken == expected, context.broken


@then(
    "the orders of seed {seed:d} are the same twice and end before the time"
    " without faults"
)
def check_orders(context, seed):
    context.orders = rollouts.draw(seed, SECONDS)
    assert context.orders, seed
    assert context.orders == rollouts.draw(seed, SECONDS)
    last_ms = SECONDS * 1000 - plan.FAULT_FREE_END_MS
    for order in context.orders:
        begins_ms = order.at_ms + order.order_after_ms
        assert begins_ms + order.duration_ms <= last_ms, order


@then("two orders for a service don't overlap")
def check_gaps(context):
    for service in rollouts.SERVICES:
        orders = [
            order for order in context.orders if order.service == service
        ]
        for order, following in zip(orders, orders[1:], strict=False):
            ends_ms = order.at_ms + order.order_after_ms + order.duration_ms
            assert following.at_ms >= ends_ms, (order, following)
