"""Decides which waiting request goes first.

The load that it answers: a burst in which not all can be served, so that
what is served late takes the place of what could be on time.
"""

from godwitloft.gateway import request as requests

# By how many ranks a request that can't be on time any more goes down: below
# the next rank's timely ones, as it earns about as much as they do and is
# more important than all others.
LATE_RANK_PENALTY = 1.5
# Ranks of timely and late requests, as agents are told.
MAX_ANNOUNCED_RANK = 2
ANNOUNCED_RANKS = (0.0, 1.0, 1.5, 2.0, 2.5, 3.5)
ROUTE_RANKS = 3
URGENCIES = len(ANNOUNCED_RANKS) * ROUTE_RANKS


def order_key(
    request: requests.Request, now_ms: int
) -> tuple[float, int, int]:
    """Returns what waiting requests are sorted by.

    The more important go first, then the older. Late ones count as less
    important than they are.

    :param request: a waiting request
    :param now_ms: the time
    :return: a key; the smallest goes first
    """
    rank, route_rank = request.facts.rank
    lowered = rank + LATE_RANK_PENALTY * is_late(request, now_ms)
    return lowered, route_rank, request.facts.arrived_ms


def is_late(request: requests.Request, now_ms: int) -> bool:
    """Tells whether a waiting request can't be answered on time any more.

    :param request: a waiting request
    :param now_ms: the time
    :return: whether its answer would begin late; never of one that has begun
    """
    return now_ms >= request.start_by_ms and not request.exchange.started


def urgency(request: requests.Request, now_ms: int) -> int:
    """Returns how urgent a waiting request is, as agents are told.

    :param request: a waiting request
    :param now_ms: the time
    :return: 0 for the most urgent, below ``URGENCIES``
    """
    rank, route_rank = request.facts.rank
    announced = min(rank, MAX_ANNOUNCED_RANK) + LATE_RANK_PENALTY * is_late(
        request, now_ms
    )
    position = ANNOUNCED_RANKS.index(announced)
    return position * ROUTE_RANKS + min(route_rank, ROUTE_RANKS - 1)
