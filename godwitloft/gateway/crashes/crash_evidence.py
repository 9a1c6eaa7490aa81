"""Collects what requests show about crashes of upstreams."""

import typing

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway import model
from godwitloft.gateway import request as requests
from godwitloft.gateway.allowances import sharing as sharings
from godwitloft.gateway.crashes import crash_tracker
from godwitloft.gateway.upstreams import fleet as fleets


class CrashEvidence:
    """Tells the crash tracker what was sent, answered and refused.

    :param clock: source of the time
    :param crashes: weighs the evidence
    :param sharing: announces it to peers
    :param check_connection: finds out whether an upstream accepts connections
    :param call_later: calls a function after some milliseconds
    """

    def __init__(
        self,
        clock: clocks.Clock,
        crashes: crash_tracker.CrashTracker,
        sharing: sharings.Sharing,
        check_connection: typing.Callable[
            [model.Upstream, typing.Callable[[bool | None], None]], None
        ],
        call_later: typing.Callable[[int, typing.Callable[[], None]], object],
    ) -> None:
        self.clock = clock
        self.crashes = crashes
        self.sharing = sharing
        self.check_connection = check_connection
        self.call_later = call_later

    def record_trial(self, request: requests.Request, now_ms: int) -> None:
        """Records if a request is sent although it is blamed for crashes.

        :param request: a request that is being sent
        :param now_ms: the current time
        """
        tried = self.crashes.record_sent(request.untried_causes(), now_ms)
        if not tried:
            return
        request.tried_causes |= tried.keys()
        events.log(
            events.CRASH_CAUSE_TRIED,
            request=request.facts.id,
            causes=list(tried),
            trial=max(tried.values()),
        )
        self.sharing.must_announce = True

    def check_upstream(self, state: fleets.UpstreamState) -> None:
        """Finds out whether an upstream that broke off a request has crashed.

        Otherwise a crash would be noticed only by the next request to it,
        which may come late or never. A connection that is accepted soon after
        the break proves little, and is followed by another check.

        :param state: the upstream
        """
        crashes = self.crashes
        started_ms = self.clock.monotonic_ms()
        if not crashes.may_check(state.life, started_ms):
            return

        def on_checked(accepts: bool | None) -> None:
            now_ms = self.clock.monotonic_ms()
            if accepts:
                if crashes.record_accepting(state.life, started_ms):
                    self.call_later(
                        crash_tracker.ACCEPTS_AFTER_CRASH_MS,
                        lambda: self.check_upstream(state),
                    )
            elif accepts is not None:
                crashes.record_unreachable(state.life, now_ms)
                state.record_failure(now_ms, unreachable=True)
                self.sharing.must_announce = True

        self.check_connection(state.upstream, on_checked)

    def record_sound(self, request: requests.Request) -> None:
        """Records that no part of a prompt crashes the upstream.

        :param request: a request that was answered for a while, or to the end
        """
        request.proved_sound = True
        self.crashes.causes.record_sound(
            request.facts.part_causes, self.clock.monotonic_ms()
        )

    def record_complete(self, request: requests.Request) -> None:
        """Records that a request does not crash its upstream.

        :param request: a request that was answered to the end
        """
        if not request.proved_sound:
            self.record_sound(request)
        causes = self.crashes.causes
        if request.facts.request_cause in causes.present:
            causes.record_sound(
                (request.facts.request_cause,), self.clock.monotonic_ms()
            )
