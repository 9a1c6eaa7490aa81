"""A program that drains for a while; features start it and signal it."""

import sys
import time

from twisted.internet import reactor

from godwitloft.runtime import process

DRAIN_S = 1.0
END_S = 0.5


class EndsSlowly:
    """Keeps the interpreter from ending at once."""

    def __del__(self):
        print("ending", flush=True)
        time.sleep(END_S)


ends_slowly = EndsSlowly()


class Daemon:
    def __init__(self):
        self.on_drained = lambda: None
        self.drains = 0

    def start(self):
        print("ready", flush=True)
        return 0

    def drain(self, done):
        self.drains += 1
        print("draining", flush=True)
        reactor.callLater(DRAIN_S, self.end, done)

    def is_draining(self):
        return self.drains > 0

    def end(self, done):
        print("drained", flush=True)
        done()

    def stop(self):
        print("stopped", flush=True)

    def leave(self):
        """Drains by an operator's order, as entries and agents do."""
        if not self.is_draining():
            self.drain(self.on_drained)


def main():
    daemon = Daemon()
    if "ordered" in sys.argv:
        reactor.callWhenRunning(lambda: reactor.callLater(0, daemon.leave))
    process.run_daemon(reactor, daemon)


if __name__ == "__main__":
    main()
