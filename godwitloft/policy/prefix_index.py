"""Tracks which prompt prefixes an upstream's cache probably holds.

The index is updated at once on each dispatch, and corrected by the engine's
cache events, which arrive late and may be lost.
"""

import collections
import typing

MAX_KEYS = 50_000
EVENT_LAG_MS = 2000
LENGTH_GAIN = 0.2


class PrefixIndex:
    """Keys of the prompt blocks in one upstream's cache.

    Its size is bounded: the least recently used key is evicted, as in the
    engine's own cache.

    :param block_tokens: prompt tokens per block
    :param max_keys: maximum number of keys
    """

    def __init__(self, block_tokens: int, max_keys: int = MAX_KEYS) -> None:
        self.block_tokens = block_tokens
        self.max_keys = max_keys
        self.last_event_number = 0
        self.mean_removed_keys = 1.0
        self.used_ms: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    def record_dispatch(
        self, prefix_keys: typing.Sequence[int], now_ms: int
    ) -> None:
        """Records that a prompt was sent to the upstream.

        Of its blocks, the last counts as least recently used, since a cache
        evicts a block before those that precede it in the prompt.

        :param prefix_keys: keys of its blocks, first block first
        :param now_ms: the time
        """
        for key in reversed(prefix_keys):
            self.used_ms[key] = now_ms
            self.used_ms.move_to_end(key)
        while len(self.used_ms) > self.max_keys:
            self.used_ms.popitem(last=False)

    def apply_stored(
        self, event_number: int, keys: typing.Sequence[int], now_ms: int
    ) -> None:
        """Applies a cache event: blocks were stored.

        :param event_number: sequence number assigned by the engine
        :param keys: the blocks, first block first
        :param now_ms: the time
        """
        if self._accept_event(event_number):
            self.record_dispatch(keys, now_ms)

    def apply_removed(
        self, event_number: int, keys: typing.Collection[int], now_ms: int
    ) -> None:
        """Applies a cache event: blocks were removed.

        Since events arrive late, a block used within the last
        :data:`EVENT_LAG_MS` is kept.

        :param event_number: sequence number assigned by the engine
        :param keys: the blocks
        :param now_ms: the time
        """
        if not self._accept_event(event_number):
            return
        difference = len(keys) - self.mean_removed_keys
        self.mean_removed_keys += LENGTH_GAIN * difference
        for key in keys:
            used_ms = self.used_ms.get(key)
            if used_ms is not None and now_ms - used_ms > EVENT_LAG_MS:
                del self.used_ms[key]

    def apply_cleared(self, event_number: int) -> None:
        """Applies a cache event: the engine's cache was emptied.

        :param event_number: sequence number assigned by the engine
        """
        if self._accept_event(event_number):
            self.used_ms.clear()

    def reset(self) -> None:
        """Clears the index after a restart of the upstream."""
        self.used_ms.clear()
        self.last_event_number = 0

    def cached_tokens(self, prefix_keys: typing.Sequence[int]) -> int:
        """Returns how much of a prompt is probably cached.

        :param prefix_keys: keys of its blocks, first block first
        :return: prompt tokens before the first block that isn't cached
        """
        blocks = 0
        for key in prefix_keys:
            if key not in self.used_ms:
                break
            blocks += 1
        return blocks * self.block_tokens

    def _accept_event(self, event_number: int) -> bool:
        """Records an event's number and returns whether the event is new.

        Compensates for lost events before it: assumes that half of them
        were removals of the mean size, which removed the least recently
        used keys.
        """
        if event_number <= self.last_event_number:
            return False
        lost = event_number - self.last_event_number - 1
        if self.last_event_number:
            self._evict_oldest(int(lost * self.mean_removed_keys / 2))
        self.last_event_number = event_number
        return True

    def _evict_oldest(self, count: int) -> None:
        for _ in range(min(count, len(self.used_ms))):
            self.used_ms.popitem(last=False)
