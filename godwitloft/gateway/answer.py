"""Checks an upstream's answer and forwards it to the caller.

A caller gets only the complete answer to its own request, from an upstream
that marks it with its response seal. An invalid answer is withheld if nothing
has been forwarded yet; otherwise the caller's connection is closed.
"""

import dataclasses
import typing

from godwitloft import answer_end
from godwitloft import attempt as attempts
from godwitloft.gateway import checked_attempt
from godwitloft.gateway import model
from godwitloft.gateway import outcomes
from godwitloft.gateway import request as requests
from godwitloft.gateway.callers import dialect as dialects
from godwitloft.gateway.callers import headers as header_lists
from godwitloft.gateway.callers import http_server
from godwitloft.gateway.streams import stream_events
from godwitloft.gateway.streams import unmarked_end

MAX_BUFFERED_BYTES = 256 * 1024
MIN_SERVER_ERROR_STATUS = 500
MISDIRECTED_STATUS = 421
ANSWER_TOO_LONG = "answer_too_long"
EVENT_TOO_LONG = "event_too_long"
EVENT_REPEATED = "event_repeated"
EVENT_MISSING = "event_missing"


@dataclasses.dataclass(frozen=True)
class AttemptOutcome:
    """How an attempt ended.

    :param result: kind of the end
    :param reason: reason for logs and metrics
    :param failed: whether the upstream itself reported a failure
    :param unusable: whether the answer must not be forwarded to the caller
    :param replaced: whether another process answered at the upstream's address
    """

    result: outcomes.Result
    reason: str
    failed: bool = False
    unusable: bool = False
    replaced: bool = False


