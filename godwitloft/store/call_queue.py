"""A first-in, first-out queue of calls that wait for a rate limit."""

import collections

from twisted.internet import defer
from twisted.internet import interfaces

from godwitloft.store import rate_limit as rate_limits

MS_PER_S = 1000


class CallQueue:
    """Releases calls at a limited rate, in the order of their arrival.

    :param rate_limit: the rate limit
    :param max_queued: calls that may wait at once
    :param max_wait_ms: longest wait of a call, in milliseconds
    :param reactor: gives time and timers
    """

    def __init__(
        self,
        rate_limit: rate_limits.RateLimit,
        max_queued: int,
        max_wait_ms: float,
        reactor: interfaces.IReactorTime,
    ) -> None:
        self.rate_limit = rate_limit
        self.max_queued = max_queued
        self.max_wait_ms = max_wait_ms
        self.reactor = reactor
        self.waiters: collections.deque[defer.Deferred[None]] = (
            collections.deque()
        )
        self.timer: interfaces.IDelayedCall | None = None

    def join(self) -> defer.Deferred[None] | None:
        """Waits for permission to make a call.

        :return: fires when the call may be made, or fails with
            ``TimeoutError``; None if the queue is full
        """
        if not self.waiters and self.rate_limit.take(self._now_ms()):
            return defer.succeed(None)
        if len(self.waiters) >= self.max_queued:
            return None
        waiter: defer.Deferred[None] = defer.Deferred()
        self.waiters.append(waiter)
        waiter.addTimeout(self.max_wait_ms / MS_PER_S, self.reactor)
        self._schedule()
        return waiter

    def _now_ms(self) -> float:
        return self.reactor.seconds() * MS_PER_S

    def _schedule(self) -> None:
        if self.timer is None and self.waiters:
            # One millisecond more, since the timer may fire slightly before
            # the rate limit allows the call.
            wait_ms = self.rate_limit.wait_ms(self._now_ms()) + 1
            self.timer = self.reactor.callLater(
                wait_ms / MS_PER_S, self._release
            )

    def _release(self) -> None:
        self.timer = None
        while self.waiters:
            if self.waiters[0].called:
                self.waiters.popleft()
            elif self.rate_limit.take(self._now_ms()):
                self.waiters.popleft().callback(None)
            else:
                break
        self._schedule()
