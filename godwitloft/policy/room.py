"""Learns how many requests may run at once on an upstream.

The caps follow the token times that the engine is seen to reach, not a
constant: engines of four generations, prompts that differ a hundredfold
and sudden slow-downs leave no constant that is right.
"""

import dataclasses
import typing

from godwitloft.policy import types

BETWEEN_TOKENS_MS = 62
FIRST_TOKEN_MS = 600
STARTING_RUNNING = 4
STARTING_UNPREFILLED_TOKENS = 2048
MIN_UNPREFILLED_TOKENS = 256
MAX_UNPREFILLED_TOKENS = 1_000_000
STEP_DOWN = 0.7
TOKEN_STEP_UP = 1.05
COMFORT = 0.85
CALM_TOKENS_PER_STEP = 32
STEP_DOWN_PAUSE_MS = 250


@dataclasses.dataclass(frozen=True)
class Room:
    """Caps on the work of one upstream.

    :param max_running: requests at once
    :param max_unprefilled_tokens: prompt tokens waiting for prefill
    :param ceiling: upper bound on ``max_running``, from the pool
    :param kv_tokens: tokens that the KV memory holds; 0: not known
    :param calm_tokens: tokens in time, seen since the last step
    :param lowered_ms: when a cap was last lowered
    """

    max_running: int = STARTING_RUNNING
    max_unprefilled_tokens: int = STARTING_UNPREFILLED_TOKENS
    ceiling: int = 64
    kv_tokens: int = 0
    calm_tokens: int = 0
    lowered_ms: int = -STEP_DOWN_PAUSE_MS


def active(
    running: typing.Sequence[types.Running],
) -> list[types.Running]:
    """Returns the requests that take engine time.

    :param running: what was given to the upstream
    :return: those that aren't suspended
    """
    return [one for one in running if not one.suspended]


def fits(
    offer: types.Offer,
    view: types.UpstreamView,
    running: typing.Sequence[types.Running],
) -> bool:
    """Says whether a request may start now.

    A prompt larger than the cap on unprefilled tokens starts when nothing
    else waits for prefill, else it would never start.

    :param offer: the request
    :param view: the upstream
    :param running: what runs on it
    :return: whether it fits under every cap
    """
    room = view.room
    now = active(running)
    if len(now) >= room.max_running:
        return False
    ahead = sum(one.prompt_left for one in now)
    cached = view.cached_tokens(offer.prefix_keys)
    own = max(0, offer.prompt_tokens - cached)
    if ahead > 0 and ahead + own > room.max_unprefilled_tokens:
        return False
    return _fits_memory(offer, room, running)


def _fits_memory(
    offer: types.Offer,
    room: Room,
    running: typing.Sequence[types.Running],
) -> bool:
    if room.kv_tokens == 0 or not running:
        return True
    held = sum(one.kv_tokens for one in running)
    return held + offer.prompt_tokens + offer.output_tokens <= room.kv_tokens


def observe_token(room: Room, gap_ms: int, running: int, now_ms: int) -> Room:
    """Learns from the time between two tokens of one answer.

    :param room: the caps so far
    :param gap_ms: milliseconds between two tokens
    :param running: requests that ran together
    :param now_ms: the time
    :return: the caps from now on
    """
    if gap_ms > BETWEEN_TOKENS_MS:
        if now_ms - room.lowered_ms < STEP_DOWN_PAUSE_MS:
            return room
        lowered = max(1, int(min(running, room.max_running) * STEP_DOWN))
        return dataclasses.replace(
            room, max_running=lowered, calm_tokens=0, lowered_ms=now_ms
        )
    if gap_ms > BETWEEN_TOKENS_MS * COMFORT or running < room.max_running:
        return room
    calm = room.calm_tokens + 1
    if calm < CALM_TOKENS_PER_STEP * room.max_running:
        return dataclasses.replace(room, calm_tokens=calm)
    return dataclasses.replace(
        room,
        max_running=min(room.ceiling, room.max_running + 1),
        calm_tokens=0,
    )


def observe_first_token(
    room: Room, wait_ms: int, prompt_tokens: int, ahead_tokens: int
) -> Room:
    """Learns from the time between dispatch and first token.

    :param room: the caps so far
    :param wait_ms: milliseconds to the first token
    :param prompt_tokens: prompt tokens of the request itself, not cached
    :param ahead_tokens: unprefilled tokens ahead of it at dispatch
    :return: the caps from now on
    """
    cap = room.max_unprefilled_tokens
    total = prompt_tokens + ahead_tokens
    if wait_ms > FIRST_TOKEN_MS and ahead_tokens > 0:
        reached = int(total * FIRST_TOKEN_MS / wait_ms)
        cap = max(MIN_UNPREFILLED_TOKENS, min(cap, reached))
    elif wait_ms < FIRST_TOKEN_MS * COMFORT and total * 2 > cap:
        grown = int(cap * TOKEN_STEP_UP) + 1
        cap = min(MAX_UNPREFILLED_TOKENS, grown)
    return dataclasses.replace(room, max_unprefilled_tokens=cap)
