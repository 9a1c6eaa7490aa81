"""Measures the overhead of entry and agent: latency, CPU and memory."""

import dataclasses
import http.client
import json
import pathlib
import tempfile
import time
import typing

from bench import cluster
from bench import deployments
from bench import load
from bench import processes
from bench import workload

PAIR_COUNT = 300
WARM_UP_PAIRS = 20
LOAD_S = 8.0
LOAD_REQUESTS_PER_S = 85
LOAD_TOKENS = 60
ENGINE: typing.Mapping[str, typing.Any] = {
    "model": "bean-model",
    "prefill_tokens_per_s": 1_000_000.0,
    "decode_ms": 1.0,
    "batch_slowdown": 0.0,
    "max_batch": 512,
    "kv_tokens": 10_000_000,
    "tick_ms": 1.0,
}
LOAD_ENGINE = {**ENGINE, "decode_ms": 50.0, "tick_ms": 5.0}


def plan(engine: typing.Mapping[str, typing.Any], count: int) -> cluster.Plan:
    """Returns a plan of one entry with several equal engines.

    :param engine: settings of each engine
    :param count: number of engines
    :return: the plan
    """
    deployment = deployments.LAKESHORE
    objects = deployment.objects()
    for team in objects["teams"]:
        team.update(max_running=0, max_waiting=0, tokens_per_s=0)
    for pool in objects["pools"]:
        pool["max_running"] = ENGINE["max_batch"]
    upstreams = tuple(
        cluster.UpstreamPlan(
            name=f"engine-{index}",
            pool=deployment.engine_pool,
            kind="model",
            availability_zone=deployment.zones[0],
            settings=engine,
        )
        for index in range(count)
    )
    return cluster.Plan(
        objects=objects,
        zones=deployment.zones[:1],
        upstreams=upstreams,
        agent_settings={"policy": {"learn_room": False}},
    )


def time_call(url: str, number: int) -> float:
    """Sends one short completion.

    :param url: of the engine or of the entry
    :param number: makes the prompt unique
    :return: milliseconds until the whole response was read
    """
    host = url.removeprefix("http://")
    body = json.dumps(
        {"model": "bean-model", "prompt": f"lot {number}", "max_tokens": 1}
    )
    headers = {"Authorization": f"Bearer {cluster.team_key('brokers')}"}
    started = time.perf_counter()
    connection = http.client.HTTPConnection(host, timeout=30)
    connection.request("POST", "/v1/completions", body, headers)
    response = connection.getresponse()
    content = response.read()
    elapsed_ms = 1000 * (time.perf_counter() - started)
    connection.close()
    if response.status != 200:
        raise processes.ProcessError(content.decode())
    return elapsed_ms


def added_time(directory: pathlib.Path) -> dict[str, float]:
    """Measures the latency that entry and agent add, in paired calls.

    :param directory: for settings and logs
    :return: medians in milliseconds
    """
    with cluster.running(plan(ENGINE, 1), directory, trace=False) as running:
        direct_url = running.upstream_urls["engine-0"]
        entry_url = next(iter(running.entry_urls.values()))
        pairs = [
            (time_call(direct_url, number), time_call(entry_url, number))
            for number in range(WARM_UP_PAIRS + PAIR_COUNT)
        ][WARM_UP_PAIRS:]
        usage = {
            "entry_rss_bytes": running.entries["duluth"].usage().rss_bytes,
            "agent_rss_bytes": running.agents["engine-0"].usage().rss_bytes,
        }
    added = sorted(through - direct for direct, through in pairs)
    direct = sorted(direct_ms for direct_ms, _ in pairs)
    return {
        "direct_ms_median": round(direct[PAIR_COUNT // 2], 2),
        "added_ms_median": round(added[PAIR_COUNT // 2], 2),
        "added_ms_p95": round(added[int(PAIR_COUNT * 0.95)], 2),
        **usage,
    }


def loaded_cost(
    directory: pathlib.Path, stream: bool, tokens: int
) -> dict[str, float]:
    """Measures processor time of one entry and its agents under load.

    :param directory: for settings, logs and results
    :param stream: whether callers ask for streams
    :param tokens: output tokens of each request
    :return: processor time of the daemons, and counts of what was served
    """
    rate = LOAD_REQUESTS_PER_S
    jobs = tuple(
        workload.Job(
            number=number,
            at_ms=int(1000 * number / rate),
            tier="questions",
            team="brokers",
            timeout_ms=30_000,
            prompt=f"lot {number} of beans",
            output_tokens=tokens,
            stream=stream,
        )
        for number in range(int(rate * LOAD_S))
    )
    with cluster.running(
        plan(LOAD_ENGINE, 4), directory, trace=False
    ) as running:
        daemons = {
            "entry": list(running.entries.values()),
            "agents": list(running.agents.values()),
        }
        before = {name: cpu_ms(group) for name, group in daemons.items()}
        urls = list(running.entry_urls.values())
        started = time.monotonic()
        sending = load.send_from_processes(urls, "bean-model", jobs, directory)
        results = sending.results()
        elapsed_s = time.monotonic() - started
        used = {
            name: cpu_ms(group) - before[name]
            for name, group in daemons.items()
        }
    correct = sum(result.is_correct for result in results)
    return {
        "requests": len(results),
        "right": correct,
        "tokens": tokens * correct,
        "tokens_per_s": round(tokens * correct / LOAD_S),
        "seconds": round(elapsed_s, 1),
        **{f"{name}_cpu_ms": round(used[name]) for name in used},
    }


def cpu_ms(group: typing.Iterable[processes.Process]) -> float:
    """Returns the total processor time of some processes.

    :param group: the processes
    :return: milliseconds since their start
    """
    return sum(process.usage().cpu_ms for process in group)


@dataclasses.dataclass(frozen=True)
class Costs:
    """Processor time by unit, from two loads that differ in tokens.

    :param request_ms: milliseconds per request, without its tokens
    :param token_us: microseconds per streamed token
    """

    request_ms: float
    token_us: float


def split_costs(
    short: typing.Mapping[str, float],
    long: typing.Mapping[str, float],
    key: str,
) -> Costs:
    """Splits processor time into that of requests and of tokens.

    :param short: figures of the load with short outputs
    :param long: figures of the same requests with long outputs
    :param key: figure that holds the processor time
    :return: processor time of a request and of a token
    """
    extra_tokens = long["tokens"] - short["tokens"]
    token_ms = (long[key] - short[key]) / extra_tokens
    request_ms = (short[key] - token_ms * short["tokens"]) / short["requests"]
    return Costs(round(request_ms, 3), round(1000 * token_ms, 1))


def run() -> dict[str, typing.Any]:
    """Runs all measurements.

    :return: the figures
    """
    figures: dict[str, typing.Any] = {}
    with tempfile.TemporaryDirectory() as name:
        figures["added_time"] = added_time(pathlib.Path(name))
    for kind, tokens in (("short", 1), ("long", LOAD_TOKENS)):
        with tempfile.TemporaryDirectory() as name:
            figures[kind] = loaded_cost(pathlib.Path(name), True, tokens)
    for key in ("entry_cpu_ms", "agents_cpu_ms"):
        costs = split_costs(figures["short"], figures["long"], key)
        figures[key.removesuffix("_cpu_ms")] = dataclasses.asdict(costs)
    return figures
