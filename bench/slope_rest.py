"""Breaks down the memory of an idle daemon by origin.

``python -m bench.slope_rest entry`` (or ``agent``) imports the parts of the
daemon step by step and prints resident memory after each step as JSON.
"""

import json
import resource
import statistics
import subprocess
import sys
import typing

ROUNDS = 3
ROLES = ("entry", "agent")
# Third-party and standard modules that the daemons import. Each step shows
# only what the earlier ones have not already imported.
LIBRARIES = (
    "json",
    "twisted.internet.reactor",
    "twisted.web.server",
    "klein",
    "treq",
    "cappa",
    "opentelemetry.sdk.metrics",
    "opentelemetry.exporter.prometheus",
    "thrift.protocol.TCompactProtocol",
    "automat",
    "twisted.internet.ssl",
)


def resident_kb() -> float:
    """Returns the current resident memory of this process.

    :return: resident kibibytes
    """
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize() / 1024


def steps(role: str) -> dict[str, float]:
    """Imports the modules of a daemon step by step.

    :param role: ``entry`` or ``agent``
    :return: resident kibibytes after each step
    """
    found = {"interpreter": resident_kb()}
    for name in LIBRARIES:
        __import__(name)
        found[name] = resident_kb()
    __import__(f"godwitloft.{role}.main")
    found["godwitloft modules"] = resident_kb()
    daemon = build(role)
    found["godwitloft daemon"] = resident_kb()
    del daemon
    return found


def build(role: str) -> object:
    """Builds a daemon that is not started.

    :param role: ``entry`` or ``agent``
    :return: the daemon
    """
    from twisted.internet import reactor

    from godwitloft import clock as clocks
    from godwitloft import metrics
    from godwitloft import settings as settings_module
    from godwitloft.runtime import node as nodes

    instruments, render = metrics.prometheus()
    dependencies = nodes.Dependencies(
        reactor=reactor,
        clock=clocks.system_clock(),
        instruments=instruments,
        render_metrics=render,
    )
    common: dict[str, typing.Any] = {
        "instance": "bench",
        "availability_zone": "a",
    }
    if role == "entry":
        from godwitloft.entry import daemon as entry_daemon

        text = json.dumps(common).encode()
        return entry_daemon.EntryDaemon(
            settings_module.parse(
                text, settings_module.EntrySettings, "bench"
            ),
            dependencies,
        )
    from godwitloft.agent import daemon as agent_daemon

    upstream = {"name": "e", "url": "http://127.0.0.1:1"}
    text = json.dumps({**common, "pool": "p", "upstream": upstream}).encode()
    return agent_daemon.AgentDaemon(
        settings_module.parse(text, settings_module.AgentSettings, "bench"),
        dependencies,
    )


def measure_role(role: str) -> dict[str, float]:
    """Measures one role in several processes.

    :param role: ``entry`` or ``agent``
    :return: kibibytes that each step adds, the median of the rounds
    """
    rounds = [run_child(role) for _ in range(ROUNDS)]
    added: dict[str, float] = {}
    before = [0.0] * ROUNDS
    for name in rounds[0]:
        now = [values[name] for values in rounds]
        increases = [
            late - early for late, early in zip(now, before, strict=True)
        ]
        added[name] = round(statistics.median(increases))
        before = now
    return added


def run_child(role: str) -> dict[str, float]:
    """Runs the steps in a separate process.

    :param role: ``entry`` or ``agent``
    :return: kibibytes after each step
    """
    done = subprocess.run(
        [sys.executable, "-m", "bench.slope_rest", role],
        check=True,
        capture_output=True,
        text=True,
    )
    return typing.cast(dict[str, float], json.loads(done.stdout))


if __name__ == "__main__":
    print(json.dumps(steps(sys.argv[1])))
