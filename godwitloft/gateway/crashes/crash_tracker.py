"""Detects requests that crash the upstreams which run them."""

import dataclasses
import typing

from godwitloft import events
from godwitloft.gateway.crashes import crash_causes
from godwitloft.gateway.peers import peer_status

SUSPECT_MEMORY_MS = 60_000
# An upstream that refuses connections within this time after it broke off
# requests has crashed, and these requests are suspects.
SUSPECT_TIMEOUT_MS = 1_500
# An upstream that breaks off requests is checked at most this often.
CHECK_INTERVAL_MS = 500
# The machine of an upstream that ends accepts connections until its port is
# closed, which may be this long after it broke off requests.
ACCEPTS_AFTER_CRASH_MS = 500


@dataclasses.dataclass(frozen=True)
class Broken:
    """A request that an upstream broke off.

    :param at_ms: when it was broken off
    :param causes: what in it may have crashed the upstream
    """

    at_ms: int
    causes: tuple[str, ...]


class CrashTracker:
    """Records which requests were running when upstreams crashed.

    :param place: returns the place of this gateway among all of them, see
        :class:`godwitloft.gateway.crashes.crash_causes.CrashCauses`
    """

    def __init__(self, place: typing.Callable[[str], int]) -> None:
        # Broken requests whose upstreams may have crashed.
        self.suspects: dict[peer_status.Life, list[Broken]] = {}
        # When each upstream with suspects was last checked.
        self.checked_ms: dict[peer_status.Life, int] = {}
        self.causes = crash_causes.CrashCauses(place)

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
            if now_ms - suspects[-1].at_ms > SUSPECT_MEMORY_MS:
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
        if not crashed:
            return
        self.record_crash(upstream, crashed)

    def record_told(self, crash_id: str, at_ms: int) -> bool:
        """Records that a peer has found out that an upstream crashed.

        What it broke off here at that time counts as well, before this gateway
        finds out by itself: the cause may be here.

        :param crash_id: the id of the crash
        :param at_ms: when the upstream crashed
        :return: whether it had broken off requests here
        """
        found = False
        for upstream, suspects in list(self.suspects.items()):
            if not crash_causes.is_of(crash_id, life_text(upstream)):
                continue
            crashed = [
                broken
                for broken in suspects
                if abs(broken.at_ms - at_ms) <= crash_causes.SAME_CRASH_MS
            ]
            if crashed:
                for broken in crashed:
                    suspects.remove(broken)
                if not suspects:
                    del self.suspects[upstream]
                self.record_crash(upstream, crashed)
                found = True
        return found

    def record_crash(
        self, upstream: peer_status.Life, crashed: list[Broken]
    ) -> None:
        """Records what an upstream that crashed had broken off here.

        :param upstream: the upstream
        :param crashed: the requests that it broke off, at least one
        """
        self.causes.record_crash(
            [broken.causes for broken in crashed],
            life_text(upstream),
            max(broken.at_ms for broken in crashed),
        )
        events.log(
            events.UPSTREAM_CRASHED,
            upstream=upstream.id,
            requests=len(crashed),
        )

    def record_accepting(
        self, upstream: peer_status.Life, since_ms: int
    ) -> bool:
        """Records that an upstream accepted a connection without a request.

        :param upstream: the upstream
        :param since_ms: when the connection was started
        :return: whether it may have crashed all the same, and must be checked
            again :data:`ACCEPTS_AFTER_CRASH_MS` later
        """
        self.record_alive(upstream, since_ms - ACCEPTS_AFTER_CRASH_MS)
        return upstream in self.suspects

    def record_alive(self, upstream: peer_status.Life, since_ms: int) -> None:
        """Records that an upstream lived on after it broke off requests.

        :param upstream: the upstream
        :param since_ms: when the request was sent that it answered, as one
            from before may still be answered by what was sent earlier
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

    def refused_cause(
        self, causes: tuple[str, ...], now_ms: int
    ) -> str | None:
        """Returns why a request must not be sent, if it is blamed for crashes.

        :param causes: what may crash an upstream in it
        :param now_ms: the current time
        :return: a blamed cause of which no trial is due, None if it may be
            sent
        """
        for cause in self.causes.find_blamed(causes):
            if not self.causes.may_try(cause, causes, now_ms):
                return cause
        return None

    def record_sent(
        self, causes: tuple[str, ...], now_ms: int
    ) -> dict[str, int]:
        """Records that a request is sent.

        :param causes: what may crash an upstream in it
        :param now_ms: the current time
        :return: for each blamed cause, the number of the trial that it is;
            peers must be told of trials at once
        """
        return {
            cause: self.causes.record_trial(cause, now_ms)
            for cause in self.causes.find_blamed(causes)
        }


def life_text(upstream: peer_status.Life) -> str:
    """Returns the life of an upstream as the ids of its crashes name it.

    :param upstream: the upstream
    """
    return f"{upstream.id}/{upstream.born_ms}"
