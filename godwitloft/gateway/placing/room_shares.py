"""Keeps this gateway's share of each service, by the demand of all gateways.

The demand is announced with the use of allowances
(:mod:`godwitloft.gateway.allowances.announcer`). The division itself is in
:mod:`godwitloft.gateway.placing.demand_share`.
"""

import collections
import dataclasses
import enum
import math
import typing

from godwitloft import clock as clocks
from godwitloft.gateway import request as requests
from godwitloft.gateway.allowances import demand as rates
from godwitloft.gateway.allowances import peer_use
from godwitloft.gateway.allowances import sharing as sharings
from godwitloft.gateway.placing import demand_share
from godwitloft.gateway.placing import ordering
from godwitloft.gateway.upstreams import fleet as fleets
from godwitloft.links.generated.datagrams import ttypes

# Shares are computed this often at most, as that takes time for each gateway
# and each upstream.
COMPUTED_MS = 50
# A larger share is used once the others have heard of it and computed theirs.
GROWTH_DELAY_MS = 2 * COMPUTED_MS
# Time constant of the mean rate of arrivals. Waves of some seconds are
# followed, and single arrivals change a share little.
ARRIVALS_MS = 1_000.0
# Weight of a new run time in the mean. Run times of one service differ by the
# speed of its upstreams; with 0.1, 3 % less was finished at 1.5 times the
# capacity in a trial with speeds of 0.3 to 3.
RUN_TIME_WEIGHT = 0.02
# Waiting requests count up to this part of the running ones, and this many
# even if none runs. With half of them, a gateway with half of the callers got
# 0.90 of the fraction of the others at 1.5 times the capacity.
BACKLOG_PART = 8
MIN_BACKLOG_COUNTED = 2
# Changes of a claim up to this part of it aren't announced.
SMALL_CHANGE_PART = 8
# Part by which demand must change for an early announcement, and by how many
# requests at the least.
EARLY_CHANGE_PART = 2
MIN_EARLY_CHANGE = 3
MAX_SERVICES_ANNOUNCED = 20


class Basis(enum.Enum):
    """What a gateway's share of an upstream was computed from."""

    GRANT = "grant"
    DEMAND = "demand"
    # Some gateways weren't heard lately, and the share is kept.
    KEPT = "kept"
    # A gateway announces no demand, or there is only one gateway.
    EQUAL = "equal"


@dataclasses.dataclass(frozen=True)
class Computed:
    """Shares at one time.

    :param at_ms: when they were computed
    :param shares: number of requests by upstream
    """

    at_ms: int
    shares: dict[str, int]


class ServiceShare:
    """This gateway's share of one service."""

    def __init__(self) -> None:
        self.computed_ms = 0
        self.basis = Basis.EQUAL
        self.history: collections.deque[Computed] = collections.deque()
        self.allowed: dict[str, int] = {}
        self.order_key: tuple[tuple[str, int], ...] = ()
        self.order = demand_share.SlotOrder({})
        # Urgency of the most urgent request that waits at another gateway.
        self.urgent_elsewhere: int | None = None
        # For the log.
        self.claimed = 0
        self.quota = 0

    def use(self, shares: dict[str, int], now_ms: int) -> None:
        """Uses shares: smaller ones at once, larger ones after a delay.

        :param shares: number of requests by upstream
        :param now_ms: the current time
        """
        history = self.history
        history.append(Computed(now_ms, shares))
        while (
            len(history) > 1 and history[1].at_ms <= now_ms - GROWTH_DELAY_MS
        ):
            history.popleft()
        self.allowed = {
            name: min(computed.shares.get(name, 0) for computed in history)
            for name in shares
        }


