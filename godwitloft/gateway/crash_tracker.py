"""Detects requests that crash the upstreams which run them."""

import collections
import dataclasses

from godwitloft import events
from godwitloft.gateway import part_crashes
from godwitloft.gateway import peer_status
from godwitloft.gateway import sharing

CRASHES_BEFORE_REFUSAL = 3
CRASH_MEMORY_MS = 60_000
# An upstream that refuses connections within this time after it broke off
# requests has crashed, and these requests are suspects.
SUSPECT_TIMEOUT_MS = 1_500
# An upstream that breaks off requests is checked at most this often.
CHECK_INTERVAL_MS = 500


@dataclasses.dataclass(frozen=True)
class Broken:
    """A request that an upstream broke off.

    :param at_ms: when it was broken off
    :param fingerprint: fingerprint of the request
    :param parts: shared parts of its prompt, if its answer had hardly begun
    """

    at_ms: int
    fingerprint: bytes
    parts: tuple[str, ...] = ()


class CrashTracker:
    """Records which requests were running when upstreams crashed.

    :param peers: crashes seen by other gateways
    """

    def __init__(self, peers: sharing.Sharing) -> None:
        self.peers = peers
        # Broken requests whose upstreams may have crashed.
        self.suspects: dict[peer_status.Life, list[Broken]] = {}
        # When each upstream with suspects was last checked.
        self.checked_ms: dict[peer_status.Life, int] = {}
        self.parts = part_crashes.PartCrashes()
        self.crash_times: dict[bytes, list[int]] = {}
        self.recent: collections.deque[bytes] = collections.deque(
            maxlen=sharing.MAX_CRASHES_ANNOUNCED
        )

    def record_broken(
        self, upstream: peer_status.Life, broken: Broken
    ) -> None:
        """Records that an upstream broke off a request.

        :param upstream: the upstream
        :param broken: the request
        """
        self.forget_old(broken.at_ms)
        self.suspects.setdefault(upstream, []).append(broken)

    def forget_old(self, now_ms: int) -> None:
        """Forgets upstreams of which nothing was heard after a break.

        :param now_ms: the current time
        """
        for upstream, suspects in list(self.suspects.items()):
            if now_ms - suspects[-1].at_ms > CRASH_MEMORY_MS:
                del self.suspects[upstream]
                self.checked_ms.pop(upstream, None)

    def may_check(self, upstream: peer_status.Life, now_ms: int) -> bool:
        """Returns whether to check now if an upstream accepts connections.

        :param upstream: an upstream that has broken off a request
        :param now_ms: the current time
        :return: whether the last check was started long enough ago
        """
        checked_ms = self.checked_ms.get(upstream)
        if checked_ms is not None and now_ms - checked_ms < CHECK_INTERVAL_MS:
            return False
        self.checked_ms[upstream] = now_ms
        return True

    def record_unreachable(
        self, upstream: peer_status.Life, now_ms: int
    ) -> None:
        """Records that an upstream accepts no connections.

        :param upstream: the upstream
        :param now_ms: the current time
        """
        self.checked_ms.pop(upstream, None)
        crashed = [
            broken
            for broken in self.suspects.pop(upstream, ())
            if now_ms - broken.at_ms <= SUSPECT_TIMEOUT_MS
        ]
        for broken in crashed:
            times = self.crash_times.setdefault(broken.fingerprint, [])
            times.append(now_ms)
            self.recent.append(broken.fingerprint)
            self.parts.record_crash(
                broken.parts, f"{upstream.id}/{upstream.born_ms}", broken.at_ms
            )
        if crashed:
            events.log(
                events.UPSTREAM_CRASHED,
                upstream=upstream.id,
                requests=len(crashed),
            )

    def record_alive(self, upstream: peer_status.Life, since_ms: int) -> None:
        """Records that an upstream lived on after it broke off requests.

        :param upstream: the upstream
        :param since_ms: when the connection was started that it accepted; a
            connection from before may still bring what was sent earlier
        """
        suspects = self.suspects.get(upstream)
        if suspects is None:
            return
        left = [broken for broken in suspects if broken.at_ms > since_ms]
        if left:
            self.suspects[upstream] = left
        else:
            del self.suspects[upstream]
            self.checked_ms.pop(upstream, None)

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
