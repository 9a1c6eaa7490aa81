"""The agent's task: grants the slots of the upstream beside it.

It keeps nothing: each gateway tells all that it runs and wants again and
again, and an agent that was started anew grants as soon as it has heard
them.
"""

import collections
import dataclasses
import typing

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway import slots
from godwitloft.links import datagrams
from godwitloft.links.generated.datagrams import ttypes

# A gateway that was not heard for so long runs nothing that it knows of.
CLAIM_TIMEOUT_MS = 1_200
# After its start an agent first hears all gateways.
STARTUP_LISTEN_MS = 400
GRANT_DELAY_MS = 2
# A request that has just begun or ended is in one count and not the other.
REPORTS_COMPARED = 2


@dataclasses.dataclass(frozen=True)
class ReceivedWant:
    """The last want of a gateway.

    :param want: what it told
    :param address: where it is
    :param at_ms: when
    :param since_ms: since when it has waited without a start
    """

    want: ttypes.SlotWant
    address: datagrams.Address
    at_ms: int
    waiting_since_ms: int


class UpstreamClaims:
    """The claims on one upstream.

    :param upstream: its identity
    """

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.last_wants: dict[str, ReceivedWant] = {}
        self.granted_limits: dict[str, int] = {}


class Arbiter:
    """Grants starts to gateways.

    :param clock: tells the time
    :param call_later: runs a function after some milliseconds
    :param send: sends a datagram to an address
    :param incarnation: of this agent
    :param zone: its availability zone, and the upstream's
    """

    def __init__(
        self,
        clock: clocks.Clock,
        call_later: typing.Callable[[int, typing.Callable[[], None]], object],
        send: typing.Callable[[bytes, datagrams.Address], None],
        incarnation: str,
        zone: str,
    ) -> None:
        self.clock = clock
        self.call_later = call_later
        self.send = send
        self.incarnation = incarnation
        self.zone = zone
        self.started_ms = clock.monotonic_ms()
        self.claims_by_upstream: dict[str, UpstreamClaims] = {}
        self.pending_grants: set[str] = set()
        self.unclaimed: collections.deque[int] = collections.deque(
            [0], maxlen=REPORTS_COMPARED
        )

    def on_upstream_report(self, busy: int) -> None:
        """Takes what the upstream says of itself.

        Gateways that lost touch with this agent may send it requests, too.

        :param busy: requests that it runs and that wait inside it
        """
        previous = sum(
            received.want.running
            for claims in self.claims_by_upstream.values()
            for received in claims.last_wants.values()
        )
        self.unclaimed.append(max(0, busy - previous))

    def on_datagram(
        self, datagram: ttypes.Datagram, address: datagrams.Address
    ) -> None:
        """Takes a datagram of a gateway.

        :param datagram: any; only wants concern an agent
        :param address: of the gateway
        """
        want = datagram.want
        if want is None:
            return
        claims = self.claims_by_upstream.setdefault(
            want.upstream, UpstreamClaims(want.upstream)
        )
        previous = claims.last_wants.get(want.gateway)
        if previous is not None and want.sequence <= previous.want.sequence:
            return
        if previous is None:
            events.log(
                events.GATEWAY_ALIVE,
                gateway=want.gateway,
                upstream=want.upstream,
                running=want.running,
            )
        now_ms = self.clock.monotonic_ms()
        waiting_since_ms = now_ms
        if previous is not None and want.started == previous.want.started:
            if any(previous.want.waiting):
                waiting_since_ms = previous.waiting_since_ms
        claims.last_wants[want.gateway] = ReceivedWant(
            want, address, now_ms, waiting_since_ms
        )
        # Whoever has told something hears an answer, also the same one.
        claims.granted_limits.pop(want.gateway, None)
        if want.upstream not in self.pending_grants:
            self.pending_grants.add(want.upstream)
            self.call_later(GRANT_DELAY_MS, lambda: self.grant(claims))

    def grant(self, claims: UpstreamClaims) -> None:
        """Divides the slots anew and tells whom it concerns.

        :param book: of the upstream
        """
        self.pending_grants.discard(claims.upstream)
        now_ms = self.clock.monotonic_ms()
        if now_ms - self.started_ms < STARTUP_LISTEN_MS:
            return
        self.drop_silent(claims, now_ms)
        if not claims.last_wants:
            self.claims_by_upstream.pop(claims.upstream, None)
            return
        longest_first = sorted(
            claims.last_wants.values(),
            key=lambda received: received.waiting_since_ms,
        )
        wants = [received.want for received in longest_first]
        starts = slots.allocate(
            claims.upstream,
            max(want.slots for want in wants),
            min(self.unclaimed),
            [
                slots.Claim(
                    want.gateway,
                    want.running,
                    tuple(want.waiting),
                    want.zone == self.zone,
                )
                for want in wants
            ],
        )
        unread = sum(want.unread for want in wants)
        for want in wants:
            limit = want.started + starts[want.gateway]
            if claims.granted_limits.get(want.gateway) != limit:
                claims.granted_limits[want.gateway] = limit
                self.send_grant(claims, want, limit, unread - want.unread)

    def drop_silent(self, claims: UpstreamClaims, now_ms: int) -> None:
        """Drops gateways that have gone silent.

        :param book: of the upstream
        :param now_ms: the time
        """
        for gateway, received in list(claims.last_wants.items()):
            if now_ms - received.at_ms > CLAIM_TIMEOUT_MS:
                del claims.last_wants[gateway]
                claims.granted_limits.pop(gateway, None)
                events.log(
                    events.GATEWAY_SILENT,
                    gateway=gateway,
                    upstream=claims.upstream,
                    running=received.want.running,
                )

    def send_grant(
        self,
        claims: UpstreamClaims,
        want: ttypes.SlotWant,
        limit: int,
        unread: int,
    ) -> None:
        """Sends a grant.

        :param book: of the upstream
        :param want: the last one of the gateway
        :param limit: how many requests it may ever have started
        :param unread: prompt tokens that other gateways sent
        """
        grant = ttypes.SlotGrant(
            upstream=claims.upstream,
            gateway=want.gateway,
            agent=self.incarnation,
            sequence=want.sequence,
            start_limit=limit,
            unread_elsewhere=unread,
        )
        self.send(
            datagrams.encode(grant=grant),
            claims.last_wants[want.gateway].address,
        )
