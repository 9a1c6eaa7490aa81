"""Feeds the recorded inputs of a trace to today's policy.

Inputs are the accepted requests and the capacities of the agents. The
policy decides who takes what and when; a run then takes as long as the
policy itself estimates. Given the same trace and policy, the outcomes are
the same.
"""

import dataclasses
import heapq
import math
import typing

from godwitloft import errors
from godwitloft import trace
from godwitloft.policy import concurrency
from godwitloft.policy import estimate
from godwitloft.policy import offer_book
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
    """Bounds of the queue, over all entries together.

    :param max_requests: requests that may wait
    :param max_bytes: sum of the bodies of waiting requests
    """

    max_requests: int = UNBOUNDED
    max_bytes: int = UNBOUNDED


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What became of one request.

    :param request_id: id in the trace
    :param tier_rank: 0 is the most important tier
    :param outcome: ``timely``, ``late`` or ``refused``
    :param detail: the agent that ran it, or why it was refused
    :param ended_ms: wall time of its end
    :param suspensions: how often it was suspended
    """

    request_id: str
    tier_rank: int
    outcome: str
    detail: str
    ended_ms: int
    suspensions: int = 0

    def comparison_line(self) -> str:
        """Returns what must not change without being noticed.

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
    """A request on an upstream.

    :param waiting: the request
    :param started_ms: when it was given to the upstream
    :param prefilled_ms: when its prompt is prefilled
    :param ends_ms: when it ends, if it isn't suspended until then
    :param suspended_ms: since when it is suspended, or None
    :param suspensions: how often it was
    :param changes: counts suspensions and resumptions, so that a planned
        end that no longer holds is known
    """

    waiting: "Waiting"
    started_ms: int
    prefilled_ms: int
    ends_ms: int
    suspended_ms: int | None = None
    suspensions: int = 0
    changes: int = 0

    def running(self, now_ms: int) -> types.Running:
        """Returns the run as the policy sees it.

        :param now_ms: the time
        :return: the run; its prompt counts as whole until it is prefilled
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

    :param offer: the request as agents see it
    :param pools: pools that may run it
    :param accepted_ms: wall time of its acceptance
    :param body_bytes: size of its body
    :param skipped: why each agent that may run it has skipped it; empty
        when it hasn't
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
        """Returns its runs as the policy sees them.

        :param now_ms: the time
        :return: in the order in which they started
        """
        return [run.running(now_ms) for run in self.runs.values()]


Event = typing.Callable[[], None]


class Replay:
    """One replay, driven by the times in the trace.

    :param limits: bounds of the queue
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
        """Plans an event; those of one time happen in order of planning.

        :param at_ms: when
        :param event: what to do
        """
        self.event_count += 1
        heapq.heappush(self.events, (at_ms, self.event_count, event))

    def run(self) -> tuple[Outcome, ...]:
        """Lets everything that is planned happen.

        :return: the outcome of each request, in order of their ends
        """
        while self.events:
            self.now_ms, _, event = heapq.heappop(self.events)
            event()
        return tuple(self.outcomes)

    def on_capacity(self, record: trace.Record) -> None:
        """Takes what an agent says of its upstream.

        :param record: a line of kind ``capacity``
        """
        upstream = self.upstreams.setdefault(
            record.instance, Upstream(record.instance)
        )
        is_known = upstream.view is not None
        upstream.pools = frozenset(record.fields.get("pools") or ())
        upstream.view = _view(record)
        if not is_known:
            for waiting in self.waiting.values():
                self.offer(waiting, upstream)
        self.schedule(upstream)

    def on_accepted(self, record: trace.Record) -> None:
        """Takes a request in.

        :param record: a line of kind ``accepted``
        """
        waiting = _waiting(record)
        self.waiting[waiting.offer.request_id] = waiting
        for upstream in self.upstreams.values():
            self.offer(waiting, upstream)
        self.add_event(waiting.offer.deadline_ms, lambda: self.expire(waiting))
        for upstream in tuple(self.upstreams.values()):
            self.schedule(upstream)
        self.shed_overflow()

    def offer(self, waiting: Waiting, upstream: Upstream) -> None:
        """Shows a request to an agent that may run it.

        :param waiting: the request
        :param upstream: the agent
        """
        if waiting.pools & upstream.pools:
            upstream.book.add(waiting.offer)
            waiting.skipped[upstream.name] = ""

    def expire(self, waiting: Waiting) -> None:
        """Refuses a request whose time is over while it waits.

        :param waiting: the request
        """
        if waiting.offer.request_id in self.waiting:
            reason = DEADLINE_PASSED if waiting.skipped else NO_UPSTREAM
            self.refuse(waiting, reason)

    def refuse(self, waiting: Waiting, reason: str) -> None:
        """Ends a request that was not run.

        :param waiting: the request
        :param reason: why
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
        """Takes a request out of the queue and of all books.

        :param waiting: the request
        """
        request_id = waiting.offer.request_id
        del self.waiting[request_id]
        for upstream in self.upstreams.values():
            upstream.book.remove(request_id)

    def shed_overflow(self) -> None:
        """Refuses what the queue has no place for.

        Each gets a last chance: its offer is made urgent, so that agents
        may suspend lower work for it.
        """
        for excess in self.overflow():
            self.make_urgent(self.waiting[excess.request_id])
        for upstream in tuple(self.upstreams.values()):
            self.schedule(upstream)
        for excess in self.overflow():
            self.refuse(self.waiting[excess.request_id], shed.SHED)

    def overflow(self) -> tuple[shed.Waiting, ...]:
        """Returns what the queue has no place for.

        :return: those to leave, first one first
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
        """Lets agents suspend lower work for a request.

        :param waiting: the request
        """
        waiting.offer = dataclasses.replace(waiting.offer, urgent=True)
        for upstream in self.upstreams.values():
            self.offer(waiting, upstream)

    def schedule(self, upstream: Upstream) -> None:
        """Does what the policy chooses until it chooses nothing.

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
        """Refuses what no upstream can end in time.

        :param upstream: the agent that skips
        :param skipped: what it skips
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
        """Gives a request to an upstream.

        :param upstream: the agent
        :param view: its upstream as the policy sees it
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
        """Plans the end of a run, as long as it isn't suspended before.

        :param upstream: where it runs
        :param run: the run
        """
        changes = run.changes

        def end() -> None:
            if run.changes == changes:
                self.complete(upstream, run)

        self.add_event(run.ends_ms, end)

    def suspend(self, run: Run) -> None:
        """Pauses a run.

        :param run: an active run
        """
        run.suspended_ms = self.now_ms
        run.suspensions += 1
        run.changes += 1

    def resume(self, upstream: Upstream, run: Run) -> None:
        """Lets a run go on.

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
        """Ends a run that is through.

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
    :param limits: bounds of the queue
    :return: the outcome of each request, in order of their ends
    :raises ReplayError: when a line can't be read or lacks a field
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
    """Tells trace lines from log lines of the same stream."""
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


def _view(record: trace.Record) -> types.UpstreamView:
    fields = record.fields
    decode_ms = float(fields["decode_ms_per_token"])
    return types.UpstreamView(
        speeds=estimate.Speeds(
            prefill_tokens_per_ms=float(fields["prefill_tokens_per_ms"]),
            decode_ms=(decode_ms,) * estimate.BATCH_BUCKETS,
        ),
        limits=concurrency.ConcurrencyLimits(
            max_running=int(fields["max_running"]),
            max_unprefilled_tokens=int(fields["max_unprefilled_tokens"]),
            kv_tokens=int(fields.get("kv_tokens") or 0),
        ),
        resumable=bool(fields.get("resumable")),
    )


def _waiting(record: trace.Record) -> Waiting:
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
