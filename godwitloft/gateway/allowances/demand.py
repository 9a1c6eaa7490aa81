"""Measures a team's demand at one gateway."""

import math

from godwitloft import clock as clocks

DECAY_MS = 1_500.0


class Demand:
    """Requested tokens per second, as an exponentially decaying mean.

    :param decay_ms: time constant
    """

    def __init__(self, decay_ms: float = DECAY_MS) -> None:
        self.decay_ms = decay_ms
        self.rate_per_s = 0.0
        self.at_ms = 0

    def add(self, tokens: float, now_ms: int) -> None:
        """Adds a request.

        :param tokens: size of the request
        :param now_ms: the current time
        """
        self.rate_per_s = self.per_s(now_ms)
        self.rate_per_s += tokens * clocks.MS_PER_S / self.decay_ms
        self.at_ms = now_ms

    def per_s(self, now_ms: int) -> float:
        """Returns the mean.

        :param now_ms: the current time
        :return: tokens per second
        """
        passed_ms = now_ms - self.at_ms
        return self.rate_per_s * math.exp(-passed_ms / self.decay_ms)
