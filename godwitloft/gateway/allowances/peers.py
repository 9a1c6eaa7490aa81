"""What another gateway has announced of its use of allowances."""

import dataclasses
import typing

from godwitloft.gateway.allowances import room_demand
from godwitloft.gateway.placing import demand_share
from godwitloft.links.generated.datagrams import ttypes


@dataclasses.dataclass(frozen=True)
class Peer:
    """State of another gateway according to its last announcement.

    :param demands: tokens per second, by team
    :param committed: tokens used in the window of the limit plus reserved
        tokens, by team
    :param team_ms: when each team was last told of
    :param received_ms: when the announcement was received
    :param is_starting: whether it is still asking what it had used before it
        was started
    :param rooms: demand by service, None if it announces none, as an older
        release does
    """

    demands: dict[str, float]
    committed: dict[str, float]
    team_ms: dict[str, int]
    received_ms: int
    is_starting: bool = False
    rooms: typing.Mapping[str, demand_share.Demand] | None = None


def receive(
    sharing: ttypes.Sharing, previous: Peer | None, now_ms: int, since_ms: int
) -> Peer:
    """Returns the state of a peer that has announced itself.

    :param sharing: its announcement; if it is partial, teams that are missing
        are as they were told before
    :param previous: its state before, None if it is new or started again
    :param now_ms: the current time
    :param since_ms: teams that were last told of before don't count any more
    :return: its state now
    """
    demands = {
        demand.team: max(0, demand.tokens_per_s) for demand in sharing.demands
    }
    committed = {
        demand.team: max(0, demand.committed) for demand in sharing.demands
    }
    team_ms = dict.fromkeys(committed, now_ms)
    if sharing.partial and previous is not None:
        for team, at_ms in previous.team_ms.items():
            if team not in team_ms and at_ms > since_ms:
                team_ms[team] = at_ms
                demands[team] = previous.demands[team]
                committed[team] = previous.committed[team]
    return Peer(
        demands,
        committed,
        team_ms,
        now_ms,
        is_starting=bool(sharing.starting),
        rooms=room_demand.decode(sharing.room_demands),
    )
