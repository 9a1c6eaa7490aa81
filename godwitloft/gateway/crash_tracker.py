"""Detects requests that crash the upstreams which run them."""

import collections

from godwitloft import events
from godwitloft.gateway import sharing

CRASHES_BEFORE_REFUSAL = 3
CRASH_MEMORY_MS = 60_000
# An upstream that refuses connections within this time after it broke off
# requests has crashed, and these requests are suspects.
SUSPECT_TIMEOUT_MS = 1_500


class CrashTracker:
    """Records which requests were running when upstreams crashed.

    :param peers: crashes seen by other gateways
    """

    def __init__(self, peers: sharing.Sharing) -> None:
        self.peers = peers
        # Times and fingerprints of broken requests, by upstream.
        self.suspects: dict[str, list[tuple[int, bytes]]] = {}
        self.crash_times: dict[bytes, list[int]] = {}
        self.recent: collections.deque[bytes] = collections.deque(
            maxlen=sharing.MAX_CRASHES_ANNOUNCED
        )

    def record_broken(
        self, upstream: str, fingerprint: bytes, now_ms: int
    ) -> None:
        """Records that an upstream broke off a request.

        :param upstream: identity of the upstream
        :param fingerprint: fingerprint of the request
        :param now_ms: the current time
        """
        self.suspects.setdefault(upstream, []).append((now_ms, fingerprint))

    def record_unreachable(self, upstream: str, now_ms: int) -> None:
        """Records that an upstream accepts no connections.

        :param upstream: identity of the upstream
        :param now_ms: the current time
        """
        crashed = [
            fingerprint
            for at_ms, fingerprint in self.suspects.pop(upstream, ())
            if now_ms - at_ms <= SUSPECT_TIMEOUT_MS
        ]
        for fingerprint in crashed:
            self.crash_times.setdefault(fingerprint, []).append(now_ms)
            self.recent.append(fingerprint)
        if crashed:
            events.log(
                events.UPSTREAM_CRASHED,
                upstream=upstream,
                requests=len(crashed),
            )

    def record_answer(self, upstream: str) -> None:
        """Records that an upstream has answered, so it has not crashed.

        :param upstream: identity of the upstream
        """
        self.suspects.pop(upstream, None)

    def is_crashing(self, fingerprint: bytes, now_ms: int) -> bool:
        """Returns whether a request has crashed several upstreams.

        :param fingerprint: fingerprint of the request
        :param now_ms: the current time
        :return: whether it must not run again
        """
        crash_times = [
            crashed_ms
            for crashed_ms in self.crash_times.get(fingerprint, ())
            if now_ms - crashed_ms < CRASH_MEMORY_MS
        ]
        if crash_times:
            self.crash_times[fingerprint] = crash_times
        else:
            self.crash_times.pop(fingerprint, None)
        count = len(crash_times) + self.peers.peer_crashes(fingerprint)
        return count >= CRASHES_BEFORE_REFUSAL
