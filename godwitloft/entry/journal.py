"""Keeps the last steps of recent requests, for operators who ask."""

import collections
import typing

from godwitloft import clock as clocks
from godwitloft import trace
from godwitloft.operators import operator_port

MAX_REQUESTS = 5_000
MAX_STEPS = 50
DETAIL_FIELDS = ("agent", "reason", "outcome", "run_id")


class Entry:
    """What is kept of one request.

    :param accepted_ms: when it was accepted
    :param fields: of the acceptance
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


class Journal(trace.Recorder):
    """A recorder that also remembers; the oldest requests are forgotten.

    :param clock: tells the time
    :param inner: what writes the trace
    """

    def __init__(self, clock: clocks.Clock, inner: trace.Recorder) -> None:
        self.clock = clock
        self.inner = inner
        self.entries: collections.OrderedDict[str, Entry] = (
            collections.OrderedDict()
        )

    def record(
        self,
        kind: trace.Kind,
        request_id: str = "",
        **fields: typing.Any,
    ) -> None:
        """Remembers a step of a request and writes it to the trace.

        :param kind: what happened
        :param request_id: which request, or empty
        :param fields: values that JSON can hold
        """
        self.inner.record(kind, request_id, **fields)
        if not request_id:
            return
        now_ms = self.clock.monotonic_ms()
        if kind is trace.Kind.ACCEPTED:
            self.entries[request_id] = Entry(now_ms, fields)
            if len(self.entries) > MAX_REQUESTS:
                self.entries.popitem(last=False)
        entry = self.entries.get(request_id)
        if entry is None or len(entry.steps) >= MAX_STEPS:
            return
        details = [
            str(fields[name]) for name in DETAIL_FIELDS if fields.get(name)
        ]
        entry.steps.append(
            operator_port.Step(
                now_ms - entry.accepted_ms, kind.value, " ".join(details)
            )
        )
        entry.state = str(fields.get("outcome") or kind.value)

    def explain(self, request_id: str) -> operator_port.Explanation | None:
        """Tells what became of a request.

        :param request_id: as its caller was told
        :return: its steps, or None when it isn't remembered here
        """
        entry = self.entries.get(request_id)
        if entry is None:
            return None
        return operator_port.Explanation(
            request_id=request_id,
            state=entry.state,
            service=entry.service,
            tier=entry.tier,
            team=entry.team,
            steps=tuple(entry.steps),
        )
