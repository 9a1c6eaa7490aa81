"""A simulated process that can be paused, killed and given a wrong clock."""

import itertools

from twisted.internet import defer

from godwitloft import clock as clocks


class Process:
    """Runs timers and answers unless the process is paused or dead.

    Calls that arrive during a pause are queued and run at once, in order,
    when the process resumes, as in a real process that was stopped.
    """

    def __init__(self, reactor, drift=0.0):
        self.reactor = reactor
        self.drift = drift
        self.hidden_ms = 0
        self.is_paused = False
        self.is_dead = False
        self.queue = []
        self.numbers = itertools.count()

    def clock(self):
        def now_ms():
            return 1000 + int(self.reactor.seconds() * (1 + self.drift) * 1000)

        return clocks.Clock(lambda: now_ms() - self.hidden_ms, now_ms)

    def gate(self, call, *args):
        if self.is_dead:
            return
        if self.is_paused:
            self.queue.append((call, args))
        else:
            call(*args)

    def seconds(self):
        return self.reactor.seconds()

    def callLater(self, delay, call, *args):
        return self.reactor.callLater(delay, self.gate, call, *args)

    def pause(self, seconds, hides_time=False):
        self.is_paused = True
        self.reactor.callLater(seconds, self.resume)
        if hides_time:
            self.hidden_ms += int(seconds * 1000)

    def resume(self):
        self.is_paused = False
        while self.queue and not self.is_paused:
            call, args = self.queue.pop(0)
            self.gate(call, *args)

    def remote(self, function, latency):
        """Returns a function whose request and answer each have a latency."""

        def call(*args):
            answered = defer.Deferred(lambda _: None)

            def answer(result):
                if not answered.called:
                    answered.callback(result)

            def run():
                done = function(*args)
                done.addBoth(
                    lambda result: self.reactor.callLater(
                        latency(), self.gate, answer, result
                    )
                )

            self.reactor.callLater(latency(), run)
            return answered

        return call
