"""Estimates how long requests of each route take, from sending to their end.

A gateway that is leaving takes no request that it would have to cut off.
"""

import math

from godwitloft.gateway import model
from godwitloft.gateway import request as requests
from godwitloft.gateway.placing import placement

# The estimate follows longer times at once, and shorter ones slowly, so that
# nearly all requests take less time than estimated.
SHORTER_WEIGHT = 0.05
# Time for one token of an answer, relative to the other reference times.
REFERENCE_TOKEN_MS = 10.0
# Usual times change slowly, as upstreams are compared by them.
USUAL_WEIGHT = 0.002
FIRST_SHARE_WEIGHT = 0.05


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


def is_stream(facts: requests.Facts) -> bool:
    """Returns whether the first data of an answer matters most.

    :param facts: properties of a request
    """
    return facts.route.kind is model.Kind.STREAM


class UsualTimes:
    """Usual time of the answers of each route, over all upstreams."""

    def __init__(self) -> None:
        # Logarithm of the time relative to the reference, by route.
        self.log_factors: dict[str, float] = {}
        self.counts: dict[str, int] = {}
        self.first_shares: dict[str, float] = {}

    def learn(
        self, facts: requests.Facts, first_ms: float, took_ms: float
    ) -> float:
        """Records the time of a whole answer.

        :param facts: properties of its request
        :param first_ms: time from sending to its first data
        :param took_ms: time from sending to its end
        :return: relative to the usual time of its route
        """
        route = facts.route.name
        log_factor = math.log(took_ms / reference_ms(facts))
        count = self.counts[route] = self.counts.get(route, 0) + 1
        usual = self.log_factors.get(route, log_factor)
        weight = max(1.0 / count, USUAL_WEIGHT)
        usual += weight * (log_factor - usual)
        self.log_factors[route] = usual
        share = min(1.0, first_ms / took_ms)
        known = self.first_shares.get(route, share)
        known += FIRST_SHARE_WEIGHT * (share - known)
        self.first_shares[route] = known
        return math.exp(log_factor - usual)

    def whole_ms(self, facts: requests.Facts) -> float:
        """Returns the usual time of a whole answer.

        :param facts: properties of its request
        """
        log_factor = self.log_factors.get(facts.route.name, 0.0)
        return reference_ms(facts) * math.exp(log_factor)

    def work(self, facts: requests.Facts, is_engine: bool) -> placement.Work:
        """Returns the usual time of what follows the first data.

        At a plain service, nothing but the whole time is known in advance.

        :param facts: properties of a request
        :param is_engine: whether its service consists of model engines
        """
        route = facts.route.name
        if route not in self.log_factors:
            return placement.NO_WORK
        share = 1.0 - self.first_shares[route] if is_engine else 1.0
        return placement.Work(self.whole_ms(facts) * share, not is_engine)


def reference_ms(facts: requests.Facts) -> float:
    """Returns what the time of an answer is compared with.

    :param facts: properties of its request
    """
    sizes = facts.sizes
    tokens_ms = REFERENCE_TOKEN_MS * sizes.output_tokens
    return placement.reference_first_data_ms(sizes.prompt_tokens) + tokens_ms
