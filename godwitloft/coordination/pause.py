"""Finds out that this process was paused, by gaps in its own clocks.

A stopped process sees its monotonic time jump. A suspended machine may not:
some systems stop the monotonic time with it, and only the wall time jumps.
Both are looked at. A wall clock that is set right looks like a pause too,
which costs its reader no more than a renewal.
"""

import typing

from twisted.internet import interfaces

from godwitloft import clock as clocks
from godwitloft import events

INTERVAL_MS = 250
MIN_PAUSE_MS = 1000


class PauseDetector:
    """Tells when the process was paused.

    :param clock: both of its times are read
    :param scheduler: for the regular look
    :param on_pause: called with the length of the pause in milliseconds
    :param interval_ms: between two looks
    :param limit_ms: shorter gaps count as a busy process
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
        """Begins to look at the clocks."""
        self._read_clocks()
        self._schedule()

    def stop(self) -> None:
        """Stops looking."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def check(self) -> bool:
        """Looks at the clocks now; call it just before a risky act.

        :return: whether there was a pause since the last look
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
