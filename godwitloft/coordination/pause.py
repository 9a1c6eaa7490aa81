"""Detects that this process was paused, by gaps in its own clocks.

The monotonic clock of a stopped process jumps. On a suspended host it may
not: some systems stop the monotonic clock too, and only the wall clock jumps.
So both clocks are compared. Adjusting the wall clock also looks like a pause,
which costs no more than one lease renewal.
"""

import typing

from twisted.internet import interfaces

from godwitloft import clock as clocks
from godwitloft import events

INTERVAL_MS = 250
MIN_PAUSE_MS = 1000


class PauseDetector:
    """Detects pauses of this process with a periodic check of its clocks.

    :param clock: both its monotonic and its wall time are read
    :param scheduler: for the periodic check
    :param on_pause: called with the length of the pause in milliseconds
    :param interval_ms: time between two checks, in milliseconds
    :param min_pause_ms: shortest gap that counts as a pause, in
        milliseconds; shorter gaps are attributed to a busy process
    """

    def __init__(
        self,
        clock: clocks.Clock,
        scheduler: interfaces.IReactorTime,
        on_pause: typing.Callable[[int], None],
        interval_ms: int = INTERVAL_MS,
        min_pause_ms: int = MIN_PAUSE_MS,
    ) -> None:
        self.clock = clock
        self.scheduler = scheduler
        self.on_pause = on_pause
        self.interval_ms = interval_ms
        self.min_pause_ms = min_pause_ms
        self.timer: interfaces.IDelayedCall | None = None
        self._read_clocks()

    def start(self) -> None:
        """Starts the periodic check."""
        self._read_clocks()
        self._schedule()

    def stop(self) -> None:
        """Stops the periodic check."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def check(self) -> bool:
        """Checks the clocks now; call it just before a critical operation.

        :return: whether there was a pause since the last check
        """
        monotonic_ms = self.clock.monotonic_ms() - self.monotonic_ms
        wall_ms = self.clock.wall_ms() - self.wall_ms
        self._read_clocks()
        clock_gap_ms = abs(wall_ms - monotonic_ms)
        delay_ms = monotonic_ms - self.interval_ms
        pause_ms = max(clock_gap_ms, delay_ms)
        if pause_ms < self.min_pause_ms:
            return False
        events.log(events.PAUSED, pause_ms=pause_ms)
        self.on_pause(pause_ms)
        return True

    def _read_clocks(self) -> None:
        self.monotonic_ms = self.clock.monotonic_ms()
        self.wall_ms = self.clock.wall_ms()

    def _schedule(self) -> None:
        seconds = self.interval_ms / clocks.MS_PER_S
        self.timer = self.scheduler.callLater(seconds, self._on_timer)

    def _on_timer(self) -> None:
        self.check()
        self._schedule()
