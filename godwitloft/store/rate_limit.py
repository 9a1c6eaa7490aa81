"""A token bucket that bounds calls a second."""

import typing

MS_PER_S = 1000


class RateLimit:
    """Calls that may be made now.

    :param per_s: calls a second, asked anew each time since a share of a
        fleet's limit changes with the fleet; 0 or less: no limit
    :param burst_s: seconds of unused calls that are saved
    :param min_burst: calls that are saved however low the rate
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
        """Takes one call if it may be made now.

        :param now_ms: the time
        :return: whether it may
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
        """Returns how long until a call may be made.

        :param now_ms: the time
        :return: milliseconds, 0 when one may be made now
        """
        per_s = self.per_s()
        if per_s <= 0:
            return 0.0
        self._refill(per_s, now_ms)
        return max(0.0, (1.0 - self.tokens) * MS_PER_S / per_s)

    def interval_ms(self) -> float:
        """Returns the time in which the rate permits one call.

        :return: milliseconds, 0 when there is no limit
        """
        per_s = self.per_s()
        return MS_PER_S / per_s if per_s > 0 else 0.0

    def _refill(self, per_s: float, now_ms: float) -> None:
        if self.updated_ms is not None:
            elapsed_s = max(0.0, now_ms - self.updated_ms) / MS_PER_S
            max_tokens = max(self.min_burst, per_s * self.burst_s)
            self.tokens = min(max_tokens, self.tokens + elapsed_s * per_s)
        self.updated_ms = now_ms
