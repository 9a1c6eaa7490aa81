"""The command ``godwitloft-agent``."""

from godwitloft import daemon_command
from godwitloft import process
from godwitloft import settings
from godwitloft.agent import daemon

COMMAND = daemon_command.build(
    "godwitloft-agent",
    "Pull requests for the upstream beside it.",
    settings.AgentSettings,
    daemon.AgentDaemon,
)


def main(arguments: list[str] | None = None) -> None:
    """Runs the command line.

    :param arguments: words after the program's name
    """
    process.invoke(COMMAND, arguments)


if __name__ == "__main__":
    main()
