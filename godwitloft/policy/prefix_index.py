"""Remembers which prompt prefixes an upstream's cache probably holds.

An agent learns them from its own dispatches, at once, and corrects them
by the engine's cache events, which come late and with gaps.
"""

import collections
import typing

MAX_KEYS = 50_000
EVENT_LAG_MS = 2000
LENGTH_GAIN = 0.2


class PrefixIndex:
    """Keys of the prompt blocks in one upstream's cache.

    Bounded: the key not used for the longest time is forgotten, as in the
    engine's own cache.

    :param block_tokens: prompt tokens that a key stands for
    :param max_keys: bound on the keys kept
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
        """Notes that a prompt was given to the upstream.

        Its last block counts as used longest ago, since a cache drops it
        before those it builds on.

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

        :param event_number: the event's number at the engine
        :param keys: the blocks, first block first
        :param now_ms: the time
        """
        if self._accept_event(event_number):
            self.record_dispatch(keys, now_ms)

    def apply_removed(
        self, event_number: int, keys: typing.Collection[int], now_ms: int
    ) -> None:
        """Applies a cache event: blocks were removed.

        Events are late: a block that was dispatched since is kept.

        :param event_number: the event's number at the engine
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
        """Forgets everything: the engine's cache was emptied.

        :param event_number: the event's number at the engine
        """
        if self._accept_event(event_number):
            self.used_ms.clear()

    def reset(self) -> None:
        """Forgets everything: the upstream is a new process."""
        self.used_ms.clear()
        self.last_event_number = 0

    def cached_tokens(self, prefix_keys: typing.Sequence[int]) -> int:
        """Returns how much of a prompt is probably cached.

        :param prefix_keys: keys of its blocks, first block first
        :return: prompt tokens up to the first block that isn't held
        """
        blocks = 0
        for key in prefix_keys:
            if key not in self.used_ms:
                break
            blocks += 1
        return blocks * self.block_tokens

    def _accept_event(self, event_number: int) -> bool:
        """Notes an event's number; lost events before it are made up for.

        Half of the lost ones are taken for removals of a usual size, and
        what they removed are the keys that were not used for longest.
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
