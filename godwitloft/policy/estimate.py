"""Estimates how long an upstream needs for a request.

The speeds are learnt from observed token times, because engines differ,
slow down without warning and report their load late.
"""

import collections
import dataclasses
import math
import typing

from godwitloft.policy import learnt_speeds
from godwitloft.policy import types

RISE_GAIN = 0.2
# Gain for a fall of the prefill speed, and largest gain in either direction
# for decode times.
FALL_GAIN = 0.5
LENGTH_GAIN = 0.1
TOKEN_GAIN = 0.03
MAX_PAIRS = 20_000
MIN_PREFILL_TOKENS = 16
INITIAL_DECODE_MS = 25.0
MIN_PREFILL_TOKENS_PER_MS = 0.001


def batch_bucket(batch: int) -> int:
    """Returns the index into ``Speeds.decode_ms`` for a batch size.

    :param batch: number of requests that decode together
    :return: index of the nearest power of two that isn't smaller
    """
    return min(
        learnt_speeds.BATCH_BUCKETS - 1,
        max(0, math.ceil(math.log2(max(1, batch)))),
    )


def decode_ms_per_token(speeds: learnt_speeds.Speeds, batch: int) -> float:
    """Returns the learnt time between two tokens of one answer.

    A batch size without observations takes the value of the nearest smaller
    one that has some, else of the nearest larger one.

    :param speeds: learnt speeds
    :param batch: number of requests that decode together
    :return: milliseconds
    """
    exact = batch_bucket(batch)
    at_or_below = range(exact, -1, -1)
    above = range(exact + 1, learnt_speeds.BATCH_BUCKETS)
    for index in (*at_or_below, *above):
        if speeds.decode_ms[index] > 0.0:
            return speeds.decode_ms[index]
    return INITIAL_DECODE_MS


def observe_prefill(
    speeds: learnt_speeds.Speeds, tokens: int, duration_ms: int
) -> learnt_speeds.Speeds:
    """Updates the prefill speed from one prefill.

    A lower speed has more weight than a higher one: an estimate that is too
    fast makes an answer late, one that is too slow costs only a short delay.

    :param speeds: speeds learnt before
    :param tokens: prompt tokens that were not cached
    :param duration_ms: time from when the engine could begin to the first
        token
    :return: the updated speeds
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
    speeds: learnt_speeds.Speeds, batch: int, tokens: int, duration_ms: int
) -> learnt_speeds.Speeds:
    """Updates the decode time from tokens of one answer.

    Steps in which the engine also prefills count like any other: a request
    that starts now will meet as many of them.

    :param speeds: speeds learnt before
    :param batch: number of requests that decoded together
    :param tokens: tokens generated in the duration
    :param duration_ms: time in which they were generated
    :return: the updated speeds
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


def fastest(
    first: learnt_speeds.Speeds, second: learnt_speeds.Speeds
) -> learnt_speeds.Speeds:
    """Returns the faster value of two speeds for each field and batch size.

    :param first: speeds
    :param second: other speeds
    :return: the faster values; a value that only one has is taken from it
    """
    return learnt_speeds.Speeds(
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

    The upstream prefills in order of arrival, so the prompt waits for all
    prompt tokens ahead of it. Suspended work takes no time.

    :param offer: the request
    :param view: the upstream
    :param running: requests on the upstream
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
    prompt_tokens: int,
    output_tokens: int,
    speeds: learnt_speeds.Speeds,
    batch: int,
) -> float:
    """Returns the engine time that a request takes from others.

    Prefill occupies the whole engine; decode time is shared by the batch.

    :param prompt_tokens: tokens to prefill, without cached ones
    :param output_tokens: tokens generated
    :param speeds: speeds of the engine
    :param batch: number of requests that run together, including this one
    :return: milliseconds
    """
    prefill_ms = prompt_tokens / speeds.prefill_tokens_per_ms
    per_token = decode_ms_per_token(speeds, batch)
    return prefill_ms + output_tokens * per_token / max(1, batch)


@dataclasses.dataclass(frozen=True)
class PendingPrefill:
    """A prompt that an upstream has not finished prefilling.

    :param tokens: its length without cached tokens
    :param started_ms: when it was sent to the upstream
    """

    tokens: int
    started_ms: int


def unprefilled_tokens(
    prefills: typing.Sequence[PendingPrefill],
    free_ms: int,
    speeds: learnt_speeds.Speeds,
    now_ms: int,
) -> tuple[int, ...]:
    """Estimates how much of each prompt is still to be prefilled.

    The upstream reports nothing between dispatch and first token, but it
    prefills in order of arrival.

    :param prefills: prompts without a first token, in order of arrival
    :param free_ms: when the latest first token arrived
    :param speeds: learnt speeds
    :param now_ms: the current time
    :return: remaining tokens of each prompt, at least 1
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
    """Learns the usual answer length for each team and service.

    Its size is bounded: the least recently observed pair is evicted.

    :param max_pairs: maximum number of pairs of team and service
    :param default_tokens: expected length of a pair without observations
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
        """Updates the expected length from one complete answer.

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
        :param max_tokens: limit set by the caller; 0: no limit
        :return: tokens, at least 1
        """
        length = self.lengths.get((team, service), float(self.default_tokens))
        expected = math.ceil(length)
        if max_tokens > 0:
            expected = min(expected, max_tokens)
        return max(1, expected)
