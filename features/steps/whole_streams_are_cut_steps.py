import dataclasses

from behave import when

from features.support import gateway_world
from features.support import wire_answers

LONG_MS = 60_000


def use_attempts(context):
    state = context.world.gateway.config_state
    before = gateway_world.configuration(version=2)
    routes = tuple(
        dataclasses.replace(route, max_attempts=1) for route in before.routes
    )
    state.configure(dataclasses.replace(before, routes=routes))


def use_budget(context):
    policy = context.world.gateway.retry_policy
    now_ms = context.world.clock.monotonic_ms()
    while policy.take_retry("model", now_ms):
        pass


def take_away(context):
    context.world.gateway.update_upstreams({})


def pause_other(context):
    for state in context.world.gateway.fleet.states.values():
        if state.running == 0:
            state.asked_pause_until_ms = (
                context.world.clock.monotonic_ms() + LONG_MS
            )


def hide_life(context):
    context.world.sent[0].accepts = []


def nothing(_context):
    pass


# What is done once the request was sent.
OBSTACLES = {
    "it may not be resumed": nothing,
    "the attempts are used up": use_attempts,
    "the retry budget is used up": use_budget,
    "no upstream is left": take_away,
    "the other upstream pauses": pause_other,
    "it isn't known yet whether the upstream lives": hide_life,
}
# What the upstream does that is asked to go on.
SECOND_ANSWERS = {
    "the other upstream answers nothing in time": nothing,
    "the other upstream resets the connection": lambda sent: sent.close(
        clean=False
    ),
    "the other upstream fails with status 500": lambda sent: sent.receive(
        sent.answer_head(b"content-length: 0", status=b"500 Failure")
    ),
    "the other upstream answers with status 404": lambda sent: sent.receive(
        sent.answer_head(b"content-length: 0", status=b"404 Not Found")
    ),
    "the other upstream refuses it as not run": lambda sent: sent.receive(
        sent.answer_head(
            b"content-length: 0",
            b"godwitloft-not-executed: 1",
            status=b"503 Full",
        )
    ),
    "the other upstream begins an event": lambda sent: sent.receive(
        wire_answers.complete_answer(sent, "close", wire_answers.event(3)[:8])
    ),
}


@when('a caller requests "{route}" and nobody can be asked for more: {why}')
def ask_alone(context, route, why):
    context.second_answer = SECOND_ANSWERS.get(why)
    if why == "the attempts are used up":
        use_attempts(context)
    context.caller = context.world.ask("a", route)
    assert len(context.world.sent) == 1
    OBSTACLES.get(why, nothing)(context)


def end_stream(context, framing, body, clean=True):
    """Sends an answer that only the end of its connection ends."""
    sent = context.world.sent[0]
    sent.receive(wire_answers.complete_answer(sent, framing, body))
    sent.close(clean=clean)


@when("the other upstream answers so, if it is there to be asked")
def answer_second(context):
    if context.second_answer is None:
        assert len(context.world.sent) == 1, "another upstream was asked"
        return
    (_first, second) = context.world.sent
    context.second_answer(second)


@when("the upstream's stream, framed by close, is reset after event {count:d}")
def reset_after(context, count):
    end_stream(context, "close", wire_answers.events(1, count), clean=False)


@when("the upstream's stream, framed by close, ends inside event {count:d}")
def end_inside(context, count):
    body = wire_answers.events(1, count)[:-3]
    end_stream(context, "close", body)


@when(
    "the upstream's stream, framed by close, ends with its process after"
    " event {count:d}"
)
def end_with_process(context, count):
    context.world.sent[0].accepts = [False]
    end_stream(context, "close", wire_answers.events(1, count))


@when(
    "the upstream's stream, framed by close, is silent after event {count:d}"
)
def fall_silent(context, count):
    sent = context.world.sent[0]
    body = wire_answers.events(1, count)
    sent.receive(wire_answers.complete_answer(sent, "close", body))


@when("{duration_ms:d} ms pass for the gateway")
def passing(context, duration_ms):
    context.world.advance(duration_ms)


@when("the upstream closes the connection")
def close(context):
    context.world.sent[0].close()


CHECKS = {"lives": True, "has ended": False}


@when("the check shows that the upstream {lives}")
def show(context, lives):
    first = context.world.sent[0]
    assert len(context.world.sent) == 1, "it was taken for stalled"
    (on_checked,) = first.unanswered
    on_checked(CHECKS[lives])
