import dataclasses
import re

from behave import given
from behave import then
from behave import when
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure
from twisted.web import _newclient
from twisted.web import http_headers

from features.support import gateway_world
from features.support import logs
from features.support import wire_answers
from features.support import wire_upstream
from godwitloft import answer_end

LINE_ENDS = {"LF": b"\n", "CRLF": b"\r\n", "CR": b"\r"}


@given("a gateway that reads what its upstreams send")
def gateway_on_wire(context):
    context.world = wire_upstream.WireWorld()
    context.log = logs.record(context)


@when(
    "the upstream's stream, framed by {framing}, ends inside its third event"
)
def ends_inside_event(context, framing):
    sent = context.world.sent[0]
    body = wire_answers.BODY[: wire_answers.MIDWAY + 6]
    sent.receive(wire_answers.complete_answer(sent, framing, body))
    wire_answers.close_if_open(sent)


# By what the list shows beside the others, from the upstream of a request.
NEW_PROCESSES = {
    "its upstream's next process": lambda former: former,
    "another upstream at its address": lambda former: dataclasses.replace(
        former, id="new", service="model"
    ),
    "another upstream at another address": lambda former: dataclasses.replace(
        former, id="new", port=former.port + 1
    ),
}


@when("the list shows {what} that started {when} the request was sent")
def list_new_process(context, what, when):
    world = context.world
    world.advance(100)
    born_ms = world.clock.wall_ms() if when == "after" else 2
    listed = world.gateway.fleet.listed
    former = world.sent[0].upstream
    upstreams = {
        name: state.upstream
        for name, state in listed.items()
        if name != former.id
    }
    new = dataclasses.replace(NEW_PROCESSES[what](former), born_ms=born_ms)
    upstreams[new.id] = new
    if what == "another upstream at another address":
        upstreams[former.id] = former
    world.gateway.update_upstreams(upstreams)


@when("the upstream closes the connection if it is open")
def close_if_open(context):
    wire_answers.close_if_open(context.world.sent[0])


@when("the upstream answers, framed by {framing}: {event}")
def answers(context, framing, event):
    sent = context.world.sent[0]
    half = wire_answers.first_part(sent, framing)
    whole = wire_answers.complete_answer(sent, framing)
    received = {
        "whole": whole,
        "more bytes than announced": whole + b"more",
        "a second answer": whole + whole,
        "closed inside a chunk": half
        + b"40\r\n"
        + wire_answers.BODY[wire_answers.MIDWAY :],
        "invalid chunk size": half + b"zz\r\n",
        "closed inside trailers": whole[:-2] + b"x-end: 1\r\n",
        "closed inside an event": half
        + wire_answers.BODY[wire_answers.MIDWAY : wire_answers.MIDWAY + 6],
        "closed before any event": wire_answers.complete_answer(
            sent, framing, b""
        ),
    }.get(event, half)
    sent.receive(received)
    if event == "silent midway":
        context.world.advance(wire_answers.SILENCE_MS)
    elif sent.transport.connected:
        sent.close(clean=event != "reset midway")


CHECKS = {
    "accepts connections": [True],
    "refuses connections": [False],
    "is silent and then accepts connections": [None, True],
    "is silent and then refuses connections": [None, False],
    "is silent": [None],
    "has not shown whether it lives": [],
}


@when(
    "its upstream, that {then}, closes the connection midway,"
    " framed by {framing}"
)
def closes(context, then, framing):
    sent = context.world.sent[0]
    sent.accepts = CHECKS[then]
    sent.receive(wire_answers.first_part(sent, framing))
    sent.close()


def list_again(context, **change):
    """The list of upstreams shows a change of the one that answers."""
    world = context.world
    upstream = world.sent[0].upstream
    listed = dict(world.upstreams)
    listed[upstream.id] = dataclasses.replace(upstream, **change)
    world.gateway.update_upstreams(listed)


def unlist(context):
    world = context.world
    listed = dict(world.upstreams)
    del listed[world.sent[0].upstream.id]
    world.gateway.update_upstreams(listed)


def begin_other(context, framing, route=None):
    """Another request runs at the same upstream, and is answered if framed."""
    world = context.world
    if route is None:
        is_model = world.sent[0].upstream.service == "model"
        route = "class" if is_model else "lookup"
    for number in range(len(world.upstreams)):
        world.ask(f"other{number}", route)
        sent = world.sent[-1]
        if sent.upstream.id == world.sent[0].upstream.id:
            if framing is not None:
                sent.receive(wire_answers.first_part(sent, framing))
            return sent
    raise AssertionError("no other request went to the same upstream")


