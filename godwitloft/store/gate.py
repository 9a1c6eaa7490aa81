"""Lets calls pass at a rate, in the order in which they came."""

import collections

from twisted.internet import defer
from twisted.internet import interfaces

from godwitloft.store import rate

MS_PER_S = 1000


class Gate:
    """Lets calls pass at a rate, in the order in which they came.

    :param limit: the rate
    :param max_queued: calls that may wait
    :param max_wait_ms: how long one may wait
    :param reactor: gives time and timers
    """

    def __init__(
        self,
        limit: rate.Rate,
        max_queued: int,
        max_wait_ms: float,
        reactor: interfaces.IReactorTime,
    ) -> None:
        self.limit = limit
        self.max_queued = max_queued
        self.max_wait_ms = max_wait_ms
        self.reactor = reactor
        self.queue: collections.deque[defer.Deferred[None]] = (
            collections.deque()
        )
        self.timer: interfaces.IDelayedCall | None = None

    def enter(self) -> defer.Deferred[None] | None:
        """Asks to pass.

        :return: fires when the call may be made, or fails with
            ``TimeoutError``; None when too many wait
        """
        if not self.queue and self.limit.take(self._now_ms()):
            return defer.succeed(None)
        if len(self.queue) >= self.max_queued:
            return None
        passing: defer.Deferred[None] = defer.Deferred()
        self.queue.append(passing)
        passing.addTimeout(self.max_wait_ms / MS_PER_S, self.reactor)
        self._schedule()
        return passing

    def _now_ms(self) -> float:
        return self.reactor.seconds() * MS_PER_S

    def _schedule(self) -> None:
        if self.timer is None and self.queue:
            # A timer may fire a moment early by the limit's arithmetic.
            wait_ms = self.limit.wait_ms(self._now_ms()) + 1
            self.timer = self.reactor.callLater(wait_ms / MS_PER_S, self._pass)

    def _pass(self) -> None:
        self.timer = None
        while self.queue:
            if self.queue[0].called:
                self.queue.popleft()
            elif self.limit.take(self._now_ms()):
                self.queue.popleft().callback(None)
            else:
                break
        self._schedule()
