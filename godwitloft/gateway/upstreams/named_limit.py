"""Decides when a request may start at an upstream that has named a limit.

The limit is a number of requests a second from all gateways together, which
don't know each other's requests. Each takes an equal share. Where so many
gateways share a low limit that one request of each would be too many, they
take turns on the time of day.
"""

import dataclasses

from godwitloft import clock as clocks

# Only an answer takes a limit back, so an upstream is asked now and then.
MIN_PER_S = 0.25
# As many gateways may start one request each at the same time as the limit
# allows in this time.
MAX_AT_ONCE_S = 2.0
# Part of a cycle of turns that must lie between two requests of a gateway,
# whatever its time of day does.
MIN_CYCLE_PART = 0.5


@dataclasses.dataclass(frozen=True)
class Statement:
    """What an upstream has last said of its limit.

    :param per_s: requests a second, None if it has said no limit
    :param at_ms: when it was received
    :param wall_ms: the same as a time of day
    :param own: whether this gateway received it, not a peer
    """

    per_s: float | None
    at_ms: int
    wall_ms: int
    own: bool


@dataclasses.dataclass(frozen=True)
class Turn:
    """The situation of a gateway when a request may start.

    :param gateways: number of gateways
    :param place: place of this one in their order, from 0
    :param idle_ms: time since it last started a request at the upstream
    :param wall_ms: the time of day, in Unix milliseconds
    """

    gateways: int
    place: int
    idle_ms: int
    wall_ms: int


def may_start(per_s: float, turn: Turn) -> bool:
    """Returns whether a gateway may start a request.

    :param per_s: limit of the upstream, in requests a second
    :param turn: situation of the gateway
    """
    per_s = max(MIN_PER_S, per_s)
    slot_ms = clocks.MS_PER_S / per_s
    cycle_ms = slot_ms * turn.gateways
    if turn.gateways <= max(1, MAX_AT_ONCE_S * per_s):
        return turn.idle_ms >= cycle_ms
    if turn.idle_ms < MIN_CYCLE_PART * cycle_ms:
        return False
    return int(turn.wall_ms / slot_ms) % turn.gateways == turn.place
