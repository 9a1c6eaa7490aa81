import dataclasses

from behave import then
from behave import when

from features.support import wire_answers
from godwitloft import events

STOP_MS = 7_000
MANY = 1_000


@when("its upstream has sent two events")
def send_two(context):
    sent = context.world.sent[0]
    sent.receive(wire_answers.first_part(sent, "chunks"))


@when("its upstream has sent nothing yet")
def send_nothing(_context):
    pass


@when("its upstream has sent two events and 8 bytes of the third")
def send_more(context):
    sent = context.world.sent[0]
    begun = wire_answers.events(1, 2) + wire_answers.event(3)[:8]
    head = sent.answer_head(wire_answers.CHUNKED)
    sent.receive(head + wire_answers.chunk(begun))


@when("{count:d} bytes of them are unsent to the caller")
def leave_unsent(context, count):
    context.caller.transport.dataBuffer = b"x" * count


@when("no other upstream has room")
def fill_others(context):
    for state in context.world.gateway.fleet.states.values():
        if state.running == 0:
            state.running = MANY


@when("500 ms later its caller's time is over")
def time_out(context):
    world = context.world
    world.advance(500)
    (request,) = world.gateway.running
    now_ms = world.clock.monotonic_ms()
    request.facts = dataclasses.replace(request.facts, deadline_ms=now_ms)
    world.gateway.tick()


@then('{code} has reason "{reason}", state "{state}" and upstream_ended {yes}')
def check_decision(context, code, reason, state, yes):
    (context.fields,) = context.log.fields(code)
    found = (
        context.fields["reason"],
        context.fields["state"],
        context.fields["upstream_ended"],
    )
    assert found == (reason, state, yes == "true"), context.fields


@then("it has, 500 ms later, all fields of GL1204")
def check_sent(context):
    (placed,) = context.log.fields("GL1204")
    ended = context.fields
    told = dict(ended["sent"])
    assert told.pop("ms_ago") == 500, ended
    for name, value in placed.items():
        found = told[name] if name in told else ended[name]
        assert found == value, (name, found, value)


@then("GL1206 has unsent_bytes {unsent:d} and unforwarded_bytes {begun:d}")
def check_unsent(context, unsent, begun):
    (fields,) = context.log.fields("GL1206")
    found = (fields["unsent_bytes"], fields["unforwarded_bytes"])
    assert found == (unsent, begun), fields


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
