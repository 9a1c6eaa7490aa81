"""State of a run at the agent that executes it."""

import collections
import hashlib

from godwitloft import charts
from godwitloft.links.generated.messages import ttypes
from godwitloft.policy import types

DIGEST_BYTES = 16


class Run:
    """A dispatched request and the unacknowledged part of its response.

    :param dispatch: message of the entry
    :param entry: name of the entry's instance
    :param entry_incarnation: incarnation of the entry's process
    :param offer: the offer that was pulled
    :param position: current state in the run chart
    :param now_ms: when the dispatch arrived
    """

    def __init__(
        self,
        dispatch: ttypes.Dispatch,
        entry: str,
        entry_incarnation: str,
        offer: types.Offer,
        position: charts.Position,
        now_ms: int,
    ) -> None:
        self.dispatch = dispatch
        self.run_id: str = dispatch.request_id
        self.entry = entry
        self.entry_incarnation = entry_incarnation
        self.offer = offer
        self.position = position
        self.started_ms = now_ms
        self.deadline_ms = now_ms + dispatch.deadline_in_ms
        self.first_data_ms: int | None = None
        self.status = 0
        self.content_type = ""
        self.pending: list[bytes] = []
        self.pending_tokens = 0
        self.tokens = 0
        self.digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        self.next_sequence = 0
        self.retained: collections.deque[ttypes.Chunk] = collections.deque()
        self.retained_bytes = 0
        self.paused = False
        self.cancelled = False
        self.suspended = False
        self.ended: ttypes.Ended | None = None
        self.ended_ms = 0
        # When the link to the entry was lost; None while it is linked.
        self.orphaned_ms: int | None = None

    def take_pending(self) -> ttypes.Chunk | None:
        """Combines the data received since the last call into a chunk.

        The chunk is also retained until it is acknowledged.

        :return: the chunk, or None if no data arrived
        """
        if not self.pending:
            return None
        data = b"".join(self.pending)
        first = self.next_sequence == 0
        chunk = ttypes.Chunk(
            request_id=self.run_id,
            sequence=self.next_sequence,
            data=data,
            tokens=self.pending_tokens,
            status=self.status if first else None,
            content_type=self.content_type if first else None,
        )
        self.pending.clear()
        self.pending_tokens = 0
        self.next_sequence += 1
        self.digest.update(data)
        self.retained.append(chunk)
        self.retained_bytes += len(data)
        return chunk

    def acknowledge(self, next_sequence: int) -> None:
        """Releases the chunks that the entry has received.

        :param next_sequence: sequence number of the first chunk to keep
        """
        while self.retained and self.retained[0].sequence < next_sequence:
            self.retained_bytes -= len(self.retained.popleft().data)
