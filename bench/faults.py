"""Faults on real processes: what callers are told and what really ran."""

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
SLOWEST_START_S = 1.0
PAUSE_S = 4.5
SLOW_S = 4.0
OUTAGE_S = 5.0
RESTART_PAUSE_S = 1.0
MODEL_SHARE = 0.6
RELEASE_SHARE = 0.25
SLOW_FACTOR = 10.0
NOT_RUN_RETRIES = 2
LEAVING_PROMISE = "no new work when leaving"
STOP_PROMISE = "graceful stop cuts nothing"


@dataclasses.dataclass(frozen=True)
class Ask:
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
class Told:
    """What a caller was told.

    :param ask: the request
    :param status: HTTP status, 0 when the connection ended without one
    :param reason: machine-readable reason
    :param not_run: whether the answer promised that it was not run
    :param right: whether the answer is whole and the caller's own
    :param wrong: whether it claims to be whole and isn't
    """

    ask: Ask
    status: int
    reason: str
    not_run: bool
    right: bool
    wrong: bool


class Callers:
    """Sends a steady mix of requests from threads.

    :param urls: of the entries
    :param model: name of the model service
    :param service_name: name of the plain service
    :param seed: decides everything random
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
        self.futures: list[concurrent.futures.Future[Told]] = []
        self.number = 0
        self.stopped = threading.Event()

    def send_steadily(self) -> None:
        """Sends requests at a fixed rate until stopped."""
        while not self.stopped.wait(1 / REQUESTS_PER_S):
            self.send(self.next_ask())

    def send(self, ask: Ask) -> None:
        """Sends one request.

        :param ask: the request
        """
        url = self.urls[ask.number % len(self.urls)]
        self.futures.append(self.pool.submit(self.fetch, url, ask))

    def next_ask(self) -> Ask:
        """Returns the next request of the mix.

        :return: a request that no other is like
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
            return Ask(self.number, "model", text, tier, team, stream)
        if draw < MODEL_SHARE + RELEASE_SHARE:
            return Ask(
                self.number,
                "release",
                f"lot {self.number}",
                "releases",
                "warehouse",
                False,
            )
        return Ask(
            self.number,
            "lookup",
            f"holds/{self.number}",
            "releases",
            "warehouse",
            False,
        )

    def poison(self) -> None:
        """Sends a request that crashes engines, and sends it again."""
        self.number += 1
        mark = engines.EngineSettings().crash_mark
        ask = Ask(
            self.number,
            "poison",
            f"{mark} {self.number}",
            "questions",
            "brokers",
            False,
        )
        for offset in range(3):
            number = ask.number + offset
            self.send(dataclasses.replace(ask, number=number))

    def fetch(self, url: str, ask: Ask) -> Told:
        """Sends one request and waits for its outcome.

        :param url: address and port of an entry
        :param ask: the request
        :return: what the caller was told
        """
        method, path, body, headers = self.parts(ask)
        headers["Authorization"] = f"Bearer {cluster.team_key(ask.team)}"
        headers["X-Request-Timeout"] = str(TIMEOUT_S)
        connection = http.client.HTTPConnection(
            url, timeout=TIMEOUT_S + GRACE_S
        )
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            content = response.read()
        except (OSError, http.client.HTTPException) as error:
            return Told(ask, 0, type(error).__name__, False, False, False)
        finally:
            connection.close()
        return self.judge(ask, response.status, content)

    def parts(self, ask: Ask) -> tuple[str, str, bytes, dict[str, str]]:
        """Returns a request as HTTP.

        :param ask: the request
        :return: method, path, body and headers
        """
        place = f"/services/{self.service_name}"
        if ask.kind == "lookup":
            return "GET", f"{place}/{ask.text}", b"", {}
        if ask.kind == "release":
            key = f"release-{ask.number}"
            body = json.dumps({"lot": ask.text}).encode()
            return "POST", f"{place}/releases", body, {"Idempotency-Key": key}
        body = json.dumps(
            {
                "model": self.model,
                "prompt": ask.text,
                "max_tokens": self.output_tokens(ask),
                "stream": ask.stream,
            }
        ).encode()
        return "POST", "/v1/completions", body, {"X-Tier": ask.tier}

    def output_tokens(self, ask: Ask) -> int:
        """Returns the length of an answer.

        :param ask: a request for a model
        :return: tokens
        """
        return 5 + ask.number % 30

    def judge(self, ask: Ask, status: int, content: bytes) -> Told:
        """Tells what an answer is worth.

        :param ask: the request
        :param status: HTTP status
        :param content: the body
        :return: what the caller was told
        """
        reason, not_run = load.refusal_of(status, content)
        if status != 200:
            return Told(ask, status, reason, not_run, False, False)
        if ask.stream and b"event: error" in content:
            return Told(ask, status, "stream_error", False, False, False)
        right = self.is_right(ask, content)
        return Told(ask, status, "", False, right, not right)

    def is_right(self, ask: Ask, content: bytes) -> bool:
        """Tells whether an answer is whole and the caller's own.

        :param ask: the request
        :param content: the body
        :return: whether it is what the stand-in gives for this request
        """
        if ask.kind in ("model", "poison"):
            expected = answers.answer_words(ask.text, self.output_tokens(ask))
            try:
                text = load.text_of(content, ask.stream)
            except (ValueError, KeyError, IndexError):
                return False
            return text.split() == expected
        method, path, body, _ = self.parts(ask)
        below = path.removeprefix(f"/services/{self.service_name}/")
        expected_body = service.answer(method, below, body)
        try:
            return bool(json.loads(content) == expected_body)
        except ValueError:
            return False

    def finish(self) -> list[Told]:
        """Stops sending and waits for every outcome.

        :return: one a request
        """
        self.stopped.set()
        found = [future.result() for future in self.futures]
        self.pool.shutdown()
        return found


