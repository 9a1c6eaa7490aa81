from behave import given
from behave import then
from behave import when
from twisted.internet import testing

from features.support import wire
from godwitloft.platform import store as stores

ROW = {"table": "table", "part": "", "key": "key", "value": "dmFsdWU="}


@given("a client of the platform's store")
def client(context):
    context.reactor = testing.MemoryReactorClock()
    context.store = stores.Store(
        stores.Client(context.reactor, "127.0.0.1", 9, ""),
        stores.Timeline(lambda _before, _now: None),
    )


def answer(context, raw):
    """Answers the newest call with some bytes and a clean close."""
    factory = context.reactor.tcpClients[-1][2]
    protocol = factory.buildProtocol(None)
    transport = wire.connect(protocol, context)
    protocol.dataReceived(raw)
    wire.close(transport)
    wire.answer_check(context.reactor)


@when(
    'a write is answered with 200, framed by {framing}, and the body "{body}"'
)
@when('a write is answered with 200, framed by {framing}, and the body ""')
def write(context, framing, body=""):
    context.results = []
    context.errors = []
    call = context.store.transact({"expected": [], "set-keys": [ROW]})
    call.addCallbacks(context.results.append, context.errors.append)
    length = f"Content-Length: {len(body)}\r\n" if framing == "length" else ""
    raw = f"HTTP/1.1 200 OK\r\n{length}\r\n{body}"
    answer(context, raw.encode())


@then("the write {result}")
def check(context, result):
    if result == "succeeds":
        bodies = [answer.body for answer in context.results]
        assert bodies == [{"ver": 5}], context.errors
    else:
        assert not context.results, context.results
        assert context.errors[0].check(stores.StoreError)
