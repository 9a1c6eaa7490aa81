"""Keeps groups of requests from starving under overload.

Answers the load pattern in which important requests alone fill the upstreams
for longer than callers wait: in strict order by rank nothing else would be
served. Each group of requests (a route, a team, the largest requests of a
route) is owed a part of the share that all requests of the service get.

What a group is owed is counted in credits: it grows with each request that
arrives and shrinks with each one that starts. A group with a whole credit has
its next request started before all others. Without overload more requests
start than are owed, so that the order is by rank alone.
"""

import collections
import typing

# A group's requests are served at least this often, compared with all
# requests of the service.
FLOOR_SHARE = 0.7
# More is not made up for after an outage, so that a group which could not be
# served for long doesn't displace the others afterwards.
MAX_CREDITS = 3.0
MIN_CREDITS = -1.0
# Credits that a start uses; an answer that begins late is worth less.
TIMELY_CREDITS = 1.0
LATE_CREDITS = 0.3
# Largest tenth of a route's requests, and the fifth below it.
LARGEST_SHARE = 0.1
UPPER_SHARE = 0.3

Credits = typing.Mapping[str, float]


def credits_used(late: bool) -> float:
    """Returns the credits that the start of a request uses.

    :param late: whether its answer will begin late
    """
    return LATE_CREDITS if late else TIMELY_CREDITS


def after_arrival(credits: float, served_share: float) -> float:
    """Returns a group's credits after one of its requests has arrived.

    :param credits: its credits before
    :param served_share: credits used per arrived request, over all groups of
        the service
    """
    return min(MAX_CREDITS, credits + FLOOR_SHARE * served_share)


def after_start(credits: float, late: bool) -> float:
    """Returns a group's credits after one of its requests has started.

    :param credits: its credits before
    :param late: whether its answer will begin late
    """
    return max(MIN_CREDITS, credits - credits_used(late))


def credits_when_owed(credits_of_all: float) -> float:
    """Returns the credits with which a group is owed its next request.

    What all requests of a service lack while no upstream is free isn't owed to
    one group.

    :param credits_of_all: credits of the group of all requests
    """
    return TIMELY_CREDITS + max(0.0, credits_of_all)


def select_owed(
    waiting: typing.Sequence[tuple[str, ...]],
    credits: Credits,
    least: float,
) -> list[bool]:
    """Selects the waiting requests that their groups are owed.

    :param waiting: groups of each waiting request, those to be preferred first
    :param credits: credits by group, 0 for others
    :param least: credits with which a group is owed a request
    :return: for each of them whether it goes before those that aren't owed;
        no group gets more than its whole credits
    """
    selected_before: collections.Counter[str] = collections.Counter()
    selected = []
    for groups in waiting:
        is_owed = any(
            credits.get(group, 0.0) - selected_before[group] >= least
            for group in groups
        )
        selected.append(is_owed)
        if is_owed:
            selected_before.update(groups)
    return selected


def size_group(size: float, sizes: typing.Sequence[float]) -> str:
    """Returns the group of a request by its size.

    :param size: size of the request
    :param sizes: sizes of recent requests of the same route, in ascending
        order
    :return: ``largest``, ``upper`` or empty for all others
    """
    count = len(sizes)
    if size > sizes[int(count * (1 - LARGEST_SHARE))]:
        return "largest"
    if size > sizes[int(count * (1 - UPPER_SHARE))]:
        return "upper"
    return ""
