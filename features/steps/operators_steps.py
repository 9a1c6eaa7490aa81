import contextlib
import json
import logging
import pathlib
import shutil
import tempfile

from behave import given
from behave import then
from behave import when
from twisted.internet import address
from twisted.internet import defer
from twisted.internet import testing
from twisted.web import resource

from features.support import operators
from godwitloft import events
from godwitloft.objects import parse
from godwitloft.operators import operator_http
from godwitloft.runtime import bounded_http

BODIES = {
    "publish": {
        "objects": {"tiers": [{"name": "gold", "rank": 0}]},
        "base_generation": 0,
        "reason": "a test",
        "publish_id": "p",
    },
    "drain": {"reason": "a test"},
}
HEAD = ("write_row", ("head",))
BODY_PARTS = 20
PEER = address.IPv4Address("TCP", "127.0.0.1", 40000)


class EventRecorder(logging.Handler):
    def __init__(self):
        super().__init__()
        self.codes = []

    def emit(self, record):
        self.codes.append(record.event.code)


@given("an operator API over an empty store")
def make_api(context):
    context.operators = operators.OperatorApi()
    context.records = EventRecorder()
    logger = logging.getLogger(events.LOGGER_NAME)
    logger.addHandler(context.records)
    context.add_cleanup(logger.removeHandler, context.records)


@when("the commands of {page} run in {example}")
def run_page(context, page, example):
    text = pathlib.Path(page).read_text(encoding="utf-8")
    objects = pathlib.Path(example, "objects").absolute()
    with tempfile.TemporaryDirectory() as directory:
        shutil.copytree(objects, pathlib.Path(directory, "objects"))
        with contextlib.chdir(directory):
            context.page_results = list(
                operators.run_page(context.operators, text)
            )


@then("each prints the output on the page")
def check_page(context):
    assert len(context.page_results) > 20
    for command, expected, printed in context.page_results:
        assert printed == expected, f"$ {command}\n{printed}"


def send(context, method, path, token, data):
    api = context.operators
    headers = {} if token == "none" else {"Authorization": f"Bearer {token}"}

    async def call():
        response = await api.http.request(
            method,
            f"{operators.SERVER}/operator/{path}",
            headers=headers,
            data=data,
        )
        return response.code, json.loads(await api.http.content(response))

    context.answer = api.wait(defer.ensureDeferred(call()))


@when("an operator sends {method} {path} with the token {token}")
def send_call(context, method, path, token):
    body = BODIES.get(path.partition("/")[0])
    data = json.dumps(body).encode() if body and method == "POST" else None
    send(context, method, path, token, data)


@then('the API answers {status:d} with the reason "{reason}"')
def check_answer(context, status, reason):
    found, value = context.answer
    assert (found, value["error"]["reason"]) == (status, reason), value
    assert context.operators.refusals.counts == {reason: 1}
    assert context.records.codes == [events.OPERATOR_REFUSED.code]


@then('the API answers {status:d} with the reason ""')
def check_success(context, status):
    assert context.answer[0] == status, context.answer
    assert context.operators.refusals.counts == {}
    assert events.OPERATOR_REFUSED.code not in context.records.codes


@when("a publisher sends the body {text}")
def send_body(context, text):
    send(context, "POST", "publish", "example-publisher", text.encode())


@then('the API answers {status:d} and says "{message}"')
def check_body(context, status, message):
    found, value = context.answer
    assert found == status, value
    assert message in json.dumps(value), value
    assert sum(context.operators.refusals.counts.values()) == 1


@given("the store answers every {call} with {outcome}")
def set_store(context, call, outcome):
    context.outcome = (call, outcome)


def use_outcome(context, outcome):
    target = context.outcome[0]

    def choose(name, args):
        called = "write_head" if (name, args[1:2]) == HEAD else name
        return outcome if called == target or name == target else "ok"

    context.operators.store.choose = choose


@given("{directory} is published")
def publish_files(context, directory):
    context.operators.publish(parse.from_files([directory]))


@when('the command "{text}" runs over tier gold')
def run_over_tier(context, text):
    tiers = parse.from_value(BODIES["publish"]["objects"], "a test")
    context.operators.publish(tiers)
    use_outcome(context, context.outcome[1])
    context.command = text
    context.ended = context.operators.run(text)


