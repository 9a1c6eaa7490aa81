import dataclasses
import datetime

from behave import given
from behave import then
from behave import when
from twisted.internet import task

from features.support import gateway_world
from godwitloft.gateway.upstreams import named_limit
from godwitloft.gateway.upstreams import upstream_signs

START_MS = int(gateway_world.START_S * 1000)
BORN_AGAIN_MS = START_MS + 10_000
STEP_MS = 20
WINDOW_MS = 4_000


def advance_to(context, second):
    context.world.advance(
        START_MS + second * 1000 - context.world.clock.monotonic_ms()
    )


@given("a gateway whose upstream starts again after 10 s")
def start(context):
    context.world = gateway_world.World(("model",))


@when("the time of day jumps by {jump_ms:d} ms after {second:d} s")
def jump(context, jump_ms, second):
    advance_to(context, second)
    context.world.wall_jump_ms = jump_ms


@when("the {life} life says that it is leaving at {second:d} s")
def say_leaving(context, life, second):
    advance_to(context, second)
    context.world.ask("r1", "class")
    sent = context.world.sent[-1]
    sent.answer(add=[(gateway_world.DIALECT.leaving, b"1")])


@when("the list shows the new life at {second:d} s")
def list_new_life(context, second):
    advance_to(context, second)
    world = context.world
    world.upstreams["u0"] = dataclasses.replace(
        world.upstreams["u0"], born_ms=BORN_AGAIN_MS
    )
    world.gateway.update_upstreams(world.upstreams)


@then("it gets requests")
def check_used(context):
    before = len(context.world.sent)
    context.world.ask("r2", "class")
    assert len(context.world.sent) == before + 1


@then("it gets no requests")
def check_unused(context):
    before = len(context.world.sent)
    context.world.ask("r2", "class")
    assert len(context.world.sent) == before


@when(
    'an answer says "{date}" and to come back at "{back}", at'
    " 10:00:0{own:d} here"
)
def read_pause(context, date, back, own):
    headers = [(b"retry-after", back.encode())]
    if date != "-":
        headers.append((b"date", date.encode()))
    here = datetime.datetime(2026, 12, 2, 10, 0, own, tzinfo=datetime.UTC)
    context.pause = upstream_signs.read(
        503, headers, gateway_world.DIALECT, int(here.timestamp() * 1000)
    ).pause


@then("the pause is {pause_ms:d} ms")
def check_pause(context, pause_ms):
    assert context.pause.duration_ms == pause_ms, context.pause


@when(
    "the time of day of {count:d} gateways jumps by {jump_ms:d} ms back and"
    " forth each second for {seconds:d} s"
)
def share_limit(context, count, jump_ms, seconds):
    reactor = task.Clock()
    reactor.advance(gateway_world.START_S)
    worlds = [
        gateway_world.World(("model",), reactor, f"g{number}")
        for number in range(count)
    ]
    for world in worlds:
        world.gateway.update_gateways(
            {
                other.sharing.instance: "h"
                for other in worlds
                if other is not world
            }
        )
        state = world.gateway.fleet.listed["u0"]
        state.set_limit(
            named_limit.Statement(2.0, START_MS, START_MS, own=True)
        )
    context.starts_ms = []
    for step in range(seconds * 1000 // STEP_MS):
        now_ms = START_MS + step * STEP_MS
        for world in worlds:
            world.wall_jump_ms = jump_ms * (now_ms // 1000 % 2)
            state = world.gateway.fleet.listed["u0"]
            if world.gateway.placer.is_within_limit(state, now_ms):
                state.record_start(now_ms)
                context.starts_ms.append(now_ms)
        reactor.advance(STEP_MS / 1000)


@then("no 4 s have more than {most:d} starts")
def check_limit(context, most):
    starts = context.starts_ms
    assert starts
    for first_ms in starts:
        count = sum(
            first_ms <= at_ms < first_ms + WINDOW_MS for at_ms in starts
        )
        assert count <= most, (first_ms, count)
