"""Calls with an idempotency key.

Callers with the same key and the same request share one call. If the call may
not be repeated, its key is claimed in the platform's table before it is
dispatched, and its answer is recorded there (see docs/OUTCOMES.md). Once it
is dispatched, such a call continues when its callers disconnect, so that they
can retry with the same key and get the answer.
"""

import dataclasses
import hashlib
import typing

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.python import failure as python_failure

from godwitloft import events
from godwitloft import trace
from godwitloft.coordination import claims as claims_module
from godwitloft.coordination import claims_row
from godwitloft.entry import agents
from godwitloft.entry import answers
from godwitloft.entry import call as calls
from godwitloft.entry import request_manager as request_managers
from godwitloft.links.generated.messages import ttypes

AnswerCallback = typing.Callable[[answers.Answer], None]
ClaimCallback = typing.Callable[[answers.Refused | None], bool]

FINAL = (answers.Complete, answers.Refused, answers.Failed)
REASON_BY_VALUE = {reason.value: reason for reason in answers.Reason}
PROOF_BY_STATE = {
    "never_started": claims_module.Proof.NEVER_STARTED,
    "running": claims_module.Proof.RUNNING,
}


@dataclasses.dataclass(eq=False)
class SharedCall:
    """One call that callers with the same key share.

    :param scope: key of the claim's row
    :param fingerprint: hash of method, path and body, as in the claim's row;
        not the fingerprint in ``call``, which covers the service too
    :param call: the call
    :param deadline_ms: the first caller's deadline, on the clock of
        :meth:`claims.Claims.now_ms`
    :param needs_claim: whether the key must be claimed in the table
    :param callers: callback for the parts of the answer, by caller id
    :param parts: the parts of the answer sent to the callers so far
    :param parts_bytes: total size of their data
    :param request_id: id at the request manager, empty until submitted
    :param version: version of the row that the next claim replaces
    :param claim: the claim that the table holds for the call, if any
    """

    scope: str
    fingerprint: str
    call: calls.Call
    deadline_ms: float
    needs_claim: bool
    callers: dict[str, AnswerCallback] = dataclasses.field(
        default_factory=dict
    )
    parts: list[answers.Answer] = dataclasses.field(default_factory=list)
    parts_bytes: int = 0
    request_id: str = ""
    version: int = 0
    claim: claims_module.HeldClaim | None = None


