"""The task that owns calls with an idempotency key.

Callers with the same key and the same body share one call. Where the call
may not be repeated, its key is claimed in the platform's table before it is
dispatched, and its answer is recorded there (see docs/OUTCOMES.md). Such a
call goes on when its callers leave, so that they can come back for the
answer.
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
from godwitloft.entry import desk as desks
from godwitloft.links.generated.messages import ttypes

Tell = typing.Callable[[answers.Answer], None]
Claimed = typing.Callable[[answers.Refused | None], bool]

FINAL = (answers.Complete, answers.Refused, answers.Failed)
REASONS = {one.value: one for one in answers.Reason}
PROOFS = {
    "never_started": claims_module.Proof.NEVER_STARTED,
    "running": claims_module.Proof.RUNNING,
}


@dataclasses.dataclass(eq=False)
class Shared:
    """One call that callers with the same key share.

    :param scope: key of the claim's row
    :param fingerprint: hash of what is called, with its body
    :param call: the call
    :param ends_ms: when the first caller's time is over
    :param claimed: whether the key is claimed in the table
    :param callers: what each caller is told through, by caller id
    :param heard: what the callers were told so far
    :param heard_bytes: size of it
    :param request_id: id at the desk, empty while it isn't there
    :param version: version of the row that the next claim replaces
    :param taken: the claim that the table holds for it
    """

    scope: str
    fingerprint: str
    call: calls.Call
    ends_ms: float
    claimed: bool
    callers: dict[str, Tell] = dataclasses.field(default_factory=dict)
    heard: list[answers.Answer] = dataclasses.field(default_factory=list)
    heard_bytes: int = 0
    request_id: str = ""
    version: int = 0
    taken: claims_module.HeldClaim | None = None


class KeyedCalls:
    """Owns the calls with keys of one entry.

    :param desk: the entry's desk
    :param platform_claims: creates the claims, given how to ask an agent
    :param scheduler: a reactor, or a driven clock in tests
    """

    def __init__(
        self,
        desk: desks.Desk,
        platform_claims: typing.Callable[
            [claims_module.AskAgent], claims_module.Claims
        ],
        scheduler: interfaces.IReactorTime,
    ) -> None:
        self.desk = desk
        self.claims = platform_claims(self.ask)
        self.scheduler = scheduler
        self.shared: dict[str, Shared] = {}
        self.of_caller: dict[str, Shared] = {}
        self.asked: dict[
            tuple[str, str], list[defer.Deferred[claims_module.Proof]]
        ] = {}
        self.recording = 0
        self.counter = 0

    @property
    def idle(self) -> bool:
        """Whether no call is left and no answer still to be recorded."""
        return not self.shared and not self.recording

    # Callers

    def accept(self, call: calls.Call, answer: Tell, key: str) -> str:
        """Takes a call in, with or without a key.

        :param call: what the caller asks
        :param answer: takes what the caller is to be told
        :param key: idempotency key, or empty
        :return: id for :meth:`cancel` and :meth:`pause`
        """
        if not key:
            return self.desk.accept(call, answer)
        self.counter += 1
        caller_id = f"{self.desk.incarnation}-k{self.counter}"
        scope = claims_row.row_key(call.team, call.service, key)
        fingerprint = fingerprint_of(call)
        shared = self.shared.get(scope)
        if shared is None:
            self.begin(caller_id, scope, fingerprint, call, answer)
        else:
            self.join(caller_id, shared, fingerprint, answer)
        return caller_id

    def begin(
        self,
        caller_id: str,
        scope: str,
        fingerprint: str,
        call: calls.Call,
        answer: Tell,
    ) -> None:
        """Starts a call that no caller here has asked for yet.

        :param caller_id: id of the caller
        :param scope: key of the claim's row
        :param fingerprint: hash of what is called
        :param call: the call
        :param answer: takes what the caller is told
        """
        claimed = not call.is_model and not call.idempotent
        ends_ms = self.claims.now_ms() + call.timeout_ms
        shared = Shared(scope, fingerprint, call, ends_ms, claimed)
        shared.callers[caller_id] = answer
        self.shared[scope] = shared
        self.of_caller[caller_id] = shared
        if claimed:
            self.spawn(self.look_up(shared))
        else:
            self.hand_over(shared)

    def join(
        self, caller_id: str, shared: Shared, fingerprint: str, answer: Tell
    ) -> None:
        """Lets a caller share a call that is under way.

        :param caller_id: id of the caller
        :param shared: the call
        :param fingerprint: hash of what this caller asks
        :param answer: takes what the caller is told
        """
        if shared.fingerprint != fingerprint:
            answer(other_body())
        elif shared.heard_bytes > claims_row.MAX_RECORDED_BYTES:
            answer(unknown("the call runs, and too much was answered to join"))
        else:
            self.desk.recorder.record(
                trace.Kind.JOINED, shared.request_id, caller_id=caller_id
            )
            for part in tuple(shared.heard):
                answer(part)
            shared.callers[caller_id] = answer
            self.of_caller[caller_id] = shared

    def cancel(self, caller_id: str) -> None:
        """Forgets a caller who went away.

        The last one's call ends with it, unless it may already run and may
        not be repeated.

        :param caller_id: what :meth:`accept` returned
        """
        shared = self.of_caller.pop(caller_id, None)
        if shared is None:
            self.desk.cancel(caller_id)
            return
        del shared.callers[caller_id]
        request = self.desk.requests.get(shared.request_id)
        if shared.callers or request is None:
            return
        if not shared.claimed or request.waiting:
            self.desk.cancel(shared.request_id)

    def pause(self, caller_id: str, paused: bool) -> None:
        """Passes on that a caller is slow, if it is the only one.

        :param caller_id: what :meth:`accept` returned
        :param paused: whether it is slow now
        """
        shared = self.of_caller.get(caller_id)
        if shared is None:
            self.desk.pause(caller_id, paused)
        elif len(shared.callers) == 1 or not paused:
            self.desk.pause(shared.request_id, paused)

    # The course of a call

    async def look_up(self, shared: Shared) -> None:
        """Finds out whether a call may run, and acts on it.

        :param shared: the call
        """
        limit_ms = shared.ends_ms - self.claims.now_ms()
        found = await self.claims.look_up(
            shared.scope, shared.fingerprint, limit_ms
        )
        match found:
            case claims_module.Proceed():
                shared.version = found.version
                self.hand_over(shared)
            case claims_module.Recorded():
                for part in parts_of(found.answer):
                    self.tell(shared, part)
            case claims_module.BodyMismatch():
                self.tell(shared, other_body())
            case claims_module.InProgress():
                self.tell(shared, unknown("the call still runs elsewhere"))
            case claims_module.OutcomeUnknown():
                self.tell(shared, unknown("an earlier attempt may have run"))
            case claims_module.Unavailable():
                self.tell(shared, unavailable(found.reason))

    def hand_over(self, shared: Shared) -> None:
        """Gives a call to the desk.

        :param shared: a call that may run
        """
        if not shared.callers:
            self.drop(shared)
            return
        left_ms = int(shared.ends_ms - self.claims.now_ms())
        call = dataclasses.replace(shared.call, timeout_ms=max(1, left_ms))

        def tell(part: answers.Answer) -> None:
            self.on_answer(shared, part)

        def claim(
            run_id: str, view: agents.AgentView, claimed: Claimed
        ) -> None:
            self.spawn(self.claim(shared, run_id, view, claimed))

        shared.request_id = self.desk.accept(
            call, tell, claim if shared.claimed else None
        )

    async def claim(
        self,
        shared: Shared,
        run_id: str,
        view: agents.AgentView,
        claimed: Claimed,
    ) -> None:
        """Claims the key for a run that an agent has asked for.

        :param shared: the call
        :param run_id: id of the run
        :param view: the agent
        :param claimed: takes None to dispatch the run, or why not; returns
            whether it was dispatched
        """
        row = claims_row.Row(
            run_id=run_id,
            fingerprint=shared.fingerprint,
            state=claims_row.State.RUNNING,
            entry=self.desk.incarnation,
            agent=view.instance,
            agent_incarnation=view.incarnation,
        )
        found = await self.claims.claim(
            shared.scope,
            row,
            shared.version,
            shared.ends_ms - self.claims.now_ms(),
        )
        match found:
            case claims_module.HeldClaim():
                shared.taken = found
                shared.version = found.version
                dispatched = claimed(None)
                ended = self.shared.get(shared.scope) is not shared
                if ended and not dispatched:
                    # It was refused while it was being claimed.
                    self.release(found)
            case claims_module.AlreadyClaimed():
                claimed(overtaken())
            case claims_module.Unavailable():
                claimed(unavailable(found.reason))

    def on_answer(self, shared: Shared, part: answers.Answer) -> None:
        """Handles what the desk tells of a call.

        :param shared: the call
        :param part: a part of its answer
        """
        overtaken_by = (
            isinstance(part, answers.Refused)
            and part.reason is answers.Reason.KEY_UNKNOWN
        )
        if overtaken_by:
            self.spawn(self.look_up(shared))
            return
        self.tell(shared, part)
        if shared.taken is None or not isinstance(part, FINAL):
            return
        if isinstance(part, answers.Refused):
            self.release(shared.taken)
        else:
            self.record(shared, shared.taken, part)

    def tell(self, shared: Shared, part: answers.Answer) -> None:
        """Tells every caller of a call a part of the answer.

        :param shared: the call
        :param part: the part
        """
        if isinstance(part, answers.Data):
            shared.heard_bytes += len(part.data)
        if shared.heard_bytes <= claims_row.MAX_RECORDED_BYTES:
            shared.heard.append(part)
        callers = tuple(shared.callers.values())
        if isinstance(part, FINAL):
            self.drop(shared)
        for answer in callers:
            answer(part)

    def drop(self, shared: Shared) -> None:
        """Forgets a call that has ended here.

        :param shared: the call
        """
        self.shared.pop(shared.scope, None)
        for caller_id in shared.callers:
            self.of_caller.pop(caller_id, None)

    # The table

    def record(
        self,
        shared: Shared,
        taken: claims_module.HeldClaim,
        part: answers.Answer,
    ) -> None:
        """Records the answer of a claimed call.

        What nobody knows the end of isn't recorded: the agent that the row
        names may still be able to tell.

        :param shared: the call
        :param taken: its claim
        :param part: the last part
        """
        if isinstance(part, answers.Failed) and not part.outcome_known:
            return
        answer = whole(shared, part)
        self.spawn(self.counted(self.claims.finish(taken, answer)))

    def release(self, taken: claims_module.HeldClaim) -> None:
        """Gives up the claim of a call that was not run.

        :param taken: the claim
        """
        self.spawn(self.counted(self.claims.release(taken)))

    async def counted(
        self, work: typing.Coroutine[typing.Any, typing.Any, bool]
    ) -> None:
        """Keeps the entry from stopping while something is written.

        :param work: what is written
        """
        self.recording += 1
        try:
            await work
        finally:
            self.recording -= 1

    def spawn(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Starts work whose end nobody waits for; errors are logged.

        :param work: the work
        """
        done = defer.ensureDeferred(work)
        done.addErrback(log_failure)

    # Agents

    def ask(
        self, agent: str, incarnation: str, run_id: str
    ) -> defer.Deferred[claims_module.Proof]:
        """Asks an agent what became of a run.

        :param agent: instance of the agent
        :param incarnation: start of its process that the run was meant for
        :param run_id: id of the run
        :return: what that incarnation says
        """
        view = self.desk.agents.views.get(agent)
        reached = (
            view is not None
            and view.incarnation == incarnation
            and self.desk.send(agent, "query", ttypes.Query(run_id, 0))
        )
        if not reached:
            return defer.succeed(claims_module.Proof.UNKNOWN)
        answer: defer.Deferred[claims_module.Proof] = defer.Deferred()
        self.asked.setdefault((agent, run_id), []).append(answer)
        return answer

    def on_query_answer(self, peer: str, body: ttypes.QueryAnswer) -> bool:
        """Takes an agent's answer, if it was asked here.

        :param peer: instance of the agent
        :param body: the message
        :return: whether it was
        """
        asked = self.asked.pop((peer, body.request_id), [])
        unknown_proof = claims_module.Proof.UNKNOWN
        for answer in asked:
            if not answer.called:
                answer.callback(PROOFS.get(body.state, unknown_proof))
        return bool(asked)

    def agent_lost(self, agent: str) -> None:
        """Answers for an agent that no longer can.

        A later incarnation must not answer for an earlier one.

        :param agent: instance of the agent
        """
        for peer, run_id in tuple(self.asked):
            if peer == agent:
                lost = ttypes.QueryAnswer(run_id, "unknown")
                self.on_query_answer(peer, lost)


