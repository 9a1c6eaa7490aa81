"""Gives callers the final answer to their requests."""

import dataclasses

from godwitloft.gateway import answer as answers
from godwitloft.gateway import outcomes
from godwitloft.gateway import refusals
from godwitloft.gateway import reports as reports_module
from godwitloft.gateway import request as requests
from godwitloft.gateway import shutdown as shutdowns
from godwitloft.gateway.allowances import sharing as sharings
from godwitloft.gateway.placing import admission as admissions
from godwitloft.gateway.streams import unmarked_end


class FinalAnswers:
    """Ends requests that don't run and won't be sent again.

    :param sharing: gets back the use of teams whose requests have not run
    :param admission: knows when a refused caller should return
    :param shutdown: learns how long requests take
    :param reports: writes logs and metrics
    """

    def __init__(
        self,
        sharing: sharings.Sharing,
        admission: admissions.Admission,
        shutdown: shutdowns.Shutdown,
        reports: reports_module.Reports,
    ) -> None:
        self.sharing = sharing
        self.admission = admission
        self.shutdown = shutdown
        self.reports = reports

    def fail(
        self,
        request: requests.Request,
        answer: answers.Answer,
        attempt_outcome: answers.AttemptOutcome,
    ) -> None:
        """Answers a request whose last attempt has failed.

        :param request: the failed request
        :param answer: the upstream's answer, complete or not
        :param attempt_outcome: how the attempt ended
        """
        if request.exchange.started:
            self.end(request, outcomes.CUT, attempt_outcome.reason)
            request.exchange.abort()
        elif answer.complete and not attempt_outcome.unusable:
            answer.deliver()
            self.end(request, outcomes.FAILED, attempt_outcome.reason)
        elif (
            attempt_outcome.result
            in (
                outcomes.Result.NOT_SENT,
                outcomes.Result.NOT_RUN,
            )
            and request.runs == 0
        ):
            self.refuse(
                request,
                self.admission.rejection(request, attempt_outcome.reason),
            )
        else:
            self.refuse(request, refusals.Refusal(502, attempt_outcome.reason))

    def finish_unmarked(self, request: requests.Request, why: str) -> None:
        """Ends a stream that nobody can be asked about and counts as whole.

        :param request: its request
        :param why: why it isn't asked for any more
        """
        self.reports.report_unknown_end(
            request, reports_module.EndFound.TAKEN_FOR_WHOLE, why
        )
        if request.attempt_count == 1:
            # Otherwise its time includes that of asking in vain.
            self.shutdown.record_complete(request)
        request.exchange.finish()
        reason = outcomes.Result.END_UNKNOWN.value
        self.end(request, outcomes.COMPLETED, reason)

    def refuse(
        self, request: requests.Request, refusal: refusals.Refusal
    ) -> None:
        """Answers a request with a refusal.

        If the caller has already received the head of an answer, the
        connection is closed before the end of the answer, unless that counts
        as whole. A request that may have run gets no status that says that it
        hasn't.

        :param request: the refused request
        :param refusal: the refusal
        """
        if unmarked_end.counts_as_whole(request):
            self.finish_unmarked(request, refusal.reason)
            return
        if request.exchange.started:
            if request.unmarked_end is not None:
                self.reports.report_unknown_end(
                    request, reports_module.EndFound.CUT
                )
            self.end(request, outcomes.CUT, refusal.reason)
            request.exchange.abort()
            return
        if request.runs > 0 and refusal.status in outcomes.NOT_RUN_STATUSES:
            refusal = dataclasses.replace(
                refusal, status=504, retry_after_ms=None
            )
        self.reports.report_refused(request, refusal)
        request.state = requests.State.ENDED
        team = request.facts.team
        if request.runs == 0 and request.use is not None and team is not None:
            self.sharing.window(team.name).take_back(request.use)
        refusals.answer(request.exchange, refusal)

    def end(
        self, request: requests.Request, outcome: str, reason: str
    ) -> None:
        """Ends a request that was answered or whose caller disconnected.

        :param request: the request
        :param outcome: one of the outcomes in
            :mod:`godwitloft.gateway.outcomes`
        :param reason: why it failed, if it did
        """
        self.reports.report_ended(request, outcome, reason)
        request.state = requests.State.ENDED
