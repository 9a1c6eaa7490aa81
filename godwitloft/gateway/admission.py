"""Decides whether a request may wait, and when a refused one comes back.

The load that it answers: a burst that lasts longer than callers wait. A
refusal costs a caller little when it comes at once and tells when there may
be room again; one that comes after a long wait costs the wait as well. A
request that can't be on time any more waits on only if late ones get places:
otherwise each would be held for long and refused all the same.
"""

import collections
import random

from godwitloft import clock as clocks
from godwitloft.gateway import crashes as crash_memory
from godwitloft.gateway import intake as intakes
from godwitloft.gateway import ordering
from godwitloft.gateway import placement
from godwitloft.gateway import refusals
from godwitloft.gateway import request as requests
from godwitloft.gateway import sharing as sharings

RATE_WINDOW_MS = 2_000
# So many late requests are expected to get places while none has waited in
# vain.
LEAST_LATE_STARTS_PER_S = 5.0
VAIN_MEMORY_MS = 8_000
ALLOWANCE_RETRY_AFTER_MS = 1_000
MAX_WAITING = 2_000
# Who is refused for lack of room comes back after this part, at least, of the
# longest time that they can be told: earlier, the burst would still last.
EARLIEST_RETURN = 0.7


class Starts:
    """When requests were sent to a service.

    :ivar all: times of all
    :ivar late: times of those that couldn't be on time any more
    :ivar vain_ms: when a late one was last turned away after waiting on
    """

    def __init__(self) -> None:
        self.all: collections.deque[int] = collections.deque()
        self.late: collections.deque[int] = collections.deque()
        self.vain_ms = -VAIN_MEMORY_MS


def per_s(starts: collections.deque[int], now_ms: int) -> float:
    """Returns how many requests a second were started lately.

    :param starts: their times; old ones are dropped
    :param now_ms: the time
    :return: a mean over :data:`RATE_WINDOW_MS`
    """
    while starts and starts[0] < now_ms - RATE_WINDOW_MS:
        starts.popleft()
    return len(starts) * clocks.MS_PER_S / RATE_WINDOW_MS


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
        self.starts: dict[str, Starts] = {}

    def started(self, request: requests.Request, now_ms: int) -> None:
        """Notes that a request is being sent.

        :param request: which one
        :param now_ms: the time
        """
        starts = self.starts_of(request.facts.service)
        starts.all.append(now_ms)
        if request.overdue:
            starts.late.append(now_ms)

    def starts_of(self, service: str) -> "Starts":
        """Returns what was started lately at a service.

        :param service: its name
        :return: times
        """
        return self.starts.setdefault(service, Starts())

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
        starts = self.starts_of(request.facts.service).all
        return placement.expected_wait_ms(
            placement.Queue(ahead, max(per_s(starts, now_ms), 1.0))
        )

    def gives_up(
        self,
        request: requests.Request,
        queue: list[requests.Request],
        now_ms: int,
    ) -> str:
        """Tells why a waiting request is better turned away.

        :param request: a waiting request
        :param queue: what waits for the same service, with it
        :param now_ms: the time
        :return: a reason; empty while it may wait on
        """
        facts = request.facts
        if request.exchange.started:
            return "waited_too_long" if now_ms >= facts.until_ms else ""
        half_way_ms = (facts.target_at_ms + facts.patience_until_ms) // 2
        hopeless_at_ms = min(facts.until_ms, half_way_ms)
        if now_ms >= hopeless_at_ms:
            self.starts_of(facts.service).vain_ms = now_ms
            return "waited_too_long"
        if request.overdue or not ordering.is_late(request, now_ms):
            return ""
        request.overdue = True
        wait_ms = self.late_wait_ms(request, queue, now_ms)
        return "crowded_out" if now_ms + wait_ms > hopeless_at_ms else ""

    def late_wait_ms(
        self,
        request: requests.Request,
        queue: list[requests.Request],
        now_ms: int,
    ) -> float:
        """Returns how long a request that is late would still wait.

        :param request: a waiting request
        :param queue: what waits for the same service, with it
        :param now_ms: the time
        :return: milliseconds
        """
        ahead = sum(
            other.overdue
            and other.state is requests.State.WAITING
            and other.facts.rank <= request.facts.rank
            for other in queue
        )
        starts = self.starts_of(request.facts.service)
        rate_per_s = per_s(starts.late, now_ms)
        if now_ms - starts.vain_ms > VAIN_MEMORY_MS:
            rate_per_s = max(LEAST_LATE_STARTS_PER_S, rate_per_s)
        return placement.expected_wait_ms(placement.Queue(ahead, rate_per_s))

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
        after_ms = latest_ms * self.rng.uniform(EARLIEST_RETURN, 1.0)
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
