import itertools
import sys
from unittest import mock

from behave import given
from behave import then
from behave import when

from features.support import gateway_cost
from features.support import gateway_world
from godwitloft.gateway import placement


@given("a gateway with {upstreams:d} upstreams of one slot, all taken")
def take_all(context, upstreams):
    context.world = gateway_world.World(("model",) * upstreams)
    context.world.gateway.update_upstreams(
        {
            name: gateway_world.upstream(name, "model", slots=1)
            for name in context.world.upstreams
        }
    )
    for number in range(upstreams):
        context.world.ask(f"running-{number}", "draft")
    assert len(context.world.sent) == upstreams


@given("{waiting:d} more requests wait")
def wait(context, waiting):
    for number in range(waiting):
        context.world.ask(f"waiting-{number}", "draft")


@when("{free:d} slots become free")
def free_slots(context, free):
    with mock.patch.object(
        placement, "Place", side_effect=placement.Place
    ) as described:
        context.world.gateway.tick()
        for sent in context.world.sent[:free]:
            sent.answer()
    context.described = described.call_count


@then("upstreams were described at most {most:d} times for it")
def check_described(context, most):
    assert context.described <= most, context.described


@then("{waiting:d} requests less {free:d} still wait")
def check_waiting(context, waiting, free):
    gateway = context.world.gateway
    left = gateway.unfinished() - len(gateway.running)
    assert left == waiting - free, left


@given("an agent that {gateways:d} gateways have told of their requests")
def tell_agent(context, gateways):
    context.agent = gateway_cost.AgentWorld(gateways)


@when("one of them tells that it runs {running:d} requests more")
def tell_more(context, running):
    calls = itertools.count()

    def count(_frame, kind, _argument):
        if kind == "call":
            next(calls)

    sys.setprofile(count)
    try:
        context.agent.tell(0, running)
    finally:
        sys.setprofile(None)
    context.calls = next(calls)
    assert context.agent.sent > 0


@then("the agent made at most {most:d} calls of functions for it")
def check_calls(context, most):
    assert context.calls <= most, context.calls
