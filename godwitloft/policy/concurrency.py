"""Learns how many requests may run at once on an upstream.

The limits adapt to the observed times between tokens. No constant limit is
right, since there are engines of four generations, prompt lengths differ a
hundredfold and engines slow down suddenly.
"""

import dataclasses
import typing

from godwitloft.policy import estimate
from godwitloft.policy import learnt_speeds
from godwitloft.policy import running_limits
from godwitloft.policy import types

TARGET_GAP_MS = 62
TARGET_FIRST_TOKEN_MS = 600
SLOW_ENGINE_TARGET_FACTOR = 1.5
PREFILL_GAP_FACTOR = 2.5
MIN_UNPREFILLED_TOKENS = 256
MAX_UNPREFILLED_TOKENS = 1_000_000
DECREASE_FACTOR = 0.7
INITIAL_INCREASE_FACTOR = 1.5
TOKEN_INCREASE_FACTOR = 1.05
INCREASE_THRESHOLD = 0.85
WINDOW_GAPS = 60
LATE_GAPS_TO_DECREASE = 4
# Gaps per running request: both are multiplied by max_running.
SHORT_GAPS_TO_INCREASE = 32
INITIAL_SHORT_GAPS_TO_INCREASE = 8
DECREASE_COOLDOWN_MS = 250
QUEUED_WAIT_FACTOR = 2
QUEUED_DECREASE_FACTOR = 0.9
QUEUED_HOLD_FACTOR = 4


def active_requests(
    running: typing.Sequence[types.Running],
) -> list[types.Running]:
    """Returns the requests that take engine time.

    :param running: requests that the upstream was given
    :return: the requests that aren't suspended
    """
    return [request for request in running if not request.suspended]


def fits(
    offer: types.Offer,
    view: types.UpstreamView,
    running: typing.Sequence[types.Running],
) -> bool:
    """Returns whether a request may start now.

    A prompt larger than the limit on unprefilled tokens starts when no other
    prompt waits for prefill; otherwise it would never start.

    :param offer: the request
    :param view: the upstream
    :param running: requests on the upstream
    :return: whether it fits within every limit
    """
    limits = view.limits
    active = active_requests(running)
    if len(active) >= limits.max_running:
        return False
    ahead_tokens = sum(request.remaining_prompt_tokens for request in active)
    cached = view.cached_tokens(offer.prefix_keys)
    own_tokens = max(0, offer.prompt_tokens - cached)
    if (
        ahead_tokens > 0
        and ahead_tokens + own_tokens > limits.max_unprefilled_tokens
    ):
        return False
    return _fits_memory(offer, limits, active)


def _fits_memory(
    offer: types.Offer,
    limits: running_limits.ConcurrencyLimits,
    active: typing.Sequence[types.Running],
) -> bool:
    if limits.kv_tokens == 0 or not active:
        return True
    used_tokens = sum(request.kv_tokens for request in active)
    return (
        used_tokens + offer.prompt_tokens + offer.output_tokens
        <= limits.kv_tokens
    )


@dataclasses.dataclass(frozen=True)
class Gap:
    """The time between two tokens of one answer.

    :param duration_ms: its length in milliseconds
    :param running: number of requests that ran concurrently
    :param prefilling: whether a prompt was prefilled meanwhile
    """

    duration_ms: float
    running: int
    prefilling: bool = False


def target_gap_ms(speeds: learnt_speeds.Speeds) -> float:
    """Returns the longest acceptable time between two tokens.

    An engine that misses the usual target even with a single request gets a
    longer one: a smaller limit wouldn't make it faster, only leave it idle.

    :param speeds: learnt speeds of the engine
    :return: milliseconds
    """
    alone_ms = estimate.decode_ms_per_token(speeds, 1)
    if alone_ms <= TARGET_GAP_MS:
        return float(TARGET_GAP_MS)
    return alone_ms * SLOW_ENGINE_TARGET_FACTOR


