"""Builds the command line of a daemon's program.

Entries and agents have the same commands; only their settings and the
daemon that is started differ.
"""

import dataclasses
import typing

import cappa

from godwitloft import clock as clocks
from godwitloft import metrics
from godwitloft import settings as settings_module
from godwitloft.runtime import node as nodes
from godwitloft.runtime import process

MakeDaemon = typing.Callable[[typing.Any, nodes.Dependencies], process.Daemon]


def build(
    name: str,
    description: str,
    kind: type[settings_module.CommonSettings],
    make_daemon: MakeDaemon,
) -> type:
    """Returns cappa's description of a daemon's program.

    :param name: name of the program
    :param description: help text
    :param kind: class of its settings
    :param make_daemon: creates the daemon from ``(settings, dependencies)``
    :return: a command with ``serve`` and ``check-settings``
    """

    @cappa.command(name="serve", help="Run the daemon.")
    @dataclasses.dataclass(frozen=True)
    class Serve:
        """Runs the daemon until a signal or an operator stops it."""

        settings: typing.Annotated[
            str, cappa.Arg(long=True, help="Settings file (JSON).")
        ]

        def __call__(self) -> None:
            """Loads the settings and runs the daemon."""
            serve(settings_module.load(self.settings, kind), make_daemon)

    @cappa.command(name="check-settings", help="Check a settings file.")
    @dataclasses.dataclass(frozen=True)
    class CheckSettings:
        """Prints ``ok``, or exits with 2 and the reason."""

        settings: typing.Annotated[
            str, cappa.Arg(help="Settings file (JSON).")
        ]

        def __call__(self) -> None:
            """Checks the file."""
            settings_module.load(self.settings, kind)
            print("ok")

    @cappa.command(name=name, help=description)
    @dataclasses.dataclass(frozen=True)
    class Command:
        """The command line of the program."""

        command: cappa.Subcommands[Serve | CheckSettings]

    return Command


def serve(
    settings: settings_module.CommonSettings, make_daemon: MakeDaemon
) -> None:
    """Runs a daemon on the reactor of this process.

    :param settings: validated settings
    :param make_daemon: creates the daemon from ``(settings, dependencies)``
    """
    process.configure_log(settings.log)
    reactor = clocks.monotonic_reactor()
    instruments, render = metrics.prometheus()
    dependencies = nodes.Dependencies(
        reactor=reactor,
        clock=clocks.system_clock(),
        instruments=instruments,
        render_metrics=render,
    )
    process.run_daemon(reactor, make_daemon(settings, dependencies))
