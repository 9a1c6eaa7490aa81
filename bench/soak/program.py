"""One of our own programs as a process of a soak."""

import dataclasses
import os
import pathlib
import signal
import socket
import subprocess
import sys

from bench import processes


@dataclasses.dataclass(eq=False)
class Program:
    """One of our own programs.

    :param name: of the instance
    :param arguments: arguments of the interpreter
    :param settings_path: its settings file
    :param log_path: where its output goes
    :param address: where callers connect, empty for agents
    :param ready_address: where the balancer asks
    :param child: the process, None before its start and once it has ended
    :param stop_requested: whether a signal told it so
    :param log_start: length of the log when the process was started
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
        """Starts the process, if it doesn't run."""
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
        """Sends a signal, if the process runs.

        :param number: of the signal
        """
        child = self.child
        if child is None or child.poll() is not None:
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.stop_requested = True
        child.send_signal(number)

    def unexpected_exit(self) -> str:
        """Tells whether the process ended without being told to.

        :return: its exit status as text, empty if all is well
        """
        if self.child is None or self.child.poll() is None:
            return ""
        allowed = [0, -signal.SIGKILL]
        if not self.has_logged():
            # Until it handles signals, the system ends it.
            allowed.append(-signal.SIGTERM)
        status = self.child.returncode
        self.child = None
        if self.stop_requested and status in allowed:
            return ""
        return f"{self.name} ended with {status}"

    def has_logged(self) -> bool:
        """Tells whether the process has written its first line."""
        return self.log_path.stat().st_size > self.log_start

    def kill(self) -> None:
        """Ends the process and waits for it."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()


def free_port(host: str, kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Finds a free port.

    :param host: IP number
    :param kind: of TCP or of UDP
    :return: the port
    """
    with socket.socket(type=kind) as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])
