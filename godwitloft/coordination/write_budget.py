"""Limits the write rate of one process to its share of the store's rate."""

import collections
import typing

from twisted.internet import defer
from twisted.internet import interfaces

Permit = defer.Deferred[None]


class WriteBudget:
    """Token bucket for writes; urgent writes first, each kind in FIFO order.

    :param scheduler: a reactor, or a manually advanced clock in tests
    :param writes_per_s: returns this process's share in writes per second;
        called before each permit, since the share depends on the number of
        live processes
    :param burst: capacity of the bucket, in permits
    """

    def __init__(
        self,
        scheduler: interfaces.IReactorTime,
        writes_per_s: typing.Callable[[], float],
        burst: int,
    ) -> None:
        self.scheduler = scheduler
        self.writes_per_s = writes_per_s
        self.burst = burst
        self.tokens = float(burst)
        self.updated_s = scheduler.seconds()
        self.urgent: collections.deque[Permit] = collections.deque()
        self.background: collections.deque[Permit] = collections.deque()
        self.timer: interfaces.IDelayedCall | None = None

    def take(self, urgent: bool) -> Permit:
        """Requests a permit.

        :param urgent: whether a caller waits for the write
        :return: fires with None when the write may be sent; cancel it to
            leave the queue
        """
        queue = self.urgent if urgent else self.background
        permit: Permit = defer.Deferred(queue.remove)
        queue.append(permit)
        self._grant()
        return permit

    def _grant(self) -> None:
        self._refill()
        while self.tokens >= 1 and (self.urgent or self.background):
            self.tokens -= 1
            queue = self.urgent or self.background
            queue.popleft().callback(None)
        if (self.urgent or self.background) and self.timer is None:
            wait_s = (1 - self.tokens) / self.writes_per_s()
            self.timer = self.scheduler.callLater(wait_s, self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        self._grant()

    def _refill(self) -> None:
        now_s = self.scheduler.seconds()
        gained = (now_s - self.updated_s) * self.writes_per_s()
        self.updated_s = now_s
        # The added 1e-9 grants a permit even if the timer fires a rounding
        # error too early.
        self.tokens = min(float(self.burst), self.tokens + gained + 1e-9)


MIN_WRITES_PER_S = 0.1


def even_share(
    fleet_writes_per_s: float, live_processes: typing.Callable[[], int]
) -> typing.Callable[[], float]:
    """Returns a function that computes an equal share for one process.

    :param fleet_writes_per_s: writes per second of all processes together
    :param live_processes: returns the current number of processes, this one
        included
    :return: function that returns writes per second for this process, at
        least ``MIN_WRITES_PER_S``
    """

    def writes_per_s() -> float:
        even = fleet_writes_per_s / max(1, live_processes())
        return max(MIN_WRITES_PER_S, even)

    return writes_per_s
