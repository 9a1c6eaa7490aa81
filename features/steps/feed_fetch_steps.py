import dataclasses

from behave import given
from behave import then
from behave import when

from features.support import feed_fleet
from features.support import logs
from godwitloft import events
from godwitloft.coordination import publish


@when(
    "the store is up with generation {generation:d}, whose snapshot is damaged"
)
def damaged_in_store(context, generation):
    store = context.fleet.store
    store.is_down = False
    head, _content = feed_fleet.accept(store, generation)
    name = publish.snapshot_name(head.snapshot_hash)
    store.objects[name] = store.objects[name][:-2] + b" }"
    context.log = logs.record(context)
    context.feed.settings = dataclasses.replace(
        context.feed.settings,
        first_backoff_ms=60_000,
        longest_backoff_ms=60_000,
    )
    context.feed.on_published(head, b"")
    context.fleet.advance(0.1)


@then("the refusal of generation {generation:d} is logged")
def check_refusal_logged(context, generation):
    code = events.CONFIGURATION_REFUSED.code
    found = [line["generation"] for line in context.log.fields(code)]
    assert found == [generation], found


@given("two peers that say they hold generation {generation:d}")
def two_peers(context, generation):
    # Both are known when the fetch begins.
    context.feed.peer_generations["a1"] = generation
    context.feed.on_peer_generation("a0", generation)


def asked_peers(context):
    return [
        peer
        for _sender, peer, field, _body in context.fleet.sent
        if field == "snapshot_wanted"
    ]


@when(
    "the first that was asked stays silent and answers late with generation"
    " {generation:d}"
)
def late_answer(context, generation):
    (first,) = asked_peers(context)
    timeout_s = context.feed.settings.peer_timeout_ms / 1000
    context.fleet.advance(timeout_s)
    assert len(asked_peers(context)) == 2
    old = feed_fleet.snapshot_of(f"generation {generation}", b"")
    context.feed.on_snapshot(first, old)


@when("the second answers {wait_ms:d} ms after it was asked")
def second_answers(context, wait_ms):
    _first, second = asked_peers(context)
    context.fleet.advance(wait_ms / 1000)
    body = feed_fleet.snapshot_of("generation 7", context.feed.current.content)
    context.feed.on_snapshot(second, body)


@then("no snapshot was asked of a peer twice")
def check_asked_once(context):
    asked = asked_peers(context)
    assert len(asked) == len(set(asked)), asked


@when("it waits for the peer's snapshot")
def waits_for_peer(context):
    assert context.feed.peer_fetch is not None


@when("it waits after a failed fetch")
def waits_after_failure(context):
    for _ in range(100):
        if context.feed.backoff_wait is not None:
            return
        context.fleet.advance(0.01)
    raise AssertionError("the feed never waited")


@when("the feed is stopped")
def stop_feed(context):
    context.feed.stop()


@then("it has no timers and fetches nothing")
def check_stopped(context):
    assert not context.feed.timers, context.feed.timers
    assert not context.feed.fetching
    assert context.feed.peer_fetch is None
    assert context.feed.backoff_wait is None
