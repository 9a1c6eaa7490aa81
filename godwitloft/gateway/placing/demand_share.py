"""Divides the room of a service's upstreams among gateways by their demand.

Pure functions. Designed for callers that are spread unevenly over gateways:
half of them at one of 14, a zone with 60 % of them, waves that are out of
phase between zones, and a burst of the least urgent requests at one gateway
beside a steady urgent stream at others.

All gateways evaluate the same functions on the same announcements, so that
the shares add up without a coordinator.
"""

import collections
import dataclasses
import typing

# Weights are integers in this fraction of a slot, as floating-point sums
# depend on their order, and gateways must arrive at the same result.
UNIT = 1024
# Claims are announced in this fraction of a slot: where gateways have few
# slots each, whole numbers are off by half.
CLAIM_UNIT = 16
# A claim counts for no more than this many times all upstreams of the
# service, which bounds what an overstated one takes from others.
MAX_CLAIM_ROOMS = 8
# A gateway may get this many times what it runs, and an equal share besides:
# its demand grows to any size within a few announcements, and a claim without
# running requests takes no more than an equal share from others.
MAX_GROWTH = 2
# What bounded claims leave is divided again so many times.
MAX_ROUNDS = 3
# Under overload, an idle gateway keeps an equal share of this part.
IDLE_PART = 16
# Otherwise, this part of what nobody claims is divided equally.
SPARE_PART = 2
# Running requests in excess of a share count from this part of it on, as
# shares are whole numbers and announcements lag behind.
EXCESS_PART = 8
MIN_EXCESS = 2
# Fractional part of the golden ratio, in units of 2 ** -64: multiples of it
# are spread evenly over the range at any count.
GOLDEN_STEP = 0x9E3779B97F4A7C15
RANGE = 1 << 64


@dataclasses.dataclass(frozen=True)
class Demand:
    """What one gateway asks of one service.

    :param running: number of its requests that run
    :param waiting: number of its waiting requests by urgency, the most urgent
        first
    :param claimed: slots that its arriving and waiting requests need, whether
        they are admitted or refused, by urgency, in units of
        1 / :data:`CLAIM_UNIT`
    """

    running: int = 0
    waiting: tuple[int, ...] = ()
    claimed: tuple[int, ...] = ()

    def claims(self) -> tuple[int, ...]:
        """Returns the claims by urgency, in :data:`CLAIM_UNIT`."""
        unclaimed = self.running * CLAIM_UNIT - sum(self.claimed)
        if unclaimed <= 0:
            return self.claimed
        # Their urgency isn't known.
        before = self.claimed or (0,)
        return *before[:-1], before[-1] + unclaimed

    @property
    def most_urgent(self) -> int | None:
        """Urgency of the most urgent waiting request, None if none waits."""
        for urgency, count in enumerate(self.waiting):
            if count > 0:
                return urgency
        return None


@dataclasses.dataclass(frozen=True)
class Division:
    """How the slots of a service are divided.

    :param quotas: number of slots by gateway; their sum is the part of the
        slots that may be used now
    :param claimed: number of slots that all gateways claim
    """

    quotas: dict[str, int]
    claimed: int


class SlotOrder:
    """The slots of a service's upstreams in an order that mixes upstreams.

    A few consecutive slots of this order belong to different upstreams, so
    that a gateway depends neither on one upstream nor on slow ones only.

    :param slots: number of slots by upstream; all gateways with the same list
        have the same order
    """

    def __init__(self, slots: typing.Mapping[str, int]) -> None:
        owners = [
            name for name in sorted(slots) for _ in range(max(0, slots[name]))
        ]
        positions = sorted(
            range(len(owners)),
            key=lambda number: number * GOLDEN_STEP % RANGE,
        )
        counts: collections.Counter[str] = collections.Counter()
        numbers = []
        for name in owners:
            numbers.append(counts[name])
            counts[name] += 1
        # Upstream of each slot, and number of the slot there.
        self.slots = [
            (owners[position], numbers[position]) for position in positions
        ]

    def shares(
        self, spans: typing.Iterable[range], rooms: typing.Mapping[str, int]
    ) -> dict[str, int]:
        """Returns the number of slots by upstream.

        A slot beyond an upstream's room is nobody's.

        :param spans: positions in the order
        :param rooms: number of requests that each upstream takes now
        """
        shares: dict[str, int] = {}
        for span in spans:
            for name, number in self.slots[span.start : span.stop]:
                if number < rooms.get(name, 0):
                    shares[name] = shares.get(name, 0) + 1
        return shares


