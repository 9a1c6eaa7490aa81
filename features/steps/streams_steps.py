from behave import given
from behave import then
from behave import when

from godwitloft import charts
from godwitloft import clock as clocks
from godwitloft import metrics
from godwitloft import trace
from godwitloft.agent import dispatcher
from godwitloft.agent import upstream
from godwitloft.entry import answers
from godwitloft.entry import call as calls
from godwitloft.entry import request as requests
from godwitloft.links.generated.messages import ttypes

BODY = b'data: {"text": "data"}\n\ndata: {"text": "d"}\n\n'
STREAM = BODY + requests.STREAM_END_MARKER


def streamed_call():
    return calls.Call(
        team="t",
        team_weight=1,
        tier="gold",
        tier_rank=0,
        service="m",
        pools=("p",),
        method="POST",
        path="/v1/completions",
        headers={},
        body=b"",
        stream=True,
        is_model=True,
        idempotent=False,
        timeout_ms=1000,
        prompt_tokens=1,
        output_tokens=1,
        prefix_keys=(),
        fingerprint="f",
    )


@given("a streamed request whose answer arrives in parts of {size:d} bytes")
def take_parts(context, size):
    context.received = []
    position = charts.load("request").start()
    context.request = requests.Request(
        "e-1", streamed_call(), context.received.append, position, 0
    )
    for sequence, start in enumerate(range(0, len(STREAM), size)):
        data = STREAM[start : start + size]
        context.request.add_chunk(ttypes.Chunk("e-1", sequence, data))


def received_bytes(context):
    return b"".join(
        answer.data
        for answer in context.received
        if isinstance(answer, answers.Data)
    )


@then("before the end of the run the caller has all but the end marker")
def check_held_back(context):
    assert received_bytes(context) == BODY, received_bytes(context)


@then("after the end of the run the caller has every byte in order")
def check_whole(context):
    ended = ttypes.Ended("e-1", "completed", 0, "", 200, "")
    context.request.send_rest(ended)
    assert received_bytes(context) == STREAM, received_bytes(context)


TICK_MS = 5


@given("a dispatcher with a run whose response has begun")
def start_run(context):
    context.manual_clock = clocks.ManualClock()
    context.sent = []

    def send(_peer, name, body):
        if name == "chunks":
            context.sent.extend(chunk.data for chunk in body.chunks)
        return True

    context.dispatcher = dispatcher.Dispatcher(
        context.manual_clock.clock(),
        send,
        upstream.Upstream(*[lambda *_arguments: None] * 5),
        trace.NullRecorder(),
        metrics.discard(),
        dispatcher.DispatcherSettings(),
    )
    hello = ttypes.Hello(1, "entry", "e", "e", "a", 0)
    context.dispatcher.peer_up(hello)
    bid = ttypes.Bid("e-1", 0, "t", 1, "m", 60_000, 1, 9, [], "f", False, 0, 0)
    context.dispatcher.receive("e", "bid", bid)
    dispatch = ttypes.Dispatch(
        "e-1", "POST", "/", {}, b"", True, 60_000, False, 0
    )
    context.dispatcher.receive("e", "dispatch", dispatch)
    receive_part(context, b"first")


def receive_part(context, data):
    context.part = data
    context.dispatcher.upstream_data("e-1", data, 1, 200, "text/plain")


def pass_time(context, duration_ms):
    for _ in range(duration_ms // TICK_MS):
        context.manual_clock.advance(TICK_MS)
        context.dispatcher.tick()


@when("a part arrives after {duration_ms:d} ms of ticks")
def quiet_part(context, duration_ms):
    pass_time(context, duration_ms)
    receive_part(context, b"second")


@when("another part arrives {duration_ms:d} ms later")
def soon_part(context, duration_ms):
    context.manual_clock.advance(duration_ms)
    receive_part(context, b"third")


@when("another {duration_ms:d} ms of ticks pass")
def more_time(context, duration_ms):
    pass_time(context, duration_ms)


@then("the part is sent at once")
@then("that part is sent")
def check_sent(context):
    assert context.sent[-1] == context.part, context.sent


@then("that part is buffered")
def check_waits(context):
    assert context.part not in context.sent, context.sent