def log_failure(failure: python_failure.Failure) -> None:
    """Logs an error of this task itself.

    :param failure: what was raised
    """
    error = failure.value
    if isinstance(error, Exception):
        events.log_error(events.INTERNAL_ERROR, error, task="keyed calls")


def fingerprint_of(call: calls.Call) -> str:
    """Returns the hash by which two calls are the same.

    :param call: any call
    :return: a hash over method, path and body, in hexadecimal
    """
    digest = hashlib.sha256(f"{call.method} {call.path}\n".encode())
    digest.update(call.body)
    return digest.hexdigest()


def whole(shared: Shared, last: answers.Answer) -> claims_row.Answer:
    """Puts together what the callers of a call were told.

    :param shared: a call that has ended
    :param last: the last part that they were told
    :return: the answer as it is recorded
    """
    if isinstance(last, answers.Failed):
        return claims_row.Answer(
            claims_row.Outcome.FAILED, last.reason.value, 0, "", b""
        )
    head = next(
        (one for one in shared.heard if isinstance(one, answers.Head)),
        answers.Head(0, ""),
    )
    body: bytes | None = None
    if shared.heard_bytes <= claims_row.MAX_RECORDED_BYTES:
        body = b"".join(
            one.data for one in shared.heard if isinstance(one, answers.Data)
        )
    return claims_row.Answer(
        claims_row.Outcome.COMPLETED, "", head.status, head.content_type, body
    )


