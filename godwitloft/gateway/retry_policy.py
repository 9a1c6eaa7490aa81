"""Decides whether a request is retried, and records failures."""

from godwitloft import attempt as attempts
from godwitloft import events
from godwitloft.gateway import answer as answers
from godwitloft.gateway import checked_attempt
from godwitloft.gateway import model
from godwitloft.gateway import outcomes
from godwitloft.gateway import reports
from godwitloft.gateway import request as requests
from godwitloft.gateway import retry_budget
from godwitloft.gateway.allowances import sharing as sharings
from godwitloft.gateway.crashes import crash_tracker
from godwitloft.gateway.upstreams import fleet as fleets

# Longer than the pauses between two events of a stream on a busy engine.
STALL_MS = 1_500
# Before a request goes again to an upstream that could not be reached, where
# no other is left.
UNREACHABLE_PAUSE_MS = 100
STALLED = answers.AttemptOutcome(
    outcomes.Result.BROKEN, "stalled", unusable=True
)
# Why this gateway breaks answers off itself, which tells nothing about the
# upstream's process.
BROKEN_OFF_HERE = frozenset(
    (
        STALLED.reason,
        answers.ANSWER_TOO_LONG,
        answers.EVENT_TOO_LONG,
        answers.EVENT_REPEATED,
        attempts.MALFORMED_ANSWER,
    )
)
# Why nothing was sent although, for all that is known, the upstream's process
# lives.
NOT_REFUSED = frozenset(
    (
        attempts.NOT_REACHED,
        attempts.MALFORMED_REQUEST,
        checked_attempt.Found.NO_ANSWER.value,
    )
)


