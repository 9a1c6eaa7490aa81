import socket

from behave import given
from behave import then
from behave import when
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from features.support import tls_server
from features.support import wire
from godwitloft.agent import http_upstream
from godwitloft.links.generated.messages import ttypes


class EndRecorder:
    """Stands in for a dispatcher and records how runs end."""

    def __init__(self):
        self.ends = []
        self.tokens = 0

    def upstream_data(self, _run_id, _data, tokens, _status, _content_type):
        self.tokens += tokens

    def upstream_ended(self, run_id, end, reason, **_others):
        self.ends.append((run_id, end.value, reason))


@given("an HTTP upstream with a run that is connecting")
def start_run(context):
    start_run_of(context, stream=False)


@given("an HTTPS upstream with a run that is connecting")
def start_tls_run(context):
    context.certificate = tls_server.write_certificate(context)
    start_run_of(context, stream=False, scheme="https", host="localhost")


@when('an upstream whose certificate is {certificate} answers "{body}"')
def answer_over_tls(context, certificate, body):
    path = context.certificate
    if certificate == "unknown":
        path = tls_server.write_certificate(context, trusted=False)
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"

    def prepare(transport):
        handle = socket.socket()
        context.add_cleanup(handle.close)
        transport.getHandle = lambda: handle
        transport.setTcpNoDelay = lambda _on: None

    context.server = tls_server.exchange(
        context.reactor, context.factory, path, (head + body).encode(), prepare
    )


@given("an HTTP upstream with a run whose {what}")
def start_malformed(context, what):
    malformed = {
        "path has a raw byte": {"path": "/x\x80"},
        "header has a line break": {"headers": {"accept": "a\r\nb: c"}},
        "method has a space": {"method": "PO ST"},
    }[what]
    start_run_of(context, stream=False, malformed=malformed)


@when("the upstream is connected")
def connect(context):
    transport = connected(context)
    assert not transport.value(), transport.value()


def start_run_of(
    context, stream, scheme="http", host="127.0.0.1", malformed=None
):
    context.reactor = testing.MemoryReactorClock()
    context.upstream = upstream = http_upstream.HttpUpstream(
        context.reactor, f"{scheme}://{host}:9", True
    )
    context.ends = EndRecorder()
    upstream.dispatcher = context.ends
    fields = {
        "request_id": "e-1",
        "method": "POST",
        "path": "/v1/completions",
        "headers": {},
        "body": b"{}",
        "stream": stream,
        "deadline_in_ms": 1000,
        "idempotent": False,
        "generation": 1,
    }
    upstream.start(ttypes.Dispatch(**fields | (malformed or {})))
    context.factory = context.reactor.tcpClients[0][2]


@when("the connection attempt fails with {name}")
def fail_connection(context, name):
    reason = failure.Failure(getattr(error, name)())
    context.factory.clientConnectionFailed(None, reason)
    # The endpoint tries further addresses of the host before it fails.
    context.reactor.pump([1.0] * 3)


@when("the upstream receives the request and closes the connection")
def drop_connection(context):
    transport = connected(context)
    assert b"POST /v1/completions" in transport.value(), transport.value()
    wire.close(transport, clean=False)


def connected(context):
    return wire.connect(context.factory.buildProtocol(None), context)


@given("an HTTP upstream with a {kind} run that is connecting")
def start_kind(context, kind):
    start_run_of(context, stream=kind == "streaming")


@when('the upstream sends "{data}" and {ends}')
def respond(context, data, ends):
    transport = connected(context)
    raw = data.replace("\\r", "\r").replace("\\n", "\n").encode()
    transport.protocol.dataReceived(raw)
    if ends != "stays silent" and transport.connected:
        wire.close(transport, clean=ends.startswith("closes the connection"))
        accepts = ends != "closes the connection and its port"
        is_back = ends.endswith("for 20 ms")
        wire.answer_check(context.reactor, accepts, accepts and not is_back)


@when(
    "the upstream sends a stream of {count:d} tokens in parts of {size:d}"
    " bytes"
)
def stream_in_parts(context, count, size):
    transport = connected(context)
    body = b"data: x\n\n" * count + b"data: [DONE]\n\n"
    transport.protocol.dataReceived(b"HTTP/1.1 200 OK\r\n\r\n")
    for start in range(0, len(body), size):
        transport.protocol.dataReceived(body[start : start + size])
    wire.close(transport)
    wire.answer_check(context.reactor)


@then("{count:d} tokens and the end marker are counted")
def check_tokens(context, count):
    assert context.ends.tokens == count + 1, context.ends.tokens


@when("the run is cancelled")
def cancel(context):
    context.upstream.cancel("e-1")


@then('the run ends as "{end}" with the reason "{reason}"')
@then('the run ends as "{end}" with the reason ""')
def check_end(context, end, reason=""):
    assert context.ends.ends == [("e-1", end, reason)], context.ends.ends
