"""Decides which requests a gateway that must end can still finish."""

import collections
import typing

from godwitloft import clock as clocks
from godwitloft.gateway import request as requests
from godwitloft.gateway.placing import run_times


class Shutdown:
    """When the process must end, and how long requests take.

    :param clock: source of the time
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        # When the process must end, and when that was known; None while it
        # need not.
        self.end_ms: int | None = None
        self.began_ms: int | None = None
        # From when on requests are sent only if their own time ends before
        # the process does, however long they are expected to take.
        self.last_estimate_ms = 0
        # Whether there is no time left, so that nothing more is sent.
        self.is_over = False
        self.run_times = run_times.RunTimes()
        # Requests that have ended since, by how and why.
        self.ended: collections.Counter[str] = collections.Counter()

    @property
    def has_begun(self) -> bool:
        """Whether the process must end."""
        return self.end_ms is not None

    def begin(self, end_ms: int, estimating_ms: int) -> None:
        """Records that the process must end.

        :param end_ms: when it must
        :param estimating_ms: for how long requests are sent that are only
            expected to end before
        """
        self.end_ms = end_ms
        self.began_ms = self.clock.monotonic_ms()
        self.last_estimate_ms = self.began_ms + estimating_ms

    def log_fields(self) -> typing.Mapping[str, int]:
        """Returns for how long the process has been stopping.

        :return: log fields, none while it need not end
        """
        if self.began_ms is None:
            return {}
        return {"stopping_ms": self.clock.monotonic_ms() - self.began_ms}

    def count_end(self, how: str, reason: str) -> None:
        """Counts the end of a request, if the process must end.

        :param how: an outcome, or that it was refused
        :param reason: why it ended so
        """
        if self.has_begun:
            self.ended[f"{how}:{reason}" if reason else how] += 1

    def record_complete(self, request: requests.Request) -> None:
        """Learns how long a request took.

        :param request: a request that was answered successfully
        """
        took_ms = self.clock.monotonic_ms() - request.first_sent_ms
        self.run_times.learn(request.facts.route.name, took_ms)

    def can_finish(self, request: requests.Request) -> bool:
        """Returns whether a request can be answered before the process ends.

        One that can't is refused while it has not run: it would be cut off.

        :param request: a request that has not run
        """
        if self.end_ms is None:
            return True
        if self.clock.monotonic_ms() >= self.last_estimate_ms:
            return request.facts.deadline_ms <= self.end_ms
        return self.is_expected_to_finish(request)

    def is_expected_to_finish(self, request: requests.Request) -> bool:
        """Returns whether a request that is sent now will probably be done.

        :param request: any request
        """
        if self.end_ms is None:
            return True
        now_ms = self.clock.monotonic_ms()
        facts = request.facts
        expected_ms = self.run_times.expected_ms(
            facts.route.name, facts.deadline_ms - now_ms
        )
        return now_ms + expected_ms <= self.end_ms
