"""Remembers requests that crash the upstreams which run them."""

import collections

from godwitloft.gateway import sharing

CRASHES_BEFORE_REFUSAL = 3
MEMORY_MS = 60_000
# An upstream that refuses connections so soon after it broke requests off
# has crashed; the requests that it broke off are suspects.
SUSPECT_MS = 1_500


class Crashes:
    """Suspects by upstream, and crashes by fingerprint.

    :param peers: knows what other gateways saw
    """

    def __init__(self, peers: sharing.Sharing) -> None:
        self.peers = peers
        self.suspects: dict[str, list[tuple[int, bytes]]] = {}
        self.times: dict[bytes, list[int]] = {}
        self.recent: collections.deque[bytes] = collections.deque(
            maxlen=sharing.MAX_CRASHES_TOLD
        )

    def broken(self, upstream: str, fingerprint: bytes, now_ms: int) -> None:
        """Notes that an upstream broke a request off.

        :param upstream: its identity
        :param fingerprint: of the request
        :param now_ms: the time
        """
        self.suspects.setdefault(upstream, []).append((now_ms, fingerprint))

    def unreachable(self, upstream: str, now_ms: int) -> None:
        """Notes that an upstream takes no connections.

        :param upstream: its identity
        :param now_ms: the time
        """
        for at_ms, fingerprint in self.suspects.pop(upstream, ()):
            if now_ms - at_ms <= SUSPECT_MS:
                self.times.setdefault(fingerprint, []).append(now_ms)
                self.recent.append(fingerprint)

    def sound(self, upstream: str) -> None:
        """Notes that an upstream answered; it has not crashed.

        :param upstream: its identity
        """
        self.suspects.pop(upstream, None)

    def often(self, fingerprint: bytes, now_ms: int) -> bool:
        """Tells whether a request has crashed several upstreams.

        :param fingerprint: of the request
        :param now_ms: the time
        :return: whether it must not run again
        """
        times = [
            one
            for one in self.times.get(fingerprint, ())
            if now_ms - one < MEMORY_MS
        ]
        if times:
            self.times[fingerprint] = times
        else:
            self.times.pop(fingerprint, None)
        count = len(times) + self.peers.crashes_elsewhere(fingerprint)
        return count >= CRASHES_BEFORE_REFUSAL
