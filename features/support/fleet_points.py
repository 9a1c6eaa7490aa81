"""Lets a fault strike at a named point in the life of one call."""

from features.support import fleet as fleets
from godwitloft.entry import answers

ENTRY, AGENT = "e1", "a1"
PAIR = (ENTRY, AGENT)
LONG_MS = 30_000
PAST_DEADLINE_MS = fleets.TIMEOUTS_MS[0] + 1_000


def under_way(name):
    """A message of this name is on its way between the two."""

    def reached(fleet):
        queues = fleet.links[PAIR].queues.values()
        return any(one[0] == name for queue in queues for one in queue)

    return reached


def parts_left(count):
    def reached(fleet):
        runs = fleet.engines[AGENT].runs.values()
        return any(len(parts) == count for _, _, parts in runs)

    return reached


POINTS = {
    "bid": under_way("bid"),
    "pull": under_way("pull"),
    "dispatch": under_way("dispatch"),
    "prefilling": parts_left(fleets.PARTS),
    "streaming": parts_left(fleets.PARTS - 1),
    "last frame": under_way("ended"),
}


def kill_agent(fleet):
    fleet.crash_agent(AGENT)


def pause(name):
    """A pause for longer than the other side keeps a silent link."""

    def strike(fleet):
        fleet.pause(name)
        fleet.cut(PAIR)
        fleet.notice(PAIR, ENTRY if name == AGENT else AGENT)
        fleet.advance(LONG_MS)
        fleet.pause(name)

    return strike


def leave(fleet):
    fleet.happen(("cancel", 0))


FAULTS = {
    "no fault": lambda fleet: None,
    "link cut": lambda fleet: fleet.cut(PAIR),
    "agent killed": kill_agent,
    "entry killed": lambda fleet: fleet.crash_entry(ENTRY),
    "upstream crashed": lambda fleet: fleet.engines[AGENT].crash(),
    "upstream unreachable": lambda fleet: fleet.happen(("stop_engine", AGENT)),
    "agent leaving": lambda fleet: fleet.drain(AGENT),
    "agent paused": pause(AGENT),
    "entry paused": pause(ENTRY),
    "caller gone": leave,
    "time over": lambda fleet: fleet.advance(PAST_DEADLINE_MS),
}


def strike(kind, fault, point, timeout_ms=fleets.TIMEOUTS_MS[1]):
    """Plays one call; at the point the faults strike, one after another.

    Returns what the caller was told with the number of runs, and breaches.
    """
    fleet = fleets.Fleet(entries=1, agents=2)
    fleet.work()
    if fault == "time over":
        timeout_ms = fleets.TIMEOUTS_MS[0]
    fleet.call(ENTRY, kind, False, timeout_ms)
    while not POINTS[point](fleet):
        fleet.happen(fleet.ordinary()[0])
    for one in fault.split(" and "):
        FAULTS[one](fleet)
    fleet.settle()
    caller = fleet.callers[0]
    runs = sum(len(engine.ledger) for engine in fleet.engines.values())
    told = [outcome_of(one) for one in caller.final()] or ["nothing"]
    return f"{' '.join(told)} {runs}", fleet.judge()


def outcome_of(told):
    if isinstance(told, answers.Complete):
        return "completed"
    if isinstance(told, answers.Refused):
        return "refused"
    return "failed" if told.outcome_known else "unknown"
