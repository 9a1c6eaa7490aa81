"""Injects faults into real processes and compares responses with runs."""

import collections
import concurrent.futures
import dataclasses
import functools
import http.client
import json
import pathlib
import random
import signal
import sys
import tempfile
import threading
import time
import typing
import urllib.error

from bench import burst
from bench import cluster
from bench import deployments
from bench import load
from bench import workload
from godwitloft import audit as audits
from godwitloft.standins import answers
from godwitloft.standins import engine as engines
from godwitloft.standins import service

REQUESTS_PER_S = 20
CALLER_THREADS = 128
TIMEOUT_S = 15.0
GRACE_S = 5.0
STARTUP_WAIT_S = 1.0
PAUSE_S = 4.5
SLOW_S = 4.0
OUTAGE_S = 5.0
RESTART_PAUSE_S = 1.0
MODEL_SHARE = 0.6
RELEASE_SHARE = 0.25
SLOW_FACTOR = 10.0
NOT_RUN_RETRIES = 2
DRAIN_PROMISE = "no new work when leaving"
STOP_PROMISE = "graceful stop cuts nothing"


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """One request of a caller.

    :param number: unique in the run
    :param kind: ``model``, ``release`` (non-idempotent) or ``lookup``
    :param text: prompt, or path of a call
    :param tier: name of the tier
    :param team: name of the team
    :param stream: whether it asks for a stream
    """

    number: int
    kind: str
    text: str
    tier: str
    team: str
    stream: bool


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Outcome of one request as its caller observed it.

    :param request: the request
    :param status: HTTP status, 0 when the connection ended without one
    :param reason: machine-readable reason
    :param not_run: whether the response promised that it was not run
    :param is_correct: whether the response is complete and answers this
        request
    :param is_wrong: whether it claims success and is not correct
    """

    request: CallerRequest
    status: int
    reason: str
    not_run: bool
    is_correct: bool
    is_wrong: bool


class Callers:
    """Sends a steady mix of requests from threads.

    :param urls: of the entries
    :param model: name of the model service
    :param service_name: name of the plain service
    :param seed: of the random number generator
    """

    def __init__(
        self,
        urls: typing.Sequence[str],
        model: str,
        service_name: str,
        seed: int,
    ) -> None:
        self.urls = [url.removeprefix("http://") for url in urls]
        self.model = model
        self.service_name = service_name
        self.rng = random.Random(seed)
        self.pool = concurrent.futures.ThreadPoolExecutor(CALLER_THREADS)
        self.futures: list[concurrent.futures.Future[Outcome]] = []
        self.number = 0
        self.stop_requested = threading.Event()

    def send_steadily(self) -> None:
        """Sends requests at a fixed rate until stopped."""
        while not self.stop_requested.wait(1 / REQUESTS_PER_S):
            self.send(self.next_request())

    def send(self, request: CallerRequest) -> None:
        """Sends one request.

        :param request: the request
        """
        url = self.urls[request.number % len(self.urls)]
        self.futures.append(self.pool.submit(self.fetch, url, request))

    def next_request(self) -> CallerRequest:
        """Returns the next request of the mix.

        :return: a unique request
        """
        self.number += 1
        rng = self.rng
        draw = rng.random()
        if draw < MODEL_SHARE:
            tier, team = rng.choice(
                (
                    ("declarations", "customs-desk"),
                    ("questions", "brokers"),
                    ("classification", "container-intake"),
                )
            )
            text = workload.words(rng, rng.randint(20, 400))
            stream = rng.random() < 0.5
            return CallerRequest(
                self.number, "model", text, tier, team, stream
            )
        if draw < MODEL_SHARE + RELEASE_SHARE:
            return CallerRequest(
                self.number,
                "release",
                f"lot {self.number}",
                "releases",
                "warehouse",
                False,
            )
        return CallerRequest(
            self.number,
            "lookup",
            f"holds/{self.number}",
            "releases",
            "warehouse",
            False,
        )

    def send_crashing_request(self) -> None:
        """Sends a request that crashes engines, three times in all."""
        self.number += 1
        crash_mark = engines.EngineSettings().crash_mark
        request = CallerRequest(
            self.number,
            "poison",
            f"{crash_mark} {self.number}",
            "questions",
            "brokers",
            False,
        )
        for offset in range(3):
            number = request.number + offset
            self.send(dataclasses.replace(request, number=number))

    def fetch(self, url: str, request: CallerRequest) -> Outcome:
        """Sends one request and waits for its outcome.

        :param url: address and port of an entry
        :param request: the request
        :return: its outcome
        """
        method, path, body, headers = self.http_parts(request)
        headers["Authorization"] = f"Bearer {cluster.team_key(request.team)}"
        headers["X-Request-Timeout"] = str(TIMEOUT_S)
        connection = http.client.HTTPConnection(
            url, timeout=TIMEOUT_S + GRACE_S
        )
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            content = response.read()
        except (OSError, http.client.HTTPException) as error:
            return Outcome(
                request, 0, type(error).__name__, False, False, False
            )
        finally:
            connection.close()
        return self.classify_response(request, response.status, content)

    def http_parts(
        self, request: CallerRequest
    ) -> tuple[str, str, bytes, dict[str, str]]:
        """Returns a request as HTTP.

        :param request: the request
        :return: method, path, body and headers
        """
        service_path = f"/services/{self.service_name}"
        if request.kind == "lookup":
            return "GET", f"{service_path}/{request.text}", b"", {}
        if request.kind == "release":
            key = f"release-{request.number}"
            body = json.dumps({"lot": request.text}).encode()
            return (
                "POST",
                f"{service_path}/releases",
                body,
                {"Idempotency-Key": key},
            )
        body = json.dumps(
            {
                "model": self.model,
                "prompt": request.text,
                "max_tokens": self.output_tokens(request),
                "stream": request.stream,
            }
        ).encode()
        return "POST", "/v1/completions", body, {"X-Tier": request.tier}

    def output_tokens(self, request: CallerRequest) -> int:
        """Returns the output length of a request.

        :param request: a request for a model
        :return: number of tokens
        """
        return 5 + request.number % 30

    def classify_response(
        self, request: CallerRequest, status: int, content: bytes
    ) -> Outcome:
        """Builds the outcome of a request from its response.

        :param request: the request
        :param status: HTTP status
        :param content: the body
        :return: its outcome
        """
        reason, not_run = load.parse_refusal(status, content)
        if status != 200:
            return Outcome(request, status, reason, not_run, False, False)
        if request.stream and b"event: error" in content:
            return Outcome(
                request, status, "stream_error", False, False, False
            )
        is_correct = self.is_correct_answer(request, content)
        return Outcome(request, status, "", False, is_correct, not is_correct)

    def is_correct_answer(
        self, request: CallerRequest, content: bytes
    ) -> bool:
        """Tells whether a response is complete and answers the request.

        :param request: the request
        :param content: the body
        :return: whether it is what the stand-in generates for the request
        """
        if request.kind in ("model", "poison"):
            expected = answers.answer_words(
                request.text, self.output_tokens(request)
            )
            try:
                text = load.completion_text(content, request.stream)
            except (ValueError, KeyError, IndexError):
                return False
            return text.split() == expected
        method, path, body, _ = self.http_parts(request)
        subpath = path.removeprefix(f"/services/{self.service_name}/")
        expected_body = service.answer(method, subpath, body)
        try:
            return bool(json.loads(content) == expected_body)
        except ValueError:
            return False

    def wait_for_outcomes(self) -> list[Outcome]:
        """Stops sending and waits for all outcomes.

        :return: one outcome for each request
        """
        self.stop_requested.set()
        found = [future.result() for future in self.futures]
        self.pool.shutdown()
        return found


class Injector:
    """Injects random faults one after another.

    :param running: the deployment
    :param callers: sends the requests that crash engines
    :param seed: seed of kinds, targets and times of the faults
    """

    def __init__(
        self, running: cluster.Cluster, callers: Callers, seed: int
    ) -> None:
        self.running = running
        self.callers = callers
        self.rng = random.Random(seed)
        self.counts: collections.Counter[str] = collections.Counter()
        self.scheduled: list[tuple[float, typing.Callable[[], None]]] = []
        self.affected: set[str] = set()
        self.kinds: dict[str, typing.Callable[[], None]] = {
            "kill_agent": functools.partial(self.signal_agent, signal.SIGKILL),
            "drain_agent": functools.partial(
                self.signal_agent, signal.SIGTERM
            ),
            "kill_entry": functools.partial(self.signal_entry, signal.SIGKILL),
            "drain_entry": functools.partial(
                self.signal_entry, signal.SIGTERM
            ),
            "pause_agent": self.pause_agent,
            "pause_entry": self.pause_entry,
            "slow_engine": self.slow_engine,
            "store_outage": self.store_outage,
            "lost_answers": self.lose_answers,
            "poison": self.callers.send_crashing_request,
        }

    def run(self, seconds: float) -> None:
        """Injects a fault every one to two seconds.

        :param seconds: how long to inject faults
        """
        end_s = time.monotonic() + seconds
        next_s = time.monotonic() + 1.0
        while time.monotonic() < end_s:
            self.run_due()
            if time.monotonic() >= next_s:
                next_s += self.rng.uniform(1.0, 2.0)
                self.inject_one()
            time.sleep(0.05)
        for _, action in self.scheduled:
            self.try_action(action)
        self.scheduled.clear()

    def inject_one(self) -> None:
        """Injects one fault."""
        kind = self.rng.choice(sorted(self.kinds))
        self.counts[kind] += 1
        self.try_action(self.kinds[kind])

    def try_action(self, action: typing.Callable[[], None]) -> None:
        """Runs an action and counts it if its upstream is unreachable.

        An upstream may be down after a crash.

        :param action: the action
        """
        try:
            action()
        except urllib.error.URLError:
            self.counts["not_reached"] += 1

    def run_due(self) -> None:
        """Runs the scheduled actions that are due."""
        now_s = time.monotonic()
        due = [item for item in self.scheduled if item[0] <= now_s]
        self.scheduled = [item for item in self.scheduled if item[0] > now_s]
        for _, action in due:
            self.try_action(action)

    def schedule(
        self, delay_s: float, action: typing.Callable[[], None]
    ) -> None:
        """Schedules an action.

        :param delay_s: delay in seconds
        :param action: the action
        """
        self.scheduled.append((time.monotonic() + delay_s, action))

    def reserve(self, names: typing.Iterable[str], prefix: str) -> str | None:
        """Chooses a process that no fault affects now, and marks it affected.

        :param names: names of the processes of a role
        :param prefix: role, to distinguish equal names
        :return: a name, or None if fewer than two processes are unaffected
        """
        free = [
            name
            for name in sorted(names)
            if prefix + name not in self.affected
        ]
        if len(free) < 2:
            return None
        chosen = self.rng.choice(free)
        self.affected.add(prefix + chosen)
        return chosen

    def signal_agent(self, number: signal.Signals) -> None:
        """Sends an agent a signal that ends it, and restarts it later.

        :param number: signal number
        """
        name = self.reserve(self.running.agents, "agent ")
        if name is None:
            return
        process = self.running.agents[name]
        process.signal(number)
        self.schedule(
            RESTART_PAUSE_S, functools.partial(self.restart_agent, name)
        )

    def restart_agent(self, name: str) -> None:
        """Restarts an agent once it has ended.

        :param name: name of its upstream
        """
        if self.running.agents[name].running:
            self.schedule(0.2, functools.partial(self.restart_agent, name))
            return
        plan = next(
            plan for plan in self.running.plan.upstreams if plan.name == name
        )
        self.running.start_agent(plan, self.running.agent_ports[name])
        self.schedule(3.0, lambda: self.affected.discard(f"agent {name}"))

    def signal_entry(self, number: signal.Signals) -> None:
        """Sends an entry a signal that ends it, and restarts it later.

        :param number: signal number
        """
        zone = self.reserve(self.running.entries, "entry ")
        if zone is None:
            return
        self.running.entries[zone].signal(number)
        self.schedule(
            RESTART_PAUSE_S, functools.partial(self.restart_entry, zone)
        )

    def restart_entry(self, zone: str) -> None:
        """Restarts an entry once it has ended.

        :param zone: its availability zone
        """
        if self.running.entries[zone].running:
            self.schedule(0.2, functools.partial(self.restart_entry, zone))
            return
        port = int(self.running.entry_urls[zone].rpartition(":")[2])
        self.running.start_entry(zone, port)
        self.schedule(3.0, lambda: self.affected.discard(f"entry {zone}"))

    def pause_agent(self) -> None:
        """Pauses an agent for longer than the silence limit of a link."""
        name = self.reserve(self.running.agents, "agent ")
        if name is not None:
            process = self.running.agents[name]
            process.signal(signal.SIGSTOP)
            self.schedule(
                PAUSE_S, lambda: self.resume(process, f"agent {name}")
            )

    def pause_entry(self) -> None:
        """Pauses an entry for longer than the silence limit of a link."""
        zone = self.reserve(self.running.entries, "entry ")
        if zone is not None:
            process = self.running.entries[zone]
            process.signal(signal.SIGSTOP)
            self.schedule(
                PAUSE_S, lambda: self.resume(process, f"entry {zone}")
            )

    def resume(self, process: typing.Any, affected: str) -> None:
        """Resumes a paused process.

        :param process: the process
        :param affected: its name in the set of affected processes
        """
        process.signal(signal.SIGCONT)
        self.affected.discard(affected)

    def slow_engine(self) -> None:
        """Slows an engine down for some seconds."""
        name = self.rng.choice(
            [
                plan.name
                for plan in self.running.plan.upstreams
                if plan.kind == "model"
            ]
        )
        url = f"{self.running.upstream_urls[name]}/control"
        burst.fetch(url, {"slow_factor": SLOW_FACTOR})
        self.schedule(SLOW_S, lambda: burst.fetch(url, {"slow_factor": 1.0}))

    def store_outage(self) -> None:
        """Makes the platform refuse every call for some seconds."""
        url = f"{self.running.platform_url}/control/faults"
        burst.fetch(url, {"outage": "refuse"})
        self.schedule(OUTAGE_S, lambda: burst.fetch(url, {}))

    def lose_answers(self) -> None:
        """Makes the platform lose the responses to its next writes."""
        url = f"{self.running.platform_url}/control/faults"
        burst.fetch(url, {"lose_answers": 5})


def run(seed: int, seconds: float) -> dict[str, typing.Any]:
    """Runs the experiment.

    :param seed: of the random number generators
    :param seconds: how long faults are injected
    :return: the figures
    """
    deployment = deployments.LAKESHORE
    full_plan = deployment.plan(services=True)
    model = [plan for plan in full_plan.upstreams if plan.kind == "model"][:4]
    plain = [plan for plan in full_plan.upstreams if plan.kind == "plain"][:2]
    plan = dataclasses.replace(
        full_plan,
        zones=full_plan.zones[:2],
        upstreams=(*model, *plain),
        platform=True,
    )
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        with cluster.running(plan, directory) as running:
            time.sleep(STARTUP_WAIT_S)
            callers = Callers(
                list(running.entry_urls.values()),
                deployment.model,
                "release-desk",
                seed,
            )
            sender = threading.Thread(target=callers.send_steadily)
            sender.start()
            injector = Injector(running, callers, seed)
            injector.run(seconds)
            callers.stop_requested.set()
            sender.join()
            outcomes = callers.wait_for_outcomes()
            runs, calls = read_ledgers(running)
        report = audit(running, runs, calls)
    return figures(seed, injector.counts, outcomes, runs, calls, report)


Rows = list[dict[str, typing.Any]]


def read_ledgers(running: cluster.Cluster) -> tuple[Rows, Rows]:
    """Reads the ledgers of all upstreams.

    :param running: the deployment
    :return: runs of the engines, calls of the services
    """
    runs: Rows = []
    calls: Rows = []
    for plan in running.plan.upstreams:
        url = f"{running.upstream_urls[plan.name]}/ledger"
        found = burst.fetch(url)
        runs.extend(found.get("runs", ()))
        calls.extend(found.get("calls", ()))
    return runs, calls


def audit(running: cluster.Cluster, runs: Rows, calls: Rows) -> audits.Report:
    """Audits the traces of the finished run.

    :param running: the stopped deployment
    :param runs: runs on the engines
    :param calls: calls of the services
    :return: the report
    """
    lines: list[str] = []
    for path in running.trace_paths():
        lines.extend(path.read_text(encoding="utf-8").splitlines())
    ledger = [json.dumps({"run": row}) for row in runs]
    ledger.extend(json.dumps({"call": row}) for row in calls)
    report = audits.audit(lines, ledger)
    if report.breaches:
        print(report.text(), file=sys.stderr)
    return report


def figures(
    seed: int,
    faults: collections.Counter[str],
    outcomes: typing.Sequence[Outcome],
    runs: Rows,
    calls: Rows,
    report: audits.Report,
) -> dict[str, typing.Any]:
    """Computes the figures of a run.

    :param seed: of the run
    :param faults: number of injected faults by kind
    :param outcomes: outcomes of the requests
    :param runs: runs on the engines
    :param calls: calls of the services
    :param report: report of the audit
    :return: the figures
    """
    started = collections.Counter(
        row["prompt_digest"] for row in runs if row["started_ms"] is not None
    )
    effects = collections.Counter(
        row["idempotency_key"] for row in calls if row["took_effect"]
    )
    run_counts = {
        outcome.request.number: count_runs(outcome.request, started, effects)
        for outcome in outcomes
    }
    prefilled = sum(row["prefilled_tokens"] for row in runs)
    completed_tokens = sum(
        row["prefilled_tokens"] for row in runs if row["ended"] == "completed"
    )
    breaches = {
        finding.promise: len(finding.breaches) for finding in report.findings
    }
    single = [
        outcome for outcome in outcomes if outcome.request.kind != "lookup"
    ]
    return {
        "seed": seed,
        "faults": dict(sorted(faults.items())),
        "requests": len(outcomes),
        "completed": sum(outcome.is_correct for outcome in outcomes),
        "refused_not_run": sum(outcome.not_run for outcome in outcomes),
        "failed": sum(
            outcome.status not in (0, 200) and not outcome.not_run
            for outcome in outcomes
        ),
        "unknown": sum("unknown" in outcome.reason for outcome in outcomes),
        "connection_lost": sum(outcome.status == 0 for outcome in outcomes),
        "run_twice": sum(
            run_counts[outcome.request.number] > 1
            for outcome in single
            if outcome.request.kind != "poison"
        ),
        "wrong_answers": sum(outcome.is_wrong for outcome in outcomes),
        "false_not_run": sum(
            outcome.not_run and run_counts[outcome.request.number] > 0
            for outcome in single
            if outcome.request.kind != "poison"
        ),
        "cut_by_graceful_stop": breaches[STOP_PROMISE],
        "new_work_after_leaving": breaches[DRAIN_PROMISE],
        "audit_breaches": report.breaches,
        "wasted_prefill": round(1 - completed_tokens / max(1, prefilled), 4),
        "reasons": dict(
            sorted(
                collections.Counter(
                    f"{outcome.request.kind}:{outcome.reason}"
                    for outcome in outcomes
                    if outcome.reason
                ).items()
            )
        ),
    }


def count_runs(
    request: CallerRequest,
    started: collections.Counter[str],
    effects: collections.Counter[str],
) -> int:
    """Returns how often a request ran according to the ledgers.

    :param request: the request
    :param started: runs of engines by hash of the prompt
    :param effects: calls that took effect, by idempotency key
    :return: number of runs; 0 for lookups, which may run any number of times
    """
    if request.kind == "release":
        return effects[f"release-{request.number}"]
    if request.kind == "lookup":
        return 0
    return started[answers.prompt_digest(request.text)]
