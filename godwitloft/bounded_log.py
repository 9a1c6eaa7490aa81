"""A log handler that never blocks and limits its output rate."""

import logging
import os
import select
import time
import typing

from godwitloft import clock as clocks

MAX_SAMPLED_LINES_PER_S = 400
MAX_LINES_PER_S = 800
MAX_PENDING_BYTES = 65_536
# A process that must end has no more time for its log.
FLUSH_LIMIT_MS = 200


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor that may be slow or full.

    Lines of sampled events have a lower limit than all lines, so that
    successes can't use up the limit needed for refusals and failures. Lines
    above the limit are dropped and counted; the next written line holds the
    number of dropped lines.

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
        self.pending = b""
        self.dropped = 0
        self.second = 0
        self.lines = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or drops it.

        :param record: usually written by :func:`godwitloft.events.log`
        """
        event = getattr(record, "event", None)
        if not self.may_write(event is not None and event.sampled):
            self.dropped += 1
            return
        if self.dropped:
            fields = dict(getattr(record, "fields", {}), dropped=self.dropped)
            record.fields = fields
        line = self.format(record).encode() + b"\n"
        if len(self.pending) + len(line) > MAX_PENDING_BYTES:
            self.write_pending()
        if len(self.pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self.dropped = 0
        self.pending += line
        self.write_pending()

    def may_write(self, sampled: bool) -> bool:
        """Counts a line against the limit of the current second.

        :param sampled: whether its event is sampled
        :return: whether the line may be written
        """
        second = int(self.now_s())
        if second != self.second:
            self.second = second
            self.lines = 0
        limit = MAX_SAMPLED_LINES_PER_S if sampled else MAX_LINES_PER_S
        if self.lines >= limit:
            return False
        self.lines += 1
        return True

    def flush(self) -> None:
        """Writes what is pending, and waits for a slow reader for a while.

        ``logging.shutdown`` calls it as the process ends. What is still
        pending then would be lost, and it is about the last requests.
        """
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
            self.pending = b""
            return
        self.pending = self.pending[written:]
