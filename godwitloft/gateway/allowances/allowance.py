"""Counts teams' usage in a sliding window.

The limit on a team is a sum over a window, not a steady rate: a team that has
sent little may use the unused part at once.
"""

import collections
import dataclasses

from godwitloft.gateway import model


@dataclasses.dataclass(frozen=True)
class Tolerance:
    """By how much the usage in a window may exceed its limit.

    :param window_ms: length of the window
    :param share: excess as a part of the limit
    :param tokens: additional excess in tokens
    """

    window_ms: int
    share: float
    tokens: float

    @property
    def counted_ms(self) -> int:
        """How long a use counts."""
        return self.window_ms + WINDOW_MARGIN_MS


# Part of the absolute tolerance that is used. The rest covers usage that
# gateways haven't announced to each other yet.
USED_TOLERANCE_SHARE = 0.75
# Added to the length of the window, as a request arrives at the upstream a
# little later than it was counted.
WINDOW_MARGIN_MS = 300
MS_PER_S = 1000
# Resolution of saved usage.
AGE_STEP_MS = 1_000
# Usage is saved at least this often while much of it is unsaved, and at least
# this often otherwise. A process that was killed has lived no longer since.
MAX_MUCH_UNSAVED_MS = 2_000
MAX_UNSAVED_MS = 5_500


class Use:
    """One use of an allowance.

    :param at_ms: the time at which it counts
    :param tokens: number of tokens, 0 once it has been taken back
    """

    def __init__(self, at_ms: int, tokens: float) -> None:
        self.at_ms = at_ms
        self.tokens = tokens
        # Whether it counts in its window's sum, which it leaves in time.
        self.is_counted = True


class Window:
    """Usage in a sliding window.

    :param length_ms: how long a use counts
    """

    def __init__(self, length_ms: int) -> None:
        self.length_ms = length_ms
        self.uses: collections.deque[Use] = collections.deque()
        self.sum = 0.0

    def add(self, tokens: float, now_ms: int) -> Use:
        """Adds a use.

        :param tokens: number of tokens
        :param now_ms: the current time
        :return: the use, to be taken back or moved
        """
        use = Use(now_ms, tokens)
        self.uses.append(use)
        self.sum += tokens
        return use

    def by_age(self, now_ms: int) -> tuple[float, ...]:
        """Returns the usage by age.

        :param now_ms: the current time
        :return: tokens in each interval of :data:`AGE_STEP_MS`, the latest
            first
        """
        self.total(now_ms)
        sums = [0.0] * -(-self.length_ms // AGE_STEP_MS)
        for use in self.uses:
            age_ms = max(0, now_ms - use.at_ms)
            sums[min(len(sums) - 1, age_ms // AGE_STEP_MS)] += use.tokens
        return tuple(sums)

    def restore(
        self, sums: tuple[float, ...], now_ms: int, age_ms: int
    ) -> None:
        """Adds the usage saved before a process was restarted.

        :param sums: as :meth:`by_age` returned them
        :param now_ms: the current time
        :param age_ms: how long ago they were saved
        """
        for number in reversed(range(len(sums))):
            at_ms = now_ms - age_ms - number * AGE_STEP_MS
            if sums[number] > 0 and at_ms > now_ms - self.length_ms:
                self.add(sums[number], at_ms)

    def add_unsaved(
        self,
        sums: tuple[float, ...],
        saved_ms: int,
        now_ms: int,
        little: float,
        most: float,
    ) -> float:
        """Adds an estimate of the usage after the last save.

        The process may have used as much as in the busiest time of that
        length that it saved, for as long as it can have lived. The time for
        which it was dead is no usage.

        :param sums: as :meth:`by_age` returned them
        :param saved_ms: when they were saved
        :param now_ms: the current time
        :param little: tokens whose use doesn't make saving urgent
        :param most: tokens that can have been used at the most
        :return: the added tokens
        """
        age_ms = now_ms - saved_ms
        much_ms = min(age_ms, MAX_MUCH_UNSAVED_MS)
        steps = 1 + -(-much_ms // AGE_STEP_MS)
        tokens = max(
            sum(sums[first : first + steps]) for first in range(len(sums) or 1)
        )
        tokens = max(0.0, min(tokens, most))
        late = min(tokens, little)
        added = 0.0
        for part, lived_ms in (
            (tokens - late, much_ms),
            (late, min(age_ms, MAX_UNSAVED_MS)),
        ):
            at_ms = saved_ms + lived_ms
            if part > 0 and at_ms > now_ms - self.length_ms:
                added += self.add(part, at_ms).tokens
        return added

    def take_back(self, use: Use) -> None:
        """Removes a use.

        :param use: what :meth:`add` returned
        """
        if use.is_counted:
            self.sum -= use.tokens
        use.tokens = 0.0

    def total(self, now_ms: int) -> float:
        """Returns the usage within the window.

        :param now_ms: the current time
        :return: tokens
        """
        start_ms = now_ms - self.length_ms
        while self.uses and self.uses[0].at_ms <= start_ms:
            use = self.uses.popleft()
            use.is_counted = False
            self.sum -= use.tokens
        return max(0.0, self.sum)


def still_counted(
    sums: tuple[float, ...], age_ms: int, length_ms: int
) -> float:
    """Returns how much of a saved usage is certainly still in its window.

    :param sums: as :meth:`Window.by_age` returned them
    :param age_ms: how long ago they were saved
    :param length_ms: how long a use counts
    :return: tokens
    """
    steps = max(0, (length_ms - age_ms) // AGE_STEP_MS)
    return sum(sums[:steps])


def window_limit(team: model.Team, tolerance: Tolerance) -> float:
    """Returns what a team may use in a window, over all gateways.

    :param team: the team
    :param tolerance: by how much the limit may be exceeded
    :return: tokens, or requests where the allowance counts requests
    """
    seconds = tolerance.window_ms / MS_PER_S
    limit = team.tokens_per_s * seconds + team.burst_tokens
    limit *= 1.0 + tolerance.share
    if team.counts_tokens:
        limit += tolerance.tokens * USED_TOLERANCE_SHARE
    return limit


def unused_tolerance(team: model.Team, tolerance: Tolerance) -> float:
    """Returns the tolerance that :func:`window_limit` doesn't use.

    :param team: the team
    :param tolerance: by how much the limit may be exceeded
    :return: tokens, 0 where the allowance counts requests
    """
    if not team.counts_tokens:
        return 0.0
    return tolerance.tokens * (1.0 - USED_TOLERANCE_SHARE)
