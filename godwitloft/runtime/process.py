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
    :param is_draining: returns whether it drains, for whatever reason
    :param stop: ends the program immediately, see :func:`stopper`
    """

    start: typing.Callable[[], object]
    drain: typing.Callable[[typing.Callable[[], None]], None]
    is_draining: typing.Callable[[], bool]
    stop: typing.Callable[[], None]


def stopper(
    reactor: typing.Any, close: typing.Callable[[], None]
) -> typing.Callable[[], None]:
    """Returns a function that ends a program, and does so once only.

    :param reactor: the twisted reactor
    :param close: closes all that the program holds
    :return: closes it and stops the reactor
    """
    stopped = False

    def stop() -> None:
        nonlocal stopped
        if stopped:
            return
        stopped = True
        close()
        reactor.callLater(0, reactor.stop)

    return stop


def run(reactor: typing.Any, program: Program) -> None:
    """Runs a daemon until it is stopped by a signal.

    The first signal drains it. SIGTERM may come again while it drains, as
    supervisors repeat it, and changes nothing then. A second SIGINT, as typed
    at a terminal, stops it immediately.

    :param reactor: the twisted reactor
    :param program: the daemon
    """
    received: collections.Counter[signal.Signals] = collections.Counter()

    def on_signal(number: int, _frame: object) -> None:
        reactor.callFromThread(heed, signal.Signals(number))

    def heed(number: signal.Signals) -> None:
        draining = program.is_draining()
        events.log(
            events.STOP_SIGNALLED, signal=number.name, draining=draining
        )
        received[number] += 1
        if not draining:
            program.drain(program.stop)
        elif received[signal.SIGINT] > 1:
            program.stop()

    def start() -> None:
        signal.signal(signal.SIGTERM, on_signal)
        signal.signal(signal.SIGINT, on_signal)
        program.start()

    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)
    ignore_signals()


def ignore_signals() -> None:
    """Ignores further signals, as the process ends anyway.

    The interpreter removes its handlers before it has ended, and then a
    signal would end the process with a status that tells of a failure.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)


class Daemon(typing.Protocol):
    """Interface of entries and agents to their program."""

    on_drained: typing.Callable[[], None]

    def start(self) -> int:
        """Starts the daemon."""

    def drain(self, done: typing.Callable[[], None]) -> None:
        """Stops accepting work and calls ``done`` once it may stop."""

    def is_draining(self) -> bool:
        """Returns whether it drains, by a signal or an operator's order."""

    def stop(self) -> None:
        """Closes everything immediately."""


def run_daemon(reactor: typing.Any, daemon: Daemon) -> None:
    """Runs a daemon until a signal or an operator stops it.

    :param reactor: the twisted reactor
    :param daemon: an entry or an agent
    """

    stop = stopper(reactor, daemon.stop)
    daemon.on_drained = stop
    run(
        reactor,
        Program(
            start=daemon.start,
            drain=daemon.drain,
            is_draining=daemon.is_draining,
            stop=stop,
        ),
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
