"""Counts what teams use against allowances that all gateways share.

Each gateway may use an equal part of a team's rate and burst. The parts of
all gateways together never exceed the whole, whoever is parted from whom,
as long as no gateway believes in fewer gateways than there are.
"""

import dataclasses

from godwitloft import clock as clocks


@dataclasses.dataclass(frozen=True)
class Tolerance:
    """By how much a sum over a window may exceed its limit.

    :param window_ms: length of the window
    :param share: part of the limit
    :param tokens: besides, in tokens
    """

    window_ms: int
    share: float
    tokens: float


class Bucket:
    """A token bucket that may be refilled at a changing rate.

    :param now_ms: the time
    :param level: what it holds at the start
    """

    def __init__(self, now_ms: int, level: float) -> None:
        self.level = level
        self.filled_ms = now_ms

    def take(
        self, amount: float, per_s: float, most: float, now_ms: int
    ) -> bool:
        """Takes tokens if there are enough.

        :param amount: how many
        :param per_s: rate at which it fills
        :param most: what it can hold
        :param now_ms: the time
        :return: whether they were taken
        """
        passed_s = (now_ms - self.filled_ms) / clocks.MS_PER_S
        self.filled_ms = now_ms
        self.level = min(most, self.level + passed_s * per_s)
        # One request larger than the bucket must not wait for ever.
        if self.level < min(amount, most):
            return False
        self.level -= amount
        return True

    def ms_until(self, amount: float, per_s: float, most: float) -> int:
        """Returns how long until tokens can be taken.

        :param amount: how many
        :param per_s: rate at which it fills
        :param most: what it can hold
        :return: milliseconds
        """
        missing = min(amount, most) - self.level
        if missing <= 0 or per_s <= 0:
            return 0
        return int(missing / per_s * clocks.MS_PER_S)
