"""A burst on real processes: goodput by tier and wasted prefill."""

import collections
import dataclasses
import functools
import json
import pathlib
import sys
import tempfile
import typing
import urllib.request

from bench import cluster
from bench import deployments
from bench import load
from bench import processes
from bench import workload
from godwitloft import audit as audits

WINDOW_MS = 14_000
BURST_MS = 8_000
SLOW_ENGINE = 1
SLOW_FACTOR = 3.0
SLOW_AT_S = 5.0


@dataclasses.dataclass(frozen=True)
class Experiment:
    """Options of one run.

    :param deployment: name of the deployment
    :param policy: ``late`` for this project, ``push`` for the baseline
    :param seed: of the random number generators
    :param overload: offered engine time as a multiple of the capacity
    :param agent_settings: further settings of every agent
    :param entry_settings: further settings of every entry
    """

    deployment: str
    policy: str
    seed: int
    overload: float = 2.0
    agent_settings: typing.Mapping[str, typing.Any] = dataclasses.field(
        default_factory=dict
    )
    entry_settings: typing.Mapping[str, typing.Any] = dataclasses.field(
        default_factory=dict
    )


def percentile(values: typing.Iterable[int], share: float) -> int | None:
    """Returns a percentile of some values.

    :param values: in any order
    :param share: percentile as a fraction between 0 and 1
    :return: one of the values, or None if there are no values
    """
    ordered = sorted(values)
    if not ordered:
        return None
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def run(experiment: Experiment) -> dict[str, typing.Any]:
    """Runs one experiment; may be called once per process.

    :param experiment: its options
    :return: the figures
    """
    deployment = deployments.DEPLOYMENTS[experiment.deployment]
    jobs = workload.make_jobs(
        deployment.shapes,
        deployment.speeds(),
        experiment.overload,
        WINDOW_MS,
        BURST_MS,
        experiment.seed,
    )
    plan = dataclasses.replace(
        deployment.plan(),
        agent_settings=experiment.agent_settings,
        entry_settings=experiment.entry_settings,
    )
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        is_late_binding = experiment.policy == "late"
        with cluster.running(
            plan, directory, entries=is_late_binding
        ) as running:
            urls = (
                list(running.entry_urls.values())
                if is_late_binding
                else start_push(running, experiment.seed)
            )
            results, ledger = send_burst(running, urls, deployment.model, jobs)
        audit_report = audit(running, ledger) if is_late_binding else None
        if audit_report is not None and audit_report.breaches:
            print(audit_report.text(), file=sys.stderr)
    breaches = None if audit_report is None else audit_report.breaches
    return report(experiment, results, ledger, breaches)


def start_push(running: cluster.Cluster, seed: int) -> list[str]:
    """Starts a baseline router for each availability zone of an entry.

    :param running: the deployment with its upstreams
    :param seed: breaks ties
    :return: URLs for callers
    """
    arguments = ["bench.push", "--seed", str(seed)]
    for url in running.upstream_urls.values():
        arguments.extend(["--engine", url])
    for zone in running.plan.zones:
        running.entries[zone] = processes.Process(
            f"push-{zone}", [*arguments, "--name", zone], running.directory
        )
    return [
        "http://"
        + cluster.wait_for(functools.partial(process.printed, "listening"))
        for process in running.entries.values()
    ]


def send_burst(
    running: cluster.Cluster,
    urls: typing.Sequence[str],
    model: str,
    jobs: typing.Sequence[workload.Job],
) -> tuple[list[load.Result], list[dict[str, typing.Any]]]:
    """Sends the burst, slows down an engine midway and reads the ledgers.

    :param running: the deployment
    :param urls: for callers
    :param model: name of the model service
    :param jobs: the requests
    :return: the results, and a row for each run on an engine
    """
    engines = [
        running.upstream_urls[plan.name]
        for plan in running.plan.upstreams
        if plan.kind == "model"
    ]
    sending = load.send_from_processes(urls, model, jobs, running.directory)
    sending.sleep_until(SLOW_AT_S)
    fetch(f"{engines[SLOW_ENGINE]}/control", {"slow_factor": SLOW_FACTOR})
    results = sending.results()
    rows = [row for url in engines for row in fetch(f"{url}/ledger")["runs"]]
    return results, rows


