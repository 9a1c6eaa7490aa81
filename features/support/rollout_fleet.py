"""Gateways, a store's rows and upstreams of two versions, in a roll-out."""

import math
import random

from twisted.internet import task

from features.support import gateway_world
from godwitloft import attempt as attempts
from godwitloft.gateway import model
from godwitloft.links import datagrams
from godwitloft.rollouts import types

SERVICE = "desk"
ROUTES = ("post", "lookup")
STEP_MS = gateway_world.TICK_MS
POLL_MS = 300
STEP_EVERY_MS = 100
ANNOUNCE_MS = 50
USUAL_MS = 200
SLOTS = 12


class Member:
    """One gateway, with the upstreams' answers to its requests."""

    def __init__(self, fleet, number):
        self.name = f"g{number}"
        self.host = f"127.0.0.{number + 1}"
        self.cut = False
        # Whether it reaches its peers, and not the store.
        self.store_cut = False
        self.world = gateway_world.World(
            (), reactor=fleet.reactor, instance=self.name
        )
        self.gateway = self.world.gateway
        self.rollouts = self.gateway.rollouts
        self.rollouts.in_use = True
        self.answered = 0

    def reach_store(self, now_ms):
        """Lets the gateway know that versions are saved."""
        self.gateway.confirmation.store_contact.record(now_ms)
        self.gateway.versions.record_saved(now_ms)


class RolloutFleet:
    """The fleet; the caller says how the new version answers."""

    def __init__(self, seed, gateways, per_s, upstreams=4):
        self.reactor = task.Clock()
        self.reactor.advance(gateway_world.START_S)
        self.rng = random.Random(seed)
        self.per_s = per_s
        self.due = 0.0
        self.orders = {}
        self.rows = {}
        self.row_version = 0
        self.is_away = False
        self.refused_steps = 0
        # Answers of the new version: part that is bad, and how.
        self.bad = 0.0
        self.slower = 0.0
        self.bad_from_ms = 0
        self.bad_ms = []
        # When requests were sent, by version.
        self.sent_ms = {"v1": [], "v2": []}
        self.members = {}
        self.callers = 0
        self.speeds = {}
        self.upstreams = {}
        self.list("v1", upstreams)
        for number in range(gateways):
            self.start(number)
        self.advance(3000)

    def now_ms(self):
        return round(self.reactor.seconds() * 1000)

    def list(self, version, count):
        for number in range(count):
            name = f"{version}-{number}"
            self.speeds[name] = math.exp(self.rng.uniform(-0.5, 0.5))
            self.upstreams[name] = model.Upstream(
                name, SERVICE, "127.0.0.1", 9, "a", SLOTS, False, 1, version
            )
        for member in self.members.values():
            member.gateway.update_upstreams(self.upstreams)

    def start(self, number):
        member = Member(self, number)
        self.members[member.name] = member
        member.gateway.update_upstreams(self.upstreams)
        self.tell_hosts()

    def kill(self, number):
        del self.members[f"g{number}"]
        self.tell_hosts()

    def tell_hosts(self):
        hosts = {name: member.host for name, member in self.members.items()}
        for name, member in self.members.items():
            others = {key: host for key, host in hosts.items() if key != name}
            member.gateway.update_gateways(others)

    def order(self, to, duration_ms):
        self.row_version += 1
        self.orders[SERVICE] = types.Order(
            SERVICE, to, duration_ms, self.row_version
        )

    @property
    def rollout(self):
        saved = self.rows.get(SERVICE)
        return saved.rollout if saved is not None else None

    def advance(self, duration_ms):
        for _ in range(duration_ms // STEP_MS):
            self.reactor.advance(STEP_MS / 1000)
            now_ms = self.now_ms()
            for member in list(self.members.values()):
                if now_ms % POLL_MS == 0:
                    self.poll(member, now_ms)
                if now_ms % STEP_EVERY_MS == 0:
                    self.take_step(member, now_ms)
                member.world.confirm()
                member.gateway.tick()
                if now_ms % ANNOUNCE_MS == 0:
                    member.gateway.announce()
                self.deliver(member)
            self.ask()
            for member in list(self.members.values()):
                self.answer_new(member)

    def poll(self, member, now_ms):
        if self.is_away or member.cut or member.store_cut:
            return
        member.reach_store(now_ms)
        member.rollouts.on_rows(self.orders, self.rows, now_ms)

    def take_step(self, member, now_ms):
        if self.is_away or member.cut or member.store_cut:
            return
        step = member.rollouts.due_step(now_ms)
        if step is None:
            return
        saved = self.rows.get(SERVICE)
        if step.row_version != (saved.row_version if saved else 0):
            self.refused_steps += 1
            member.rollouts.on_rows(self.orders, self.rows, now_ms)
            return
        self.row_version += 1
        self.rows[SERVICE] = types.Saved(step.rollout, self.row_version)
        member.rollouts.on_step_written(step, self.row_version)

    def deliver(self, member):
        sent, member.world.datagrams[:] = list(member.world.datagrams), []
        for data, where in sent:
            for other in list(self.members.values()):
                if other.host == where[0] and not (member.cut or other.cut):
                    datagram = datagrams.decode(data)
                    other.gateway.on_datagram(datagram, (member.host, 1))

    def ask(self):
        self.due += self.per_s * STEP_MS / 1000
        while self.due >= 1:
            self.due -= 1
            self.callers += 1
            member = self.rng.choice(list(self.members.values()))
            route = self.rng.choices(ROUTES, (1, 4))[0]
            member.world.ask(f"r{self.callers}", route)

    def answer_new(self, member):
        for sent in member.world.sent[member.answered :]:
            member.answered += 1
            now_ms = self.now_ms()
            version = sent.upstream.version
            self.sent_ms[version].append(now_ms)
            is_bad = (
                version == "v2"
                and now_ms >= self.bad_from_ms
                and self.rng.random() < self.bad
            )
            took_ms = USUAL_MS / self.speeds[sent.upstream.id]
            took_ms *= math.exp(self.rng.gauss(0, 0.3))
            if is_bad and self.slower:
                took_ms *= self.slower
            status = 500 if is_bad and not self.slower else 200
            self.reactor.callLater(
                took_ms / 1000, self.answer, sent, status, is_bad
            )

    def answer(self, sent, status, is_bad):
        if sent.cancelled:
            return
        if is_bad:
            self.bad_ms.append(self.now_ms())
        sent.answer(status, b"ok")

    def kill_upstream(self, name):
        """Kills an upstream with all that it runs; it isn't listed then."""
        for member in self.members.values():
            for sent in member.world.sent:
                if sent.upstream.id == name and not sent.cancelled:
                    sent.cancelled = True
                    sent.end(attempts.End.BROKEN)
        del self.upstreams[name]
        for member in self.members.values():
            member.gateway.update_upstreams(self.upstreams)

    def sent_since(self, at_ms, before_ms=math.inf):
        """Returns how many requests went to each version."""
        return {
            version: sum(at_ms <= sent_ms < before_ms for sent_ms in times)
            for version, times in self.sent_ms.items()
        }
