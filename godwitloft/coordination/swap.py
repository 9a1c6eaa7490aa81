"""Compare-and-set on the platform's table that survives lost answers.

A write whose answer was lost may have taken effect, may take effect later,
or may never do so. Reading back tells the first case. The others need no
decision: a later attempt with the same expected version either wins or finds
the row changed, and a row version never comes back.
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

    :param platform: where the table is
    :param table: name of the table
    :param key: key of the row
    :param value: new content; it must differ from what any other writer or
        an earlier intent would write, for example by a token in it
    :param version: expected version; 0 when there should be no row
    :param is_ours: tells whether a row's content comes from this intent;
        by default, whether it equals ``value``
    :param time_to_live_ms: when the platform may drop the row
    :return: whether the row holds what was to be written
    :raises port.StoreUnavailable: when nothing was written
    :raises port.AnswerLost: when the answer was lost and reading back didn't
        show the new content; the write may still come into effect later, but
        no more once the row has another version than the expected one
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
        # The read had no effect, but the write before it may have had one.
        raise port.AnswerLost(str(error)) from error


def sleep(
    scheduler: interfaces.IReactorTime, duration_ms: float
) -> defer.Deferred[None]:
    """Waits without blocking.

    :param scheduler: a reactor, or a driven clock in tests
    :param duration_ms: how long
    :return: fires with None after the duration
    """
    seconds = max(0.0, duration_ms) / clocks.MS_PER_S
    return task.deferLater(scheduler, seconds, lambda: None)


def backoff_ms(
    attempt: int, first_ms: int, longest_ms: int, random: float
) -> float:
    """Returns how long to wait before an attempt.

    The wait is drawn from the upper half of a doubling range: writers that
    collided spread out, and none tries again at once.

    :param attempt: 0 before the first repetition
    :param first_ms: upper end of the range of the first repetition
    :param longest_ms: upper bound of any wait
    :param random: from 0 to 1
    :return: milliseconds
    """
    ceiling = min(longest_ms, first_ms * 2 ** min(attempt, 20))
    return ceiling * (0.5 + random / 2)
