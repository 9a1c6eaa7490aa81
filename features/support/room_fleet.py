"""Gateways that share the upstreams of one plain service, without agents."""

import collections
import dataclasses
import math
import random

from twisted.internet import task

from features.support import gateway_world
from godwitloft import attempt as attempts
from godwitloft import clock as clocks
from godwitloft.gateway import options
from godwitloft.links import datagrams

STEP_MS = 5
DATAGRAM_MS = 2
LEASES_READ_MS = 1000
LEFT_MS = 5000
SETTLING_MS = 2000
URGENT, OTHER = "post", "lookup"


def configuration():
    """Returns one in which "post" goes before "lookup".

    Its target is long, so that requests wait for it without being late.
    """
    found = gateway_world.configuration(version=2)
    ranks = {URGENT: 0, OTHER: 2}
    routes = tuple(
        dataclasses.replace(
            route,
            rank=ranks.get(route.name, route.rank),
            target_ms=3000 if route.name == URGENT else route.target_ms,
        )
        for route in found.routes
    )
    return dataclasses.replace(found, routes=routes)


class Upstream:
    """Runs as many requests as it has slots; others wait in it."""

    def __init__(self, name, slots, run_ms):
        self.name = name
        self.slots = slots
        self.run_ms = run_ms
        self.waiting = collections.deque()
        self.running = 0
        self.most = 0


@dataclasses.dataclass
class Asked:
    """A caller's request."""

    gateway: int
    route: str
    at_ms: int
    caller: gateway_world.Caller
    ended_ms: int | None = None

    @property
    def in_time(self):
        return self.ended_ms is not None and self.caller.status == 200


@dataclasses.dataclass
class Start:
    """A request that reached an upstream."""

    at_ms: int
    route: str
    gateway: int


