"""Dispatches requests to one upstream and returns the answers.

The dispatcher collects bids from all entries and pulls the requests that the
policy chooses among them (:mod:`godwitloft.policy.selection`). It starts each
dispatched request at most once. It retains the chunks of the answer until the
entry has acknowledged them, so a lost link does not make a second run
necessary.
"""

import dataclasses
import typing

from godwitloft import charts
from godwitloft import clock as clocks
from godwitloft import events
from godwitloft import metrics
from godwitloft import settings as settings_module
from godwitloft import trace
from godwitloft.agent import engine_state
from godwitloft.agent import run as runs
from godwitloft.agent import run_ids
from godwitloft.agent import upstream as upstreams
from godwitloft.links import codec
from godwitloft.links.generated.messages import ttypes
from godwitloft.policy import concurrency
from godwitloft.policy import estimate
from godwitloft.policy import lookahead
from godwitloft.policy import offer_book
from godwitloft.policy import running_limits
from godwitloft.policy import selection
from godwitloft.policy import suspects
from godwitloft.policy import types

FLUSH_INTERVAL_MS = 15
MAX_RETAINED_BYTES = 1024 * 1024
PULL_TIMEOUT_MS = 2_000
ORPHAN_TIMEOUT_MS = 15_000
RETENTION_MS = 60_000
SWEEP_INTERVAL_MS = 50
CRASH_WINDOW_MS = 200

# With this safety margin every estimated time becomes zero.
IGNORE_ESTIMATES = -1.0


@dataclasses.dataclass(frozen=True)
class DispatcherSettings:
    """Settings of a dispatcher.

    :param max_running: upper bound on concurrent requests on the upstream
    :param max_offers: maximum number of bids that are kept
    :param is_model: whether the upstream is a model engine
    :param resumable: whether it can suspend and resume a run
    :param policy: which parts of the policy are enabled
    """

    max_running: int = 8
    max_offers: int = 50_000
    is_model: bool = True
    resumable: bool = False
    policy: settings_module.AgentPolicy = settings_module.AgentPolicy()


