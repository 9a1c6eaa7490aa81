"""Decides whether a request may wait, and when a refused one comes back.

The load that it answers: a burst that lasts longer than callers wait. A
refusal costs a caller little when it comes at once and tells when there may
be room again; one that comes after a long wait costs the wait as well.
"""

import collections
import random

from godwitloft import clock as clocks
from godwitloft.gateway import crashes as crash_memory
from godwitloft.gateway import intake as intakes
from godwitloft.gateway import placement
from godwitloft.gateway import refusals
from godwitloft.gateway import request as requests
from godwitloft.gateway import sharing as sharings

RATE_WINDOW_MS = 2_000
ALLOWANCE_RETRY_AFTER_MS = 1_000
MAX_WAITING = 2_000


class Admission:
    """Knows how fast requests are started, and what teams have left.

    :param clock: tells the time
    :param sharing: allowances
    :param crashes: requests that crash upstreams
    :param rng: spreads those who come back
    """

    def __init__(
        self,
        clock: clocks.Clock,
        sharing: sharings.Sharing,
        crashes: crash_memory.Crashes,
        rng: random.Random,
    ) -> None:
        self.clock = clock
        self.sharing = sharing
        self.crashes = crashes
        self.rng = rng
        self.starts: dict[str, collections.deque[int]] = {}

    def started(self, service: str, now_ms: int) -> None:
        """Notes that a request was sent.

        :param service: to which service
        :param now_ms: the time
        """
        self.starts.setdefault(service, collections.deque()).append(now_ms)

    def admit(
        self, request: requests.Request, queue: list[requests.Request]
    ) -> refusals.Refusal | None:
        """Decides whether a request may wait.

        :param request: a new request
        :param queue: what waits for the same service
        :return: None, or why it is refused
        """
        now_ms = self.clock.monotonic_ms()
        facts = request.facts
        if self.crashes.often(facts.fingerprint, now_ms):
            return refusals.Refusal(500, "crashes_upstreams")
        if facts.until_ms <= now_ms:
            return refusals.Refusal(503, "no_time_left")
        if len(queue) >= MAX_WAITING:
            return self.overloaded(request, "queue_full")
        wait_ms = self.expected_wait_ms(request, queue, now_ms)
        if now_ms + wait_ms > facts.patience_until_ms:
            return self.overloaded(request, "wait_too_long")
        return self.within_allowance(request)

    def expected_wait_ms(
        self,
        request: requests.Request,
        queue: list[requests.Request],
        now_ms: int,
    ) -> float:
        """Returns how long a request would wait.

        :param request: a new request
        :param queue: what waits for the same service
        :param now_ms: the time
        :return: milliseconds
        """
        rank = request.facts.rank
        ahead = sum(other.facts.rank <= rank for other in queue)
        starts = self.starts.get(request.facts.service)
        while starts and starts[0] < now_ms - RATE_WINDOW_MS:
            starts.popleft()
        per_s = len(starts or ()) * clocks.MS_PER_S / RATE_WINDOW_MS
        return placement.expected_wait_ms(
            placement.Queue(ahead, max(per_s, 1.0))
        )

    def overloaded(
        self, request: requests.Request, reason: str
    ) -> refusals.Refusal:
        """Returns a refusal that tells when to come back.

        :param request: what is turned away
        :param reason: why
        :return: a refusal
        """
        facts = request.facts
        now_ms = self.clock.monotonic_ms()
        left_ms = facts.caller_until_ms - now_ms
        latest_ms = refusals.bounded_retry_after_ms(left_ms / 3)
        after_ms = self.rng.uniform(
            refusals.SHORTEST_RETRY_AFTER_MS, latest_ms
        )
        return refusals.Refusal(
            503, reason, int(after_ms), {"rank": facts.rank}
        )

    def within_allowance(
        self, request: requests.Request
    ) -> refusals.Refusal | None:
        """Charges a request to its team.

        :param request: a new request
        :return: None, or why it is refused
        """
        team = request.facts.team
        if team is None or team.tokens_per_s <= 0:
            return None
        amount = intakes.allowance_tokens(team, request.facts.sizes)
        sharing = self.sharing
        request.use = sharing.take(team, amount)
        if request.use is not None:
            return None
        return refusals.Refusal(
            429,
            "team_allowance",
            ALLOWANCE_RETRY_AFTER_MS,
            {
                "team": team.name,
                "tokens": amount,
                "left": round(sharing.left(team)),
                "gateways": sharing.gateways,
            },
        )
