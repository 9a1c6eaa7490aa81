"""Orders waiting requests.

In a burst in which not all requests can be served, a request that is served
late takes the slot of one that could be answered on time. A stream that its
caller takes up again is never late: its answer has begun, and what has come of
it is lost unless it goes on.
"""

from godwitloft.gateway import request as requests

# Added to the rank of a request that can no longer be answered on time. It
# goes after the timely requests of the next rank, which are worth about as
# much, and before all others.
LATE_RANK_PENALTY = 1.5
# Rank of a request that its group is owed, before all others.
OWED_RANK = -1
# Ranks of timely and late requests, as sent to agents in wants.
MAX_ANNOUNCED_RANK = 2
ANNOUNCED_RANKS = (0.0, 1.0, 1.5, 2.0, 2.5, 3.5)
ROUTE_RANKS = 3
# Added to the rank of a request above its team's share: it goes after all that
# are within theirs, whatever their ranks.
ABOVE_SHARE_PENALTY = 1_000
URGENCIES = len(ANNOUNCED_RANKS) * ROUTE_RANKS


def order_key(
    request: requests.Request, now_ms: int
) -> tuple[float, int, bool, int]:
    """Returns the sort key of a waiting request.

    Requests that a group is owed go first, on time or late, then more
    important ones. Of equally important ones, streams that are taken up again
    go first, then requests that their callers first sent earlier, so that a
    retry isn't placed behind newer requests. Late requests are ordered as less
    important than their rank. Requests above their teams' shares go last.

    :param request: a waiting request
    :param now_ms: the current time
    :return: a key, the smallest goes first
    """
    facts = request.facts
    rank, route_rank = facts.rank
    if request.owed:
        lowered: float = OWED_RANK
    else:
        lowered = rank + LATE_RANK_PENALTY * is_late(request, now_ms)
        lowered += ABOVE_SHARE_PENALTY * request.above_share
    return (
        lowered,
        route_rank,
        not facts.takes_up_stream,
        request.first_asked_ms,
    )


def is_late(request: requests.Request, now_ms: int) -> bool:
    """Returns whether a waiting request can no longer be answered on time.

    :param request: a waiting request
    :param now_ms: the current time
    :return: whether its answer would begin late; False if the answer has
        begun, also in an earlier attempt of its caller
    """
    return (
        now_ms >= request.start_by_ms
        and not request.exchange.started
        and not request.facts.takes_up_stream
    )


def urgency(request: requests.Request, now_ms: int) -> int:
    """Returns the urgency of a waiting request, as sent to agents.

    :param request: a waiting request
    :param now_ms: the current time
    :return: 0 for the most urgent, less than :data:`URGENCIES`
    """
    if request.owed:
        return 0
    return _urgency(request, is_late(request, now_ms))


def timely_urgency(request: requests.Request) -> int:
    """Returns the urgency that a request has as long as it isn't late.

    :param request: a request
    :return: as :func:`urgency` returns it
    """
    return _urgency(request, late=False)


def _urgency(request: requests.Request, late: bool) -> int:
    rank, route_rank = request.facts.rank
    if request.above_share:
        return URGENCIES - ROUTE_RANKS + min(route_rank, ROUTE_RANKS - 1)
    announced = min(rank, MAX_ANNOUNCED_RANK) + LATE_RANK_PENALTY * late
    position = ANNOUNCED_RANKS.index(announced)
    return position * ROUTE_RANKS + min(route_rank, ROUTE_RANKS - 1)
