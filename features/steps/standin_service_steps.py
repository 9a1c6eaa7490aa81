import json

from behave import given
from behave import then
from behave import when
from twisted.internet import task
from twisted.web import server

from features.support import wire
from godwitloft.standins import service as services


@given("a stand-in service that takes {duration:d} ms per call")
def start_service(context, duration):
    context.reactor = task.Clock()
    settings = services.ServiceSettings(duration_ms=duration)
    context.service = services.Service(settings, context.reactor)
    context.factory = server.Site(
        services.resource(context.service), reactor=context.reactor
    )


@when('the stand-in service executes the script "{script}"')
def run_script(context, script):
    context.calls = []
    for line in script.split("; "):
        at, action, *rest = line.split()
        context.reactor.advance(int(at) / 1000 - context.reactor.seconds())
        if action in ("GET", "POST"):
            path, key, body = rest
            header = "" if key == "-" else f"Idempotency-Key: {key}\r\n"
            transport = wire.send(
                context.factory, action, f"/{path}", body, header
            )
            context.calls.append((action, path, body, transport))
        elif action == "control":
            reply = wire.send(context.factory, "POST", "/control", *rest)
            assert wire.parse_response(reply)[0] == 200
        elif action == "leave":
            wire.disconnect(context.calls[-1][3])


def outcome(method, path, body, transport):
    if not transport.value():
        return "nothing"
    status, text = wire.parse_response(transport)
    if status != 200:
        return str(status)
    expected = services.answer(method, path, body.encode())
    return "right" if json.loads(text) == expected else text


@then('the service\'s ledger is "{lines}" and its callers got "{answers}"')
def check_calls(context, lines, answers):
    found = "; ".join(
        f"{call.number} {call.idempotency_key or '-'} {call.path} "
        f"{'yes' if call.took_effect else 'no'} {call.status}"
        for call in context.service.calls
    )
    assert (found or "-") == lines, found
    got = " ".join(outcome(*call) for call in context.calls)
    assert got == answers, got
