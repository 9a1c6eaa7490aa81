"""Decides how much more than its equal share a gateway may use of upstreams.

Answers two load patterns, where no agent grants the slots. Callers are spread
unevenly over gateways, so that at moderate load one needs more than an equal
share while others need less. Under overload all use all that they may, and
what is beyond the slots waits inside the upstreams, in the order of arrival
whatever its rank, and begins late. So the share shrinks as soon as answers
begin late, and grows again while they don't.
"""

MAX_FACTOR = 2.0
MIN_FACTOR = 1.0
# First data that took longer than this part of its target has waited.
LATE_TARGET_SHARE = 1.0
DECREASE = 0.9
INCREASE = 0.02


def after_answer(
    factor: float, first_data_ms: float, target_ms: float
) -> float:
    """Returns the factor after an answer has begun.

    :param factor: what the equal share was multiplied by before
    :param first_data_ms: time from sending to the first data
    :param target_ms: time in which the first data should reach the caller
    """
    if first_data_ms > LATE_TARGET_SHARE * target_ms:
        return max(MIN_FACTOR, factor * DECREASE)
    return min(MAX_FACTOR, factor + INCREASE)
