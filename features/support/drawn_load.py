"""A gateway before unlike engines under overload, drawn by a seed."""

import collections
import dataclasses
import random

from features.support import gateway_world
from godwitloft import attempt as attempts
from godwitloft.gateway import model

STEP_MS = 5
LENGTH_MS = 20_000
SETTLING_MS = 4_000
LEFT_MS = 8_000
START_MS = 50
# Share of a route's requests that its largest group holds.
LARGEST = 0.1


@dataclasses.dataclass(frozen=True)
class Kind:
    """Requests to one route."""

    name: str
    rank: int
    share: float
    prompt_tokens: int
    output_ms: int
    target_ms: int

    def draw_prompt(self, rng):
        return int(self.prompt_tokens * min(5.0, rng.lognormvariate(0, 0.6)))


@dataclasses.dataclass(frozen=True)
class Engine:
    """Speed of an upstream."""

    slots: int
    slowness: float

    def first_data_ms(self, prompt_tokens, running):
        load = 1 + running / self.slots
        return self.slowness * (START_MS + prompt_tokens / 80) * load

    def run_ms(self, kind):
        """Returns the mean time that a request of a kind holds a slot."""
        first_ms = self.first_data_ms(kind.prompt_tokens, self.slots)
        return first_ms + self.slowness * kind.output_ms


@dataclasses.dataclass
class Asked:
    """A request and how it ended."""

    kind: Kind
    team: str
    prompt_tokens: int
    at_ms: int
    caller: object
    begun_ms: int | None = None


class DrawnLoad:
    """Draws a deployment and plays its load."""

    def __init__(self, seed):
        self.rng = rng = random.Random(seed)
        self.kinds = [
            Kind(
                name=f"kind{rank}",
                rank=rank,
                share=rng.uniform(0.2, 1.0),
                prompt_tokens=int(100 * 80 ** rng.random()),
                output_ms=rng.randint(100, 1500),
                target_ms=rng.choice((400, 800, 1500)),
            )
            for rank in range(rng.randint(2, 5))
        ]
        self.teams = [f"team{number}" for number in range(rng.randint(3, 6))]
        self.engines = {
            f"u{number}": Engine(rng.randint(4, 11), rng.uniform(0.5, 2.5))
            for number in range(rng.randint(2, 5))
        }
        self.overload = rng.uniform(1.2, 4.0)
        self.world = gateway_world.World(())
        self.world.gateway.config_state.configure(self.configuration())
        self.world.gateway.update_upstreams(
            {
                name: gateway_world.upstream(name, "model", engine.slots)
                for name, engine in self.engines.items()
            }
        )
        self.world.confirm()
        self.running = collections.Counter()
        self.asked = {}
        self.played = 0

    def configuration(self):
        routes = tuple(
            model.Route(
                name=kind.name,
                host="h",
                prefix=f"/{kind.name}/",
                kind=model.Kind.STREAM,
                targets=(model.Target("model", 1.0),),
                rank=kind.rank,
                timeout_ms=LEFT_MS,
                target_ms=kind.target_ms,
                max_attempts=1,
                public=False,
                resumable=False,
            )
            for kind in self.kinds
        )
        teams = tuple(
            model.Team(name, (name,), None, 0.0, 0.0, 10, True)
            for name in self.teams
        )
        return dataclasses.replace(
            gateway_world.configuration(2), routes=routes, teams=teams
        )

    @property
    def per_s(self):
        """Requests a second, ``overload`` times what the engines serve."""
        total = sum(kind.share for kind in self.kinds)
        capacity = 0.0
        for engine in self.engines.values():
            mean_ms = sum(
                kind.share / total * engine.run_ms(kind) for kind in self.kinds
            )
            capacity += engine.slots * 1000 / mean_ms
        return self.overload * capacity

    def run(self):
        due = 0.0
        while self.now_ms < gateway_world.START_S * 1000 + LENGTH_MS:
            due += self.per_s * STEP_MS / 1000
            while due >= 1:
                due -= 1
                self.ask()
            self.step()

    @property
    def now_ms(self):
        return self.world.clock.monotonic_ms()

    def ask(self):
        shares = [kind.share for kind in self.kinds]
        kind = self.rng.choices(self.kinds, shares)[0]
        greedy = self.rng.random() < 0.5
        team = self.teams[0] if greedy else self.rng.choice(self.teams)
        prompt_tokens = kind.draw_prompt(self.rng)
        name = f"r{len(self.asked)}"
        caller = self.world.ask(
            name,
            kind.name,
            key=team,
            left_ms=LEFT_MS,
            extra=b"Godwitloft-Token-Counts: %d,10\r\n" % prompt_tokens,
        )
        self.asked[name] = Asked(
            kind, team, prompt_tokens, self.now_ms, caller
        )

    def step(self):
        self.world.reactor.advance(STEP_MS / 1000)
        self.world.confirm()
        if self.now_ms % gateway_world.TICK_MS == 0:
            self.world.gateway.tick()
        while self.played < len(self.world.sent):
            self.play(self.world.sent[self.played])
            self.played += 1

    def play(self, sent):
        """Answers a request as its engine does."""
        name = sent.headers[gateway_world.DIALECT.request_id].decode()
        asked = self.asked[name]
        engine = self.engines[sent.upstream.id]
        running = self.running[sent.upstream.id]
        self.running[sent.upstream.id] += 1
        first_ms = engine.first_data_ms(asked.prompt_tokens, running)

        def begin():
            sent.head(200)
            asked.begun_ms = self.now_ms
            sent.callbacks.on_data(b"id: 1\ndata: x\n\n")

        def end():
            self.running[sent.upstream.id] -= 1
            sent.callbacks.on_data(b"id: 2\ndata: y\n\n")
            sent.end(attempts.End.COMPLETE)

        later = self.world.reactor.callLater
        later(first_ms / 1000, begin)
        later((first_ms + engine.slowness * asked.kind.output_ms) / 1000, end)

    def settled(self):
        """Returns the requests that came after settling, with time to run."""
        first_ms = gateway_world.START_S * 1000 + SETTLING_MS
        last_ms = self.now_ms - 2_000
        return [
            asked
            for asked in self.asked.values()
            if first_ms <= asked.at_ms <= last_ms
        ]


def served_share(asked):
    """Returns which share of requests were answered."""
    served = sum(request.begun_ms is not None for request in asked)
    return served / len(asked)


def largest(asked):
    """Returns the largest tenth of requests."""
    ascending = sorted(asked, key=lambda request: request.prompt_tokens)
    return ascending[int(len(ascending) * (1 - LARGEST)) :]
