"""Draws how versions answer, as one gateway counts it."""

import dataclasses
import math
import random

from godwitloft.rollouts import evidence
from godwitloft.rollouts import judgement

ROUTES = 5
SHARE = 0.08
JUDGE_EVERY = 50
UPSTREAMS_AT_A_TIME = 2
ANSWERS_PER_TURN = 12


@dataclasses.dataclass
class Load:
    """How a service is used, and how its new version answers."""

    answers: int = 2000
    upstreams: int = 6
    slowest: float = 0.5
    fastest: float = 2.0
    # Part of the answers of any version that fail.
    failing: float = 0.01
    # From this part of the answers on, all versions are slow and fail.
    overloaded_from: float = 1.0
    # Of the new version: part of the answers that fail or are slow, from
    # which part of all answers on, and on which routes.
    bad: float = 0.0
    slower: float = 0.0
    bad_from: float = 0.0
    bad_routes: int = ROUTES
    cold: bool = False


@dataclasses.dataclass
class Judged:
    """The first verdict against a version, or the last one."""

    verdict: judgement.Verdict
    bad_answers: int


class Draw:
    """Answers of a former and a new version, by a seed."""

    def __init__(self, load, seed):
        self.load = load
        self.rng = random.Random(seed)
        self.speeds = {
            version: [self.speed() for _ in range(load.upstreams)]
            for version in ("v1", "v2")
        }
        self.weights = [self.rng.uniform(0.1, 1) for _ in range(ROUTES)]
        self.usual_ms = [self.rng.uniform(40, 800) for _ in range(ROUTES)]
        self.deviation = self.rng.uniform(0.2, 0.6)
        self.counters = evidence.Counters()
        self.new_answers = 0
        self.bad_answers = 0

    def speed(self):
        low, high = math.log(self.load.slowest), math.log(self.load.fastest)
        return math.exp(self.rng.uniform(low, high))

    def upstream(self, version):
        speeds = self.speeds[version]
        if version == "v1":
            return self.rng.choices(range(len(speeds)), speeds)[0]
        self.new_answers += 1
        first = self.new_answers // ANSWERS_PER_TURN
        chosen = first + self.rng.randrange(UPSTREAMS_AT_A_TIME)
        return chosen % len(speeds)

    def answer(self, number):
        load, rng = self.load, self.rng
        version = "v2" if rng.random() < SHARE else "v1"
        upstream = self.upstream(version)
        route = rng.choices(range(ROUTES), self.weights)[0]
        took_ms = self.usual_ms[route] / self.speeds[version][upstream]
        took_ms *= math.exp(rng.gauss(0, self.deviation))
        failing = load.failing
        if number >= load.overloaded_from * load.answers:
            took_ms *= rng.uniform(1.5, 3.5)
            failing = 0.1
        failed = rng.random() < failing
        if version == "v2":
            if load.cold and self.new_answers < 3 * load.upstreams:
                took_ms *= 1.4
            is_bad = (
                number >= load.bad_from * load.answers
                and route < load.bad_routes
                and rng.random() < load.bad
            )
            self.bad_answers += is_bad
            failed = failed or (is_bad and not load.slower)
            if is_bad and load.slower:
                took_ms *= load.slower
        key = evidence.Key(
            "s", 1, version, f"r{route}", f"{version}{upstream}"
        )
        self.counters.add_answer(key, failed)
        if not failed:
            self.counters.add_time(key, took_ms)

    def judge(self):
        for number in range(self.load.answers):
            self.answer(number)
            if number % JUDGE_EVERY and number < self.load.answers - 1:
                continue
            verdict = judgement.judge(self.counters.cells, "v2", ("v1",))
            if verdict.kind is judgement.Kind.BAD:
                break
        return Judged(verdict, self.bad_answers)