@when('the command "{text}" runs')
def run_command(context, text):
    if "outcome" in context:
        use_outcome(context, context.outcome[1])
    servers = getattr(context, "servers", operators.SERVER)
    context.ended = context.operators.run(text, server=servers)


@then('it ends with {code:d} and says "{message}"')
def check_end(context, code, message):
    found, output, notes = context.ended
    assert found == code, context.ended
    assert message in output + notes, context.ended


@then("it ends with {code:d} and names the publish id")
def check_hint(context, code):
    check_end(context, code, "Run the command again with --publish-id")


@then("it ends with {code:d} and does not name the publish id")
def check_no_hint(context, code):
    check_end(context, code, "godwitloft: http://127.0.0.1:")
    assert "--publish-id" not in context.ended[2], context.ended


@then('it says "{message}"')
def check_note(context, message):
    assert message in context.ended[2], context.ended


@then(
    "with the store available again, a retry with the publish id results in"
    " generation {generation:d}"
)
def check_again(context, generation):
    context.operators.store.land()
    use_outcome(context, "ok")
    again = f"{context.command} --publish-id publish-1"
    code, output, notes = context.operators.run(again)
    assert code == 0, notes
    code, output, _ = context.operators.run("godwitloft history --json")
    heads = json.loads(output)
    assert heads[0]["generation"] == generation, heads
    assert len({head["publish_id"] for head in heads}) == len(heads), heads


@given("entries at {addresses}, where only {host} answers")
def set_servers(context, addresses, host):
    context.servers = ",".join(
        f"http://{server}" for server in addresses.split()
    )
    context.operators.http = operators.SingleHostClient(
        context.operators.http, host
    )


@then("its output is JSON with the code {code:d}")
def check_json(context, code):
    found, output, notes = context.ended
    assert found == code, context.ended
    value = json.loads(output or notes)
    assert not output or not notes
    if not output:
        assert value["error"]["code"] == code
    assert value != {}


def connect(context, site):
    channel = site.buildProtocol(PEER)
    if channel is None:
        context.transport = None
        return None
    context.transport = testing.StringTransport(peerAddress=PEER)
    context.transport.abortConnection = context.transport.loseConnection
    channel.makeConnection(context.transport)
    return channel


@given("a site that accepts {size:d} bytes of headers")
def make_site(context, size):
    bounds = bounded_http.Bounds(lambda _request: 1024, 1, size)
    context.site = bounded_http.site(resource.Resource(), bounds, lambda: None)


@when("a request with a header of {size:d} bytes arrives")
def send_header(context, size):
    channel = connect(context, context.site)
    head = b"GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Long: "
    channel.dataReceived(head + b"x" * size + b"\r\n\r\n")
    context.add_cleanup(channel.connectionLost, None)


@when(
    "{connections:d} connections are open and one sends a body of {size:d}"
    " bytes {style} with the token {token}"
)
def open_connections(context, connections, size, style, token):
    site = operator_http.site(context.operators.api)
    site.doStart()
    for _ in range(connections):
        channel = connect(context, site)
        if channel is None:
            return
    lines = ["POST /operator/publish HTTP/1.1", "Host: 127.0.0.1"]
    if token != "none":
        lines.append(f"Authorization: Bearer {token}")
    announced = style == "announced"
    lines.append(
        f"Content-Length: {size}"
        if announced
        else "Transfer-Encoding: chunked"
    )
    channel.dataReceived("\r\n".join([*lines, "", ""]).encode())
    for _ in range(BODY_PARTS):
        part = b"x" * (size // BODY_PARTS)
        framed = part if announced else b"%x\r\n%b\r\n" % (len(part), part)
        if not context.transport.disconnecting:
            channel.dataReceived(framed)
    if not announced and not context.transport.disconnecting:
        channel.dataReceived(b"0\r\n\r\n")
    context.add_cleanup(channel.connectionLost, None)


@then('the connection gets "{answer}"')
def check_connection(context, answer):
    transport = context.transport
    if answer == "no connection":
        assert transport is None
        assert context.operators.refusals.counts == {"too_many_connections": 1}
        return
    written = transport.value()
    if answer == "nothing":
        assert transport.disconnecting and not written, written
    else:
        assert written.startswith(f"HTTP/1.1 {answer}".encode()), written
