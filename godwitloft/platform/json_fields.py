"""Typed access to the fields of JSON objects that other processes wrote.

Any field may hold anything. One that can't be used raises :class:`RowError`,
which names it; no other error leaves this module.
"""

import typing

from godwitloft import decode
from godwitloft import errors

# The largest whole number that all readers of JSON read alike (RFC 8259).
MAX_NUMBER = 2**53 - 1

Choice = typing.TypeVar("Choice")


class RowError(errors.GodwitloftError):
    """A row is invalid.

    :param row: table and key of the row
    :param field: dotted name of the wrong field, empty for the whole row
    :param reason: what is wrong with it
    """

    def __init__(self, row: str, field: str, reason: str) -> None:
        self.row = row
        self.field = field
        self.reason = reason
        super().__init__(f"row {row}: field {field!r}: {reason}")


class Fields:
    """Typed access to the fields of one JSON object.

    :param row: table and key of the row, for error messages
    :param path: dotted name of the object in the row, empty for the whole row
    :param value: the decoded JSON
    :raises RowError: if it isn't an object
    """

    def __init__(self, row: str, path: str, value: object) -> None:
        self.row = row
        self.path = path
        if not isinstance(value, dict):
            raise RowError(row, path, f"{decode.show(value)} is not an object")
        self.value: dict[str, typing.Any] = value

    def error(self, name: str, reason: str) -> RowError:
        """Returns an error about a field, for the caller to raise.

        :param name: name of the field
        :param reason: what is wrong with it
        :return: the error
        """
        path = f"{self.path}.{name}" if self.path else name
        return RowError(self.row, path, reason)

    def wrong(self, name: str, value: object, reason: str) -> RowError:
        """Returns an error about a field's value, for the caller to raise.

        :param name: name of the field
        :param value: its value, of any type
        :param reason: what is wrong with it
        :return: the error
        """
        return self.error(name, f"{decode.show(value)} {reason}")

    def text(self, name: str) -> str:
        """Returns a required, non-empty string of printable characters.

        :param name: name of the field
        :return: its value
        :raises RowError: if it is missing or anything else
        """
        value = self.value.get(name)
        if not isinstance(value, str) or not value:
            raise self.wrong(name, value, "is not a string")
        if not value.isprintable():
            raise self.wrong(name, value, "can't be sent in a header")
        return value

    def choice(
        self, name: str, choices: typing.Mapping[str, Choice]
    ) -> Choice:
        """Returns what one of several words stands for.

        :param name: name of the field
        :param choices: meaning of each word
        :return: the meaning of the field's word
        :raises RowError: if it is anything else, of any type
        """
        value = self.value.get(name)
        if not isinstance(value, str) or value not in choices:
            words = ", ".join(map(repr, choices))
            raise self.wrong(name, value, f"is not one of {words}")
        return choices[value]

    def number(self, name: str, default: float | None = None) -> float:
        """Returns a number from 0 to :data:`MAX_NUMBER`.

        :param name: name of the field
        :param default: value if the field is missing; None: it is required
        :return: its value
        :raises RowError: if it is anything else
        """
        value = self.value.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.wrong(name, value, "is not a number")
        if not 0 <= value <= MAX_NUMBER:
            raise self.wrong(name, value, "is out of range")
        return value

    def whole(
        self, name: str, most: int = MAX_NUMBER, default: int | None = None
    ) -> int:
        """Returns a whole number that isn't negative.

        :param name: name of the field
        :param most: the largest number that is accepted
        :param default: value if the field is missing; None: it is required
        :return: its value
        :raises RowError: if it is anything else
        """
        value = self.number(name, default)
        if value != int(value) or value > most:
            reason = f"is not a whole number up to {most}"
            raise self.wrong(name, value, reason)
        return int(value)

    def flag(self, name: str) -> bool:
        """Returns a boolean, False if the field is missing.

        :param name: name of the field
        :return: its value
        :raises RowError: if it is anything else
        """
        value = self.value.get(name, False)
        if not isinstance(value, bool):
            raise self.wrong(name, value, "is not true or false")
        return value

    def items(self, name: str) -> list[typing.Any]:
        """Returns a list, an empty one if the field is missing.

        :param name: name of the field
        :return: its value
        :raises RowError: if it is anything else
        """
        value = self.value.get(name, [])
        if not isinstance(value, list):
            raise self.wrong(name, value, "is not a list")
        return value

    def texts(self, name: str) -> tuple[str, ...]:
        """Returns a list of strings, an empty one if the field is missing.

        :param name: name of the field
        :return: its value
        :raises RowError: if it is anything else
        """
        values = self.items(name)
        if not all(isinstance(value, str) for value in values):
            raise self.wrong(name, values, "is not a list of strings")
        return tuple(values)

    def numbers(self, name: str) -> tuple[float, ...]:
        """Returns a list of numbers, an empty one if the field is missing.

        :param name: name of the field
        :return: its value
        :raises RowError: if an entry isn't a finite number or is negative
        """
        values = {
            str(index): value for index, value in enumerate(self.items(name))
        }
        path = f"{self.path}.{name}" if self.path else name
        entries = Fields(self.row, path, values)
        return tuple(entries.number(index) for index in values)

    def objects(self, name: str, required: bool = False) -> "list[Fields]":
        """Returns a list of objects, an empty one if the field is missing.

        :param name: name of the field
        :param required: whether the field must not be missing
        :return: the objects
        :raises RowError: if an entry isn't an object
        """
        if required and name not in self.value:
            raise self.error(name, "is missing")
        path = f"{self.path}.{name}" if self.path else name
        return [
            Fields(self.row, f"{path}[{index}]", value)
            for index, value in enumerate(self.items(name))
        ]