def divide(
    demands: typing.Mapping[str, Demand], slots: int, room: int
) -> Division:
    """Divides the slots of a service.

    The most urgent claims are met first. Claims of an urgency that can't all
    be met are met in proportion.

    :param demands: demand by gateway, including idle ones
    :param slots: number of slots of all upstreams
    :param room: number of requests that all of them take
    """
    names = sorted(demands)
    claims = {
        name: _bounded(
            demands[name].claims(), MAX_CLAIM_ROOMS * room * CLAIM_UNIT
        )
        for name in names
    }
    equal = room * UNIT // len(names)
    most = {
        name: MAX_GROWTH * min(demands[name].running, room) * UNIT + equal
        for name in names
    }
    met = _meet(claims, most, room * UNIT)
    spare = max(0, room * UNIT - sum(met.values()))
    each = spare // SPARE_PART // len(names)
    weights = [max(met[name] + each, equal // IDLE_PART, 1) for name in names]
    usable = slots - _excess(
        [demands[name].running for name in names], weights, room, slots
    )
    return Division(
        dict(zip(names, _apportion(weights, usable), strict=True)),
        sum(sum(claim) for claim in claims.values()) // CLAIM_UNIT,
    )


def spans(
    quotas: typing.Mapping[str, int], slots: int, gateway: str
) -> list[range]:
    """Returns the positions of a gateway's slots in the order of all slots.

    Each gateway has an equal part of the positions. One with a smaller quota
    lends the end of its part, and those with a larger quota borrow. So a
    change of one gateway's quota moves few slots of the others, whose requests
    still run there.

    :param quotas: number of slots by gateway, no more than there are
    :param slots: number of all slots
    :param gateway: its name
    """
    names = sorted(quotas)
    count = len(names)
    lent: list[range] = []
    before = 0
    missing = 0
    own = range(0)
    for number, name in enumerate(names):
        start = slots * number // count
        end = slots * (number + 1) // count
        used = min(end, start + quotas[name])
        if used < end:
            lent.append(range(used, end))
        if name == gateway:
            own = range(start, used)
            missing = quotas[name] - len(own)
        elif name < gateway:
            before += quotas[name] - (used - start)
    found = [own] if own else []
    for part in lent:
        if missing <= 0:
            break
        if before >= len(part):
            before -= len(part)
            continue
        start = part.start + before
        before = 0
        borrowed = range(start, min(part.stop, start + missing))
        missing -= len(borrowed)
        found.append(borrowed)
    return found


def _bounded(claims: tuple[int, ...], most: int) -> list[int]:
    bounded = []
    for claim in claims:
        counted = min(max(0, claim), most)
        bounded.append(counted)
        most -= counted
    return bounded


def _meet(
    claims: dict[str, list[int]], most: dict[str, int], free: int
) -> dict[str, int]:
    met = dict.fromkeys(claims, 0)
    depth = max(map(len, claims.values()))
    for urgency in range(depth):
        asked = {
            name: claim[urgency] * UNIT // CLAIM_UNIT
            for name, claim in claims.items()
            if urgency < len(claim) and claim[urgency]
        }
        for _ in range(MAX_ROUNDS):
            total = sum(asked.values())
            given = min(total, free)
            if given <= 0:
                break
            for name, units in list(asked.items()):
                part = min(units * given // total, most[name] - met[name])
                met[name] += part
                free -= part
                asked[name] -= part
                if met[name] >= most[name]:
                    # What it doesn't get is there for the others.
                    del asked[name]
            if len(asked) == len(claims):
                break
    return met


def _excess(
    running: list[int], weights: list[int], room: int, slots: int
) -> int:
    total = sum(weights)
    excess = 0
    for number, weight in zip(running, weights, strict=True):
        share = room * weight // total
        allowed = share + max(MIN_EXCESS, share // EXCESS_PART)
        excess += max(0, min(number, room) - allowed)
    # Slots count in place of room, as slots beyond the room are nobody's.
    return min(slots, excess * slots // max(1, room))


def _apportion(weights: list[int], number: int) -> list[int]:
    total = sum(weights)
    parts = []
    before = 0
    given = 0
    for weight in weights:
        before += weight
        end = number * before // total
        parts.append(end - given)
        given = end
    return parts
