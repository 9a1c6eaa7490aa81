"""Estimates how long an upstream needs for a request.

The speeds are learnt from what the upstream was seen to do, because
engines differ, slow down without warning and report their load late.
"""

import collections
import dataclasses
import math
import typing

from godwitloft.policy import types

RISE_GAIN = 0.2
FALL_GAIN = 0.5
LENGTH_GAIN = 0.1
TOKEN_GAIN = 0.03
BATCH_BUCKETS = 11
MAX_PAIRS = 20_000
MIN_PREFILL_TOKENS = 16
INITIAL_DECODE_MS = 25.0
INITIAL_PREFILL_TOKENS_PER_MS = 4.0
MIN_PREFILL_TOKENS_PER_MS = 0.001


@dataclasses.dataclass(frozen=True)
class Speeds:
    """What an upstream was last seen to do.

    :param prefill_tokens_per_ms: prompt tokens prefilled a millisecond
    :param decode_ms: milliseconds between the tokens of one answer, one
        value a power of two of requests that run together; 0.0 where
        nothing was seen
    """

    prefill_tokens_per_ms: float = INITIAL_PREFILL_TOKENS_PER_MS
    decode_ms: tuple[float, ...] = (0.0,) * BATCH_BUCKETS


def batch_bucket(batch: int) -> int:
    """Returns the index into ``Speeds.decode_ms`` for a batch size.

    :param batch: requests that decode together
    :return: index of the nearest power of two that isn't smaller
    """
    return min(BATCH_BUCKETS - 1, max(0, math.ceil(math.log2(max(1, batch)))))


def decode_ms_per_token(speeds: Speeds, batch: int) -> float:
    """Returns the learnt time between two tokens of one answer.

    A bucket that wasn't seen takes the nearest seen one that is smaller,
    then the nearest that is larger.

    :param speeds: what was learnt
    :param batch: requests that decode together
    :return: milliseconds
    """
    exact = batch_bucket(batch)
    at_or_below = range(exact, -1, -1)
    above = range(exact + 1, BATCH_BUCKETS)
    for index in (*at_or_below, *above):
        if speeds.decode_ms[index] > 0.0:
            return speeds.decode_ms[index]
    return INITIAL_DECODE_MS


def observe_prefill(speeds: Speeds, tokens: int, duration_ms: int) -> Speeds:
    """Learns from one prefill.

    Falls count more than rises, since planning with too high a speed costs
    a late answer and planning with too low a one only a short delay.

    :param speeds: what was learnt before
    :param tokens: prompt tokens that were not found in a cache
    :param duration_ms: from the time the engine could begin to the first
        token
    :return: what is known now
    """
    if tokens < MIN_PREFILL_TOKENS:
        return speeds
    observed = max(MIN_PREFILL_TOKENS_PER_MS, tokens / max(1, duration_ms))
    old = speeds.prefill_tokens_per_ms
    gain = FALL_GAIN if observed < old else RISE_GAIN
    return dataclasses.replace(
        speeds, prefill_tokens_per_ms=old + gain * (observed - old)
    )


def observe_decode(
    speeds: Speeds, batch: int, tokens: int, duration_ms: int
) -> Speeds:
    """Learns from the tokens of one answer.

    Steps in which the engine also prefills count as any other: a request
    that starts now will meet as many of them.

    :param speeds: what was learnt before
    :param batch: requests that decoded together
    :param tokens: tokens that came in the duration
    :param duration_ms: time in which they came
    :return: what is known now
    """
    if tokens < 1:
        return speeds
    index = batch_bucket(batch)
    observed = max(0.01, duration_ms / tokens)
    old = speeds.decode_ms[index]
    gain = min(FALL_GAIN, 1 - (1 - TOKEN_GAIN) ** tokens)
    new = observed if old == 0.0 else old + gain * (observed - old)
    values = list(speeds.decode_ms)
    values[index] = new
    return dataclasses.replace(speeds, decode_ms=tuple(values))


def fastest(first: Speeds, second: Speeds) -> Speeds:
    """Returns the faster of two speeds, each value by itself.

    :param first: speeds
    :param second: speeds
    :return: the faster values; those that only one has are taken from it
    """
    return Speeds(
        max(first.prefill_tokens_per_ms, second.prefill_tokens_per_ms),
        tuple(
            min((value for value in pair if value > 0.0), default=0.0)
            for pair in zip(first.decode_ms, second.decode_ms, strict=True)
        ),
    )


