"""The interface to the platform's services that all adapters implement.

Each function returns a Deferred. It fails with :class:`StoreUnavailable` if
the store was not reached or refused the call before doing anything, and with
:class:`AnswerLost` if a write may or may not have taken effect.
"""

import dataclasses
import enum
import typing

from twisted.internet import defer

from godwitloft import errors

MAX_ROW_BYTES = 65_536
MAX_OBJECT_BYTES = 16_777_216


class Service(enum.Enum):
    """The platform's services, which fail independently of one another."""

    TABLES = "tables"
    OBJECTS = "objects"
    INSTANCES = "instances"
    WEIGHTS = "weights"


class PlatformError(errors.GodwitloftError):
    """A call to the platform failed."""


class StoreUnavailable(PlatformError):
    """The call had no effect; it may be retried later."""


class AnswerLost(PlatformError):
    """The call may have taken effect; read back before retrying it."""


class RateLimited(StoreUnavailable):
    """The platform's rate limit refused the call; it had no effect."""


class InvalidCall(PlatformError):
    """The call is invalid, so a retry is useless; it had no effect."""


@dataclasses.dataclass(frozen=True)
class Row:
    """One row of a table.

    :param key: key within the table
    :param value: content, at most ``MAX_ROW_BYTES`` long
    :param version: changes with every write and is never reused, not even
        after the row was deleted. Only 0, which means that no row exists,
        recurs: a late write that expects no row may take effect after the
        row was deleted or expired
    """

    key: str
    value: bytes
    version: int


@dataclasses.dataclass(frozen=True)
class Swapped:
    """A compare-and-swap took effect.

    :param row: the row that was written or deleted
    """

    row: Row


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A compare-and-swap found another version and changed nothing.

    :param row: the current row, None if there is none
    """

    row: Row | None


@dataclasses.dataclass(frozen=True)
class Instance:
    """One entry of the platform's lagging instance list.

    :param name: unique name of the instance
    :param role: ``entry`` or ``agent``
    :param address: its IP address
    :param port: TCP port of its links
    :param availability_zone: its availability zone
    :param pool: pool of an agent's upstream, empty for entries
    :param leaving: whether the platform is removing it
    """

    name: str
    role: str
    address: str
    port: int
    availability_zone: str
    pool: str = ""
    leaving: bool = False


def ignore_announcement(
    instance: Instance, time_to_live_ms: int
) -> defer.Deferred[None]:
    """Does nothing, for platforms that track their instances themselves.

    :param instance: unused
    :param time_to_live_ms: unused
    :return: fires at once
    """
    return defer.succeed(None)


@dataclasses.dataclass(frozen=True)
class Platform:
    """The platform's services as functions.

    Reads of tables and objects return the current state; only the instance
    list lags.

    :param read_row: ``(table, key)`` to the row or None
    :param write_row: ``(table, key, value, expected version, time to live
        in ms or None)``; expected version 0 means "no row yet"
    :param delete_row: ``(table, key, expected version)``
    :param list_rows: ``(table, key prefix)`` to rows in key order
    :param read_object: ``(name)`` to the content or None
    :param write_object: ``(name, content)``; objects never change, so a
        second write of the same content is harmless
    :param list_instances: ``()`` to the instances the platform knows
    :param read_weights: ``(name)``: gets a permit to load weights from the
        weight store
    :param announce_instance: ``(instance, time to live in ms)``: puts this
        process on the instance list until the time to live has passed
    """

    read_row: typing.Callable[[str, str], defer.Deferred[Row | None]]
    write_row: typing.Callable[
        [str, str, bytes, int, int | None],
        defer.Deferred[Swapped | Conflict],
    ]
    delete_row: typing.Callable[
        [str, str, int], defer.Deferred[Swapped | Conflict]
    ]
    list_rows: typing.Callable[[str, str], defer.Deferred[tuple[Row, ...]]]
    read_object: typing.Callable[[str], defer.Deferred[bytes | None]]
    write_object: typing.Callable[[str, bytes], defer.Deferred[None]]
    list_instances: typing.Callable[[], defer.Deferred[tuple[Instance, ...]]]
    read_weights: typing.Callable[[str], defer.Deferred[None]]
    announce_instance: typing.Callable[
        [Instance, int], defer.Deferred[None]
    ] = ignore_announcement
