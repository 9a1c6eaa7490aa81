"""The command ``godwitloft-agent``."""

from godwitloft import settings
from godwitloft.agent import daemon
from godwitloft.runtime import daemon_command
from godwitloft.runtime import process

COMMAND = daemon_command.build(
    "godwitloft-agent",
    "Pull requests from the entries for one upstream.",
    settings.AgentSettings,
    daemon.AgentDaemon,
)


def main(arguments: list[str] | None = None) -> None:
    """Runs the command.

    :param arguments: command-line arguments without the program name
    """
    process.invoke(COMMAND, arguments)


if __name__ == "__main__":
    main()
