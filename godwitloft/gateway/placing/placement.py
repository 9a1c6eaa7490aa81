"""Chooses upstreams for requests and estimates waiting times.

Pure functions over immutable data. Designed for bursts of some seconds of
twice the capacity of the engines, for engines whose speeds differ by a factor
of five, and for several gateways that don't know each other's requests.
"""

import dataclasses
import math
import typing

# Delay that is accepted to avoid traffic between availability zones.
OTHER_ZONE_COST_MS = 30.0
REFERENCE_START_MS = 50.0
REFERENCE_PROMPT_TOKENS_PER_MS = 80.0
# Relative delay of the first data at a fully loaded upstream, in addition to
# the time for pending prompts.
LOAD_FACTOR = 1.0
# Usual time until a fully loaded upstream has a free slot.
BUSY_WAIT_MS = 100.0
# With fewer slots of a service for each gateway, some would have hardly any.
MIN_SLOTS_PER_GATEWAY = 2
MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True)
class Place:
    """An upstream that could run a request.

    :param id: identity of the upstream
    :param same_zone: whether it is in the gateway's availability zone
    :param running: number of this gateway's requests that it runs
    :param allowed: number of this gateway's requests that it may run
    :param slots: number of requests that it runs concurrently
    :param slowness: its time to first data relative to the reference
    :param pending_prompt_tokens: prompt tokens of all requests that it has not
        processed yet
    :param paused: whether it is paused after failures
    """

    id: str
    same_zone: bool
    running: int
    allowed: int
    slots: int
    slowness: float
    pending_prompt_tokens: int
    paused: bool

    @property
    def has_room(self) -> bool:
        """Whether this gateway may start another request there."""
        return self.running < self.allowed


@dataclasses.dataclass(frozen=True)
class ServiceSlots:
    """Slots of a service, as seen from one of its upstreams.

    :param total: slots of all its upstreams
    :param before: slots of those that come before this one in the order of
        their ids
    """

    total: int
    before: int


@dataclasses.dataclass(frozen=True)
class Part:
    """The part of a service's slots that is one gateway's.

    :param gateways: number of live gateways
    :param place: place of this one in the service's order of them, from 0
    :param factor: how many times the slots all gateways together may use
    """

    gateways: int
    place: int
    factor: float


def allowed_without_agent(
    slots: int, service: ServiceSlots, part: Part
) -> int:
    """Returns how many requests one gateway may run at an upstream.

    Where gateways outnumber the slots, each uses some of the upstreams only:
    the upstreams are handed out to the gateways in turn.

    :param slots: number of requests that the upstream runs concurrently
    :param service: slots of the upstreams of its service
    :param part: the gateway's part
    :return: number of requests; at least 1 if the service has too few slots
        for each gateway to have some
    """
    if part.gateways <= 1:
        return max(1, slots)
    first = int(service.before * part.factor)
    end = int((service.before + slots) * part.factor)
    allowed, rest = divmod(end - first, part.gateways)
    allowed += (part.place - first) % part.gateways < rest
    if service.total < MIN_SLOTS_PER_GATEWAY * part.gateways:
        return max(1, allowed)
    return allowed


def choose(
    places: typing.Sequence[Place],
    prompt_tokens: int,
    remaining_ms: float,
    tried: typing.Container[str] = (),
) -> Place | None:
    """Chooses the upstream for a request.

    The one with the least expected time to first data is chosen. A paused
    upstream is used only if there is no other. An upstream whose answer would
    be late is used only if no fully loaded one could answer on time.

    :param places: all upstreams of the request's service
    :param prompt_tokens: prompt tokens of the request
    :param remaining_ms: time until the answer is due
    :param tried: upstreams that have already refused or failed the request
    :return: an upstream with a free slot, None to keep the request waiting
    """
    untried = [place for place in places if place.id not in tried]
    healthy = [place for place in untried if not place.paused]
    candidates = healthy or untried
    available = [place for place in candidates if place.has_room]
    if not available:
        return None
    best = min(available, key=lambda place: cost_ms(place, prompt_tokens))
    best_ms = expected_ms(best, prompt_tokens)
    if best_ms <= remaining_ms or remaining_ms <= 0:
        return best
    for place in candidates:
        if expected_ms(place, prompt_tokens) + BUSY_WAIT_MS <= remaining_ms:
            return None
    return best


def reference_first_data_ms(prompt_tokens: int) -> float:
    """Returns the reference time: first data of an idle engine of slowness 1.

    :param prompt_tokens: prompt tokens to be processed before
    :return: milliseconds
    """
    return REFERENCE_START_MS + prompt_tokens / REFERENCE_PROMPT_TOKENS_PER_MS


def expected_ms(place: Place, prompt_tokens: int) -> float:
    """Estimates the time to first data of a request.

    :param place: an upstream
    :param prompt_tokens: prompt tokens of the request
    :return: milliseconds from sending
    """
    load = place.running / max(1, place.slots)
    reference_ms = reference_first_data_ms(
        place.pending_prompt_tokens + prompt_tokens
    )
    return place.slowness * reference_ms * (1.0 + LOAD_FACTOR * load)


def cost_ms(place: Place, prompt_tokens: int) -> float:
    """Returns the cost of running a request at an upstream.

    :param place: an upstream
    :param prompt_tokens: prompt tokens of the request
    :return: expected milliseconds, plus the cost of another availability zone
    """
    zone_cost_ms = 0.0 if place.same_zone else OTHER_ZONE_COST_MS
    return expected_ms(place, prompt_tokens) + zone_cost_ms


@dataclasses.dataclass(frozen=True)
class Queue:
    """State of the queue of one service.

    :param ahead: number of requests that go first, as far as expected
    :param per_s: recent start rate in requests per second
    """

    ahead: float
    per_s: float


def expected_wait_ms(queue: Queue) -> float:
    """Estimates how long a new request would wait.

    :param queue: requests that wait before it, and their start rate
    :return: milliseconds, infinite if requests wait and none are started
    """
    if queue.ahead <= 0:
        return 0.0
    if queue.per_s <= 0:
        return math.inf
    return queue.ahead / queue.per_s * MS_PER_S