def send_other(context):
    begin_other(context, "chunks")


def send_other_slowly(context):
    """The gateway doesn't see the end of an answer that it doesn't read."""
    gateway = context.world.gateway
    first = set(gateway.running)
    begin_other(context, "chunks")
    upstream_id = context.world.sent[0].upstream.id
    (other,) = [
        request
        for request in gateway.running - first
        if request.last_upstream_id == upstream_id
    ]
    gateway.on_caller_congested(other, True)


def send_no_answer(context):
    other = begin_other(context, None)
    list_again(context, leaving=True)
    other.receive(b"no answer\r\n\r\n")


def misdirect(context):
    other = begin_other(context, None)
    other.receive(
        other.answer_head(
            b"content-length: 0",
            b"%s: another" % gateway_world.DIALECT.upstream_id,
            status=b"421 Misdirected",
        )
    )


def stall_other(context):
    other = begin_other(context, "chunks", "query")
    list_again(context, leaving=True)
    context.world.advance(1_500)
    assert other.cancelled


def begin_silent(context):
    begin_other(context, "chunks")
    context.world.advance(50)


def close_other(context):
    other = begin_other(context, "close")
    other.accepts = []
    other.close()


def leave_and_end_inside(context):
    other = begin_other(context, "close")
    list_again(context, leaving=True)
    other.accepts = []
    other.receive(wire_answers.event(3)[:8])
    other.close()


def leave_and_break_off(context):
    other = begin_other(context, "chunks")
    list_again(context, leaving=True)
    other.close()


BESIDE = {
    "is leaving": lambda context: list_again(context, leaving=True),
    "is not listed any more": unlist,
    "is sending another answer": send_other,
    "has begun another answer and is silent for 50 ms": begin_silent,
    "has nothing else to do": lambda _context: None,
    "is listed as a new process": lambda context: list_again(
        context, born_ms=2
    ),
    "closes another answer too": close_other,
    "is leaving and closes another answer inside an event": (
        leave_and_end_inside
    ),
    "is leaving and breaks another answer off": leave_and_break_off,
    "is sending another answer to a slow reader": send_other_slowly,
    "is leaving and sends no answer but other bytes elsewhere": send_no_answer,
    "has been found to be another process": misdirect,
    "is leaving and has stalled at another answer": stall_other,
}


@when("meanwhile its upstream {what}")
def do_beside(context, what):
    BESIDE[what](context)


@when("closes the connection of a whole answer and refuses connections")
def close_port(context):
    sent = context.world.sent[0]
    sent.accepts = [False]
    sent.receive(wire_answers.complete_answer(sent, "close"))
    sent.close()


@when("closes the connection midway, having started again")
def start_again(context):
    sent = context.world.sent[0]
    sent.has_restarted = True
    sent.receive(wire_answers.first_part(sent, "close"))
    sent.close()


@when("the upstream's stream, framed by {framing}, ends after event {count:d}")
def ends_after(context, framing, count):
    sent = context.world.sent[-1]
    sent.receive(
        wire_answers.complete_answer(
            sent, framing, wire_answers.events(1, count)
        )
    )
    wire_answers.close_if_open(sent)


@when(
    "the upstream's stream, framed by {framing}, ends inside the event after"
    " event {count:d}"
)
def ends_inside_next(context, framing, count):
    sent = context.world.sent[-1]
    begun = wire_answers.events(1, count) + wire_answers.event(count + 1)[:8]
    sent.receive(wire_answers.complete_answer(sent, framing, begun))
    wire_answers.close_if_open(sent)


@given("its routes allow {count:d} attempts")
def allow_attempts(context, count):
    state = context.world.gateway.config_state
    before = gateway_world.configuration(version=2)
    routes = tuple(
        dataclasses.replace(route, max_attempts=count)
        for route in before.routes
    )
    state.configure(dataclasses.replace(before, routes=routes))


