"""Learns how far estimates of a request's end are to be trusted.

A request that comes late is work for nothing, so a deadline is held against
an estimate with a margin. How large it has to be depends on the engine and
on what else runs; the margin follows the share of requests that took longer
than estimated with it. Requests that took several times their estimate
teach nothing here: then the engine's speed has changed, which the learnt
speeds follow, and a large margin would go on refusing requests long after.
"""

COVERED_SHARE = 0.95
MARGIN_STEP = 0.1
INITIAL_MARGIN = 0.1
MIN_MARGIN = 0.05
MAX_MARGIN = 0.5
OUTLIER_FACTOR = 2.0


def update_margin(margin: float, expected_ms: float, taken_ms: float) -> float:
    """Learns from a request that was run to its end.

    The margin moves so that :data:`COVERED_SHARE` of the requests end
    within the estimate and the margin.

    :param margin: share that is added to estimates so far
    :param expected_ms: estimate at its start, without margin
    :param taken_ms: what it took
    :return: share to add from now on
    """
    if taken_ms > expected_ms * OUTLIER_FACTOR:
        return margin
    within = taken_ms <= expected_ms * (1 + margin)
    change = COVERED_SHARE - 1 if within else COVERED_SHARE
    return min(MAX_MARGIN, max(MIN_MARGIN, margin + MARGIN_STEP * change))
