"""Logs and counts how requests end."""

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft import metrics
from godwitloft.gateway import front
from godwitloft.gateway import knowledge as knowledges
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
        knowledge: knowledges.Knowledge,
    ) -> None:
        self.clock = clock
        self.instruments = instruments
        self.knowledge = knowledge

    def unreadable(self, refusal: front.Refusal) -> None:
        """Counts a request that could not be read.

        :param refusal: what the caller was told
        """
        self.instruments.refusals.add(1, {"reason": refusal.reason})

    def refused(
        self,
        request_id: str,
        refusal: refusals.Refusal,
        waited_ms: int,
        route: str = "",
    ) -> None:
        """Writes and counts a refusal.

        :param request_id: of the request
        :param refusal: why
        :param waited_ms: how long it waited
        :param route: name of its route, if known
        """
        router = self.knowledge.router
        self.instruments.refusals.add(1, {"reason": refusal.reason})
        events.log(
            events.REQUEST_REFUSED,
            request=request_id,
            route=route,
            status=refusal.status,
            reason=refusal.reason,
            waited_ms=waited_ms,
            retry_after_ms=refusal.retry_after_ms,
            version=router.configuration.version if router else None,
            **refusal.inputs,
        )

    def ended(
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
        if request.first_data_ms:
            self.instruments.first_token_ms.record(
                request.first_data_ms - facts.arrived_ms
            )
        events.log(
            events.REQUEST_ANSWERED,
            request=facts.id,
            route=facts.route.name,
            outcome=outcome,
            reason=reason,
            first_ms=request.first_data_ms - facts.arrived_ms,
            took_ms=now_ms - facts.arrived_ms,
            target_ms=facts.route.target_ms,
            attempts=request.arrivals,
        )
