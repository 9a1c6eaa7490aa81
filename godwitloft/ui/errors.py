"""Errors and exit codes of the commands."""

import enum

from godwitloft import errors


class ExitCode(enum.IntEnum):
    """Exit codes of the commands."""

    OK = 0
    PROBLEMS = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4


class CommandError(errors.UserError):
    """A command can't be carried out.

    :param message: human-readable reason
    :param code: exit code of the command
    """

    def __init__(self, message: str, code: ExitCode) -> None:
        self.code = code
        super().__init__(message)


def exit_code_of(error: errors.UserError) -> ExitCode:
    """Returns the exit code for an error.

    :param error: error that ended the command
    :return: the error's own code, or the one for wrong usage
    """
    return error.code if isinstance(error, CommandError) else ExitCode.USAGE
