"""A program under test as a process of a soak test."""

import dataclasses
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys

from bench import processes

# Below those that connections get: one of these could hold the port of a
# program that has not started yet, or is down.
PORTS = range(10_000, 32_000)


@dataclasses.dataclass(eq=False)
class Program:
    """A program under test and its process.

    :param name: name of the instance
    :param arguments: module and arguments for the Python interpreter
    :param settings_path: path of its settings file
    :param log_path: file that receives its output
    :param address: address and port for callers, empty for agents
    :param ready_address: address and port of the readiness probe
    :param child: the process, None before its start and after a recorded exit
    :param stop_requested: whether a signal asked it to end
    :param log_start: length of the log in bytes when the process started
    """

    name: str
    arguments: tuple[str, ...]
    settings_path: pathlib.Path
    log_path: pathlib.Path
    address: str = ""
    ready_address: str = ""
    child: subprocess.Popen[bytes] | None = None
    stop_requested: bool = False
    log_start: int = 0

    def start(self) -> None:
        """Starts the process unless it is running."""
        if self.child is not None and self.child.poll() is None:
            return
        self.stop_requested = False
        environment = dict(os.environ, GODWITLOFT_BOOT=str(self.settings_path))
        with self.log_path.open("ab") as output:
            self.log_start = output.tell()
            self.child = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                cwd=processes.ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process is running.

        :param number: of the signal
        """
        child = self.child
        if child is None or child.poll() is not None:
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.stop_requested = True
        child.send_signal(number)

    def unexpected_exit(self) -> str:
        """Reports whether the process ended without being asked to.

        :return: name and exit status as text, empty if it runs or ended as
            asked
        """
        if self.child is None or self.child.poll() is None:
            return ""
        allowed = [0, -signal.SIGKILL]
        if not self.has_logged():
            # Before the handler is installed, SIGTERM kills the process.
            allowed.append(-signal.SIGTERM)
        status = self.child.returncode
        self.child = None
        if self.stop_requested and status in allowed:
            return ""
        if status == -signal.SIGHUP and not self.has_logged():
            # No program can ignore it before its interpreter has started.
            return ""
        return f"{self.name} ended with {status}"

    def has_logged(self) -> bool:
        """Tells whether the process has written to its log since its start."""
        return self.log_path.stat().st_size > self.log_start

    def kill(self) -> None:
        """Kills the process and waits for it."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()


def free_port(host: str, kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Finds a free port.

    :param host: IP address
    :param kind: socket kind, TCP or UDP
    :return: the port
    :raises processes.ProcessError: when there is none
    """
    for number in random.SystemRandom().sample(PORTS, len(PORTS)):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind((host, number))
            except OSError:
                continue
            return number
    raise processes.ProcessError(f"{host} has no free port")
