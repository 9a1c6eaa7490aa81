"""Charges teams for the engine time that they used.

Each tier has a virtual time for each team: engine milliseconds divided by
the team's weight. The team with the smallest is furthest below its share.
"""

import dataclasses
import types
import typing

Key = tuple[int, str]


@dataclasses.dataclass(frozen=True)
class TeamUsage:
    """What each team was charged, as the decisions see it.

    :param virtual_ms: by tier rank and team, engine time over weight
    """

    virtual_ms: typing.Mapping[Key, float] = dataclasses.field(
        default_factory=dict
    )

    def of(self, tier_rank: int, team: str) -> float:
        """Returns a team's virtual time in a tier.

        :param tier_rank: rank of the tier
        :param team: name of the team
        :return: engine milliseconds over weight, 0.0 for a new team
        """
        return self.virtual_ms.get((tier_rank, team), 0.0)


class UsageLedger:
    """Keeps the virtual times of all teams on one upstream.

    A team that comes back after a pause starts at the smallest virtual
    time of the active ones: it neither pays for the pause nor collects a
    credit that would shut the others out.
    """

    def __init__(self) -> None:
        self.virtual_ms: dict[Key, float] = {}
        self.active: dict[int, dict[str, int]] = {}
        self.floor_ms: dict[int, float] = {}

    def usage(self) -> TeamUsage:
        """Returns a read-only view that follows later charges.

        :return: the usage of all teams
        """
        return TeamUsage(types.MappingProxyType(self.virtual_ms))

    def activate(self, tier_rank: int, team: str) -> None:
        """Notes that a team has one more offer waiting in a tier.

        :param tier_rank: rank of the tier
        :param team: name of the team
        """
        teams = self.active.setdefault(tier_rank, {})
        if team not in teams:
            floor = self._floor(tier_rank)
            key = (tier_rank, team)
            self.virtual_ms[key] = max(floor, self.virtual_ms.get(key, 0.0))
        teams[team] = teams.get(team, 0) + 1

    def deactivate(self, tier_rank: int, team: str) -> None:
        """Notes that a team has one offer less waiting in a tier.

        :param tier_rank: rank of the tier
        :param team: name of the team
        """
        teams = self.active.get(tier_rank, {})
        left = teams.get(team, 0) - 1
        if left > 0:
            teams[team] = left
            return
        floor = self._floor(tier_rank)
        teams.pop(team, None)
        self.floor_ms[tier_rank] = floor

    def charge(
        self, tier_rank: int, team: str, weight: int, engine_ms: float
    ) -> None:
        """Charges a team for engine time, or gives some back.

        :param tier_rank: rank of the tier
        :param team: name of the team
        :param weight: the team's weight
        :param engine_ms: engine time; negative corrects an earlier charge
        """
        key = (tier_rank, team)
        old = self.virtual_ms.get(key, 0.0)
        self.virtual_ms[key] = max(0.0, old + engine_ms / max(1, weight))

    def _floor(self, tier_rank: int) -> float:
        floor = self.floor_ms.get(tier_rank, 0.0)
        teams = self.active.get(tier_rank, {})
        if not teams:
            return floor
        smallest = min(self.virtual_ms[(tier_rank, team)] for team in teams)
        return max(floor, smallest)
