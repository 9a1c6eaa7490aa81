"""Remembers which prompt prefixes an upstream's cache probably holds.

An agent learns them from its own dispatches, at once, and corrects them
by the engine's cache events, which come late and with gaps.
"""

import collections
import typing

MAX_KEYS = 50_000


class PrefixIndex:
    """Keys of the prompt blocks in one upstream's cache.

    Bounded: the key not used for the longest time is forgotten, as in the
    engine's own cache.

    :param block_tokens: prompt tokens a key stands for
    :param max_keys: bound on the keys kept
    """

    def __init__(self, block_tokens: int, max_keys: int = MAX_KEYS) -> None:
        self.block_tokens = block_tokens
        self.max_keys = max_keys
        self.last_sequence: int | None = None
        self.keys: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def dispatched(self, prefix_keys: typing.Iterable[int]) -> None:
        """Notes that a prompt was given to the upstream.

        :param prefix_keys: keys of its blocks, first block first
        """
        for key in reversed(tuple(prefix_keys)):
            self.keys[key] = None
            self.keys.move_to_end(key)
        while len(self.keys) > self.max_keys:
            self.keys.popitem(last=False)

    def stored(self, sequence: int, keys: typing.Iterable[int]) -> None:
        """Applies a cache event: blocks were stored.

        :param sequence: the event's number at the engine
        :param keys: the blocks
        """
        if self._is_new(sequence):
            self.dispatched(keys)

    def evicted(self, sequence: int, keys: typing.Iterable[int]) -> None:
        """Applies a cache event: blocks were evicted.

        :param sequence: the event's number at the engine
        :param keys: the blocks
        """
        if self._is_new(sequence):
            for key in keys:
                self.keys.pop(key, None)

    def cleared(self) -> None:
        """Forgets everything, after a restart of the upstream."""
        self.keys.clear()
        self.last_sequence = None

    def cached_tokens(self, prefix_keys: tuple[int, ...]) -> int:
        """Returns how much of a prompt is probably cached.

        :param prefix_keys: keys of its blocks, first block first
        :return: prompt tokens up to the first block that isn't held
        """
        blocks = 0
        for key in prefix_keys:
            if key not in self.keys:
                break
            blocks += 1
        return blocks * self.block_tokens

    def _is_new(self, sequence: int) -> bool:
        last = self.last_sequence
        if last is not None and sequence <= last:
            return False
        self.last_sequence = sequence
        return True
