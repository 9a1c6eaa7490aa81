import dataclasses
import functools
import random
from unittest import mock

from behave import given
from behave import then
from behave import when

from features.support import feed_fleet
from godwitloft.coordination import feed
from godwitloft.coordination import publish
from godwitloft.links.generated.messages import ttypes


@given(
    "a feed at generation {held:d} whose peer says it holds generation"
    " {peer:d}"
)
def feed_with_peer(context, held, peer):
    context.fleet = feed_fleet.Fleet(0, 0)
    feed_fleet.accept(context.fleet.store, held)
    context.feed = context.fleet.add("e0")
    context.fleet.store.is_down = True
    context.feed.on_peer_generation("a0", peer)
    context.fleet.advance(0.1)
    assert context.feed.current.generation == held


@when("the peer sends {kind}")
def send_snapshot(context, kind):
    if kind == "one that can't be applied":
        context.fleet.refuses.add("e0")
    body = feed_fleet.snapshot_of(kind, context.feed.current.content)
    context.feed.on_snapshot("a0", body)


@then(
    "the feed is at generation {generation:d} and {count:d} snapshots were"
    " refused"
)
def check_taken(context, generation, count):
    current = context.feed.current
    assert current.generation == generation, current
    assert current.content == feed_fleet.content_of(generation)
    assert context.fleet.heights["e0"] == generation
    assert context.feed.counters.refused == count, context.feed.counters


@given(
    "{entries:d} entries and {agents:d} agents that follow the configuration"
)
def start_fleet(context, entries, agents):
    context.fleet = feed_fleet.Fleet(entries, agents)
    context.fleet.start()
    assert context.fleet.behind(1) == []
    for follower in context.fleet.feeds.values():
        follower.counters.head_reads = follower.counters.store_fetches = 0


def pause(fleet, seconds):
    fleet.paused = {name for name in fleet.links if name[0] == "a"}
    fleet.reactor.callLater(seconds, fleet.paused.clear)


FAULTS = {
    "everything working": lambda fleet: None,
    "the store down": lambda fleet: setattr(fleet.store, "is_down", True),
    "3 in 10 messages lost": lambda fleet: setattr(fleet, "loss", 0.3),
    "stale reads": lambda fleet: setattr(
        fleet.store,
        "choose",
        lambda name, args: "stale" if name == "read_row" else "ok",
    ),
    "agents paused": lambda fleet: pause(fleet, 2),
}


@when("generation 2 is accepted with {fault}")
def accept_with(context, fault):
    fleet = context.fleet
    head, content = feed_fleet.accept(fleet.store, 2)
    for name, cause in FAULTS.items():
        if name in fault:
            cause(fleet)
    if "publisher dead" not in fault:
        fleet.feeds["e0"].on_published(head, content)


@then("after {seconds:d} seconds every daemon has generation 2 in force")
def check_fleet(context, seconds):
    context.seconds = seconds
    context.fleet.advance(seconds)
    assert context.fleet.behind(2) == [], context.fleet.behind(2)


@then("the fleet read the head at most {reads:d} times a second")
def check_reads(context, reads):
    feeds = context.fleet.feeds.values()
    total = sum(follower.counters.head_reads for follower in feeds)
    assert 0 < total <= reads * context.seconds, total


@then("at most {count:d} daemons read the snapshot from the store")
def check_fetches(context, count):
    feeds = context.fleet.feeds.values()
    fetches = sum(follower.counters.store_fetches for follower in feeds)
    assert fetches <= count, fetches


STORES = {
    "the store up": lambda store: None,
    "the store down": lambda store: setattr(store, "is_down", True),
    "the store with stale reads": lambda store: setattr(
        store,
        "choose",
        lambda name, args: "stale" if name == "read_row" else "ok",
    ),
}


@given("a new feed, {store}, in a fleet of {size:d}")
def new_feed(context, store, size):
    fleet = feed_fleet.Fleet(0, 0)
    context.fleet = fleet
    fleet.size = size
    feed_fleet.accept(fleet.store, 4)
    feed_fleet.accept(fleet.store, 5)
    STORES[store](fleet.store)
    context.feed = fleet.add("e0")


def serving_peer(fleet, name, generation):
    """Adds a peer that holds a generation and serves its snapshot."""
    content = feed_fleet.content_of(generation)
    peer_feed = feed.Feed(
        fleet.store.platform(),
        fleet.reactor,
        feed.FeedCallbacks(
            lambda peer, field, body: fleet.send(name, peer, field, body),
            lambda configuration: None,
            lambda: 0,
        ),
        random.Random(1),
    )
    if generation:
        head = publish.Head(generation, feed_fleet.hash_of(content))
        peer_feed.on_published(head, content)
    fleet.feeds[name] = peer_feed


