"""Base classes of the project's exceptions.

Each layer derives its own exception from :class:`GodwitloftError` and
converts the exceptions of the layer below.
"""


class GodwitloftError(Exception):
    """Base class of all exceptions that this project raises."""


class UserError(GodwitloftError):
    """An error made by the user of a command.

    The main function of each program catches it and prints it without a
    traceback.
    """
