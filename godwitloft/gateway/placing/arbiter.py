"""Grants upstreams' slots to gateways.

It runs in the agent of one upstream, or in a gateway, which then grants the
slots of some upstreams to all gateways.

A gateway sends wants: datagrams with its running and waiting requests. They
are its claim on the slots. A grant states how many requests it may start.

It stores nothing: gateways repeat their complete state in each
datagram, so that after a restart slots can be granted as soon as one from each
gateway was received.
"""

import collections
import dataclasses
import operator
import typing

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway.placing import slots
from godwitloft.links import datagrams
from godwitloft.links.generated.datagrams import ttypes

# A gateway from which no want was received for this long is assumed to run no
# requests.
CLAIM_TIMEOUT_MS = 1_200
# How long the state of all gateways is received before slots are granted:
# after the start, and where a gateway grants after the first want for an
# upstream, which another one may have granted before.
STARTUP_LISTEN_MS = 400
GRANT_DELAY_MS = 2
# Unclaimed requests are the minimum over this many reports of the upstream, as
# a request that has just started or ended may be counted by only one of the
# upstream and its gateway.
REPORTS_COMPARED = 2


@dataclasses.dataclass(frozen=True)
class ReceivedWant:
    """The last want of a gateway.

    :param want: the received datagram
    :param address: address of the gateway
    :param at_ms: when it was received
    :param waiting_since_ms: since when the gateway has started no request
        although some are waiting
    :param claim: the claim that it makes
    """

    want: ttypes.SlotWant
    address: datagrams.Address
    at_ms: int
    waiting_since_ms: int
    claim: slots.Claim


class UpstreamClaims:
    """Gateways' claims on one upstream.

    :param upstream: identity of the upstream
    :param grants_from_ms: before, no slots are granted
    """

    def __init__(self, upstream: str, grants_from_ms: int) -> None:
        self.upstream = upstream
        self.grants_from_ms = grants_from_ms
        # Until then no gateway can have been silent for too long.
        self.none_silent_until_ms = 0
        self.last_wants: dict[str, ReceivedWant] = {}
        self.granted_limits: dict[str, int] = {}


