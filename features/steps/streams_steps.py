from behave import given
from behave import then

from godwitloft import charts
from godwitloft.entry import answers
from godwitloft.entry import call as calls
from godwitloft.entry import request as requests
from godwitloft.links.generated.messages import ttypes

BODY = b'data: {"text": "data"}\n\ndata: {"text": "d"}\n\n'
STREAM = BODY + requests.STREAM_END


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


@given("a streamed request whose answer comes in parts of {size:d} bytes")
def take_parts(context, size):
    context.told = []
    position = charts.load("request").start()
    context.request = requests.Request(
        "e-1", streamed_call(), context.told.append, position, 0
    )
    for sequence, start in enumerate(range(0, len(STREAM), size)):
        data = STREAM[start : start + size]
        context.request.take(ttypes.Chunk("e-1", sequence, data))


def bytes_told(context):
    return b"".join(
        one.data for one in context.told if isinstance(one, answers.Data)
    )


@then("before its end the caller has all but the end mark")
def check_held_back(context):
    assert bytes_told(context) == BODY, bytes_told(context)


@then("after its end the caller has every byte in order")
def check_whole(context):
    ended = ttypes.Ended("e-1", "completed", 0, "", 200, "")
    context.request.tell_rest(ended)
    assert bytes_told(context) == STREAM, bytes_told(context)
