"""Bounds how many requests a gateway sends to a version under judgement.

Each request to the service earns a part of a credit, and each one to the new
version costs one. As no gateway has credits that it hasn't earned, the sum
over all of them stays in bounds whichever start, are cut off or are killed.
"""

import collections
import math

# Part of the permitted share that is earned; the rest is a reserve for
# requests that no credit covers, as those that continue a stream.
EARNED_SHARE = 0.8
MAX_BALANCE = 3.0
# From this balance on, any route may use a credit; below it, only those that
# have had less than their part.
ANY_ROUTE_BALANCE = 2.0


class Exposure:
    """The credits of one service at one gateway.

    :param share: part of the requests to the service that a version which
        isn't known to be good may get
    """

    def __init__(self, share: float) -> None:
        self.earned_by_request = EARNED_SHARE * share
        self.balance = 0.0
        # Requests to the service, and those to the new version, by route.
        self.requests: collections.Counter[str] = collections.Counter()
        self.spent: collections.Counter[str] = collections.Counter()
        # Sum of the square roots of the requests.
        self.weights = 0.0

    def earn(self, route: str) -> None:
        """Counts a request that is sent to the service, at any version.

        :param route: name of its route
        """
        before = self.requests[route]
        self.requests[route] = before + 1
        self.weights += math.sqrt(before + 1) - math.sqrt(before)
        self.balance = min(MAX_BALANCE, self.balance + self.earned_by_request)

    def may_spend(self, route: str) -> bool:
        """Returns whether a request may go to the new version.

        A route's part grows with the square root of its requests, so that
        rare routes yield evidence as well.

        :param route: name of its route
        """
        if self.balance < 1:
            return False
        if self.balance >= ANY_ROUTE_BALANCE or not self.weights:
            return True
        part = math.sqrt(self.requests[route]) / self.weights
        return self.spent[route] <= part * self.spent.total()

    def spend(self, route: str) -> None:
        """Counts a request that is sent to the new version.

        :param route: name of its route
        """
        self.balance -= 1
        self.spent[route] += 1
