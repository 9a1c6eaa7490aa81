from behave import given
from behave import then
from behave import when
from twisted.internet import task
from twisted.internet import testing
from twisted.web.test import requesthelper

from godwitloft.standins import lakeshore

MISDIRECTED = 421
BAD_PART = "bad"


@given("a stand-in runner that is to misdirect {count:d} requests")
def runner(context, count):
    reactor = task.Clock()
    rows = lakeshore.Rows(reactor)
    context.runner = lakeshore.Runner(0, "desk", rows, reactor)
    context.runner.control({"misdirect": count})


def ask(context, target):
    request = requesthelper.DummyRequest([b""])
    request.uri = b"/x"
    request.path = b"/x"
    request.requestHeaders.setRawHeaders(lakeshore.TARGET, [target])
    request.requestHeaders.setRawHeaders(lakeshore.REQUEST_ID, ["r"])
    context.runner.run(request)
    return request.responseCode


@when("{count:d} requests for another runner arrive")
def for_another(context, count):
    for _ in range(count):
        assert ask(context, "i-other-0") == MISDIRECTED


@when("{count:d} requests for it arrive")
def for_it(context, count):
    context.statuses = [ask(context, context.runner.id) for _ in range(count)]


@then("{count:d} of those for it are misdirected")
def check_misdirected(context, count):
    found = context.statuses.count(MISDIRECTED)
    assert found == count, context.statuses
    assert context.runner.misdirect == 0, context.runner.misdirect


@given("a stand-in runner that breaks off the next stream without framing")
def breaking_runner(context):
    reactor = task.Clock()
    rows = lakeshore.Rows(reactor)
    context.runner = lakeshore.Runner(0, "model", rows, reactor)
    context.runner.control({"break_unframed": 1})


@when("it is asked for events {first:d} to {last:d}")
def ask_stream(context, first, last):
    request = requesthelper.DummyRequest([b""])
    request.uri = request.path = b"/x"
    request.transport = testing.StringTransport()
    request._disconnected = False
    headers = request.requestHeaders
    headers.setRawHeaders(lakeshore.REQUEST_ID, ["r"])
    headers.setRawHeaders("Godwitloft-Token-Counts", [f"0,{last}"])
    headers.setRawHeaders("Last-Event-Id", [str(first - 1)])
    headers.setRawHeaders(lakeshore.PROMPT_PARTS, [f"{BAD_PART}:1,own:1"])
    context.runner.run(request)
    interval_s = lakeshore.EVENT_INTERVAL_MS / lakeshore.MS_PER_S
    context.runner.reactor.pump([interval_s] * last)
    context.transport = request.transport


@then(
    "it sends {whole:d} whole events and {half:d} half ones, and closes the"
    " connection"
)
def check_broken_off(context, whole, half):
    _head, _, body = context.transport.value().partition(b"\r\n\r\n")
    events = body.split(b"\n\n")
    assert len(events) - 1 == whole, body
    assert (1 if events[-1] else 0) == half, body
    assert context.transport.disconnecting


@given('a runner with the change "{change}"')
def changed_runner(context, change):
    reactor = task.Clock()
    rows = lakeshore.Rows(reactor)
    context.runner = lakeshore.Runner(0, "model", rows, reactor)
    values = {"crash_part": BAD_PART, "cut_after": [1]}
    context.runner.control({change: values.get(change, 1)})


@given(
    'a runner of "{service}" that leaves out framing in each {every:d} answers'
)
def unframing_runner(context, service, every):
    reactor = task.Clock()
    rows = lakeshore.Rows(reactor)
    context.runner = lakeshore.Runner(0, service, rows, reactor)
    context.runner.control({"unframed_every": every})


@when("it is asked {times:d} times for events {first:d} to {last:d}")
def ask_often(context, times, first, last):
    context.transports = []
    for _ in range(times):
        ask_stream(context, first, last)
        context.transports.append(context.transport)


@then("{count:d} of its answers are whole and unframed")
def check_unframed(context, count):
    texts = [transport.value() for transport in context.transports]
    unframed = [text for text in texts if text.startswith(b"HTTP/1.1 200")]
    assert len(unframed) == count, texts
    lines = 1 if context.runner.service == "desk" else 9
    for text in unframed:
        body = text.partition(b"\r\n\r\n")[2]
        assert body.count(b"\n") == lines, body
    closed = [item for item in context.transports if item.disconnecting]
    assert len(closed) == count, closed


@given('the runner is leaving "{leaving}" and names the limit {limit_per_s:d}')
def say_of_itself(context, leaving, limit_per_s):
    change = {"says_leaving": leaving == "yes"}
    context.runner.control(change | {"limit_per_s": limit_per_s or None})


@then('its ledger says broken off "{broken}" and closed after "{closed}"')
def check_ledger(context, broken, closed):
    rows = context.runner.ledger
    found = [(row["broke_off"], row["closed_after"]) for row in rows]
    closed_after = None if closed == "no" else int(closed)
    expected = [(broken == "yes", closed_after)]
    assert found == (expected if rows else []), rows
    assert rows or context.runner.turned_away


@then(
    'the head of its answer says leaving "{leaving}" and limit {limit_per_s:d}'
)
def check_head(context, leaving, limit_per_s):
    head, _, _body = context.transport.value().partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    assert lines[0] == "HTTP/1.1 200 OK", lines
    fields = dict(line.split(": ", 1) for line in lines[1:])
    assert len(fields) == len(lines) - 1, lines
    assert fields[lakeshore.REQUEST_ID] == "r", lines
    assert fields[lakeshore.SEAL] == f"seal-{context.runner.id}", lines
    assert (fields.get(lakeshore.LEAVING) == "1") == (leaving == "yes"), lines
    expected = str(limit_per_s) if limit_per_s else None
    assert fields.get(lakeshore.LIMIT) == expected, lines


@then("it sends {count:d} events")
def check_count(context, count):
    assert context.transport.value().count(b"data: ") == count, (
        context.transport.value()
    )
