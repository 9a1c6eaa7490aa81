import pathlib
import time
from unittest import mock

from behave import given
from behave import then
from behave import when
from twisted.internet import base
from twisted.internet import epollreactor

from godwitloft import clock as clocks

ROOT = pathlib.Path(__file__).parents[2]
MS_PER_S = 1000


@given("a reactor of a program")
def make_reactor(context):
    jump = context.jump = {"s": 0.0}
    patch = mock.patch.object(
        base.ReactorBase,
        "seconds",
        staticmethod(lambda: time.time() + jump["s"]),
    )
    patch.start()
    context.add_cleanup(patch.stop)
    context.reactor = epollreactor.EPollReactor()
    clocks.use_monotonic_timers(context.reactor)


@when(
    "a timer of {delay_ms:d} ms is set and the wall clock jumps by"
    " {jump_ms:d} ms"
)
def set_timer(context, delay_ms, jump_ms):
    started_s = time.monotonic()
    context.ran_ms = None

    def ran():
        context.ran_ms = (time.monotonic() - started_s) * MS_PER_S

    context.reactor.callLater(delay_ms / MS_PER_S, ran)
    context.jump["s"] = jump_ms / MS_PER_S
    while context.ran_ms is None and time.monotonic() < started_s + 2:
        context.reactor.iterate(0.01)


@then("the timer runs after {least_ms:d} ms to {most_ms:d} ms")
def check_timer(context, least_ms, most_ms):
    assert context.ran_ms is not None, "the timer has not run"
    assert least_ms <= context.ran_ms <= most_ms, context.ran_ms


@then("{module} takes its reactor from the clock module only")
def check_program(_context, module):
    text = (ROOT / module).read_text(encoding="utf-8")
    assert "clocks.monotonic_reactor()" in text
    assert "internet import reactor" not in text
