"""Adapts the safety margin on estimates of a request's end.

Work on a request that ends late is wasted, so an estimate is increased by a
margin before it is compared with a deadline. The margin that is needed
depends on the engine and its load, so it follows the share of requests that
took longer than estimate and margin. Requests that took several times their
estimate are ignored: then the engine's speed has changed, to which the
learnt speeds adapt, while a large margin would keep refusing requests long
after.
"""

COVERED_SHARE = 0.95
MARGIN_STEP = 0.1
INITIAL_MARGIN = 0.1
MIN_MARGIN = 0.05
MAX_MARGIN = 0.5
OUTLIER_FACTOR = 2.0


def update_margin(margin: float, expected_ms: float, taken_ms: float) -> float:
    """Adjusts the margin after a request has run to its end.

    The margin settles where :data:`COVERED_SHARE` of the requests end
    within the estimate plus the margin.

    :param margin: share added to estimates so far
    :param expected_ms: estimated duration at its start, without margin
    :param taken_ms: actual duration
    :return: share to add from now on
    """
    if taken_ms > expected_ms * OUTLIER_FACTOR:
        return margin
    within = taken_ms <= expected_ms * (1 + margin)
    change = COVERED_SHARE - 1 if within else COVERED_SHARE
    return min(MAX_MARGIN, max(MIN_MARGIN, margin + MARGIN_STEP * change))
