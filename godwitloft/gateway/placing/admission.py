"""Decides whether a request may wait, and when a refused caller may retry.

Designed for bursts that last longer than callers wait. An immediate refusal
with a ``Retry-After`` costs a caller little; a refusal after a long wait
costs the wait as well. A request that can no longer start in time keeps
waiting only while such late requests do get started: otherwise each of them
would wait for long and be refused all the same.

A stream that its caller takes up again isn't refused by an estimate. It goes
before new ones of its rank, which the estimates don't know, and there are no
more of them than streams have run.
"""

import collections
import dataclasses
import random
import typing

from godwitloft import clock as clocks
from godwitloft.gateway import options
from godwitloft.gateway import refusals
from godwitloft.gateway import request as requests
from godwitloft.gateway.allowances import sharing as sharings
from godwitloft.gateway.callers import request_checker as request_checkers
from godwitloft.gateway.crashes import crash_tracker
from godwitloft.gateway.placing import ordering
from godwitloft.gateway.placing import placement
from godwitloft.gateway.placing import service_floor
from godwitloft.gateway.placing import team_shares
from godwitloft.gateway.upstreams import fleet as fleets
from godwitloft.policy import retry_hint

RATE_WINDOW_MS = 2_000
# Assumed start rate of late requests while none of them was refused after
# waiting within :data:`LATE_WAIT_FAILURE_MEMORY_MS`.
MIN_LATE_STARTS_PER_S = 5.0
LATE_WAIT_FAILURE_MEMORY_MS = 8_000
OVERLOAD_MEMORY_MS = 1_000
# Teams are kept to their shares for this time after such a refusal.
SCARCITY_MEMORY_MS = 3_000
ALLOWANCE_RETRY_AFTER_MS = 1_000
MAX_WAITING = 2_000
# Without promised turns, a request that is refused under overload is told to
# retry after at least this part of the longest possible delay: earlier, the
# burst would still last.
MIN_OVERLOAD_RETRY_SHARE = 0.7
OVERLOAD_REASONS = frozenset(
    ("crowded_out", "queue_full", "wait_too_long", "waited_too_long")
)
# With less expected ahead of it, a request is next.
LEAST_AHEAD = 0.5
UPSTREAMS_PAUSED = "upstreams_paused"
# The gateway itself shuts down; others take the request.
# Callers that are refused during pauses of all upstreams come back over this
# part of the remaining pause, after its end.
PAUSE_RETRY_SPREAD = 0.25
MIN_PAUSE_RETRY_SPREAD_MS = 500.0
# Longest retry delay after other refusals.
MAX_SHORT_RETRY_AFTER_MS = 700


Standing = tuple[int, int, int]


@dataclasses.dataclass(frozen=True)
class Start:
    """Records that a request was sent to a service.

    :param at_ms: when it was sent
    :param rank: importance of the request, see :attr:`Request.standing`
    :param late: whether it had been marked late while it was waiting
    """

    at_ms: int
    rank: Standing
    late: bool


class ServiceLoad:
    """Recent starts and refusals of requests to one service.

    :param sharing: demand of teams at all gateways
    """

    def __init__(self, sharing: sharings.Sharing) -> None:
        self.starts: collections.deque[Start] = collections.deque()
        # When a late request that had kept waiting was last refused.
        self.late_wait_failed_ms = -LATE_WAIT_FAILURE_MEMORY_MS
        # When a request was last refused under overload, by its rank.
        self.overloaded_ms: dict[Standing, int] = {}
        self.floor = service_floor.ServiceFloor()
        self.team_shares = team_shares.TeamShares(sharing)
        self.returns = retry_hint.PromisedReturns()
        # Waiting requests that can't start in time, as found at a time.
        self.hopeless: frozenset[requests.Request] = frozenset()
        self.hopeless_found_ms = 0

    def per_s(
        self, now_ms: int, counts: typing.Callable[[Start], bool]
    ) -> float:
        """Returns the recent start rate.

        :param now_ms: the current time
        :param counts: returns whether a start counts
        :return: starts per second, a mean over :data:`RATE_WINDOW_MS`
        """
        while self.starts and self.starts[0].at_ms < now_ms - RATE_WINDOW_MS:
            self.starts.popleft()
        number = sum(map(counts, self.starts))
        return number * clocks.MS_PER_S / RATE_WINDOW_MS

    def is_scarce(self, now_ms: int) -> bool:
        """Returns whether any request was refused under overload lately.

        :param now_ms: the current time
        """
        return any(
            now_ms - at_ms <= SCARCITY_MEMORY_MS
            for at_ms in self.overloaded_ms.values()
        )

    def was_overloaded(self, rank: Standing, now_ms: int) -> bool:
        """Returns whether requests were refused under overload lately.

        :param rank: importance of a request
        :param now_ms: the current time
        :return: whether a request of this rank or a more important one was
        """
        return any(
            overloaded_rank <= rank and now_ms - at_ms <= OVERLOAD_MEMORY_MS
            for overloaded_rank, at_ms in self.overloaded_ms.items()
        )