@when("peers at {generations} come up")
def peers_up(context, generations):
    for index, word in enumerate(generations.replace("none", "").split()):
        serving_peer(context.fleet, f"a{index}", int(word))
        context.feed.peer_up(f"a{index}", int(word))
    context.fleet.advance(3)


@then("the feed is ready at generation {generation:d}")
def check_ready(context, generation):
    assert context.feed.ready
    assert context.feed.advertised_generation == generation
    assert context.feed.current.generation == generation


@then("the feed is not ready")
def check_not_ready(context):
    assert not context.feed.ready
    assert context.feed.advertised_generation == 0


@when("generation {generation:d} is required")
def require(context, generation):
    context.result = []
    waiting = context.feed.wait_for_generation(generation)
    waiting.addCallbacks(
        lambda _: context.result.append("met"),
        lambda problem: context.result.append(
            "not met" if problem.check(feed.GenerationTimeout) else problem
        ),
    )


@when("the peer answers after {answer_ms:d} ms")
def answer_after(context, answer_ms):
    body = feed_fleet.snapshot_of("generation 7", context.feed.current.content)
    context.fleet.reactor.callLater(
        answer_ms / 1000, context.feed.on_snapshot, "a0", body
    )


@then("after {seconds:d} seconds the requirement is {result}")
def check_required(context, seconds, result):
    context.fleet.advance(seconds)
    assert context.result == [result], context.result


@given("a feed in a fleet of {size:d}")
def feed_in_fleet(context, size):
    context.fleet = feed_fleet.Fleet(0, 0)
    context.fleet.size = size
    context.feed = context.fleet.add("e0")


@then("it reads the head every {interval_ms:d} ms on average")
def check_interval(context, interval_ms):
    before = context.feed.counters.head_reads
    context.fleet.reactor.advance(interval_ms / 1000 * 100)
    reads = context.feed.counters.head_reads - before
    assert 90 <= reads <= 112, reads


@functools.cache
def large_fleet(teams):
    """Returns a fleet of one daemon, and all contents that it applied."""
    fleet = feed_fleet.Fleet(0, 0)
    follower = fleet.add("e0")
    contents = [
        feed_fleet.content_of(number, teams) for number in range(2, 80)
    ]
    for generation, content in enumerate(contents, start=2):
        follower.on_published(
            publish.Head(generation, feed_fleet.hash_of(content)), content
        )
    return fleet, contents


@given("a feed whose configuration has {teams:d} teams")
def large_feed(context, teams):
    context.fleet, context.contents = large_fleet(teams)
    context.feed = context.fleet.feeds["e0"]


@when("a peer that is {behind:d} generations behind requests the newest")
def request_newest(context, behind):
    held = feed_fleet.hash_of(context.contents[-1 - behind])
    request = ttypes.SnapshotWanted(context.feed.current.generation, "", held)
    context.fleet.sent.clear()
    context.feed.on_snapshot_wanted("a0", request)


@then("it is sent {what}, at most {count:d} bytes")
def check_sent(context, what, count):
    body = context.fleet.sent[0][3]
    assert (what == "changes") == (body.base_hash is not None)
    assert len(body.content) <= count, len(body.content)


def run_fleet(seed):
    fleet = feed_fleet.Fleet(4, 12, seed)
    fleet.start()
    rng = random.Random(seed)
    generation = 1
    for _ in range(40):
        action = rng.choice(("publish", "loss", "pause", "store", "restart"))
        if action == "publish":
            generation += 1
            head, content = feed_fleet.accept(fleet.store, generation)
            if rng.random() < 0.7:
                name = rng.choice(sorted(fleet.feeds))
                fleet.feeds[name].on_published(head, content)
        elif action == "loss":
            fleet.loss = rng.choice((0.0, 0.2, 0.5))
        elif action == "pause":
            names = sorted(fleet.links)
            fleet.paused = set(rng.sample(names, 5))
        elif action == "store":
            fleet.store.is_down = rng.random() < 0.5
            stale = rng.random() < 0.3
            fleet.store.choose = lambda name, args, stale=stale: (
                "stale" if stale and name == "read_row" else "ok"
            )
        elif not fleet.store.is_down:
            fleet.restart(rng.choice(sorted(fleet.links)))
        fleet.advance(rng.choice((0.1, 0.5)))
    fleet.loss = 0.0
    fleet.paused.clear()
    fleet.store.is_down = False
    fleet.store.choose = lambda name, args: "ok"
    fleet.advance(8)
    return fleet, generation