class Arbiter:
    """Grants request starts to gateways.

    :param clock: source of the time
    :param call_later: calls a function after some milliseconds
    :param send: sends a datagram to an address
    :param incarnation: incarnation of this agent or gateway
    :param zone_of: returns the availability zone of an upstream
    :param listens_anew: whether others may have granted the slots of an
        upstream before the first want for it arrives here
    :param by_demand: whether free slots go to gateways in proportion to what
        runs and waits there
    """

    def __init__(
        self,
        clock: clocks.Clock,
        call_later: typing.Callable[[int, typing.Callable[[], None]], object],
        send: typing.Callable[[bytes, datagrams.Address], None],
        incarnation: str,
        zone_of: typing.Callable[[str], str],
        listens_anew: bool = False,
        by_demand: bool = False,
    ) -> None:
        self.clock = clock
        self.by_demand = by_demand
        self.call_later = call_later
        self.send = send
        self.incarnation = incarnation
        self.zone_of = zone_of
        self.listens_anew = listens_anew
        self.started_ms = clock.monotonic_ms()
        # Start of the upstream's process, if it has said that it is leaving.
        self.leaving_born_ms: int | None = None
        self.claims_by_upstream: dict[str, UpstreamClaims] = {}
        self.pending_grants: set[str] = set()
        self.unclaimed: collections.deque[int] = collections.deque(
            [0], maxlen=REPORTS_COMPARED
        )

    def on_upstream_report(self, busy: int) -> None:
        """Handles the upstream's report of its load.

        The upstream may also hold requests of gateways whose datagrams don't
        reach this agent.

        :param busy: requests that run or wait in the upstream
        """
        claimed = sum(
            received.want.running
            for claims in self.claims_by_upstream.values()
            for received in claims.last_wants.values()
        )
        self.unclaimed.append(max(0, busy - claimed))

    def set_leaving(self, born_ms: int | None) -> None:
        """Tells gateways whether the upstream has said that it is leaving.

        :param born_ms: start of its process, None if it is not leaving
        """
        if born_ms == self.leaving_born_ms:
            return
        self.leaving_born_ms = born_ms
        for claims in list(self.claims_by_upstream.values()):
            claims.granted_limits.clear()
            self.grant(claims)

    def on_datagram(
        self, datagram: ttypes.Datagram, address: datagrams.Address
    ) -> None:
        """Handles a datagram of a gateway.

        :param datagram: any datagram; all but wants are ignored
        :param address: address of the gateway
        """
        want = datagram.want
        if want is None:
            return
        claims = self.claims_of(want.upstream)
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
            want,
            address,
            now_ms,
            waiting_since_ms,
            self.claim_of(want, previous),
        )
        # Each want is answered, even if the grant is unchanged.
        claims.granted_limits.pop(want.gateway, None)
        if want.upstream not in self.pending_grants:
            self.pending_grants.add(want.upstream)
            self.call_later(GRANT_DELAY_MS, lambda: self.grant(claims))

    def claim_of(
        self, want: ttypes.SlotWant, previous: ReceivedWant | None
    ) -> slots.Claim:
        """Returns the claim that a want makes.

        :param want: the received datagram
        :param previous: the gateway's want before it, None for none
        """
        if previous is not None and want.zone == previous.want.zone:
            spare_order = previous.claim.spare_order
        else:
            spare_order = slots.spare_order(
                want.upstream,
                want.gateway,
                want.zone == self.zone_of(want.upstream),
            )
        return slots.Claim(
            want.gateway, want.running, tuple(want.waiting), spare_order
        )

    def claims_of(self, upstream: str) -> UpstreamClaims:
        """Returns the claims on an upstream.

        :param upstream: identity of the upstream
        :return: its claims, created if needed
        """
        claims = self.claims_by_upstream.get(upstream)
        if claims is None:
            first_ms = self.started_ms
            if self.listens_anew:
                first_ms = self.clock.monotonic_ms()
            claims = UpstreamClaims(upstream, first_ms + STARTUP_LISTEN_MS)
            self.claims_by_upstream[upstream] = claims
        return claims

    def grant(self, claims: UpstreamClaims) -> None:
        """Allocates the slots again and sends the grants that changed.

        :param claims: claims on the upstream
        """
        self.pending_grants.discard(claims.upstream)
        now_ms = self.clock.monotonic_ms()
        if now_ms < claims.grants_from_ms:
            return
        self.drop_silent(claims, now_ms)
        if not claims.last_wants:
            self.claims_by_upstream.pop(claims.upstream, None)
            return
        longest_first = sorted(
            claims.last_wants.values(),
            key=operator.attrgetter("waiting_since_ms"),
        )
        upstream_slots = 0
        pending_prompt_tokens = 0
        for received in longest_first:
            upstream_slots = max(upstream_slots, received.want.slots)
            pending_prompt_tokens += received.want.unread
        starts = slots.allocate(
            upstream_slots,
            min(self.unclaimed),
            [received.claim for received in longest_first],
            self.by_demand,
        )
        granted = claims.granted_limits
        for received in longest_first:
            want = received.want
            limit = want.started + starts[want.gateway]
            if granted.get(want.gateway) != limit:
                granted[want.gateway] = limit
                self.send_grant(
                    claims, want, limit, pending_prompt_tokens - want.unread
                )

    def drop_silent(self, claims: UpstreamClaims, now_ms: int) -> None:
        """Removes gateways from which no want was received for too long.

        :param claims: claims on the upstream
        :param now_ms: the current time
        """
        if now_ms <= claims.none_silent_until_ms:
            return
        oldest_ms = now_ms
        for gateway, received in list(claims.last_wants.items()):
            if now_ms - received.at_ms <= CLAIM_TIMEOUT_MS:
                oldest_ms = min(oldest_ms, received.at_ms)
                continue
            del claims.last_wants[gateway]
            claims.granted_limits.pop(gateway, None)
            events.log(
                events.GATEWAY_SILENT,
                gateway=gateway,
                upstream=claims.upstream,
                running=received.want.running,
            )
        claims.none_silent_until_ms = oldest_ms + CLAIM_TIMEOUT_MS

    def send_grant(
        self,
        claims: UpstreamClaims,
        want: ttypes.SlotWant,
        limit: int,
        pending_prompt_tokens: int,
    ) -> None:
        """Sends a grant to a gateway.

        :param claims: claims on the upstream
        :param want: the gateway's last want
        :param limit: upper bound for the gateway's total number of starts
        :param pending_prompt_tokens: those that other gateways sent
        """
        grant = ttypes.SlotGrant(
            upstream=claims.upstream,
            gateway=want.gateway,
            agent=self.incarnation,
            sequence=want.sequence,
            start_limit=limit,
            unread_elsewhere=pending_prompt_tokens,
            leaving_born_ms=self.leaving_born_ms,
        )
        self.send(
            datagrams.encode(grant=grant),
            claims.last_wants[want.gateway].address,
        )