def end_as_told(sent, how):
    """An upstream ends its answer; one that breaks off would use chunks."""
    head = sent.answer_head(wire_answers.CHUNKED)
    what, _, framing = how.partition(", framed by ")
    sent.receive(
        {
            "end after event 2": wire_answers.complete_answer(
                sent, "close", wire_answers.events(1, 2)
            ),
            "break off after event 2": head
            + wire_answers.chunk(wire_answers.events(1, 2)),
            "break off within event 3": head
            + wire_answers.chunk(wire_answers.event(3)[:8]),
            "break off within event 1": head
            + wire_answers.chunk(wire_answers.event(1)[:8]),
            "repeat event 1 and break off within event 2": head
            + wire_answers.chunk(
                wire_answers.event(1) + wire_answers.event(2)[:8]
            ),
            "send a comment": wire_answers.complete_answer(
                sent, framing, b": x\n\n"
            ),
            "break off within a comment": head + wire_answers.chunk(b": x"),
            "break off": head,
            "send nothing": wire_answers.complete_answer(sent, framing, b""),
        }[what]
    )
    wire_answers.close_if_open(sent)


ENDS = re.compile(r"((?:end|break|repeat|send)[^,]*(?:, framed by \w+)?)")


@when("its upstreams, one after the other, {ends}")
def end_in_turn(context, ends):
    found = ENDS.findall(ends)
    assert len(found) == 3, found
    for number, how in enumerate(found):
        end_as_told(context.world.sent[number], how)
    context.world.advance(wire_answers.SILENCE_MS)


def go_on(sent, then):
    what, _, framing = then.partition(", framed by ")
    plain_length = wire_answers.length_header(b"no")
    received = {
        "has nothing to add": wire_answers.complete_answer(sent, framing, b""),
        "begins event 3": wire_answers.complete_answer(
            sent, framing, wire_answers.event(3)[:8]
        ),
        "begins an event 3 that is too long": wire_answers.complete_answer(
            sent, framing, wire_answers.event(3)[:-2] + b"x" * 300_000
        ),
        "adds event 3": wire_answers.complete_answer(
            sent, framing, wire_answers.event(3)
        ),
        "resets the connection": b"",
        "fails with status 500": sent.answer_head(
            plain_length, status=b"500 Failure"
        )
        + b"no",
        "answers with status 404": sent.answer_head(
            plain_length, status=b"404 Not Found"
        )
        + b"no",
        "refuses it as not run": sent.answer_head(
            plain_length,
            b"godwitloft-not-executed: 1",
            status=b"503 Full",
        )
        + b"no",
    }[what]
    sent.receive(received)
    if sent.transport.connected:
        sent.close(clean=what != "resets the connection")


@when("the next upstream, asked to go on after event {count:d}, {then}")
def next_goes_on(context, count, then):
    world = context.world
    first, second = world.sent
    assert first.upstream.id != second.upstream.id
    assert second.headers[b"last-event-id"] == b"%d" % count, second.headers
    go_on(second, then)
    # Whether any upstream is left to be asked, too.
    world.advance(wire_answers.SILENCE_MS)


@when(
    '{count:d} times a caller requests "{route}", and its stream,'
    " framed by {framing}, ends"
)
def end_often(context, count, route, framing):
    for number in range(count):
        context.world.ask(f"c{number}", route)
        sent = context.world.sent[-1]
        sent.receive(wire_answers.complete_answer(sent, framing))
        wire_answers.close_if_open(sent)


@when("the next upstream is silent until the caller's time is over")
def stay_silent(context):
    assert len(context.world.sent) == 2
    context.world.advance(wire_answers.SILENCE_MS)


@then("no upstream is paused")
def check_not_paused(context):
    states = context.world.gateway.fleet.states.values()
    paused = [state for state in states if state.paused_until_ms]
    assert not paused, paused


@then('GL1209 has after_event "{after_event}", then "{what}"')
def check_unknown_end(context, after_event, what):
    found = context.log.fields("GL1209")
    ends = [(fields["after_event"], fields["then"]) for fields in found]
    assert (after_event, what) in ends, found


@when("the caller closes its connection")
def leave(context):
    context.caller.leave()


@then("what the check shows in the end changes nothing")
def check_late(context):
    (sent,) = context.world.sent
    received = context.caller.received
    (on_checked,) = sent.unanswered
    on_checked(True)
    assert context.caller.received == received
    assert not wire_answers.is_whole(received), received


@then("the caller's answer is {answer}")
def check_answer(context, answer):
    caller = context.caller
    if answer == "whole":
        assert caller.status in (200, 204), caller.received
        assert wire_answers.is_whole(caller.received), caller.received
        assert b"more" not in caller.received, caller.received
        assert caller.received.count(b"HTTP/1.1") == 1, caller.received
    elif answer == "asked for elsewhere":
        assert not wire_answers.is_whole(caller.received), caller.received
        assert not caller.closed
        first, second = context.world.sent
        assert first.upstream.id != second.upstream.id
    elif answer == "not yet there":
        assert caller.status is None, caller.received
    elif answer == "cut":
        assert caller.status == 200, caller.received
        assert not wire_answers.is_whole(caller.received), caller.received
        assert caller.closed
    else:
        assert caller.status == int(answer), caller.received