class KeyedCalls:
    """Owns the calls with idempotency keys of one entry.

    :param request_manager: the entry's request manager
    :param make_claims: creates the access to claims, given a function that
        queries an agent
    :param scheduler: a reactor, or a simulated clock in tests
    """

    def __init__(
        self,
        request_manager: request_managers.RequestManager,
        make_claims: typing.Callable[
            [claims_module.AskAgent], claims_module.Claims
        ],
        scheduler: interfaces.IReactorTime,
    ) -> None:
        self.request_manager = request_manager
        self.claims = make_claims(self.query_agent)
        self.scheduler = scheduler
        self.shared_calls: dict[str, SharedCall] = {}
        self.by_caller: dict[str, SharedCall] = {}
        self.pending_queries: dict[
            tuple[str, str], list[defer.Deferred[claims_module.Proof]]
        ] = {}
        self.pending_writes = 0
        self.counter = 0

    @property
    def idle(self) -> bool:
        """Whether no call and no write to the table is pending."""
        return not self.shared_calls and not self.pending_writes

    # Callers

    def accept(
        self, call: calls.Call, answer: AnswerCallback, key: str
    ) -> str:
        """Accepts a call, with or without a key.

        :param call: what the caller asks
        :param answer: called with each part of the answer
        :param key: idempotency key, or empty
        :return: id for :meth:`cancel` and :meth:`pause`
        """
        if not key:
            return self.request_manager.accept(call, answer)
        self.counter += 1
        caller_id = f"{self.request_manager.incarnation}-k{self.counter}"
        scope = claims_row.row_key(call.team, call.service, key)
        fingerprint = fingerprint_of(call)
        shared_call = self.shared_calls.get(scope)
        if shared_call is None:
            self.start_call(caller_id, scope, fingerprint, call, answer)
        else:
            self.join_call(caller_id, shared_call, fingerprint, answer)
        return caller_id

    def start_call(
        self,
        caller_id: str,
        scope: str,
        fingerprint: str,
        call: calls.Call,
        answer: AnswerCallback,
    ) -> None:
        """Starts a call whose key is not in use at this entry.

        :param caller_id: id of the caller
        :param scope: key of the claim's row
        :param fingerprint: hash of method, path and body
        :param call: the call
        :param answer: called with each part of the answer
        """
        needs_claim = not call.is_model and not call.idempotent
        deadline_ms = self.claims.now_ms() + call.timeout_ms
        shared_call = SharedCall(
            scope, fingerprint, call, deadline_ms, needs_claim
        )
        shared_call.callers[caller_id] = answer
        self.shared_calls[scope] = shared_call
        self.by_caller[caller_id] = shared_call
        if needs_claim:
            self.spawn(self.look_up(shared_call))
        else:
            self.submit(shared_call)

    def join_call(
        self,
        caller_id: str,
        shared_call: SharedCall,
        fingerprint: str,
        answer: AnswerCallback,
    ) -> None:
        """Adds a caller to a call in progress.

        The caller first gets the parts that were already sent. Once these
        exceed the size that can be recorded, they are no longer kept whole,
        so no caller can join.

        :param caller_id: id of the caller
        :param shared_call: the call
        :param fingerprint: hash of this caller's method, path and body
        :param answer: called with each part of the answer
        """
        if shared_call.fingerprint != fingerprint:
            answer(key_reused())
        elif shared_call.parts_bytes > claims_row.MAX_RECORDED_BYTES:
            answer(
                outcome_unknown(
                    "the call is running; its answer is too large to join"
                )
            )
        else:
            self.request_manager.recorder.record(
                trace.Kind.JOINED, shared_call.request_id, caller_id=caller_id
            )
            for part in tuple(shared_call.parts):
                answer(part)
            shared_call.callers[caller_id] = answer
            self.by_caller[caller_id] = shared_call

    def cancel(self, caller_id: str) -> None:
        """Removes a caller that disconnected.

        With its last caller, the call is cancelled, unless it may already be
        running and may not be repeated.

        :param caller_id: what :meth:`accept` returned
        """
        shared_call = self.by_caller.pop(caller_id, None)
        if shared_call is None:
            self.request_manager.cancel(caller_id)
            return
        del shared_call.callers[caller_id]
        request = self.request_manager.requests.get(shared_call.request_id)
        if shared_call.callers or request is None:
            return
        if not shared_call.needs_claim or request.waiting:
            self.request_manager.cancel(shared_call.request_id)

    def pause(self, caller_id: str, paused: bool) -> None:
        """Pauses the answer for a slow caller, if it is the only one.

        With several callers, a slow one must not hold up the others.

        :param caller_id: what :meth:`accept` returned
        :param paused: whether the caller is slow now
        """
        shared_call = self.by_caller.get(caller_id)
        if shared_call is None:
            self.request_manager.pause(caller_id, paused)
        elif len(shared_call.callers) == 1 or not paused:
            self.request_manager.pause(shared_call.request_id, paused)

    # Running a call

    async def look_up(self, shared_call: SharedCall) -> None:
        """Looks up a call's key and runs the call or answers it.

        :param shared_call: the call
        """
        limit_ms = shared_call.deadline_ms - self.claims.now_ms()
        result = await self.claims.look_up(
            shared_call.scope, shared_call.fingerprint, limit_ms
        )
        match result:
            case claims_module.Proceed():
                shared_call.version = result.version
                self.submit(shared_call)
            case claims_module.Recorded():
                for part in answer_parts(result.answer):
                    self.send_part(shared_call, part)
            case claims_module.BodyMismatch():
                self.send_part(shared_call, key_reused())
            case claims_module.InProgress():
                self.send_part(
                    shared_call,
                    outcome_unknown("the call is still running elsewhere"),
                )
            case claims_module.OutcomeUnknown():
                self.send_part(
                    shared_call,
                    outcome_unknown("an earlier attempt may have run"),
                )
            case claims_module.Unavailable():
                self.send_part(shared_call, store_unavailable(result.reason))

    def submit(self, shared_call: SharedCall) -> None:
        """Submits a call to the request manager, unless its callers are gone.

        :param shared_call: a call that may run
        """
        if not shared_call.callers:
            self.forget(shared_call)
            return
        remaining_ms = int(shared_call.deadline_ms - self.claims.now_ms())
        call = dataclasses.replace(
            shared_call.call, timeout_ms=max(1, remaining_ms)
        )

        def on_part(part: answers.Answer) -> None:
            self.on_answer(shared_call, part)

        def start_claim(
            run_id: str, view: agents.AgentView, on_claimed: ClaimCallback
        ) -> None:
            self.spawn(self.claim(shared_call, run_id, view, on_claimed))

        shared_call.request_id = self.request_manager.accept(
            call, on_part, start_claim if shared_call.needs_claim else None
        )

    async def claim(
        self,
        shared_call: SharedCall,
        run_id: str,
        view: agents.AgentView,
        on_claimed: ClaimCallback,
    ) -> None:
        """Claims the key for a run that an agent has pulled.

        :param shared_call: the call
        :param run_id: id of the run
        :param view: the agent
        :param on_claimed: called with None to dispatch the run, or with the
            refusal; returns whether it was dispatched
        """
        row = claims_row.Row(
            run_id=run_id,
            fingerprint=shared_call.fingerprint,
            state=claims_row.State.RUNNING,
            entry=self.request_manager.incarnation,
            agent=view.instance,
            agent_incarnation=view.incarnation,
        )
        result = await self.claims.claim(
            shared_call.scope,
            row,
            shared_call.version,
            shared_call.deadline_ms - self.claims.now_ms(),
        )
        match result:
            case claims_module.HeldClaim():
                shared_call.claim = result
                shared_call.version = result.version
                dispatched = on_claimed(None)
                has_ended = (
                    self.shared_calls.get(shared_call.scope) is not shared_call
                )
                if has_ended and not dispatched:
                    # The call was refused while the claim was being written.
                    self.release(result)
            case claims_module.AlreadyClaimed():
                on_claimed(superseded())
            case claims_module.Unavailable():
                on_claimed(store_unavailable(result.reason))

    def on_answer(self, shared_call: SharedCall, part: answers.Answer) -> None:
        """Handles a part of an answer from the request manager.

        :param shared_call: the call
        :param part: the part
        """
        # Only :func:`superseded` refuses with this reason; the lookup finds
        # what became of the attempt that holds the claim.
        is_superseded = (
            isinstance(part, answers.Refused)
            and part.reason is answers.Reason.KEY_UNKNOWN
        )
        if is_superseded:
            self.spawn(self.look_up(shared_call))
            return
        self.send_part(shared_call, part)
        if shared_call.claim is None or not isinstance(part, FINAL):
            return
        if isinstance(part, answers.Refused):
            self.release(shared_call.claim)
        else:
            self.record(shared_call, shared_call.claim, part)

    def send_part(self, shared_call: SharedCall, part: answers.Answer) -> None:
        """Sends a part of the answer to every caller of a call.

        The part is kept for callers that join later and for the table, up to
        the size that can be recorded.

        :param shared_call: the call
        :param part: the part
        """
        if isinstance(part, answers.Data):
            shared_call.parts_bytes += len(part.data)
        if shared_call.parts_bytes <= claims_row.MAX_RECORDED_BYTES:
            shared_call.parts.append(part)
        callers = tuple(shared_call.callers.values())
        if isinstance(part, FINAL):
            self.forget(shared_call)
        for answer in callers:
            answer(part)

    def forget(self, shared_call: SharedCall) -> None:
        """Removes a call that has ended.

        :param shared_call: the call
        """
        self.shared_calls.pop(shared_call.scope, None)
        for caller_id in shared_call.callers:
            self.by_caller.pop(caller_id, None)

    # The table

    def record(
        self,
        shared_call: SharedCall,
        claim: claims_module.HeldClaim,
        part: answers.Answer,
    ) -> None:
        """Records the answer of a claimed call.

        An unknown outcome is not recorded: the agent that the row names may
        still be able to report it.

        :param shared_call: the call
        :param claim: its claim
        :param part: the last part of the answer
        """
        if isinstance(part, answers.Failed) and not part.outcome_known:
            return
        answer = recorded_answer(shared_call, part)
        self.spawn(self.count_write(self.claims.finish(claim, answer)))

    def release(self, claim: claims_module.HeldClaim) -> None:
        """Releases the claim of a call that was not run.

        :param claim: the claim
        """
        self.spawn(self.count_write(self.claims.release(claim)))

    async def count_write(
        self, work: typing.Coroutine[typing.Any, typing.Any, bool]
    ) -> None:
        """Counts a pending write to the table until it is done.

        :param work: the write
        """
        self.pending_writes += 1
        try:
            await work
        finally:
            self.pending_writes -= 1

    def spawn(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Starts a coroutine without waiting for it; errors are logged.

        :param work: the coroutine
        """
        done = defer.ensureDeferred(work)
        done.addErrback(log_failure)

    # Agents

    def query_agent(
        self, agent: str, incarnation: str, run_id: str
    ) -> defer.Deferred[claims_module.Proof]:
        """Queries an agent for the state of a run.

        :param agent: instance of the agent
        :param incarnation: incarnation that the run was claimed for
        :param run_id: id of the run
        :return: the state; unknown if that incarnation has no link
        """
        view = self.request_manager.agents.views.get(agent)
        sent = (
            view is not None
            and view.incarnation == incarnation
            and self.request_manager.send(
                agent, "query", ttypes.Query(run_id, 0)
            )
        )
        if not sent:
            return defer.succeed(claims_module.Proof.UNKNOWN)
        proof: defer.Deferred[claims_module.Proof] = defer.Deferred()
        self.pending_queries.setdefault((agent, run_id), []).append(proof)
        return proof

    def on_query_answer(self, peer: str, body: ttypes.QueryAnswer) -> bool:
        """Handles an agent's answer to a query, if it was sent from here.

        :param peer: instance of the agent
        :param body: the message
        :return: whether the query was sent from here
        """
        proofs = self.pending_queries.pop((peer, body.request_id), [])
        unknown_proof = claims_module.Proof.UNKNOWN
        for proof in proofs:
            if not proof.called:
                proof.callback(PROOF_BY_STATE.get(body.state, unknown_proof))
        return bool(proofs)

    def on_agent_down(self, agent: str) -> None:
        """Answers an agent's pending queries as unknown.

        A later incarnation must not answer for an earlier one.

        :param agent: instance of the agent
        """
        for peer, run_id in tuple(self.pending_queries):
            if peer == agent:
                unknown = ttypes.QueryAnswer(run_id, "unknown")
                self.on_query_answer(peer, unknown)


def log_failure(failure: python_failure.Failure) -> None:
    """Logs an internal error.

    :param failure: the exception that was raised
    """
    error = failure.value
    if isinstance(error, Exception):
        events.log_error(events.INTERNAL_ERROR, error, task="keyed calls")


def fingerprint_of(call: calls.Call) -> str:
    """Returns the hash that tells whether a key is reused for another call.

    :param call: any call
    :return: a hash over method, path and body, in hexadecimal
    """
    digest = hashlib.sha256(f"{call.method} {call.path}\n".encode())
    digest.update(call.body)
    return digest.hexdigest()


def recorded_answer(
    shared_call: SharedCall, last: answers.Answer
) -> claims_row.Answer:
    """Assembles the answer of a call for the table.

    :param shared_call: a call that has ended
    :param last: the last part of its answer
    :return: the answer, without a body if that is too large to be recorded
    """
    if isinstance(last, answers.Failed):
        return claims_row.Answer(
            claims_row.Outcome.FAILED, last.reason.value, 0, "", b""
        )
    head = next(
        (part for part in shared_call.parts if isinstance(part, answers.Head)),
        answers.Head(0, ""),
    )
    body: bytes | None = None
    if shared_call.parts_bytes <= claims_row.MAX_RECORDED_BYTES:
        body = b"".join(
            part.data
            for part in shared_call.parts
            if isinstance(part, answers.Data)
        )
    return claims_row.Answer(
        claims_row.Outcome.COMPLETED, "", head.status, head.content_type, body
    )


def answer_parts(answer: claims_row.Answer) -> typing.Iterator[answers.Answer]:
    """Returns the parts of a recorded answer, as a caller gets them.

    :param answer: the answer from the table
    :return: its parts
    """
    if answer.outcome is not claims_row.Outcome.COMPLETED:
        default_reason = answers.Reason.UPSTREAM_FAILED
        yield answers.Failed(
            REASON_BY_VALUE.get(answer.reason, default_reason),
            "the first attempt failed",
        )
    elif answer.body is None:
        yield answers.Failed(
            answers.Reason.KEY_UNKNOWN,
            "the call was completed, but its answer was too large to be kept",
        )
    else:
        yield answers.Head(answer.status, answer.content_type)
        if answer.body:
            yield answers.Data(answer.body)
        yield answers.Complete()


def key_reused() -> answers.Refused:
    """Returns the refusal of a key that was used with another request.

    :return: the refusal for the caller
    """
    return answers.Refused(
        answers.Reason.KEY_REUSED,
        "the idempotency key was used with another request",
    )


def outcome_unknown(message: str) -> answers.Failed:
    """Returns the failure of a call whose outcome can't be determined.

    :param message: human-readable message
    :return: the failure for the caller
    """
    return answers.Failed(
        answers.Reason.KEY_UNKNOWN, message, outcome_known=False
    )


def superseded() -> answers.Refused:
    """Returns the refusal of a run whose key another attempt has claimed.

    :return: the refusal for the request manager; callers don't get it, as
        the key is looked up again
    """
    return answers.Refused(
        answers.Reason.KEY_UNKNOWN, "another attempt has claimed the key"
    )


def store_unavailable(message: str) -> answers.Refused:
    """Returns the refusal of a call that could not be claimed in time.

    :param message: human-readable message
    :return: the refusal for the caller
    """
    return answers.Refused(
        answers.Reason.STORE_UNAVAILABLE,
        f"the platform's table did not answer in time: {message}",
    )
