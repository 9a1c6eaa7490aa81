"""Allocates the slots of one upstream to the gateways that use it.

In a burst, several gateways with unequal shares of the load use an upstream
together. As each sees only its own requests, it would by itself use too few
slots while the others are idle, and too many during the burst.
"""

import dataclasses
import heapq
import operator
import typing
import zlib

HASH_RANGE = 1 << 32


@dataclasses.dataclass(frozen=True)
class Claim:
    """Running and waiting requests of one gateway.

    :param gateway: incarnation of the gateway
    :param running: number of its requests that run at the upstream
    :param waiting: number of its waiting requests by urgency, the most urgent
        first
    :param spare_order: sort key by which spare slots are spread, as
        :func:`spare_order` returns it
    """

    gateway: str
    running: int
    waiting: tuple[int, ...]
    spare_order: tuple[bool, int]


def spare_order(
    upstream: str, gateway: str, same_zone: bool
) -> tuple[bool, int]:
    """Returns the sort key by which spare slots are spread over gateways.

    Gateways in the upstream's availability zone are first, as traffic between
    zones is expensive. Different upstreams prefer different gateways.

    :param upstream: identity of the upstream
    :param gateway: incarnation of the gateway
    :param same_zone: whether it is in the upstream's availability zone
    """
    return not same_zone, zlib.crc32(f"{upstream} {gateway}".encode())


def allocate(
    slots: int,
    unclaimed: int,
    claims: typing.Sequence[Claim],
    by_demand: bool = False,
) -> dict[str, int]:
    """Returns how many requests each gateway may start.

    Free slots go to the most urgent waiting requests. Within an urgency, they
    go to the gateways in turn, or in proportion to what runs and waits there.
    Running requests count then as slots are freed one at a time: in proportion
    to what waits alone, the longest queue would get each. The remaining ones
    are spread over all gateways, so that a request that arrives at any of them
    can start at once. The order is fixed, so that few grants change when a
    request starts or ends.

    :param slots: number of requests that the upstream runs concurrently
    :param unclaimed: number of requests at the upstream that no claim includes
    :param claims: claims of all gateways, in the order in which they are
        served
    :param by_demand: whether gateways get slots in proportion, not in turn
    :return: number of starts by gateway
    """
    free = slots - unclaimed
    starts = {}
    running = {}
    rounding = {}
    waiting = []
    for claim in claims:
        free -= claim.running
        starts[claim.gateway] = 0
        running[claim.gateway] = claim.running
        rounding[claim.gateway] = claim.spare_order[1] / HASH_RANGE
        if claim.waiting:
            waiting.append(claim)
    depth = max((len(claim.waiting) for claim in waiting), default=0)
    for urgency in range(depth):
        open_claims = {
            claim.gateway: claim.waiting[urgency]
            for claim in waiting
            if urgency < len(claim.waiting) and claim.waiting[urgency] > 0
        }
        if by_demand:
            free = _divide(starts, open_claims, running, rounding, free)
        else:
            free = _distribute(starts, open_claims, free)
    if free > 0:
        nearest = heapq.nsmallest(
            free, claims, key=operator.attrgetter("spare_order")
        )
        _distribute(starts, {claim.gateway: slots for claim in nearest}, free)
    return starts


def _divide(
    starts: dict[str, int],
    requested: dict[str, int],
    running: dict[str, int],
    rounding: dict[str, float],
    free: int,
) -> int:
    if free >= sum(requested.values()):
        for gateway, number in requested.items():
            starts[gateway] += number
        return free - sum(requested.values())
    if free <= 0 or not requested:
        return free

    def served(gateway: str, more: int) -> float:
        used = running[gateway] + starts[gateway]
        return (used + rounding[gateway]) / (used + requested[gateway] - more)

    # Divisor method. Rounding differs by upstream, so that a gateway with few
    # requests gets its part at some of the upstreams rather than at none.
    heap = [
        (served(gateway, 0), number, gateway, 0)
        for number, gateway in enumerate(requested)
    ]
    heapq.heapify(heap)
    while free > 0:
        _served, number, gateway, given = heap[0]
        starts[gateway] += 1
        given += 1
        free -= 1
        if given == requested[gateway]:
            heapq.heappop(heap)
        else:
            key = served(gateway, given)
            heapq.heapreplace(heap, (key, number, gateway, given))
    return 0


def _distribute(
    starts: dict[str, int], requested: dict[str, int], free: int
) -> int:
    while free > 0 and requested:
        for gateway in list(requested):
            if free <= 0:
                break
            starts[gateway] += 1
            free -= 1
            requested[gateway] -= 1
            if requested[gateway] <= 0:
                del requested[gateway]
    return free
