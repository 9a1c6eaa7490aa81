"""A log handler that never blocks and limits its output rate."""

import collections
import logging
import os
import select
import time
import typing

from godwitloft import clock as clocks
from godwitloft import events

MAX_SAMPLED_LINES_PER_S = 400
MAX_LINES_PER_S = 800
# Of essential lines, beyond what all lines may have.
MAX_MORE_ESSENTIAL_LINES_PER_S = 400
MAX_PENDING_BYTES = 65_536
MAX_ESSENTIAL_PENDING_BYTES = 262_144
# A process that must end has no more time for its log.
FLUSH_LIMIT_MS = 100


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor that may be slow or full.

    Lines of sampled events have a lower limit than all lines, so that
    successes can't use up the limit needed for refusals and failures.
    Essential lines have a reserve of their own, which neither can use up.
    Lines above the limit are dropped and counted; the next written line holds
    the number of dropped lines.

    :param descriptor: file descriptor; it is set to non-blocking
    :param now_s: returns the monotonic time in seconds
    """

    def __init__(
        self,
        descriptor: int,
        now_s: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.now_s = now_s
        self.pending = bytearray()
        self.dropped: collections.Counter[str] = collections.Counter()
        self.second = 0
        self.lines = 0
        self.more_essential_lines = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or drops it.

        :param record: usually written by :func:`godwitloft.events.log`
        """
        importance = importance_of(record)
        if not self.may_write(importance):
            self.dropped[importance.value] += 1
            return
        if self.dropped:
            record.fields = {
                **getattr(record, "fields", {}),
                "dropped": self.dropped.total(),
                "dropped_of": dict(self.dropped),
            }
        line = self.format(record).encode() + b"\n"
        if not self.has_room(line, importance):
            self.write_pending()
        if not self.has_room(line, importance):
            self.dropped[importance.value] += 1
            return
        self.dropped.clear()
        self.pending += line
        self.write_pending()

    def may_write(self, importance: events.Importance) -> bool:
        """Counts a line against the limit of the current second.

        :param importance: of the line
        :return: whether the line may be written
        """
        second = int(self.now_s())
        if second != self.second:
            self.second = second
            self.lines = 0
            self.more_essential_lines = 0
        is_sampled = importance is events.Importance.SAMPLED
        limit = MAX_SAMPLED_LINES_PER_S if is_sampled else MAX_LINES_PER_S
        if self.lines < limit:
            self.lines += 1
            return True
        if importance is not events.Importance.ESSENTIAL:
            return False
        self.more_essential_lines += 1
        return self.more_essential_lines <= MAX_MORE_ESSENTIAL_LINES_PER_S

    def has_room(self, line: bytes, importance: events.Importance) -> bool:
        """Returns whether a line may wait for the reader.

        :param line: the line
        :param importance: of the line
        """
        is_essential = importance is events.Importance.ESSENTIAL
        limit = MAX_ESSENTIAL_PENDING_BYTES
        if not is_essential:
            limit = MAX_PENDING_BYTES
        return len(self.pending) + len(line) <= limit

    def flush(self) -> None:
        """Writes what is pending, and waits for a slow reader for a while.

        ``logging.shutdown`` calls it as the process ends. What is still
        pending then would be lost, and it is about the last requests.
        """
        if self.dropped:
            self.emit(dropped_record())
        end_s = time.monotonic() + FLUSH_LIMIT_MS / clocks.MS_PER_S
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        while self.pending:
            self.write_pending()
            left_ms = round((end_s - time.monotonic()) * clocks.MS_PER_S)
            if left_ms <= 0:
                return
            if self.pending:
                poll.poll(left_ms)

    def write_pending(self) -> None:
        """Writes as much as the descriptor accepts without blocking."""
        try:
            written = os.write(self.descriptor, self.pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe, so pending lines are dropped.
            self.pending.clear()
            return
        del self.pending[:written]


def importance_of(record: logging.LogRecord) -> events.Importance:
    """Returns how important a line is.

    :param record: usually written by :func:`godwitloft.events.log`
    """
    event = getattr(record, "event", None)
    if event is None:
        return events.Importance.NORMAL
    fields = getattr(record, "fields", {})
    if event is events.REQUEST_REFUSED and fields.get("runs"):
        # It was sent, so that it is a failure to its caller.
        return events.Importance.ESSENTIAL
    if "stopping_ms" in fields:
        # A process that ends writes few lines, and each may be asked for.
        return raised(event.importance)
    return event.importance


def raised(importance: events.Importance) -> events.Importance:
    """Returns the importance of a line of a planned stop.

    :param importance: of its event
    """
    if importance is events.Importance.SAMPLED:
        return events.Importance.NORMAL
    return importance


def dropped_record() -> logging.LogRecord:
    """Returns the line that tells at the end how many were dropped."""
    event = events.LINES_DROPPED
    record = logging.LogRecord(
        events.LOGGER_NAME, event.level, __file__, 0, event.text, (), None
    )
    record.event = event
    record.fields = {}
    return record