class Injector:
    """Brings about faults, one after another.

    :param running: the deployment
    :param callers: for requests that crash engines
    :param seed: decides which fault hits what, and when
    """

    def __init__(
        self, running: cluster.Cluster, callers: Callers, seed: int
    ) -> None:
        self.running = running
        self.callers = callers
        self.rng = random.Random(seed)
        self.counts: collections.Counter[str] = collections.Counter()
        self.later: list[tuple[float, typing.Callable[[], None]]] = []
        self.busy: set[str] = set()
        self.kinds: dict[str, typing.Callable[[], None]] = {
            "kill_agent": functools.partial(self.end_agent, signal.SIGKILL),
            "drain_agent": functools.partial(self.end_agent, signal.SIGTERM),
            "kill_entry": functools.partial(self.end_entry, signal.SIGKILL),
            "drain_entry": functools.partial(self.end_entry, signal.SIGTERM),
            "pause_agent": self.pause_agent,
            "pause_entry": self.pause_entry,
            "slow_engine": self.slow_engine,
            "store_outage": self.store_outage,
            "lost_answers": self.lost_answers,
            "poison": self.callers.poison,
        }

    def run(self, seconds: float) -> None:
        """Brings about a fault every second or two.

        :param seconds: how long
        """
        end_s = time.monotonic() + seconds
        next_s = time.monotonic() + 1.0
        while time.monotonic() < end_s:
            self.do_later()
            if time.monotonic() >= next_s:
                next_s += self.rng.uniform(1.0, 2.0)
                self.one()
            time.sleep(0.05)
        for _, work in self.later:
            self.attempt(work)
        self.later.clear()

    def one(self) -> None:
        """Brings about one fault."""
        kind = self.rng.choice(sorted(self.kinds))
        self.counts[kind] += 1
        self.attempt(self.kinds[kind])

    def attempt(self, work: typing.Callable[[], None]) -> None:
        """Does something that fails when an upstream is down after a crash.

        :param work: what to do
        """
        try:
            work()
        except urllib.error.URLError:
            self.counts["not_reached"] += 1

    def do_later(self) -> None:
        """Does what is due of what was put off."""
        now_s = time.monotonic()
        due = [one for one in self.later if one[0] <= now_s]
        self.later = [one for one in self.later if one[0] > now_s]
        for _, work in due:
            self.attempt(work)

    def put_off(self, delay_s: float, work: typing.Callable[[], None]) -> None:
        """Does something after some time.

        :param delay_s: how long to wait
        :param work: what to do
        """
        self.later.append((time.monotonic() + delay_s, work))

    def pick(self, names: typing.Iterable[str], prefix: str) -> str | None:
        """Chooses a process that no fault has hit yet.

        :param names: of the processes
        :param prefix: role, to tell names apart
        :return: a name, or None when there is no other of its role
        """
        free = [one for one in sorted(names) if prefix + one not in self.busy]
        if len(free) < 2:
            return None
        chosen = self.rng.choice(free)
        self.busy.add(prefix + chosen)
        return chosen

    def end_agent(self, number: signal.Signals) -> None:
        """Ends an agent, and starts it again.

        :param number: which signal
        """
        name = self.pick(self.running.agents, "agent ")
        if name is None:
            return
        process = self.running.agents[name]
        process.signal(number)
        self.put_off(
            RESTART_PAUSE_S, functools.partial(self.restart_agent, name)
        )

    def restart_agent(self, name: str) -> None:
        """Starts an agent again once it has ended.

        :param name: of its upstream
        """
        if self.running.agents[name].running:
            self.put_off(0.2, functools.partial(self.restart_agent, name))
            return
        plan = next(
            one for one in self.running.plan.upstreams if one.name == name
        )
        self.running.start_agent(plan, self.running.agent_ports[name])
        self.put_off(3.0, lambda: self.busy.discard(f"agent {name}"))

    def end_entry(self, number: signal.Signals) -> None:
        """Ends an entry, and starts it again.

        :param number: which signal
        """
        zone = self.pick(self.running.entries, "entry ")
        if zone is None:
            return
        self.running.entries[zone].signal(number)
        self.put_off(
            RESTART_PAUSE_S, functools.partial(self.restart_entry, zone)
        )

    def restart_entry(self, zone: str) -> None:
        """Starts an entry again once it has ended.

        :param zone: its availability zone
        """
        if self.running.entries[zone].running:
            self.put_off(0.2, functools.partial(self.restart_entry, zone))
            return
        port = int(self.running.entry_urls[zone].rpartition(":")[2])
        self.running.start_entry(zone, port)
        self.put_off(3.0, lambda: self.busy.discard(f"entry {zone}"))

    def pause_agent(self) -> None:
        """Stops an agent for longer than a link may be silent."""
        name = self.pick(self.running.agents, "agent ")
        if name is not None:
            process = self.running.agents[name]
            process.signal(signal.SIGSTOP)
            self.put_off(PAUSE_S, lambda: self.go_on(process, f"agent {name}"))

    def pause_entry(self) -> None:
        """Stops an entry for longer than a link may be silent."""
        zone = self.pick(self.running.entries, "entry ")
        if zone is not None:
            process = self.running.entries[zone]
            process.signal(signal.SIGSTOP)
            self.put_off(PAUSE_S, lambda: self.go_on(process, f"entry {zone}"))

    def go_on(self, process: typing.Any, busy: str) -> None:
        """Lets a stopped process go on.

        :param process: the process
        :param busy: under which name it was taken
        """
        process.signal(signal.SIGCONT)
        self.busy.discard(busy)

    def slow_engine(self) -> None:
        """Slows an engine down for some seconds."""
        name = self.rng.choice(
            [
                one.name
                for one in self.running.plan.upstreams
                if one.kind == "model"
            ]
        )
        url = f"{self.running.upstream_urls[name]}/control"
        burst.fetch(url, {"slow_factor": SLOW_FACTOR})
        self.put_off(SLOW_S, lambda: burst.fetch(url, {"slow_factor": 1.0}))

    def store_outage(self) -> None:
        """Makes the platform refuse every call for some seconds."""
        url = f"{self.running.platform_url}/control/faults"
        burst.fetch(url, {"outage": "refuse"})
        self.put_off(OUTAGE_S, lambda: burst.fetch(url, {}))

    def lost_answers(self) -> None:
        """Makes the platform lose the answers of its next writes."""
        url = f"{self.running.platform_url}/control/faults"
        burst.fetch(url, {"lose_answers": 5})


