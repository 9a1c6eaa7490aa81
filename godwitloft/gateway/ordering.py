"""Decides which waiting request goes first.

The load that it answers: a burst in which not all can be served, so that
what is served late takes the place of what could be on time.
"""

from godwitloft.gateway import request as requests

TEAM_RANKS = 2
ROUTE_RANKS = 3
URGENCIES = 2 * TEAM_RANKS * ROUTE_RANKS


def order_key(
    request: requests.Request, now_ms: int
) -> tuple[bool, tuple[int, int], int]:
    """Returns what waiting requests are sorted by.

    Requests that can still be answered on time go before late ones, which
    are worth less; then the more important, then the older.

    :param request: a waiting request
    :param now_ms: the time
    :return: a key; the smallest goes first
    """
    facts = request.facts
    late = now_ms >= facts.target_at_ms and not request.exchange.started
    return late, facts.rank, facts.arrived_ms


def urgency(request: requests.Request, now_ms: int) -> int:
    """Returns how urgent a waiting request is, as agents are told.

    :param request: a waiting request
    :param now_ms: the time
    :return: 0 for the most urgent, below ``URGENCIES``
    """
    late, (rank, route_rank), _arrived_ms = order_key(request, now_ms)
    rank = min(rank, TEAM_RANKS - 1)
    route_rank = min(route_rank, ROUTE_RANKS - 1)
    return (late * TEAM_RANKS + rank) * ROUTE_RANKS + route_rank
