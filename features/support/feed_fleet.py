"""Feeds of many daemons over a simulated network, and what they fetch."""

import hashlib
import json
import random

import heap_clock
import scripted_store

from godwitloft import errors
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
