"""Bounds repeated requests to a service by a share of the first ones."""

import collections
import dataclasses

SAFETY_SHARE = 0.7


@dataclasses.dataclass(frozen=True)
class BudgetSettings:
    """How many repeats all gateways together may send.

    :param window_ms: length of the sliding window
    :param ratio: repeats for each first request
    :param extra: repeats besides, in a window
    """

    window_ms: int
    ratio: float
    extra: float


class RetryBudget:
    """The repeats to one service that one gateway may send.

    :param settings: of all gateways together
    """

    def __init__(self, settings: BudgetSettings) -> None:
        self.settings = settings
        self.first_sends_ms: collections.deque[int] = collections.deque()
        self.retries_ms: collections.deque[int] = collections.deque()

    def record_first(self, now_ms: int) -> None:
        """Counts a request that was sent for the first time.

        :param now_ms: the time
        """
        self.first_sends_ms.append(now_ms)
        self.drop_expired(now_ms)

    def take(self, now_ms: int, gateways: int) -> bool:
        """Takes one repeat if the budget allows it.

        :param now_ms: the time
        :param gateways: gateways that share the extra repeats
        :return: whether the request may be sent again
        """
        self.drop_expired(now_ms)
        settings = self.settings
        own = settings.ratio * len(self.first_sends_ms)
        own += settings.extra / max(1, gateways)
        if len(self.retries_ms) + 1 > own * SAFETY_SHARE:
            return False
        self.retries_ms.append(now_ms)
        return True

    def drop_expired(self, now_ms: int) -> None:
        """Drops what lies before the window.

        :param now_ms: the time
        """
        start_ms = now_ms - self.settings.window_ms
        for times in (self.first_sends_ms, self.retries_ms):
            while times and times[0] <= start_ms:
                times.popleft()
