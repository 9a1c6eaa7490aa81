"""The state of a request in the entry that accepted it."""

import hashlib
import http
import typing

from godwitloft import charts
from godwitloft.entry import agents
from godwitloft.entry import answers
from godwitloft.entry import call as calls
from godwitloft.links.generated.messages import ttypes

DIGEST_BYTES = 16
STREAM_END_MARKER = b"data: [DONE]\n\n"
StartClaim = typing.Callable[
    [
        str,
        agents.AgentView,
        typing.Callable[[answers.Refused | None], bool],
    ],
    None,
]


class Request:
    """A request from its acceptance to its outcome.

    :param request_id: unique over all entries and their incarnations
    :param call: what the caller asked
    :param answer: called with each part of the answer
    :param position: its state in the chart ``request``
    :param now_ms: when it was accepted
    :param start_claim: called with ``(run id, agent, on_claimed)`` before each
        dispatch; calls ``on_claimed`` with None to allow it, else with the
        refusal
    """

    def __init__(
        self,
        request_id: str,
        call: calls.Call,
        answer: typing.Callable[[answers.Answer], None],
        position: charts.Position,
        now_ms: int,
        start_claim: StartClaim | None = None,
    ) -> None:
        self.request_id = request_id
        self.call = call
        self.answer = answer
        self.position = position
        self.accepted_ms = now_ms
        self.deadline_ms = now_ms + call.timeout_ms
        self.start_claim = start_claim
        self.claim_pending = False
        # Part of the run id; each requeue increments it.
        self.run_number = 1
        self.run_id = request_id
        self.bid_agents: dict[str, None] = {}
        self.skip_reasons: dict[str, str] = {}
        self.failed_agents: set[str] = set()
        self.urgent = False
        self.isolate = False
        self.parked = False
        self.paused_by_caller = False
        # Counts only runs that may have reached an upstream, among them the
        # current one; starts that provably failed are not counted.
        self.attempts = 1
        self.reset_run()

    def reset_run(self) -> None:
        """Clears the state of the previous run."""
        self.agent = ""
        self.agent_incarnation = ""
        self.link_lost_ms: int | None = None
        self.next_sequence = 0
        self.acked_sequence = 0
        self.digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        self.head: answers.Head | None = None
        self.buffer: list[bytes] = []
        self.pending_tail = b""
        self.head_sent = False

    def next_run(self) -> None:
        """Prepares the request for another run, under a new run id.

        Late messages of the old run carry the old id and are dropped.
        """
        self.run_number += 1
        self.run_id = f"{self.request_id}.{self.run_number}"
        self.skip_reasons.clear()
        self.urgent = False
        self.parked = False
        self.claim_pending = False
        self.reset_run()

    def add_chunk(self, chunk: ttypes.Chunk) -> None:
        """Adds the next part of the answer.

        It is sent to the caller at once if the answer is streamed, else
        buffered.

        :param chunk: the part that follows all parts added so far
        """
        self.next_sequence += 1
        self.digest.update(chunk.data)
        if self.head is None:
            self.head = answers.Head(
                chunk.status or int(http.HTTPStatus.OK),
                chunk.content_type or "",
            )
        if self.call.stream:
            self.send_part(self.head, chunk.data)
        else:
            self.buffer.append(chunk.data)

    def send_part(self, head: answers.Head, data: bytes) -> None:
        """Streams a part to the caller, except the end marker.

        The end marker, or as much of it as has arrived, is held back until
        the whole answer is verified, so that a caller never takes a damaged
        answer for complete.

        :param head: head of the answer
        :param data: the part
        """
        if not self.head_sent:
            self.head_sent = True
            self.answer(head)
        data = self.pending_tail + data
        send_count = len(data) - end_marker_length(data)
        self.pending_tail = data[send_count:]
        if send_count:
            self.answer(answers.Data(data[:send_count]))

    def is_complete(self, ended: ttypes.Ended) -> bool:
        """Returns whether the received answer is complete and unchanged.

        :param ended: the end of its run, with part count and digest
        :return: whether count and digest match
        """
        same_count = ended.count == self.next_sequence
        return same_count and ended.digest == self.digest.hexdigest()

    def send_rest(self, ended: ttypes.Ended) -> None:
        """Sends the rest of a complete answer to the caller.

        :param ended: the end of its run
        """
        if not self.head_sent:
            self.head_sent = True
            self.answer(
                self.head
                or answers.Head(ended.status, ended.content_type or "")
            )
        rest = b"".join(self.buffer) + self.pending_tail
        if rest:
            self.answer(answers.Data(rest))

    @property
    def waiting(self) -> bool:
        """Whether it waits to be dispatched, with or without bids."""
        return self.position.state in ("waiting", "offered")


def end_marker_length(data: bytes) -> int:
    """Returns how much of a stream's end marker the end of the data holds.

    :param data: part of a stream of events
    :return: length in bytes of the marker or its beginning, 0 if none
    """
    for length in range(len(STREAM_END_MARKER), 0, -1):
        if data.endswith(STREAM_END_MARKER[:length]):
            return length
    return 0
