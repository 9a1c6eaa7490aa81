"""The command ``godwitloft-entry``."""

from godwitloft import settings
from godwitloft.entry import daemon
from godwitloft.runtime import daemon_command
from godwitloft.runtime import process

COMMAND = daemon_command.build(
    "godwitloft-entry",
    "Accept requests and let agents pull them.",
    settings.EntrySettings,
    daemon.EntryDaemon,
)


def main(arguments: list[str] | None = None) -> None:
    """Runs the command line.

    :param arguments: words after the program's name
    """
    process.invoke(COMMAND, arguments)


if __name__ == "__main__":
    main()
