import dataclasses

from behave import step
from behave import then
from behave import when
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from features.support import gateway_world
from features.support import logs
from godwitloft import attempt as attempts
from godwitloft import connection_check

RESULTS = {
    "refuse connections": False,
    "accept connections": True,
    "be out of reach": None,
}
LATER = ", and 5 s later to refuse them"
SOON_MS = 500
SOON = ", and 0.5 s later to "


def send(context, count):
    """Sends requests to the first upstream of a service."""
    world = context.world
    if not hasattr(context, "log"):
        context.log = logs.record(context)
    del world.upstreams["u1"]
    world.gateway.update_upstreams(world.upstreams)
    for _ in range(count):
        world.ask(f"b{len(world.sent)}", "post")
    assert len(world.sent) >= count, len(world.sent)
    return world.sent[-count:]


@when("an upstream breaks off a request")
def break_one(context):
    for sent in send(context, 1):
        sent.end(attempts.End.BROKEN)


@when("an upstream breaks off {count:d} requests at once")
def break_many(context, count):
    for sent in send(context, count):
        sent.end(attempts.End.BROKEN)


@when(
    "an upstream breaks off a request, and answers another one that was sent"
    " {when} it"
)
def break_and_answer(context, when):
    world = context.world
    first, second = send(context, 2)
    world.advance(gateway_world.TICK_MS)
    first.end(attempts.End.BROKEN)
    world.advance(gateway_world.TICK_MS)
    if when == "after":
        second.answer()
        world.ask("late", "post")
        second = world.sent[-1]
    second.answer()


@step("it is found to {found}")
def check(context, found):
    world = context.world
    found, _, found_soon = found.partition(SOON)
    for _place, on_checked in list(world.checks):
        on_checked(RESULTS[found.removesuffix(LATER)])
    if found_soon:
        before = len(world.checks)
        world.advance(SOON_MS + gateway_world.TICK_MS)
        found_soon = found_soon.replace("them", "connections")
        for _place, on_checked in world.checks[before:]:
            on_checked(RESULTS[found_soon])
    if found.endswith(LATER):
        world.advance(5000)
        world.ask("later", "post")
        world.sent[-1].end(attempts.End.NOT_SENT)


@then("it was checked {count:d} time")
@then("it was checked {count:d} times")
def check_checks(context, count):
    assert len(context.world.checks) == count, context.world.checks


@then("{count:d} crashes are counted")
def check_crashes(context, count):
    lines = context.log.fields("GL1309")
    assert len(lines) == count, lines


@then("1 crash of {count:d} requests is counted")
def check_crash(context, count):
    lines = context.log.fields("GL1309")
    assert [line["requests"] for line in lines] == [count], lines


PROBLEMS = {
    "is refused": error.ConnectionRefusedError,
    "times out": error.TimeoutError,
    "has no route": error.NoRouteError,
}


@when("the connection of the next request {ends}")
def connect_next(context, ends):
    world = context.world
    reactor = testing.MemoryReactorClock()
    world.ask("next", "post")
    sent = world.sent[-1]
    context.ended = []

    def on_end(how, reason):
        context.ended.append(reason)
        sent.end(how, reason)

    callbacks = dataclasses.replace(sent.callbacks, on_end=on_end)
    attempts.start(reactor, ("127.0.0.1", 9), sent.outgoing, callbacks)
    problem = failure.Failure(PROBLEMS[ends]())
    reactor.tcpClients[0][2].clientConnectionFailed(None, problem)


@when('the next request is not sent, for the reason "{reason}"')
def not_send(context, reason):
    context.world.ask("next", "post")
    context.world.sent[-1].end(attempts.End.NOT_SENT, reason)


@then('the next request\'s attempt ended with reason "{reason}"')
def check_reason(context, reason):
    assert context.ended == [reason], context.ended


@when("a connection to an upstream that is checked {ends}")
def check_connection(context, ends):
    reactor = testing.MemoryReactorClock()
    context.results = []
    address = ("127.0.0.1", 9)
    connection_check.start(reactor, address, context.results.append)
    factory = reactor.tcpClients[0][2]
    if ends == "is made":
        assert factory.buildProtocol(None) is None
        return
    problem = failure.Failure(PROBLEMS[ends]())
    factory.clientConnectionFailed(None, problem)


@then("the check proves {proof}")
def check_proof(context, proof):
    expected = {
        "that it accepts": True,
        "that it refuses": False,
        "nothing": None,
    }[proof]
    assert context.results == [expected], context.results
