"""Runs the program of a daemon.

Sets up logs, runs the reactor, drains on SIGTERM and SIGINT and prints user
errors without a traceback.
"""

import collections
import dataclasses
import signal
import sys
import typing

import godwitloft
from godwitloft import errors
from godwitloft import events

EXIT_USAGE = 2


@dataclasses.dataclass(frozen=True)
class Program:
    """Functions of a daemon that its program calls.

    :param start: starts the daemon
    :param drain: stops accepting work, and calls its argument once all work
        is finished or the drain limit has passed
    :param stop: closes everything immediately
    """

    start: typing.Callable[[], object]
    drain: typing.Callable[[typing.Callable[[], None]], None]
    stop: typing.Callable[[], None]


def run(reactor: typing.Any, program: Program) -> None:
    """Runs a daemon until it is stopped by a signal.

    The first signal drains it. SIGTERM may come again while it drains, as
    supervisors repeat it, and changes nothing then. A second SIGINT, as typed
    at a terminal, stops it immediately.

    :param reactor: the twisted reactor
    :param program: the daemon
    """
    received: collections.Counter[signal.Signals] = collections.Counter()

    def stop() -> None:
        program.stop()
        reactor.callLater(0, reactor.stop)

    def on_signal(number: int, _frame: object) -> None:
        reactor.callFromThread(heed, signal.Signals(number))

    def heed(number: signal.Signals) -> None:
        draining = received.total() > 0
        events.log(
            events.STOP_SIGNALLED, signal=number.name, draining=draining
        )
        received[number] += 1
        if not draining:
            program.drain(stop)
        elif received[signal.SIGINT] > 1:
            stop()

    def start() -> None:
        signal.signal(signal.SIGTERM, on_signal)
        signal.signal(signal.SIGINT, on_signal)
        program.start()

    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)


class Daemon(typing.Protocol):
    """Interface of entries and agents to their program."""

    on_drained: typing.Callable[[], None]

    def start(self) -> int:
        """Starts the daemon."""

    def drain(self, done: typing.Callable[[], None]) -> None:
        """Stops accepting work and calls ``done`` once it may stop."""

    def stop(self) -> None:
        """Closes everything immediately."""


def run_daemon(reactor: typing.Any, daemon: Daemon) -> None:
    """Runs a daemon until a signal or an operator stops it.

    :param reactor: the twisted reactor
    :param daemon: an entry or an agent
    """

    def end() -> None:
        daemon.stop()
        reactor.callLater(0, reactor.stop)

    daemon.on_drained = end
    run(
        reactor,
        Program(start=daemon.start, drain=daemon.drain, stop=daemon.stop),
    )


def invoke(command: type, arguments: list[str] | None = None) -> None:
    """Runs a program's command line.

    :param command: cappa's description of the command
    :param arguments: words after the program's name; default: those of the
        process
    """
    # Imported here since daemons without a command line start faster
    # without cappa.
    import cappa

    try:
        cappa.invoke(command, argv=arguments, version=godwitloft.__version__)
    except errors.UserError as error:
        print(f"{sys.argv[0]}: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def configure_log(log: typing.Any) -> None:
    """Sets up logs according to the settings.

    :param log: settings of the log
    """
    events.configure(log.level.value, log.style.value)
