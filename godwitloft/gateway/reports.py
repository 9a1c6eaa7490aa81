"""Writes logs and metrics of the end of requests."""

import enum
import typing

from godwitloft import answer_end
from godwitloft import clock as clocks
from godwitloft import events
from godwitloft import metrics
from godwitloft.gateway import answer as answers
from godwitloft.gateway import config_state as config_states
from godwitloft.gateway import outcomes
from godwitloft.gateway import refusals
from godwitloft.gateway import request as requests
from godwitloft.gateway import shutdown as shutdowns
from godwitloft.gateway.callers import http_server


class EndFound(enum.Enum):
    """What became of a stream whose end was not known."""

    # An upstream that was asked to go on had nothing to add, or had.
    WHOLE = "whole"
    GOES_ON = "goes_on"
    # Nobody could tell, and nothing showed that events were missing.
    TAKEN_FOR_WHOLE = "taken_for_whole"
    # Something showed that events were missing.
    CUT = "cut"


class Reports:
    """Writes one log line at the end of each request.

    :param clock: source of the time
    :param instruments: metrics
    :param config_state: configuration in force, whose version is logged
    :param shutdown: for how long the process has been stopping
    """

    def __init__(
        self,
        clock: clocks.Clock,
        instruments: metrics.Instruments,
        config_state: config_states.ConfigState,
        shutdown: shutdowns.Shutdown,
    ) -> None:
        self.clock = clock
        self.instruments = instruments
        self.config_state = config_state
        self.shutdown = shutdown

    def count_unreadable(self, refusal: http_server.Refusal) -> None:
        """Counts a request that could not be read.

        :param refusal: the refusal that was sent
        """
        self.instruments.refusals.add(1, {"reason": refusal.reason})

    def count_answer_end(
        self,
        answer: answers.Answer,
        attempt_outcome: answers.AttemptOutcome,
    ) -> None:
        """Counts the end of an upstream's answer, complete or not.

        :param answer: the answer
        :param attempt_outcome: how the attempt ended
        """
        if answer.body_end is None:
            return
        framing = answer.body_end.framing.value
        reason = attempt_outcome.reason or attempt_outcome.result.value
        self.instruments.answer_ends.add(
            1, {"framing": framing, "end": reason}
        )

    def report_sent(
        self,
        request: requests.Request,
        running: int,
        allowed: int,
        share_fields: typing.Mapping[str, object],
    ) -> None:
        """Logs that a request is sent, and keeps that for a line of its end.

        :param request: the request
        :param running: number of requests that its upstream runs
        :param allowed: how many it may run
        :param share_fields: why it may run so many
        """
        facts = request.facts
        now_ms = self.clock.monotonic_ms()
        router = self.config_state.router
        request.sent_fields = {
            "team": facts.team.name if facts.team is not None else None,
            "tokens": request.use.tokens if request.use is not None else None,
            "upstream_version": request.sent_version,
            "resumes": facts.resumed_id,
            "waited_ms": now_ms - facts.arrived_ms,
            "running": running,
            "allowed": allowed,
            **share_fields,
            **request.choice,
            "proof_age_ms": self.config_state.confirmation_age_ms(now_ms),
            "version": router.configuration.version if router else None,
        }
        self.instruments.starts.add(
            1, {"share_by": str(share_fields["share_by"])}
        )
        events.log(
            events.REQUEST_PLACED,
            request=facts.id,
            route=facts.route.name,
            upstream=request.last_upstream_id,
            **self.shutdown.log_fields(),
            **request.sent_fields,
        )

    def count_held(self, request: requests.Request) -> None:
        """Counts, once, a request that waits for a more urgent one elsewhere.

        :param request: a waiting request
        """
        if not request.was_held:
            request.was_held = True
            self.instruments.held.add(1, {"service": request.facts.service})

    def report_unknown_end(
        self, request: requests.Request, found: EndFound, why: str = ""
    ) -> None:
        """Logs what became of a stream whose end was not known.

        :param request: its request
        :param found: what became of it
        :param why: why nobody is asked any more, empty if that isn't so
        """
        end = request.unmarked_end or answer_end.UnmarkedEnd(
            request.last_event, request.last_upstream_id
        )
        events.log(
            events.UNKNOWN_END,
            request=request.facts.id,
            then=found.value,
            why=why or None,
            **self.shutdown.log_fields(),
            route=request.facts.route.name,
            upstream=end.upstream_id,
            after_event=(end.after_event or b"").decode("latin-1"),
            asked=request.last_upstream_id,
            **attempt_end(request),
        )

    def report_unadmitted(
        self, request_id: str, refusal: refusals.Refusal
    ) -> None:
        """Logs and counts a refusal of a request that failed its checks.

        :param request_id: id of the request
        :param refusal: the refusal
        """
        self.write_refusal(request_id, refusal, {})

    def report_refused(
        self, request: requests.Request, refusal: refusals.Refusal
    ) -> None:
        """Logs and counts a refusal of a request that passed its checks.

        :param request: the refused request
        :param refusal: the refusal
        """
        facts = request.facts
        now_ms = self.clock.monotonic_ms()
        inputs = {
            "route": facts.route.name,
            "may_repeat": facts.may_repeat,
            "resumes": facts.resumed_id,
            "stream_version": request.version,
            "waited_ms": now_ms - facts.arrived_ms,
            "attempts": request.attempt_count,
            "runs": request.runs,
            "upstream": request.last_upstream_id,
            **attempt_end(request),
        }
        if request.runs > 0:
            inputs.update(last_attempt(request, now_ms))
        self.write_refusal(facts.id, refusal, inputs)

    def write_refusal(
        self,
        request_id: str,
        refusal: refusals.Refusal,
        inputs: typing.Mapping[str, typing.Any],
    ) -> None:
        """Logs and counts a refusal.

        :param request_id: id of the request
        :param refusal: the refusal
        :param inputs: further log fields of the request
        """
        router = self.config_state.router
        now_ms = self.clock.monotonic_ms()
        self.instruments.refusals.add(1, {"reason": refusal.reason})
        hint = refusal.inputs.get("hint")
        if hint is not None:
            above = refusal.inputs.get("above_share", False)
            labels = {
                "promised": str(hint["promised"]).lower(),
                "above_share": str(above).lower(),
            }
            self.instruments.hints.add(1, labels)
        self.shutdown.count_end(outcomes.REFUSED, refusal.reason)
        fields = {
            "request": request_id,
            "reason": refusal.reason,
            "status": refusal.status,
            **self.shutdown.log_fields(),
            "retry_after_ms": refusal.retry_after_ms,
            "version": router.configuration.version if router else None,
            "proof_age_ms": self.config_state.confirmation_age_ms(now_ms),
        }
        events.log(
            events.REQUEST_REFUSED, **fields, **inputs, **refusal.inputs
        )

    def report_ended(
        self, request: requests.Request, outcome: str, reason: str
    ) -> None:
        """Logs and counts the end of a request that was sent to an upstream.

        :param request: the request
        :param outcome: one of the outcomes in
            :mod:`godwitloft.gateway.outcomes`
        :param reason: why it failed, if it did
        """
        facts = request.facts
        now_ms = self.clock.monotonic_ms()
        self.instruments.outcomes.add(1, {"outcome": outcome})
        self.shutdown.count_end(outcome, reason)
        if outcome == outcomes.CUT:
            stopping = str(self.shutdown.has_begun).lower()
            self.instruments.cuts.add(
                1, {"reason": reason, "stopping": stopping}
            )
        first_ms = None
        if request.first_data_ms:
            first_ms = request.first_data_ms - facts.arrived_ms
            self.instruments.first_token_ms.record(first_ms)
        is_whole = outcome in (outcomes.COMPLETED, outcomes.CALLER_LEFT)
        fields = {
            "request": facts.id,
            "reason": reason,
            "outcome": outcome,
            **self.shutdown.log_fields(),
            "route": facts.route.name,
            "first_ms": first_ms,
            "took_ms": now_ms - facts.arrived_ms,
            "target_ms": facts.route.target_ms,
            "attempts": request.attempt_count,
            "upstream": request.last_upstream_id,
            "may_repeat": facts.may_repeat,
            **answer_progress(request, now_ms),
            **attempt_end(request),
        }
        if is_whole:
            events.log(events.REQUEST_ANSWERED, **fields)
        else:
            fields.update(last_attempt(request, now_ms))
            events.log(events.ANSWER_FAILED, **fields)


