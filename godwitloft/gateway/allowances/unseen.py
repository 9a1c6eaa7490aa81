"""Measures how late announcements are read, and what that can hide.

What a gateway commits of an allowance is unknown to a peer until the peer has
read the announcement. A busy gateway, or one on a busy machine, reads late.
"""

import collections
import typing

# A commitment is certainly announced and read after this time, or the gateway
# isn't heard any more.
MAX_LATE_MS = 2_000
# How long a measured round trip counts.
ROUND_TRIP_KEPT_MS = 2_000
# Resolution of the time of commitments.
STEP_MS = 10


class RoundTrips:
    """How long announcements take to peers and back, without waiting there.

    An announcement asks one peer, which answers in its next one to this
    gateway. Times are on the clock of the gateway that asks.

    :param start_ms: the current time
    """

    def __init__(self, start_ms: int) -> None:
        self.start_ms = start_ms
        self.next_peer = 0
        # Questions to be answered and when they were received, by gateway.
        self.held: dict[str, tuple[int, int]] = {}
        # When a round trip ended and how long it took, the longest first, each
        # longer than all that ended later.
        self.longest: collections.deque[tuple[int, int]] = collections.deque()

    def peer_to_ask(self, names: typing.Collection[str]) -> str | None:
        """Returns which peer is asked next, each in turn.

        :param names: of the peers
        :return: one of them, None without peers
        """
        if not names:
            return None
        number = self.next_peer % len(names)
        self.next_peer = number + 1
        return next(
            name for place, name in enumerate(names) if place == number
        )

    def hold(self, name: str, asked_ms: int, now_ms: int) -> None:
        """Keeps a peer's question until it can be answered.

        :param name: name of the peer
        :param asked_ms: as the peer told it
        :param now_ms: the current time
        """
        self.held[name] = (asked_ms, now_ms)

    def answer(self, name: str, now_ms: int) -> int | None:
        """Returns the answer to a peer's question.

        :param name: name of the peer
        :param now_ms: the current time
        :return: when it asked plus how long the question was held, None if it
            hasn't asked
        """
        if name not in self.held:
            return None
        asked_ms, received_ms = self.held.pop(name)
        return asked_ms + now_ms - received_ms

    def learn(self, answer_ms: int, now_ms: int) -> None:
        """Measures a round trip.

        :param answer_ms: as :meth:`answer` returned it at the peer
        :param now_ms: the current time
        """
        if not self.start_ms <= answer_ms <= now_ms:
            return
        took_ms = min(now_ms - answer_ms, MAX_LATE_MS)
        while self.longest and self.longest[-1][1] <= took_ms:
            self.longest.pop()
        self.longest.append((now_ms, took_ms))

    def late_ms(self, now_ms: int) -> int:
        """Returns how long what peers commit may be unknown here.

        :param now_ms: the current time
        :return: the longest of the latest round trips, 0 if none is known
        """
        since_ms = now_ms - ROUND_TRIP_KEPT_MS
        while len(self.longest) > 1 and self.longest[0][0] < since_ms:
            self.longest.popleft()
        return self.longest[0][1] if self.longest else 0


class Commitments:
    """What a gateway has lately committed of one team's allowance."""

    def __init__(self) -> None:
        # Start of each step and tokens in it.
        self.steps: collections.deque[tuple[int, float]] = collections.deque()

    def add(self, tokens: float, now_ms: int) -> None:
        """Adds what was used or reserved.

        :param tokens: number of tokens; none are added below 0
        :param now_ms: the current time
        """
        if tokens <= 0:
            return
        start_ms = now_ms // STEP_MS * STEP_MS
        if self.steps and self.steps[-1][0] == start_ms:
            tokens += self.steps.pop()[1]
        self.steps.append((start_ms, tokens))
        while self.steps[0][0] < now_ms - MAX_LATE_MS:
            self.steps.popleft()

    def since(self, since_ms: int) -> float:
        """Returns what was committed since a time.

        :param since_ms: the time
        :return: tokens
        """
        total = 0.0
        for start_ms, tokens in reversed(self.steps):
            if start_ms + STEP_MS <= since_ms:
                break
            total += tokens
        return total
