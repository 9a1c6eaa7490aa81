"""Simulation of entries and agents that run keyed calls on a faulty store."""

import random

from twisted.internet import defer
from twisted.internet import task

from features.support import fake_store
from godwitloft.coordination import claims
from godwitloft.coordination import claims_row
from godwitloft.coordination import swap
from godwitloft.coordination import write_budget

FAULTS = ("down", "lost", "late", "never", "0.3", "6.0")
LIMIT_MS = 20_000
BODY = "f1"


class Agent:
    def __init__(self, name):
        self.name = name
        self.restart()

    def restart(self):
        self.incarnation = f"{self.name}.{random_token()}"
        self.runs = {}

    def pull(self, run_id):
        self.runs[run_id] = "pulled"

    def dispatch(self, run_id):
        started = self.runs.get(run_id) == "pulled"
        self.runs[run_id] = "running" if started else "tombstone"
        return started

    def ask(self, run_id):
        if self.runs.get(run_id) in ("running", "ended"):
            return claims.Proof.RUNNING
        self.runs[run_id] = "tombstone"
        return claims.Proof.NEVER_STARTED


TOKENS = iter(range(10**9))


def random_token():
    return str(next(TOKENS))


class World:
    def __init__(self, seed, mutant="", fault_share=0.2):
        self.random = random.Random(seed)
        self.mutant = mutant
        self.fault_share = fault_share
        self.clock = task.Clock()
        self.store = fake_store.FakeStore(self.clock, self.fault)
        self.agents = [Agent("a1"), Agent("a2")]
        self.executed_runs = []
        self.results = []
        self.violations = []

    def fault(self):
        if self.random.random() < self.fault_share:
            return self.random.choice(FAULTS)
        return "ok"

    def ask(self, agent, incarnation, run_id):
        found = next(
            candidate for candidate in self.agents if candidate.name == agent
        )
        same = found.incarnation == incarnation
        reached = same and self.random.random() > self.fault_share
        proof = found.ask(run_id) if reached else claims.Proof.UNKNOWN
        if self.mutant == "tombstone forgotten" and proof is not (
            claims.Proof.RUNNING
        ):
            found.runs[run_id] = "pulled"
        if self.mutant == "silence taken as proof" and not reached:
            proof = claims.Proof.NEVER_STARTED
        answer = defer.Deferred()
        self.clock.callLater(0.002, answer.callback, proof)
        return answer

    def make_claims(self):
        budget = write_budget.WriteBudget(self.clock, lambda: 100.0, 10)
        client = claims.Claims(
            self.store.platform(), self.clock, budget, self.ask, self.random
        )
        if self.mutant == "lost answer taken as success":
            original = client.claim

            async def claim(key, row, version, limit_ms):
                found = await original(key, row, version, min(50, limit_ms))
                if isinstance(found, claims.Unavailable):
                    return claims.HeldClaim(key, row, 0)
                return found

            client.claim = claim
        if self.mutant == "no claim before dispatch":

            async def claim_late(key, row, version, limit_ms):
                return claims.HeldClaim(key, row, version)

            client.claim = claim_late
        if self.mutant == "version ignored":
            table = (claims.TABLE, "k")
            original_claim = client.claim

            async def claim_any(key, row, version, limit_ms):
                found = self.store.rows.get(table)
                newest = found.version if found else 0
                return await original_claim(key, row, newest, limit_ms)

            client.claim = claim_any
        return client

    async def attempt(self):
        """Makes one caller's attempt at one entry."""
        client = self.make_claims()
        for _ in range(3):
            lookup = await client.look_up("k", BODY, LIMIT_MS)
            if not isinstance(lookup, claims.Proceed):
                return self.record_result(lookup)
            await swap.sleep(self.clock, self.random.choice((0, 5, 400)))
            ended = await self.run(client, lookup.version)
            if ended is not None:
                return self.record_result(ended)
        return self.record_result(claims.Unavailable("attempts"))

    async def run(self, client, version):
        agent = self.random.choice(self.agents)
        incarnation = agent.incarnation
        run_id = f"r{random_token()}"
        agent.pull(run_id)
        row = claims_row.Row(
            run_id,
            BODY,
            claims_row.State.RUNNING,
            "e",
            agent.name,
            incarnation,
        )
        claim = await client.claim("k", row, version, LIMIT_MS)
        if isinstance(claim, claims.Unavailable):
            return claim
        if isinstance(claim, claims.AlreadyClaimed):
            return None
        await swap.sleep(self.clock, self.random.choice((0, 5, 3000)))
        if agent.incarnation != incarnation or not agent.dispatch(run_id):
            await client.release(claim)
            return None
        self.executed_runs.append(run_id)
        await swap.sleep(self.clock, self.random.choice((5, 800)))
        if agent.incarnation != incarnation:
            return claims.OutcomeUnknown()
        agent.runs[run_id] = "ended"
        answer = claims_row.Answer(
            claims_row.Outcome.COMPLETED, body=run_id.encode()
        )
        await client.finish(claim, answer)
        return claims.Recorded(answer)

    def record_result(self, result):
        self.results.append(result)
        if isinstance(result, claims.Recorded):
            if [result.answer.body.decode()] != self.executed_runs:
                self.violations.append(
                    f"result {result}, executed {self.executed_runs}"
                )

    def simulate(self):
        attempts = []
        for _ in range(200):
            event = self.random.random()
            if event < 0.05 and len(attempts) < 6:
                attempts.append(defer.ensureDeferred(self.attempt()))
            elif event < 0.07 and attempts:
                # The entry's process crashes.
                crashed = self.random.choice(attempts)
                crashed.addErrback(lambda failure: None)
                crashed.cancel()
            elif event < 0.08:
                self.random.choice(self.agents).restart()
            self.clock.advance(self.random.choice((0.001, 0.01, 0.5)))
        self.fault_share = 0.0
        attempts.append(defer.ensureDeferred(self.attempt()))
        for attempt in attempts:
            attempt.addErrback(
                lambda failure: failure.trap(defer.CancelledError)
            )
        for _ in range(1000):
            self.clock.advance(0.25)
        if not attempts[-1].called:
            self.violations.append("an attempt without an outcome")
        if len(self.executed_runs) > 1:
            self.violations.append(f"executed {self.executed_runs}")
        return self


def simulate(seeds, mutant="", fault_share=0.2):
    return [
        World(seed, mutant, fault_share).simulate() for seed in range(seeds)
    ]
