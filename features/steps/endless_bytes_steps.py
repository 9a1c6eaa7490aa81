import gc
import itertools
import json
import tracemalloc
import types

from behave import given
from behave import step
from behave import then
from behave import when
from twisted.internet import defer
from twisted.internet import testing

from features.support import gateway_world
from features.support import wire
from godwitloft import attempt as attempts
from godwitloft.platform import agent as agents
from godwitloft.platform import settings
from godwitloft.platform import store as stores

PART = 16 * 1024
MOST_SENT = 8 * 1024 * 1024
KB = 1024
CLOSE_STATUS = b"500 Internal Server Error"


def beginning(sent, what):
    """Returns the bytes before those that have no end."""
    if what == "the body of a failure":
        return sent.answer_head(status=CLOSE_STATUS)
    if what == "the body of a refusal as not run":
        name = gateway_world.DIALECT.not_run
        return sent.answer_head(name + b": 1", status=b"503 Unavailable")
    if what == "the body of an answer without a seal":
        return b"HTTP/1.1 200 OK\r\n\r\n"
    chunked = sent.answer_head(b"transfer-encoding: chunked")
    return {
        "a status line": b"HTTP/1.1 200 ",
        "header lines": b"HTTP/1.1 200 OK\r\n",
        "interim answers": b"HTTP/1.1 100 Continue\r\n\r\n",
        "a chunk size": chunked,
        "trailers": chunked + b"0\r\n",
        "an event": sent.answer_head() + b"data: ",
        "its body": sent.answer_head(),
    }[what]


