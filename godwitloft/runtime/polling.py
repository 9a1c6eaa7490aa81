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
    """Calls a function once a condition holds or the time is over.

    :param reactor: the twisted reactor or a driven clock
    :param condition: asked some times a second
    :param limit_ms: how long to wait
    :param done: told whether the condition held in time
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