def fetch(
    url: str, body: typing.Mapping[str, typing.Any] | None = None
) -> typing.Any:
    """Sends a GET request, or a POST with a JSON body.

    :param url: the URL
    :param body: JSON object to post, or None for a GET
    :return: the decoded response
    """
    data = None if body is None else json.dumps(dict(body)).encode()
    headers = {"Content-Type": "application/json"}
    request = urllib.request.Request(url, data, headers)
    with urllib.request.urlopen(request, timeout=30) as response:
        return json.loads(response.read() or b"null")


def audit(
    running: cluster.Cluster,
    ledger: typing.Sequence[typing.Mapping[str, typing.Any]],
) -> audits.Report:
    """Audits the traces of a finished run.

    :param running: the stopped deployment
    :param ledger: runs on the engines
    :return: the report
    """
    lines: list[str] = []
    for path in running.trace_paths():
        lines.extend(path.read_text(encoding="utf-8").splitlines())
    rows = [json.dumps({"run": dict(row)}) for row in ledger]
    return audits.audit(lines, rows)


def report(
    experiment: Experiment,
    results: typing.Sequence[load.Result],
    ledger: typing.Sequence[typing.Mapping[str, typing.Any]],
    breaches: int | None,
) -> dict[str, typing.Any]:
    """Computes the figures of a run.

    :param experiment: options of the run
    :param results: results of the callers
    :param ledger: runs on the engines
    :param breaches: number of breaches that the audit found
    :return: the figures
    """
    timely_ids = {result.request_id for result in results if result.is_timely}
    prefilled = sum(row["prefilled_tokens"] for row in ledger)
    useful = sum(
        row["prefilled_tokens"]
        for row in ledger
        if row["ended"] == "completed"
        and row["run_id"].partition(".")[0] in timely_ids
    )
    reasons = collections.Counter(
        f"{result.job.tier}:{result.reason}"
        for result in results
        if not result.is_timely
    )
    run_ids = collections.Counter(
        row["run_id"].partition(".")[0] for row in ledger
    )
    return {
        "deployment": experiment.deployment,
        "policy": experiment.policy,
        "seed": experiment.seed,
        "overload": experiment.overload,
        "offered": len(results),
        "timely": sum(result.is_timely for result in results),
        "goodput": goodput_by_tier(results),
        "wasted_prefill": round(1 - useful / max(1, prefilled), 4),
        "prefilled_tokens": prefilled,
        "first_token_ms_p95": percentile(
            (
                result.first_token_ms
                for result in results
                if result.first_token_ms is not None
            ),
            0.95,
        ),
        "between_tokens_ms_p95": percentile(
            (gap for result in results for gap in result.gaps_ms), 0.95
        ),
        "ran_twice": sum(count > 1 for count in run_ids.values()),
        "not_timely": dict(sorted(reasons.items())),
        "audit_breaches": breaches,
    }


def goodput_by_tier(
    results: typing.Sequence[load.Result],
) -> dict[str, float]:
    """Returns the share of timely requests in each tier.

    :param results: results of the callers
    :return: shares by name of the tier
    """
    offered = collections.Counter(result.job.tier for result in results)
    timely_counts = collections.Counter(
        result.job.tier for result in results if result.is_timely
    )
    return {
        tier: round(timely_counts[tier] / offered[tier], 4) for tier in offered
    }


def write(path: str, value: object) -> None:
    """Prints figures and writes them to a file.

    :param path: name of the file, empty for none
    :param value: the figures
    """
    text = json.dumps(value, indent=1)
    print(text)
    if path:
        pathlib.Path(path).write_text(text + "\n", encoding="utf-8")
