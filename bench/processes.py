"""Starts, monitors and stops the processes of an experiment."""

import dataclasses
import json
import pathlib
import signal
import subprocess
import sys
import typing

import psutil

ROOT = pathlib.Path(__file__).resolve().parents[1]
STOP_TIMEOUT_S = 20


class ProcessError(Exception):
    """A process of an experiment failed to start or to stay up."""


@dataclasses.dataclass(frozen=True)
class Usage:
    """Resource usage of a process.

    :param cpu_ms: processor time since its start, user and system
    :param rss_bytes: current resident memory
    """

    cpu_ms: float
    rss_bytes: int


class Process:
    """A child process whose output goes to files.

    :param name: used in messages and file names
    :param arguments: module and arguments for the Python interpreter
    :param directory: directory for its output files
    """

    def __init__(
        self,
        name: str,
        arguments: typing.Sequence[str],
        directory: pathlib.Path,
    ) -> None:
        self.name = name
        self.stdout_path = directory / f"{name}.out"
        self.stderr_path = directory / f"{name}.err"
        with (
            self.stdout_path.open("wb") as stdout,
            self.stderr_path.open("wb") as stderr,
        ):
            self.child = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=ROOT,
                stdout=stdout,
                stderr=stderr,
            )
        self.stats = psutil.Process(self.child.pid)
        self.terminated = False

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.child.poll() is None

    def find(self, path: pathlib.Path, key: str) -> typing.Any:
        """Searches the JSON lines of an output file for a key.

        :param path: the file
        :param key: the key
        :return: its value in the first line that has it, or None
        """
        with path.open(encoding="utf-8") as lines:
            for line in lines:
                try:
                    value = json.loads(line)
                except ValueError:
                    continue
                if isinstance(value, dict) and key in value:
                    return value[key]
        return None

    def logged(self, key: str) -> typing.Any:
        """Searches the log of the process for a key.

        :param key: the key
        :return: its value, or None until it appears
        :raises ProcessError: when the process has ended without it
        """
        return self.find_or_fail(self.stderr_path, key)

    def printed(self, key: str) -> typing.Any:
        """Searches the standard output of the process for a key.

        :param key: the key
        :return: its value, or None until it appears
        :raises ProcessError: when the process has ended without it
        """
        return self.find_or_fail(self.stdout_path, key)

    def find_or_fail(self, path: pathlib.Path, key: str) -> typing.Any:
        """Searches an output file for a key and fails if the process ended.

        :param path: the file
        :param key: the key
        :return: its value, or None until it appears
        :raises ProcessError: when the process has ended without it
        """
        found = self.find(path, key)
        if found is None and not self.running:
            text = self.stderr_path.read_text(encoding="utf-8")
            raise ProcessError(f"{self.name} ended: {text[-2000:]}")
        return found

    def usage(self) -> Usage:
        """Returns the resource usage of the process.

        :return: processor time and memory
        """
        times = self.stats.cpu_times()
        return Usage(
            cpu_ms=1000 * (times.user + times.system),
            rss_bytes=self.stats.memory_info().rss,
        )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process is still running.

        :param number: signal number
        """
        if self.running:
            self.child.send_signal(number)

    def terminate(self) -> None:
        """Sends SIGTERM, at most once; also resumes a paused process."""
        if not self.terminated:
            self.terminated = True
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGTERM)

    def stop(self) -> None:
        """Terminates the process and waits; kills it after a timeout."""
        self.terminate()
        try:
            self.child.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()
