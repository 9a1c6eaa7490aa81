"""Decides whether a request is sent once more, and learns from failures."""

from godwitloft import events
from godwitloft.gateway import answer as answers
from godwitloft.gateway import crash_tracker
from godwitloft.gateway import fleet as fleets
from godwitloft.gateway import model
from godwitloft.gateway import outcomes
from godwitloft.gateway import request as requests
from godwitloft.gateway import retry_budget
from godwitloft.gateway import sharing as sharings

# A pause between two events of a stream that a busy engine doesn't make.
STALL_MS = 1_500
STALLED = answers.AttemptOutcome(
    outcomes.Result.BROKEN, "stalled", unusable=True
)


class RetryPolicy:
    """What failed lately, and what may be repeated.

    :param fleet: the upstreams
    :param sharing: what other gateways saw, and how many there are
    :param settings: bounds on repeats, of all gateways together
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
        self.crashes = crash_tracker.CrashTracker(sharing)
        self.budgets: dict[str, retry_budget.RetryBudget] = {}

    def budget(self, service: str) -> retry_budget.RetryBudget:
        """Returns the budget for repeats to a service.

        :param service: its name
        :return: the budget
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
        """Learns from the end of an attempt.

        :param request: what ran
        :param state: where
        :param verdict: how it ended
        :param now_ms: the time
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
        unreachable = attempt_outcome.result is outcomes.Result.NOT_SENT
        state.record_failure(now_ms, unreachable)
        request.tried_upstreams.add(state.upstream.id)
        if attempt_outcome.replaced:
            state.mark_leaving()
        if attempt_outcome.result is outcomes.Result.BROKEN:
            self.crashes.record_broken(
                state.upstream.id, request.facts.fingerprint, now_ms
            )
        elif unreachable:
            self.crashes.record_unreachable(state.upstream.id, now_ms)
        events.log(
            events.UPSTREAM_FAILED,
            request=request.facts.id,
            route=request.facts.route.name,
            upstream=state.upstream.id,
            reason=attempt_outcome.reason,
            result=attempt_outcome.result.value,
            sent_ms_ago=now_ms - request.sent_ms,
            failures=state.failures,
        )

    def has_stalled(self, request: requests.Request, now_ms: int) -> bool:
        """Tells whether a stream has fallen silent and may go on elsewhere.

        :param request: a request that was sent
        :param now_ms: the time
        :return: whether no event has come for long
        """
        route = request.facts.route
        return (
            request.state is requests.State.ANSWERING
            and route.kind is model.Kind.STREAM
            and request.facts.may_repeat
            and now_ms - request.last_data_ms >= STALL_MS
            and self.has_other_upstream(request)
        )

    def has_other_upstream(self, request: requests.Request) -> bool:
        """Tells whether there is another upstream for a request.

        :param request: a request that was sent
        :return: whether one that isn't its own is usable
        """
        return any(
            state is not request.upstream_state
            for state in self.fleet.usable(request.facts.service)
        )

    def may_retry(
        self,
        request: requests.Request,
        attempt_outcome: answers.AttemptOutcome,
        now_ms: int,
    ) -> bool:
        """Decides whether a request is sent once more.

        :param request: whose attempt failed
        :param verdict: how
        :param now_ms: the time
        :return: whether it goes back to the waiting ones
        """
        facts = request.facts
        if attempt_outcome.result in (
            outcomes.Result.NOT_SENT,
            outcomes.Result.NOT_RUN,
        ):
            request.runs -= 1
        elif not facts.may_repeat:
            return False
        elif request.runs >= facts.route.max_attempts:
            return False
        if facts.deadline_ms <= now_ms:
            return False
        if self.crashes.is_crashing(facts.fingerprint, now_ms):
            return False
        states = self.fleet.usable(facts.service)
        if all(
            state.upstream.id in request.tried_upstreams for state in states
        ):
            if request.runs == 0 or not states:
                return False
            # An upstream that broke one request off may serve the next.
            request.tried_upstreams.clear()
        if attempt_outcome.result is outcomes.Result.NOT_SENT:
            return True
        return self.budget(facts.service).take(now_ms, self.sharing.gateways)
