"""Chooses upstreams for requests and estimates waiting times.

Pure functions over immutable data. Designed for bursts of some seconds of
twice the capacity of the upstreams, for upstreams whose speeds differ by a
factor of up to 25, and for several gateways of which each knows the requests
of the others only roughly.
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
# Preference for the less loaded of upstreams that are expected to answer
# equally soon, as a part of that time. With 0.1 several gateways at once chose
# the fastest one, and finished up to 0.03 less than the oracle does; with 1.0
# they used upstreams beyond their knee.
SPREAD = 0.5
# Usual time until a fully loaded upstream has a free slot.
BUSY_WAIT_MS = 100.0
# With fewer slots of a service for each gateway, some would have hardly any.
MIN_SLOTS_PER_GATEWAY = 2
MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True)
class Work:
    """What is known of a request's work besides its prompt.

    :param usual_ms: usual time over all upstreams; of what follows the first
        data, or of the whole answer
    :param is_whole: whether that is the time of the whole answer, which is
        all that is known at a plain service
    """

    usual_ms: float
    is_whole: bool


NO_WORK = Work(0.0, False)


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
    :param relative_time: expected time of its answers relative to the usual
        one, with one more request there; None if unknown
    """

    id: str
    same_zone: bool
    running: int
    allowed: int
    slots: int
    slowness: float
    pending_prompt_tokens: int
    paused: bool
    relative_time: float | None = None

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
    work: Work = NO_WORK,
) -> Place | None:
    """Chooses the upstream for a request.

    The one with the least expected time to finish is chosen. A paused
    upstream is used only if there is no other. An upstream whose answer would
    be late is used only if no fully loaded one could answer on time.

    :param places: all upstreams of the request's service
    :param prompt_tokens: prompt tokens of the request
    :param remaining_ms: time until the answer is due
    :param tried: upstreams that have already refused or failed the request
    :param work: what else is known of its work
    :return: an upstream with a free slot, None to keep the request waiting
    """
    untried = [place for place in places if place.id not in tried]
    healthy = [place for place in untried if not place.paused]
    candidates = healthy or untried
    available = [place for place in candidates if place.has_room]
    if not available:
        return None
    best = min(
        available, key=lambda place: cost_ms(place, prompt_tokens, work)
    )
    best_ms = due_ms(best, prompt_tokens, work)
    if best_ms <= remaining_ms or remaining_ms <= 0:
        return best
    for place in candidates:
        if due_ms(place, prompt_tokens, work) + BUSY_WAIT_MS <= remaining_ms:
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


def due_ms(place: Place, prompt_tokens: int, work: Work) -> float:
    """Estimates the time until what matters most of an answer is there.

    :param place: an upstream
    :param prompt_tokens: prompt tokens of the request
    :param work: what else is known of its work
    :return: milliseconds to the whole answer if only that is known, else to
        its first data
    """
    if work.is_whole:
        return finish_ms(place, prompt_tokens, work)
    return expected_ms(place, prompt_tokens)


def finish_ms(place: Place, prompt_tokens: int, work: Work) -> float:
    """Estimates the time to the end of an answer.

    :param place: an upstream
    :param prompt_tokens: prompt tokens of the request
    :param work: what else is known of its work
    :return: milliseconds from sending; an upstream of which nothing is known
        is taken to be as fast as usual
    """
    relative_time = place.relative_time
    if work.is_whole and relative_time is not None:
        # Of equal ones, the least loaded.
        load = place.running / max(1, place.slots)
        return relative_time * work.usual_ms * (1.0 + SPREAD * load)
    first_ms = expected_ms(place, prompt_tokens)
    if work.is_whole:
        return max(first_ms, work.usual_ms)
    return first_ms + work.usual_ms * (
        1.0 if relative_time is None else relative_time
    )


def zone_cost_ms(place: Place) -> float:
    """Returns the cost of traffic to an upstream.

    :param place: an upstream
    """
    return 0.0 if place.same_zone else OTHER_ZONE_COST_MS


def cost_ms(place: Place, prompt_tokens: int, work: Work = NO_WORK) -> float:
    """Returns the cost of running a request at an upstream.

    :param place: an upstream
    :param prompt_tokens: prompt tokens of the request
    :param work: what else is known of its work
    :return: expected milliseconds, plus the cost of another availability zone
    """
    return finish_ms(place, prompt_tokens, work) + zone_cost_ms(place)


def explain(
    places: typing.Iterable[Place],
    chosen: Place,
    prompt_tokens: int,
    work: Work,
) -> dict[str, typing.Any]:
    """Returns the figures by which an upstream was chosen, for logs.

    :param places: all upstreams of the request's service
    :param chosen: the chosen one
    :param prompt_tokens: prompt tokens of the request
    :param work: what else is known of its work
    """
    relative_time = chosen.relative_time
    return {
        "room": chosen.slots,
        "first_data_ms": round(expected_ms(chosen, prompt_tokens)),
        "finish_ms": round(finish_ms(chosen, prompt_tokens, work)),
        "zone_cost_ms": round(zone_cost_ms(chosen)),
        "relative_time": None
        if relative_time is None
        else round(relative_time, 2),
        "open_upstreams": sum(place.has_room for place in places),
    }


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
