"""Errors of the layer that reads, checks and changes named objects."""

from godwitloft import errors


class ObjectsError(errors.UserError):
    """Named objects can't be read, found or changed as asked."""
