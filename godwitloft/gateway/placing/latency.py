"""Estimates the time to first data of each route's requests.

On fully loaded engines first data takes several times as long as on idle ones.
A request that is started only just before its answer is due would be late,
and would take the slot of one that could still be answered on time.
"""

from godwitloft.gateway.placing import placement

# Longer times have a larger weight, so that most requests take less time than
# estimated.
LONGER_WEIGHT = 0.15
SHORTER_WEIGHT = 0.05
REFERENCE_SLOWNESS = 1.0
MAX_SLOWNESS = 20.0


class LatencyEstimator:
    """Slowness by route: time to first data relative to the reference."""

    def __init__(self) -> None:
        self.slowness: dict[str, float] = {}

    def learn(
        self, route: str, prompt_tokens: int, first_data_ms: float
    ) -> None:
        """Updates the estimate with a measured time.

        :param route: name of the route
        :param prompt_tokens: prompt tokens of the request
        :param first_data_ms: time from sending to the first data
        """
        reference_ms = placement.reference_first_data_ms(prompt_tokens)
        measured = min(MAX_SLOWNESS, first_data_ms / reference_ms)
        estimate = self.slowness.get(route, REFERENCE_SLOWNESS)
        longer = measured > estimate
        weight = LONGER_WEIGHT if longer else SHORTER_WEIGHT
        estimate += weight * (measured - estimate)
        self.slowness[route] = estimate

    def first_data_ms(self, route: str, prompt_tokens: int) -> float:
        """Returns the time in which most requests get their first data.

        :param route: name of the route
        :param prompt_tokens: prompt tokens of the request
        :return: milliseconds from sending
        """
        slowness = self.slowness.get(route, REFERENCE_SLOWNESS)
        return slowness * placement.reference_first_data_ms(prompt_tokens)
