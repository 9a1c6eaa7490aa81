"""Plays fleets: with seeded random events, or with faults at every step."""

import random

from features.support import fleet as fleets

MAX_STEPS = 120
RANDOM_STEPS = 150


def play_random(seed, fault_share=0.06, names=()):
    """Plays one fleet with random orders, faults and callers.

    ``names`` leaves out all faults but some.
    """
    chance = random.Random(seed)
    return finish(random_fleet(chance, fault_share, names))


def random_fleet(chance, fault_share, names):
    """Returns a fleet after some random events, not settled yet."""
    fleet = fleets.Fleet(entries=2, agents=2)
    for _ in range(RANDOM_STEPS):
        event = random_event(fleet, chance, fault_share, names)
        if event is not None:
            fleet.happen(event)
    return fleet


def audit_random(seed, fault_share, names):
    """Returns the promises that the audit of a random fleet finds broken."""
    fleet = random_fleet(random.Random(seed), fault_share, names)
    fleet.settle()
    return [one.promise for one in fleet.audit().findings if one.breaches]


def random_event(fleet, chance, fault_share, names):
    if chance.random() < 0.1:
        entry = chance.choice(list(fleet.entries))
        kind = chance.choice(fleets.KINDS)
        timeout_ms = chance.choice(fleets.TIMEOUTS_MS)
        return ("call", entry, kind, chance.random() < 0.5, timeout_ms)
    if chance.random() < fault_share:
        # The kind first, so that kinds with many cases aren't the rule.
        faults = fleet.faults()
        allowed = {one[0] for one in faults if not names or one[0] in names}
        if not allowed:
            return None
        name = chance.choice(sorted(allowed))
        return chance.choice([one for one in faults if one[0] == name])
    events = fleet.ordinary()
    return chance.choice(events) if events else ("advance", 20)


def finish(fleet):
    fleet.settle()
    return fleet.judge()


def play_with_faults(kind, stream, faults):
    """Plays one call with faults at given steps of the plain course.

    ``faults`` maps a step to the number of the fault among those possible
    there. Returns the breaches, and how many faults were possible at each
    step, so that a search can go on from there.
    """
    fleet = fleets.Fleet(entries=2, agents=2)
    possible = []
    called = False
    for step in range(MAX_STEPS):
        options = fleet.faults()
        possible.append(len(options))
        if step in faults and faults[step] < len(options):
            fleet.happen(options[faults[step]])
            continue
        events = fleet.ordinary()
        if events:
            fleet.happen(events[0])
        elif not called:
            called = True
            fleet.happen(("call", "e1", kind, stream))
        else:
            break
    return finish(fleet), possible


def search(kind, stream):
    """Plays one call with each single fault at each step of its course."""
    played = 0
    breached = []
    _, possible = play_with_faults(kind, stream, {})
    for step, count in enumerate(possible):
        for number in range(count):
            played += 1
            found, _ = play_with_faults(kind, stream, {step: number})
            if found:
                breached.append(((step, number), found))
    return played, breached