def run(seed: int, seconds: float) -> dict[str, typing.Any]:
    """Runs the experiment.

    :param seed: decides everything random
    :param seconds: how long faults are brought about
    :return: the figures
    """
    deployment = deployments.LAKESHORE
    whole = deployment.plan(services=True)
    model = [one for one in whole.upstreams if one.kind == "model"][:4]
    plain = [one for one in whole.upstreams if one.kind == "plain"][:2]
    plan = dataclasses.replace(
        whole,
        zones=whole.zones[:2],
        upstreams=(*model, *plain),
        platform=True,
    )
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        with cluster.running(plan, directory) as running:
            time.sleep(SLOWEST_START_S)
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
            callers.stopped.set()
            sender.join()
            told = callers.finish()
            runs, calls = read_ledgers(running)
        report = audit(running, runs, calls)
    return figures(seed, injector.counts, told, runs, calls, report)


Rows = list[dict[str, typing.Any]]


def read_ledgers(running: cluster.Cluster) -> tuple[Rows, Rows]:
    """Reads what the upstreams ran.

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
    :param runs: what the engines ran
    :param calls: what the services ran
    :return: what was found
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
    told: typing.Sequence[Told],
    runs: Rows,
    calls: Rows,
    report: audits.Report,
) -> dict[str, typing.Any]:
    """Works out the figures of a run.

    :param seed: of the run
    :param faults: how often each kind was brought about
    :param told: what callers were told
    :param runs: what the engines ran
    :param calls: what the services ran
    :param report: what the audit found
    :return: the figures
    """
    started = collections.Counter(
        row["prompt_digest"] for row in runs if row["started_ms"] is not None
    )
    effects = collections.Counter(
        row["idempotency_key"] for row in calls if row["took_effect"]
    )
    ran = {
        one.ask.number: times_run(one.ask, started, effects) for one in told
    }
    prefilled = sum(row["prefilled_tokens"] for row in runs)
    whole = sum(
        row["prefilled_tokens"] for row in runs if row["ended"] == "completed"
    )
    breaches = {one.promise: len(one.breaches) for one in report.findings}
    single = [one for one in told if one.ask.kind != "lookup"]
    return {
        "seed": seed,
        "faults": dict(sorted(faults.items())),
        "requests": len(told),
        "completed": sum(one.right for one in told),
        "refused_not_run": sum(one.not_run for one in told),
        "failed": sum(
            one.status not in (0, 200) and not one.not_run for one in told
        ),
        "unknown": sum("unknown" in one.reason for one in told),
        "connection_lost": sum(one.status == 0 for one in told),
        "run_twice": sum(
            ran[one.ask.number] > 1
            for one in single
            if one.ask.kind != "poison"
        ),
        "wrong_answers": sum(one.wrong for one in told),
        "false_not_run": sum(
            one.not_run and ran[one.ask.number] > 0
            for one in single
            if one.ask.kind != "poison"
        ),
        "cut_by_graceful_stop": breaches[STOP_PROMISE],
        "new_work_after_leaving": breaches[LEAVING_PROMISE],
        "audit_breaches": report.breaches,
        "wasted_prefill": round(1 - whole / max(1, prefilled), 4),
        "reasons": dict(
            sorted(
                collections.Counter(
                    f"{one.ask.kind}:{one.reason}"
                    for one in told
                    if one.reason
                ).items()
            )
        ),
    }


def times_run(
    ask: Ask,
    started: collections.Counter[str],
    effects: collections.Counter[str],
) -> int:
    """Returns how often a request ran, as the ledgers tell.

    :param ask: the request
    :param started: runs of engines by hash of the prompt
    :param effects: calls that took effect, by idempotency key
    :return: a count; 0 for lookups, which may run any number of times
    """
    if ask.kind == "release":
        return effects[f"release-{ask.number}"]
    if ask.kind == "lookup":
        return 0
    return started[answers.prompt_digest(ask.text)]
