"""Runs fleets with seeded random events, or with a fault at each step."""

import random

from features.support import fleet as fleets

MAX_STEPS = 120
RANDOM_STEPS = 150


def run_random(seed, fault_share=0.06, names=()):
    """Runs a fleet with random message orders, faults and callers.

    ``names`` restricts the faults; empty allows all.
    """
    rng = random.Random(seed)
    return settle_and_check(random_fleet(rng, fault_share, names))


def random_fleet(rng, fault_share, names):
    """Returns a fleet after random events, without settling it."""
    fleet = fleets.Fleet(entries=2, agents=2)
    for _ in range(RANDOM_STEPS):
        event = random_event(fleet, rng, fault_share, names)
        if event is not None:
            fleet.apply_event(event)
    return fleet


def audit_random(seed, fault_share, names):
    """Returns the promises that the audit of a random fleet finds broken."""
    fleet = random_fleet(random.Random(seed), fault_share, names)
    fleet.settle()
    return [
        finding.promise
        for finding in fleet.audit().findings
        if finding.breaches
    ]


def random_event(fleet, rng, fault_share, names):
    if rng.random() < 0.1:
        entry = rng.choice(list(fleet.entries))
        kind = rng.choice(fleets.KINDS)
        timeout_ms = rng.choice(fleets.TIMEOUTS_MS)
        return ("call", entry, kind, rng.random() < 0.5, timeout_ms)
    if rng.random() < fault_share:
        # The kind is chosen first; otherwise kinds with many cases would
        # dominate.
        faults = fleet.faults()
        allowed = {
            fault[0] for fault in faults if not names or fault[0] in names
        }
        if not allowed:
            return None
        name = rng.choice(sorted(allowed))
        return rng.choice([fault for fault in faults if fault[0] == name])
    events = fleet.normal_events()
    return rng.choice(events) if events else ("advance", 20)


def settle_and_check(fleet):
    fleet.settle()
    return fleet.check_invariants()


def run_with_faults(kind, stream, faults):
    """Runs one call with faults at given steps.

    ``faults`` maps a step to the index of the fault among those possible
    there. Returns the breaches and the number of possible faults at each
    step, from which a search can continue.
    """
    fleet = fleets.Fleet(entries=2, agents=2)
    possible = []
    called = False
    for step in range(MAX_STEPS):
        options = fleet.faults()
        possible.append(len(options))
        if step in faults and faults[step] < len(options):
            fleet.apply_event(options[faults[step]])
            continue
        events = fleet.normal_events()
        if events:
            fleet.apply_event(events[0])
        elif not called:
            called = True
            fleet.apply_event(("call", "e1", kind, stream))
        else:
            break
    return settle_and_check(fleet), possible


def search(kind, stream):
    """Runs one call with each single fault at each of its steps."""
    run_count = 0
    failures = []
    _, possible = run_with_faults(kind, stream, {})
    for step, count in enumerate(possible):
        for number in range(count):
            run_count += 1
            found, _ = run_with_faults(kind, stream, {step: number})
            if found:
                failures.append(((step, number), found))
    return run_count, failures