class OwnDemand:
    """Demand for one service at this gateway."""

    def __init__(self) -> None:
        # By urgency: timely requests that could start anywhere, and all that
        # wait by the urgency that they had when they were timely.
        self.waiting: tuple[int, ...] = ()
        self.backlog: tuple[int, ...] = ()
        self.arrivals: dict[int, rates.Demand] = {}
        self.run_ms = 0.0
        self.running = 0

    def claimed(self, before: tuple[int, ...], now_ms: int) -> tuple[int, ...]:
        """Returns the slots that arriving and waiting requests need.

        Small changes aren't announced: they would move slots between gateways
        all the time, and a slot that moves is unused for a while.

        :param before: what was announced last
        :param now_ms: the current time
        :return: by urgency, in :data:`demand_share.CLAIM_UNIT`; arrivals times
            their mean run time, or what runs and waits if that is more. The
            latter counts up to an eighth more than what runs: a queue is as
            long as the gateway's share allows, so that larger shares would
            justify themselves
        """
        depth = max(len(self.backlog), max(self.arrivals, default=-1) + 1)
        claimed = [0] * depth
        for urgency, rate in self.arrivals.items():
            claimed[urgency] = round(
                demand_share.CLAIM_UNIT
                * rate.per_s(now_ms)
                * self.run_ms
                / clocks.MS_PER_S
            )
        most = (
            self.running + self.running // BACKLOG_PART + MIN_BACKLOG_COUNTED
        )
        missing = min(self.running + sum(self.backlog), most)
        missing = missing * demand_share.CLAIM_UNIT - sum(claimed)
        for urgency, count in enumerate(self.backlog):
            added = min(max(0, missing), count * demand_share.CLAIM_UNIT)
            claimed[urgency] += added
            missing -= added
        for urgency, known in enumerate(before[:depth]):
            change = abs(claimed[urgency] - known)
            if claimed[urgency] and change <= max(
                demand_share.CLAIM_UNIT, known // SMALL_CHANGE_PART
            ):
                claimed[urgency] = known
        while claimed and claimed[-1] == 0:
            claimed.pop()
        return tuple(claimed)

    def demand(
        self, before: demand_share.Demand, now_ms: int
    ) -> demand_share.Demand:
        """Returns the demand as it is announced.

        :param before: what was announced last
        :param now_ms: the current time
        """
        return demand_share.Demand(
            self.running, self.waiting, self.claimed(before.claimed, now_ms)
        )


