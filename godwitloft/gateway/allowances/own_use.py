"""Keeps what this gateway's teams have used and asked for."""

import typing

from godwitloft import clock as clocks
from godwitloft.gateway import model
from godwitloft.gateway.allowances import allowance
from godwitloft.gateway.allowances import demand as demands
from godwitloft.gateway.allowances import former_use
from godwitloft.gateway.allowances import saved_use

MAX_TEAMS_SAVED = 20
MIN_DEMAND = 1.0


class OwnUse:
    """Usage and demand of the teams at this gateway.

    :param clock: source of the time
    :param tolerance: by how much teams may exceed their limits
    """

    def __init__(
        self, clock: clocks.Clock, tolerance: allowance.Tolerance
    ) -> None:
        self.clock = clock
        self.tolerance = tolerance
        self.teams: dict[str, model.Team] = {}
        self.windows: dict[str, allowance.Window] = {}
        self.demands: dict[str, demands.Demand] = {}
        self.unsaved = saved_use.UnsavedUse()
        self.before_start = saved_use.SavedBeforeStart(tolerance.counted_ms)

    def window(self, team: str) -> allowance.Window:
        """Returns the sliding window of a team's usage at this gateway.

        :param team: name of the team
        :return: the window, created if needed
        """
        window = self.windows.get(team)
        if window is None:
            window = allowance.Window(self.tolerance.counted_ms)
            self.windows[team] = window
        return window

    def record_demand(self, team: model.Team, tokens: float) -> None:
        """Adds a request to a team's demand.

        :param team: the team that sent the request
        :param tokens: size of the request
        """
        self.teams[team.name] = team
        demand = self.demands.setdefault(team.name, demands.Demand())
        demand.add(tokens, self.clock.monotonic_ms())

    def demand_of(self, team: str, now_ms: int) -> float:
        """Returns a team's demand at this gateway.

        :param team: name of the team
        :param now_ms: the current time
        :return: tokens per second
        """
        demand = self.demands.get(team)
        return demand.per_s(now_ms) if demand is not None else 0.0

    def add(self, team: str, tokens: float, now_ms: int) -> allowance.Use:
        """Adds a use.

        :param team: name of the team
        :param tokens: number of tokens
        :param now_ms: the current time
        :return: the use, to be taken back or moved
        """
        self.unsaved.add(team, tokens)
        return self.window(team).add(tokens, now_ms)

    def add_told(self, told: typing.Mapping[str, float], now_ms: int) -> None:
        """Adds what peers know of the use before the start.

        :param told: tokens, by team
        :param now_ms: the current time
        """
        for team, tokens in told.items():
            window = self.window(team)
            unknown = max(0.0, tokens - window.total(now_ms))
            window.add(unknown, now_ms)
            self.unsaved.add_learned(unknown)

    def add_estimate(self, team: str, limit: float, now_ms: int) -> float:
        """Counts, once, what may have been used unsaved before the start.

        :param team: name of the team
        :param limit: of the usage of all gateways in a window
        :param now_ms: the current time
        :return: the added tokens
        """
        if team not in self.before_start.own:
            return 0.0
        estimate = self.before_start.add_estimate(
            team, self.window(team), limit, now_ms
        )
        self.unsaved.add_learned(estimate)
        return estimate

    def restore(self, used: former_use.Usage, age_ms: int) -> None:
        """Restores the usage saved before this process was restarted.

        :param used: as :meth:`usage` returned it
        :param age_ms: how long ago it was saved
        """
        now_ms = self.clock.monotonic_ms()
        self.before_start.add_own(used, now_ms, age_ms)
        for team, sums in used.items():
            self.window(team).restore(sums, now_ms, age_ms)

    def usage(self) -> former_use.Usage:
        """Returns this gateway's usage, to be saved.

        :return: tokens by age of the teams that used most, by team
        """
        now_ms = self.clock.monotonic_ms()
        return {
            team: self.windows[team].by_age(now_ms)
            for team, _used in self.largest_uses(now_ms)
        }

    def largest_uses(self, now_ms: int) -> list[tuple[str, float]]:
        """Returns the teams that used most.

        :param now_ms: the current time
        :return: team names and tokens used in the window, the largest first
        """
        uses = [
            (team, window.total(now_ms))
            for team, window in self.windows.items()
        ]
        uses.sort(key=lambda use: -use[1])
        return uses[:MAX_TEAMS_SAVED]

    def needs_saving(self, gateways: int) -> bool:
        """Returns whether much was used since usage was last saved.

        :param gateways: number of gateways
        :return: whether usage should be saved soon
        """
        return any(
            tokens
            > saved_use.MAX_UNSAVED_SHARE
            * allowance.window_limit(self.teams[name], self.tolerance)
            / gateways
            for name, tokens in self.unsaved.tokens.items()
        )

    def active_teams(self, now_ms: int) -> dict[str, float]:
        """Returns the teams that peers must know of.

        :param now_ms: the current time
        :return: tokens used in the window, by team
        """
        used = {
            name: window.total(now_ms) for name, window in self.windows.items()
        }
        return {
            name: tokens
            for name, tokens in used.items()
            if self.is_active(name, tokens, now_ms)
        }

    def is_active(self, team: str, used: float, now_ms: int) -> bool:
        """Returns whether a team must be included in announcements.

        A team whose requests were all refused here is included as well, as
        the demand determines how the allowance is divided.

        :param team: name of the team
        :param used: tokens used in the window
        :param now_ms: the current time
        :return: whether it has used or requested tokens lately
        """
        return used > 0 or self.demand_of(team, now_ms) >= MIN_DEMAND
