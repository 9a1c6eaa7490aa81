"""The root of the project's errors.

Each layer derives its own error from :class:`GodwitloftError` and turns the
errors of the layer below into its own.
"""


class GodwitloftError(Exception):
    """Any error that this project raises on purpose."""


class UserError(GodwitloftError):
    """A mistake of the person who runs a command.

    It is caught once at the top of each program and printed without a
    traceback.
    """
