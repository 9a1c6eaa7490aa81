"""What a check of a configuration finds."""

import dataclasses
import enum
import typing

from godwitloft import decode

MAX_NAMES_SHOWN = 5


class Severity(enum.Enum):
    """How much a finding matters."""

    # The entry can't be used, or callers are refused because of it.
    ERROR = "error"
    # The entry has no effect, or limits contradict each other.
    WARNING = "warning"


@dataclasses.dataclass(frozen=True)
class Finding:
    """Something wrong with one entry of a configuration.

    :param severity: how much it matters
    :param kind: ``route``, ``service``, ``team``, ``limits`` or
        ``configuration``
    :param name: name of the entry, empty for the limits or the whole
    :param field: dotted name of the field, empty for the whole entry
    :param reason: what is wrong
    """

    severity: Severity
    kind: str
    name: str
    field: str
    reason: str

    def __str__(self) -> str:
        """Returns the finding as one line."""
        entry = f"{self.kind} {decode.show(self.name)}"
        if not self.name:
            entry = self.kind
        field = f" field {self.field!r}:" if self.field else ""
        return f"{self.severity.value}: {entry}:{field} {self.reason}"


Findings = typing.Iterator[Finding]


def error(kind: str, name: str, field: str, reason: str) -> Finding:
    """Returns a finding that callers are refused because of.

    :param kind: kind of the entry
    :param name: name of the entry
    :param field: dotted name of the field
    :param reason: what is wrong
    """
    return Finding(Severity.ERROR, kind, name, field, reason)


def warning(kind: str, name: str, field: str, reason: str) -> Finding:
    """Returns a finding on something without effect or contradicting.

    :param kind: kind of the entry
    :param name: name of the entry
    :param field: dotted name of the field
    :param reason: what is wrong
    """
    return Finding(Severity.WARNING, kind, name, field, reason)


def shown(names: typing.Iterable[str]) -> str:
    """Returns some names for a reason.

    :param names: any number of names
    :return: the first of them in order, and how many there are besides
    """
    ordered = sorted(names)
    listed = ", ".join(map(decode.show, ordered[:MAX_NAMES_SHOWN]))
    more = len(ordered) - MAX_NAMES_SHOWN
    return f"{listed} and {more} more" if more > 0 else listed
