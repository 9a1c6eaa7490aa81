"""Draws the faults of a soak from its seed."""

import dataclasses
import random

MS_PER_S = 1000
FIRST_MS = 2_000
# At the end nothing happens, so that recovery can be judged.
CALM_END_MS = 12_000
MEAN_GAP_MS = 1_200
SERIES_SHARE = 0.25
LONGEST_SERIES = 4
SERIES_GAP_MS = (150, 900)

# What may happen, to whom, and for how long it lasts: shortest and longest
# milliseconds. A kind without a time is over at once.
KINDS: dict[str, tuple[str, int, int]] = {
    "kill": ("entry", 300, 4_000),
    "terminate": ("entry", 6_500, 9_000),
    "pause": ("entry", 200, 5_000),
    "reload": ("entry", 0, 0),
    "kill_agent": ("agent", 300, 4_000),
    "pause_agent": ("agent", 200, 4_000),
    "store_away": ("store", 300, 6_000),
    "store_forgets": ("store", 0, 0),
    "store_delay": ("store", 500, 4_000),
    "store_silent": ("store", 500, 5_000),
    "store_reset": ("store", 0, 0),
    "delay": ("runner", 300, 3_000),
    "silent": ("runner", 300, 5_000),
    "deaf": ("runner", 300, 5_000),
    "reset": ("runner", 0, 0),
    "refuse_connections": ("runner", 300, 4_000),
    "drain": ("runner", 4_000, 8_000),
    "gone": ("runner", 1_000, 6_000),
    "lose_answers": ("runner", 0, 0),
    "misdirect": ("runner", 0, 0),
    "refuse": ("runner", 0, 0),
    "cut_streams": ("runner", 0, 0),
    "withdraw_key": ("configuration", 4_000, 9_000),
    "withdraw_route": ("configuration", 4_000, 9_000),
}


@dataclasses.dataclass(frozen=True)
class Fault:
    """One thing that goes wrong.

    :param at_ms: since the start of the soak
    :param kind: one of :data:`KINDS`
    :param target: which entry, agent or runner; 0 for the others
    :param for_ms: how long it lasts, 0 if it is over at once
    """

    at_ms: int
    kind: str
    target: int
    for_ms: int


@dataclasses.dataclass(frozen=True)
class Size:
    """How many of each there are.

    :param entries: gateways
    :param agents: one beside each of the first runners
    :param runners: of both services together
    """

    entries: int
    agents: int
    runners: int

    def count(self, whom: str) -> int:
        """Returns how many targets there are.

        :param whom: second part of :data:`KINDS`
        :return: at least 1
        """
        counts = {
            "entry": self.entries,
            "agent": self.agents,
            "runner": self.runners,
        }
        return counts.get(whom, 1)


def draw(seed: int, seconds: float, size: Size) -> tuple[Fault, ...]:
    """Draws all faults of a soak.

    :param seed: decides everything
    :param seconds: length of the soak
    :param size: of the deployment
    :return: in the order of their times; they come in series and overlap
    """
    rng = random.Random(seed)
    end_ms = int(seconds * MS_PER_S) - CALM_END_MS
    found: list[Fault] = []
    at_ms = FIRST_MS
    while at_ms < end_ms:
        kind = rng.choice(sorted(KINDS))
        whom, shortest_ms, longest_ms = KINDS[kind]
        times = 1
        if rng.random() < SERIES_SHARE:
            times = rng.randint(2, LONGEST_SERIES)
        for_ms = rng.randint(shortest_ms, longest_ms)
        target = rng.randrange(size.count(whom))
        moment_ms = at_ms
        for _ in range(times):
            last_ms = max(0, min(for_ms, end_ms - moment_ms))
            if moment_ms < end_ms:
                found.append(Fault(moment_ms, kind, target, last_ms))
            moment_ms += for_ms + rng.randint(*SERIES_GAP_MS)
        at_ms += int(rng.expovariate(1 / MEAN_GAP_MS)) + 1
    return tuple(sorted(found, key=lambda fault: fault.at_ms))