@then("the caller has received events {first:d} to {last:d}")
def check_received(context, first, last):
    received = context.caller.received
    for number in range(first, last + 1):
        assert received.count(wire_answers.event(number)) == 1, received


def body_end_after(data, size):
    body_end = answer_end.BodyEnd(answer_end.Framing.CLOSE, True)
    for start in range(0, len(data), size):
        body_end.feed(data[start : start + size])
    return body_end


@then(
    "a stream with line ends {line_end} in parts of {size:d} bytes ends"
    " between events"
)
def check_between(context, line_end, size):
    context.size = size
    context.data = wire_answers.BODY.replace(b"\n", LINE_ENDS[line_end])
    body_end = body_end_after(context.data, size)
    assert not body_end.inside_event
    assert body_end.defect() == ""
    assert answer_end.last_event_end(context.data) == len(context.data)


@then("one byte before its end it is inside an event")
def check_inside(context):
    body_end = body_end_after(context.data[:-1], context.size)
    assert body_end.inside_event
    assert body_end.defect() == answer_end.EVENT_CUT


@then(
    'GL1206 has reason "{reason}", framing "{framing}" and inside_event true'
)
def check_log(context, reason, framing):
    found = context.log.fields("GL1206")
    assert len(found) == 1, found
    assert found[0]["reason"] == reason, found
    assert found[0]["framing"] == framing, found
    assert found[0]["inside_event"] is True, found


def end_within_head(world, number, framing, count, end):
    """Ends an upstream's answer after some bytes of its head, if it has more.

    Returns whether it has.
    """
    sent = world.sent[number]
    head = wire_answers.complete_answer(sent, framing).partition(b"\r\n\r\n")[
        0
    ]
    whole = head + b"\r\n\r\n"
    if count >= len(whole):
        return False
    if count:
        sent.receive(whole[:count])
    assert sent.transport.connected
    sent.close(clean=end == "closed")
    return True


@then(
    'a "{route}" whose answer, framed by {framing}, is {end} at any byte of'
    " its head gets status {status:d}"
)
def check_head_cut(_context, route, framing, end, status):
    count = 0
    while True:
        world = wire_upstream.WireWorld()
        caller = world.ask("a", route)
        if not end_within_head(world, 0, framing, count, end):
            break
        for number in range(1, len(world.sent)):
            end_within_head(world, number, framing, count, end)
        assert caller.status == status, (count, caller.received)
        count += 1
    assert count > len("HTTP/1.1 200 OK")


@then(
    'a "{route}" whose second answer is {end} at any byte of its head is cut'
)
def check_second_head_cut(_context, route, end):
    count = 0
    while True:
        world = wire_upstream.WireWorld()
        caller = world.ask("a", route)
        first = world.sent[0]
        first.receive(
            first.answer_head(wire_answers.CHUNKED)
            + wire_answers.chunk(wire_answers.event(1))
        )
        first.close()
        if not end_within_head(world, 1, "chunks", count, end):
            break
        assert caller.status == 200
        assert caller.closed
        assert not wire_answers.is_whole(caller.received), (
            count,
            caller.received,
        )
        count += 1
    assert count > len("HTTP/1.1 200 OK")


@then(
    "a call of the store whose answer is closed at any byte of its head fails"
)
def check_store_head_cut(_context):
    head = b'HTTP/1.1 200 OK\r\nETag: "5"\r\nContent-Length: 0\r\n\r\n'
    for count in range(len(head)):
        protocol = _newclient.HTTP11ClientProtocol(lambda _protocol: None)
        transport = testing.StringTransportWithDisconnection()
        transport.protocol = protocol
        protocol.makeConnection(transport)
        headers = http_headers.Headers({b"host": [b"store"]})
        request = _newclient.Request(b"GET", b"/", headers, None)
        results = []
        protocol.request(request).addBoth(results.append)
        if count:
            protocol.dataReceived(head[:count])
        protocol.connectionLost(failure.Failure(error.ConnectionDone()))
        (result,) = results
        assert isinstance(result, failure.Failure), (count, result)
