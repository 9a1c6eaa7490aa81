"""Compare-and-swap on the platform's table that tolerates lost answers.

A write whose answer was lost may have taken effect, may take effect later, or
may never take effect. Reading the row back detects the first case. The other
two need not be told apart: a later attempt with the same expected version
either succeeds or finds the row changed, and row versions are never reused.
"""

import typing

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task

from godwitloft import clock as clocks
from godwitloft.store import port

IsOurs = typing.Callable[[bytes], bool]


async def compare_and_swap(
    platform: port.Platform,
    table: str,
    key: str,
    value: bytes,
    version: int,
    is_ours: IsOurs | None = None,
    time_to_live_ms: int | None = None,
) -> port.Swapped | port.Conflict:
    """Writes a row if it still has the expected version.

    :param platform: the platform that holds the table
    :param table: name of the table
    :param key: key of the row
    :param value: new content; it must differ from the content that any other
        writer or an earlier operation writes, for example by a unique token
    :param version: expected version; 0 if the row must not exist
    :param is_ours: whether a row's content was written by this operation; by
        default, whether it equals ``value``
    :param time_to_live_ms: milliseconds after which the platform may drop
        the row
    :return: ``Swapped`` if the row holds the new content, else ``Conflict``
    :raises port.StoreUnavailable: if nothing was written
    :raises port.AnswerLost: if the answer was lost and reading back didn't
        show the new content; the write may still take effect until the row
        has another version than the expected one
    """
    ours = is_ours or (lambda found: found == value)
    try:
        answer = await platform.write_row(
            table, key, value, version, time_to_live_ms
        )
    except port.AnswerLost as error:
        row = await _read_back(platform, table, key)
        if row is not None and ours(row.value):
            return port.Swapped(row)
        raise error
    if isinstance(answer, port.Conflict) and answer.row is not None:
        if ours(answer.row.value):
            return port.Swapped(answer.row)
    return answer


async def _read_back(
    platform: port.Platform, table: str, key: str
) -> port.Row | None:
    try:
        return await platform.read_row(table, key)
    except port.PlatformError as error:
        # The write before this read may have taken effect.
        raise port.AnswerLost(str(error)) from error


def sleep(
    scheduler: interfaces.IReactorTime, duration_ms: float
) -> defer.Deferred[None]:
    """Waits without blocking.

    :param scheduler: a reactor, or a manually advanced clock in tests
    :param duration_ms: how long to wait, in milliseconds
    :return: fires with None after the duration
    """
    seconds = max(0.0, duration_ms) / clocks.MS_PER_S
    return task.deferLater(scheduler, seconds, lambda: None)


def backoff_ms(
    attempt: int, first_ms: int, longest_ms: int, random: float
) -> float:
    """Returns an exponential backoff with jitter.

    The wait is drawn from the upper half of a range that doubles with each
    attempt, so that colliding writers spread out and none retries at once.

    :param attempt: 0 before the first retry
    :param first_ms: upper end of the range before the first retry, in
        milliseconds
    :param longest_ms: upper bound of every wait, in milliseconds
    :param random: random number from 0 to 1
    :return: milliseconds to wait
    """
    ceiling = min(longest_ms, first_ms * 2 ** min(attempt, 20))
    return ceiling * (0.5 + random / 2)
