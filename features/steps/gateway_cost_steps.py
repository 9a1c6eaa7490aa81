import collections
import itertools
import sys
from unittest import mock

from behave import given
from behave import then
from behave import when
from twisted.internet import testing

from features.support import gateway_cost
from features.support import gateway_world
from godwitloft.gateway import daemon
from godwitloft.gateway import model
from godwitloft.gateway.placing import placement
from godwitloft.links import datagrams


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


def count_calls(action):
    """Returns how many functions in Python an action calls."""
    calls = itertools.count()

    def count(_frame, kind, _argument):
        if kind == "call":
            next(calls)

    sys.setprofile(count)
    try:
        action()
    finally:
        sys.setprofile(None)
    return next(calls)


@when("one of them tells that it runs {running:d} requests more")
def tell_more(context, running):
    context.calls = count_calls(lambda: context.agent.tell(0, running))
    assert context.agent.sent > 0


@then("the agent made at most {most:d} calls of functions for it")
def check_calls(context, most):
    assert context.calls <= most, context.calls


def world_told_of_use(gateways):
    """Returns a gateway that others have told of their use."""
    world = gateway_cost.make_world(gateways + 1, 1)
    for number in range(1, gateways + 1):
        world.gateway.on_datagram(
            datagrams.decode(gateway_cost.announcement(world, number)),
            gateway_cost.ADDRESS,
        )
    return world


def calls_for_part(world):
    """Returns the calls to work out a part of what is left."""
    team = model.Team("team1", (), 1, 10_000, 10_000, 1, True)
    sharing = world.sharing
    return count_calls(
        lambda: (sharing.remaining(team), sharing.fraction(team))
    )


@given("a gateway that {gateways:d} others have told of their use")
def tell_use(context, gateways):
    context.world = world_told_of_use(gateways)


@when("it works out its part of what is left of an allowance")
def work_out(context):
    context.calls = calls_for_part(context.world)


@then("it made as many calls of functions for it as where {few:d} others have")
def check_same_calls(context, few):
    calls = calls_for_part(world_told_of_use(few))
    assert context.calls == calls, (context.calls, calls)


@given("a gateway's daemon with its timers")
def make_daemon(context):
    context.reactor = testing.MemoryReactorClock()
    world = gateway_world.World(("model",))
    nothing = daemon.ConfigurationSource(start=list, stop=list)
    context.daemon = daemon.GatewayDaemon(
        context.reactor,
        world.clock,
        world.gateway,
        nothing,
        daemon.ListenOptions("127.0.0.1", 1, 2, 3),
    )
    context.works = collections.Counter()

    def count(name):
        return lambda: context.works.update([name])

    world.gateway.tick = count("tick")
    world.gateway.announce = count("announce")
    context.daemon.caller_factory.check_timeouts = count("timeouts")
    context.daemon.start()
    context.works.clear()


@when("a second passes")
def pass_second(context):
    context.fired = 0
    for _ in range(1000):
        before = [call.getTime() for call in context.reactor.getDelayedCalls()]
        context.reactor.advance(0.001)
        context.fired += sum(at <= context.reactor.seconds() for at in before)


@then("40 timers fired, and each periodic work was called at its interval")
def check_timers(context):
    assert 39 <= context.fired <= 40, context.fired
    assert 39 <= context.works["tick"] <= 40, context.works
    assert 19 <= context.works["announce"] <= 20, context.works
    assert 1 <= context.works["timeouts"] <= 2, context.works
