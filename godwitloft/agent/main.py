"""The command ``godwitloft-agent``."""

import dataclasses
import typing

import cappa

from godwitloft import clock as clocks
from godwitloft import metrics
from godwitloft import node as nodes
from godwitloft import process
from godwitloft import settings as settings_module
from godwitloft.agent import daemon as daemons


@cappa.command(name="serve", help="Run the daemon.")
@dataclasses.dataclass(frozen=True)
class Serve:
    """Runs the daemon.

    :param settings: name of the settings file
    """

    settings: typing.Annotated[
        str, cappa.Arg(long=True, help="Settings file (JSON).")
    ]

    def __call__(self) -> None:
        """Serves until a signal has ended the daemon."""
        loaded = settings_module.load(
            self.settings, settings_module.AgentSettings
        )
        process.configure_log(loaded.log)
        from twisted.internet import reactor

        instruments, render = metrics.prometheus()
        daemon = daemons.AgentDaemon(
            loaded,
            nodes.Surroundings(
                reactor=reactor,
                clock=clocks.system_clock(),
                instruments=instruments,
                render_metrics=render,
            ),
        )
        process.run_daemon(reactor, daemon)


@cappa.command(name="check-settings", help="Check a settings file.")
@dataclasses.dataclass(frozen=True)
class CheckSettings:
    """Checks a settings file and tells what is wrong with it.

    :param settings: name of the settings file
    """

    settings: typing.Annotated[str, cappa.Arg(help="Settings file (JSON).")]

    def __call__(self) -> None:
        """Prints ``ok``, or exits with 2 and the reason."""
        settings_module.load(self.settings, settings_module.AgentSettings)
        print("ok")


@cappa.command(
    name="godwitloft-agent", help="Pull requests for the upstream beside it."
)
@dataclasses.dataclass(frozen=True)
class Command:
    """The whole command.

    :param command: what to do
    """

    command: cappa.Subcommands[Serve | CheckSettings]


def main(arguments: list[str] | None = None) -> None:
    """Runs the command line.

    :param arguments: words after the program's name
    """
    process.invoke(Command, arguments)


if __name__ == "__main__":
    main()