@when(
    "{count:d} seeded fleets go through publishes, losses, pauses, outages"
    " and restarts"
)
def run_fleets(context, count):
    context.fleets = [run_fleet(seed) for seed in range(count)]


@then("no daemon's generation ever decreased")
def check_reverts(context):
    assert sum(generation for _, generation in context.fleets) > 100
    assert [
        fleet.reverts for fleet, _ in context.fleets if fleet.reverts
    ] == []


@then("every fleet ends at its newest generation")
def check_ends(context):
    for fleet, generation in context.fleets:
        assert fleet.behind(generation) == [], fleet.behind(generation)


def new_daemons(count):
    """Starts daemons linked to each other and to one peer that is behind."""
    fleet = feed_fleet.Fleet(0, 0)
    feed_fleet.accept(fleet.store, 4)
    feed_fleet.accept(fleet.store, 5)
    fleet.store.is_down = True
    fleet.size = 50
    serving_peer(fleet, "a0", 4)
    names = [f"e{index}" for index in range(count)]
    for name in names:
        fleet.links[name] = {"a0", *names} - {name}
        fleet.add(name)
    for _ in range(4):
        for name in names:
            fleet.feeds[name].peer_up("a0", 4)
            for peer in sorted(fleet.links[name] - {"a0"}):
                height = fleet.feeds[peer].advertised_generation
                fleet.feeds[name].on_peer_generation(peer, height)
        fleet.advance(1)
    return [fleet.feeds[name] for name in names]


@given(
    "{count:d} new daemons, the store down and one peer at generation 4 of 5"
)
def start_new_daemons(context, count):
    context.feeds = new_daemons(count)


@then("none of the new daemons becomes ready")
def check_none_ready(context):
    assert [follower.current.generation for follower in context.feeds] == [
        4
    ] * 3
    assert [follower.ready for follower in context.feeds] == [False] * 3


def rejects_older(context):
    feed_with_peer(context, 5, 7)
    send_snapshot(context, "generation 4")
    return context.feed.current.generation == 5


def rejects_damaged(context):
    feed_with_peer(context, 5, 7)
    send_snapshot(context, "a damaged snapshot")
    return context.feed.current.generation == 5


def ignores_stale_start(context):
    new_feed(context, "the store with stale reads", 50)
    context.fleet.advance(0.5)
    return context.feed.current.generation != 4 or not context.feed.ready


def needs_quorum(context):
    new_feed(context, "the store down", 50)
    peers_up(context, "4")
    return not context.feed.ready


def survives_outage(context):
    start_fleet(context, 12, 60)
    accept_with(context, "the store down right after")
    context.fleet.advance(1)
    return context.fleet.behind(2) == []


CHECKS = {
    "older snapshot": rejects_older,
    "damaged snapshot": rejects_damaged,
    "stale start": ignores_stale_start,
    "witnesses": lambda _: (
        not any(follower.ready for follower in new_daemons(3))
    ),
    "one witness": needs_quorum,
    "store outage": survives_outage,
}


def take_any(real):
    def take(self, snapshot):
        before = self.current
        self.current = dataclasses.replace(before, generation=0)
        if real(self, snapshot):
            return True
        self.current = before
        return False

    return take


Feed = feed.Feed
MUTANTS = {
    "an older generation comes into force": (
        Feed,
        "_accept_snapshot",
        take_any(Feed._accept_snapshot),
    ),
    "the hash isn't checked": (Feed, "_check_content", lambda *_: None),
    "the head is read without confirming": (
        Feed,
        "_confirm_head",
        Feed._read_head,
    ),
    "a new daemon states what it isn't sure of": (
        Feed,
        "advertised_generation",
        property(lambda self: self.current.generation),
    ),
    "the first peer is believed": (
        feed.FeedSettings,
        "__getattribute__",
        lambda self, name: (
            1
            if name == "start_quorum"
            else object.__getattribute__(self, name)
        ),
    ),
    "peers aren't told": (Feed, "_announce_to", lambda self, peer: None),
}


@then('the check "{check}" fails with the mutant "{mutant}"')
def check_caught(context, check, mutant):
    assert CHECKS[check](context)
    with mock.patch.object(*MUTANTS[mutant]):
        assert not CHECKS[check](context)
