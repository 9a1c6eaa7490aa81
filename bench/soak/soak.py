"""Runs a soak test and reports its figures."""

import collections
import contextlib
import dataclasses
import heapq
import http
import json
import pathlib
import tempfile
import time
import typing

from bench.soak import callers
from bench.soak import deployment
from bench.soak import history as histories
from bench.soak import plan
from bench.soak import planned_stops
from bench.soak import rollouts
from bench.soak import site
from bench.soak import unmarked_ends
from bench.soak import verdict

MIN_PROCESSES = 6
CALLERS_PER_ENTRY = 5
# A new version gets a tenth of the requests at the most; with fewer callers it
# could not be judged.
CALLERS_IN_ROLLOUTS = 20
# In one of so many soak tests gateways grant slots, else agents do.
GATEWAYS_GRANT_EVERY = 2
FINAL_RUNS_WAIT_S = 1.0
SHOWN_BREACHES = 10


@dataclasses.dataclass(frozen=True)
class Soak:
    """Options of a soak test.

    :param seed: seed of everything random
    :param seconds: how long requests are sent
    :param processes: entries and agents, at least :data:`MIN_PROCESSES`
    :param mistakes: switches of the stand-in runners, for tests
    :param keep: directory that is made for logs, settings and history; empty
        to keep nothing
    :param restarts_only: whether the only faults are restarts and stops of
        gateways, and answers without framing
    :param rollouts: whether operators order roll-outs, beside fewer faults
    """

    seed: int = 1
    seconds: float = 40.0
    processes: int = MIN_PROCESSES
    mistakes: typing.Mapping[str, typing.Any] = dataclasses.field(
        default_factory=dict
    )
    keep: str = ""
    restarts_only: bool = False
    rollouts: bool = False


