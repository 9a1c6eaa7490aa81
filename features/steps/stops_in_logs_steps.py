import dataclasses
import socket

from behave import given
from behave import then
from behave import when

from features.steps import gateway_drain_steps
from features.support import logs
from godwitloft import attempt as attempts

HEAD = (
    b"POST /post/x HTTP/1.1\r\nHost: h\r\n"
    b"Godwitloft-Request-Id: %s\r\nGodwitloft-Deadline-Ms: %d\r\n"
    b"Authorization: Token key\r\nContent-Length: %d\r\n\r\n"
)


@given("a gateway process whose log is read")
def process_with_log(context):
    context.log = logs.record(context)
    context.execute_steps("Given a gateway process on a simulated clock")


@given("it must end {limit_ms:d} ms after a signal")
def set_limit(context, limit_ms):
    gateway = context.world.gateway
    gateway.options = dataclasses.replace(
        gateway.options, drain_limit_ms=limit_ms
    )


def connect(context):
    transport = gateway_drain_steps.SlowTransport("all is sent")
    connection = context.daemon.caller_factory.buildProtocol(None)
    transport.protocol = connection
    connection.makeConnection(transport)
    return transport


@when("a caller reads its answer but for {count:d} bytes")
def read_most(context, count):
    transport = connect(context)
    transport.protocol.dataReceived(HEAD % (b"a", 60_000, 0))
    if count:
        transport.reads = "a part is never sent"
        transport.dataBuffer = b"x" * count
    (sent,) = context.world.sent
    sent.answer()


@then("its log names the answer as unsent: {named}")
def check_unsent_named(context, named):
    found = [
        (fields["request"], fields["unsent_bytes"])
        for fields in context.log.fields("GL1210")
    ]
    assert found == ([("a", 300)] if named == "yes" else []), found


@when("a caller sends a request whose {part} is missing in part")
def send_part(context, part):
    request = HEAD % (b"a", 60_000, 10) + b"12345"
    if part == "head":
        request = request[:50]
    connect(context).protocol.dataReceived(request)


@then('its log tells of "{request}" that its {part} is missing')
def check_part(context, request, part):
    (fields,) = context.log.fields("GL1211")
    assert (fields["request"], fields["missing"]) == (request, part), fields
    assert fields["body_bytes"] == (5 if part == "body" else 0), fields


@then('its log tells of "" that its {part} is missing')
def check_part_of_nobody(context, part):
    check_part(context, "", part)


def send_another(context):
    other = connect(context)
    other.protocol.dataReceived(HEAD % (b"b", 60_000, 0))
    assert other.value().startswith(b"HTTP/1.1 503"), other.value()


# What comes 500 ms after the signal.
COMES = {
    "nothing comes": lambda _context: None,
    "its upstream answers": lambda context: context.world.sent[0].answer(),
    "its upstream breaks it off": lambda context: context.world.sent[0].end(
        attempts.End.BROKEN, "connection_reset"
    ),
    "its caller leaves": lambda context: context.transport.end(),
    "another caller requests what takes too long": send_another,
}


@when("500 ms later in the stop {what}")
def come(context, what):
    context.world.advance(500)
    COMES[what](context)


@then("GL1003 tells of 1 request that was sent, and of {limit_ms:d} ms")
def check_begin(context, limit_ms):
    (fields,) = context.log.fields("GL1003")
    expected = {
        "requests": 1,
        "limit_ms": limit_ms,
        "waiting": 0,
        "locating": 0,
        "sent": 1,
        "answering": 0,
    }
    assert fields == expected, fields


@then("GL1002 is the last line and tells: {ended}, {left:d} left")
def check_stopped(context, ended, left):
    how, _, count = ended.rpartition(" ")
    (fields,) = context.log.fields("GL1002")
    assert context.log.records[-1].fields is fields, context.log.records[-1]
    assert fields["ended"] == {how: int(count)}, fields
    assert (fields["left"], fields["finished"]) == (left, left == 0), fields
    assert fields["stopping_ms"] >= 2_600, fields


ARRIVED = b"GET /post/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"


@given("a caller's connection with a real socket on which {what} has arrived")
def arrive(context, what):
    ours, theirs = socket.socketpair()
    context.add_cleanup(ours.close)
    context.add_cleanup(theirs.close)
    transport = connect(context)
    transport.getHandle = lambda: ours
    if what == "a request":
        theirs.sendall(ARRIVED)
    elif what == "the caller's close":
        theirs.close()


@when("its caller sends {count:d} bytes more")
def send_more_bytes(context, count):
    context.transport.protocol.dataReceived(ARRIVED[:count])


@when("its upstream has answered it")
def answer_late(context):
    context.world.sent[0].answer()


@then("GL1211 tells of unread bytes: {told}")
def check_unread_bytes(context, told):
    found = [
        (fields["missing"], fields["unread_bytes"])
        for fields in context.log.fields("GL1211")
    ]
    expected = [] if told == "none" else [("answer", int(told))]
    assert found == expected, found


@then("GL1211 tells that the head of a request is missing")
def check_missing_head(context):
    (fields,) = context.log.fields("GL1211")
    assert fields["missing"] == "head", fields


class CutCounter:
    """Keeps what is added to the metric of cuts."""

    def __init__(self):
        self.added = []

    def add(self, count, labels):
        self.added.append((count, labels))


@given("its metric of cuts is read")
def read_cuts(context):
    context.cuts = CutCounter()
    reports = context.world.gateway.reports
    reports.instruments = dataclasses.replace(
        reports.instruments, cuts=context.cuts
    )


@then('the metric counts a cut by "{reason}", stopping "{stopping}"')
def check_cuts(context, reason, stopping):
    labels = {"reason": reason, "stopping": stopping}
    assert context.cuts.added == [(1, labels)], context.cuts.added
