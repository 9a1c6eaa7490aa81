import dataclasses
import functools
import hashlib
import json
import random
from unittest import mock

from behave import given
from behave import then
from behave import when
import heap_clock
import scripted_store

from features.support import logs
from godwitloft import errors
from godwitloft import events
from godwitloft.coordination import delta
from godwitloft.coordination import feed
from godwitloft.coordination import publish
from godwitloft.links.generated.messages import ttypes

HEAD = (publish.TABLE, publish.HEAD_KEY)
LATENCY_S = 0.0015


def content_of(generation, teams=3):
    members = [
        {"name": f"team-{index:05d}", "weight": 1, "tiers": ["gold", "basic"]}
        for index in range(teams)
    ]
    members[generation % teams]["weight"] = generation
    text = json.dumps(
        {"teams": members, "tiers": []}, sort_keys=True, separators=(",", ":")
    )
    return text.encode()


def hash_of(content):
    return hashlib.sha256(content).hexdigest()


def accept(store, generation, content=None):
    content = content or content_of(generation)
    head = publish.Head(generation, hash_of(content), f"p{generation}")
    row = store.read_row(*HEAD)
    version = row.version if row else 0
    store.write_object(publish.snapshot_name(head.snapshot_hash), content)
    store.write_row(*HEAD, publish.encode_head(head), version, None)
    return head, content


class Fleet:
    """Feeds that communicate over a network with latency, loss and pauses."""

    def __init__(self, entries, agents, seed=1, neighbours=3):
        self.rng = random.Random(seed)
        self.reactor = heap_clock.HeapClock()
        self.store = scripted_store.Store()
        self.loss = 0.0
        self.paused = set()
        self.dead = set()
        self.refuses = set()
        self.feeds = {}
        self.heights = {}
        self.reverts = 0
        self.size = entries + agents
        self.sent = []
        self.links = {}
        for agent in range(agents):
            for entry in self.rng.sample(range(entries), neighbours):
                self.links.setdefault(f"a{agent}", set()).add(f"e{entry}")
                self.links.setdefault(f"e{entry}", set()).add(f"a{agent}")
        accept(self.store, 1)

    def add(self, name, is_new=True):
        callbacks = feed.FeedCallbacks(
            lambda peer, field, body: self.send(name, peer, field, body),
            lambda configuration: self.apply(name, configuration),
            lambda: self.size,
        )
        self.feeds[name] = feed.Feed(
            self.store.platform(),
            self.reactor,
            callbacks,
            random.Random(f"{name}{self.rng.random()}"),
        )
        self.feeds[name].start()
        return self.feeds[name]

    def start(self):
        for name in sorted(self.links):
            self.add(name)
        for name in sorted(self.links):
            self.connect(name)
        self.heartbeat()
        self.advance(2)

    def connect(self, name):
        for peer in sorted(self.links[name]):
            if peer in self.feeds and peer not in self.dead:
                near, far = self.feeds[name], self.feeds[peer]
                near.peer_up(peer, far.advertised_generation)
                far.peer_up(name, near.advertised_generation)

    def apply(self, name, configuration):
        if name in self.refuses:
            raise errors.GodwitloftError("refused by the test")
        if configuration.generation < self.heights.get(name, 0):
            self.reverts += 1
        self.heights[name] = configuration.generation

    def send(self, sender, peer, field, body):
        self.sent.append((sender, peer, field, body))
        if self.rng.random() < self.loss or sender in self.dead:
            return
        delay = LATENCY_S * (1 + self.rng.random())
        self.reactor.callLater(delay, self.deliver, sender, peer, field, body)

    def deliver(self, sender, peer, field, body):
        if peer in self.paused:
            self.reactor.callLater(
                0.1, self.deliver, sender, peer, field, body
            )
        elif peer in self.feeds and peer not in self.dead:
            handlers = {
                "generation_news": self.feeds[peer].on_generation_news,
                "snapshot_wanted": self.feeds[peer].on_snapshot_wanted,
                "snapshot": self.feeds[peer].on_snapshot,
                "heartbeat": self.feeds[peer].on_peer_generation,
            }
            handlers[field](sender, body)

    def heartbeat(self):
        for name in sorted(self.links):
            if name in self.feeds and name not in self.paused:
                generation = self.feeds[name].advertised_generation
                for peer in sorted(self.links[name]):
                    self.send(name, peer, "heartbeat", generation)
        self.reactor.callLater(1, self.heartbeat)

    def restart(self, name):
        self.feeds.pop(name).stop()
        for peer in self.links[name]:
            self.feeds[peer].peer_down(name)
        self.add(name)
        self.connect(name)

    def advance(self, seconds):
        self.reactor.advance(seconds)

    def behind(self, generation):
        return [
            name
            for name, follower in self.feeds.items()
            if follower.current.generation != generation
            and name not in self.dead
        ]