def endless(what):
    """Returns a part of the bytes that have no end."""
    return {
        "header lines": b"x: yyyyyyyyyyyyy\r\n" * (PART // 18),
        "interim answers": b"HTTP/1.1 102 Processing\r\n\r\n" * (PART // 27),
        "a chunk size": b"0" * PART,
        "trailers": b"x: yyyyyyyyyyyyy\r\n" * (PART // 18),
        "its body": b"data: x\n\n" * (PART // 9),
    }.get(what, b"z" * PART)


def kept_bytes(request):
    """Returns how much of an answer the gateway keeps for a request."""
    answer = request.answer
    if answer is None:
        return 0
    return sum(map(len, answer.buffered)) + len(answer.partial_event)


@when('a caller requests "{route}" of it')
def ask(context, route):
    world = context.world
    context.caller = world.ask("a", route)
    (context.request,) = world.gateway.running


@step("the upstream sends {what} without end")
def send(context, what):
    sent = context.world.sent[0]
    context.bytes_sent = 0
    context.most_kept = 0
    part = beginning(sent, what)
    while sent.transport.connected and context.bytes_sent < MOST_SENT:
        if sent.transport.producerState == "paused":
            break
        sent.receive(part)
        context.bytes_sent += len(part)
        kept = kept_bytes(context.request)
        context.most_kept = max(context.most_kept, kept)
        part = endless(what)


@then("the gateway has closed that connection after at most 1 MB")
def check_closed(context):
    assert not context.world.sent[0].transport.connected
    assert context.bytes_sent <= KB * KB, context.bytes_sent


@then("it kept at most {most:d} kB of it")
def check_kept(context, most):
    assert context.most_kept <= most * KB, context.most_kept


@when("the caller reads nothing")
def read_nothing(context):
    transport = context.caller.transport
    written = transport.write

    def write(data):
        written(data)
        if transport.producer is not None:
            transport.producer.pauseProducing()

    transport.write = write


@when("the caller reads on")
def read_on(context):
    context.caller.transport.producer.resumeProducing()


@step("{seconds:d} s pass for the caller")
@step("{seconds:d} s passes for the caller")
def passing(context, seconds):
    context.world.advance(seconds * 1000)


@then("the gateway reads no more of it")
def check_paused(context):
    transport = context.world.sent[0].transport
    assert transport.producerState == "paused", context.bytes_sent


@then("the gateway reads on as well")
def check_resumed(context):
    transport = context.world.sent[0].transport
    assert transport.producerState == "producing", transport.producerState


@when("the upstream breaks off after {sent_kb:d} kB of {whole_kb:d} kB")
def break_off(context, sent_kb, whole_kb):
    sent = context.world.sent[0]
    length = b"content-length: %d" % (whole_kb * KB)
    sent.receive(sent.answer_head(length) + b"x" * (sent_kb * KB))
    sent.close(clean=False)
    context.world.advance(100)


@then("the upstreams have got {count:d} request")
def check_sent(context, count):
    assert len(context.world.sent) == count, len(context.world.sent)


@step("a client of a JSON server")
def client(context):
    context.result = defer.Deferred()
    context.call = stores.Call(
        "GET /x", context.result, lambda *_: None, stores.HeldBytes()
    )
    context.ends = []


@when("the server sends a body without end")
def send_json(context):
    context.bytes_sent = 0
    context.call.on_head(200, [])
    context.call.close = lambda: context.ends.append(attempts.End.BROKEN)
    for _ in itertools.repeat(None, 40 * KB * KB // PART):
        if context.ends:
            return
        context.call.on_data(b"1" * PART)
        context.bytes_sent += PART


@then('the call has failed with "{reason}" after at most {most:d} MB')
def check_failed(context, reason, most):
    errors = []
    context.result.addErrback(errors.append)
    assert errors and errors[0].value.reason == reason, errors
    assert context.bytes_sent <= most * KB * KB, context.bytes_sent


REFUSED_AT_ONCE = (
    b"GET /none/x HTTP/1.1\r\nHost: h\r\nGodwitloft-Request-Id: a\r\n\r\n"
)


def caller_request(framing=b"content-length: 0"):
    """Returns the head of a request."""
    return (
        b"POST /post/x HTTP/1.1\r\nHost: h\r\nGodwitloft-Request-Id: a\r\n"
        b"Godwitloft-Deadline-Ms: 4000\r\nAuthorization: Token key\r\n"
        b"%s\r\n\r\n" % framing
    )


def caller_bytes(what):
    """Returns the first bytes of a caller, and a part of the endless ones."""
    chunked = caller_request(b"transfer-encoding: chunked")
    return {
        "a request line": (b"GET /", b"z" * PART),
        "header lines": (b"GET / HTTP/1.1\r\n", endless("header lines")),
        "a chunk size": (chunked, b"0" * PART),
        "trailers": (chunked + b"0\r\n", endless("trailers")),
        "bytes behind a request": (caller_request(), b"z" * PART),
        "requests behind a request": (
            caller_request(),
            caller_request() * (PART // len(caller_request())),
        ),
        "requests, and reads no answer": (
            REFUSED_AT_ONCE,
            REFUSED_AT_ONCE * 100,
        ),
    }[what]


@when("a caller sends {what} without end")
def caller_sends(context, what):
    context.caller = gateway_world.Caller(context.world)
    transport = context.caller.transport
    if what.endswith("reads no answer"):
        read_nothing(context)
    part, more = caller_bytes(what)
    context.bytes_sent = 0
    while transport.connected and context.bytes_sent < MOST_SENT:
        if transport.producerState == "paused":
            break
        context.caller.send(part)
        context.bytes_sent += len(part)
        part = more


@then("the gateway {has_done} after at most 1 MB")
def check_caller_bounded(context, has_done):
    transport = context.caller.transport
    if has_done == "has closed":
        assert not transport.connected
    else:
        assert transport.connected
        assert transport.producerState == "paused", context.bytes_sent
    assert context.bytes_sent <= KB * KB, context.bytes_sent


@then("the caller has got {status}")
def check_caller_got(context, status):
    expected = None if status == "nothing" else int(status)
    assert context.caller.status == expected, context.caller.received


@when("its request is answered")
def answer_first(context):
    context.world.sent[0].receive(
        context.world.sent[0].answer_head(b"content-length: 0")
    )


@then("the gateway has got its next request")
def check_next(context):
    assert len(context.world.sent) == 2, len(context.world.sent)
    assert context.caller.transport.producerState == "paused"


@when("all that it sent is answered")
def answer_all(context):
    for sent in context.world.sent:
        if not sent.attempt.ended:
            sent.receive(sent.answer_head(b"content-length: 0"))


@then("the gateway reads on from the caller")
def check_reads_on(context):
    transport = context.caller.transport
    assert transport.producerState == "producing", transport.producerState


@when(
    "a caller sends {count:d} requests in one piece that are refused at once"
)
def caller_sends_many(context, count):
    context.caller = gateway_world.Caller(context.world)
    context.caller.send(REFUSED_AT_ONCE * count)


@then("it has got {count:d} answers")
def check_answers(context, count):
    received = context.caller.received.count(b"HTTP/1.1 404")
    assert received == count, received


BOOT = types.SimpleNamespace(
    instance="agent-0", host="127.0.0.1", zone="a", first_port=1
)


@given("{whose} client that calls a JSON server")
def calling_client(context, whose):
    context.reactor = testing.MemoryReactorClock()
    if whose == "an agent's":
        place = settings.Address("127.0.0.1", 9)
        daemon = agents.AgentDaemon(context.reactor, BOOT, place)
        context.client = daemon.client
    else:
        context.client = stores.Client(context.reactor, "127.0.0.1", 9, "")
    context.results = []
    context.errors = []


def begin_call(context):
    """Begins a call and returns the protocol of its connection."""
    result = context.client.call("GET", "/x")
    result.addCallbacks(context.results.append, context.errors.append)
    factory = context.reactor.tcpClients[-1][2]
    protocol = factory.buildProtocol(None)
    wire.connect(protocol, context)
    return protocol


def answer_body(what):
    """Returns the body of an answer, None for one without end."""
    count = int(what.split()[0]) if what[0].isdigit() else 0
    if what == "a body without end":
        return None
    text = b"x" * (7 * KB * KB)
    if what == "no JSON":
        return b"[" + text
    if what == "an object without rows":
        return b'{"other":"%s"}' % text
    if what == "an object whose rows are a text":
        return b'{"rows":"%s"}' % text
    if what.endswith("empty lists"):
        return b'{"rows":[%s[]]}' % (b"[]," * (count - 1))
    if what.endswith("empty names"):
        return b'{"rows":[%s{}]}' % (b'{"":0},' * (count - 1))
    if what.endswith("runs"):
        run = ["9c41d07be2a35f68" * 2, 521_614, 100_000, 100]
        return json.dumps({"running": count, "runs": [run] * count}).encode()
    row = {
        "table": "status",
        "part": "",
        "key": "k" * 200,
        "value": "A" * 2700,
        "ver": 123_456_789,
    }
    return json.dumps({"ver": 1, "rows": [row] * count}).encode()


def answer_calls(context, protocols, body):
    length = b"Content-Length: %d\r\n" % len(body) if body else b""
    head = b"HTTP/1.1 200 OK\r\n%s\r\n" % length
    for protocol in protocols:
        protocol.dataReceived(head)
    sent = 0
    while sent < (len(body) if body else MOST_SENT + KB * KB):
        part = body[sent : sent + PART] if body else b"1" * PART
        sent += PART
        for protocol in protocols:
            protocol.dataReceived(part)


@when("{calls:d} calls of it get {what}, one after the other")
def get_in_turn(context, calls, what):
    body = answer_body(what)
    for _ in range(calls):
        answer_calls(context, [begin_call(context)], body)


@when("{calls:d} calls of it get {what}")
def get_at_once(context, calls, what):
    body = answer_body(what)
    protocols = [begin_call(context) for _ in range(calls)]
    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)
    before, _ = tracemalloc.get_traced_memory()
    answer_calls(context, protocols, body)
    context.held = tracemalloc.get_traced_memory()[1] - before


@when(
    "it reads rows {calls:d} times while no garbage is collected,"
    " and gets {what}"
)
def read_rows(context, calls, what):
    store = stores.Store(context.client, stores.Timeline(lambda *_: None))
    body = answer_body(what)
    errors = []
    gc.collect()
    gc.disable()
    context.add_cleanup(gc.enable)
    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)
    before, _ = tracemalloc.get_traced_memory()
    for _ in range(calls):
        # As a loop that reads rows does, the error is kept for a while.
        store.read_all("servers").addErrback(
            lambda problem: errors.append(problem.value)
        )
        factory = context.reactor.tcpClients[-1][2]
        protocol = factory.buildProtocol(None)
        wire.connect(protocol, context)
        answer_calls(context, [protocol], body)
    assert len(errors) == calls, errors
    errors.clear()
    context.held = tracemalloc.get_traced_memory()[0] - before


@then("it holds at most {most:d} MB after these calls")
def check_left(context, most):
    assert context.held <= most * KB * KB, context.held


@then('all calls have failed with "{reason}"')
def check_all_failed(context, reason):
    reasons = {problem.value.reason for problem in context.errors}
    assert reasons == {reason}, reasons
    assert not context.results
    assert context.client.held.total == 0


@then("the calls held at most {most:d} MB at once")
def check_calls_held(context, most):
    assert context.held <= most * KB * KB, context.held


@then("all calls have succeeded")
def check_all_succeeded(context):
    assert not context.errors, context.errors[0]
    assert len(context.results) == 30


@when("{whose} sends {reads:d} reads of chunks of {size:d} bytes")
def send_chunks(context, whose, reads, size):
    world = context.world
    chunk = b"%x\r\n%s\r\n" % (size, b"a" * size)
    if whose == "a caller":
        caller = gateway_world.Caller(world)
        caller.send(caller_request(b"transfer-encoding: chunked"))
        transport, receive = caller.transport, caller.send
    else:
        world.ask("a", "draft")
        sent = world.sent[0]
        sent.receive(sent.answer_head(b"transfer-encoding: chunked"))
        transport, receive = sent.transport, sent.receive
    waiting = b""
    context.reads = []
    while len(context.reads) < reads and transport.connected:
        count = getattr(transport, "bufferSize", 64 * KB)
        waiting += chunk * (count // len(chunk) + 1)
        receive(waiting[:count])
        waiting = waiting[count:]
        context.reads.append(count)
    context.chunk_bytes = len(chunk)


@then("the largest read has at most {most:d} chunks")
def check_first_read(context, most):
    found = max(context.reads) // context.chunk_bytes
    assert found <= most, context.reads


@then("the last reads have {least:d} to {most:d} bytes")
def check_last_reads(context, least, most):
    last = context.reads[-5:]
    assert least <= min(last) and max(last) <= most, context.reads
