from behave import then
from behave import when

from features.support import wire_answers
from godwitloft import events

STOP_MS = 7_000


@when("its upstream has sent two events")
def send_two(context):
    sent = context.world.sent[0]
    sent.receive(wire_answers.first_part(sent, "chunks"))


@when("the gateway gets SIGTERM")
def get_sigterm(context):
    world = context.world
    world.gateway.start_draining(world.clock.monotonic_ms() + STOP_MS)


@when("the gateway goes on")
def go_on(_context):
    pass


@when("500 ms later its upstream resets the connection")
def reset_later(context):
    context.world.advance(500)
    context.world.sent[0].close(clean=False)


@when("500 ms later the stop has no time left")
def end_later(context):
    context.world.advance(500)
    context.world.gateway.end_all()


def line_of(context, code):
    (record,) = [
        record
        for record in context.log.records
        if getattr(record, "event", None) and record.event.code == code
    ]
    return events.JsonFormatter().format(record)


@then('the first {count:d} bytes of {code} hold "{told}"')
def check_beginning(context, count, code, told):
    line = line_of(context, code)
    context.beginning = line[:count]
    assert told in context.beginning, line


@then("they tell that the gateway has been stopping for {stopping}")
def check_stopping(context, stopping):
    if stopping == "no time":
        assert "stopping_ms" not in context.beginning, context.beginning
        return
    told = f'"stopping_ms": {stopping.removesuffix(" ms")},'
    assert told in context.beginning, context.beginning


@then("GL1206 has upstream_silent_ms 500 and caller_is_slow false")
def check_silence(context):
    (fields,) = context.log.fields("GL1206")
    assert fields["upstream_silent_ms"] == 500, fields
    assert fields["caller_is_slow"] is False, fields
