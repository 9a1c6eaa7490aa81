"""Counts what groups of requests to one service are owed under overload.

The rules are in :mod:`godwitloft.policy.served_floor`.
"""

import collections
import dataclasses
import math
import typing

from godwitloft.gateway import request as requests
from godwitloft.policy import served_floor

# The share that is served is a mean over about this time.
SHARE_DECAY_MS = 5_000.0
# Sizes of this many requests of a route are compared, once there are enough.
SIZES_KEPT = 200
MIN_SIZES = 20
SIZES_SORTED_AFTER = 20
# An output token takes about as long as this many prompt tokens.
OUTPUT_TOKEN_WEIGHT = 10
# Contains all requests of the service.
ALL = "all"
# With more groups, those that are owed nothing are forgotten.
MAX_GROUPS = 2_000


@dataclasses.dataclass(frozen=True)
class Group:
    """Requests that are owed a part of what is served.

    :param name: unique name
    :param compared_with: name of the group of which it is owed a part
    """

    name: str
    compared_with: str


class RouteSizes:
    """Sizes of the latest requests of a route."""

    def __init__(self) -> None:
        self.latest: collections.deque[float] = collections.deque(
            maxlen=SIZES_KEPT
        )
        self.ascending: list[float] = []
        self.unsorted = 0

    def add(self, size: float) -> str:
        """Adds a request.

        :param size: its size
        :return: its group among the requests of the route
        """
        self.latest.append(size)
        self.unsorted += 1
        if self.unsorted >= SIZES_SORTED_AFTER:
            self.ascending = sorted(self.latest)
            self.unsorted = 0
        if len(self.ascending) < MIN_SIZES:
            return ""
        return served_floor.size_group(size, self.ascending)


class Tally:
    """Decaying numbers of arrived requests and of credits used."""

    def __init__(self) -> None:
        self.arrived = 0.0
        self.used = 0.0
        self.decayed_ms = 0

    @property
    def served_share(self) -> float:
        """Credits used per arrived request; 1 if all were served on time."""
        return min(1.0, self.used / self.arrived) if self.arrived else 1.0

    def decay(self, now_ms: int) -> None:
        """Lets earlier requests count less.

        :param now_ms: the current time
        """
        factor = math.exp(-(now_ms - self.decayed_ms) / SHARE_DECAY_MS)
        self.decayed_ms = now_ms
        self.arrived *= factor
        self.used *= factor


class ServiceFloor:
    """Credits of the groups of requests to one service.

    A route and a team are compared with all requests of the service, the
    largest requests of a route with all of that route.
    """

    def __init__(self) -> None:
        self.credits: dict[str, float] = {}
        # Groups that have a whole credit.
        self.owed_groups: set[str] = set()
        self.sizes: dict[str, RouteSizes] = {}
        # Of all requests and of each route.
        self.tallies: dict[str, Tally] = {}

    @property
    def least(self) -> float:
        """Credits with which a group is owed its next request."""
        return served_floor.credits_when_owed(self.credits.get(ALL, 0.0))

    def groups_of(self, facts: requests.Facts) -> tuple[Group, ...]:
        """Returns the groups of a request that has just arrived.

        :param facts: its properties
        :return: all requests, its route, its team and its size
        """
        route = route_group(facts)
        groups = [Group(ALL, ALL), Group(route, ALL)]
        if facts.team is not None:
            groups.append(Group(f"team {facts.team.name}", ALL))
        if facts.sizes.stated:
            size = (
                facts.sizes.prompt_tokens
                + OUTPUT_TOKEN_WEIGHT * facts.sizes.output_tokens
            )
            sizes = self.sizes.setdefault(route, RouteSizes())
            size_name = sizes.add(size)
            if size_name:
                groups.append(Group(f"{size_name} of {route}", route))
        return tuple(groups)

    def tally(self, name: str, now_ms: int) -> Tally:
        """Returns a tally, decayed until now.

        :param name: of the group of all requests or of a route
        :param now_ms: the current time
        """
        tally = self.tallies.setdefault(name, Tally())
        tally.decay(now_ms)
        return tally

    def record_arrival(self, request: requests.Request, now_ms: int) -> None:
        """Records a new request, whether or not it will be refused.

        :param request: the request, whose groups are set here
        :param now_ms: the current time
        """
        request.groups = self.groups_of(request.facts)
        for name in (ALL, route_group(request.facts)):
            self.tally(name, now_ms).arrived += 1
        for group in request.groups:
            before = self.credits.get(group.name, 0.0)
            share = self.tallies[group.compared_with].served_share
            self.set_credits(
                group.name, served_floor.after_arrival(before, share)
            )
        if len(self.credits) > MAX_GROUPS:
            kept = self.owed_groups | {ALL}
            self.credits = {name: self.credits[name] for name in kept}

    def record_start(self, request: requests.Request, now_ms: int) -> None:
        """Records that a request is sent for the first time.

        :param request: the request
        :param now_ms: the current time
        """
        late = request.marked_late
        used = served_floor.credits_used(late)
        for name in (ALL, route_group(request.facts)):
            self.tally(name, now_ms).used += used
        for group in request.groups:
            before = self.credits.get(group.name, 0.0)
            self.set_credits(
                group.name, served_floor.after_start(before, late)
            )

    def set_credits(self, name: str, credits: float) -> None:
        """Changes the credits of a group.

        :param name: of the group
        :param credits: its new credits
        """
        self.credits[name] = credits
        if credits >= served_floor.TIMELY_CREDITS:
            self.owed_groups.add(name)
        else:
            self.owed_groups.discard(name)

    def mark_owed(self, waiting: typing.Sequence[requests.Request]) -> None:
        """Marks the waiting requests that go before those that aren't owed.

        :param waiting: waiting requests, those to be preferred first
        """
        if not self.owed_groups:
            for request in waiting:
                request.owed = False
            return
        owed = served_floor.select_owed(
            [_unstarted_groups(request) for request in waiting],
            self.credits,
            self.least,
        )
        for request, is_owed in zip(waiting, owed, strict=True):
            request.owed = is_owed

    def owes(
        self,
        request: requests.Request,
        waiting: typing.Sequence[requests.Request],
    ) -> bool:
        """Returns whether a new request would go before those not owed.

        :param request: a request that does not wait yet
        :param waiting: requests that wait for the service
        """
        names = _names(request.groups)
        if self.owed_groups.isdisjoint(names):
            return False
        groups = [
            _unstarted_groups(other)
            for other in waiting
            if other.state is requests.State.WAITING
        ]
        return served_floor.select_owed(
            [*groups, names], self.credits, self.least
        )[-1]


def route_group(facts: requests.Facts) -> str:
    """Returns the group of all requests to a route.

    :param facts: properties of a request to it
    """
    return f"route {facts.route.name}"


def _unstarted_groups(request: requests.Request) -> tuple[str, ...]:
    return () if request.attempt_count else _names(request.groups)


def _names(groups: tuple[Group, ...]) -> tuple[str, ...]:
    return tuple(group.name for group in groups)