@given(
    "a feed at generation {held:d} whose peer says it holds generation"
    " {peer:d}"
)
def feed_with_peer(context, held, peer):
    context.fleet = Fleet(0, 0)
    accept(context.fleet.store, held)
    context.feed = context.fleet.add("e0")
    context.fleet.store.is_down = True
    context.feed.on_peer_generation("a0", peer)
    context.fleet.advance(0.1)
    assert context.feed.current.generation == held


SNAPSHOT_KINDS = {
    "a damaged snapshot": lambda body: body.content[:-2] + b" }",
    "too long a snapshot": lambda body: b"x" * 2**24 + b"x",
    "damaged changes": lambda body: body.content.replace(b"7", b"9"),
    "malformed changes": lambda body: b'{"teams": 3}',
}


def snapshot_of(kind, held_content):
    generation = int(kind.split()[-1]) if kind[-1].isdigit() else 7
    content = content_of(generation)
    body = ttypes.Snapshot(generation, hash_of(content), content)
    if "changes" in kind:
        changes = delta.difference(
            delta.split(held_content), delta.split(content)
        )
        body.content = delta.encode(changes)
        body.base_hash = hash_of(held_content)
    if "unknown base" in kind:
        body.base_hash = "0" * 64
    if kind in SNAPSHOT_KINDS:
        body.content = SNAPSHOT_KINDS[kind](body)
    return body


@when("the peer sends {kind}")
def send_snapshot(context, kind):
    if kind == "one that can't be applied":
        context.fleet.refuses.add("e0")
    body = snapshot_of(kind, context.feed.current.content)
    context.feed.on_snapshot("a0", body)


@then(
    "the feed is at generation {generation:d} and {count:d} snapshots were"
    " refused"
)
def check_taken(context, generation, count):
    current = context.feed.current
    assert current.generation == generation, current
    assert current.content == content_of(generation)
    assert context.fleet.heights["e0"] == generation
    assert context.feed.counters.refused == count, context.feed.counters


@given(
    "{entries:d} entries and {agents:d} agents that follow the configuration"
)
def start_fleet(context, entries, agents):
    context.fleet = Fleet(entries, agents)
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
    head, content = accept(fleet.store, 2)
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
    fleet = Fleet(0, 0)
    context.fleet = fleet
    fleet.size = size
    accept(fleet.store, 4)
    accept(fleet.store, 5)
    STORES[store](fleet.store)
    context.feed = fleet.add("e0")


def serving_peer(fleet, name, generation):
    """Adds a peer that holds a generation and serves its snapshot."""
    content = content_of(generation)
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
        head = publish.Head(generation, hash_of(content))
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


@when(
    "the store is up with generation {generation:d}, whose snapshot is damaged"
)
def damaged_in_store(context, generation):
    store = context.fleet.store
    store.is_down = False
    head, _content = accept(store, generation)
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
    old = snapshot_of(f"generation {generation}", b"")
    context.feed.on_snapshot(first, old)


@when("the second answers {wait_ms:d} ms after it was asked")
def second_answers(context, wait_ms):
    _first, second = asked_peers(context)
    context.fleet.advance(wait_ms / 1000)
    body = snapshot_of("generation 7", context.feed.current.content)
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
    body = snapshot_of("generation 7", context.feed.current.content)
    context.fleet.reactor.callLater(
        answer_ms / 1000, context.feed.on_snapshot, "a0", body
    )


@then("after {seconds:d} seconds the requirement is {result}")
def check_required(context, seconds, result):
    context.fleet.advance(seconds)
    assert context.result == [result], context.result


@given("a feed in a fleet of {size:d}")
def feed_in_fleet(context, size):
    context.fleet = Fleet(0, 0)
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
    fleet = Fleet(0, 0)
    follower = fleet.add("e0")
    contents = [content_of(number, teams) for number in range(2, 80)]
    for generation, content in enumerate(contents, start=2):
        follower.on_published(
            publish.Head(generation, hash_of(content)), content
        )
    return fleet, contents


@given("a feed whose configuration has {teams:d} teams")
def large_feed(context, teams):
    context.fleet, context.contents = large_fleet(teams)
    context.feed = context.fleet.feeds["e0"]


@when("a peer that is {behind:d} generations behind requests the newest")
def request_newest(context, behind):
    held = hash_of(context.contents[-1 - behind])
    request = ttypes.SnapshotWanted(context.feed.current.generation, "", held)
    context.fleet.sent.clear()
    context.feed.on_snapshot_wanted("a0", request)


@then("it is sent {what}, at most {count:d} bytes")
def check_sent(context, what, count):
    body = context.fleet.sent[0][3]
    assert (what == "changes") == (body.base_hash is not None)
    assert len(body.content) <= count, len(body.content)


def run_fleet(seed):
    fleet = Fleet(4, 12, seed)
    fleet.start()
    rng = random.Random(seed)
    generation = 1
    for _ in range(40):
        action = rng.choice(("publish", "loss", "pause", "store", "restart"))
        if action == "publish":
            generation += 1
            head, content = accept(fleet.store, generation)
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
    fleet = Fleet(0, 0)
    accept(fleet.store, 4)
    accept(fleet.store, 5)
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
