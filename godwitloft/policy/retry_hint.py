"""Computes when a refused caller should return.

Designed for bursts of some seconds of two to four times what can be served,
with callers that retry: a caller that returns before its turn is refused once
more, and callers that return together find one free place between them.

Each hint is a turn: the time by which the requests ahead and the returns that
were promised before have started, at the measured rate. A promised turn isn't
given to another caller of the same importance that asked later.
"""

import bisect
import dataclasses
import typing

MS_PER_S = 1_000.0
# A caller waits no longer than this part of the time that it has left.
LONGEST_SHARE = 1 / 3
# Callers whose turn would come later are told this part of the longest delay
# or more, so that those who were refused together don't return together.
LEAST_LATE_SHARE = 0.97
# A promise whose caller is overdue by this time is dropped: it has returned
# to another gateway, or not at all.
OVERDUE_MS = 500
# Weight of each promise that was kept or not in the share that is expected.
KEPT_WEIGHT = 0.1
FIRST_KEPT_SHARE = 0.5
# A caller that is early by this much has kept to its hint.
EARLY_MS = 50
# More promises than this are not kept, nor does one caller see more ahead.
MAX_PROMISES = 4_000
# A shorter delay is not worth another connection.
MIN_DELAY_MS = 100.0
# The longest time left counts for this time, and for as much again.
PATIENCE_WINDOW_MS = 30_000
MAX_PATIENCES = 2_000
# Time that a request spends before it reaches a gateway, at the most. With
# this much less time left than others it counts as a retry.
PATIENCE_SLACK_MS = 75

# Importance, the smallest goes first.
Standing = tuple[int, ...]


@dataclasses.dataclass(frozen=True, order=True)
class Turn:
    """A promised return.

    :param due_ms: when the caller was told to return
    :param standing: importance of its request
    """

    due_ms: float
    standing: Standing


@dataclasses.dataclass(frozen=True)
class Hint:
    """What a refused caller is told.

    :param after_ms: when to return
    :param promised: whether a turn is kept for it
    :param turn_ms: when its turn would come, counted from now; None if the
        rate isn't known
    :param ahead: requests and promised returns that go before it
    """

    after_ms: float
    promised: bool
    turn_ms: float | None
    ahead: float


class PromisedReturns:
    """The returns that the callers of one service were promised."""

    def __init__(self) -> None:
        self.turns: list[Turn] = []
        # Share of the promised returns that are expected to come: some callers
        # give up, or return to another gateway.
        self.kept_share = FIRST_KEPT_SHARE

    def drop_overdue(self, now_ms: float) -> None:
        """Drops the promises whose callers have not returned.

        :param now_ms: the current time
        """
        kept_from = bisect.bisect_left(
            self.turns, now_ms - OVERDUE_MS, key=lambda turn: turn.due_ms
        )
        for _turn in self.turns[:kept_from]:
            self.learn(False)
        del self.turns[:kept_from]

    def learn(self, kept: bool) -> None:
        """Learns from a promise which part of them is kept.

        :param kept: whether its caller has returned
        """
        self.kept_share += KEPT_WEIGHT * (kept - self.kept_share)

    def count_ahead(self, until_ms: float, standing: Standing) -> float:
        """Returns how many returns are expected to go before a request.

        :param until_ms: those that are due later don't count
        :param standing: importance of the request
        """
        count = 0
        for turn in self.turns:
            if turn.due_ms > until_ms:
                break
            count += turn.standing <= standing
        return count * self.kept_share

    def use(self, now_ms: float, standing: Standing) -> Turn | None:
        """Uses up a promise, as a caller of its class has returned.

        :param now_ms: the current time
        :param standing: importance of the request that has returned
        :return: the promise that was kept, None if none is due
        """
        self.drop_overdue(now_ms)
        for position, turn in enumerate(self.turns):
            if turn.due_ms > now_ms + EARLY_MS:
                return None
            if turn.standing == standing:
                self.learn(True)
                return self.turns.pop(position)
        return None

    def hint(
        self,
        now_ms: float,
        left_ms: float,
        ahead: int,
        rate_per_s: float,
        standing: Standing,
        draw: float,
    ) -> Hint:
        """Returns when a refused caller should return, and promises it.

        :param now_ms: the current time
        :param left_ms: time that the caller has left
        :param ahead: number of waiting requests that go before its request
        :param rate_per_s: rate at which requests of its importance start
        :param standing: importance of its request
        :param draw: random number from 0 to 1, which spreads the returns of
            callers that get no promise
        :return: the hint
        """
        self.drop_overdue(now_ms)
        longest_ms = max(0.0, left_ms) * LONGEST_SHARE
        late_share = LEAST_LATE_SHARE + (1 - LEAST_LATE_SHARE) * draw
        late_ms = longest_ms * late_share
        if rate_per_s <= 0 or len(self.turns) >= MAX_PROMISES:
            return Hint(late_ms, False, None, ahead)
        turn_ms = self.next_turn_ms(now_ms, ahead, rate_per_s, standing)
        promised_ahead = self.count_ahead(now_ms + turn_ms, standing)
        total = ahead + promised_ahead
        after_ms = max(turn_ms, MIN_DELAY_MS)
        if after_ms > longest_ms:
            return Hint(late_ms, False, turn_ms, total)
        turn = Turn(now_ms + after_ms, standing)
        bisect.insort(self.turns, turn)
        return Hint(after_ms, True, turn_ms, total)

    def next_turn_ms(
        self,
        now_ms: float,
        ahead: int,
        rate_per_s: float,
        standing: Standing,
    ) -> float:
        """Returns when the next turn comes that isn't promised yet.

        :param now_ms: the current time
        :param ahead: number of waiting requests that go first
        :param rate_per_s: rate at which requests start
        :param standing: importance of the request
        :return: milliseconds from now
        """
        between_ms = MS_PER_S / rate_per_s
        turn_ms = (ahead + 1) * between_ms
        for turn in self.turns:
            if turn.due_ms > now_ms + turn_ms:
                break
            if turn.standing <= standing:
                turn_ms += between_ms * self.kept_share
        return turn_ms


class Patience:
    """How long the callers of each group wait in all, as far as seen."""

    def __init__(self) -> None:
        # Longest time left in the current window and in the one before.
        self.windows: tuple[dict[typing.Hashable, int], ...] = ({}, {})
        self.began_ms = 0

    def first_sent_ms(
        self, group: typing.Hashable, arrived_ms: int, left_ms: int
    ) -> int:
        """Returns when a request was first sent, by what it tells.

        :param group: of callers that wait for about the same time
        :param arrived_ms: when the request arrived
        :param left_ms: how long its caller still waits
        :return: the time of arrival unless it has less time left than others
            of the group had lately
        """
        age_ms = arrived_ms - self.began_ms
        if age_ms >= PATIENCE_WINDOW_MS:
            is_old = age_ms >= 2 * PATIENCE_WINDOW_MS
            self.windows = ({}, {} if is_old else self.windows[0])
            self.began_ms = arrived_ms
        current, before = self.windows
        longest_ms = max(left_ms, current.get(group, 0), before.get(group, 0))
        if group in current or len(current) < MAX_PATIENCES:
            current[group] = max(left_ms, current.get(group, 0))
        waited_ms = longest_ms - left_ms
        if waited_ms <= PATIENCE_SLACK_MS:
            return arrived_ms
        return arrived_ms - waited_ms
