"""The request manager: the waiting and running requests of an entry.

It communicates by messages only: callers' tasks call
:meth:`RequestManager.accept` and get :mod:`answers`, agents' messages come
through :meth:`RequestManager.receive`. :meth:`RequestManager.dispatch`, which
gives a pulled request to an agent, is the only commit point: before it, the
request has certainly not run. :mod:`godwitloft.entry.queue` decides which
requests are refused under overload.
"""

import dataclasses
import functools
import heapq
import random
import typing

from godwitloft import charts
from godwitloft import clock as clocks
from godwitloft import events
from godwitloft import metrics
from godwitloft import trace
from godwitloft.entry import admission
from godwitloft.entry import agents
from godwitloft.entry import answers
from godwitloft.entry import bidding
from godwitloft.entry import call as calls
from godwitloft.entry import queue
from godwitloft.entry import request as requests
from godwitloft.entry import request_trace
from godwitloft.entry import team_limits
from godwitloft.entry import verdicts
from godwitloft.links import codec
from godwitloft.links.generated.messages import ttypes
from godwitloft.policy import retry
from godwitloft.policy import shed

RECONNECT_LIMIT_MS = 5_000
ACK_INTERVAL_CHUNKS = 32
MAX_UNSTARTED_ATTEMPTS = 50


@dataclasses.dataclass(frozen=True)
class RequestManagerSettings:
    """Limits and options of a request manager.

    :param max_waiting: requests that may wait
    :param max_waiting_bytes: total size of the bodies of waiting requests
    :param reconnect_limit_ms: how long a run is kept while its agent can't be
        reached; after that it is lost
    :param availability_zone: the entry's own availability zone
    :param hold_off: whether agents that don't have a prompt's prefix cached
        must wait before they start its request
    """

    max_waiting: int = 10_000
    max_waiting_bytes: int = 256 * 1024 * 1024
    reconnect_limit_ms: int = RECONNECT_LIMIT_MS
    availability_zone: str = ""
    hold_off: bool = True


