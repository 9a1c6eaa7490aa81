"""Charges teams for the engine time that they used.

Each team has a virtual time in each tier: engine milliseconds divided by
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
    """Read-only virtual times of the teams, as input of decisions.

    :param virtual_ms: engine time over weight, by tier rank and team
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

    The floor of a tier is the highest virtual time that a team had when a
    request of it started. A team that returns after a pause starts at most
    a fixed credit below the floor. So it isn't penalised for the pause, nor
    does it accumulate a claim that would block the other teams.

    :param credit_ms: largest distance of a returning team below the floor
    :param max_teams: virtual times kept before idle teams are dropped
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
        """Records that a team without waiting offers has one now.

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
        """Charges a team for engine time in excess of the estimate.

        :param tier_rank: rank of the tier
        :param team: name of the team
        :param weight: the team's weight
        :param engine_ms: excess engine time; negative is refunded
        :return: the team's virtual time
        """
        key = (tier_rank, team)
        old_ms = self.virtual_ms.get(key, 0.0)
        self.virtual_ms[key] = max(0.0, old_ms + engine_ms / max(1, weight))
        return self.virtual_ms[key]

    def forget_idle(
        self, is_active: typing.Callable[[int, str], bool]
    ) -> None:
        """Drops idle teams that aren't above the floor, if there are too many.

        :param is_active: returns whether a team has offers waiting in a tier
        """
        if len(self.virtual_ms) <= self.max_teams:
            return
        for (rank, team), virtual_ms in list(self.virtual_ms.items()):
            owes = virtual_ms > self.floor_ms.get(rank, 0.0)
            if not owes and not is_active(rank, team):
                del self.virtual_ms[(rank, team)]