class RoomShares:
    """Shares of all services, and what is announced for them.

    :param clock: source of the time
    :param sharing: the other gateways and what they announced
    :param fleet: the upstreams
    """

    def __init__(
        self,
        clock: clocks.Clock,
        sharing: sharings.Sharing,
        fleet: fleets.Fleet,
    ) -> None:
        self.clock = clock
        self.sharing = sharing
        self.fleet = fleet
        self.own: dict[str, OwnDemand] = {}
        # What the other gateways know of this one.
        self.announced: dict[str, demand_share.Demand] = {}
        self.services: dict[str, ServiceShare] = {}
        self.early_ms = -math.inf
        # Whether demand is announced; an older release doesn't.
        self.is_announcing = False

    # Own demand.

    def own_of(self, service: str) -> OwnDemand:
        """Returns this gateway's demand for a service.

        :param service: name of the service
        :return: its demand, created if needed
        """
        return self.own.setdefault(service, OwnDemand())

    def record_arrival(self, request: requests.Request, now_ms: int) -> None:
        """Counts a request that has arrived, and may yet be refused.

        :param request: the request
        :param now_ms: the current time
        """
        own = self.own_of(request.facts.service)
        urgency = ordering.timely_urgency(request)
        own.arrivals.setdefault(urgency, rates.Demand(ARRIVALS_MS)).add(
            1, now_ms
        )

    def record_start(self, service: str) -> None:
        """Counts a request that is sent.

        :param service: name of its service
        """
        self.own_of(service).running += 1

    def record_end(self, service: str, took_ms: float) -> None:
        """Counts the end of an attempt.

        :param service: name of its service
        :param took_ms: time since it was sent
        """
        own = self.own_of(service)
        own.running -= 1
        if own.run_ms == 0.0:
            own.run_ms = took_ms
        own.run_ms += RUN_TIME_WEIGHT * (took_ms - own.run_ms)

    def record_waiting(
        self,
        service: str,
        waiting: tuple[int, ...],
        backlog: tuple[int, ...],
    ) -> None:
        """Records what waits after the requests with room were sent.

        :param service: name of the service
        :param waiting: number of timely waiting requests by urgency
        :param backlog: number of all, by the urgency when they were timely
        """
        own = self.own.get(service)
        if own is None:
            return
        own.waiting = waiting
        own.backlog = backlog
        if self.sharing.gateways > 1 and self.has_changed(service, own):
            interval_ms = self.sharing.announce_interval_ms()
            now_ms = self.clock.monotonic_ms()
            if now_ms - self.early_ms >= interval_ms / 2:
                self.early_ms = now_ms
                self.sharing.announce_soon()

    def has_changed(self, service: str, own: OwnDemand) -> bool:
        """Returns whether the others should soon hear of a service's demand.

        :param service: name of the service
        :param own: this gateway's demand for it
        """
        told = self.announced.get(service, demand_share.Demand())
        now = demand_share.Demand(own.running, own.waiting)
        if now.most_urgent != told.most_urgent:
            return True
        before = told.running + sum(told.waiting)
        after = own.running + sum(own.waiting)
        change = abs(after - before)
        return (
            change >= MIN_EARLY_CHANGE
            and change * EARLY_CHANGE_PART >= max(before, after)
        )

    def refresh(self) -> None:
        """Takes the present demand for what all others know from now on."""
        now_ms = self.clock.monotonic_ms()
        demands = {}
        for service, own in self.own.items():
            before = self.announced.get(service, demand_share.Demand())
            demand = own.demand(before, now_ms)
            if demand != demand_share.Demand():
                demands[service] = demand
        if len(demands) > MAX_SERVICES_ANNOUNCED:
            largest = sorted(demands, key=lambda name: -demands[name].running)
            demands = {
                name: demands[name]
                for name in largest[:MAX_SERVICES_ANNOUNCED]
            }
        self.announced = demands

    def to_send(self) -> list[ttypes.ServiceDemand] | None:
        """Returns the announced demand as it is sent.

        :return: None if none is announced
        """
        if not self.is_announcing:
            return None
        return [
            ttypes.ServiceDemand(
                service,
                demand.running,
                list(demand.waiting),
                list(demand.claimed) or None,
            )
            for service, demand in self.announced.items()
        ]

    # Shares.

    def share(self, state: fleets.UpstreamState, now_ms: int) -> int | None:
        """Returns how many requests this gateway may run at an upstream.

        :param state: the upstream
        :param now_ms: the current time
        :return: None if the gateways' demand doesn't determine it
        """
        service = self.service_share(state.upstream.service, now_ms)
        if service.basis is Basis.EQUAL:
            return None
        return service.allowed.get(state.upstream.id, 0)

    def is_held(self, request: requests.Request, now_ms: int) -> bool:
        """Returns whether a more urgent request waits at another gateway.

        Requests that a group is owed aren't held, nor late ones for timely
        ones of the same rank, as they would leave slots unused.

        :param request: a waiting request
        :param now_ms: the current time
        """
        service = self.service_share(request.facts.service, now_ms)
        urgent = service.urgent_elsewhere
        if urgent is None or request.owed:
            return False
        return ordering.timely_urgency(request) > urgent

    def service_share(self, service: str, now_ms: int) -> ServiceShare:
        """Returns the share of a service, computed anew now and then.

        :param service: name of the service
        :param now_ms: the current time
        """
        share = self.services.get(service)
        if share is None:
            share = self.services[service] = ServiceShare()
        elif now_ms - share.computed_ms < COMPUTED_MS:
            return share
        share.computed_ms = now_ms
        self.compute(service, share, now_ms)
        return share

    def compute(self, service: str, share: ServiceShare, now_ms: int) -> None:
        """Computes the share of a service.

        :param service: name of the service
        :param share: its share, which is changed
        :param now_ms: the current time
        """
        share.urgent_elsewhere = None
        demands = self.demands(service)
        if demands is None:
            share.basis = Basis.EQUAL
            share.history.clear()
            return
        interval_ms = self.sharing.announce_interval_ms()
        since_ms = now_ms - int(peer_use.GONE_INTERVALS * interval_ms)
        others = self.sharing.others
        states = [
            state
            for state in self.fleet.listed.values()
            if state.upstream.service == service
        ]
        rooms = {
            state.upstream.id: 0 if state.upstream.leaving else state.room
            for state in states
        }
        room = sum(rooms.values())
        if room == 0:
            share.use({}, now_ms)
            return
        slots = {state.upstream.id: state.upstream.slots for state in states}
        key = tuple(sorted(slots.items()))
        if key != share.order_key:
            share.order_key = key
            share.order = demand_share.SlotOrder(slots)
        total = len(share.order.slots)
        division = demand_share.divide(demands, total, room)
        share.claimed = division.claimed
        share.quota = division.quotas[self.sharing.instance]
        self.find_urgent(service, share, demands, division, since_ms)
        own = self.sharing.instance
        found = share.order.shares(
            demand_share.spans(division.quotas, total, own), rooms
        )
        share.basis = Basis.DEMAND
        if not others.hears_majority(since_ms - interval_ms) or any(
            name not in others.peers for name in others.hosts
        ):
            # Nobody may have heard what this gateway asks for.
            share.basis = Basis.KEPT
            kept = share.allowed
            if not share.history:
                idle = dict.fromkeys(demands, demand_share.Demand())
                equal = demand_share.divide(idle, total, room)
                kept = share.order.shares(
                    demand_share.spans(equal.quotas, total, own), rooms
                )
            found = {
                name: min(number, kept.get(name, 0))
                for name, number in found.items()
            }
        share.use(found, now_ms)
        if not any(share.allowed.values()):
            first = self.first_usable(share, rooms)
            if first is not None:
                share.allowed = {first: 1}

    def first_usable(
        self, share: ServiceShare, rooms: dict[str, int]
    ) -> str | None:
        """Returns where a gateway without a share may start one request.

        :param share: its share of the service
        :param rooms: number of requests that each upstream takes
        """
        names = sorted([self.sharing.instance, *self.sharing.hosts])
        total = len(share.order.slots)
        start = total * names.index(self.sharing.instance) // len(names)
        for position in range(total):
            name, _number = share.order.slots[(start + position) % total]
            if rooms[name]:
                return name
        return None

    def demands(self, service: str) -> dict[str, demand_share.Demand] | None:
        """Returns the demand of all gateways for a service.

        :param service: name of the service
        :return: None if there is only one, or if one doesn't announce any
        """
        others = self.sharing.others
        if not others.hosts or not self.is_announcing:
            return None
        idle = demand_share.Demand()
        demands = {self.sharing.instance: self.announced.get(service, idle)}
        for name in others.hosts:
            peer = others.peers.get(name)
            if peer is None:
                demands[name] = idle
            elif peer.rooms is None:
                return None
            else:
                demands[name] = peer.rooms.get(service, idle)
        return demands

    def find_urgent(
        self,
        service: str,
        share: ServiceShare,
        demands: typing.Mapping[str, demand_share.Demand],
        division: demand_share.Division,
        since_ms: int,
    ) -> None:
        """Finds the most urgent request that waits at another gateway.

        One that has a share and runs nothing could start its requests itself,
        and one that is silent may have started them.

        :param service: name of the service
        :param share: its share, which is changed
        :param demands: demand by gateway
        :param division: how the slots are divided
        :param since_ms: one that wasn't heard since then is silent
        """
        found = []
        for name, demand in demands.items():
            urgency = demand.most_urgent
            if (
                urgency is not None
                and name != self.sharing.instance
                and self.sharing.others.was_heard(name, since_ms)
                and (demand.running or not division.quotas[name])
            ):
                found.append(urgency)
        share.urgent_elsewhere = min(found, default=None)
