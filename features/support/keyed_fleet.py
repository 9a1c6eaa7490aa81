"""A simulated fleet whose entries accept idempotency keys."""

import random

from twisted.internet import task

from features.support import fake_store
from features.support import fleet as fleets
from godwitloft import clock as clocks
from godwitloft.coordination import claims
from godwitloft.coordination import write_budget
from godwitloft.entry import call as calls
from godwitloft.entry import keyed_calls

STEP_MS = 50


class KeyedFleet(fleets.Fleet):
    def __init__(self):
        self.reactor = task.Clock()
        self.store_faults = []
        self.store_rest = "ok"
        self.store = fake_store.FakeStore(self.reactor, self.store_fault)
        self.keyed = {}
        super().__init__(entries=2, agents=2)

    def store_fault(self):
        if self.store_faults:
            return self.store_faults.pop(0)
        return self.store_rest

    def keyed_at(self, entry):
        """Returns the keyed calls of an entry's current process."""
        process = self.entries[entry]
        if process not in self.keyed:
            self.keyed[process] = keyed_calls.KeyedCalls(
                process.core, self.make_claims, self.reactor
            )
        return self.keyed[process]

    def make_claims(self, ask):
        budget = write_budget.WriteBudget(self.reactor, lambda: 100.0, 10)
        platform = self.store.platform()
        source = random.Random(1)
        return claims.Claims(platform, self.reactor, budget, ask, source)

    def on_query_answer(self, agent, body):
        super().on_query_answer(agent, body)
        for keyed in self.keyed.values():
            keyed.on_query_answer(agent, body)

    def advance(self, duration_ms):
        super().advance(duration_ms)
        self.reactor.advance(duration_ms / clocks.MS_PER_S)

    def keyed_call(self, entry, body, key="k1", timeout_ms=20_000):
        caller = fleets.Caller("fixed", False, body)
        caller.entry = self.entries[entry]
        call = calls.Call(
            team="t",
            team_weight=1,
            tier="gold",
            tier_rank=0,
            service="s",
            pools=("p",),
            method="POST",
            path="/release",
            headers={},
            body=body,
            stream=False,
            is_model=False,
            idempotent=False,
            timeout_ms=timeout_ms,
            prompt_tokens=0,
            output_tokens=1,
            prefix_keys=(),
            fingerprint=body.decode(),
        )
        keyed = self.keyed_at(entry)
        caller.request_id = keyed.accept(call, caller.received.append, key)
        self.callers.append(caller)
        return caller

    def run_for(self, duration_ms):
        """Advances messages, upstreams and the store for a time span."""
        for _ in range(duration_ms // STEP_MS):
            self.run_until_idle()
            self.advance(STEP_MS)

    def run_until(self, reached):
        """Lets events happen one by one until a condition holds."""
        for _ in range(2_000):
            if reached(self):
                return
            events = self.normal_events()
            if events:
                self.apply_event(events[0])
            else:
                self.advance(STEP_MS)
        raise AssertionError("the condition never held")

    def run_count(self):
        return sum(len(engine.ledger) for engine in self.engines.values())
