"""Keeps what is saved of a gateway's use of allowances, and what isn't yet.

Beside the use itself, which has left or will leave its window, a gateway needs
to know how much of it a restart would lose, and after a restart how much may
have been lost.
"""

import typing

from godwitloft.gateway.allowances import allowance
from godwitloft.gateway.allowances import former_use

# Usage is saved before more than this part of an equal share of a limit has
# been used since the last save.
MAX_UNSAVED_SHARE = 0.25


class UnsavedUse:
    """What was used since the usage was last saved."""

    def __init__(self) -> None:
        # Tokens by team.
        self.tokens: dict[str, float] = {}
        # Whether usage before the start was learned that isn't saved.
        self.must_save = False

    def add(self, team: str, tokens: float) -> None:
        """Adds a use.

        :param team: name of the team
        :param tokens: number of tokens
        """
        self.tokens[team] = self.tokens.get(team, 0.0) + tokens

    def add_learned(self, tokens: float) -> None:
        """Notes that usage before the start was learned.

        :param tokens: number of tokens, 0 for none
        """
        self.must_save = self.must_save or tokens > 0

    def mark_saved(self) -> typing.Callable[[], None]:
        """Records that all of it is about to be saved.

        :return: takes that back; to be called if it could not be saved
        """
        tokens_by_team, must_save = self.tokens, self.must_save
        self.tokens = {}
        self.must_save = False

        def take_back() -> None:
            for team, tokens in tokens_by_team.items():
                self.add(team, tokens)
            self.must_save = self.must_save or must_save

        return take_back


class SavedBeforeStart:
    """What this gateway and others had saved when this process started.

    :param length_ms: how long a use counts
    """

    def __init__(self, length_ms: int) -> None:
        self.length_ms = length_ms
        # Own usage, by teams for which that of the time after is still to be
        # estimated, and when it was saved.
        self.own: former_use.Usage = {}
        self.own_ms = 0
        # What all gateways had saved and certainly still counts, by team, and
        # how many gateways that is.
        self.by_all: dict[str, float] = {}
        self.rows = 1

    def add_own(
        self, used: former_use.Usage, now_ms: int, age_ms: int
    ) -> None:
        """Adds what this gateway had saved.

        :param used: tokens by age, by team
        :param now_ms: the current time
        :param age_ms: how long ago it was saved
        """
        self.own = dict(used)
        self.own_ms = now_ms - age_ms
        self.count(used, age_ms)

    def add_other(self, used: former_use.Usage, age_ms: int) -> None:
        """Adds what another gateway had saved.

        :param used: tokens by age, by team
        :param age_ms: how long ago it was saved
        """
        self.rows += 1
        self.count(used, age_ms)

    def count(self, used: former_use.Usage, age_ms: int) -> None:
        """Adds to what all gateways had saved.

        :param used: tokens by age, by team, as one gateway saved them
        :param age_ms: how long ago it did
        """
        for team, sums in used.items():
            counted = allowance.still_counted(sums, age_ms, self.length_ms)
            self.by_all[team] = self.by_all.get(team, 0.0) + counted

    def add_estimate(
        self, team: str, window: allowance.Window, limit: float, now_ms: int
    ) -> float:
        """Counts what may have been used between the last save and the end.

        All gateways together have used no more than was left by what they had
        saved. It is counted once.

        :param team: name of a team of ``own``
        :param window: its usage at this gateway, which is changed
        :param limit: of the usage of all gateways in a window
        :param now_ms: the current time
        :return: the added tokens
        """
        left = limit - self.by_all[team]
        return window.add_unsaved(
            self.own.pop(team),
            self.own_ms,
            now_ms,
            little=MAX_UNSAVED_SHARE * limit / self.rows,
            most=left / self.rows,
        )
