"""Limits retries to a service to a share of the first attempts."""

import collections
import dataclasses

SAFETY_SHARE = 0.7


@dataclasses.dataclass(frozen=True)
class BudgetSettings:
    """Number of retries that all gateways together may send.

    :param window_ms: length of the sliding window
    :param ratio: retries per first attempt
    :param extra: additional retries in a window
    """

    window_ms: int
    ratio: float
    extra: float


class RetryBudget:
    """Retries to one service that one gateway may send.

    :param settings: limits of all gateways together
    """

    def __init__(self, settings: BudgetSettings) -> None:
        self.settings = settings
        self.first_sends_ms: collections.deque[int] = collections.deque()
        self.retries_ms: collections.deque[int] = collections.deque()

    def record_first(self, now_ms: int) -> None:
        """Counts the first attempt of a request.

        :param now_ms: the current time
        """
        self.first_sends_ms.append(now_ms)
        self.drop_expired(now_ms)

    def take(self, now_ms: int, gateways: int) -> bool:
        """Takes one retry from the budget if it allows one.

        :param now_ms: the current time
        :param gateways: number of gateways that share the additional retries
        :return: whether the request may be sent again
        """
        self.drop_expired(now_ms)
        settings = self.settings
        allowed = settings.ratio * len(self.first_sends_ms)
        allowed += settings.extra / max(1, gateways)
        if len(self.retries_ms) + 1 > allowed * SAFETY_SHARE:
            return False
        self.retries_ms.append(now_ms)
        return True

    def drop_expired(self, now_ms: int) -> None:
        """Removes attempts that are older than the window.

        :param now_ms: the current time
        """
        start_ms = now_ms - self.settings.window_ms
        for times in (self.first_sends_ms, self.retries_ms):
            while times and times[0] <= start_ms:
                times.popleft()
