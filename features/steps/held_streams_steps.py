import dataclasses

from behave import given
from behave import when

from features.support import wire_answers
from godwitloft.gateway.streams import base_versions
from godwitloft.gateway.streams import stream_holds

BASE = "base"
LEFT_MS = 5_000


def send_whole(framing):
    def send(sent):
        sent.receive(wire_answers.complete_answer(sent, framing))
        wire_answers.close_if_open(sent)

    return send


def send_unchecked(sent):
    sent.accepts = []
    send_whole("close")(sent)


def send_part(framing):
    return lambda sent: sent.receive(wire_answers.first_part(sent, framing))


def break_off(sent):
    send_part("chunks")(sent)
    sent.close()


def break_off_inside(sent):
    body = wire_answers.BODY[:-3]
    sent.receive(wire_answers.complete_answer(sent, "close", body))
    sent.close()


def end_with_process(sent):
    sent.accepts = [False]
    send_part("close")(sent)
    sent.close()


STATES = {
    "whole in chunks": send_whole("chunks"),
    "whole with a length": send_whole("length"),
    "whole without a mark": send_whole("close"),
    "whole without a mark, its upstream not checked yet": send_unchecked,
    "under way in chunks": send_part("chunks"),
    "under way without a mark": send_part("close"),
    "broken off in chunks": break_off,
    "broken off inside an event": break_off_inside,
    "broken off with its process": end_with_process,
}


@given("it can't save where streams began")
def never_save(context):
    gateway = context.world.gateway
    gateway.bases.has_store = True
    gateway.holds.max_hold_ms = lambda _request: 2 * LEFT_MS


@given(
    "it can't save where streams began, and has an upstream of the base"
    " version"
)
def never_save_beside_base(context):
    never_save(context)
    world = context.world
    listed = dict(world.upstreams)
    listed["u3"] = dataclasses.replace(listed["u3"], version=BASE)
    world.gateway.update_upstreams(listed)
    context.base = base_versions.Base(BASE, 1, 0, 0)


@when("its stream is held back, {state}")
def hold_back(context, state):
    (sent,) = context.world.sent
    STATES[state](sent)
    assert context.caller.status is None, context.caller.received
    (hold,) = context.world.gateway.holds.holds.values()
    assert isinstance(hold, stream_holds.Hold)


@when("the caller's time ends")
def end_time(context):
    context.world.advance(LEFT_MS + 100)


@when("it is given up to wait for its record")
def give_up(context):
    world = context.world
    assert world.sent[0].upstream.version != BASE
    world.gateway.bases.bases["model"] = context.base
    del world.gateway.holds.max_hold_ms
    world.advance(2_000)
