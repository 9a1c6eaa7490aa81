"""Decides when a gateway tries again to write its row after a failure.

What it used since the last row is lost if it is killed, and after an outage of
the store that is much, at all gateways. So a gateway with much to save tries
more often, and at once when any of its calls, or a peer's, was answered.
"""

import typing

from godwitloft import clock as clocks
from godwitloft.gateway.peers import store_contact


class SaveRetry:
    """When to write the row again.

    :param clock: source of the time
    :param contact: when the store is known to have been up
    :param is_urgent: returns whether much is unsaved
    :param urgent_delay_ms: returns the delay then
    """

    def __init__(
        self,
        clock: clocks.Clock,
        contact: store_contact.StoreContact,
        is_urgent: typing.Callable[[], bool],
        urgent_delay_ms: typing.Callable[[], int],
    ) -> None:
        self.clock = clock
        self.contact = contact
        self.is_urgent = is_urgent
        self.urgent_delay_ms = urgent_delay_ms
        # When the last try failed, None if it didn't.
        self.failed_ms: int | None = None
        self.due_ms = 0
        self.urgent_ms = 0

    def record_failure(self, delay_ms: int) -> None:
        """Records that the row could not be written.

        :param delay_ms: when to try again if little is unsaved
        """
        self.failed_ms = self.clock.monotonic_ms()
        self.due_ms = self.failed_ms + delay_ms
        urgent_ms = self.failed_ms + self.urgent_delay_ms()
        self.urgent_ms = min(self.due_ms, urgent_ms)

    def record_success(self) -> None:
        """Records that the row was written."""
        self.failed_ms = None

    def is_due(self) -> bool:
        """Returns whether the row may be written now."""
        now_ms = self.clock.monotonic_ms()
        if self.failed_ms is None or now_ms >= self.due_ms:
            return True
        if not self.is_urgent():
            return False
        up = self.contact.up
        was_answered = up is not None and up.until_ms > self.failed_ms
        return was_answered or now_ms >= self.urgent_ms
