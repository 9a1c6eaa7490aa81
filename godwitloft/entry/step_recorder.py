"""Keeps the steps of recent requests, so that operators can look them up."""

import collections
import typing

from godwitloft import clock as clocks
from godwitloft import trace
from godwitloft.operators import operator_port

MAX_REQUESTS = 5_000
MAX_STEPS = 50
DETAIL_FIELDS = ("agent", "reason", "outcome", "run_id")


class RequestSteps:
    """The recorded steps of one request.

    :param accepted_ms: when it was accepted
    :param fields: fields of its first trace record
    """

    def __init__(
        self, accepted_ms: int, fields: typing.Mapping[str, typing.Any]
    ) -> None:
        self.accepted_ms = accepted_ms
        self.service = str(fields.get("service", ""))
        self.tier = str(fields.get("tier", ""))
        self.team = str(fields.get("team", ""))
        self.state = "waiting"
        self.steps: list[operator_port.Step] = []


class StepRecorder(trace.Recorder):
    """A trace recorder that also keeps the steps of recent requests.

    The oldest request is dropped when there are too many.

    :param clock: the time source
    :param inner: writes the trace
    """

    def __init__(self, clock: clocks.Clock, inner: trace.Recorder) -> None:
        self.clock = clock
        self.inner = inner
        self.requests: collections.OrderedDict[str, RequestSteps] = (
            collections.OrderedDict()
        )

    def record(
        self,
        kind: trace.Kind,
        request_id: str = "",
        **fields: typing.Any,
    ) -> None:
        """Keeps a step of a request and writes it to the trace.

        :param kind: what happened
        :param request_id: which request, or empty
        :param fields: values that JSON can hold
        """
        self.inner.record(kind, request_id, **fields)
        if not request_id:
            return
        now_ms = self.clock.monotonic_ms()
        if kind is trace.Kind.ACCEPTED:
            self.requests[request_id] = RequestSteps(now_ms, fields)
            if len(self.requests) > MAX_REQUESTS:
                self.requests.popitem(last=False)
        request = self.requests.get(request_id)
        if request is None or len(request.steps) >= MAX_STEPS:
            return
        details = [
            str(fields[name]) for name in DETAIL_FIELDS if fields.get(name)
        ]
        request.steps.append(
            operator_port.Step(
                now_ms - request.accepted_ms, kind.value, " ".join(details)
            )
        )
        request.state = str(fields.get("outcome") or kind.value)

    def explain(self, request_id: str) -> operator_port.Explanation | None:
        """Returns the recorded steps of a request.

        :param request_id: id that its caller received
        :return: its steps, or None when they aren't kept
        """
        request = self.requests.get(request_id)
        if request is None:
            return None
        return operator_port.Explanation(
            request_id=request_id,
            state=request.state,
            service=request.service,
            tier=request.tier,
            team=request.team,
            steps=tuple(request.steps),
        )
