"""Replays the recorded inputs of a trace with the current policy.

Inputs are the accepted requests and the capacities of the agents. The
policy decides which agent runs which request and when; a run then takes as
long as the policy estimates. The outcomes are deterministic for a given
trace and policy.
"""

import dataclasses
import heapq
import math
import typing

from godwitloft import errors
from godwitloft import trace
from godwitloft.policy import estimate
from godwitloft.policy import learnt_speeds
from godwitloft.policy import offer_book
from godwitloft.policy import running_limits
from godwitloft.policy import selection
from godwitloft.policy import shed
from godwitloft.policy import types

DEADLINE_PASSED = "deadline_passed"
NO_UPSTREAM = "no_upstream"
UNBOUNDED = 1 << 40


class ReplayError(errors.GodwitloftError):
    """A trace can't be replayed."""


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of the queue, summed over all entries.

    :param max_requests: maximum number of waiting requests
    :param max_bytes: maximum total body size of waiting requests
    """

    max_requests: int = UNBOUNDED
    max_bytes: int = UNBOUNDED


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The outcome of one request.

    :param request_id: id in the trace
    :param tier_rank: rank of its tier; 0 is the most important
    :param outcome: ``timely``, ``late`` or ``refused``
    :param detail: the agent that ran it, or the reason of the refusal
    :param ended_ms: wall time when it ended
    :param suspensions: number of times it was suspended
    """

    request_id: str
    tier_rank: int
    outcome: str
    detail: str
    ended_ms: int
    suspensions: int = 0

    def comparison_line(self) -> str:
        """Returns the part of the outcome that recorded outcomes hold.

        :return: id and outcome, with the reason of a refusal
        """
        reason = f" {self.detail}" if self.outcome == "refused" else ""
        return f"{self.request_id} {self.outcome}{reason}"

    def text(self) -> str:
        """Returns the outcome as one line.

        :return: id, rank, outcome, detail and time
        """
        pauses = f" suspended {self.suspensions}" if self.suspensions else ""
        return (
            f"{self.request_id} rank {self.tier_rank} {self.outcome}"
            f" {self.detail} at {self.ended_ms}{pauses}"
        )


@dataclasses.dataclass(eq=False)
class Run:
    """A request that runs on an upstream.

    :param waiting: the request
    :param started_ms: when it was sent to the upstream
    :param prefilled_ms: when its prompt is prefilled
    :param ends_ms: when it ends unless suspended before
    :param suspended_ms: when it was suspended, or None
    :param suspensions: number of suspensions
    :param changes: number of suspensions and resumptions; detects end
        events that are outdated
    """

    waiting: "Waiting"
    started_ms: int
    prefilled_ms: int
    ends_ms: int
    suspended_ms: int | None = None
    suspensions: int = 0
    changes: int = 0

    def running(self, now_ms: int) -> types.Running:
        """Returns the run as input of the policy.

        :param now_ms: current time
        :return: the run; its whole prompt counts as remaining until it is
            prefilled
        """
        offer = self.waiting.offer
        prefilled = now_ms >= self.prefilled_ms
        return types.Running(
            request_id=offer.request_id,
            tier_rank=offer.tier_rank,
            team=offer.team,
            started_ms=self.started_ms,
            remaining_prompt_tokens=0 if prefilled else offer.prompt_tokens,
            remaining_output_tokens=offer.output_tokens,
            fingerprint=offer.fingerprint,
            suspended=self.suspended_ms is not None,
            kv_tokens=offer.prompt_tokens + offer.output_tokens,
        )


@dataclasses.dataclass(eq=False)
class Waiting:
    """A request that has no outcome yet.

    :param offer: the request as offered to agents
    :param pools: pools that may run it
    :param accepted_ms: wall time when it was accepted
    :param body_bytes: size of its body
    :param skipped: by agent that may run it, the reason why the agent
        skipped it; empty if it didn't
    """

    offer: types.Offer
    pools: frozenset[str]
    accepted_ms: int
    body_bytes: int
    skipped: dict[str, str] = dataclasses.field(default_factory=dict)


