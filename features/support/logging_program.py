"""A program that logs and ends; features start it and read its log."""

import logging
import os
import signal
import sys

from twisted.internet import reactor

from godwitloft import bounded_log
from godwitloft import events
from godwitloft.runtime import process


class Daemon:
    """Writes lines at the end of its drain, as a gateway does."""

    def __init__(self, lines):
        self.lines = lines
        self.on_drained = lambda: None
        self.draining = False

    def start(self):
        return 0

    def drain(self, done):
        self.draining = True
        write(self.lines)
        reactor.callLater(0.02, done)

    def is_draining(self):
        return self.draining

    def stop(self):
        pass


def write(lines):
    for number in range(lines):
        events.log(events.ANSWER_FAILED, number=number, body="x" * 500)


def run(lines, signals):
    def send():
        for number in signals:
            os.kill(os.getpid(), number)

    reactor.callWhenRunning(lambda: reactor.callLater(0, send))
    process.run_daemon(reactor, Daemon(lines))


def main():
    lines, how = int(sys.argv[1]), sys.argv[2]
    handler = bounded_log.BoundedHandler(sys.stdout.fileno())
    events.configure(handler=handler)
    if how == "SIGTERM":
        run(lines, [signal.SIGTERM])
    elif how == "SIGINT twice":
        run(lines, [signal.SIGINT, signal.SIGINT])
    elif how == "an exception":
        write(lines)
        raise ValueError("played")
    else:
        write(lines)
        sys.exit(2)


if __name__ == "__main__":
    logging.raiseExceptions = False
    main()
