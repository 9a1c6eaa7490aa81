import dataclasses
import json

from behave import given
from behave import then
from behave import when

from features.support import gateway_world
from features.support import wire_answers as wire
from godwitloft.gateway import checked_attempt
from godwitloft.gateway.streams import stream_events
from godwitloft.platform import life_check
from godwitloft.platform import store as stores

# An event without an id, one with an empty id, and a comment.
WITHOUT_NUMBER = {
    "-": b"data: x\n\n",
    "=": b"id:\ndata: x\n\n",
    ":": b": x\n\n",
}


def event(name):
    return WITHOUT_NUMBER.get(name, f"id: {name}\ndata: x\n\n".encode())


def events(names):
    return b"".join(event(name) for name in names.split())


@when(
    "the upstream breaks the connection off after events with the ids"
    ' "{names}"'
)
def break_off(context, names):
    sent = context.world.sent[0]
    sent.receive(sent.answer_head(wire.CHUNKED))
    for name in names.split():
        sent.receive(wire.chunk(event(name)))
    sent.close(clean=False)


@when('the next one answers with events with the ids "{names}"')
def go_on(context, names):
    sent = context.world.sent[1]
    sent.receive(wire.complete_answer(sent, "chunks", events(names)))
    context.world.advance(wire.SILENCE_MS)


@when("the next one answers {status:d} {reason}")
def fail(context, status, reason):
    sent = context.world.sent[1]
    line = f"{status} {reason}".encode()
    body = b"an error\n\n"
    head = sent.answer_head(wire.length_header(body), status=line)
    sent.receive(head + body)
    context.world.advance(wire.SILENCE_MS)


@then('the caller has received just the events with the ids "{names}"')
def check_events(context, names):
    received = context.caller.received
    _head, _, body = received.partition(b"\r\n\r\n")
    found = b""
    while body:
        size, _, rest = body.partition(b"\r\n")
        found += rest[: int(size, 16)]
        body = rest[int(size, 16) + 2 :]
    assert found == events(names), received


HAS_ID = {"has": True, "lacks": False, "may have": None}


@then('of the events "{data}" the last one {has} an id')
def check_id(context, data, has):
    raw = data.replace("\\n", "\n").replace("\\r", "\r").encode()
    assert stream_events.last_event_has_id(raw) is HAS_ID[has], raw


@given("its upstreams, asked for their start, are found to be {name}")
def set_found(context, name):
    found = checked_attempt.Found[name]
    context.world.check_life = lambda _place, on_checked: on_checked(found)


@given("its upstreams, asked for their start, do not answer yet")
def hold_answers(context):
    context.asked = []
    context.world.check_life = lambda _place, on_checked: context.asked.append(
        on_checked
    )


@when("its upstreams, asked for their start, answer")
def answer_now(context):
    (on_checked,) = context.asked
    on_checked(checked_attempt.Found.SAME)


@then(
    'a report "{report}" of an upstream that is listed as started at'
    " {born_ms:d} shows {name}"
)
def check_report(context, report, born_ms, name):
    place = dataclasses.replace(
        gateway_world.upstream("u1", "model"), born_ms=born_ms
    )
    answer = stores.Answer(json.loads(report), None)
    found = life_check.compare(place, answer)
    assert found is checked_attempt.Found[name], found


@then(
    "an upstream listed as started at {born_ms:d} tells of {what} since"
    ' {since_ms:d} by its report "{report}"'
)
def check_restart(context, report, born_ms, since_ms, what):
    place = dataclasses.replace(
        gateway_world.upstream("u1", "model"), born_ms=born_ms
    )
    answer = stores.Answer(json.loads(report), None)
    found = life_check.has_restarted(place, answer, since_ms)
    assert found == (what == "a new start"), found
