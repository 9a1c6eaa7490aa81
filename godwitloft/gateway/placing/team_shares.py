"""Finds which requests to one service are above their teams' shares.

The shares are worked out in :mod:`godwitloft.policy.team_share`, from what
all gateways announce of the demand of teams with allowances.
"""

import dataclasses
import math

from godwitloft.gateway import model
from godwitloft.gateway.allowances import sharing as sharings
from godwitloft.policy import team_share

# Arrivals and starts are means over about this time.
DECAY_MS = 3_000.0
UPDATE_INTERVAL_MS = 200
# With more of all requests served there is no scarcity.
ENOUGH_SHARE = 0.97
# Part of what is served that the shares sum up to. The rest evens out how
# requests arrive, so that none within a share need be refused.
DIVIDED_SHARE = 0.8
# Where all teams exceed their shares alike, none is in another's way.
LEAST_DIFFERENCE = 0.05
# A team may send this many requests at once without exceeding its share.
MAX_CREDITS = 3.0
MAX_TEAMS = 1_000
# Less of a team's arrivals doesn't count any more.
LEAST_ARRIVALS = 0.01


@dataclasses.dataclass
class Arrivals:
    """A team's decaying number of requests, and its credits.

    :param team: the team
    :param number: of its requests
    :param credits: requests that are still within its share
    """

    team: model.Team
    number: float = 0.0
    credits: float = MAX_CREDITS


class TeamShares:
    """Requests of teams to one service, and those within the teams' shares.

    :param sharing: demand of teams at all gateways
    """

    def __init__(self, sharing: sharings.Sharing) -> None:
        self.sharing = sharing
        self.teams: dict[str, Arrivals] = {}
        self.parts: dict[str, float] = {}
        self.arrived = 0.0
        self.started = 0.0
        self.decayed_ms = 0
        self.updated_ms = 0

    @property
    def served_share(self) -> float:
        """Part of the arrived requests that were started."""
        return min(1.0, self.started / self.arrived) if self.arrived else 1.0

    def record_arrival(
        self, team: model.Team | None, scarce: bool, now_ms: int
    ) -> bool:
        """Records a new request.

        :param team: its team, None on a public route
        :param scarce: whether requests were refused under overload lately
        :param now_ms: the current time
        :return: whether it is above the share of its team
        """
        self.decay(now_ms)
        self.arrived += 1
        if team is None:
            return False
        if team.name not in self.teams and len(self.teams) >= MAX_TEAMS:
            return False
        arrivals = self.teams.setdefault(team.name, Arrivals(team))
        arrivals.team = team
        arrivals.number += 1
        part = 1.0
        if scarce and self.served_share < ENOUGH_SHARE:
            if now_ms - self.updated_ms >= UPDATE_INTERVAL_MS:
                self.update(now_ms)
            part = self.parts.get(team.name, 1.0)
        arrivals.credits = min(MAX_CREDITS, arrivals.credits + part)
        if arrivals.credits < 1:
            return True
        arrivals.credits -= 1
        return False

    def record_start(self, now_ms: int) -> None:
        """Records that a request is sent for the first time.

        :param now_ms: the current time
        """
        self.decay(now_ms)
        self.started += 1

    def decay(self, now_ms: int) -> None:
        """Lets earlier requests count less.

        :param now_ms: the current time
        """
        if now_ms == self.decayed_ms:
            return
        factor = math.exp(-(now_ms - self.decayed_ms) / DECAY_MS)
        self.decayed_ms = now_ms
        self.arrived *= factor
        self.started *= factor
        for name, arrivals in list(self.teams.items()):
            arrivals.number *= factor
            if arrivals.number < LEAST_ARRIVALS:
                del self.teams[name]

    def update(self, now_ms: int) -> None:
        """Works out the shares.

        Weights are the allowances. They don't compare with teams that have
        none, so that all weigh the same, by their requests here, if one has
        none.

        :param now_ms: the current time
        """
        self.updated_ms = now_ms
        all_have = all(
            arrivals.team.tokens_per_s > 0 for arrivals in self.teams.values()
        )
        parts = team_share.parts_within_shares(
            {
                name: team_share.TeamLoad(
                    arrivals.number,
                    self.relative_demand(arrivals.team, now_ms)
                    if all_have
                    else arrivals.number,
                )
                for name, arrivals in self.teams.items()
            },
            DIVIDED_SHARE * self.served_share,
        )
        values = parts.values()
        if values and max(values) - min(values) < LEAST_DIFFERENCE:
            parts = {}
        self.parts = parts

    def relative_demand(self, team: model.Team, now_ms: int) -> float:
        """Returns what a team asks from all gateways, by its allowance.

        :param team: a team with an allowance
        :param now_ms: the current time
        """
        own = self.sharing.own.demand_of(team.name, now_ms)
        others, _heard = self.sharing.peer_use.demand(team.name, now_ms)
        return (own + others) / team.tokens_per_s