class RequestManager:
    """Owns the waiting and running requests of one entry.

    :param clock: the time source
    :param incarnation: unique name of this start of the process
    :param send: sends ``(instance, field name, body)`` to a peer; returns
        False when there is no link to it
    :param recorder: writes the trace
    :param instruments: metrics of the process
    :param settings: limits and options
    :param generation: returns the configuration generation in force
    :param limits: the teams' counts and limits
    :param rng: chooses among equal agents and adds jitter to retries
    """

    def __init__(
        self,
        clock: clocks.Clock,
        incarnation: str,
        send: typing.Callable[[str, str, codec.Body], bool],
        recorder: trace.Recorder,
        instruments: metrics.Instruments,
        settings: RequestManagerSettings,
        generation: typing.Callable[[], int],
        limits: team_limits.TeamLimits | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.clock = clock
        self.incarnation = incarnation
        self.send = send
        self.recorder = recorder
        self.instruments = instruments
        self.settings = settings
        self.generation = generation
        self.chart = charts.load("request")
        self.limits = limits or team_limits.TeamLimits()
        self.rng = rng or random.Random(incarnation)
        self.agents = agents.Agents(settings.availability_zone, self.rng)
        self.requests: dict[str, requests.Request] = {}
        self.bidding = bidding.Bidding(
            clock,
            send,
            recorder,
            generation,
            self.agents,
            self.limits,
            queue.WaitingQueue(
                settings.max_waiting, settings.max_waiting_bytes
            ),
            self.refuse_for_load,
            settings.hold_off,
        )
        self.delayed: list[tuple[int, str]] = []
        self.retry_budget = retry.RetryBudget()
        self.verdicts = verdicts.Verdicts(
            clock,
            send,
            recorder,
            self.agents,
            self.bidding.waiting,
            self.refuse,
        )
        self.admission = admission.Admission(
            clock,
            self.limits,
            self.agents,
            self.bidding.queue,
            self.verdicts.suspects,
        )
        self.deadlines: list[tuple[int, str]] = []
        self.counter = 0
        self.handlers: dict[str, typing.Callable[[str, codec.Body], None]] = {
            "pull": self.on_pull,
            "skip": self.on_skip,
            "started": self.on_started,
            "chunks": self.on_chunks,
            "ended": self.on_ended,
            "query_answer": self.on_query_answer,
            "suspended": self.on_suspended,
            "farewell": self.on_farewell,
            "heartbeat": self.agents.on_heartbeat,
            "verdict": self.verdicts.on_verdict,
        }

    # Callers

    def accept(
        self,
        call: calls.Call,
        answer: typing.Callable[[answers.Answer], None],
        start_claim: requests.StartClaim | None = None,
    ) -> str:
        """Accepts a request, or refuses it at once.

        :param call: what the caller asks
        :param answer: called with each part of the answer; a refusal is
            passed to it before this function returns
        :param start_claim: called before each dispatch, which it allows or
            refuses; None allows all. See :class:`request.Request`
        :return: the request's id, also when it was refused
        """
        now_ms = self.clock.monotonic_ms()
        self.counter += 1
        request_id = f"{self.incarnation}-{self.counter}"
        request = requests.Request(
            request_id, call, answer, self.chart.start(), now_ms, start_claim
        )
        request_trace.record_accepted(self.recorder, request)
        self.requests[request_id] = request
        refusal = self.admission.refusal(call, now_ms)
        if refusal is not None:
            self.refuse(request, refusal)
            return request_id
        request.isolate = self.verdicts.is_suspect(call.fingerprint)
        heapq.heappush(self.deadlines, (request.deadline_ms, request_id))
        self.bidding.enqueue(request)
        self.bidding.shed_overflow()
        return request_id

    def cancel(self, request_id: str) -> None:
        """Ends a request whose caller disconnected.

        :param request_id: id of the request; ignored if it has ended
        """
        request = self.requests.get(request_id)
        if request is None:
            return
        if request.waiting:
            self.refuse(
                request,
                answers.Refused(
                    answers.Reason.CANCELLED, "the caller disconnected"
                ),
            )
        else:
            self.stop_run(request, "caller_gone")
            self.fail_interrupted(
                request, answers.Reason.CANCELLED, "the caller disconnected"
            )

    def pause(self, request_id: str, paused: bool) -> None:
        """Withholds acknowledgements while a caller reads slowly.

        Without them, the agent stops reading from its upstream. The received
        parts are acknowledged when the caller reads again.

        :param request_id: id of the request
        :param paused: whether the caller is slow now
        """
        request = self.requests.get(request_id)
        if request is None:
            return
        request.paused_by_caller = paused
        if not paused and not request.waiting:
            self.acknowledge(request)

    @property
    def draining(self) -> bool:
        """Whether new requests are refused."""
        return self.admission.draining

    def drain(self) -> None:
        """Refuses new requests from now on; accepted ones still finish."""
        self.admission.draining = True

    # Agents

    def peer_up(self, hello: ttypes.Hello) -> None:
        """Adds an agent, bids to it and queries the runs it may hold.

        :param hello: the agent's first message
        """
        if hello.role != "agent":
            return
        self.agents.add(hello)
        for request in tuple(self.requests.values()):
            if request.agent == hello.instance and not request.waiting:
                self.query_run(request, hello.incarnation)
        for request in tuple(self.bidding.waiting.values()):
            self.bidding.bid(request)
        self.verdicts.share_verdicts(hello.instance)

    def query_run(self, request: requests.Request, incarnation: str) -> None:
        """Queries a reconnected agent for a run that was dispatched to it.

        :param request: the request
        :param incarnation: incarnation of the agent that reconnected
        """
        if request.agent_incarnation != incarnation:
            self.on_run_lost(request, "the agent was restarted")
            return
        request.link_lost_ms = None
        self.send(
            request.agent,
            "query",
            ttypes.Query(request.run_id, request.next_sequence),
        )

    def peer_down(self, instance: str) -> None:
        """Removes an agent whose link is lost.

        Its runs are kept for the reconnect limit: the agent may reconnect and
        still hold them.

        :param instance: name of the agent's instance
        """
        self.agents.remove(instance)
        self.bidding.guarantees.forget_agent(instance)
        now_ms = self.clock.monotonic_ms()
        for request in self.requests.values():
            request.bid_agents.pop(instance, None)
            request.skip_reasons.pop(instance, None)
            if request.agent == instance and not request.waiting:
                request.link_lost_ms = now_ms
        self.recheck_waiting()

    def receive(self, peer: str, name: str, body: codec.Body) -> None:
        """Handles one message of an agent.

        :param peer: name of the agent's instance
        :param name: name of the message
        :param body: its body
        """
        handler = self.handlers.get(name)
        if handler is not None:
            handler(peer, body)

    def on_farewell(self, peer: str, _body: ttypes.Farewell) -> None:
        """Records that an agent is draining, and drops its bids.

        :param peer: name of the agent's instance
        """
        self.agents.mark_draining(peer)
        self.bidding.guarantees.forget_agent(peer)
        for request in self.bidding.waiting.values():
            request.bid_agents.pop(peer, None)
            request.skip_reasons.pop(peer, None)
        self.recheck_waiting()

    def on_pull(self, peer: str, body: ttypes.Pull) -> None:
        """Dispatches a waiting request to the first agent that pulls it.

        :param peer: name of the agent's instance
        :param body: the message
        """
        request = self.bidding.waiting.get(body.request_id)
        view = self.agents.views.get(peer)
        if request is None or view is None or peer not in request.bid_agents:
            self.refuse_pull(peer, body.request_id, "not_waiting")
        elif request.claim_pending:
            self.refuse_pull(peer, body.request_id, "being_claimed")
        elif not self.limits.may_run(request.call.team):
            self.refuse_pull(peer, body.request_id, "team_limit")
            request.bid_agents.pop(peer, None)
            self.bidding.park(request)
        elif request.start_claim is not None:
            request.claim_pending = True
            on_claimed = functools.partial(
                self.on_claimed, request, request.run_id, view
            )
            request.start_claim(request.run_id, view, on_claimed)
        else:
            self.dispatch(request, view)

    def on_claimed(
        self,
        request: requests.Request,
        run_id: str,
        view: agents.AgentView,
        refusal: answers.Refused | None,
    ) -> bool:
        """Dispatches a request once its claim allows it.

        The request may have ended or the agent may have restarted since the
        pull. Then it isn't dispatched; if it still waits, it is bid again.

        :param request: a request that was pulled
        :param run_id: id of the run that the claim names
        :param view: the agent that the claim names
        :param refusal: why it may not be dispatched, or None
        :return: whether it was dispatched
        """
        if run_id not in self.bidding.waiting or request.run_id != run_id:
            return False
        request.claim_pending = False
        if refusal is not None:
            self.refuse(request, refusal)
            return False
        current = self.agents.views.get(view.instance)
        if current is not None and current.incarnation == view.incarnation:
            self.dispatch(request, view)
        if request.waiting:
            self.bidding.withdraw(request)
            self.bidding.bid(request)
        return not request.waiting

    def refuse_pull(self, peer: str, run_id: str, reason: str) -> None:
        """Refuses an agent's pull.

        :param peer: name of the agent's instance
        :param run_id: id of the request
        :param reason: why
        """
        self.send(peer, "pull_refused", ttypes.PullRefused(run_id, reason))

    def dispatch(
        self, request: requests.Request, view: agents.AgentView
    ) -> None:
        """Sends a request to one agent and commits it to that agent.

        Nothing changes when the message can't be sent.

        :param request: a waiting request
        :param view: the agent that is to run it
        """
        now_ms = self.clock.monotonic_ms()
        call = request.call
        sent = self.send(
            view.instance,
            "dispatch",
            ttypes.Dispatch(
                request_id=request.run_id,
                method=call.method,
                path=call.path,
                headers=dict(call.headers),
                body=call.body,
                stream=call.stream,
                deadline_in_ms=max(0, request.deadline_ms - now_ms),
                idempotent=call.idempotent,
                generation=self.generation(),
            ),
        )
        if not sent:
            return
        self.recorder.record(
            trace.Kind.DISPATCHED,
            request.request_id,
            run_id=request.run_id,
            agent=view.instance,
            tier_rank=call.tier_rank,
        )
        request.position.feed("dispatch")
        request.agent = view.instance
        request.agent_incarnation = view.incarnation
        self.bidding.dequeue(request)
        self.bidding.withdraw(request)
        self.agents.record_dispatch(view.instance, call, now_ms)
        self.limits.add_running(call.team)
        self.admission.drain_rate.observe(now_ms)
        if call.idempotent and request.run_number == 1:
            self.retry_budget = retry.record_call(self.retry_budget)
        self.bidding.shed_overflow()
        self.instruments.wait_ms.record(
            now_ms - request.accepted_ms, {"tier": call.tier}
        )

    def on_skip(self, peer: str, body: ttypes.Skip) -> None:
        """Records an agent's reason for not pulling a request.

        A request that no agent can finish in time is refused at once.

        :param peer: name of the agent's instance
        :param body: the message
        """
        request = self.bidding.waiting.get(body.request_id)
        if request is None or peer not in request.bid_agents:
            return
        request.skip_reasons[peer] = body.reason
        self.recorder.record(
            trace.Kind.SKIPPED,
            request.request_id,
            run_id=body.request_id,
            agent=peer,
            reason=body.reason,
            finish_in_ms=body.finish_in_ms,
        )
        if request.urgent:
            self.bidding.guarantees.record_answer(
                peer, request.run_id, request.call.tier_rank, body.reason
            )
        self.refuse_if_unreachable(request)
        self.bidding.shed_overflow()

    def refuse_if_unreachable(self, request: requests.Request) -> None:
        """Refuses a request that every agent has skipped as too late.

        Before that, it is bid to the agents that haven't seen it yet.

        :param request: a waiting request
        """
        seen = {
            agent: request.skip_reasons.get(agent, "")
            for agent in request.bid_agents
        }
        if not shed.too_late_everywhere(seen):
            return
        if self.bidding.bid_to_all(request):
            return
        self.refuse(
            request,
            answers.Refused(
                answers.Reason.DEADLINE_UNREACHABLE,
                "no upstream can finish this in time",
                self.admission.retry_after_ms(request.call.tier_rank),
            ),
        )

    def recheck_waiting(self) -> None:
        """Checks the waiting requests again after an agent is gone."""
        for request in tuple(self.bidding.waiting.values()):
            if request.skip_reasons:
                self.refuse_if_unreachable(request)
        self.bidding.shed_overflow()

    def on_started(self, peer: str, body: ttypes.Started) -> None:
        """Records that a request was sent to the upstream.

        :param peer: name of the agent's instance
        :param body: the message
        """
        request = self.request_of_run(peer, body.request_id, "started")
        if request is not None:
            self.recorder.record(
                trace.Kind.STARTED,
                request.request_id,
                run_id=body.request_id,
                agent=peer,
            )

    def on_suspended(self, peer: str, body: ttypes.Suspended) -> None:
        """Records that a run was suspended or resumed.

        :param peer: name of the agent's instance
        :param body: the message
        """
        request = self.request_of_run(peer, body.request_id, "suspended")
        if request is None:
            return
        step = "suspend" if body.suspended else "resume"
        if request.position.allows(step):
            request.position.feed(step)

    def request_of_run(
        self, peer: str, run_id: str, message: str
    ) -> requests.Request | None:
        """Finds the request that a message from an agent is about.

        :param peer: name of the agent's instance
        :param run_id: id in the message
        :param message: name of the message, for the counter
        :return: the request, or None when the message must be dropped
        """
        request = self.requests.get(run_id.partition(".")[0])
        if (
            request is None
            or request.run_id != run_id
            or request.agent != peer
        ):
            self.instruments.dropped_messages.add(
                1, {"reason": f"stale_{message}"}
            )
            return None
        return request

    def on_chunks(self, peer: str, body: ttypes.Chunks) -> None:
        """Forwards parts of answers, each to its own caller.

        :param peer: name of the agent's instance
        :param body: the message
        """
        for chunk in body.chunks:
            request = self.request_of_run(peer, chunk.request_id, "chunk")
            if request is not None:
                self.on_chunk(request, chunk)

    def on_chunk(self, request: requests.Request, chunk: ttypes.Chunk) -> None:
        """Accepts the next part of an answer.

        Repeated parts and parts after a gap are dropped.

        :param request: the request it belongs to
        :param chunk: the part
        """
        if chunk.sequence != request.next_sequence:
            repeated = chunk.sequence < request.next_sequence
            reason = "repeated_chunk" if repeated else "early_chunk"
            self.instruments.dropped_messages.add(1, {"reason": reason})
            return
        if request.head is None:
            request.position.feed("first_chunk")
            self.record_first_chunk(request)
        request.add_chunk(chunk)
        unacked = request.next_sequence - request.acked_sequence
        if unacked >= ACK_INTERVAL_CHUNKS:
            self.acknowledge(request)

    def record_first_chunk(self, request: requests.Request) -> None:
        """Records the time to the first part of an answer.

        :param request: the request
        """
        elapsed_ms = self.clock.monotonic_ms() - request.accepted_ms
        self.instruments.first_token_ms.record(
            elapsed_ms, {"tier": request.call.tier}
        )

    def acknowledge(self, request: requests.Request) -> None:
        """Acknowledges the received parts, unless the caller is slow.

        The agent keeps parts until they are acknowledged.

        :param request: the request
        """
        if request.paused_by_caller:
            return
        request.acked_sequence = request.next_sequence
        self.send(
            request.agent,
            "ack",
            ttypes.Ack(request.run_id, request.next_sequence, False),
        )

    def on_ended(self, peer: str, body: ttypes.Ended) -> None:
        """Handles the end of a run: ends its request or runs it again.

        If parts are missing, the agent is queried for them first.

        :param peer: name of the agent's instance
        :param body: the message
        """
        request = self.request_of_run(peer, body.request_id, "ended")
        if request is None:
            # Lets the agent discard a run that nobody waits for.
            self.send(peer, "ack", ttypes.Ack(body.request_id, 0, True))
            return
        if body.count > request.next_sequence:
            self.send(
                peer,
                "query",
                ttypes.Query(request.run_id, request.next_sequence),
            )
            return
        self.send(peer, "ack", ttypes.Ack(body.request_id, body.count, True))
        request_trace.record_ended(self.recorder, request, peer, body)
        if body.outcome == "never_started":
            self.on_not_started(request, body.reason)
        elif body.outcome == "completed":
            self.complete(request, body)
        else:
            self.on_run_failed(request, body)

    def complete(self, request: requests.Request, body: ttypes.Ended) -> None:
        """Sends the rest of the answer and completes the request.

        The request fails if the answer did not arrive whole and unchanged.

        :param request: the request
        :param body: the end of its run
        """
        if not request.is_complete(body):
            self.fail(
                request,
                answers.Failed(
                    answers.Reason.ANSWER_DAMAGED,
                    "the answer did not arrive whole",
                ),
                "failed",
            )
            return
        request.send_rest(body)
        request.position.feed("completed")
        self.finish(request)
        request.answer(answers.Complete())

    def on_run_failed(
        self, request: requests.Request, body: ttypes.Ended
    ) -> None:
        """Retries a failed run where that is allowed, else fails it.

        :param request: the request
        :param body: the end of its run
        """
        if self.take_retry(request):
            self.retry(request, "upstream_failed")
            return
        crashed = bool(body.upstream_crashed)
        reason = (
            answers.Reason.UPSTREAM_CRASHED
            if crashed
            else answers.Reason.UPSTREAM_FAILED
        )
        if crashed:
            self.fail_interrupted(request, reason, body.reason)
        else:
            self.fail(request, answers.Failed(reason, body.reason), "failed")

    def fail_interrupted(
        self, request: requests.Request, reason: answers.Reason, message: str
    ) -> None:
        """Fails a request whose run was interrupted.

        The outcome of a non-idempotent call is unknown: it may have taken
        effect.

        :param request: a dispatched request
        :param reason: why it was interrupted
        :param message: human-readable message
        """
        outcome_known = request.call.is_model or request.call.idempotent
        failure = answers.Failed(reason, message, outcome_known=outcome_known)
        self.fail(request, failure, "failed" if outcome_known else "unknown")

    def take_retry(self, request: requests.Request) -> bool:
        """Takes a retry out of the retry budget if the call may run again.

        :param request: a request that may have run
        :return: whether it may be run again; only idempotent calls of
            plain services may
        """
        call = request.call
        if call.is_model or request.head_sent:
            return False
        slack_ms = request.deadline_ms - self.clock.monotonic_ms()
        if not retry.may_retry(call.idempotent, request.attempts, slack_ms, 0):
            return False
        budget = retry.spend(self.retry_budget)
        if budget is None:
            self.instruments.refusals.add(
                1, {"reason": "retry_budget", "tier": call.tier}
            )
            return False
        self.retry_budget = budget
        return True

    def on_not_started(self, request: requests.Request, reason: str) -> None:
        """Requeues a dispatched request that was certainly not run.

        After too many such attempts, the request is refused.

        :param request: a dispatched request
        :param reason: why it was not started
        """
        request.position.feed("never_started")
        self.limits.remove_running(request.call.team)
        if request.run_number >= MAX_UNSTARTED_ATTEMPTS:
            # Clears the agent: finish() would else count the run as ended
            # a second time.
            request.reset_run()
            self.refuse(
                request,
                answers.Refused(answers.Reason.NO_UPSTREAM, reason),
            )
            return
        self.requeue(request, reason)

    def retry(self, request: requests.Request, reason: str) -> None:
        """Retries an idempotent call that may have run.

        :param request: a dispatched request
        :param reason: why the earlier run failed
        """
        request.position.feed("run_again")
        self.limits.remove_running(request.call.team)
        request.attempts += 1
        request.failed_agents.add(request.agent)
        self.requeue(
            request, reason, retry.backoff_ms(request.attempts - 1, self.rng)
        )

    def requeue(
        self, request: requests.Request, reason: str, delay_ms: int = 0
    ) -> None:
        """Puts a request back into the queue under a new run id.

        :param request: a request in state ``waiting``
        :param reason: why, for the counter
        :param delay_ms: delay before it is queued
        """
        self.instruments.retries.add(1, {"reason": reason})
        request.next_run()
        self.recorder.record(
            trace.Kind.RUN_AGAIN,
            request.request_id,
            run_id=request.run_id,
            reason=reason,
        )
        if delay_ms > 0:
            due_ms = self.clock.monotonic_ms() + delay_ms
            heapq.heappush(self.delayed, (due_ms, request.request_id))
        else:
            self.bidding.enqueue(request)

    def on_query_answer(self, peer: str, body: ttypes.QueryAnswer) -> None:
        """Handles an agent's report on a run after a reconnect.

        :param peer: name of the agent's instance
        :param body: the message
        """
        request = self.request_of_run(peer, body.request_id, "query_answer")
        if request is not None and body.state == "never_started":
            self.on_not_started(request, "dispatch_lost")
        elif request is not None and body.state == "forgotten":
            self.on_run_lost(request, "the agent no longer holds the answer")

    def on_run_lost(self, request: requests.Request, message: str) -> None:
        """Retries or fails a request whose run was lost.

        Without a retry, the outcome is unknown: there is no proof of how far
        the run came.

        :param request: the request
        :param message: human-readable message
        """
        if self.take_retry(request):
            self.retry(request, "agent_lost")
            return
        events.log(
            events.OUTCOME_UNKNOWN,
            request_id=request.request_id,
            agent=request.agent,
        )
        self.fail(
            request,
            answers.Failed(
                answers.Reason.AGENT_LOST, message, outcome_known=False
            ),
            "unknown",
        )

    # Overload

    def refuse_for_load(
        self, request: requests.Request, reason: answers.Reason
    ) -> None:
        """Refuses a request that is over a limit of the queue.

        :param request: a waiting request
        :param reason: why
        """
        self.refuse(
            request,
            answers.Refused(
                reason,
                "too many requests are waiting",
                self.admission.retry_after_ms(request.call.tier_rank),
            ),
        )

    # Deadlines and outcomes

    def tick(self) -> None:
        """Handles deadlines, delayed retries and lost runs.

        Must be called several times a second.
        """
        now_ms = self.clock.monotonic_ms()
        while self.deadlines and self.deadlines[0][0] <= now_ms:
            _deadline_ms, request_id = heapq.heappop(self.deadlines)
            request = self.requests.get(request_id)
            if request is not None:
                self.on_deadline(request)
        while self.delayed and self.delayed[0][0] <= now_ms:
            _due_ms, request_id = heapq.heappop(self.delayed)
            request = self.requests.get(request_id)
            if request is not None and request.waiting:
                self.bidding.enqueue(request)
        lost_before_ms = now_ms - self.settings.reconnect_limit_ms
        for request in tuple(self.requests.values()):
            lost_ms = request.link_lost_ms
            if lost_ms is not None and lost_ms <= lost_before_ms:
                self.on_run_lost(request, "the agent can't be reached")

    def on_deadline(self, request: requests.Request) -> None:
        """Ends a request whose deadline has passed.

        A dispatched request's run is cancelled where :meth:`stop_run` allows.

        :param request: the request
        """
        if request.waiting:
            self.refuse(
                request,
                answers.Refused(
                    answers.Reason.DEADLINE_PASSED,
                    "no upstream had capacity before the deadline",
                    self.admission.retry_after_ms(request.call.tier_rank),
                ),
            )
            return
        self.stop_run(request, "deadline")
        self.fail_interrupted(
            request,
            answers.Reason.DEADLINE_IN_FLIGHT,
            "the deadline passed before the answer was complete",
        )

    def stop_run(self, request: requests.Request, reason: str) -> None:
        """Cancels a run whose answer is no longer needed.

        A non-idempotent call of a plain service is not cancelled but left to
        finish.

        :param request: a dispatched request
        :param reason: why, for the agent's log
        """
        if request.call.is_model or request.call.idempotent:
            self.send(
                request.agent,
                "cancel",
                ttypes.Cancel(request.run_id, reason),
            )

    def refuse(
        self, request: requests.Request, refusal: answers.Refused
    ) -> None:
        """Ends a waiting request, as refused if it certainly was not run.

        A request that was retried may have run, so it fails instead.

        :param request: a waiting request
        :param refusal: the refusal to send to the caller
        """
        self.bidding.dequeue(request)
        self.bidding.withdraw(request)
        if request.attempts > 1:
            self.fail(
                request,
                answers.Failed(refusal.reason, refusal.message),
                "give_up",
            )
            return
        request.position.feed("refuse")
        labels = {
            "reason": refusal.reason.value,
            "tier": request.call.tier,
        }
        self.instruments.refusals.add(1, labels)
        self.recorder.record(
            trace.Kind.REFUSED,
            request.request_id,
            reason=refusal.reason.value,
            tier_rank=request.call.tier_rank,
        )
        events.log(
            events.REQUEST_REFUSED,
            request_id=request.request_id,
            **labels,
        )
        self.finish(request, refusal.reason.value)
        request.answer(refusal)

    def fail(
        self,
        request: requests.Request,
        failure: answers.Failed,
        chart_input: str,
    ) -> None:
        """Ends a request that ran, or may have run, without a whole answer.

        :param request: a dispatched request
        :param failure: the failure to send to the caller
        :param chart_input: input of the chart ``request``
        """
        request.position.feed(chart_input)
        self.finish(request, failure.reason.value)
        request.answer(failure)

    def finish(self, request: requests.Request, reason: str = "") -> None:
        """Removes a request and records its outcome.

        :param request: a request in a final state
        :param reason: why, for the trace
        """
        outcome = request.position.state
        del self.requests[request.request_id]
        if request.agent:
            self.limits.remove_running(request.call.team)
        self.bidding.unpark(request.call.team)
        self.instruments.outcomes.add(
            1, {"outcome": outcome, "tier": request.call.tier}
        )
        now_ms = self.clock.monotonic_ms()
        self.recorder.record(
            trace.Kind.TOLD,
            request.request_id,
            outcome=outcome,
            reason=reason,
            not_run=outcome == "refused",
            count=request.next_sequence,
            digest=request.digest.hexdigest(),
            elapsed_ms=now_ms - request.accepted_ms,
            timely=now_ms <= request.deadline_ms,
        )
