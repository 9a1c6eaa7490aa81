"""Estimates how long requests of each route take, from sending to their end.

A gateway that is leaving takes no request that it would have to cut off.
"""

# The estimate follows longer times at once, and shorter ones slowly, so that
# nearly all requests take less time than estimated.
SHORTER_WEIGHT = 0.05


class RunTimes:
    """Longest usual time by route."""

    def __init__(self) -> None:
        # By name of the route, in milliseconds.
        self.longest_ms: dict[str, float] = {}

    def learn(self, route: str, took_ms: float) -> None:
        """Updates the estimate with a measured time.

        :param route: name of the route
        :param took_ms: time from the first sending of a request to the end of
            its whole answer
        """
        known_ms = self.longest_ms.get(route, 0.0)
        if took_ms < known_ms:
            took_ms = known_ms + SHORTER_WEIGHT * (took_ms - known_ms)
        self.longest_ms[route] = took_ms

    def expected_ms(self, route: str, left_ms: float) -> float:
        """Returns how long a request will take at most, as a rule.

        :param route: name of the route
        :param left_ms: what is left of the request's time
        :return: milliseconds; all that is left if no request of that route was
            answered yet
        """
        return min(left_ms, self.longest_ms.get(route, left_ms))
