"""Learns how long each route's requests take to their first data.

The load that it answers: engines that are full, whose first data takes
several times as long as on idle ones. A request that starts just before its
answer is due comes late and takes the place of one that could be in time.
"""

from godwitloft.gateway import placement

# Longer times count more, so that most requests take less than expected.
LONGER_WEIGHT = 0.15
SHORTER_WEIGHT = 0.05
REFERENCE_SLOWNESS = 1.0
MAX_SLOWNESS = 20.0


class LatencyEstimator:
    """Times to the first data, by route, against the usual ones."""

    def __init__(self) -> None:
        self.slowness: dict[str, float] = {}

    def learn(
        self, route: str, prompt_tokens: int, first_data_ms: float
    ) -> None:
        """Takes a time that was measured.

        :param route: name of the route
        :param prompt_tokens: of the request
        :param first_data_ms: from sending to the first part of the answer
        """
        reference_ms = placement.reference_first_data_ms(prompt_tokens)
        measured = min(MAX_SLOWNESS, first_data_ms / reference_ms)
        estimate = self.slowness.get(route, REFERENCE_SLOWNESS)
        longer = measured > estimate
        weight = LONGER_WEIGHT if longer else SHORTER_WEIGHT
        estimate += weight * (measured - estimate)
        self.slowness[route] = estimate

    def first_data_ms(self, route: str, prompt_tokens: int) -> float:
        """Returns within what time most requests have their first data.

        :param route: name of the route
        :param prompt_tokens: of the request
        :return: milliseconds from sending
        """
        slowness = self.slowness.get(route, REFERENCE_SLOWNESS)
        return slowness * placement.reference_first_data_ms(prompt_tokens)
