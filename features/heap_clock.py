"""A simulated clock like twisted's, fast with very many timers."""

import heapq
import itertools

from twisted.internet import base
from twisted.internet import task


class HeapClock(task.Clock):
    def __init__(self):
        super().__init__()
        self.heap = []
        self.order = itertools.count()

    def callLater(self, delay, call, *args, **kwargs):
        delayed = base.DelayedCall(
            self.seconds() + delay,
            call,
            args,
            kwargs,
            lambda _: None,
            lambda _: None,
            self.seconds,
        )
        entry = (delayed.getTime(), next(self.order), delayed)
        heapq.heappush(self.heap, entry)
        return delayed

    def advance(self, amount):
        end = self.rightNow + amount
        while self.heap and self.heap[0][0] <= end:
            self.rightNow, _, delayed = heapq.heappop(self.heap)
            if delayed.active():
                delayed.called = 1
                delayed.func(*delayed.args, **delayed.kw)
        self.rightNow = end
