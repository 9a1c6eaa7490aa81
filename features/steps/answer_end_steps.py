from behave import given
from behave import then
from behave import when

from features.support import wire_upstream


def event(number):
    return f"id: {number}\ndata: x{number}\n\n".encode()


def events(first, last):
    return b"".join(event(number) for number in range(first, last + 1))


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def framed(sent, framing, body):
    """Returns a complete answer whose end is marked by a framing."""
    if framing == "length":
        return sent.answer_head(b"content-length: %d" % len(body)) + body
    if framing == "chunks":
        head = sent.answer_head(b"transfer-encoding: chunked")
        return head + chunk(body) + b"0\r\n\r\n"
    return sent.answer_head() + body


@given("a gateway that reads what its upstreams send")
def gateway_on_wire(context):
    context.world = wire_upstream.WireWorld()


@when(
    "the upstream's stream, framed by {framing}, ends inside its third event"
)
def ends_inside_event(context, framing):
    sent = context.world.sent[0]
    sent.receive(framed(sent, framing, events(1, 2) + event(3)[:6]))
    if sent.transport.connected:
        sent.close()


@then("the caller has received events {first:d} to {last:d}")
def check_received(context, first, last):
    received = context.caller.received
    for number in range(first, last + 1):
        assert received.count(event(number)) == 1, received
