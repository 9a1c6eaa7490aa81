"""A token bucket that limits calls per second."""

import typing

MS_PER_S = 1000


class RateLimit:
    """A token bucket with one token per call.

    :param per_s: returns the calls per second, 0 or less for no limit; called
        each time, since a process's share changes with the size of the fleet
    :param burst_s: size of the bucket, in seconds of the rate
    :param min_burst: smallest size of the bucket, in calls
    """

    def __init__(
        self,
        per_s: typing.Callable[[], float],
        burst_s: float = 1.0,
        min_burst: float = 1.0,
    ) -> None:
        self.per_s = per_s
        self.burst_s = burst_s
        self.min_burst = min_burst
        self.tokens = max(min_burst, per_s() * burst_s)
        self.updated_ms: float | None = None

    def take(self, now_ms: float) -> bool:
        """Takes a token if there is one.

        :param now_ms: the current time
        :return: whether a call may be made now
        """
        per_s = self.per_s()
        if per_s <= 0:
            return True
        self._refill(per_s, now_ms)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def wait_ms(self, now_ms: float) -> float:
        """Returns the time until a call may be made.

        :param now_ms: the current time
        :return: milliseconds, 0 if one may be made now
        """
        per_s = self.per_s()
        if per_s <= 0:
            return 0.0
        self._refill(per_s, now_ms)
        return max(0.0, (1.0 - self.tokens) * MS_PER_S / per_s)

    def interval_ms(self) -> float:
        """Returns the interval between two calls at the current rate.

        :return: milliseconds, 0 if there is no limit
        """
        per_s = self.per_s()
        return MS_PER_S / per_s if per_s > 0 else 0.0

    def _refill(self, per_s: float, now_ms: float) -> None:
        if self.updated_ms is not None:
            elapsed_s = max(0.0, now_ms - self.updated_ms) / MS_PER_S
            max_tokens = max(self.min_burst, per_s * self.burst_s)
            self.tokens = min(max_tokens, self.tokens + elapsed_s * per_s)
        self.updated_ms = now_ms