class Admission:
    """Accepts or refuses requests by queue, start rate and allowance.

    :param clock: source of the time
    :param sharing: teams' allowances
    :param crashes: requests that crash upstreams
    :param rng: randomizes retry delays
    :param fleet: the upstreams
    :param policies: decisions that are switched on
    :param has_room: returns whether a request to a service could start now
    """

    def __init__(
        self,
        clock: clocks.Clock,
        sharing: sharings.Sharing,
        crashes: crash_tracker.CrashTracker,
        rng: random.Random,
        fleet: fleets.Fleet,
        policies: options.LoadPolicies,
        has_room: typing.Callable[[str], bool] = lambda _service: False,
    ) -> None:
        self.fleet = fleet
        self.policies = policies
        self.has_room = has_room
        self.clock = clock
        self.sharing = sharing
        self.crashes = crashes
        self.rng = rng
        self.loads: dict[str, ServiceLoad] = {}
        self.patience = retry_hint.Patience()

    def record_start(self, request: requests.Request, now_ms: int) -> None:
        """Records that a request is being sent.

        :param request: the request
        :param now_ms: the current time
        """
        start = Start(now_ms, request.standing, request.marked_late)
        load = self.load_of(request.facts.service)
        load.starts.append(start)
        if request.attempt_count == 1:
            load.floor.record_start(request, now_ms)
            if self.policies.team_shares:
                load.team_shares.record_start(now_ms)

    def load_of(self, service: str) -> ServiceLoad:
        """Returns the load record of a service.

        :param service: name of the service
        :return: its record, created if needed
        """
        load = self.loads.get(service)
        if load is None:
            load = self.loads[service] = ServiceLoad(self.sharing)
        return load

    def admit(
        self, request: requests.Request, queue: list[requests.Request]
    ) -> refusals.Refusal | None:
        """Decides whether a request may wait.

        :param request: a new request
        :param queue: requests that wait for the same service
        :return: None, or why it is refused
        """
        now_ms = self.clock.monotonic_ms()
        facts = request.facts
        refusal = self.crash_refusal(request, now_ms)
        if refusal is not None:
            return refusal
        if facts.deadline_ms <= now_ms:
            return refusals.Refusal(503, "no_time_left")
        if self.is_paused_too_long(request, now_ms):
            return self.rejection(request, UPSTREAMS_PAUSED)
        load = self.load_of(facts.service)
        floor = load.floor
        floor.record_arrival(request, now_ms)
        if self.policies.team_shares:
            request.above_share = load.team_shares.record_arrival(
                facts.team, load.is_scarce(now_ms), now_ms
            )
        has_turn = self.recognise_return(request, load, now_ms)
        if len(queue) >= MAX_WAITING:
            return self.crowd_out(request, "queue_full", queue)
        if facts.takes_up_stream or floor.owes(request, queue):
            return self.charge_allowance(request)
        wait_ms = self.expected_wait_ms(request, queue, now_ms)
        if now_ms + wait_ms > facts.first_data_deadline_ms:
            return self.crowd_out(request, "wait_too_long", queue)
        if not has_turn and self.is_overloaded(request, queue, now_ms):
            return self.crowd_out(request, "crowded_out", queue)
        return self.charge_allowance(request)

    def crowd_out(
        self,
        request: requests.Request,
        reason: str,
        queue: typing.Sequence[requests.Request],
    ) -> refusals.Refusal:
        """Refuses a new request for which there is no room.

        It counts as demand of its team, which decides the team's share.

        :param request: the request
        :param reason: reason of the refusal
        :param queue: requests that wait for the same service
        """
        team = request.facts.team
        counts = self.policies.team_shares and team is not None
        if counts and team is not None and team.tokens_per_s > 0:
            amount = request_checkers.allowance_tokens(
                team, request.facts.sizes
            )
            self.sharing.own.record_demand(team, amount)
            # Only a team with a window is announced.
            self.sharing.window(team.name)
        return self.rejection(request, reason, queue)

    def recognise_return(
        self, request: requests.Request, load: ServiceLoad, now_ms: int
    ) -> bool:
        """Finds out whether a request is a retry, and since when it is asked.

        :param request: a new request
        :param load: load record of its service
        :param now_ms: the current time
        :return: whether it returns for a turn that was promised
        """
        if not self.policies.retry_turns:
            return False
        facts = request.facts
        team = facts.team.name if facts.team is not None else None
        request.first_asked_ms = self.patience.first_sent_ms(
            (team, facts.route.name),
            facts.arrived_ms,
            facts.caller_deadline_ms - facts.arrived_ms,
        )
        if request.first_asked_ms == facts.arrived_ms:
            return False
        # Whether a request is above its team's share may have changed since.
        return any(
            load.returns.use(now_ms, (above, *facts.rank)) is not None
            for above in (0, 1)
        )

    def crash_refusal(
        self, request: requests.Request, now_ms: int
    ) -> refusals.Refusal | None:
        """Returns the refusal of a request that would crash its upstream.

        :param request: a new or waiting request
        :param now_ms: the current time
        :return: None, or a refusal that doesn't invite the caller to come back
        """
        cause = self.crashes.refused_cause(request.untried_causes(), now_ms)
        if cause is None:
            return None
        return refusals.Refusal(
            500, "crashes_upstreams", inputs={"cause": cause}
        )

    def is_paused_too_long(
        self, request: requests.Request, now_ms: int
    ) -> bool:
        """Returns whether no upstream takes requests within a request's time.

        :param request: a new or waiting request
        :param now_ms: the current time
        :return: whether all upstreams of its service have asked for pauses
            that end after its deadline
        """
        facts = request.facts
        pause_ms = self.fleet.pause_left_ms(facts.service, now_ms)
        deadline_ms = facts.deadline_ms
        if not request.exchange.started:
            deadline_ms = min(deadline_ms, facts.first_data_deadline_ms)
        return pause_ms > 0 and now_ms + pause_ms >= deadline_ms

    def is_overloaded(
        self,
        request: requests.Request,
        queue: list[requests.Request],
        now_ms: int,
    ) -> bool:
        """Returns whether a new request can't start in time under overload.

        As this is an estimate, it applies only for :data:`OVERLOAD_MEMORY_MS`
        after such a refusal of a waiting request; then requests may wait
        again.

        :param request: a new request
        :param queue: requests that wait for the same service
        :param now_ms: the current time
        :return: whether it would not start in time
        """
        rank = request.standing
        load = self.load_of(request.facts.service)
        if not load.was_overloaded(rank, now_ms):
            return False
        # After a time without starts, the start rate would keep out all
        # requests although there is room again.
        by_demand = self.policies.demand_shares
        if by_demand and not queue and self.has_room(request.facts.service):
            return False
        if not self.policies.retry_turns:
            ahead: float = sum(
                other.standing <= rank and not ordering.is_late(other, now_ms)
                for other in queue
            )
            return not self.can_start(request, ahead, now_ms)
        key = ordering.order_key(request, now_ms)
        before = [
            other
            for other in queue
            if ordering.order_key(other, now_ms) <= key
        ]
        load.returns.drop_overdue(now_ms)
        returning = load.returns.count_ahead(request.start_by_ms, rank)
        if not before and returning < LEAST_AHEAD:
            # One request waits at least, so that no slot stays free while a
            # low rate makes all others look hopeless.
            return False
        ahead = returning + sum(
            not ordering.is_late(other, now_ms) for other in before
        )
        if self.can_start(request, ahead, now_ms):
            return False
        if queue:
            # All slots are in use: the overload goes on, and no request need
            # wait in vain to find that out.
            load.overloaded_ms[rank] = now_ms
        return True

    def can_start(
        self, request: requests.Request, ahead: float, now_ms: int
    ) -> bool:
        """Returns whether a request is expected to start in time.

        :param request: a new request
        :param ahead: number of requests that go first
        :param now_ms: the current time
        """
        load = self.load_of(request.facts.service)
        rate_per_s = load.per_s(now_ms, _starts_from(request.standing))
        wait_ms = placement.expected_wait_ms(
            placement.Queue(ahead + 1, rate_per_s)
        )
        return now_ms + wait_ms <= request.start_by_ms

    def expected_wait_ms(
        self,
        request: requests.Request,
        queue: list[requests.Request],
        now_ms: int,
    ) -> float:
        """Estimates how long a new request would wait.

        :param request: a new request
        :param queue: requests that wait for the same service
        :param now_ms: the current time
        :return: milliseconds
        """
        rank = request.standing
        ahead = sum(other.standing <= rank for other in queue)
        load = self.load_of(request.facts.service)
        rate_per_s = load.per_s(now_ms, lambda _start: True)
        return placement.expected_wait_ms(
            placement.Queue(ahead, max(rate_per_s, 1.0))
        )

    def rejection_reason(
        self,
        request: requests.Request,
        queue: list[requests.Request],
        now_ms: int,
    ) -> str:
        """Returns why a waiting request should be refused now.

        A request that becomes late is marked so, and keeps waiting if it is
        expected to start soon enough.

        :param request: a waiting request
        :param queue: all requests that wait for the same service
        :param now_ms: the current time
        :return: a reason, empty while it may keep waiting
        """
        facts = request.facts
        if self.is_paused_too_long(request, now_ms):
            return UPSTREAMS_PAUSED
        if request.exchange.started:
            return "waited_too_long" if now_ms >= facts.deadline_ms else ""
        half_way_ms = (facts.target_at_ms + facts.first_data_deadline_ms) // 2
        give_up_at_ms = min(facts.deadline_ms, half_way_ms)
        if now_ms >= give_up_at_ms:
            self.load_of(facts.service).late_wait_failed_ms = now_ms
            return "waited_too_long"
        if request.runs > 0 or request.marked_late:
            return ""
        if not ordering.is_late(request, now_ms):
            if request in self.find_hopeless(facts.service, queue, now_ms):
                return "crowded_out"
            return ""
        request.marked_late = True
        if request.owed:
            return ""
        wait_ms = self.expected_late_wait_ms(request, queue, now_ms)
        if now_ms + wait_ms <= give_up_at_ms:
            return ""
        self.load_of(facts.service).overloaded_ms[request.standing] = now_ms
        return "crowded_out"

    def find_hopeless(
        self,
        service: str,
        queue: list[requests.Request],
        now_ms: int,
    ) -> frozenset[requests.Request]:
        """Returns the waiting requests that others keep from starting in time.

        :param service: name of the service
        :param queue: all requests that wait for it
        :param now_ms: the current time
        :return: those that need not wait until they are late
        """
        load = self.load_of(service)
        if not self.policies.retry_turns or load.hopeless_found_ms == now_ms:
            return load.hopeless
        load.hopeless_found_ms = now_ms
        waiting = [
            request
            for request in queue
            if request.state is requests.State.WAITING
            and not ordering.is_late(request, now_ms)
        ]
        waiting.sort(key=lambda request: ordering.order_key(request, now_ms))
        rates: dict[Standing, float] = {}
        ahead = 0
        found = []
        for request in waiting:
            rank = request.standing
            if rank not in rates:
                rates[rank] = load.per_s(now_ms, _starts_from(rank))
            wait_ms = placement.expected_wait_ms(
                placement.Queue(ahead, rates[rank])
            )
            if (
                load.was_overloaded(rank, now_ms)
                and request.runs == 0
                and not request.owed
                and not request.facts.takes_up_stream
                and now_ms + wait_ms > request.start_by_ms
            ):
                found.append(request)
            else:
                ahead += 1
        load.hopeless = frozenset(found)
        return load.hopeless

    def expected_late_wait_ms(
        self,
        request: requests.Request,
        queue: list[requests.Request],
        now_ms: int,
    ) -> float:
        """Estimates how long a late request would still wait.

        :param request: a waiting request
        :param queue: all requests that wait for the same service
        :param now_ms: the current time
        :return: milliseconds
        """
        ahead = sum(
            other.marked_late
            and other.state is requests.State.WAITING
            and other.standing <= request.standing
            for other in queue
        )
        load = self.load_of(request.facts.service)
        rate_per_s = load.per_s(now_ms, lambda start: start.late)
        if now_ms - load.late_wait_failed_ms > LATE_WAIT_FAILURE_MEMORY_MS:
            rate_per_s = max(MIN_LATE_STARTS_PER_S, rate_per_s)
        return placement.expected_wait_ms(placement.Queue(ahead, rate_per_s))

    def rejection(
        self,
        request: requests.Request,
        reason: str,
        queue: typing.Sequence[requests.Request] = (),
    ) -> refusals.Refusal:
        """Returns a refusal with a retry delay.

        Under overload it is the time until the caller's turn, and short after
        other refusals, as another gateway or upstream may serve the request.

        :param request: the refused request
        :param reason: reason of the refusal
        :param queue: requests that wait for the same service
        :return: the refusal
        """
        facts = request.facts
        now_ms = self.clock.monotonic_ms()
        pause_ms = self.fleet.pause_left_ms(facts.service, now_ms)
        if pause_ms > 0 and reason != request_checkers.LEAVING:
            spread_ms = max(
                MIN_PAUSE_RETRY_SPREAD_MS, PAUSE_RETRY_SPREAD * pause_ms
            )
            after_ms = pause_ms + self.rng.uniform(0, spread_ms)
            return refusals.Refusal(
                503,
                reason,
                int(after_ms),
                {"rank": facts.rank, "pause_left_ms": pause_ms},
            )
        inputs: dict[str, typing.Any] = {
            "rank": facts.rank,
            "team": facts.team.name if facts.team is not None else None,
            "above_share": request.above_share,
        }
        if reason in OVERLOAD_REASONS:
            hint = self.hint(request, queue, now_ms)
            after_ms = hint.after_ms
            inputs["hint"] = hint_fields(hint)
            inputs["asked_ms_ago"] = now_ms - request.first_asked_ms
        else:
            longest_ms = min(
                MAX_SHORT_RETRY_AFTER_MS,
                (facts.caller_deadline_ms - now_ms) * retry_hint.LONGEST_SHARE,
            )
            soonest_ms = min(refusals.MIN_RETRY_AFTER_MS, longest_ms)
            after_ms = max(0.0, self.rng.uniform(soonest_ms, longest_ms))
        limited = self.fleet.limited(facts.service)
        if limited:
            inputs["limited_upstreams"] = limited
        return refusals.Refusal(503, reason, int(after_ms), inputs)

    def hint(
        self,
        request: requests.Request,
        queue: typing.Sequence[requests.Request],
        now_ms: int,
    ) -> retry_hint.Hint:
        """Promises the caller of a refused request a turn.

        :param request: a request that is refused under overload
        :param queue: requests that wait for the same service
        :param now_ms: the current time
        :return: when to return
        """
        facts = request.facts
        if not self.policies.retry_turns:
            latest_ms = refusals.bounded_retry_after_ms(
                (facts.caller_deadline_ms - now_ms) / 3
            )
            share = self.rng.uniform(MIN_OVERLOAD_RETRY_SHARE, 1.0)
            return retry_hint.Hint(latest_ms * share, False, None, 0)
        load = self.load_of(facts.service)
        ahead = sum(
            other is not request
            and other.state is requests.State.WAITING
            and other.standing <= request.standing
            for other in queue
        )
        return load.returns.hint(
            now_ms,
            facts.caller_deadline_ms - now_ms,
            ahead,
            load.per_s(now_ms, _starts_from(request.standing)),
            request.standing,
            self.rng.random(),
        )

    def charge_allowance(
        self, request: requests.Request
    ) -> refusals.Refusal | None:
        """Charges a request to its team's allowance.

        :param request: a new request
        :return: None, or why it is refused
        """
        team = request.facts.team
        if team is None or team.tokens_per_s <= 0:
            return None
        amount = request_checkers.allowance_tokens(team, request.facts.sizes)
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
                "left": round(sharing.remaining(team)),
                "gateways": sharing.gateways,
            },
        )


def hint_fields(hint: retry_hint.Hint) -> dict[str, typing.Any]:
    """Returns what a hint was based on, for the log.

    :param hint: the hint
    """
    return {
        "promised": hint.promised,
        "ahead": round(hint.ahead),
        "turn_ms": None if hint.turn_ms is None else round(hint.turn_ms),
    }


def _starts_from(rank: Standing) -> typing.Callable[[Start], bool]:
    """Returns what counts the starts of a rank and of less important ones.

    More important requests go first, so that their starts tell nothing about
    the rate of this rank.
    """
    return lambda start: start.rank >= rank