class Upstream:
    """An agent with its upstream.

    :param name: instance of the agent
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.pools: frozenset[str] = frozenset()
        self.view: types.UpstreamView | None = None
        self.book = offer_book.OfferBook()
        self.runs: dict[str, Run] = {}

    def running(self, now_ms: int) -> list[types.Running]:
        """Returns its runs as input of the policy.

        :param now_ms: current time
        :return: runs in the order in which they started
        """
        return [run.running(now_ms) for run in self.runs.values()]


Event = typing.Callable[[], None]


class Replay:
    """Event loop of one replay, driven by the times in the trace.

    :param limits: limits of the queue
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.now_ms = 0
        self.events: list[tuple[int, int, Event]] = []
        self.event_count = 0
        self.upstreams: dict[str, Upstream] = {}
        self.waiting: dict[str, Waiting] = {}
        self.outcomes: list[Outcome] = []

    def add_event(self, at_ms: int, event: Event) -> None:
        """Schedules an event; events of the same time run in insertion order.

        :param at_ms: time of the event
        :param event: called at that time
        """
        self.event_count += 1
        heapq.heappush(self.events, (at_ms, self.event_count, event))

    def run(self) -> tuple[Outcome, ...]:
        """Processes all events.

        :return: the outcome of each request, in order of their ends
        """
        while self.events:
            self.now_ms, _, event = heapq.heappop(self.events)
            event()
        return tuple(self.outcomes)

    def on_capacity(self, record: trace.Record) -> None:
        """Handles a capacity report of an agent.

        :param record: a line of kind ``capacity``
        """
        upstream = self.upstreams.setdefault(
            record.instance, Upstream(record.instance)
        )
        is_known = upstream.view is not None
        upstream.pools = frozenset(record.fields.get("pools") or ())
        upstream.view = _parse_view(record)
        if not is_known:
            for waiting in self.waiting.values():
                self.offer(waiting, upstream)
        self.schedule(upstream)

    def on_accepted(self, record: trace.Record) -> None:
        """Handles an accepted request.

        :param record: a line of kind ``accepted``
        """
        waiting = _parse_waiting(record)
        self.waiting[waiting.offer.request_id] = waiting
        for upstream in self.upstreams.values():
            self.offer(waiting, upstream)
        self.add_event(waiting.offer.deadline_ms, lambda: self.expire(waiting))
        for upstream in tuple(self.upstreams.values()):
            self.schedule(upstream)
        self.shed_overflow()

    def offer(self, waiting: Waiting, upstream: Upstream) -> None:
        """Offers a request to an agent if its pool may run it.

        :param waiting: the request
        :param upstream: the agent
        """
        if waiting.pools & upstream.pools:
            upstream.book.add(waiting.offer)
            waiting.skipped[upstream.name] = ""

    def expire(self, waiting: Waiting) -> None:
        """Refuses a request that is still waiting at its deadline.

        :param waiting: the request
        """
        if waiting.offer.request_id in self.waiting:
            reason = DEADLINE_PASSED if waiting.skipped else NO_UPSTREAM
            self.refuse(waiting, reason)

    def refuse(self, waiting: Waiting, reason: str) -> None:
        """Ends a request without running it.

        :param waiting: the request
        :param reason: reason of the refusal
        """
        offer = waiting.offer
        self.remove(waiting)
        self.outcomes.append(
            Outcome(
                offer.request_id,
                offer.tier_rank,
                "refused",
                reason,
                self.now_ms,
            )
        )

    def remove(self, waiting: Waiting) -> None:
        """Removes a request from the queue and from all offer books.

        :param waiting: the request
        """
        request_id = waiting.offer.request_id
        del self.waiting[request_id]
        for upstream in self.upstreams.values():
            upstream.book.remove(request_id)

    def shed_overflow(self) -> None:
        """Refuses the requests that exceed the limits of the queue.

        Their offers are made urgent first, so that agents may suspend
        lower-tier work for them.
        """
        for excess in self.overflow():
            self.make_urgent(self.waiting[excess.request_id])
        for upstream in tuple(self.upstreams.values()):
            self.schedule(upstream)
        for excess in self.overflow():
            self.refuse(self.waiting[excess.request_id], shed.SHED)

    def overflow(self) -> tuple[shed.Waiting, ...]:
        """Returns the requests that exceed the limits of the queue.

        :return: the requests in the order in which to refuse them
        """
        queue = [
            shed.Waiting(
                waiting.offer.request_id,
                waiting.offer.tier_rank,
                waiting.offer.deadline_ms,
                waiting.accepted_ms,
                waiting.body_bytes,
            )
            for waiting in self.waiting.values()
        ]
        return shed.find_overflow(
            queue, self.limits.max_requests, self.limits.max_bytes
        )

    def make_urgent(self, waiting: Waiting) -> None:
        """Allows agents to suspend lower-tier work for a request.

        :param waiting: the request
        """
        waiting.offer = dataclasses.replace(waiting.offer, urgent=True)
        for upstream in self.upstreams.values():
            self.offer(waiting, upstream)

    def schedule(self, upstream: Upstream) -> None:
        """Applies the choices of the policy until it chooses nothing.

        :param upstream: the agent
        """
        view = upstream.view
        while view is not None:
            choice = upstream.book.choose(
                upstream.running(self.now_ms), view, self.now_ms
            )
            self.record_skipped(upstream, choice.skipped)
            for request_id in choice.suspend:
                self.suspend(upstream.runs[request_id])
            if choice.resume is not None:
                self.resume(upstream, upstream.runs[choice.resume])
            elif choice.pull is not None:
                self.start(upstream, view, choice.pull)
            else:
                break
        if view is None:
            return
        if choice.recheck_at_ms is not None:
            self.add_event(
                choice.recheck_at_ms, lambda: self.schedule(upstream)
            )
        late = upstream.book.sweep(
            upstream.running(self.now_ms), view, self.now_ms
        )
        self.record_skipped(upstream, late)

    def record_skipped(
        self, upstream: Upstream, skipped: typing.Iterable[selection.Skipped]
    ) -> None:
        """Records skips; refuses requests that every agent finds too late.

        :param upstream: the agent that skips
        :param skipped: skipped requests with reasons
        """
        for skip in skipped:
            waiting = self.waiting.get(skip.request_id)
            if waiting is None:
                continue
            waiting.skipped[upstream.name] = skip.reason
            if shed.too_late_everywhere(waiting.skipped):
                self.refuse(waiting, shed.DEADLINE_UNREACHABLE)

    def start(
        self,
        upstream: Upstream,
        view: types.UpstreamView,
        offer: types.Offer,
    ) -> None:
        """Starts a request on an upstream.

        :param upstream: the agent
        :param view: state of its upstream as input of the policy
        :param offer: the request
        """
        waiting = self.waiting[offer.request_id]
        running = [
            active
            for active in upstream.running(self.now_ms)
            if not active.suspended
        ]
        engine_ms = estimate.engine_ms(
            offer.prompt_tokens,
            offer.output_tokens,
            view.speeds,
            len(running) + 1,
        )
        upstream.book.start(offer.request_id, engine_ms)
        tokens_ahead = sum(
            active.remaining_prompt_tokens for active in running
        )
        speed = view.speeds.prefill_tokens_per_ms
        prefill_ms = math.ceil((tokens_ahead + offer.prompt_tokens) / speed)
        duration_ms = estimate.finish_in_ms(offer, view, running)
        self.remove(waiting)
        run = Run(
            waiting=waiting,
            started_ms=self.now_ms,
            prefilled_ms=self.now_ms + prefill_ms,
            ends_ms=self.now_ms + duration_ms,
        )
        upstream.runs[offer.request_id] = run
        self.add_event(run.prefilled_ms, lambda: self.schedule(upstream))
        self.add_end_event(upstream, run)

    def add_end_event(self, upstream: Upstream, run: Run) -> None:
        """Adds the event that ends a run unless it is suspended before.

        :param upstream: where it runs
        :param run: the run
        """
        changes = run.changes

        def end() -> None:
            if run.changes == changes:
                self.complete(upstream, run)

        self.add_event(run.ends_ms, end)

    def suspend(self, run: Run) -> None:
        """Suspends a run.

        :param run: an active run
        """
        run.suspended_ms = self.now_ms
        run.suspensions += 1
        run.changes += 1

    def resume(self, upstream: Upstream, run: Run) -> None:
        """Resumes a run.

        :param upstream: where it runs
        :param run: a suspended run
        """
        assert run.suspended_ms is not None
        paused_ms = self.now_ms - run.suspended_ms
        run.suspended_ms = None
        run.prefilled_ms += paused_ms
        run.ends_ms += paused_ms
        run.changes += 1
        self.add_end_event(upstream, run)

    def complete(self, upstream: Upstream, run: Run) -> None:
        """Records the outcome of a finished run.

        :param upstream: where it ran
        :param run: the run
        """
        offer = run.waiting.offer
        del upstream.runs[offer.request_id]
        timely = self.now_ms <= offer.deadline_ms
        self.outcomes.append(
            Outcome(
                offer.request_id,
                offer.tier_rank,
                "timely" if timely else "late",
                upstream.name,
                self.now_ms,
                run.suspensions,
            )
        )
        self.schedule(upstream)


