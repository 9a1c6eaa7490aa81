"""Gateways before shared engines, with callers that retry when refused."""

import collections
import dataclasses
import random

from twisted.internet import task

from features.support import gateway_world
from godwitloft import attempt as attempts
from godwitloft.gateway import model
from godwitloft.gateway import options
from godwitloft.links import datagrams

STEP_MS = 5
POLICIES = options.LoadPolicies(retry_turns=True, team_shares=True)
FIRST_DATA_MS = 250
RUN_MS = 1000
SLOTS = 4
DATAGRAM_MS = 2
# A caller with less time left gives up: no answer could begin in time.
LEAST_LEFT_MS = 300
# A caller waits so long if a refusal names no time.
UNTOLD_MS = 500


@dataclasses.dataclass
class Asked:
    """A request of a caller, with all its attempts."""

    number: int
    team: str
    route: str
    born_ms: int
    patience_ms: int
    attempts: int = 0
    refused: int = 0
    held_ms: int = 0
    begun_ms: int | None = None
    reasons: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


class ScarceFleet:
    """Gateways, engines and callers on one simulated clock.

    :param gateways: number of gateways
    :param engines: number of engines of 4 slots, each of which serves 4
        requests a second
    :param teams: allowance in tokens per second by team, 0 for none
    :param timeout_ms: of the routes
    :param seed: of the balancer's choices
    :param adapt: changes each gateway before it gets requests
    """

    def __init__(
        self,
        gateways,
        engines,
        teams=None,
        timeout_ms=5000,
        seed=1,
        adapt=lambda _gateway: None,
    ):
        self.rng = random.Random(seed)
        self.reactor = task.Clock()
        self.reactor.advance(gateway_world.START_S)
        self.engines = engines
        teams = teams or {"team": 0}
        configuration = gateway_world.configuration(2)
        configuration = dataclasses.replace(
            configuration,
            routes=tuple(
                dataclasses.replace(route, timeout_ms=timeout_ms)
                for route in configuration.routes
            ),
            teams=tuple(
                model.Team(name, (name,), None, float(per_s), 0.0, 10, True)
                for name, per_s in teams.items()
            ),
        )
        self.worlds = {}
        for number in range(gateways):
            world = gateway_world.World(
                ("model",) * engines,
                self.reactor,
                f"g{number}",
                policies=POLICIES,
            )
            adapt(world.gateway)
            world.gateway.config_state.configure(configuration)
            self.worlds[f"127.0.0.{number + 1}"] = world
        for host, world in self.worlds.items():
            self.connect(host, world)
        # Requests that run at each engine, and that wait inside it.
        self.active = []
        self.running = collections.Counter()
        self.queued = collections.defaultdict(collections.deque)
        self.played = dict.fromkeys(self.worlds, 0)
        self.asked = []
        self.waiting = []

    @property
    def now_ms(self):
        return round(self.reactor.seconds() * 1000)

    def connect(self, own_host, world):
        def send(data, where):
            self.reactor.callLater(
                DATAGRAM_MS / 1000, self.deliver, own_host, data, where[0]
            )

        world.sharing.announcer.send = send
        world.gateway.confirmation.send = send
        world.gateway.update_gateways(
            {
                f"g{number}": host
                for number, host in enumerate(self.worlds)
                if host != own_host
            }
        )

    def deliver(self, sender, data, host):
        gateway = self.worlds[host].gateway
        gateway.on_datagram(datagrams.decode(data), (sender, 1))

    def ask(self, team="team", route="class", patience_ms=5000):
        asked = Asked(len(self.asked), team, route, self.now_ms, patience_ms)
        self.asked.append(asked)
        self.send(asked)

    def send(self, asked):
        left_ms = asked.born_ms + asked.patience_ms - self.now_ms
        if left_ms < LEAST_LEFT_MS:
            return
        world = self.rng.choice(list(self.worlds.values()))
        asked.attempts += 1
        name = f"{asked.number}-{asked.attempts}"
        caller = world.ask(name, asked.route, key=asked.team, left_ms=left_ms)
        self.waiting.append((asked, caller, self.now_ms))

    def hear(self):
        """Lets callers hear of refusals, and answers begin."""
        waiting, self.waiting = self.waiting, []
        for asked, caller, sent_ms in waiting:
            if caller.status is None:
                self.waiting.append((asked, caller, sent_ms))
            elif caller.status == 200:
                asked.begun_ms = self.now_ms
            elif caller.status in (429, 503):
                asked.refused += 1
                asked.held_ms += self.now_ms - sent_ms
                asked.reasons[caller.received.split(b'"')[5].decode()] += 1
                left_ms = asked.born_ms + asked.patience_ms - self.now_ms
                after_ms = min(told_ms(caller), left_ms / 3)
                self.reactor.callLater(after_ms / 1000, self.send, asked)

    def play(self, sent):
        """Runs a request, or queues it while all slots are in use."""
        engine = sent.upstream.id
        if self.running[engine] < SLOTS:
            self.begin(sent, engine)
        else:
            self.queued[engine].append(sent)

    def begin(self, sent, engine):
        """Answers as an engine does, which stops when its caller leaves."""
        self.running[engine] += 1
        self.active.append((sent, engine))

        def first():
            if not sent.cancelled:
                sent.head(200)
                sent.callbacks.on_data(b"id: 1\ndata: x\n\n")

        def end():
            if not sent.cancelled:
                sent.callbacks.on_data(b"id: 2\ndata: y\n\n")
                sent.end(attempts.End.COMPLETE)
                sent.cancelled = True

        self.reactor.callLater(FIRST_DATA_MS / 1000, first)
        self.reactor.callLater(RUN_MS / 1000, end)

    def free_slots(self):
        """Frees the slots of requests that have ended or were cancelled."""
        active, self.active = self.active, []
        for sent, engine in active:
            if not sent.cancelled:
                self.active.append((sent, engine))
                continue
            self.running[engine] -= 1
        for engine, queued in self.queued.items():
            while queued and self.running[engine] < SLOTS:
                sent = queued.popleft()
                if not sent.cancelled:
                    self.begin(sent, engine)

    def step(self):
        self.reactor.advance(STEP_MS / 1000)
        self.free_slots()
        for host, world in self.worlds.items():
            world.confirm()
            if self.now_ms % gateway_world.TICK_MS == 0:
                world.gateway.tick()
                world.gateway.announce()
            while self.played[host] < len(world.sent):
                self.play(world.sent[self.played[host]])
                self.played[host] += 1
        self.hear()

    def run(self, duration_ms, per_s=None, patience_ms=5000, route="class"):
        """Lets teams ask for a while.

        :param duration_ms: for how long
        :param per_s: requests per second, by team
        :param patience_ms: how long callers wait
        :param route: what they ask for
        """
        due = dict.fromkeys(per_s or {}, 0.0)
        for _ in range(duration_ms // STEP_MS):
            for team, rate in (per_s or {}).items():
                due[team] += rate * STEP_MS / 1000
                while due[team] >= 1:
                    due[team] -= 1
                    self.ask(team, route, patience_ms)
            self.step()


def told_ms(caller):
    """Returns when a refused caller is told to return."""
    for line in caller.received.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"retry-after":
            return float(value) * 1000
    return UNTOLD_MS