class Answer:
    """The answer to one attempt.

    :param request: the request
    :param dialect: names of the headers
    """

    def __init__(
        self, request: requests.Request, dialect: dialects.Dialect
    ) -> None:
        self.request = request
        self.dialect = dialect
        # Whether its caller has a part of an earlier attempt's answer.
        self.goes_on = request.exchange.started
        self.status = 0
        self.headers: list[http_server.Header] = []
        self.defect = ""
        self.not_run = False
        self.complete = False
        self.buffered: list[bytes] = []
        self.buffered_bytes = 0
        self.partial_event = b""
        self.discarded_bytes = 0
        # Why no more of the answer may be read, empty if it may.
        self.overflow = ""
        # Id of the event after which the upstream was asked to go on, None
        # once it has, or if it was not.
        self.asked_after = request.last_event
        # Whether an earlier attempt began an event that its caller lacks.
        self.lacks_event = (
            request.answer is not None and request.answer.shows_more()
        )
        # None until the head has been received.
        self.body_end: answer_end.BodyEnd | None = None

    def on_head(self, status: int, headers: list[http_server.Header]) -> None:
        """Checks and stores the head.

        :param status: HTTP status
        :param headers: all headers
        """
        self.status = status
        self.headers = headers
        framing = answer_end.framing(
            self.request.exchange.method, status, headers
        )
        self.body_end = answer_end.BodyEnd(
            framing, self.is_stream and status in answer_end.SUCCESS_STATUSES
        )
        header_values = dict(headers)
        dialect = self.dialect
        self.not_run = (
            dialect.not_run in header_values or status == MISDIRECTED_STATUS
        )
        own_id = self.request.facts.id.encode("latin-1")
        if header_values.get(dialect.request_id, own_id) != own_id:
            self.defect = "answer_of_another_request"
        elif b"content-encoding" in header_values:
            self.defect = "answer_encoded"
        elif status in answer_end.SUCCESS_STATUSES:
            if dialect.seal not in header_values:
                self.defect = "answer_without_seal"
            elif dialect.request_id not in header_values:
                self.defect = "answer_without_id"
        elif self.goes_on and not self.not_run:
            self.defect = f"upstream_status_{status}"

    @property
    def is_stream(self) -> bool:
        """Whether a successful answer is a stream of events."""
        return self.request.facts.route.kind is model.Kind.STREAM

    def is_valid_success(self) -> bool:
        """Returns whether the head is that of a valid successful answer.

        :return: whether the body may be forwarded
        """
        return self.status in answer_end.SUCCESS_STATUSES and not self.defect

    def on_data(self, data: bytes) -> None:
        """Buffers or forwards a part of the body.

        :param data: the received bytes
        """
        if self.body_end is not None:
            self.body_end.feed(data)
        if self.defect or self.not_run:
            self.discard(data)
            return
        if self.is_valid_success() and self.is_stream:
            if self.request.facts.route.resumable:
                self.forward_events(data)
            else:
                self.forward(data)
            return
        self.buffered.append(data)
        self.buffered_bytes += len(data)
        if self.buffered_bytes <= MAX_BUFFERED_BYTES:
            return
        if self.status >= MIN_SERVER_ERROR_STATUS:
            self.buffered.clear()
            self.overflow = ANSWER_TOO_LONG
        else:
            self.flush()

    def discard(self, data: bytes) -> None:
        """Drops a part of a body that is never forwarded.

        :param data: the received bytes
        """
        self.discarded_bytes += len(data)
        if self.discarded_bytes > MAX_BUFFERED_BYTES:
            self.overflow = ANSWER_TOO_LONG

    def forward_events(self, data: bytes) -> None:
        """Forwards complete events and stores the id of the last one.

        :param data: the received bytes of the stream
        """
        self.partial_event += data
        end = answer_end.last_event_end(self.partial_event)
        if not end:
            if len(self.partial_event) > MAX_BUFFERED_BYTES:
                self.lacks_event = self.shows_more()
                self.partial_event = b""
                self.overflow = EVENT_TOO_LONG
            return
        events = self.partial_event[:end]
        self.partial_event = self.partial_event[end:]
        ids = stream_events.event_ids(events)
        if self.asked_after is not None and not (
            stream_events.fits_behind(self.asked_after, events)
            and self.request.first_event not in ids[:1]
        ):
            self.overflow = EVENT_REPEATED
            return
        if ids:
            self.asked_after = None
            if self.request.first_event is None:
                self.request.first_event = ids[0]
            self.request.last_event = ids[-1]
        has_id = stream_events.last_event_has_id(events)
        if has_id is not None:
            self.request.may_go_on = has_id
            self.lacks_event = False
        self.forward(events)

    def shows_more(self) -> bool:
        """Returns whether an event is known to follow what was forwarded.

        :return: whether one has begun in this attempt, or in an earlier one
            and none has been forwarded since
        """
        if self.lacks_event:
            return True
        begun = self.partial_event
        if not begun or begun.startswith(b":") or self.overflow:
            return False
        if self.asked_after is None:
            return True
        ids = stream_events.event_ids(begun)
        return bool(ids) and stream_events.goes_on_after(
            self.asked_after, ids[0]
        )

    def forward(self, data: bytes) -> None:
        """Forwards a part of the body, and the head before the first part.

        :param data: bytes to forward
        """
        exchange = self.request.exchange
        if not exchange.started:
            exchange.start(self.status, header_lists.end_to_end(self.headers))
        exchange.write(data)

    def flush(self) -> None:
        """Forwards the buffered parts."""
        for part in self.buffered:
            self.forward(part)
        self.buffered.clear()

    def classify_end(self, end: attempts.End, reason: str) -> AttemptOutcome:
        """Classifies the end of the attempt.

        :param end: how the connection ended
        :param reason: reason of the connection's end
        :return: outcome of the attempt
        """
        if end is attempts.End.NOT_SENT:
            return AttemptOutcome(
                outcomes.Result.NOT_SENT,
                reason,
                unusable=True,
                replaced=reason == checked_attempt.Found.REPLACED.value,
            )
        if self.not_run and not self.defect:
            return AttemptOutcome(
                outcomes.Result.NOT_RUN,
                f"upstream_refused_{self.status}",
                unusable=True,
                replaced=self.is_from_other_process(),
            )
        if end is attempts.End.BROKEN:
            return AttemptOutcome(
                outcomes.Result.BROKEN, reason, unusable=True
            )
        if self.defect:
            return AttemptOutcome(
                outcomes.Result.FAILED, self.defect, unusable=True
            )
        cut = self.body_end.defect() if self.body_end is not None else ""
        if cut and not (cut == answer_end.STREAM_EMPTY and self.continues):
            return AttemptOutcome(outcomes.Result.BROKEN, cut, unusable=True)
        if self.is_valid_success() and self.lacks_event:
            return AttemptOutcome(
                outcomes.Result.FAILED, EVENT_MISSING, unusable=True
            )
        if self.is_end_unknown():
            unknown = outcomes.Result.END_UNKNOWN
            return AttemptOutcome(unknown, unknown.value, unusable=True)
        if self.status in outcomes.NOT_RUN_STATUSES:
            # Passed on, it would promise that the request has not run.
            return AttemptOutcome(
                outcomes.Result.FAILED,
                f"upstream_status_{self.status}",
                failed=True,
                unusable=True,
            )
        self.complete = True
        if self.status >= MIN_SERVER_ERROR_STATUS:
            return AttemptOutcome(
                outcomes.Result.FAILED,
                f"upstream_status_{self.status}",
                failed=True,
            )
        return AttemptOutcome(outcomes.Result.DELIVER, "")

    @property
    def continues(self) -> bool:
        """Whether the upstream was asked to go on after an event."""
        return self.request.last_event is not None

    def is_end_unknown(self) -> bool:
        """Returns whether a stream has ended without any mark of its end.

        The close of a connection is none: that of an upstream that breaks off
        between two events looks the same. It is known if an earlier attempt
        ended so after the same event, and this one had nothing to add.

        :return: whether more events may be missing
        """
        body_end = self.body_end
        if body_end is None or not body_end.is_stream:
            return False
        if body_end.framing is not answer_end.Framing.CLOSE:
            return False
        is_confirmed = not body_end.received and unmarked_end.is_at_last_event(
            self.request
        )
        return not is_confirmed

    def may_mark_end(self) -> bool:
        """Returns whether a later attempt can confirm the end of this one.

        One that goes on and brings no event tells nothing by itself: an
        upstream that fails before its first event looks the same. Of a stream
        that its caller takes up, how the first part ended isn't known.

        :return: whether a stream without a mark of its end may have ended here
        """
        has_events = self.asked_after is None
        return has_events or not self.goes_on

    @property
    def unforwarded_bytes(self) -> int:
        """Bytes that came and were not forwarded, as more was awaited."""
        return len(self.partial_event) + sum(map(len, self.buffered))

    def extent(self) -> dict[str, typing.Any]:
        """Returns what is known about the end of the answer, for logs.

        :return: log fields; none if no head was received
        """
        body_end = self.body_end
        if body_end is None:
            return {}
        fields: dict[str, typing.Any] = {
            "framing": body_end.framing.value,
            "body_bytes": body_end.received,
        }
        if body_end.is_stream:
            fields["inside_event"] = body_end.inside_event
        return fields

    def is_from_other_process(self) -> bool:
        """Returns whether a process with another identity has answered.

        :return: whether the address now belongs to another upstream
        """
        placed = self.request.last_upstream_id
        answering_id = dict(self.headers).get(self.dialect.upstream_id)
        if self.status != MISDIRECTED_STATUS or answering_id is None:
            return False
        return answering_id != placed.encode()

    def deliver(self) -> None:
        """Forwards the rest of a complete answer and ends it."""
        exchange = self.request.exchange
        if exchange.started:
            self.flush()
            exchange.finish()
            return
        exchange.respond(
            self.status,
            header_lists.end_to_end(self.headers),
            b"".join(self.buffered),
        )
