"""Loses answers to writes of the stand-in store, and performs those late."""

import random
import typing

from twisted.internet import defer

from godwitloft.standins import http

MS_PER_S = 1000
# Of the writes, and the time until one is performed; some are at once.
LOST_SHARE = 0.35
MAX_LATE_MS = 6_000
AT_ONCE_SHARE = 0.25


class LostWrites:
    """Decides which answers are lost.

    :param reactor: provides time and timers
    :param transact: performs a transaction
    """

    def __init__(
        self,
        reactor: typing.Any,
        transact: typing.Callable[[http.Json], object],
    ) -> None:
        self.reactor = reactor
        self.transact = transact
        self.rng = random.Random(0)
        self.until_s = 0.0

    def begin(self, duration_ms: int) -> None:
        """Begins to lose answers.

        :param duration_ms: for how long
        """
        self.until_s = self.reactor.seconds() + duration_ms / MS_PER_S

    def take(self, change: http.Json) -> "defer.Deferred[bytes] | None":
        """Takes a write whose answer is lost, to be performed later.

        :param change: body of the call
        :return: an answer that never comes, None if it isn't lost
        """
        if self.reactor.seconds() >= self.until_s:
            return None
        if self.rng.random() >= LOST_SHARE:
            return None
        late_ms = 0.0
        if self.rng.random() >= AT_ONCE_SHARE:
            late_ms = self.rng.uniform(0, MAX_LATE_MS)
        self.reactor.callLater(late_ms / MS_PER_S, self.transact, change)
        return defer.Deferred()
