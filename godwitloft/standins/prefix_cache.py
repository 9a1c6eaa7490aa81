"""The prefix cache of a stand-in engine and its events."""

import collections
import dataclasses
import itertools
import random
import typing

from godwitloft.policy import prefix

MAX_EVENTS_KEPT = 20_000

STORED = "stored"
REMOVED = "removed"
CLEARED = "cleared"


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """One change of the cache.

    :param number: position in the order of the changes, from 1; a gap in the
        published numbers means a lost event
    :param at_ms: time of the change
    :param kind: ``stored``, ``removed`` or ``cleared``
    :param keys: keys of the blocks, as returned by ``prefix_keys``
    """

    number: int
    at_ms: float
    kind: str
    keys: tuple[int, ...]


class PrefixCache:
    """An LRU cache of prompt blocks that need no prefill.

    The least recently used block is evicted first; of one prompt, later
    blocks are evicted before the earlier ones that they depend on.

    :param max_tokens: capacity in tokens
    :param event_lag_ms: delay until events are published
    :param event_loss: fraction of events that are never published
    :param seed: random seed that selects the lost events
    """

    def __init__(
        self,
        max_tokens: int,
        event_lag_ms: float,
        event_loss: float,
        seed: int,
    ) -> None:
        self.max_blocks = max_tokens // prefix.BLOCK_WORDS
        self.event_lag_ms = event_lag_ms
        self.event_loss = event_loss
        self.random = random.Random(seed)
        self.blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.events: collections.deque[CacheEvent] = collections.deque(
            maxlen=MAX_EVENTS_KEPT
        )
        self.last_number = 0

    def match(self, keys: typing.Sequence[int]) -> int:
        """Counts the leading cached blocks and marks them as used.

        :param keys: keys of a prompt's blocks
        :return: number of blocks that need no prefill
        """
        count = 0
        while count < len(keys) and keys[count] in self.blocks:
            count += 1
        for key in reversed(keys[:count]):
            self.blocks.move_to_end(key)
        return count

    def store(self, keys: typing.Sequence[int], now_ms: float) -> None:
        """Stores blocks and evicts others when the cache is full.

        :param keys: keys of the blocks of one prompt, in order
        :param now_ms: time of the events
        """
        new = tuple(key for key in keys if key not in self.blocks)
        for key in reversed(keys):
            self.blocks[key] = None
            self.blocks.move_to_end(key)
        if new:
            self._publish(STORED, new, now_ms)
        removed = []
        while len(self.blocks) > self.max_blocks:
            removed.append(self.blocks.popitem(last=False)[0])
        if removed:
            self._publish(REMOVED, tuple(removed), now_ms)

    def clear(self, now_ms: float) -> None:
        """Removes every block.

        :param now_ms: time of the event
        """
        self.blocks.clear()
        self._publish(CLEARED, (), now_ms)

    def events_after(self, number: int, now_ms: float) -> list[CacheEvent]:
        """Returns the published events after a number.

        :param number: number of the last event that the reader has seen
        :param now_ms: current time
        :return: events older than the publishing delay, oldest first
        """
        newest_ms = now_ms - self.event_lag_ms
        newer = itertools.takewhile(
            lambda event: event.number > number, reversed(self.events)
        )
        return [event for event in newer if event.at_ms <= newest_ms][::-1]

    def _publish(
        self, kind: str, keys: tuple[int, ...], now_ms: float
    ) -> None:
        self.last_number += 1
        if self.random.random() >= self.event_loss:
            self.events.append(
                CacheEvent(self.last_number, now_ms, kind, keys)
            )
