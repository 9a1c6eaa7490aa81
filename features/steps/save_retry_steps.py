from behave import given
from behave import then
from behave import when

from godwitloft import clock as clocks
from godwitloft.gateway.peers import store_contact
from godwitloft.platform import save_retry

URGENT_DELAY_MS = 110
DELAY_MS = 400
BEFORE_MS = 10
AFTER_MS = 50


def hear_nothing(_context):
    pass


def hear_before(context):
    context.contact.record(context.failed_ms - BEFORE_MS)


def hear_after(context):
    context.contact.record(context.failed_ms + AFTER_MS)


def hear_peer(context):
    at_ms = context.failed_ms + AFTER_MS
    context.contact.record_peer(store_contact.Span(at_ms, at_ms))


HEARD = {
    "no call is answered": hear_nothing,
    "a call before it was answered": hear_before,
    "a call after it was answered": hear_after,
    "a peer's call after it was answered": hear_peer,
}


@given("a row of which {unsaved} is unsaved, and a try that failed")
def failed_try(context, unsaved):
    context.manual = clocks.ManualClock()
    context.manual.advance(1_000)
    clock = context.manual.clock()
    context.contact = store_contact.StoreContact(0)
    context.retry = save_retry.SaveRetry(
        clock,
        context.contact,
        is_urgent=lambda: unsaved == "much",
        urgent_delay_ms=lambda: URGENT_DELAY_MS,
    )
    context.retry.record_failure(DELAY_MS)
    context.failed_ms = clock.monotonic_ms()


@when("{passed_ms:d} ms pass after the try, and {heard}")
def hear(context, passed_ms, heard):
    context.manual.advance(passed_ms)
    HEARD[heard](context)


@when("the row is written")
def write(context):
    context.retry.record_success()


@then("another try is due")
def check_due(context):
    assert context.retry.is_due()


@then("another try is not due")
def check_not_due(context):
    assert not context.retry.is_due()
