"""Decides which waiting request goes where, and which are turned away.

Pure functions over frozen data. The load that they answer: bursts of twice
what the engines can do for some seconds, on engines whose speeds differ by
five times, seen by several gateways that don't know each other's work.
"""

import dataclasses
import math
import typing

OTHER_ZONE_FACTOR = 1.15
SMALLEST_LOAD = 0.05
# Gateways get unequal shares of the callers, so each may take more of an
# upstream than its equal share.
UNEVEN_FACTOR = 1.6
MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True)
class Place:
    """An upstream that could take a request.

    :param id: its identity
    :param same_zone: whether it is in the gateway's availability zone
    :param running: requests that this gateway has there
    :param allowed: requests that this gateway may have there
    :param slots: requests that it works on at the same time
    :param slowness: its time to the first data against the usual one
    :param tried: whether it has already refused or failed this request
    :param paused: whether it failed lately
    """

    id: str
    same_zone: bool
    running: int
    allowed: int
    slots: int
    slowness: float
    tried: bool
    paused: bool


def allowed_without_agent(slots: int, gateways: int) -> int:
    """Returns how many requests one gateway may have at an upstream.

    :param slots: requests that the upstream works on at the same time
    :param gateways: gateways that are alive
    :return: at least 1
    """
    if gateways <= 1:
        return max(1, slots)
    return max(1, math.ceil(slots * UNEVEN_FACTOR / gateways))


def choose(places: typing.Sequence[Place]) -> Place | None:
    """Returns where a request should go now.

    The least expected time to the first part of the answer wins. A place
    that failed lately is used only if there is no other.

    :param places: all upstreams of its service
    :return: one with room, or None
    """
    room = [
        place
        for place in places
        if place.running < place.allowed and not place.tried
    ]
    sound = [place for place in room if not place.paused]
    if not sound and any(
        not place.paused and not place.tried for place in places
    ):
        # Sound upstreams are busy: waiting for one beats a failing one.
        return None
    candidates = sound or room
    if not candidates:
        return None
    return min(candidates, key=cost)


def cost(place: Place) -> float:
    """Returns a number that is the lower the better a place is.

    :param place: an upstream
    :return: expected time to the first data, in no unit of its own
    """
    load = max(SMALLEST_LOAD, (place.running + 1) / max(1, place.slots))
    distance = 1.0 if place.same_zone else OTHER_ZONE_FACTOR
    return place.slowness * (1.0 + load) * load * distance


@dataclasses.dataclass(frozen=True)
class Queue:
    """What is known of the requests that wait for one service.

    :param ahead: waiting requests that go first
    :param per_s: requests that were started a second, lately
    """

    ahead: int
    per_s: float


def expected_wait_ms(queue: Queue) -> float:
    """Returns how long a new request would wait.

    :param queue: what waits before it
    :return: milliseconds; infinite if something waits and nothing starts
    """
    if queue.ahead == 0:
        return 0.0
    if queue.per_s <= 0:
        return math.inf
    return queue.ahead / queue.per_s * MS_PER_S
