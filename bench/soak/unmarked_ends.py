"""Finds streams that may be short, as nothing marked their end."""

from bench.soak import callers
from bench.soak import history as histories


def is_short_at_unmarked_end(
    history: histories.History, record: callers.RequestRecord
) -> bool:
    """Tells whether a complete response is short where it is allowed to be.

    A runner that lives on and closes a connection between two events, without
    a length or chunks, looks like one that has sent all. A later run of the
    same request would have shown that it hasn't.

    :param history: with the runs
    :param record: a request
    :return: whether its response ends with the event after which its last run
        was closed, and isn't whole
    """
    last_run = history.last_run(record.id)
    if last_run is None or not record.is_complete:
        return False
    closed_after = last_run.closed_after
    if closed_after is None or closed_after >= record.events:
        return False
    expected = record.expected(closed_after)
    return bool(expected) and record.body == expected
