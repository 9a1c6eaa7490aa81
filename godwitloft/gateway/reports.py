"""Logs and counts how requests end."""

import typing

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft import metrics
from godwitloft.gateway import config_state as config_states
from godwitloft.gateway import http_server
from godwitloft.gateway import outcomes
from godwitloft.gateway import refusals
from godwitloft.gateway import request as requests


class Reports:
    """Writes one line for each end of a request.

    :param clock: tells the time
    :param instruments: what is counted
    :param knowledge: whose version is named
    """

    def __init__(
        self,
        clock: clocks.Clock,
        instruments: metrics.Instruments,
        config_state: config_states.ConfigState,
    ) -> None:
        self.clock = clock
        self.instruments = instruments
        self.config_state = config_state

    def count_unreadable(self, refusal: http_server.Refusal) -> None:
        """Counts a request that could not be read.

        :param refusal: what the caller was told
        """
        self.instruments.refusals.add(1, {"reason": refusal.reason})

    def report_unadmitted(
        self, request_id: str, refusal: refusals.Refusal
    ) -> None:
        """Writes and counts a refusal of what was never taken in.

        :param request_id: of the request
        :param refusal: why
        """
        self.write_refusal(request_id, refusal, {})

    def report_refused(
        self, request: requests.Request, refusal: refusals.Refusal
    ) -> None:
        """Writes and counts a refusal of a request that was taken in.

        :param request: what is refused
        :param refusal: why
        """
        facts = request.facts
        now_ms = self.clock.monotonic_ms()
        inputs = {
            "route": facts.route.name,
            "may_repeat": facts.may_repeat,
            "waited_ms": now_ms - facts.arrived_ms,
            "attempts": request.attempt_count,
            "runs": request.runs,
            "upstream": request.last_upstream_id,
        }
        self.write_refusal(facts.id, refusal, inputs)

    def write_refusal(
        self,
        request_id: str,
        refusal: refusals.Refusal,
        inputs: typing.Mapping[str, typing.Any],
    ) -> None:
        """Writes and counts a refusal.

        :param request_id: of the request
        :param refusal: why
        :param inputs: what is known of the request
        """
        router = self.config_state.router
        now_ms = self.clock.monotonic_ms()
        self.instruments.refusals.add(1, {"reason": refusal.reason})
        fields = {
            "request": request_id,
            "status": refusal.status,
            "reason": refusal.reason,
            "retry_after_ms": refusal.retry_after_ms,
            "version": router.configuration.version if router else None,
            "proof_age_ms": self.config_state.proof_age_ms(now_ms),
        }
        events.log(
            events.REQUEST_REFUSED, **fields, **inputs, **refusal.inputs
        )

    def report_ended(
        self, request: requests.Request, outcome: str, reason: str
    ) -> None:
        """Notes the end of a request that was answered.

        :param request: what ended
        :param outcome: in a word
        :param reason: why, if it failed
        """
        facts = request.facts
        now_ms = self.clock.monotonic_ms()
        self.instruments.outcomes.add(1, {"outcome": outcome})
        first_ms = None
        if request.first_data_ms:
            first_ms = request.first_data_ms - facts.arrived_ms
            self.instruments.first_token_ms.record(first_ms)
        is_whole = outcome in (outcomes.COMPLETED, outcomes.CALLER_LEFT)
        events.log(
            events.REQUEST_ANSWERED if is_whole else events.ANSWER_FAILED,
            request=facts.id,
            route=facts.route.name,
            outcome=outcome,
            reason=reason,
            first_ms=first_ms,
            took_ms=now_ms - facts.arrived_ms,
            target_ms=facts.route.target_ms,
            attempts=request.attempt_count,
            upstream=request.last_upstream_id,
            may_repeat=facts.may_repeat,
        )