class Dispatcher:
    """Holds the offers and runs of one upstream.

    :param clock: source of the time
    :param send: sends ``(instance, field name, body)`` to a peer; returns
        False when there is no link to it
    :param upstream: operations of the upstream
    :param recorder: writes the trace
    :param instruments: metrics
    :param settings: settings of the dispatcher
    """

    def __init__(
        self,
        clock: clocks.Clock,
        send: typing.Callable[[str, str, codec.Body], bool],
        upstream: upstreams.Upstream,
        recorder: trace.Recorder,
        instruments: metrics.Instruments,
        settings: DispatcherSettings,
    ) -> None:
        self.clock = clock
        self.send = send
        self.upstream = upstream
        self.recorder = recorder
        self.instruments = instruments
        self.settings = settings
        self.chart = charts.load("run")
        self.entries: dict[str, str] = {}
        self.book = offer_book.OfferBook()
        self.lookahead = lookahead.Lookahead(self.book)
        self.state = engine_state.EngineState(
            settings.is_model, settings.resumable, settings.max_running
        )
        self.suspects = suspects.Suspects()
        self.sent_skip_reasons: dict[str, str] = {}
        self.pulls: dict[str, int] = {}
        self.last_sweep_ms = 0
        self.first_crash_ms: int | None = None
        self.crashed_fingerprints: list[str] = []
        self.runs: dict[str, runs.Run] = {}
        self.ids = run_ids.RunIds(clock, recorder)
        self.dirty: dict[str, runs.Run] = {}
        self.last_flush_ms = 0
        self.draining = False
        self.handlers: dict[str, typing.Callable[[str, codec.Body], None]] = {
            "bid": self.on_bid,
            "withdraw": self.on_withdraw,
            "pull_refused": self.on_pull_refused,
            "dispatch": self.on_dispatch,
            "ack": self.on_ack,
            "query": self.on_query,
            "cancel": self.on_cancel,
            "farewell": self.on_farewell,
            "verdict": self.on_verdict,
        }

    def configure(self, max_running: int, resumable: bool) -> None:
        """Applies the settings of the pool object.

        :param max_running: upper bound on concurrent requests
        :param resumable: whether the upstream can suspend and resume a run
        """
        self.settings = dataclasses.replace(
            self.settings, max_running=max_running, resumable=resumable
        )
        self.state.configure(max_running, resumable)

    def fill_heartbeat(self, heartbeat: ttypes.Heartbeat) -> None:
        """Adds the load and the speeds of the upstream to a heartbeat.

        :param heartbeat: the message to fill
        """
        now_ms = self.clock.monotonic_ms()
        view = self.state.view(now_ms)
        ranks = [
            progress.offer.tier_rank
            for progress in self.state.requests.values()
        ]
        heartbeat.running = len(ranks)
        heartbeat.room = max(0, view.limits.max_running - len(ranks))
        heartbeat.lowest_tier_rank = max(ranks, default=-1)
        heartbeat.prefill_tokens_per_ms = view.speeds.prefill_tokens_per_ms
        heartbeat.decode_ms_per_token = estimate.decode_ms_per_token(
            view.speeds, 1
        )

    # Entries

    def peer_up(self, hello: ttypes.Hello) -> None:
        """Registers an entry and abandons the runs of its old incarnations.

        Runs of the same incarnation are no longer orphaned.

        :param hello: message of the entry
        """
        if hello.role != "entry":
            return
        self.entries[hello.instance] = hello.incarnation
        for run in tuple(self.runs.values()):
            if run.entry != hello.instance:
                continue
            if run.entry_incarnation == hello.incarnation:
                run.orphaned_ms = None
            else:
                self.abandon(run)

    def peer_down(self, instance: str) -> None:
        """Drops the offers of an entry whose link is lost.

        Its runs continue for a limited time, in case it reconnects.

        :param instance: name of the entry's instance
        """
        self.entries.pop(instance, None)
        for offer in tuple(self.book.offers.values()):
            if offer.entry == instance:
                self.drop_offer(offer.request_id)
        for run_id in tuple(self.pulls):
            if self.state.requests[run_id].offer.entry == instance:
                self.drop_offer(run_id)
        now_ms = self.clock.monotonic_ms()
        for run in self.runs.values():
            if run.entry == instance:
                run.orphaned_ms = now_ms
        self.schedule()

    def abandon(self, run: runs.Run) -> None:
        """Cancels or removes a run whose entry no longer exists.

        A non-idempotent call to a plain service is allowed to finish.

        :param run: the run
        """
        if run.ended is not None:
            self.forget(run)
        elif self.settings.is_model or run.dispatch.idempotent:
            self.cancel(run)

    def receive(self, peer: str, name: str, body: codec.Body) -> None:
        """Handles a message from an entry.

        :param peer: name of the entry's instance
        :param name: name of the message
        :param body: body of the message
        """
        handler = self.handlers.get(name)
        if handler is not None and peer in self.entries:
            handler(peer, body)

    def on_bid(self, peer: str, body: ttypes.Bid) -> None:
        """Stores a bid as an offer.

        :param peer: name of the entry's instance
        :param body: the message
        """
        if body.request_id in self.pulls or body.request_id in self.runs:
            return
        if len(self.book) >= self.settings.max_offers:
            self.instruments.dropped_messages.add(
                1, {"reason": "too_many_bids"}
            )
            return
        self.sent_skip_reasons.pop(body.request_id, None)
        self.book.add(self.make_offer(peer, body))
        self.schedule_if_useful(body.urgent)

    def make_offer(self, peer: str, body: ttypes.Bid) -> types.Offer:
        """Converts a bid to an offer with times of this agent's clock.

        A call to a plain service counts as one output token, so that the
        learned time per token is the time per call.

        :param peer: name of the entry's instance
        :param body: the message
        :return: the offer
        """
        now_ms = self.clock.monotonic_ms()
        policy = self.settings.policy
        if body.isolate:
            self.suspects.apply_verdict(
                body.fingerprint,
                suspects.Verdict.SUSPECT,
                suspects.SUSPECT_MS,
                now_ms,
            )
        return types.Offer(
            request_id=body.request_id,
            entry=peer,
            tier_rank=body.tier_rank if policy.tier_order else 0,
            team=body.team,
            team_weight=body.team_weight,
            service=body.service_name,
            deadline_ms=now_ms + body.deadline_in_ms,
            prompt_tokens=body.prompt_tokens,
            output_tokens=body.output_tokens if self.settings.is_model else 1,
            prefix_keys=tuple(body.prefix_keys),
            fingerprint=body.fingerprint,
            urgent=body.urgent,
            hold_until_ms=now_ms + body.hold_ms if body.hold_ms else 0,
            isolate=self.suspects.verdict(body.fingerprint, now_ms)
            is suspects.Verdict.SUSPECT,
            agents=body.agents or 1,
        )

    def on_withdraw(self, peer: str, body: ttypes.Withdraw) -> None:
        """Drops an offer that its entry has withdrawn.

        :param peer: name of the entry's instance
        :param body: the message
        """
        pulled = body.request_id in self.pulls
        self.drop_offer(body.request_id)
        self.schedule_if_useful(pulled)

    def on_pull_refused(self, peer: str, body: ttypes.PullRefused) -> None:
        """Drops an offer whose pull the entry refused.

        The entry has given the request to another agent.

        :param peer: name of the entry's instance
        :param body: the message
        """
        self.drop_offer(body.request_id)
        self.schedule()

    def on_farewell(self, peer: str, body: ttypes.Farewell) -> None:
        """Does nothing: a draining entry still finishes its requests.

        :param peer: name of the entry's instance
        :param body: the message
        """

    def on_verdict(self, peer: str, body: ttypes.Verdict) -> None:
        """Applies another agent's verdict on a request body.

        :param peer: name of the entry's instance
        :param body: the message
        """
        now_ms = self.clock.monotonic_ms()
        verdict = suspects.Verdict(body.verdict)
        changed = self.suspects.apply_verdict(
            body.fingerprint, verdict, body.expires_in_ms, now_ms
        )
        if not changed:
            return
        isolate = verdict is suspects.Verdict.SUSPECT
        for offer in tuple(self.book.offers.values()):
            if offer.fingerprint == body.fingerprint:
                self.book.add(dataclasses.replace(offer, isolate=isolate))
        self.schedule()

    def drop_offer(self, run_id: str) -> types.Offer | None:
        """Removes an offer, and its pull if there is one.

        :param run_id: id of the offer
        :return: the offer, or None when it is unknown
        """
        self.sent_skip_reasons.pop(run_id, None)
        if self.pulls.pop(run_id, None) is None:
            return self.book.remove(run_id)
        progress = self.state.drop_pull(run_id)
        assert progress is not None
        self.adjust_charge(progress.offer, -progress.charged_ms)
        return progress.offer

    # Scheduling

    def schedule_if_useful(self, urgent: bool) -> None:
        """Schedules at once if it is urgent or the upstream is not full.

        Otherwise scheduling waits for the next tick: a burst begins with
        hundreds of bids, and a full upstream can rarely start any of them.

        :param urgent: whether to schedule even if the upstream is full
        """
        current_limits = self.view(self.clock.monotonic_ms()).limits
        if urgent or self.state.active_count < current_limits.max_running:
            self.schedule()

    def schedule(self) -> None:
        """Pulls and resumes what the policy chooses, until it chooses nothing.

        Does nothing while the agent drains.
        """
        while not self.draining:
            now_ms = self.clock.monotonic_ms()
            running = self.state.running(now_ms)
            view = self.view(now_ms)
            choice = self.book.choose(running, view, now_ms)
            if self.settings.policy.look_ahead:
                choice = self.lookahead.improve(choice, running, view, now_ms)
            self.send_skips(choice.skipped)
            if choice.resume is not None:
                self.resume(choice.resume)
            elif choice.pull is not None:
                self.pull(choice.pull, choice.suspend)
            else:
                return

    def view(self, now_ms: int) -> types.UpstreamView:
        """Returns a view of the upstream for the enabled parts of the policy.

        :param now_ms: the current time
        :return: the view, valid until the state changes
        """
        view = self.state.view(now_ms)
        policy = self.settings.policy
        if not policy.check_finish:
            view = dataclasses.replace(view, safety_margin=IGNORE_ESTIMATES)
        if not policy.learn_room:
            fixed = running_limits.ConcurrencyLimits(
                max_running=self.settings.max_running,
                max_unprefilled_tokens=concurrency.MAX_UNPREFILLED_TOKENS,
            )
            view = dataclasses.replace(view, limits=fixed)
        return view

    def send_skips(self, skipped: typing.Iterable[selection.Skipped]) -> None:
        """Informs entries of skipped offers, once for each new reason.

        :param skipped: offers that the policy skipped
        """
        for offer_skip in skipped:
            if (
                self.sent_skip_reasons.get(offer_skip.request_id)
                == offer_skip.reason
            ):
                continue
            self.sent_skip_reasons[offer_skip.request_id] = offer_skip.reason
            self.recorder.record(
                trace.Kind.SKIPPED,
                run_id=offer_skip.request_id,
                reason=offer_skip.reason,
                finish_in_ms=offer_skip.finish_in_ms,
            )
            self.send(
                self.book.offers[offer_skip.request_id].entry,
                "skip",
                ttypes.Skip(
                    offer_skip.request_id,
                    offer_skip.reason,
                    offer_skip.finish_in_ms,
                ),
            )

    def pull(self, offer: types.Offer, suspend: tuple[str, ...]) -> None:
        """Pulls a request from its entry.

        :param offer: the offer to pull
        :param suspend: runs to suspend when the entry dispatches the request
        """
        now_ms = self.clock.monotonic_ms()
        run_id = offer.request_id
        progress = self.state.record_pull(offer, suspend, now_ms)
        self.book.start(run_id, progress.charged_ms)
        self.sent_skip_reasons.pop(run_id, None)
        self.pulls[run_id] = now_ms
        self.recorder.record(
            trace.Kind.PULLED,
            run_id=run_id,
            entry=offer.entry,
            tier_rank=offer.tier_rank,
        )
        self.send(offer.entry, "pull", ttypes.Pull(run_id))

    def adjust_charge(self, offer: types.Offer, engine_ms: float) -> None:
        """Adjusts the engine time that a team was charged for a request.

        :param offer: offer of the request
        :param engine_ms: engine time to add; a negative value is a refund
        """
        self.book.correct(
            offer.tier_rank, offer.team, offer.team_weight, engine_ms
        )

    def suspend(self, run_id: str) -> None:
        """Suspends a run in favour of a higher tier.

        :param run_id: id of the run; one that has ended is ignored
        """
        run = self.runs.get(run_id)
        if run is not None and run.ended is None and not run.suspended:
            self.upstream.suspend(run_id)
            self.set_suspended(run, True)

    def resume(self, run_id: str) -> None:
        """Resumes a suspended run and removes it from planned suspensions.

        :param run_id: id of the run
        """
        for progress in self.state.requests.values():
            progress.runs_to_suspend = tuple(
                other for other in progress.runs_to_suspend if other != run_id
            )
        run = self.runs[run_id]
        if run.suspended:
            self.upstream.resume(run_id)
            self.set_suspended(run, False)

    def set_suspended(self, run: runs.Run, suspended: bool) -> None:
        """Records that a run was suspended or resumed and informs its entry.

        :param run: the run
        :param suspended: True when it was suspended
        """
        run.suspended = suspended
        run.position.feed("suspend" if suspended else "resume")
        self.state.set_suspended(run.run_id, suspended)
        kind = trace.Kind.SUSPENDED if suspended else trace.Kind.RESUMED
        self.recorder.record(kind, run_id=run.run_id)
        self.send(
            run.entry, "suspended", ttypes.Suspended(run.run_id, suspended)
        )

    # Runs

    def on_dispatch(self, peer: str, body: ttypes.Dispatch) -> None:
        """Sends a request to the upstream, at most once.

        A dispatch is refused if it was not pulled, if its id has a tombstone
        or while the agent drains. A repeated one is ignored.

        :param peer: name of the entry's instance
        :param body: the message
        """
        run_id = body.request_id
        if run_id in self.runs or run_id in self.ids.ended:
            self.instruments.dropped_messages.add(
                1, {"reason": "repeated_dispatch"}
            )
            return
        pulled = run_id in self.pulls
        if run_id in self.ids.tombstones or not pulled or self.draining:
            self.drop_offer(run_id)
            expected = pulled and run_id not in self.ids.tombstones
            self.refuse_dispatch(
                peer, run_id, "agent_leaving" if expected else "not_expected"
            )
            return
        del self.pulls[run_id]
        progress = self.state.requests[run_id]
        for victim in progress.runs_to_suspend:
            self.suspend(victim)
        position = self.chart.start()
        position.feed("dispatch")
        position.feed("start")
        run = runs.Run(
            body,
            peer,
            self.entries[peer],
            progress.offer,
            position,
            self.clock.monotonic_ms(),
        )
        self.runs[run_id] = run
        self.state.record_start(
            run_id, bool(body.stream), self.clock.monotonic_ms()
        )
        # Recorded before the start: if the agent crashes in between, the
        # trace must not lack a run that the upstream may have started.
        self.recorder.record(
            trace.Kind.STARTED,
            run_id=run_id,
            tier_rank=progress.offer.tier_rank,
            resumable=self.settings.resumable,
        )
        self.upstream.start(body)

    def refuse_dispatch(self, peer: str, run_id: str, reason: str) -> None:
        """Answers that a dispatch was not started and never will be.

        :param peer: name of the entry's instance
        :param run_id: id of the run
        :param reason: reason to report
        """
        self.ids.add_tombstone(run_id)
        self.send(
            peer,
            "ended",
            ttypes.Ended(
                request_id=run_id,
                outcome=upstreams.End.NEVER_STARTED.value,
                count=0,
                digest="",
                status=0,
                reason=reason,
            ),
        )

    def on_ack(self, peer: str, body: ttypes.Ack) -> None:
        """Releases what an entry has acknowledged.

        :param peer: name of the entry's instance
        :param body: the message
        """
        run = self.find_run(peer, body.request_id)
        if run is None:
            return
        run.acknowledge(body.next_sequence)
        if body.ended and run.ended is not None:
            self.forget(run)
        elif run.paused and run.retained_bytes < MAX_RETAINED_BYTES:
            run.paused = False
            self.upstream.pause_reading(run.run_id, False)

    def find_run(self, peer: str, run_id: str) -> runs.Run | None:
        """Finds the run that a message from an entry refers to.

        :param peer: name of the entry's instance
        :param run_id: id of the run in the message
        :return: the run, or None when the entry has no such run
        """
        run = self.runs.get(run_id)
        return run if run is not None and run.entry == peer else None

    def on_query(self, peer: str, body: ttypes.Query) -> None:
        """Reports the state of a run and resends unacknowledged chunks.

        Before it answers ``never_started`` it adds a tombstone, so that the
        answer stays true. Only the run's own entry receives the chunks.

        :param peer: name of the entry's instance
        :param body: the message
        """
        run_id = body.request_id
        run = self.runs.get(run_id)
        if run is not None and run.entry == peer:
            self.resend(run, body.next_sequence)
            return
        if run is not None:
            state = "running" if run.ended is None else "ended"
        elif self.ids.may_have_run(run_id):
            state = "forgotten"
        else:
            state = "never_started"
            self.drop_offer(run_id)
            self.ids.add_tombstone(run_id)
        self.send(peer, "query_answer", ttypes.QueryAnswer(run_id, state))

    def resend(self, run: runs.Run, next_sequence: int) -> None:
        """Resends the chunks that an entry has not received.

        :param run: the run
        :param next_sequence: sequence number of the first missing chunk
        """
        self.send(
            run.entry,
            "query_answer",
            ttypes.QueryAnswer(
                run.run_id, "running" if run.ended is None else "ended"
            ),
        )
        run.acknowledge(next_sequence)
        for chunk in run.retained:
            self.send(run.entry, "chunks", ttypes.Chunks([chunk]))
        if run.ended is not None:
            self.send(run.entry, "ended", run.ended)

    def on_cancel(self, peer: str, body: ttypes.Cancel) -> None:
        """Cancels a run whose answer is no longer needed.

        :param peer: name of the entry's instance
        :param body: the message
        """
        run = self.find_run(peer, body.request_id)
        if run is None:
            self.drop_offer(body.request_id)
            self.ids.add_tombstone(body.request_id)
        elif run.ended is not None:
            self.forget(run)
        else:
            self.cancel(run)

    def cancel(self, run: runs.Run) -> None:
        """Cancels a run on the upstream.

        :param run: a run that has not ended
        """
        run.cancelled = True
        self.upstream.cancel(run.run_id)

    def forget(self, run: runs.Run) -> None:
        """Removes an ended run and remembers its id.

        :param run: a run that has ended
        """
        self.runs.pop(run.run_id, None)
        self.dirty.pop(run.run_id, None)
        self.ids.add_ended(run.run_id)

    # The upstream

    def upstream_data(
        self,
        run_id: str,
        data: bytes,
        tokens: int,
        status: int,
        content_type: str,
    ) -> None:
        """Handles a part of the upstream's response.

        :param run_id: id of the run
        :param data: bytes of the part
        :param tokens: number of tokens in the part
        :param status: HTTP status of the response
        :param content_type: content type of the response
        """
        run = self.runs.get(run_id)
        if run is None or run.ended is not None:
            return
        now_ms = self.clock.monotonic_ms()
        if run.first_data_ms is None:
            self.first_data(run, status, content_type)
        self.state.record_tokens(run_id, tokens, now_ms)
        run.pending.append(data)
        run.pending_tokens += tokens
        run.tokens += tokens
        self.dirty[run_id] = run
        if now_ms - self.last_flush_ms >= FLUSH_INTERVAL_MS:
            self.flush()

    def first_data(
        self, run: runs.Run, status: int, content_type: str
    ) -> None:
        """Records the start of a response and informs the entry.

        :param run: the run
        :param status: HTTP status of the response
        :param content_type: content type of the response
        """
        run.first_data_ms = self.clock.monotonic_ms()
        run.status = status
        run.content_type = content_type
        if run.position.allows("stream"):
            run.position.feed("stream")
        self.send(run.entry, "started", ttypes.Started(run.run_id))

    def upstream_ended(
        self,
        run_id: str,
        end: upstreams.End,
        reason: str,
        prompt_tokens: int = 0,
        status: int = 0,
        content_type: str = "",
    ) -> None:
        """Handles the end of a run on the upstream.

        :param run_id: id of the run
        :param end: how it ended
        :param reason: reason, if it did not complete
        :param prompt_tokens: number of prefilled tokens, if known
        :param status: HTTP status, used if no part arrived
        :param content_type: content type, used if no part arrived
        """
        run = self.runs.get(run_id)
        if run is None or run.ended is not None:
            return
        self.flush()
        run.ended_ms = self.clock.monotonic_ms()
        self.learn_end(run, end)
        outcome = self.reported_outcome(run, end)
        run.ended = ttypes.Ended(
            request_id=run_id,
            outcome=outcome,
            count=run.next_sequence,
            digest=run.digest.hexdigest(),
            status=run.status or status,
            reason=reason,
            prompt_tokens=prompt_tokens,
            output_tokens=run.tokens,
            content_type=run.content_type or content_type,
            upstream_crashed=end is upstreams.End.CRASHED,
        )
        self.recorder.record(
            trace.Kind.ENDED,
            run_id=run_id,
            outcome=outcome,
            reason=reason,
            prompt_tokens=prompt_tokens,
            output_tokens=run.tokens,
            status=run.ended.status,
            count=run.ended.count,
            digest=run.ended.digest,
        )
        never_started = end is upstreams.End.NEVER_STARTED
        run.position.feed("not_sent" if never_started else "end")
        if never_started:
            self.ids.add_tombstone(run_id)
            del self.runs[run_id]
        if outcome == "failed" and not run.cancelled:
            events.log(events.UPSTREAM_FAILED, run_id=run_id, reason=reason)
        self.send(run.entry, "ended", run.ended)
        if run.cancelled and not never_started:
            self.forget(run)
        self.schedule()

    def learn_end(self, run: runs.Run, end: upstreams.End) -> None:
        """Updates the estimates, the team's charge and the crash suspects.

        :param run: a run that has ended
        :param end: how it ended on the upstream
        """
        progress = self.state.record_end(
            run.run_id, end, run.cancelled, run.ended_ms
        )
        if progress is not None:
            self.adjust_charge(
                progress.offer,
                self.state.engine_time_ms(progress) - progress.charged_ms,
            )
        if run.cancelled:
            return
        fingerprint = run.offer.fingerprint
        if end is upstreams.End.CRASHED:
            if self.first_crash_ms is None:
                self.first_crash_ms = run.ended_ms
            self.crashed_fingerprints.append(fingerprint)
        elif end is upstreams.End.COMPLETED:
            if self.suspects.record_completion(fingerprint, run.ended_ms):
                self.send_verdict(fingerprint, suspects.Verdict.CLEAR)

    def find_crash_suspects(self, now_ms: int) -> None:
        """Determines which request bodies may have crashed the upstream.

        The connections to a crashed upstream break one after another, so
        those that break within a short window are evaluated together.
        Nothing is pulled during the window, because the breaker is open.

        :param now_ms: the current time
        """
        if (
            self.first_crash_ms is None
            or now_ms - self.first_crash_ms < CRASH_WINDOW_MS
        ):
            return
        found = self.suspects.record_crash(self.crashed_fingerprints, now_ms)
        self.first_crash_ms = None
        self.crashed_fingerprints = []
        self.recorder.record(trace.Kind.CRASHED, suspects=sorted(found))
        for fingerprint, verdict in found.items():
            self.send_verdict(fingerprint, verdict)

    def send_verdict(
        self, fingerprint: str, verdict: suspects.Verdict
    ) -> None:
        """Sends the verdict on a request body to every entry.

        :param fingerprint: hash of the body
        :param verdict: the verdict
        """
        self.recorder.record(
            trace.Kind.VERDICT, fingerprint=fingerprint, verdict=verdict.value
        )
        body = ttypes.Verdict(
            fingerprint, verdict.value, suspects.VERDICT_TTL_MS[verdict]
        )
        for entry in self.entries:
            self.send(entry, "verdict", body)

    def reported_outcome(self, run: runs.Run, end: upstreams.End) -> str:
        """Returns the outcome that is reported to the entry.

        :param run: the run
        :param end: how it ended on the upstream
        :return: ``completed``, ``failed`` or ``never_started``
        """
        if end is upstreams.End.CRASHED:
            return upstreams.End.FAILED.value
        return end.value

    def flush(self) -> None:
        """Sends the buffered data, in one message for each entry.

        Stops reading a response while too many of its bytes are not
        acknowledged.
        """
        if not self.dirty:
            return
        self.last_flush_ms = self.clock.monotonic_ms()
        by_entry: dict[str, list[ttypes.Chunk]] = {}
        for run in self.dirty.values():
            chunk = run.take_pending()
            if chunk is not None:
                by_entry.setdefault(run.entry, []).append(chunk)
            if run.retained_bytes >= MAX_RETAINED_BYTES and not run.paused:
                run.paused = True
                self.upstream.pause_reading(run.run_id, True)
        self.dirty.clear()
        for entry, chunks in by_entry.items():
            self.send(entry, "chunks", ttypes.Chunks(chunks))

    # Periodic work

    def tick(self) -> None:
        """Does the periodic work; called every ``FLUSH_INTERVAL_MS``.

        Flushes, drops pulls, runs and ids that have expired, and schedules.
        """
        self.flush()
        now_ms = self.clock.monotonic_ms()
        for run_id, pulled_ms in tuple(self.pulls.items()):
            if now_ms - pulled_ms > PULL_TIMEOUT_MS:
                self.drop_offer(run_id)
                self.ids.add_tombstone(run_id)
        self.sweep(now_ms)
        self.find_crash_suspects(now_ms)
        for run in tuple(self.runs.values()):
            self.expire_run(run, now_ms)
        self.ids.expire()
        self.schedule()

    def sweep(self, now_ms: int) -> None:
        """Reports offers far back in the book that are now too late.

        :param now_ms: the current time
        """
        if now_ms - self.last_sweep_ms < SWEEP_INTERVAL_MS:
            return
        self.last_sweep_ms = now_ms
        self.send_skips(
            self.book.sweep(
                self.state.running(now_ms), self.view(now_ms), now_ms
            )
        )

    def expire_run(self, run: runs.Run, now_ms: int) -> None:
        """Removes an ended run, or abandons an orphaned one, after a timeout.

        :param run: the run
        :param now_ms: the current time
        """
        if run.ended is not None:
            if now_ms - run.ended_ms > RETENTION_MS:
                self.forget(run)
        elif (
            run.orphaned_ms is not None
            and now_ms - run.orphaned_ms > ORPHAN_TIMEOUT_MS
            and not run.cancelled
        ):
            self.abandon(run)

    def drain(self) -> None:
        """Stops pulling requests and lets the runs finish."""
        self.draining = True

    def count_unfinished(self) -> int:
        """Counts the runs that have not ended on the upstream.

        :return: the number of runs
        """
        return sum(run.ended is None for run in self.runs.values())

    @property
    def idle(self) -> bool:
        """Whether no run is unfinished or retained for a connected entry."""
        return not any(
            run.ended is None or run.entry in self.entries
            for run in self.runs.values()
        )
