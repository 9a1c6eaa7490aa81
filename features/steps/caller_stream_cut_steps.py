import types

from behave import given
from behave import then
from behave import when
from twisted.internet import testing
from twisted.web import http

from godwitloft.entry import answers
from godwitloft.entry import caller_http

ERROR_EVENT = b"event: error\ndata: "


class Caller:
    """A caller of an entry, over a connection in memory."""

    def __init__(self, version):
        self.channel = http.HTTPChannel()
        self.channel.requestFactory = self.make_request
        self.channel.factory = types.SimpleNamespace(log=lambda _request: None)
        self.is_reset = False
        self.transport = testing.StringTransportWithDisconnection()
        self.transport.protocol = self.channel
        self.transport.abortConnection = self.reset
        self.channel.makeConnection(self.transport)
        line = f"GET / HTTP/{version}\r\nHost: h\r\n\r\n"
        self.channel.dataReceived(line.encode())

    def make_request(self, channel, *_arguments, **_options):
        self.request = http.Request(channel)
        self.request.process = lambda: None
        return self.request

    def reset(self):
        self.is_reset = True
        self.transport.loseConnection()

    def body(self):
        """Returns what was received, and whether its last chunk was."""
        head, _, rest = self.transport.value().partition(b"\r\n\r\n")
        if b"chunked" not in head.lower():
            return rest, False
        body = b""
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            length = int(size, 16)
            if not length:
                return body, True
            body += rest[:length]
            rest = rest[length + 2 :]
        return body, False


@given('a caller of HTTP/{version} to whom an entry streams "{data}"')
def stream_to(context, version, data):
    context.caller = Caller(version)
    port = types.SimpleNamespace(
        accept=lambda _call, _answer, _key: "r",
        cancel=lambda _id: None,
        pause=lambda _id, _paused: None,
    )
    request = context.caller.request
    context.writer = caller_http.AnswerWriter(request, port, True)
    context.writer.start(None, "")
    context.writer.answer(answers.Head(200, "text/event-stream"))
    data = data.replace("\\n", "\n").encode()
    # In parts that end anywhere.
    for start in range(0, len(data), 3):
        context.writer.answer(answers.Data(data[start : start + 3]))


@when("the run of the stream fails")
def fail(context):
    reason = answers.Reason.UPSTREAM_CRASHED
    context.writer.answer(answers.Failed(reason, "connection_lost"))


@then("the caller's connection is {end} without the end of the answer")
def check_end(context, end):
    caller = context.caller
    assert not caller.transport.connected
    assert caller.is_reset == (end == "reset")
    assert not caller.body()[1], caller.transport.value()


@then('the caller has received "{data}" and {more}')
def check_received(context, data, more):
    body, _ended = context.caller.body()
    data = data.replace("\\n", "\n").encode()
    assert body.startswith(data), body
    rest = body[len(data) :]
    if more == "no more":
        assert not rest, body
    else:
        assert rest.startswith(ERROR_EVENT), body
        assert rest.endswith(b"\n\n"), body
