"""Starts all processes of a deployment on loopback."""

import contextlib
import dataclasses
import functools
import hashlib
import json
import pathlib
import subprocess
import sys
import time
import types
import typing

from bench import processes

START_TIMEOUT_S = 60
POLL_S = 0.05
HOST = "127.0.0.1"
DRAIN_LIMIT_MS = 10_000
OPERATOR_TOKEN = "example-operator"


@dataclasses.dataclass(frozen=True)
class UpstreamPlan:
    """One upstream of a deployment.

    :param name: unique name; its agent is named after it
    :param pool: its pool
    :param kind: ``model`` or ``plain``
    :param availability_zone: its availability zone
    :param settings: settings of the stand-in
    """

    name: str
    pool: str
    kind: str
    availability_zone: str
    settings: typing.Mapping[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Plan:
    """A deployment to be started.

    :param objects: the published objects, as JSON
    :param zones: availability zones of the entries; one entry each
    :param upstreams: the upstreams
    :param entry_settings: further settings of every entry
    :param agent_settings: further settings of every agent
    :param platform: whether to run a stand-in platform and publish the
        objects to it; else every daemon reads them from a file
    """

    objects: typing.Mapping[str, typing.Any]
    zones: tuple[str, ...]
    upstreams: tuple[UpstreamPlan, ...]
    entry_settings: typing.Mapping[str, typing.Any] = dataclasses.field(
        default_factory=lambda: types.MappingProxyType({})
    )
    agent_settings: typing.Mapping[str, typing.Any] = dataclasses.field(
        default_factory=lambda: types.MappingProxyType({})
    )
    platform: bool = False


def team_key(team: str) -> str:
    """Returns the bearer token of a team in the experiments.

    :param team: name of the team
    :return: the token
    """
    return f"example-{team}"


def key_hash(team: str) -> str:
    """Returns the hash of a team's token, for the team object.

    :param team: name of the team
    :return: SHA-256, hexadecimal
    """
    return hashlib.sha256(team_key(team).encode()).hexdigest()


class Cluster:
    """The running processes of a deployment.

    :param plan: the deployment
    :param directory: for settings, logs and traces
    :param trace: whether the daemons write traces
    """

    def __init__(
        self, plan: Plan, directory: pathlib.Path, trace: bool = True
    ) -> None:
        self.plan = plan
        self.directory = directory
        self.trace = trace
        self.upstreams: dict[str, processes.Process] = {}
        self.agents: dict[str, processes.Process] = {}
        self.entries: dict[str, processes.Process] = {}
        self.upstream_urls: dict[str, str] = {}
        self.agent_ports: dict[str, int] = {}
        self.entry_urls: dict[str, str] = {}
        self.start_count = 0
        self.platform: processes.Process | None = None
        self.platform_url = ""
        self.objects_path = self.write("objects", plan.objects)

    def write(self, name: str, value: object) -> str:
        """Writes a JSON file.

        :param name: file name without its extension
        :param value: content
        :return: path of the file
        """
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(value), encoding="utf-8")
        return str(path)

    def start_upstreams(self) -> None:
        """Starts the stand-in upstreams and reads their addresses."""
        for plan in self.plan.upstreams:
            kind = "engine" if plan.kind == "model" else "service"
            self.upstreams[plan.name] = processes.Process(
                plan.name,
                [
                    "godwitloft.standins.main",
                    kind,
                    "--settings",
                    json.dumps(dict(plan.settings)),
                ],
                self.directory,
            )
        for name, process in self.upstreams.items():
            address = wait_for(functools.partial(process.printed, "listening"))
            self.upstream_urls[name] = f"http://{address}"

    def start_platform(self) -> None:
        """Starts the stand-in platform and reads its address."""
        self.platform = processes.Process(
            "platform",
            ["godwitloft.standins.main", "platform"],
            self.directory,
        )
        address = wait_for(
            functools.partial(self.platform.printed, "listening")
        )
        self.platform_url = f"http://{address}"

    def publish(self) -> None:
        """Publishes the objects through one of the entries."""
        entry = next(iter(self.entries.values()))
        ports = wait_for(functools.partial(entry.logged, "other_ports"))
        token = self.directory / "token"
        token.write_text(OPERATOR_TOKEN, encoding="utf-8")
        subprocess.run(
            [
                *(sys.executable, "-m", "godwitloft.ui.main", "publish"),
                *(self.objects_path, "--reason", "experiment"),
                *("--server", f"http://{HOST}:{ports[0]}"),
                *("--token-file", str(token)),
            ],
            cwd=processes.ROOT,
            check=True,
            stdout=subprocess.DEVNULL,
        )

    def common_settings(self, instance: str, zone: str) -> dict[str, object]:
        """Returns the settings common to all daemons.

        :param instance: name of the instance
        :param zone: its availability zone
        :return: keys of ``CommonSettings``
        """
        settings: dict[str, object] = {
            "instance": instance,
            "availability_zone": zone,
            "drain_limit_ms": DRAIN_LIMIT_MS,
        }
        if self.platform_url:
            place = {"kind": "http", "url": self.platform_url}
            settings["platform"] = place
        else:
            settings["objects"] = [self.objects_path]
        if self.trace:
            settings["trace_stream"] = "stdout"
        return settings

    def start_agent(self, plan: UpstreamPlan, port: int = 0) -> None:
        """Starts the agent of an upstream.

        :param plan: the upstream
        :param port: port for links, 0 for any free port
        """
        instance = f"agent-{plan.name}"
        settings = {
            **self.common_settings(instance, plan.availability_zone),
            "pool": plan.pool,
            "upstream": {
                "name": plan.name,
                "url": self.upstream_urls[plan.name],
                "kind": plan.kind,
            },
            "link_listen": {"address": HOST, "port": port},
            **self.plan.agent_settings,
        }
        self.agents[plan.name] = self.start_daemon("agent", instance, settings)

    def start_daemon(
        self, role: str, instance: str, settings: typing.Mapping[str, object]
    ) -> processes.Process:
        """Starts an entry or an agent.

        :param role: ``entry`` or ``agent``
        :param instance: its name
        :param settings: content of its settings file
        :return: the process
        """
        self.start_count += 1
        name = f"{instance}.{self.start_count}"
        path = self.write(name, settings)
        return processes.Process(
            name,
            [f"godwitloft.{role}.main", "serve", "--settings", path],
            self.directory,
        )

    def start_agents(self) -> None:
        """Starts all agents and reads their ports."""
        for plan in self.plan.upstreams:
            self.start_agent(plan)
        for name, process in self.agents.items():
            port = wait_for(functools.partial(process.logged, "link_port"))
            self.agent_ports[name] = int(port)

    def peers(self) -> list[dict[str, object]]:
        """Returns the agents in the form of the entry setting ``peers``.

        :return: one object for each agent
        """
        return [
            {
                "instance": f"agent-{plan.name}",
                "role": "agent",
                "address": HOST,
                "port": self.agent_ports[plan.name],
                "availability_zone": plan.availability_zone,
                "pool": plan.pool,
            }
            for plan in self.plan.upstreams
        ]

    def start_entry(self, zone: str, port: int = 0) -> None:
        """Starts the entry of an availability zone.

        :param zone: the availability zone
        :param port: port for callers, 0 for any free port
        """
        instance = f"entry-{zone}"
        settings = {
            **self.common_settings(instance, zone),
            "peers": self.peers(),
            "caller_listen": {"address": HOST, "port": port},
            "operator_listen": {"address": HOST, "port": 0},
            "operator_tokens": [
                {
                    "name": "bench",
                    "role": "operator",
                    "token_hash": hashlib.sha256(
                        OPERATOR_TOKEN.encode()
                    ).hexdigest(),
                }
            ],
            **self.plan.entry_settings,
        }
        self.entries[zone] = self.start_daemon("entry", instance, settings)

    def start_entries(self) -> None:
        """Starts all entries and waits until they have links to all agents."""
        for zone in self.plan.zones:
            self.start_entry(zone)
        for zone, process in self.entries.items():
            port = wait_for(functools.partial(process.logged, "caller_port"))
            self.entry_urls[zone] = f"http://{HOST}:{port}"
        for process in self.entries.values():
            wait_for(functools.partial(self.has_all_links, process))

    def has_all_links(self, process: processes.Process) -> bool:
        """Tells whether an entry has logged a link to every agent.

        :param process: the entry
        :return: whether all links are up
        """
        text = process.stderr_path.read_text(encoding="utf-8")
        return text.count('"GL1101"') >= len(self.plan.upstreams)

    def all_processes(self) -> tuple[processes.Process, ...]:
        """Returns every process of the cluster.

        :return: the processes in the order in which to stop them
        """
        return (
            *self.entries.values(),
            *self.agents.values(),
            *self.upstreams.values(),
        )

    def trace_paths(self) -> list[pathlib.Path]:
        """Returns the files that hold the daemons' traces.

        :return: one path for each daemon that was started
        """
        return sorted(
            path
            for path in self.directory.glob("*.out")
            if path.name.startswith(("entry-", "agent-"))
        )

    def stop(self) -> None:
        """Stops every process that is still running."""
        groups = [self.entries, self.agents, self.upstreams]
        if self.platform is not None:
            groups.append({"platform": self.platform})
        for group in groups:
            for process in group.values():
                process.terminate()
            for process in group.values():
                process.stop()


Found = typing.TypeVar("Found")


def wait_for(check: typing.Callable[[], Found | None]) -> Found:
    """Polls a check until it returns a true value.

    :param check: returns None or a false value until the wait is over
    :return: the value
    :raises processes.ProcessError: after START_TIMEOUT_S
    """
    end_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end_s:
        found = check()
        if found:
            return found
        time.sleep(POLL_S)
    raise processes.ProcessError(
        f"a process was not ready after {START_TIMEOUT_S} s"
    )


@contextlib.contextmanager
def running(
    plan: Plan,
    directory: pathlib.Path,
    trace: bool = True,
    entries: bool = True,
) -> typing.Iterator[Cluster]:
    """Runs a deployment for the duration of a ``with`` block.

    :param plan: the deployment
    :param directory: for settings, logs and traces
    :param trace: whether the daemons write traces
    :param entries: whether agents and entries are started too
    :return: the running deployment
    """
    cluster = Cluster(plan, directory, trace)
    try:
        cluster.start_upstreams()
        if plan.platform:
            cluster.start_platform()
        if entries:
            cluster.start_agents()
            cluster.start_entries()
        if plan.platform:
            cluster.publish()
        yield cluster
    finally:
        cluster.stop()
