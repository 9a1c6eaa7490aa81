"""Charges teams for the engine time that they used.

Each tier has a virtual time for each team: engine milliseconds divided by
the team's weight. The team with the smallest is furthest below its share.
"""

import dataclasses
import types
import typing

TeamKey = tuple[int, str]

MAX_TEAMS = 50_000
MAX_CREDIT_MS = 500.0


@dataclasses.dataclass(frozen=True)
class TeamUsage:
    """What each team was charged, as the decisions see it.

    :param virtual_ms: by tier rank and team, engine time over weight
    """

    virtual_ms: typing.Mapping[TeamKey, float] = dataclasses.field(
        default_factory=dict
    )

    def virtual_time_ms(self, tier_rank: int, team: str) -> float:
        """Returns a team's virtual time in a tier.

        :param tier_rank: rank of the tier
        :param team: name of the team
        :return: engine milliseconds over weight, 0.0 for a new team
        """
        return self.virtual_ms.get((tier_rank, team), 0.0)


class UsageLedger:
    """Keeps the virtual times of all teams on one upstream.

    The floor of a tier is the virtual time of the request started last. A
    team that comes back after a pause starts a fixed credit below it: it
    neither pays for the pause nor collects a claim that would shut the
    others out.

    :param credit_ms: virtual time that a team may save up
    :param max_teams: virtual times kept before idle ones are forgotten
    """

    def __init__(
        self, credit_ms: float = MAX_CREDIT_MS, max_teams: int = MAX_TEAMS
    ) -> None:
        self.credit_ms = credit_ms
        self.max_teams = max_teams
        self.virtual_ms: dict[TeamKey, float] = {}
        self.floor_ms: dict[int, float] = {}
        self.view = TeamUsage(types.MappingProxyType(self.virtual_ms))

    def usage(self) -> TeamUsage:
        """Returns a read-only view that follows later charges.

        :return: the usage of all teams
        """
        return self.view

    def activate(self, tier_rank: int, team: str) -> float:
        """Notes that a team without waiting offers has one now.

        :param tier_rank: rank of the tier
        :param team: name of the team
        :return: its virtual time
        """
        key = (tier_rank, team)
        lowest_ms = self.floor_ms.get(tier_rank, 0.0) - self.credit_ms
        self.virtual_ms[key] = max(lowest_ms, self.virtual_ms.get(key, 0.0))
        return self.virtual_ms[key]

    def start(
        self, tier_rank: int, team: str, weight: int, engine_ms: float
    ) -> float:
        """Charges a team for a request that starts.

        :param tier_rank: rank of the tier
        :param team: name of the team
        :param weight: the team's weight
        :param engine_ms: engine time that the request is expected to take
        :return: the team's virtual time
        """
        before_ms = self.virtual_ms.get((tier_rank, team), 0.0)
        floor_ms = self.floor_ms.get(tier_rank, 0.0)
        self.floor_ms[tier_rank] = max(floor_ms, before_ms)
        return self.correct(tier_rank, team, weight, engine_ms)

    def correct(
        self, tier_rank: int, team: str, weight: int, engine_ms: float
    ) -> float:
        """Charges a team for what a request took beyond its estimate.

        :param tier_rank: rank of the tier
        :param team: name of the team
        :param weight: the team's weight
        :param engine_ms: engine time; negative gives some back
        :return: the team's virtual time
        """
        key = (tier_rank, team)
        old_ms = self.virtual_ms.get(key, 0.0)
        self.virtual_ms[key] = max(0.0, old_ms + engine_ms / max(1, weight))
        return self.virtual_ms[key]

    def forget_idle(
        self, is_active: typing.Callable[[int, str], bool]
    ) -> None:
        """Drops idle teams, when too many are kept, that owe nothing.

        :param is_active: whether a team has offers waiting in a tier
        """
        if len(self.virtual_ms) <= self.max_teams:
            return
        for (rank, team), virtual_ms in list(self.virtual_ms.items()):
            owes = virtual_ms > self.floor_ms.get(rank, 0.0)
            if not owes and not is_active(rank, team):
                del self.virtual_ms[(rank, team)]
