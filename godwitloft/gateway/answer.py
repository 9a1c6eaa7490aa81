"""What comes back from an upstream, and what of it may be passed on.

A caller gets only the answer to its own request, whole, from an upstream
that vouches for it. Whatever doesn't fit is kept back while nothing has been
passed on, and breaks the caller's connection afterwards.
"""

import dataclasses

from godwitloft.gateway import attempt as attempts
from godwitloft.gateway import dialect as dialects
from godwitloft.gateway import front
from godwitloft.gateway import headers as header_lists
from godwitloft.gateway import model
from godwitloft.gateway import outcomes
from godwitloft.gateway import request as requests

MAX_HELD_BYTES = 256 * 1024
EVENT_END = b"\n\n"
SUCCESSES = range(200, 300)
SERVER_ERROR = 500
MISDIRECTED = 421


@dataclasses.dataclass(frozen=True)
class Verdict:
    """How an attempt ended.

    :param result: what it has led to
    :param reason: name for logs and counters
    :param failed: whether the upstream itself reports a failure
    :param spoiled: whether what came must not be shown to the caller
    :param replaced: whether another process answers for the upstream
    """

    result: outcomes.Result
    reason: str
    failed: bool = False
    spoiled: bool = False
    replaced: bool = False


class Answer:
    """The answer of one attempt.

    :param request: what it should answer
    :param dialect: names of the headers
    """

    def __init__(
        self, request: requests.Request, dialect: dialects.Dialect
    ) -> None:
        self.request = request
        self.dialect = dialect
        self.status = 0
        self.headers: list[front.Header] = []
        self.problem = ""
        self.not_run = False
        self.whole = False
        self.held: list[bytes] = []
        self.held_bytes = 0
        self.tail = b""

    def take_head(self, status: int, headers: list[front.Header]) -> None:
        """Checks and keeps the head.

        :param status: HTTP status
        :param headers: all headers
        """
        self.status = status
        self.headers = headers
        found = dict(headers)
        dialect = self.dialect
        self.not_run = dialect.not_run in found or status == MISDIRECTED
        own_id = self.request.facts.id.encode("latin-1")
        if found.get(dialect.request_id, own_id) != own_id:
            self.problem = "answer_of_another_request"
        elif b"content-encoding" in found:
            self.problem = "answer_encoded"
        elif status in SUCCESSES:
            if dialect.seal not in found:
                self.problem = "answer_without_seal"
            elif dialect.request_id not in found:
                self.problem = "answer_without_id"

    def is_sound(self) -> bool:
        """Tells whether the head is that of a success.

        :return: whether its body may be passed on
        """
        return self.status in SUCCESSES and not self.problem

    def take_data(self, data: bytes) -> None:
        """Keeps a part of the body or passes it on.

        :param data: the part
        """
        if self.problem:
            return
        route = self.request.facts.route
        if self.is_sound() and route.kind is model.Kind.STREAM:
            if route.resumable:
                self.pass_on_events(data)
            else:
                self.pass_on(data)
            return
        self.held.append(data)
        self.held_bytes += len(data)
        if self.held_bytes > MAX_HELD_BYTES and self.is_sound():
            self.flush()

    def pass_on_events(self, data: bytes) -> None:
        """Passes whole events on and remembers the last one's id.

        :param data: a part of the stream
        """
        self.tail += data
        end = self.tail.rfind(EVENT_END)
        if end < 0:
            return
        events = self.tail[: end + len(EVENT_END)]
        self.tail = self.tail[end + len(EVENT_END) :]
        last = last_event_id(events)
        if last is not None:
            self.request.last_event = last
        self.pass_on(events)

    def pass_on(self, data: bytes) -> None:
        """Passes a part on, after the head if it is the first.

        :param data: the part
        """
        exchange = self.request.exchange
        if not exchange.started:
            exchange.start(self.status, header_lists.end_to_end(self.headers))
        exchange.write(data)

    def flush(self) -> None:
        """Passes on what was held."""
        for part in self.held:
            self.pass_on(part)
        self.held.clear()

    def judge(self, end: attempts.End, reason: str) -> Verdict:
        """Tells what the end of the attempt means.

        :param end: how it ended
        :param reason: why
        :return: what it has led to
        """
        if end is attempts.End.NOT_SENT:
            return Verdict(outcomes.Result.NOT_SENT, reason, spoiled=True)
        if self.not_run and not self.problem:
            return Verdict(
                outcomes.Result.NOT_RUN,
                f"upstream_refused_{self.status}",
                spoiled=True,
                replaced=self.is_of_another(),
            )
        if end is attempts.End.BROKEN:
            return Verdict(outcomes.Result.BROKEN, reason, spoiled=True)
        if self.problem:
            return Verdict(outcomes.Result.FAILED, self.problem, spoiled=True)
        self.whole = True
        if self.status >= SERVER_ERROR:
            return Verdict(
                outcomes.Result.FAILED,
                f"upstream_status_{self.status}",
                failed=True,
            )
        if self.tail:
            return Verdict(outcomes.Result.BROKEN, "event_cut", spoiled=True)
        return Verdict(outcomes.Result.DELIVER, "")

    def is_of_another(self) -> bool:
        """Tells whether a process with another identity has answered.

        :return: whether the address belongs to another upstream by now
        """
        placed = self.request.sent_to
        found = dict(self.headers).get(self.dialect.upstream_id)
        if self.status != MISDIRECTED or found is None:
            return False
        return found != placed.encode()

    def deliver(self) -> None:
        """Passes on the rest of a whole answer and ends it."""
        exchange = self.request.exchange
        if exchange.started:
            self.flush()
            exchange.finish()
            return
        exchange.respond(
            self.status,
            header_lists.end_to_end(self.headers),
            b"".join(self.held),
        )


def last_event_id(events: bytes) -> bytes | None:
    """Returns the id of the last event that has one.

    :param events: whole events
    :return: the id, or None
    """
    start = events.rfind(b"\nid:")
    if start >= 0:
        start += len(b"\nid:")
    elif events.startswith(b"id:"):
        start = len(b"id:")
    else:
        return None
    return events[start : events.index(b"\n", start)].strip()
