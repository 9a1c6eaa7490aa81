"""Divides the slots of one upstream among the gateways that use it.

The load that it answers: several gateways with unequal shares of a burst
fill an upstream together. Each of them sees only its own requests, so each
would take too little while the others are idle, and too much at the burst.
"""

import dataclasses
import typing
import zlib


@dataclasses.dataclass(frozen=True)
class Claim:
    """What one gateway runs at the upstream, and what waits there.

    :param gateway: its incarnation
    :param running: requests that it has at the upstream
    :param waiting: its waiting requests by urgency, the most urgent first
    :param is_near: whether it is in the upstream's availability zone
    """

    gateway: str
    running: int
    waiting: tuple[int, ...]
    same_zone: bool = False


def allocate(
    upstream: str,
    slots: int,
    unclaimed: int,
    claims: typing.Sequence[Claim],
) -> dict[str, int]:
    """Returns how many requests each gateway may start.

    Free slots go to the most urgent waiting requests, one to each gateway in
    turn. What is left is spread, so that a request that arrives anywhere can
    start at once: first to gateways that are near, as traffic between
    availability zones is dear, then to others, always in the same order, so
    that few grants change when one request begins or ends.

    :param upstream: its identity; each upstream prefers other gateways
    :param slots: requests that the upstream works on at the same time
    :param foreign: requests there that no claim knows of
    :param claims: of all gateways, in the order in which they are served
    :return: number of starts by gateway
    """
    running = sum(claim.running for claim in claims)
    free = slots - running - unclaimed
    starts = {claim.gateway: 0 for claim in claims}
    depth = max((len(claim.waiting) for claim in claims), default=0)
    for urgency in range(depth):
        open_claims = {
            claim.gateway: claim.waiting[urgency]
            for claim in claims
            if urgency < len(claim.waiting) and claim.waiting[urgency] > 0
        }
        free = _distribute(starts, open_claims, free)
    nearest_first = sorted(
        claims,
        key=lambda claim: (
            not claim.same_zone,
            zlib.crc32(f"{upstream} {claim.gateway}".encode()),
        ),
    )
    spare = {claim.gateway: slots for claim in nearest_first}
    _distribute(starts, spare, free)
    return starts


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
