"""Starts the programs of a soak test and injects faults from outside."""

import collections
import dataclasses
import http.client
import json
import pathlib
import signal
import socket
import threading
import time
import typing

from twisted.internet import reactor as default_reactor

from bench import cluster
from bench import processes
from bench.soak import plan
from bench.soak import program as programs
from bench.soak import relay
from bench.soak import site
from godwitloft.standins import lakeshore_words as words

CALL_TIMEOUT_S = 10
MS_PER_S = 1000
# Age of the copy from which the store comes back, and how long after that the
# operators write again what they had written.
MAX_LIMIT_PER_S = 3
COPY_AGE_MS = 3_000
# Short, so that many crashes fit into a soak test.
CRASH_DOWN_MS = 600
OPERATOR_REWRITE_MS = 500
UNFRAMED_EVERY = 2
RELAY_MODES = {
    "delay": relay.DELAY,
    "silent": relay.SILENT,
    "deaf": relay.DEAF,
    "refuse_connections": relay.REFUSE,
    "store_delay": relay.DELAY,
    "store_silent": relay.SILENT,
}
RUNNER_FAULTS: dict[str, dict[str, typing.Any]] = {
    "lose_answers": {"lose_answers": 2},
    "misdirect": {"misdirect": 3},
    "refuse": {"refuse": 3},
    "cut_streams": {"cut_after": [1, 2]},
    "break_unframed": {"break_unframed": 3},
    "close_unframed": {"close_unframed": 3},
    "whole_unframed": {"whole_unframed": 3},
    "answers_unframed": {"unframed_every": UNFRAMED_EVERY},
    "die_unframed": {"die_unframed": 1, "crash_down_ms": CRASH_DOWN_MS},
}
# Software versions of the runners, in turn.
VERSIONS = ("v1", "v2")


def now_ms() -> int:
    """Returns wall time in milliseconds, the clock all processes share."""
    return int(time.time() * MS_PER_S)


def crash_part_of(fault: plan.Fault) -> str:
    """Returns the id of the part of prompts with which a fault crashes."""
    return f"bad{fault.at_ms}"


@dataclasses.dataclass
class InjectedFault:
    """A fault that was injected.

    :param kind: one of :data:`plan.KINDS`
    :param target: name of the process or runner
    :param start_ms: wall time
    :param end_ms: wall time, None while the fault lasts
    :param version: of the configuration that a withdrawal published
    :param again_ms: wall times of further signals while a program drains
    :param killed_ms: wall time at which what was left of a stopped program
        was killed, before it was started again; None for other faults
    """

    kind: str
    target: str
    start_ms: int
    end_ms: int | None = None
    version: int = 0
    again_ms: list[int] = dataclasses.field(default_factory=list)
    killed_ms: int | None = None

    def overlaps(self, start_ms: int, end_ms: int) -> bool:
        """Tells whether the fault was active at any time in a span.

        :param start_ms: wall time
        :param end_ms: wall time
        :return: whether it did
        """
        is_over = self.end_ms is not None and self.end_ms < start_ms
        return self.start_ms <= end_ms and not is_over