def replay(
    lines: typing.Iterable[str], limits: Limits | None = None
) -> tuple[Outcome, ...]:
    """Replays a trace.

    :param lines: trace lines of all processes, in any order
    :param limits: limits of the queue; default: unlimited
    :return: the outcome of each request, in order of their ends
    :raises ReplayError: if a line can't be parsed or lacks a field
    """
    replayer = Replay(limits or Limits())
    try:
        records = [trace.parse(line) for line in lines if _is_trace_line(line)]
    except trace.TraceError as error:
        raise ReplayError(str(error)) from error
    records.sort(
        key=lambda record: (
            record.wall_ms,
            record.incarnation,
            record.sequence,
        )
    )
    for record in records:
        if record.kind is trace.Kind.CAPACITY:
            replayer.add_event(
                record.wall_ms, _make_event(replayer.on_capacity, record)
            )
        elif record.kind is trace.Kind.ACCEPTED:
            replayer.add_event(
                record.wall_ms, _make_event(replayer.on_accepted, record)
            )
    return replayer.run()


def _is_trace_line(line: str) -> bool:
    """Returns whether a line is a trace line, not empty or a log line."""
    is_log = line.lstrip().startswith("{") and '"kind"' not in line
    return bool(line.strip()) and not is_log


def _make_event(
    handler: typing.Callable[[trace.Record], None], record: trace.Record
) -> Event:
    def event() -> None:
        try:
            handler(record)
        except (KeyError, TypeError, ValueError) as error:
            raise ReplayError(
                f"line {record.sequence} of {record.incarnation}:"
                f" {type(error).__name__} {error}"
            ) from error

    return event


