from behave import given
from behave import then
from behave import when
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from features.support import gateway_world
from godwitloft.gateway import daemon as daemons


class SlowTransport(testing.StringTransport):
    """Closes only once its peer has read all that was written."""

    def __init__(self, reads):
        super().__init__()
        self.reads = reads
        self.setTcpNoDelay = lambda _on: None

    def loseConnection(self):
        self.disconnecting = True
        if self.reads == "all is sent":
            self.end()

    def end(self):
        self.protocol.connectionLost(failure.Failure(error.ConnectionDone()))


class Source:
    """Stands for what the gateway follows."""

    def start(self):
        pass

    stop = start


@given("a gateway process on a simulated clock")
def process(context):
    context.world = gateway_world.World()
    context.daemon = daemons.GatewayDaemon(
        context.world.reactor,
        context.world.clock,
        context.world.gateway,
        daemons.ConfigurationSource(Source().start, Source().stop),
        daemons.ListenOptions("127.0.0.1", 0, None, None, lambda: b""),
    )
    context.ended = []


def ask(context, reads, request_id="a"):
    context.transport = SlowTransport(reads)
    connection = context.daemon.caller_factory.buildProtocol(None)
    context.transport.protocol = connection
    connection.makeConnection(context.transport)
    connection.dataReceived(
        b"POST /post/x HTTP/1.1\r\nHost: h\r\n"
        b"Godwitloft-Request-Id: "
        + request_id.encode()
        + b"\r\nGodwitloft-Deadline-Ms: 60000\r\n"
        b"Authorization: Token key\r\nContent-Length: 0\r\n\r\n"
    )


@when("a caller gets an answer of which {what}")
def answer(context, what):
    ask(context, what)
    (sent,) = context.world.sent
    sent.answer()


@when("a caller's request is sent and not answered")
def no_answer(context):
    ask(context, "all is sent")
    assert context.world.sent


@when("the process gets SIGTERM")
def terminate(context):
    context.daemon.drain(lambda: context.ended.append(True))


@when("{duration_ms:d} ms pass for it")
def passing(context, duration_ms):
    context.world.advance(duration_ms)


@when("the caller has read all that it reads")
def read_all(context):
    transport = context.transport
    if transport.disconnecting and transport.reads == "a part is not sent yet":
        transport.end()


@then("it has ended: {ended}")
def check_ended(context, ended):
    assert bool(context.ended) == (ended == "yes")


@then("the caller was told {status:d}")
def check_status(context, status):
    received = context.transport.value()
    assert received.startswith(b"HTTP/1.1 %d" % status), received


@given('the end of request "{request_id}" fails by an error')
def fail_end(context, request_id):
    gateway = context.world.gateway
    end_running = gateway.end_running

    def fail(request, refusal):
        if request.facts.id == request_id:
            raise RuntimeError("planted")
        end_running(request, refusal)

    gateway.end_running = fail


@when('callers\' requests "a" and "b" are sent and not answered')
def ask_twice(context):
    ask(context, "all is sent", "a")
    ask(context, "all is sent", "b")
    assert len(context.world.sent) == 2


@when("the process has no time left")
def end_all(context):
    context.world.gateway.end_all()