class Deployment:
    """The programs under test, the stand-in platform and the relays.

    :param directory: for settings files and output
    :param size: number of processes by role
    :param grants_by: who grants slots, ``agents`` or ``gateways``
    """

    def __init__(
        self, directory: pathlib.Path, size: plan.Size, grants_by: str
    ) -> None:
        self.directory = directory
        self.size = size
        self.grants_by = grants_by
        self.injected_faults: list[InjectedFault] = []
        self.reactor = typing.cast(typing.Any, default_reactor)
        self.version = 1
        # Number of active faults that withdraw each key or route.
        self.withdrawn: collections.Counter[str] = collections.Counter()
        self.entries: list[programs.Program] = []
        self.agents: list[programs.Program] = []
        self.relays: list[relay.Relay] = []
        self.unexpected_exits: list[str] = []
        # Part of prompts that crashes runners of models, empty for none.
        self.crash_part = ""
        # Whether callers send requests without a pause.
        self.has_burst = False

    # Start and stop.

    def start(self) -> None:
        """Starts everything and waits until the entries are ready."""
        models = max(1, self.size.runners // 2)
        settings = {"models": models, "desks": self.size.runners - models}
        self.platform = processes.Process(
            "platform",
            [
                "godwitloft.standins.main",
                "lakeshore",
                "--settings",
                json.dumps(settings),
            ],
            self.directory,
        )
        self.platform_address = cluster.wait_for(
            lambda: self.platform.printed("listening")
        )
        cluster.wait_for(lambda: all(self.fetch("/addresses").values()))
        addresses = self.fetch("/addresses")
        self.runners = sorted(addresses)
        threading.Thread(
            target=self.reactor.run, args=(False,), daemon=True
        ).start()
        self.store_relay = self.on_reactor(
            lambda: self.new_relay(self.platform_address)
        )
        store_port = self.on_reactor(
            lambda: self.store_relay.listen("127.0.0.1")
        )
        self.store_address = f"127.0.0.1:{store_port}"
        self.first_port = programs.free_port("0.0.0.0", socket.SOCK_DGRAM)
        for number, name in enumerate(self.runners):
            self.add_runner(number, name, addresses[name])
        self.publish()
        for number in range(self.size.entries):
            self.add_entry(number)
        for program in self.entries + self.agents:
            program.start()
        cluster.wait_for(lambda: all(map(self.is_ready, self.entries)))

    def add_runner(self, number: int, name: str, address: str) -> None:
        """Puts a relay in front of a runner and prepares its agent.

        :param number: index of the runner
        :param name: its id
        :param address: address and port of the runner
        """
        host = f"127.0.1.{number + 1}"
        runner_relay = self.on_reactor(lambda: self.new_relay(address))
        port = self.on_reactor(lambda: runner_relay.listen(host))
        self.relays.append(runner_relay)
        version = VERSIONS[number % len(VERSIONS)]
        self.control(
            runners={name: {"address": f"{host}:{port}", "version": version}}
        )
        if number < self.size.agents:
            self.agents.append(
                self.program(
                    "agent",
                    words.Machine(
                        f"agent-{number}",
                        host,
                        (self.first_port, self.first_port),
                        upstream=address,
                    ),
                )
            )

    def add_entry(self, number: int) -> None:
        """Prepares an entry that is not started yet.

        :param number: index of the entry
        """
        host = f"127.0.0.{number + 10}"
        front, ready = (f"{host}:{programs.free_port(host)}" for _ in range(2))
        machine = words.Machine(
            f"entry-{number}",
            host,
            (self.first_port, self.first_port),
            front=front,
            ready=ready,
        )
        program = self.program("entry", machine)
        program.address = front
        program.ready_address = ready
        self.entries.append(program)

    def program(self, role: str, machine: words.Machine) -> programs.Program:
        """Writes the settings file of a program.

        :param role: of the program
        :param machine: its addresses and ports
        :return: the program, not started
        """
        name = machine.instance
        settings_path = self.directory / f"{name}.toml"
        settings_path.write_text(
            words.boot(machine, self.store_address, site.BOUNDS),
            encoding="utf-8",
        )
        log_path = self.directory / f"{name}.log"
        return programs.Program(
            name,
            ("deploy.start", role, "--grants-by", self.grants_by),
            settings_path,
            log_path,
        )

    def stop(self) -> None:
        """Kills all processes that this soak test started."""
        for program in self.entries + self.agents:
            self.record_unexpected_exit(program)
            program.kill()
        self.platform.stop()

    # Helpers.

    def new_relay(self, address: str) -> relay.Relay:
        """Returns a relay to a server.

        :param address: address and port of the server
        :return: the relay, not yet listening
        """
        host, _, port = address.rpartition(":")
        return relay.Relay(self.reactor, (host, int(port)))

    def on_reactor(self, work: typing.Callable[[], typing.Any]) -> typing.Any:
        """Runs a function on the reactor's thread and waits for it.

        :param work: the function
        :return: its result
        :raises processes.ProcessError: when the reactor does not run it in
            time
        """
        done = threading.Event()
        result: list[typing.Any] = []

        def run() -> None:
            try:
                result.append(work())
            finally:
                done.set()

        self.reactor.callFromThread(run)
        if not done.wait(CALL_TIMEOUT_S):
            raise processes.ProcessError(
                f"the reactor did not respond within {CALL_TIMEOUT_S} s"
            )
        return result[0]

    def fetch(self, path: str) -> typing.Any:
        """Reads a page of the stand-in platform.

        :param path: of the page
        :return: decoded JSON
        """
        return self.call("GET", path)

    def control(self, **change: typing.Any) -> None:
        """Changes the behavior of the stand-in platform.

        :param change: JSON fields of its page /control
        """
        self.call("POST", "/control", json.dumps(change).encode())

    def call(self, method: str, path: str, body: bytes = b"") -> typing.Any:
        """Calls the stand-in platform directly, not through the relay.

        :param method: HTTP method
        :param path: of the page
        :param body: JSON
        :return: decoded JSON
        """
        connection = http.client.HTTPConnection(
            self.platform_address, timeout=CALL_TIMEOUT_S
        )
        connection.request(method, path, body)
        content = connection.getresponse().read()
        connection.close()
        return json.loads(content or b"null")

    def is_ready(self, entry: programs.Program) -> bool:
        """Sends an entry a readiness probe, as a balancer does.

        :param entry: the entry
        :return: whether it accepts new connections
        """
        connection = http.client.HTTPConnection(entry.ready_address, timeout=1)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == http.HTTPStatus.OK
        except OSError:
            return False
        finally:
            connection.close()

    # Configuration.

    def publish(self) -> int:
        """Publishes the configuration without withdrawn keys and routes.

        :return: its version
        """
        version = self.version
        self.control(config=site.configuration(version, self.withdrawn))
        self.version += 1
        return version

    def note_acknowledgements(self) -> None:
        """Lets withdrawals begin when the store had acknowledged them.

        One that it never acknowledged begins at the end.
        """
        acknowledged_ms = self.fetch("/acknowledged")
        for injected in self.injected_faults:
            if injected.version:
                injected.start_ms = acknowledged_ms.get(
                    str(injected.version), now_ms()
                )

    # Faults.

    def target_name(self, fault: plan.Fault) -> str:
        """Returns the name of the target of a fault.

        :param fault: one of the plan
        :return: name of a program or runner, else the kind of target
        """
        target_kind = plan.KINDS[fault.kind][0]
        if target_kind == "runner":
            return str(self.runners[fault.target])
        if target_kind in ("entry", "agent"):
            return f"{target_kind}-{fault.target}"
        return target_kind

    def set_crash_part(self, part: str) -> None:
        """Sets the part of prompts that crashes runners of models.

        :param part: its id, empty for none
        """
        self.crash_part = part
        models = [name for name in self.runners if name.startswith("i-model")]
        change = {"crash_part": part, "crash_down_ms": CRASH_DOWN_MS}
        self.control(runners=dict.fromkeys(models, change))

    def inject(self, fault: plan.Fault) -> InjectedFault:
        """Injects a fault.

        :param fault: one of the plan
        :return: its record, to be passed to :meth:`clear`
        """
        injected = InjectedFault(fault.kind, self.target_name(fault), now_ms())
        if fault.kind in plan.DRAIN_KINDS:
            self.note_signal(injected)
        else:
            self.injected_faults.append(injected)
        target_kind = plan.KINDS[fault.kind][0]
        if target_kind in ("entry", "agent"):
            self.signal_program(fault)
        elif target_kind == "configuration":
            injected.version = self.withdraw(fault.kind)
        elif fault.kind in RELAY_MODES:
            self.set_mode(fault, RELAY_MODES[fault.kind])
        else:
            self.inject_by_control(fault)
        return injected

    def note_signal(self, injected: InjectedFault) -> None:
        """Adds a further signal to the stop of the gateway that gets it.

        :param injected: the signal
        """
        for stop in self.injected_faults:
            if (
                stop.kind == "terminate_twice"
                and stop.target == injected.target
                and stop.end_ms is None
            ):
                stop.again_ms.append(injected.start_ms)

    def clear(self, fault: plan.Fault, injected: InjectedFault) -> None:
        """Ends a fault and restores its target.

        :param fault: one of the plan
        :param injected: what :meth:`inject` returned
        """
        target_kind = plan.KINDS[fault.kind][0]
        if target_kind == "configuration":
            injected.end_ms = now_ms()
            self.withdrawn[self.withdrawn_item(fault.kind)] -= 1
            self.publish()
            return
        if target_kind in ("entry", "agent"):
            injected.killed_ms = now_ms()
            self.restore_program(fault)
        elif fault.kind in RELAY_MODES:
            self.set_mode(fault, relay.PASS)
        elif fault.kind == "burst":
            self.has_burst = False
        elif fault.kind == "drain":
            self.control(runners={injected.target: {"state": "ready"}})
        elif fault.kind == "gone":
            self.control(runners={injected.target: {"gone": False}})
        elif fault.kind == "name_limit":
            self.control(runners={injected.target: {"limit_per_s": None}})
        elif fault.kind == "say_leaving":
            self.start_new_life(injected.target)
        elif fault.kind == "answers_unframed":
            self.control(runners={injected.target: {"unframed_every": 0}})
        elif fault.kind == "die_unframed":
            self.control(runners={injected.target: {"die_unframed": 0}})
        elif fault.kind == "crash_part":
            # A later fault may have replaced the part.
            if self.crash_part == crash_part_of(fault):
                self.set_crash_part("")
        injected.end_ms = now_ms()

    def start_new_life(self, runner: str) -> None:
        """Lets a runner that is leaving start again under its id.

        :param runner: its id
        """
        life = {"says_leaving": False, "born": now_ms()}
        self.control(runners={runner: life})

    def target_program(self, fault: plan.Fault) -> programs.Program:
        """Returns the program that is the target of a fault.

        :param fault: one of the plan
        :return: an entry or agent
        """
        group = (
            self.entries
            if plan.KINDS[fault.kind][0] == "entry"
            else self.agents
        )
        return group[fault.target]

    def signal_program(self, fault: plan.Fault) -> None:
        """Sends a program the signal of its fault.

        :param fault: one of the plan
        """
        program = self.target_program(fault)
        self.record_unexpected_exit(program)
        numbers = {
            "kill": signal.SIGKILL,
            "kill_agent": signal.SIGKILL,
            "terminate": signal.SIGTERM,
            **dict.fromkeys(plan.STOP_KINDS, signal.SIGTERM),
            "pause": signal.SIGSTOP,
            "pause_agent": signal.SIGSTOP,
            "reload": signal.SIGHUP,
            "terminate_twice": signal.SIGTERM,
            "hang_up_again": signal.SIGHUP,
            "terminate_again": signal.SIGTERM,
            "kill_all": signal.SIGKILL,
            "kill_series": signal.SIGKILL,
        }
        program.signal(numbers[fault.kind])

    def restore_program(self, fault: plan.Fault) -> None:
        """Resumes or restarts a program.

        :param fault: one of the plan
        """
        program = self.target_program(fault)
        if fault.kind in ("pause", "pause_agent"):
            program.signal(signal.SIGCONT)
        elif fault.kind not in ("reload", *plan.DRAIN_KINDS):
            if fault.kind in plan.GRACEFUL_KINDS:
                program.kill()
            self.record_unexpected_exit(program)
            program.start()

    def record_unexpected_exit(self, program: programs.Program) -> None:
        """Records if a program ended without a signal from this test.

        :param program: an entry or agent
        """
        ended = program.unexpected_exit()
        if ended:
            self.unexpected_exits.append(ended)

    def set_mode(self, fault: plan.Fault, mode: str) -> None:
        """Changes the mode of the relay that a fault affects.

        :param fault: one of the plan
        :param mode: mode constant of :mod:`relay`
        """
        chosen_relay = self.store_relay
        if plan.KINDS[fault.kind][0] == "runner":
            chosen_relay = self.relays[fault.target]
        self.on_reactor(lambda: chosen_relay.set_mode(mode))

    def inject_by_control(self, fault: plan.Fault) -> None:
        """Injects a fault of the stand-in platform or of a connection.

        :param fault: one of the plan
        """
        name = self.target_name(fault)
        if fault.kind == "store_away":
            self.control(away_ms=fault.duration_ms)
        elif fault.kind == "store_loses_writes":
            self.control(lose_writes_ms=fault.duration_ms)
        elif fault.kind == "store_forgets":
            self.control(forget=True)
        elif fault.kind == "store_restored":
            self.control(
                drill={
                    "away_ms": fault.duration_ms,
                    "copy_age_ms": COPY_AGE_MS,
                    "operator_ms": OPERATOR_REWRITE_MS,
                }
            )
        elif fault.kind == "say_leaving":
            self.control(runners={name: {"says_leaving": True}})
        elif fault.kind == "ask_pause":
            self.control(runners={name: {"pause_ms": fault.duration_ms}})
        elif fault.kind == "name_limit":
            per_s = 1 + fault.duration_ms % MAX_LIMIT_PER_S
            self.control(runners={name: {"limit_per_s": per_s}})
        elif fault.kind == "crash_part":
            self.set_crash_part(crash_part_of(fault))
        elif fault.kind == "burst":
            self.has_burst = True
        elif fault.kind == "store_reset":
            self.on_reactor(self.store_relay.reset)
        elif fault.kind == "reset":
            self.on_reactor(self.relays[fault.target].reset)
        elif fault.kind == "drain":
            self.control(runners={name: {"state": "draining"}})
        elif fault.kind == "gone":
            self.control(runners={name: {"gone": True}})
        else:
            self.control(runners={name: RUNNER_FAULTS[fault.kind]})

    def withdrawn_item(self, kind: str) -> str:
        """Returns what a configuration fault withdraws.

        :param kind: of the fault
        :return: a key or the name of a route
        """
        return site.GUEST_KEY if kind == "withdraw_key" else site.EXTRA_ROUTE

    def withdraw(self, kind: str) -> int:
        """Publishes a configuration without a key or route.

        :param kind: of the fault
        :return: version of the configuration
        """
        self.withdrawn[self.withdrawn_item(kind)] += 1
        return self.publish()
