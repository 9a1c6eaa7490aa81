"""Knows whether the rows of orders and roll-outs that are held are current.

Only a few gateways read the rows; the others learn from a digest of theirs.
"""

import collections
import typing
import zlib

from godwitloft.rollouts import types

# Digests that peers may still tell, as they read later.
MAX_DIGESTS = 16


class HeldRows:
    """The rows that were last read, by a digest."""

    def __init__(self) -> None:
        # When they were last known to be current, None if none was ever read.
        self.current_ms: int | None = None
        # Whether a peer knows of newer ones.
        self.outdated = False
        self.digest: int | None = None
        self.known: collections.deque[int] = collections.deque(
            maxlen=MAX_DIGESTS
        )

    def replace(
        self,
        orders: typing.Mapping[str, types.Order],
        rollouts: typing.Mapping[str, types.Saved],
        asked_ms: int,
    ) -> None:
        """Records that all rows were read.

        :param orders: by service
        :param rollouts: by service
        :param asked_ms: when the reading began
        """
        if self.current_ms is None or asked_ms > self.current_ms:
            self.current_ms = asked_ms
        self.outdated = False
        text = repr((sorted(orders.items()), sorted(rollouts.items())))
        self.digest = zlib.crc32(text.encode())
        self.note(self.digest)

    def confirm(self, digest: int, at_ms: int) -> None:
        """Learns from a peer which rows were current.

        A poll tells of a change as soon as it comes, and counts from its own
        start, which may be long before. So a digest that was never seen is
        newer, whatever its time.

        :param digest: digest of the rows that the peer holds
        :param at_ms: a time at which those were current
        """
        is_new = digest not in self.known
        self.note(digest)
        if is_new:
            self.outdated = True
            return
        if self.current_ms is not None and at_ms <= self.current_ms:
            return
        if digest == self.digest:
            self.current_ms = at_ms
        else:
            self.outdated = True

    def note(self, digest: int) -> None:
        """Records a digest.

        :param digest: of rows that are or were held by a gateway
        """
        if digest not in self.known:
            self.known.append(digest)