def finish_in_ms(
    offer: types.Offer,
    view: types.UpstreamView,
    running: typing.Sequence[types.Running],
) -> int:
    """Estimates when a request would end if it were started now.

    The upstream prefills in arrival order, so the prompt waits for all
    prompt tokens that are ahead of it. Suspended work takes no time.

    :param offer: the request
    :param view: the upstream
    :param running: what runs on it
    :return: milliseconds from now to the last token
    """
    active = [request for request in running if not request.suspended]
    ahead_tokens = sum(request.remaining_prompt_tokens for request in active)
    own_tokens = max(
        0, offer.prompt_tokens - view.cached_tokens(offer.prefix_keys)
    )
    prefill_ms = (
        ahead_tokens + own_tokens
    ) / view.speeds.prefill_tokens_per_ms
    per_token = decode_ms_per_token(view.speeds, len(active) + 1)
    return math.ceil(prefill_ms + offer.output_tokens * per_token)


def engine_ms(
    prompt_tokens: int, output_tokens: int, speeds: Speeds, batch: int
) -> float:
    """Returns the engine time that a request takes from others.

    Prefill occupies the engine alone; decode is shared by the batch.

    :param prompt_tokens: tokens prefilled, not found in a cache
    :param output_tokens: tokens generated
    :param speeds: speeds of the engine
    :param batch: requests that run together, this one included
    :return: milliseconds
    """
    prefill_ms = prompt_tokens / speeds.prefill_tokens_per_ms
    per_token = decode_ms_per_token(speeds, batch)
    return prefill_ms + output_tokens * per_token / max(1, batch)


@dataclasses.dataclass(frozen=True)
class PendingPrefill:
    """A prompt that an upstream has not finished prefilling.

    :param tokens: its length, without what was found in a cache
    :param started_ms: when the upstream was given it
    """

    tokens: int
    started_ms: int


def unprefilled_tokens(
    prefills: typing.Sequence[PendingPrefill],
    free_ms: int,
    speeds: Speeds,
    now_ms: int,
) -> tuple[int, ...]:
    """Estimates how much of each prompt is still to be prefilled.

    The upstream tells nothing between dispatch and first token; it is
    known to prefill in the order of arrival.

    :param prefills: prompts without a first token, in order of arrival
    :param free_ms: when the last first token came
    :param speeds: learnt speeds
    :param now_ms: the time
    :return: tokens left of each, at least 1
    """
    remaining = []
    begin_ms = float(free_ms)
    for prefill in prefills:
        begin_ms = max(begin_ms, prefill.started_ms)
        done_tokens = (
            max(0.0, now_ms - begin_ms) * speeds.prefill_tokens_per_ms
        )
        remaining.append(max(1, math.ceil(prefill.tokens - done_tokens)))
        begin_ms += prefill.tokens / speeds.prefill_tokens_per_ms
    return tuple(remaining)


class OutputLengths:
    """Learns how long the answers of each team's services are.

    Bounded: the pair not seen for the longest time is forgotten.

    :param max_pairs: pairs of team and service kept
    :param default_tokens: expected length where nothing was seen
    """

    def __init__(
        self, max_pairs: int = MAX_PAIRS, default_tokens: int = 256
    ) -> None:
        self.max_pairs = max_pairs
        self.default_tokens = default_tokens
        self.lengths: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )

    def observe(self, team: str, service: str, tokens: int) -> None:
        """Learns from one whole answer.

        :param team: name of the team
        :param service: name of the service
        :param tokens: length of the answer
        """
        pair = (team, service)
        old = self.lengths.pop(pair, float(tokens))
        self.lengths[pair] = old + LENGTH_GAIN * (tokens - old)
        if len(self.lengths) > self.max_pairs:
            self.lengths.popitem(last=False)

    def expected(self, team: str, service: str, max_tokens: int = 0) -> int:
        """Returns the expected length of an answer.

        :param team: name of the team
        :param service: name of the service
        :param max_tokens: the caller's own limit; 0: none
        :return: tokens, at least 1
        """
        length = self.lengths.get((team, service), float(self.default_tokens))
        expected = math.ceil(length)
        if max_tokens > 0:
            expected = min(expected, max_tokens)
        return max(1, expected)
