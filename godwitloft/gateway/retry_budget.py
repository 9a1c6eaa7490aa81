"""Limits retries to a service to a share of the first attempts.

A gateway knows only its own requests, and a process that starts doesn't know
the retries that others, or its instance's process before, have sent within the
window. Until these must have left the window, it uses only what the others
leave for safety, and earns its share of the additional retries with time: so
does each of several processes of one instance, and together they earn no more.
"""

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

    def take(self, now_ms: int, gateways: int, started_ms: int | None) -> bool:
        """Takes one retry from the budget if it allows one.

        :param now_ms: the current time
        :param gateways: number of gateways that share the additional retries
        :param started_ms: when this process started, None if no retries can
            have been sent before
        :return: whether the request may be sent again
        """
        self.drop_expired(now_ms)
        settings = self.settings
        by_firsts = settings.ratio * len(self.first_sends_ms)
        share = settings.extra / max(1, gateways)
        known_ms = settings.window_ms
        if started_ms is not None:
            known_ms = min(known_ms, now_ms - started_ms)
        if known_ms >= settings.window_ms:
            allowed = SAFETY_SHARE * (by_firsts + share)
        else:
            earned = share * known_ms / settings.window_ms
            allowed = (1 - SAFETY_SHARE) * (by_firsts + earned)
        if len(self.retries_ms) + 1 > allowed:
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
