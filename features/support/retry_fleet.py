"""Gateways that start, end and share the retry budget of one service."""

from features.support import allowance_fleet
from features.support import following_gateways

SERVICE = "desk"
# As gateway_world sets it.
WINDOW_MS = 10_000
RATIO = 0.2
EXTRA = 20


class RetryFleet(allowance_fleet.AllowanceFleet):
    """The store, gateways, and callers whose requests fail for a while."""

    def __init__(self, context, seed):
        super().__init__(context, seed)
        self.firsts_per_s = 0
        self.failing = False
        self.firsts = []
        self.retries = []
        self.refused = []

    def ask(self):
        """Lets callers ask gateways that are ready, as a balancer does."""
        self.due += self.firsts_per_s * following_gateways.STEP_MS / 1000
        ready = self.ready()
        while self.due >= 1:
            self.due -= 1
            if not ready:
                continue
            policy = self.rng.choice(ready).gateway.retry_policy
            now_ms = self.now_ms()
            policy.budget(SERVICE).record_first(now_ms)
            self.firsts.append(now_ms)
            if self.failing:
                taken = policy.take_retry(SERVICE, now_ms)
                (self.retries if taken else self.refused).append(now_ms)

    def most_of_budget(self):
        """Returns the largest use of the budget in any window.

        The requests count in that window, the one before it or the one half a
        window before it, whichever has most.

        :return: retries as a part of those that the rule allows
        """
        most = 0.0
        for at_ms in self.retries:
            begin_ms = at_ms - WINDOW_MS + 1
            firsts = max(
                count(self.firsts, begin_ms - back_ms, WINDOW_MS)
                for back_ms in (0, WINDOW_MS // 2, WINDOW_MS)
            )
            retries = count(self.retries, begin_ms, WINDOW_MS)
            most = max(most, retries / (RATIO * firsts + EXTRA))
        return most


def count(times_ms, begin_ms, duration_ms):
    end_ms = begin_ms + duration_ms
    return sum(begin_ms <= at_ms < end_ms for at_ms in times_ms)
