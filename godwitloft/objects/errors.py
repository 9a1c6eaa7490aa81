"""Errors raised while reading, checking and changing named objects."""

from godwitloft import errors


class ObjectsError(errors.UserError):
    """A named object can't be read, found or changed as requested."""
