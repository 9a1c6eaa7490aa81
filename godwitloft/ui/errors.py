"""Errors of the commands, and the exit codes that they end with."""

import enum

from godwitloft import errors


class ExitCode(enum.IntEnum):
    """How a command ended, for scripts."""

    OK = 0
    PROBLEMS = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4


class CommandError(errors.UserError):
    """A command can't do what was asked.

    :param message: for people
    :param code: exit code of the command
    """

    def __init__(self, message: str, code: ExitCode) -> None:
        self.code = code
        super().__init__(message)


def exit_code_of(error: errors.UserError) -> ExitCode:
    """Returns the exit code for an error.

    :param error: caught at the top of the program
    :return: its own code, or the one for wrong usage
    """
    return error.code if isinstance(error, CommandError) else ExitCode.USAGE