def answer_progress(
    request: requests.Request, now_ms: int
) -> typing.Mapping[str, typing.Any]:
    """Returns what came last of an answer, and what has not gone on.

    :param request: a request that was sent
    :param now_ms: the current time
    :return: log fields
    """
    silent_ms = now_ms - request.last_data_ms if request.last_data_ms else None
    return {
        "upstream_silent_ms": silent_ms,
        "caller_is_slow": request.congested,
        "unsent_bytes": request.exchange.unsent_bytes,
    }


def last_attempt(
    request: requests.Request, now_ms: int
) -> typing.Mapping[str, typing.Any]:
    """Returns what became of a request's last attempt.

    The line of a failure tells all of it: the lines of its beginning may have
    been left out.

    :param request: a request that was sent
    :param now_ms: the current time
    :return: log fields
    """
    answer = request.answer
    return {
        **answer_progress(request, now_ms),
        "state": request.state.value,
        "upstream_ended": not request.was_cancelled,
        "unforwarded_bytes": answer.unforwarded_bytes if answer else 0,
        "sent": {"ms_ago": now_ms - request.sent_ms, **request.sent_fields},
    }


def attempt_end(
    request: requests.Request,
) -> typing.Mapping[str, typing.Any]:
    """Returns how a request's last attempt ended.

    :param request: any request
    :return: log fields: the end of its answer, and why it was not sent again
    """
    extent = answer_extent(request)
    if not request.no_retry:
        return extent
    return {**extent, "no_retry": request.no_retry}


def answer_extent(
    request: requests.Request,
) -> typing.Mapping[str, typing.Any]:
    """Returns what is known about the end of a request's last answer.

    :param request: any request
    :return: log fields, none if it got no answer
    """
    return request.answer.extent() if request.answer is not None else {}
