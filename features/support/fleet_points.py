"""Injects a fault at a named point of one call."""

from features.support import fleet as fleets
from godwitloft.entry import answers

ENTRY, AGENT = "e1", "a1"
PAIR = (ENTRY, AGENT)
PAUSE_MS = 30_000
PAST_DEADLINE_MS = fleets.TIMEOUTS_MS[0] + 1_000


def message_in_flight(name):
    """Returns a check: is a message of this name in flight in ``PAIR``?"""

    def reached(fleet):
        queues = fleet.links[PAIR].queues.values()
        return any(item[0] == name for queue in queues for item in queue)

    return reached


def parts_remaining(count):
    def reached(fleet):
        runs = fleet.engines[AGENT].runs.values()
        return any(len(parts) == count for _, _, parts in runs)

    return reached


POINTS = {
    "bid": message_in_flight("bid"),
    "pull": message_in_flight("pull"),
    "dispatch": message_in_flight("dispatch"),
    "prefilling": parts_remaining(fleets.PARTS_PER_ANSWER),
    "streaming": parts_remaining(fleets.PARTS_PER_ANSWER - 1),
    "last message": message_in_flight("ended"),
}


def kill_agent(fleet):
    fleet.crash_agent(AGENT)


def pause(name):
    """Returns a fault: a pause longer than the peer's link timeout."""

    def inject(fleet):
        fleet.pause(name)
        fleet.cut(PAIR)
        fleet.notice(PAIR, ENTRY if name == AGENT else AGENT)
        fleet.advance(PAUSE_MS)
        fleet.pause(name)

    return inject


def cancel_call(fleet):
    fleet.apply_event(("cancel", 0))


FAULTS = {
    "no fault": lambda fleet: None,
    "link cut": lambda fleet: fleet.cut(PAIR),
    "agent killed": kill_agent,
    "entry killed": lambda fleet: fleet.crash_entry(ENTRY),
    "upstream crashed": lambda fleet: fleet.engines[AGENT].crash(),
    "upstream unreachable": lambda fleet: fleet.apply_event(
        ("stop_engine", AGENT)
    ),
    "agent draining": lambda fleet: fleet.drain(AGENT),
    "agent paused": pause(AGENT),
    "entry paused": pause(ENTRY),
    "caller disconnected": cancel_call,
    "deadline passed": lambda fleet: fleet.advance(PAST_DEADLINE_MS),
}


def run_with_fault(kind, fault, point, timeout_ms=fleets.TIMEOUTS_MS[1]):
    """Runs one call and injects the faults in turn at the given point.

    Returns the caller's outcome with the number of runs, and the breaches.
    """
    fleet = fleets.Fleet(entries=1, agents=2)
    fleet.run_until_idle()
    if fault == "deadline passed":
        timeout_ms = fleets.TIMEOUTS_MS[0]
    fleet.call(ENTRY, kind, False, timeout_ms)
    while not POINTS[point](fleet):
        fleet.apply_event(fleet.normal_events()[0])
    for fault_name in fault.split(" and "):
        FAULTS[fault_name](fleet)
    fleet.settle()
    caller = fleet.callers[0]
    runs = sum(len(engine.ledger) for engine in fleet.engines.values())
    outcomes = [outcome_of(answer) for answer in caller.final_answers()] or [
        "nothing"
    ]
    return f"{' '.join(outcomes)} {runs}", fleet.check_invariants()


def outcome_of(answer):
    if isinstance(answer, answers.Complete):
        return "completed"
    if isinstance(answer, answers.Refused):
        return "refused"
    return "failed" if answer.outcome_known else "unknown"
