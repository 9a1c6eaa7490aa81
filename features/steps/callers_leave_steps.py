import socket

from behave import then
from behave import when
from twisted.internet import testing

from features.support import gateway_world
from godwitloft import attempt as attempts
from godwitloft.gateway import request as requests


def fill(world):
    """Lets other requests use all slots of both services."""
    for number in range(8):
        for route in ("post", "draft"):
            world.ask(f"f{number}{route}", route, left_ms=4000)
    assert len(world.sent) == 16, len(world.sent)


def ask_with_socket(context, route):
    """Returns a caller that has asked over a connection that stays open."""
    caller = gateway_world.Caller(context.world)
    caller.other, caller.handle = socket.socketpair()
    context.add_cleanup(caller.other.close)
    context.add_cleanup(caller.handle.close)
    caller.transport.getHandle = lambda: caller.handle
    return caller


@when('a caller with a socket requests "{route}"')
def ask_over_socket(context, route):
    context.caller = ask_with_socket(context, route)
    context.caller.ask("a", route)


@when('a caller closes {when} of its "{route}"')
def close(context, when, route):
    world = context.world
    caller = context.caller = ask_with_socket(context, route)
    if when == "right after the last byte":
        caller.other.close()
        caller.ask("a", route)
    elif when == "during the wait for an upstream":
        fill(world)
        before = list(world.sent)
        caller.ask("a", route)
        assert len(world.sent) == len(before), len(world.sent)
        caller.other.close()
        for sent in before:
            sent.answer()
    elif when == "before the next attempt":
        caller.ask("a", route)
        caller.other.close()
        world.sent[0].end(attempts.End.BROKEN)
        world.sent.pop(0)
    else:
        caller.ask("a", route)
        caller.other.close()
        (sent,) = world.sent
        sent.callbacks.before_send()
        assert sent.cancelled
        world.sent.clear()


@then("no upstream gets its request")
def check_unsent(context):
    name = gateway_world.DIALECT.request_id
    found = [sent for sent in context.world.sent if sent.headers[name] == b"a"]
    assert not found, found


@then("its request neither waits nor runs")
def check_ended(context):
    gateway = context.world.gateway
    waiting = [
        request
        for queue in gateway.waiting.values()
        for request in queue
        if request.state is not requests.State.ENDED
    ]
    ids = {request.facts.id for request in [*waiting, *gateway.running]}
    assert "a" not in ids, ids


@then("an attempt that is cancelled before it sends has sent nothing")
def check_cancelled(_context):
    ends = []
    attempt = attempts.Attempt(
        attempts.Outgoing(b"GET", b"/", [(b"host", b"h")], b""),
        attempts.AttemptCallbacks(
            lambda _status, _headers: None,
            lambda _data: None,
            lambda *end: ends.append(end),
            before_send=lambda: attempt.cancel(),
        ),
        lambda _on_checked: None,
    )
    transport = testing.StringTransportWithDisconnection()
    transport.protocol = attempt
    transport.setTcpNoDelay = lambda _on: None
    transport.abortConnection = transport.loseConnection
    attempt.makeConnection(transport)
    assert transport.value() == b""
    assert not transport.connected
    assert not ends
