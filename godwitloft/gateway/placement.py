"""Decides which waiting request goes where, and which are turned away.

Pure functions over frozen data. The load that they answer: bursts of twice
what the engines can do for some seconds, on engines whose speeds differ by
five times, seen by several gateways that don't know each other's work.
"""

import dataclasses
import math
import typing

# What traffic between availability zones is worth avoiding for.
OTHER_ZONE_COST_MS = 30.0
REFERENCE_START_MS = 50.0
REFERENCE_PROMPT_TOKENS_PER_MS = 80.0
# How much a full upstream delays the first data, besides its prompts.
LOAD_FACTOR = 1.0
# Time in which a busy upstream usually gets room.
BUSY_WAIT_MS = 100.0
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
    :param unread: prompt tokens that it has still to read, of all requests
    :param tried: whether it has already refused or failed this request
    :param paused: whether it failed lately
    """

    id: str
    same_zone: bool
    running: int
    allowed: int
    slots: int
    slowness: float
    pending_prompt_tokens: int
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


def choose(
    places: typing.Sequence[Place], prompt_tokens: int, remaining_ms: float
) -> Place | None:
    """Returns where a request should go now.

    The least expected time to the first part of the answer wins. A place
    that failed lately is used only if there is no other. A place that would
    be too late is used only if no busy one would be in time.

    :param places: all upstreams of its service
    :param prompt_tokens: of the request
    :param left_ms: time until its answer is due
    :return: one with room, or None
    """
    untried = [place for place in places if not place.tried]
    healthy = [place for place in untried if not place.paused]
    candidates = healthy or untried
    available = [
        place for place in candidates if place.running < place.allowed
    ]
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
    """Returns the time to the first data to which others are compared.

    :param prompt_tokens: to be read before
    :return: milliseconds
    """
    return REFERENCE_START_MS + prompt_tokens / REFERENCE_PROMPT_TOKENS_PER_MS


def expected_ms(place: Place, prompt_tokens: int) -> float:
    """Returns when the first data of a request would come.

    :param place: an upstream
    :param prompt_tokens: of the request
    :return: milliseconds from sending
    """
    load = place.running / max(1, place.slots)
    reference_ms = reference_first_data_ms(
        place.pending_prompt_tokens + prompt_tokens
    )
    return place.slowness * reference_ms * (1.0 + LOAD_FACTOR * load)


def cost_ms(place: Place, prompt_tokens: int) -> float:
    """Returns a number that is the lower the better a place is.

    :param place: an upstream
    :param prompt_tokens: of the request
    :return: expected milliseconds, with those that the way is worth
    """
    zone_cost_ms = 0.0 if place.same_zone else OTHER_ZONE_COST_MS
    return expected_ms(place, prompt_tokens) + zone_cost_ms


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
