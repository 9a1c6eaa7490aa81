"""Follows the platform's instance list and keeps this process on it.

The list lags and may be unavailable, so it only determines which peers to
link to; the state seen on a link takes precedence. While the platform is
down the last list stays in use.
"""

import dataclasses
import random
import typing

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.python import failure

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.store import port

MIN_READ_INTERVAL_MS = 1_000
FLEET_READS_PER_S = 500
FLEET_ANNOUNCEMENTS_PER_S = 60
MIN_ANNOUNCE_INTERVAL_MS = 5_000
TIME_TO_LIVE_INTERVALS = 4


@dataclasses.dataclass(frozen=True)
class DiscoveryCallbacks:
    """Callbacks of the discovery into the daemon that owns it.

    :param own_instance: returns the list entry of this process
    :param list_read: called with the list each time it was read
    """

    own_instance: typing.Callable[[], port.Instance]
    list_read: typing.Callable[[tuple[port.Instance, ...]], None]


class Discovery:
    """Reads the instance list at an interval that grows with the fleet.

    :param platform: provides the list
    :param scheduler: runs the timers
    :param callbacks: callbacks into the daemon
    :param rng: adds jitter to the intervals
    """

    def __init__(
        self,
        platform: port.Platform,
        scheduler: interfaces.IReactorTime,
        callbacks: DiscoveryCallbacks,
        rng: random.Random,
    ) -> None:
        self.platform = platform
        self.scheduler = scheduler
        self.callbacks = callbacks
        self.rng = rng
        self.instances: tuple[port.Instance, ...] = ()
        self.reachable = False
        self.timers: set[interfaces.IDelayedCall] = set()
        self.stopped = False

    def start(self) -> None:
        """Starts announcing this process and reading the list."""
        self.announce()
        self.read()

    def stop(self) -> None:
        """Stops all timers."""
        self.stopped = True
        for timer in tuple(self.timers):
            timer.cancel()
        self.timers.clear()

    def read_interval_ms(self) -> float:
        """Returns the time between two reads of this process.

        :return: milliseconds; the fleet stays within its limit of reads/s
        """
        share_ms = clocks.MS_PER_S * len(self.instances) / FLEET_READS_PER_S
        return max(MIN_READ_INTERVAL_MS, share_ms)

    def announce_interval_ms(self) -> float:
        """Returns the time between two announcements of this process.

        :return: milliseconds; the fleet stays within its limit of writes/s
        """
        share_ms = (
            clocks.MS_PER_S * len(self.instances) / FLEET_ANNOUNCEMENTS_PER_S
        )
        return max(MIN_ANNOUNCE_INTERVAL_MS, share_ms)

    def read(self) -> None:
        """Reads the list once, and again after the interval."""
        reading = defer.maybeDeferred(self.platform.list_instances)
        reading.addCallbacks(self.on_list, self.on_failure)
        jitter = self.rng.uniform(0.8, 1.2)
        self.call_later(jitter * self.read_interval_ms(), self.read)

    def on_list(self, instances: tuple[port.Instance, ...]) -> None:
        """Passes a new list on to the daemon.

        :param instances: as listed by the platform
        """
        self.reachable = True
        self.instances = instances
        if not self.stopped:
            self.callbacks.list_read(instances)

    def on_failure(self, problem: failure.Failure) -> None:
        """Records that the list can't be read now.

        :param problem: reason of the failure
        """
        problem.trap(port.PlatformError)
        if self.reachable:
            events.log(
                events.INSTANCE_LIST_UNAVAILABLE, reason=str(problem.value)
            )
        self.reachable = False

    def announce(self) -> None:
        """Puts this process on the list and schedules the next time.

        An announcement is valid for several intervals, so that some may
        fail.
        """
        interval_ms = self.announce_interval_ms()
        announcing = defer.maybeDeferred(
            self.platform.announce_instance,
            self.callbacks.own_instance(),
            round(TIME_TO_LIVE_INTERVALS * interval_ms),
        )
        announcing.addErrback(lambda problem: problem.trap(port.PlatformError))
        jitter = self.rng.uniform(0.8, 1.2)
        self.call_later(jitter * interval_ms, self.announce)

    def call_later(
        self, delay_ms: float, function: typing.Callable[[], None]
    ) -> None:
        """Calls a function after a delay, unless stopped before.

        :param delay_ms: time to wait
        :param function: called without arguments
        """
        if self.stopped:
            return

        def run() -> None:
            self.timers.discard(timer)
            function()

        timer = self.scheduler.callLater(delay_ms / clocks.MS_PER_S, run)
        self.timers.add(timer)
