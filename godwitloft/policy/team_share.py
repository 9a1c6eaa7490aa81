"""Divides what can be served among teams: weighted max-min.

Designed for one or two teams that send 8 times their usual load beside teams
of unequal size: the others are served as if nothing had happened, as long as
they ask for no more than their shares, and what they leave is divided among
those that ask for more.
"""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class TeamLoad:
    """What a team asks for.

    :param asked: requests that it sends, in any unit that is common to all
    :param relative: what it asks for from all gateways, divided by its weight
    """

    asked: float
    relative: float


def parts_within_shares(
    teams: typing.Mapping[str, TeamLoad], served_share: float
) -> dict[str, float]:
    """Returns which part of each team's requests is within its share.

    The share of each team is its weight times a level, which is the same for
    all teams. The level is as high as what can be served permits.

    :param teams: what each team asks for, by name
    :param served_share: part of all requests that can be served
    :return: from 0 to 1, by name
    """
    left = served_share * sum(team.asked for team in teams.values())
    above = sum(
        team.asked / team.relative
        for team in teams.values()
        if team.relative > 0
    )
    parts = dict.fromkeys(teams, 1.0)
    ascending = sorted(teams, key=lambda name: teams[name].relative)
    for position, name in enumerate(ascending):
        team = teams[name]
        if team.relative <= 0:
            left -= team.asked
            continue
        level = max(0.0, left) / above
        if level < team.relative:
            for other in ascending[position:]:
                parts[other] = min(1.0, level / teams[other].relative)
            break
        left -= team.asked
        above -= team.asked / team.relative
    return parts