class RoomFleet:
    """Gateways, upstreams and callers on one simulated clock."""

    def __init__(self, gateways, upstreams, slots, older=(), seed=1):
        self.reactor = task.Clock()
        self.reactor.advance(1000)
        self.clock = clocks.reactor_clock(self.reactor)
        self.rng = random.Random(seed)
        self.upstreams = {
            f"u{number}": Upstream(f"u{number}", slots, run_ms)
            for number, run_ms in enumerate(upstreams)
        }
        self.worlds = []
        self.played = []
        self.silent_out = set()
        self.silent_in = set()
        self.gone = set()
        self.asked = []
        self.open = []
        self.due = 0.0
        self.starts = []
        for _ in range(gateways):
            self.add(is_older=len(self.worlds) in older)
        self.read_leases()

    @property
    def now_ms(self):
        return self.clock.monotonic_ms()

    @property
    def capacity_per_s(self):
        return sum(
            upstream.slots * 1000 / upstream.run_ms
            for upstream in self.upstreams.values()
        )

    def add(self, is_older=False):
        number = len(self.worlds)
        world = gateway_world.World(
            (),
            reactor=self.reactor,
            instance=f"g{number:02d}",
            policies=options.LoadPolicies(demand_shares=True),
        )
        world.gateway.config_state.configure(configuration())
        world.gateway.update_upstreams(
            {
                upstream.name: gateway_world.upstream(
                    upstream.name, "desk", upstream.slots
                )
                for upstream in self.upstreams.values()
            }
        )
        world.gateway.placer.room_shares.is_announcing = not is_older
        world.sharing.announcer.send = self.sender(number)
        world.gateway.confirmation.send = lambda *_: None
        self.worlds.append(world)
        self.played.append(0)

    def sender(self, number):
        def send(data, where):
            if number in self.silent_out:
                return
            receiver = int(where[0].rpartition(".")[2]) - 1
            if receiver not in self.silent_in | self.gone:
                self.reactor.callLater(
                    DATAGRAM_MS / 1000,
                    lambda: self.worlds[receiver].gateway.on_datagram(
                        datagrams.decode(data), (host(number), 1)
                    ),
                )

        return send

    def read_leases(self):
        hosts = {
            world.sharing.instance: host(number)
            for number, world in enumerate(self.worlds)
            if number not in self.gone
        }
        for number, world in enumerate(self.worlds):
            others = dict(hosts)
            others.pop(world.sharing.instance, None)
            if number not in self.gone:
                world.gateway.update_gateways(others)

    def ask(self, number, route=OTHER):
        caller = self.worlds[number].ask(
            f"r{len(self.asked)}", route, left_ms=LEFT_MS
        )
        asked = Asked(number, route, self.now_ms, caller)
        self.asked.append(asked)
        self.open.append(asked)

    def accept(self, sent, number):
        route = sent.outgoing.target.split(b"/")[1].decode()
        upstream = self.upstreams[sent.upstream.id]
        self.starts.append(Start(self.now_ms, route, number))
        upstream.waiting.append(sent)
        upstream.most = max(
            upstream.most, len(upstream.waiting) + upstream.running
        )
        self.run_next(upstream)

    def run_next(self, upstream):
        while upstream.waiting and upstream.running < upstream.slots:
            sent = upstream.waiting.popleft()
            if sent.cancelled:
                continue
            upstream.running += 1
            run_ms = upstream.run_ms * self.rng.uniform(0.8, 1.2)
            self.reactor.callLater(run_ms / 1000, self.end, upstream, sent)

    def end(self, upstream, sent):
        upstream.running -= 1
        if not sent.cancelled:
            sent.head(200)
            sent.callbacks.on_data(b"ok")
            sent.end(attempts.End.COMPLETE)
        self.run_next(upstream)

    def step(self):
        self.reactor.advance(STEP_MS / 1000)
        now_ms = self.now_ms
        if now_ms % LEASES_READ_MS == 0:
            self.read_leases()
        for number, world in enumerate(self.worlds):
            if number in self.gone:
                continue
            if (now_ms + number * STEP_MS) % gateway_world.TICK_MS == 0:
                world.confirm()
                world.gateway.tick()
                world.gateway.announce()
            while self.played[number] < len(world.sent):
                sent = world.sent[self.played[number]]
                self.played[number] += 1
                self.accept(sent, number)
        still_open = []
        for asked in self.open:
            if asked.caller.status is None:
                still_open.append(asked)
            else:
                asked.ended_ms = now_ms
        self.open = still_open

    def run(self, duration_ms, load, part, route=OTHER):
        """Lets callers ask.

        :param load: times the capacity of all upstreams
        :param part: returns the part of the callers at each gateway, by the
            time since the start
        :param route: route of their requests
        """
        start_ms = self.now_ms
        for _ in range(duration_ms // STEP_MS):
            mean = load * self.capacity_per_s * STEP_MS / 1000
            parts = part(self.now_ms - start_ms)
            for _ in range(poisson(self.rng, mean)):
                number = self.rng.choices(range(len(parts)), parts)[0]
                if number not in self.gone:
                    self.ask(number, route)
            self.step()

    def allowed_excess(self):
        """Returns how far the shares of an upstream exceed its slots."""
        found = 0
        for name, upstream in self.upstreams.items():
            allowed = 0
            for number, world in enumerate(self.worlds):
                if number not in self.gone:
                    state = world.gateway.fleet.listed[name]
                    allowed += world.gateway.placer.allowed(state, self.now_ms)
            found = max(found, allowed - upstream.slots)
        return found

    def fractions(self, since_ms, until_ms, zones):
        """Returns the fraction that was finished in time by zone.

        :param zones: zone of each gateway
        """
        asked = collections.Counter()
        ended = collections.Counter()
        for request in self.asked:
            if since_ms <= request.at_ms < until_ms:
                zone = zones[request.gateway]
                asked[zone] += 1
                ended[zone] += request.in_time
        return {zone: ended[zone] / asked[zone] for zone in asked}


def host(number):
    return f"127.0.0.{number + 1}"


def poisson(rng, mean):
    count = 0
    left = math.exp(-mean)
    product = rng.random()
    while product > left:
        count += 1
        product *= rng.random()
    return count
