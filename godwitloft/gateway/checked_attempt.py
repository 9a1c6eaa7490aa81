"""Starts an attempt only if its upstream is still the process that is listed.

An upstream may have started again under its identity, as another version of
its software, and the list shows that later than its port does. Where a stream
goes on, that would join the texts of two versions.
"""

import enum
import typing

from godwitloft import attempt as attempts


class Found(enum.Enum):
    """What a check found at an upstream's address."""

    SAME = "same"
    REPLACED = "upstream_replaced"
    # It may be about to start.
    NO_ANSWER = "no_report"
    # It has answered, and doesn't tell when it started.
    UNTOLD = "untold"


OnChecked = typing.Callable[[Found], None]
MAY_BE_SENT = (Found.SAME, Found.UNTOLD)


class CheckedAttempt:
    """An attempt, from the question to its upstream on.

    :param check: finds out which process has the upstream's address
    :param start: starts the attempt
    :param on_end: called with the kind of the end and its reason if the listed
        process isn't there: nothing is sent
    """

    def __init__(
        self,
        check: typing.Callable[[OnChecked], None],
        start: typing.Callable[[], attempts.Attempt],
        on_end: typing.Callable[[attempts.End, str], None],
    ) -> None:
        self.check = check
        self.start = start
        self.on_end = on_end
        self.attempt: attempts.Attempt | None = None
        self.ended = False

    def begin(self) -> None:
        """Asks the upstream."""
        self.check(self.on_checked)

    def on_checked(self, found: Found) -> None:
        """Starts the attempt unless another process would get it.

        :param found: what is known of the process
        """
        if self.ended:
            return
        if found in MAY_BE_SENT:
            self.attempt = self.start()
        else:
            self.end(attempts.End.NOT_SENT, found.value)

    @property
    def sent(self) -> bool:
        """Whether the request may have reached the upstream."""
        return self.attempt is not None and self.attempt.sent

    @property
    def is_closed(self) -> bool:
        """Whether the upstream has closed the connection of an answer."""
        return self.attempt is not None and self.attempt.is_closed

    def end(self, how: attempts.End, reason: str) -> None:
        """Ends the attempt and reports it.

        :param how: kind of the end
        :param reason: short name for logs and metrics
        """
        if self.attempt is not None:
            self.attempt.end(how, reason)
        elif not self.ended:
            self.ended = True
            self.on_end(how, reason)

    def conclude(self) -> None:
        """Ends an answer that is closed without waiting for a check."""
        if self.attempt is not None:
            self.attempt.conclude()

    def cancel(self) -> None:
        """Ends the attempt without a report."""
        self.ended = True
        if self.attempt is not None:
            self.attempt.cancel()

    def pause_reading(self, paused: bool) -> None:
        """Pauses or continues reading the answer.

        :param paused: True to pause, False to continue
        """
        if self.attempt is not None:
            self.attempt.pause_reading(paused)
