"""Learnt speeds of an upstream."""

import dataclasses

# One for each power of two of the batch size.
BATCH_BUCKETS = 11
INITIAL_PREFILL_TOKENS_PER_MS = 4.0


@dataclasses.dataclass(frozen=True)
class Speeds:
    """Learnt speeds of an upstream, as moving averages.

    :param prefill_tokens_per_ms: prompt tokens prefilled per millisecond
    :param decode_ms: milliseconds between the tokens of one answer, with
        one value per power of two of the batch size; 0.0 where nothing was
        observed
    """

    prefill_tokens_per_ms: float = INITIAL_PREFILL_TOKENS_PER_MS
    decode_ms: tuple[float, ...] = (0.0,) * BATCH_BUCKETS