def observe_gap(
    limits: running_limits.ConcurrencyLimits,
    gap: Gap,
    target_ms: float,
    now_ms: int,
) -> running_limits.ConcurrencyLimits:
    """Adjusts the limit on requests by the time between two tokens.

    :data:`LATE_GAPS_TO_DECREASE` late gaps in a window of
    :data:`WINDOW_GAPS` decrease the limit at once. Many short gaps increase
    it by one, or by a factor until it is decreased for the first time. A
    step that also prefills is long whatever the limit is, so it never
    decreases the limit, and counts as short unless it is very long.

    :param limits: the limits so far
    :param gap: the observed gap
    :param target_ms: see :func:`target_gap_ms`
    :param now_ms: the current time
    :return: the adjusted limits
    """
    allowed_ms = target_ms * (PREFILL_GAP_FACTOR if gap.prefilling else 1)
    late_gaps = limits.late_gaps
    if gap.duration_ms > allowed_ms and not gap.prefilling:
        late_gaps += 1
    if late_gaps >= LATE_GAPS_TO_DECREASE:
        return _decrease(limits, gap.running, DECREASE_FACTOR, now_ms)
    short_gaps = limits.short_gaps
    at_limit = gap.running >= limits.max_running
    if at_limit and gap.duration_ms <= allowed_ms * INCREASE_THRESHOLD:
        short_gaps += 1
    window_gaps = limits.window_gaps + 1
    if window_gaps >= WINDOW_GAPS:
        window_gaps, late_gaps = 0, 0
    never_decreased = limits.lowered_ms is None
    needed_gaps = (
        INITIAL_SHORT_GAPS_TO_INCREASE
        if never_decreased
        else SHORT_GAPS_TO_INCREASE
    ) * limits.max_running
    max_running = limits.max_running
    if short_gaps >= needed_gaps:
        short_gaps = 0
        max_running = (
            max(max_running + 1, int(max_running * INITIAL_INCREASE_FACTOR))
            if never_decreased
            else max_running + 1
        )
    return dataclasses.replace(
        limits,
        max_running=min(limits.ceiling, max_running),
        window_gaps=window_gaps,
        late_gaps=late_gaps,
        short_gaps=short_gaps,
    )


def observe_first_token(
    limits: running_limits.ConcurrencyLimits,
    wait_ms: int,
    expected_ms: float,
    unprefilled_tokens: int,
    running: int,
    now_ms: int,
) -> running_limits.ConcurrencyLimits:
    """Adjusts the limits by the time from dispatch to first token.

    A wait far longer than the prompts ahead explain means that the engine
    got more requests than it batches and queued this one internally, where
    tiers have no effect. The limit on requests is then decreased, and
    increased again only after a longer delay than usual.

    :param limits: the limits so far
    :param wait_ms: milliseconds from dispatch to the first token
    :param expected_ms: milliseconds that prefill alone should have taken
    :param unprefilled_tokens: its own prompt tokens and those ahead of it
    :param running: requests running concurrently when it was dispatched
    :param now_ms: the current time
    :return: the adjusted limits
    """
    if wait_ms > max(TARGET_FIRST_TOKEN_MS, expected_ms * QUEUED_WAIT_FACTOR):
        decreased = _decrease(limits, running, QUEUED_DECREASE_FACTOR, now_ms)
        hold_gaps = (
            SHORT_GAPS_TO_INCREASE * decreased.max_running * QUEUED_HOLD_FACTOR
        )
        return dataclasses.replace(decreased, short_gaps=-hold_gaps)
    max_tokens = limits.max_unprefilled_tokens
    if wait_ms > TARGET_FIRST_TOKEN_MS:
        reached_tokens = int(
            unprefilled_tokens * TARGET_FIRST_TOKEN_MS / wait_ms
        )
        max_tokens = max(
            MIN_UNPREFILLED_TOKENS, min(max_tokens, reached_tokens)
        )
    elif (
        wait_ms < TARGET_FIRST_TOKEN_MS * INCREASE_THRESHOLD
        and unprefilled_tokens * 2 > max_tokens
    ):
        max_tokens = min(
            MAX_UNPREFILLED_TOKENS,
            int(max_tokens * TOKEN_INCREASE_FACTOR) + 1,
        )
    return dataclasses.replace(limits, max_unprefilled_tokens=max_tokens)


def _decrease(
    limits: running_limits.ConcurrencyLimits,
    running: int,
    factor: float,
    now_ms: int,
) -> running_limits.ConcurrencyLimits:
    """Decreases the limit on requests, unless that was done just before.

    The requests that run at that moment keep producing late gaps for a
    while, which must not decrease the new limit again.
    """
    lowered_ms = limits.lowered_ms
    if lowered_ms is not None and now_ms - lowered_ms < DECREASE_COOLDOWN_MS:
        return limits
    reached = min(running, limits.max_running)
    return dataclasses.replace(
        limits,
        max_running=max(1, int(reached * factor)),
        window_gaps=0,
        late_gaps=0,
        short_gaps=0,
        lowered_ms=now_ms,
    )
