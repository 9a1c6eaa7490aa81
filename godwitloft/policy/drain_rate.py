"""Measures how fast a queue drains, to compute Retry-After."""

import math

HALF_LIFE_MS = 10_000
MIN_RETRY_AFTER_MS = 250
MAX_RETRY_AFTER_MS = 60_000
DEFAULT_RETRY_AFTER_MS = 1000


class DrainRate:
    """Exponentially decaying count of the requests that left a queue.

    :param now_ms: when counting begins
    :param half_life_ms: age at which a departure counts half
    """

    def __init__(self, now_ms: int, half_life_ms: int = HALF_LIFE_MS) -> None:
        self.half_life_ms = half_life_ms
        self.started_ms = now_ms
        self.updated_ms = now_ms
        self.decayed_count = 0.0

    def observe(self, now_ms: int, departures: int = 1) -> None:
        """Counts requests that left the queue to run.

        :param now_ms: the time
        :param departures: number of requests
        """
        self.decayed_count = self._count_at(now_ms) + departures
        self.updated_ms = max(now_ms, self.updated_ms)

    def departures_per_ms(self, now_ms: int) -> float:
        """Returns the rate of departures.

        :param now_ms: the time
        :return: requests per millisecond
        """
        mean_life_ms = self.half_life_ms / math.log(2)
        elapsed_ms = max(1, now_ms - self.started_ms)
        window_ms = mean_life_ms * (1 - math.exp(-elapsed_ms / mean_life_ms))
        return self._count_at(now_ms) / max(1.0, window_ms)

    def retry_after_ms(self, ahead: int, now_ms: int) -> int:
        """Returns the time until a place will probably be free.

        :param ahead: number of requests that must leave first
        :param now_ms: the time
        :return: milliseconds, within fixed bounds; a default when no
            request has left yet
        """
        rate = self.departures_per_ms(now_ms)
        if rate == 0.0:
            return DEFAULT_RETRY_AFTER_MS
        wait_ms = math.ceil((ahead + 1) / rate)
        return max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, wait_ms))

    def _count_at(self, now_ms: int) -> float:
        age_ms = max(0, now_ms - self.updated_ms)
        return self.decayed_count * 0.5 ** (age_ms / self.half_life_ms)
