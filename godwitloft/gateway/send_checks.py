"""Checks a waiting request once more, just before it is sent."""

from godwitloft.gateway import config_state as config_states
from godwitloft.gateway import model
from godwitloft.gateway import refusals
from godwitloft.gateway import request as requests
from godwitloft.gateway import shutdown as shutdowns
from godwitloft.gateway.callers import request_checker as request_checkers
from godwitloft.gateway.placing import admission as admissions


class SendChecks:
    """What may have changed since a request was admitted.

    :param config_state: the configuration in force
    :param request_checker: finds the team of a key
    :param admission: knows what is blamed for crashes
    :param shutdown: knows whether the process must end
    """

    def __init__(
        self,
        config_state: config_states.ConfigState,
        request_checker: request_checkers.RequestChecker,
        admission: admissions.Admission,
        shutdown: shutdowns.Shutdown,
    ) -> None:
        self.config_state = config_state
        self.request_checker = request_checker
        self.admission = admission
        self.shutdown = shutdown

    def refusal(
        self, request: requests.Request, now_ms: int
    ) -> refusals.Refusal | None:
        """Returns why a request may not be sent any more.

        Its key may be withdrawn, the request or a part of its prompt may be
        blamed for crashes, or the process may have to end before it is done.

        :param request: a waiting request
        :param now_ms: the current time
        :return: the refusal, None if it may be sent
        """
        refusal = self.admission.crash_refusal(request, now_ms)
        if refusal is None:
            refusal = self.key_refusal(request, now_ms)
        if refusal is not None:
            return refusal
        if request.runs == 0:
            if not self.shutdown.can_finish(request):
                return request_checkers.LEAVING_REFUSAL
        return None

    def key_refusal(
        self, request: requests.Request, now_ms: int
    ) -> refusals.Refusal | None:
        """Returns why a request's key doesn't count any more.

        :param request: a waiting request
        :param now_ms: the current time
        :return: the refusal, None if its key counts, or none is needed
        """
        router = self.config_state.router
        if request.facts.team is None or router is None:
            return None
        if not self.config_state.is_confirmation_fresh(now_ms):
            return request_checkers.unconfirmed_refusal()
        if self.request_checker.team_of(request.exchange, router) is None:
            return refusals.Refusal(401, "unknown_key")
        return None

    def must_check_life(
        self, request: requests.Request, upstream: model.Upstream
    ) -> bool:
        """Returns whether a request may go to the listed process only.

        :param request: a request that is being sent
        :param upstream: the upstream
        :return: whether it goes on with a stream of an engine
        """
        facts = request.facts
        if request.last_event is None or not facts.may_repeat:
            return False
        is_stream = facts.route.kind is model.Kind.STREAM
        return is_stream and self.config_state.is_engine(upstream.service)