def _parse_view(record: trace.Record) -> types.UpstreamView:
    fields = record.fields
    decode_ms = float(fields["decode_ms_per_token"])
    return types.UpstreamView(
        speeds=learnt_speeds.Speeds(
            prefill_tokens_per_ms=float(fields["prefill_tokens_per_ms"]),
            decode_ms=(decode_ms,) * learnt_speeds.BATCH_BUCKETS,
        ),
        limits=running_limits.ConcurrencyLimits(
            max_running=int(fields["max_running"]),
            max_unprefilled_tokens=int(fields["max_unprefilled_tokens"]),
            kv_tokens=int(fields.get("kv_tokens") or 0),
        ),
        resumable=bool(fields.get("resumable")),
    )


def _parse_waiting(record: trace.Record) -> Waiting:
    fields = record.fields
    offer = types.Offer(
        request_id=record.request_id,
        entry=record.instance,
        tier_rank=int(fields["tier_rank"]),
        team=str(fields["team"]),
        team_weight=int(fields.get("team_weight") or 1),
        service=str(fields.get("service") or ""),
        deadline_ms=record.wall_ms + int(fields["timeout_ms"]),
        prompt_tokens=int(fields["prompt_tokens"]),
        output_tokens=int(fields["output_tokens"]),
        prefix_keys=tuple(fields.get("prefix_keys") or ()),
        fingerprint=str(fields.get("fingerprint") or ""),
    )
    return Waiting(
        offer=offer,
        pools=frozenset(fields["pools"]),
        accepted_ms=record.wall_ms,
        body_bytes=int(fields.get("body_bytes") or 0),
    )
