"""Gateways before engines that name limits, on one simulated clock."""

import bisect
import collections
import dataclasses

from features.support import crashing_engines
from features.support import gateway_world

# The users' rule: in 4 s, half as much again as the limit allows, and five.
WINDOW_MS = 4000
TOLERATED_FACTOR = 1.5
TOLERATED_EXTRA = 5
TOLD_AFTER_MS = 500


@dataclasses.dataclass
class Limit:
    """A limit that an engine names."""

    per_s: float
    since_ms: int
    # When each gateway first passed on an answer that names it.
    told_ms: dict = dataclasses.field(default_factory=dict)


class LimitedEngines(crashing_engines.CrashingEngines):
    """Records what each engine gets while it names a limit."""

    def __init__(self, *arguments, **options):
        self.limits = {}
        # Arrivals by engine and limit, of gateways that had been told.
        self.counted_ms = collections.defaultdict(list)
        self.reached = collections.defaultdict(list)
        super().__init__(*arguments, **options)

    def name_limit(self, engine, per_s):
        """Lets an engine name a limit from now on, None: none any more."""
        if per_s is None:
            self.limits.pop(engine, None)
            return
        before = self.limits.get(engine)
        limit = Limit(per_s, self.now_ms())
        if before is not None:
            limit.told_ms = before.told_ms
        self.limits[engine] = limit

    def signs(self, attempt):
        limit = self.limits.get(attempt.engine.name)
        if limit is None:
            return []
        limit.told_ms.setdefault(attempt.gateway, self.now_ms())
        value = f"{limit.per_s:g}".encode()
        return [(gateway_world.DIALECT.limit, value)]

    def record_arrival(self, attempt):
        super().record_arrival(attempt)
        now_ms = self.now_ms()
        name = attempt.engine.name
        self.reached[name].append(now_ms)
        limit = self.limits.get(name)
        if limit is None:
            return
        told_ms = limit.told_ms.get(attempt.gateway, now_ms)
        late = now_ms - limit.since_ms >= crashing_engines.CONTACT_MS
        if late and now_ms - told_ms >= TOLD_AFTER_MS:
            self.counted_ms[name, limit.per_s].append(now_ms)

    def excess(self):
        """Returns engines, limits and counts in 4 s that are not tolerated."""
        found = []
        for (name, per_s), times_ms in self.counted_ms.items():
            tolerated = (
                TOLERATED_FACTOR * per_s * WINDOW_MS / 1000 + TOLERATED_EXTRA
            )
            for index, at_ms in enumerate(times_ms):
                since = bisect.bisect_left(times_ms, at_ms - WINDOW_MS)
                count = index + 1 - since
                if count > tolerated:
                    found.append((name, per_s, at_ms, count, tolerated))
        return found

    def reached_between(self, name, since_ms, until_ms):
        """Returns how many requests an engine got in a time."""
        return sum(since_ms <= at < until_ms for at in self.reached[name])
