"""Learnt limits on the concurrent work of an upstream."""

import dataclasses

INITIAL_MAX_RUNNING = 4
INITIAL_MAX_UNPREFILLED_TOKENS = 2048


@dataclasses.dataclass(frozen=True)
class ConcurrencyLimits:
    """Limits on the concurrent work of one upstream, and their statistics.

    :param max_running: limit on concurrent requests
    :param max_unprefilled_tokens: limit on prompt tokens waiting for
        prefill
    :param ceiling: upper bound on ``max_running``, set for the pool
    :param kv_tokens: capacity of the KV cache in tokens; 0: not known
    :param window_gaps: gaps between tokens observed in the current window
    :param late_gaps: gaps of the window that exceeded the target, leaving out
        those during prefill
    :param short_gaps: gaps well below the target, observed while
        ``max_running`` requests ran, since the limit was last decreased or
        due for an increase, also when it was at the ceiling; negative while
        an increase is delayed
    :param lowered_ms: when ``max_running`` was last decreased; None: never
    """

    max_running: int = INITIAL_MAX_RUNNING
    max_unprefilled_tokens: int = INITIAL_MAX_UNPREFILLED_TOKENS
    ceiling: int = 64
    kv_tokens: int = 0
    window_gaps: int = 0
    late_gaps: int = 0
    short_gaps: int = 0
    lowered_ms: int | None = None