def size_for(processes: int) -> plan.Size:
    """Divides processes among roles.

    :param processes: number of entries and agents together
    :return: half of them entries, half agents, and one runner more than
        agents
    """
    entries = max(3, processes // 2)
    agents = max(3, processes - entries)
    return plan.Size(entries, agents, agents + 1)


def grants_by(seed: int) -> str:
    """Returns who grants the slots of the runners.

    :param seed: of the soak test
    :return: the gateways for each second seed, else the agents, as where the
        programs are deployed
    """
    return "agents" if seed % GATEWAYS_GRANT_EVERY else "gateways"


def run(soak: Soak) -> dict[str, typing.Any]:
    """Runs a soak test.

    :param soak: its options
    :return: figures, and breaches by promise
    """
    size = size_for(soak.processes)
    faults = plan.draw(soak.seed, soak.seconds, size, soak.restarts_only)
    orders: tuple[rollouts.Order, ...] = ()
    if soak.rollouts:
        faults = plan.draw_beside_rollouts(soak.seed, soak.seconds, size)
        orders = rollouts.draw(soak.seed, soak.seconds)
    with contextlib.ExitStack() as stack:
        directory = pathlib.Path(soak.keep)
        if soak.keep:
            directory.mkdir(parents=True)
        else:
            directory = pathlib.Path(
                stack.enter_context(tempfile.TemporaryDirectory())
            )
        system = deployment.Deployment(directory, size, grants_by(soak.seed))
        try:
            system.start()
            if soak.mistakes:
                system.control(
                    runners=dict.fromkeys(system.runners, soak.mistakes)
                )
            per_entry = CALLERS_PER_ENTRY
            if soak.rollouts:
                per_entry = CALLERS_IN_ROLLOUTS
                rollouts.prepare(system)
            pool = callers.CallerPool(
                system, per_entry * size.entries, soak.seed
            )
            pool.start()
            try:
                inject_faults(system, (*faults, *orders), soak.seconds)
            finally:
                records = pool.stop()
            history = collect_history(system, records)
        finally:
            system.stop()
        history.unexpected_exits = system.unexpected_exits
        if soak.keep:
            keep_history(directory / "history.json", history)
    return report(soak, faults, history)


def inject_faults(
    system: deployment.Deployment,
    faults: typing.Sequence[plan.Fault | rollouts.Order],
    seconds: float,
) -> None:
    """Injects faults at their times and clears them, and orders roll-outs.

    :param system: the deployment
    :param faults: faults and orders
    :param seconds: length of the soak test
    """
    start = time.monotonic()
    due: list[
        tuple[
            float,
            int,
            plan.Fault | rollouts.Order,
            deployment.InjectedFault | None,
        ]
    ] = []
    for number, fault in enumerate(faults):
        heapq.heappush(due, (fault.at_ms / 1000, number, fault, None))
    number = len(faults)
    while due:
        at_s, _, fault, injected = heapq.heappop(due)
        time.sleep(max(0.0, start + at_s - time.monotonic()))
        if isinstance(fault, rollouts.Order):
            rollouts.begin(system, fault)
            continue
        if injected is not None:
            system.clear(fault, injected)
            continue
        injected = system.inject(fault)
        number += 1
        ends_s = at_s + fault.duration_ms / 1000
        heapq.heappush(due, (ends_s, number, fault, injected))
    time.sleep(max(0.0, start + seconds - time.monotonic()))


def collect_history(
    system: deployment.Deployment, records: list[callers.RequestRecord]
) -> histories.History:
    """Collects what callers and runners observed.

    :param system: the deployment
    :param records: requests of the callers
    :return: the history
    """
    time.sleep(FINAL_RUNS_WAIT_S)
    system.note_acknowledgements()
    ordered = rollouts.collect(system)
    runs = [
        histories.Run(
            id=row["id"],
            runner=runner,
            at_ms=row["at_ms"],
            ended_ms=row["ended_ms"],
            team=row["team"],
            key=row["key"],
            hold=row["hold"],
            path=row["path"],
            born=row["born"],
            leaving=row["leaving"],
            limit_per_s=row["limit"],
            crashes_on=row["crashes_on"],
            version=row["version"],
            last_event=row["last"] or "",
            broke_off=row["broke_off"],
            closed_after=row["closed_after"],
            bad=row["bad"],
        )
        for runner, ledger in system.fetch("/ledger").items()
        for row in ledger
    ]
    rejected = [
        histories.Run(
            id=row["id"],
            runner=runner,
            at_ms=row["at_ms"],
            born=row["born"],
            pause_ms=row.get("pause_ms", 0),
            limit_per_s=row["limit"],
        )
        for runner, arrivals in system.fetch("/turned-away").items()
        for row in arrivals
    ]
    return histories.History(
        records=records,
        runs=runs,
        rejected=rejected,
        injected_faults=system.injected_faults,
        end_ms=deployment.now_ms(),
        rollouts=ordered,
    )


def keep_history(path: pathlib.Path, history: histories.History) -> None:
    """Writes what callers and runners observed, and the faults.

    :param path: of the file
    :param history: what they observed; bytes are written as Python shows them
    """
    path.write_text(
        json.dumps(dataclasses.asdict(history), default=repr),
        encoding="utf-8",
    )


def report(
    soak: Soak,
    faults: typing.Sequence[plan.Fault],
    history: histories.History,
) -> dict[str, typing.Any]:
    """Returns the figures of a soak test.

    :param soak: its options
    :param faults: of its plan
    :param history: what callers and runners observed
    :return: a JSON-compatible object
    """
    statuses = collections.Counter(
        "cut"
        if record.status == 200
        and not record.is_complete
        and not record.disconnected_ms
        else str(record.status)
        for record in history.records
    )
    errors = collections.Counter(
        record.error for record in history.records if record.error
    )
    breaches = verdict.check_promises(history)
    return {
        "seed": soak.seed,
        "seconds": soak.seconds,
        "processes": soak.processes,
        "requests": len(history.records),
        "runs": len(history.runs),
        "crashing": sum(bool(run.crashes_on) for run in history.runs),
        "taken up": sum(bool(record.resumes) for record in history.records),
        "went on": sum(
            bool(record.resumes) and record.status == 200
            for record in history.records
        ),
        "taken up, refused": refusal_reasons(
            record for record in history.records if record.resumes
        ),
        "new streams": sum(
            is_new_stream(record) for record in history.records
        ),
        "began": sum(
            is_new_stream(record) and record.status == http.HTTPStatus.OK
            for record in history.records
        ),
        "new streams, refused": refusal_reasons(
            filter(is_new_stream, history.records)
        ),
        "short_unmarked": sum(
            unmarked_ends.is_short_at_unmarked_end(history, record)
            for record in history.records
        ),
        "unframed at stops": sum(
            planned_stops.was_unframed_at_stop(history, record)
            for record in history.records
        ),
        "statuses": dict(sorted(statuses.items())),
        "problems": dict(sorted(errors.items())),
        "faults": dict(
            sorted(collections.Counter(fault.kind for fault in faults).items())
        ),
        "roll-outs": rollouts.summarize(history),
        "breaches": {
            name: found[:SHOWN_BREACHES] for name, found in breaches.items()
        },
    }


def is_new_stream(record: callers.RequestRecord) -> bool:
    """Returns whether a request begins a stream that may be taken up again.

    :param record: a request
    """
    return record.route in site.RESUMABLE_ROUTES and not record.resumes


def refusal_reasons(
    records: typing.Iterable[callers.RequestRecord],
) -> dict[str, int]:
    """Counts why requests were refused as not run.

    :param records: requests
    :return: their number by the reason that the gateway gave
    """
    reasons: collections.Counter[str] = collections.Counter()
    for record in records:
        if record.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
            continue
        try:
            reasons[json.loads(record.body)["error"]["reason"]] += 1
        except (ValueError, KeyError, TypeError):
            reasons["unreadable"] += 1
    return dict(sorted(reasons.items()))