def parts_of(answer: claims_row.Answer) -> typing.Iterator[answers.Answer]:
    """Returns a recorded answer as the desk would tell it.

    :param answer: from the table
    :return: its parts
    """
    if answer.outcome is not claims_row.Outcome.COMPLETED:
        failed = answers.Reason.UPSTREAM_FAILED
        yield answers.Failed(
            REASONS.get(answer.reason, failed), "the first attempt failed"
        )
    elif answer.body is None:
        yield answers.Failed(
            answers.Reason.KEY_UNKNOWN,
            "the call was completed; its answer was too large to be kept",
        )
    else:
        yield answers.Head(answer.status, answer.content_type)
        if answer.body:
            yield answers.Data(answer.body)
        yield answers.Complete()


def other_body() -> answers.Refused:
    """Returns the refusal of a key that belongs to another body.

    :return: what the caller is told
    """
    return answers.Refused(
        answers.Reason.KEY_REUSED,
        "the idempotency key was used with another request",
    )


def unknown(message: str) -> answers.Failed:
    """Returns that the end of the first attempt isn't known.

    :param message: for people
    :return: what the caller is told
    """
    return answers.Failed(
        answers.Reason.KEY_UNKNOWN, message, outcome_known=False
    )


def overtaken() -> answers.Refused:
    """Returns why a run isn't dispatched whose key another one has.

    :return: what the desk is told; callers don't hear it
    """
    return answers.Refused(
        answers.Reason.KEY_UNKNOWN, "another attempt has the key"
    )


def unavailable(message: str) -> answers.Refused:
    """Returns the refusal of a call that could not be claimed in time.

    :param message: for people
    :return: what the caller is told
    """
    return answers.Refused(
        answers.Reason.STORE_UNAVAILABLE,
        f"the platform's table gave no answer in time: {message}",
    )
