"""Waits on the reactor until a condition holds."""

import typing

from godwitloft import clock as clocks

POLL_INTERVAL_S = 0.02


def wait_until(
    reactor: typing.Any,
    condition: typing.Callable[[], bool],
    limit_ms: int,
    done: typing.Callable[[bool], None],
) -> None:
    """Calls a function once a condition holds or the time limit has passed.

    :param reactor: the twisted reactor or a simulated clock
    :param condition: polled every :data:`POLL_INTERVAL_S` seconds
    :param limit_ms: maximum time to wait
    :param done: called with whether the condition held in time
    """
    end_s = reactor.seconds() + limit_ms / clocks.MS_PER_S

    def poll() -> None:
        if condition():
            done(True)
        elif reactor.seconds() >= end_s:
            done(False)
        else:
            reactor.callLater(POLL_INTERVAL_S, poll)

    poll()
