"""The state of one request inside the entry that accepted it."""

import hashlib
import typing

from godwitloft import charts
from godwitloft.entry import agents
from godwitloft.entry import answers
from godwitloft.entry import call as calls

DIGEST_BYTES = 16
Claim = typing.Callable[
    [
        str,
        agents.AgentView,
        typing.Callable[[answers.Refused | None], bool],
    ],
    None,
]


class Request:
    """A request between acceptance and its one outcome.

    :param request_id: unique over all entries and their incarnations
    :param call: what the caller asked
    :param answer: takes what the caller is to be told
    :param position: place in the request chart
    :param now_ms: when it was accepted
    :param claim: ``(run id, agent, claimed)``: asked before each dispatch;
        calls ``claimed`` with None to allow it, else with the refusal
    """

    def __init__(
        self,
        request_id: str,
        call: calls.Call,
        answer: typing.Callable[[answers.Answer], None],
        position: charts.Position,
        now_ms: int,
        claim: Claim | None = None,
    ) -> None:
        self.request_id = request_id
        self.call = call
        self.answer = answer
        self.position = position
        self.accepted_ms = now_ms
        self.deadline_ms = now_ms + call.timeout_ms
        self.claim = claim
        self.claiming = False
        self.attempt = 1
        self.run_id = request_id
        self.bid_at: dict[str, None] = {}
        self.skipped: dict[str, str] = {}
        self.failed_at: set[str] = set()
        self.urgent = False
        self.isolate = False
        self.parked = False
        self.paused_by_caller = False
        self.tried = 1
        self.reset_run()

    def reset_run(self) -> None:
        """Forgets everything about an earlier attempt to run it."""
        self.agent = ""
        self.agent_incarnation = ""
        self.link_lost_ms: int | None = None
        self.next_sequence = 0
        self.acked_sequence = 0
        self.digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        self.head: answers.Head | None = None
        self.buffer: list[bytes] = []
        self.held_tail = b""
        self.head_told = False
        self.last_chunk_ms = 0

    def next_attempt(self) -> None:
        """Gives the request a new run id.

        Frames of the old run can't be taken for the new one's then.
        """
        self.attempt += 1
        self.run_id = f"{self.request_id}.{self.attempt}"
        self.skipped.clear()
        self.urgent = False
        self.parked = False
        self.claiming = False
        self.reset_run()

    @property
    def waiting(self) -> bool:
        """Whether it has not been given to any agent."""
        return self.position.state in ("waiting", "offered")
