"""The clock type used by the whole project, in milliseconds."""

import dataclasses
import time
import typing

from twisted.internet import interfaces

MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class Clock:
    """Source of the monotonic and the wall time.

    Code takes a clock as a parameter, so that tests can control time.

    :param monotonic_ms: milliseconds since some fixed point; never
        decreases; for durations and deadlines within one process
    :param wall_ms: milliseconds since 1970; may jump; only for records that
        people read, see :func:`steady_wall` for decisions
    """

    monotonic_ms: typing.Callable[[], int]
    wall_ms: typing.Callable[[], int]


def system_clock() -> Clock:
    """Returns the clock of this machine.

    :return: a clock over the operating system's monotonic and wall time
    """
    return Clock(
        monotonic_ms=lambda: time.monotonic_ns() // 1_000_000,
        wall_ms=lambda: time.time_ns() // 1_000_000,
    )


def boottime_clock() -> Clock:
    """Returns a clock that keeps running while the machine is suspended.

    A lease or proof that expires during the suspension must be expired
    afterwards; the usual monotonic clock stops during it.

    :return: a clock over the time since the machine's boot
    """
    boot = time.CLOCK_BOOTTIME
    return Clock(
        monotonic_ms=lambda: time.clock_gettime_ns(boot) // 1_000_000,
        wall_ms=lambda: time.time_ns() // 1_000_000,
    )


def steady_wall(clock: Clock) -> typing.Callable[[], int]:
    """Returns a time of day that doesn't jump.

    For comparison with times that other machines state. It keeps the
    difference from the true time that the wall clock has now.

    :param clock: source of both times
    :return: a function that returns milliseconds since 1970
    """
    offset_ms = clock.wall_ms() - clock.monotonic_ms()
    return lambda: clock.monotonic_ms() + offset_ms


def monotonic_reactor() -> typing.Any:
    """Returns this process's reactor, with timers on the monotonic clock.

    Twisted runs timers by the wall clock: if it is set back, no scheduled
    call runs until it has caught up. Programs get their reactor from here
    before they schedule anything.

    :return: the reactor
    """
    from twisted.internet import reactor

    use_monotonic_timers(reactor)
    return reactor


def use_monotonic_timers(reactor: typing.Any) -> None:
    """Runs the timers of a reactor by the monotonic clock.

    :param reactor: a reactor without scheduled calls
    """
    reactor.seconds = time.monotonic


def reactor_clock(reactor: interfaces.IReactorTime) -> Clock:
    """Returns the clock of a reactor or of a simulated one.

    :param reactor: the reactor that runs the timers
    :return: a clock over the reactor's time
    """

    def now_ms() -> int:
        return round(reactor.seconds() * MS_PER_S)

    return Clock(monotonic_ms=now_ms, wall_ms=now_ms)


class ManualClock:
    """A simulated time that only changes when advanced.

    :param start_ms: both times at the start, in milliseconds
    """

    def __init__(self, start_ms: int = 1_000_000) -> None:
        self.now_ms = start_ms
        self.wall_offset_ms = 0

    def advance(self, duration_ms: int) -> None:
        """Advances both times.

        :param duration_ms: milliseconds, not negative
        """
        self.now_ms += duration_ms

    def clock(self) -> Clock:
        """Returns a clock of this time.

        :return: a clock that reads the current manual time
        """
        return Clock(
            monotonic_ms=lambda: self.now_ms,
            wall_ms=lambda: self.now_ms + self.wall_offset_ms,
        )