class RetryPolicy:
    """Retry budgets and recent failures.

    :param fleet: the upstreams
    :param sharing: the other gateways
    :param settings: limits on retries, of all gateways together
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        sharing: sharings.Sharing,
        settings: retry_budget.BudgetSettings,
    ) -> None:
        self.fleet = fleet
        self.sharing = sharing
        self.settings = settings
        self.crashes = crash_tracker.CrashTracker(sharing.others.place)
        self.budgets: dict[str, retry_budget.RetryBudget] = {}

    def budget(self, service: str) -> retry_budget.RetryBudget:
        """Returns the retry budget of a service.

        :param service: name of the service
        :return: the budget, created if needed
        """
        budget = self.budgets.get(service)
        if budget is None:
            budget = retry_budget.RetryBudget(self.settings)
            self.budgets[service] = budget
        return budget

    def record_end(
        self,
        request: requests.Request,
        state: fleets.UpstreamState,
        attempt_outcome: answers.AttemptOutcome,
        now_ms: int,
    ) -> None:
        """Records the end of an attempt.

        :param request: the request
        :param state: the upstream
        :param attempt_outcome: how the attempt ended
        :param now_ms: the current time
        """
        if (
            attempt_outcome.result is outcomes.Result.DELIVER
            and not attempt_outcome.failed
        ):
            if request.first_data_ms == 0:
                state.record_success(
                    now_ms - request.sent_ms,
                    request.facts.sizes.prompt_tokens,
                )
            return
        if found_replaced(attempt_outcome):
            # The new process has the same id, and was not tried.
            request.replaced_ms = now_ms
        else:
            request.tried_upstreams.add(state.upstream.id)
        if attempt_outcome.result is outcomes.Result.END_UNKNOWN:
            # The upstream may be sound.
            return
        unreachable = attempt_outcome.result is outcomes.Result.NOT_SENT
        state.record_failure(now_ms, unreachable)
        if attempt_outcome.replaced:
            state.mark_replaced()
        if attempt_outcome.result is outcomes.Result.BROKEN:
            if attempt_outcome.reason not in BROKEN_OFF_HERE:
                state.last_broken_ms = now_ms
            self.crashes.record_broken(
                state.life,
                crash_tracker.Broken(now_ms, request.unproved_causes(now_ms)),
            )
        elif unreachable and attempt_outcome.reason not in NOT_REFUSED:
            self.crashes.record_unreachable(state.life, now_ms)
        events.log(
            events.UPSTREAM_FAILED,
            request=request.facts.id,
            route=request.facts.route.name,
            upstream=state.upstream.id,
            reason=attempt_outcome.reason,
            result=attempt_outcome.result.value,
            sent_ms_ago=now_ms - request.sent_ms,
            failures=state.failures,
            parts=list(request.facts.shared_parts),
            **reports.answer_extent(request),
        )

    def has_stalled(self, request: requests.Request, now_ms: int) -> bool:
        """Returns whether a stream has stalled and can be resumed elsewhere.

        :param request: a request that was sent
        :param now_ms: the current time
        :return: whether no data was received for :data:`STALL_MS`, though the
            upstream hasn't ended its answer, and another upstream is usable
        """
        route = request.facts.route
        if request.attempt is not None and request.attempt.is_closed:
            return False
        return (
            request.state is requests.State.ANSWERING
            and route.kind is model.Kind.STREAM
            and request.facts.may_repeat
            and not request.congested
            and now_ms - request.last_data_ms >= STALL_MS
            and self.has_other_upstream(request, now_ms)
        )

    def has_other_upstream(
        self, request: requests.Request, now_ms: int
    ) -> bool:
        """Returns whether another upstream is usable for a request.

        :param request: a request that was sent
        :param now_ms: the current time
        :return: whether there is one besides its current upstream that has
            not asked for a pause
        """
        return any(
            state is not request.upstream_state
            and now_ms >= state.asked_pause_until_ms
            for state in self.fleet.usable(
                request.facts.service, request.version
            )
        )

    def may_retry(
        self,
        request: requests.Request,
        attempt_outcome: answers.AttemptOutcome,
        now_ms: int,
    ) -> bool:
        """Decides whether a request is sent again, and notes why not.

        :param request: the request whose attempt failed
        :param attempt_outcome: how the attempt ended
        :param now_ms: the current time
        :return: whether it is queued again
        """
        request.no_retry = self.retry_obstacle(
            request, attempt_outcome, now_ms
        )
        return not request.no_retry

    def retry_obstacle(
        self,
        request: requests.Request,
        attempt_outcome: answers.AttemptOutcome,
        now_ms: int,
    ) -> str:
        """Returns why a request is not sent again.

        If nothing hinders it, a retry is taken from the budget.

        :param request: the request whose attempt failed
        :param attempt_outcome: how the attempt ended
        :param now_ms: the current time
        :return: short name for logs, empty if it is queued again
        """
        facts = request.facts
        causes = facts.possible_causes
        if attempt_outcome.result in (
            outcomes.Result.NOT_SENT,
            outcomes.Result.NOT_RUN,
        ):
            request.runs -= 1
            # A trial that has not run has shown nothing yet.
            causes = request.untried_causes()
        elif not facts.may_repeat:
            return "not_repeatable"
        elif request.has_begun_plain_answer():
            return "answer_begun"
        elif not request.may_go_on:
            return "event_without_id"
        elif request.runs >= facts.route.max_attempts:
            return "attempts_used"
        if facts.deadline_ms <= now_ms:
            return "deadline"
        if self.crashes.causes.find_blamed(causes):
            return "crashes_upstreams"
        if found_replaced(attempt_outcome):
            # The list may show the new process soon, at the same version.
            return ""
        states = self.fleet.usable(facts.service, request.version)
        if all(
            state.upstream.id in request.tried_upstreams for state in states
        ):
            if request.runs == 0 or not states:
                return "no_other_upstream"
            # An upstream that broke one request off may serve the next.
            request.tried_upstreams.clear()
            if attempt_outcome.result is outcomes.Result.NOT_SENT:
                request.resend_at_ms = now_ms + UNREACHABLE_PAUSE_MS
        if self.all_pause_too_long(request, states):
            return "upstreams_paused"
        if attempt_outcome.result is outcomes.Result.NOT_SENT:
            return ""
        return "" if self.take_retry(facts.service, now_ms) else "budget"

    def take_retry(self, service: str, now_ms: int) -> bool:
        """Takes one retry from the budget of a service if it allows one.

        :param service: name of the service
        :param now_ms: the current time
        :return: whether a request may be sent again
        """
        started_ms = (
            None
            if self.sharing.start.is_first
            else self.sharing.start.started_ms
        )
        return self.budget(service).take(
            now_ms, self.sharing.gateways, started_ms
        )

    def all_pause_too_long(
        self,
        request: requests.Request,
        states: list[fleets.UpstreamState],
    ) -> bool:
        """Returns whether no untried upstream takes a request in time.

        :param request: the request whose attempt failed
        :param states: the usable upstreams of its service
        :return: whether each has asked for a pause beyond the deadline
        """
        untried = [
            state
            for state in states
            if state.upstream.id not in request.tried_upstreams
        ]
        return bool(untried) and all(
            state.asked_pause_until_ms >= request.facts.deadline_ms
            for state in untried
        )


def found_replaced(attempt_outcome: answers.AttemptOutcome) -> bool:
    """Returns whether a check before an attempt found another process.

    :param attempt_outcome: how the attempt ended
    """
    not_sent = attempt_outcome.result is outcomes.Result.NOT_SENT
    return not_sent and attempt_outcome.replaced
