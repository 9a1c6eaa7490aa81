"""Shares teams' allowances among gateways by what each is asked for.

The load that it answers: a balancer that spreads callers unevenly, and a
team that sends many times its usual through few gateways. Equal parts would
refuse at one gateway what another leaves unused.
"""

import dataclasses
import math
import typing

from godwitloft import clock as clocks
from godwitloft.gateway import allowance
from godwitloft.gateway import demand as demands
from godwitloft.gateway import model
from godwitloft.links import datagrams
from godwitloft.links.generated.datagrams import ttypes

ANNOUNCE_INTERVAL_MS = 250
# With more gateways, each tells the others less often, so that what is told
# doesn't grow with their square.
GATEWAYS_AT_FULL_RATE = 16
MAX_ANNOUNCE_INTERVAL_MS = 600
# Tellings for want of what was set aside: so many at once, and one more after
# each interval.
MAX_EXTRA_ANNOUNCEMENTS = 4
EXTRA_ANNOUNCE_INTERVAL_MS = 50
# Of what is left, all gateways together may use this part before they tell.
UNANNOUNCED_SHARE = 0.5
PEER_TIMEOUT_MS = 2_000
# A gateway sets aside what it is asked for in so many intervals.
RESERVED_INTERVALS = 1.5
# Parts of an equal share of the rate that count as a gateway's demand besides
# what it is asked for, so that a gateway that was idle gets a part as well.
BASE_DEMAND_SHARE = 1.0
# Use is written down before this part of an equal share of a limit is used.
MAX_UNSAVED_SHARE = 0.25
MAX_TEAMS_ANNOUNCED = 20
MAX_CRASHES_ANNOUNCED = 20
MIN_DEMAND = 1.0

# Tokens used, by team and by how long ago, the latest first.
Usage = dict[str, tuple[float, ...]]


@dataclasses.dataclass(frozen=True)
class Peer:
    """What another gateway has told.

    :param demands: tokens a second, by team
    :param committed: tokens used in the window of the limit, with those that
        it has set aside, by team
    :param crashing: fingerprints of requests that crashed upstreams
    :param at_ms: when it was heard
    """

    demands: dict[str, float]
    committed: dict[str, float]
    crashing: tuple[bytes, ...]
    received_ms: int


class Sharing:
    """What this gateway and its peers are asked for.

    :param clock: tells the time
    :param send: sends a datagram to an address
    :param instance: name of this gateway
    :param port: on which gateways listen
    :param tolerance: of the limits
    """

    def __init__(
        self,
        clock: clocks.Clock,
        send: typing.Callable[[bytes, datagrams.Address], None],
        instance: str,
        port: int,
        tolerance: allowance.Tolerance,
    ) -> None:
        self.tolerance = tolerance
        self.windows: dict[str, allowance.Window] = {}
        # Announced to peers, and not yet used.
        self.reserved: dict[str, float] = {}
        # Used since the last telling, and not announced.
        self.unannounced: dict[str, float] = {}
        self.must_announce = False
        # Used since usage was last written down.
        self.unsaved: dict[str, float] = {}
        # When the extra tellings that were made will have been made up for.
        self.extra_until_ms = 0
        self.teams: dict[str, model.Team] = {}
        self.crashing: tuple[bytes, ...] = ()
        self.restored = False
        self.clock = clock
        self.send = send
        self.instance = instance
        self.port = port
        self.demands: dict[str, demands.Demand] = {}
        self.last_announced_ms = 0
        self.hosts: dict[str, str] = {}
        self.peers: dict[str, Peer] = {}

    def update_gateways(self, hosts: dict[str, str]) -> None:
        """Takes the gateways that hold a lease, without this one.

        One that is heard counts as well, as it may be parted from the store
        only.

        :param hosts: IP number by instance
        """
        now_ms = self.clock.monotonic_ms()
        alive = {
            name: host
            for name, host in self.hosts.items()
            if self.is_alive(name, now_ms)
        }
        if hosts.keys() - self.hosts.keys():
            self.must_announce = True
        self.hosts = alive | hosts
        length_ms = self.tolerance.window_ms
        for name, peer in list(self.peers.items()):
            if (
                name not in self.hosts
                and now_ms - peer.received_ms > length_ms
            ):
                del self.peers[name]

    @property
    def gateways(self) -> int:
        """How many gateways hold a lease, with this one."""
        return 1 + len(self.hosts)

    def record_demand(self, team: model.Team, tokens: float) -> None:
        """Counts a request of a team.

        :param team: whose request
        :param tokens: its size
        """
        demand = self.demands.setdefault(team.name, demands.Demand())
        demand.add(tokens, self.clock.monotonic_ms())

    def demand_of(self, team: str, now_ms: int) -> float:
        """Returns what a team asks of this gateway.

        :param team: its name
        :param now_ms: the time
        :return: tokens a second
        """
        demand = self.demands.get(team)
        return demand.per_s(now_ms) if demand is not None else 0.0

    def fraction(self, team: model.Team) -> float:
        """Returns the part of a team's allowance that is this gateway's.

        :param team: whose allowance
        :return: from 0 to 1
        """
        now_ms = self.clock.monotonic_ms()
        kept = max(
            MIN_DEMAND, BASE_DEMAND_SHARE * team.tokens_per_s / self.gateways
        )
        own = kept + self.demand_of(team.name, now_ms)
        total = own
        for name in self.hosts:
            if self.is_alive(name, now_ms):
                total += kept + self.peers[name].demands.get(team.name, 0.0)
        return own / total

    def window(self, team: str) -> allowance.Window:
        """Returns what this gateway has used of an allowance.

        :param team: name of the team
        :return: the window
        """
        window = self.windows.get(team)
        if window is None:
            length_ms = self.tolerance.window_ms + allowance.WINDOW_MARGIN_MS
            window = self.windows[team] = allowance.Window(length_ms)
        return window

    def remaining(self, team: model.Team) -> float:
        """Returns what nobody has used or set aside of an allowance.

        For a gateway that isn't heard, an equal part of the limit is left
        alone, or what it had committed if that is more.

        :param team: whose allowance
        :return: tokens
        """
        now_ms = self.clock.monotonic_ms()
        limit = allowance.window_limit(team, self.tolerance)
        committed = self.window(team.name).total(now_ms)
        committed += self.reserved.get(team.name, 0.0)
        for name in set(self.hosts) | set(self.peers):
            peer = self.peers.get(name)
            peer_committed = (
                peer.committed.get(team.name, 0.0) if peer is not None else 0.0
            )
            if name in self.hosts and not self.is_alive(name, now_ms):
                peer_committed = max(peer_committed, limit / self.gateways)
            committed += peer_committed
        return limit - committed

    def may_exceed_reserved(
        self, team: model.Team, tokens: float, now_ms: int
    ) -> bool:
        """Tells whether more may be used than was set aside.

        What is used so is announced at once. When that would be too often,
        it waits for the next telling, within a part of what is left and of
        what the limit's tolerance has room for.

        :param team: whose allowance
        :param tokens: how many beyond what was set aside
        :param now_ms: the time
        :return: whether they may be used
        """
        remaining = self.remaining(team)
        if tokens > remaining:
            return False
        if self.may_announce_extra(now_ms):
            return True
        spare = allowance.unused_tolerance(team, self.tolerance)
        unannounced = self.unannounced.get(team.name, 0.0)
        quiet = spare + UNANNOUNCED_SHARE * remaining
        return unannounced + tokens <= quiet / self.gateways

    def is_alive(self, name: str, now_ms: int) -> bool:
        """Tells whether a gateway was heard lately.

        :param name: of its instance
        :param now_ms: the time
        :return: whether it was
        """
        peer = self.peers.get(name)
        return (
            peer is not None and now_ms - peer.received_ms <= PEER_TIMEOUT_MS
        )

    def restore(self, used: Usage, age_ms: int) -> None:
        """Takes what an earlier start of this process had used.

        :param used: tokens by age, by team, as :meth:`usage` returned them
        :param age_ms: how long ago
        """
        self.restored = True
        now_ms = self.clock.monotonic_ms()
        for team, sums in used.items():
            self.window(team).restore(sums, now_ms, age_ms)

    def restore_peer(self, name: str, used: Usage, age_ms: int) -> None:
        """Takes what another gateway had used, until it is heard itself.

        Without it, a process that was started anew would take up its equal
        part of a limit that the others have used up meanwhile.

        :param name: of its instance
        :param used: tokens by age, by team
        :param age_ms: how long ago it wrote that down
        """
        if name in self.peers or age_ms > self.tolerance.window_ms:
            return
        received_ms = self.clock.monotonic_ms() - PEER_TIMEOUT_MS - age_ms - 1
        sums = {team: sum(tokens) for team, tokens in used.items()}
        self.peers[name] = Peer({}, sums, (), received_ms)

    def usage(self) -> Usage:
        """Returns what this gateway has used, by team.

        :return: tokens by age, of the teams that used most
        """
        now_ms = self.clock.monotonic_ms()
        return {
            team: self.windows[team].by_age(now_ms)
            for team, _used in self.largest_uses(now_ms)
        }

    def mark_saved(self) -> None:
        """Notes that :meth:`usage` is about to be written down."""
        self.unsaved.clear()

    def needs_saving(self) -> bool:
        """Tells whether much was used since usage was written down.

        :return: whether it should be written down soon
        """
        return any(
            tokens
            > MAX_UNSAVED_SHARE
            * allowance.window_limit(self.teams[name], self.tolerance)
            / self.gateways
            for name, tokens in self.unsaved.items()
        )

    def largest_uses(self, now_ms: int) -> list[tuple[str, float]]:
        """Returns the teams that used most, with how much.

        :param now_ms: the time
        :return: names and tokens in the window
        """
        uses = [
            (team, window.total(now_ms))
            for team, window in self.windows.items()
        ]
        uses.sort(key=lambda use: -use[1])
        return uses[:MAX_TEAMS_ANNOUNCED]

    def take(self, team: model.Team, tokens: float) -> allowance.Use | None:
        """Uses a part of an allowance.

        :param team: whose allowance
        :param tokens: how many
        :return: the use, None if too little is left
        """
        self.teams[team.name] = team
        self.record_demand(team, tokens)
        now_ms = self.clock.monotonic_ms()
        own = self.reserved.get(team.name, 0.0)
        excess = tokens - own
        if excess > 0:
            if not self.may_exceed_reserved(team, excess, now_ms):
                return None
            self.unannounced[team.name] = (
                self.unannounced.get(team.name, 0.0) + excess
            )
            self.must_announce = True
        self.reserved[team.name] = max(0.0, -excess)
        self.unsaved[team.name] = self.unsaved.get(team.name, 0.0) + tokens
        use = self.window(team.name).add(tokens, now_ms)
        self.announce_if_due(self.crashing)
        return use

    def move_to_now(
        self, team: model.Team, use: allowance.Use
    ) -> allowance.Use:
        """Counts a use from now on, because it takes place now.

        :param team: whose allowance
        :param use: what :meth:`take` returned
        :return: the use in its place
        """
        window = self.window(team.name)
        tokens = use.tokens
        window.take_back(use)
        return window.add(tokens, self.clock.monotonic_ms())

    def announce_interval_ms(self) -> int:
        """Returns how often peers are told."""
        interval_ms = (
            ANNOUNCE_INTERVAL_MS * self.gateways // GATEWAYS_AT_FULL_RATE
        )
        return min(
            MAX_ANNOUNCE_INTERVAL_MS, max(ANNOUNCE_INTERVAL_MS, interval_ms)
        )

    def announce_if_due(self, crashing: tuple[bytes, ...]) -> None:
        """Tells all peers, if the last time is long enough ago.

        :param crashing: fingerprints of requests that crashed upstreams
        """
        self.crashing = crashing
        now_ms = self.clock.monotonic_ms()
        if now_ms - self.last_announced_ms >= self.announce_interval_ms():
            self.announce(now_ms)
        elif self.must_announce and self.may_announce_extra(now_ms):
            begin_ms = max(now_ms, self.extra_until_ms)
            self.extra_until_ms = begin_ms + EXTRA_ANNOUNCE_INTERVAL_MS
            if self.unannounced:
                self.announce_excess(now_ms)
            else:
                self.announce(now_ms)

    def may_announce_extra(self, now_ms: int) -> bool:
        """Tells whether peers may be told before the next time is due.

        :param now_ms: the time
        :return: whether there were not too many extra tellings
        """
        ahead_ms = self.extra_until_ms - now_ms
        return (
            ahead_ms
            <= (MAX_EXTRA_ANNOUNCEMENTS - 1) * EXTRA_ANNOUNCE_INTERVAL_MS
        )

    def announce(self, now_ms: int) -> None:
        """Tells all peers what this gateway is asked for.

        :param now_ms: the time
        """
        for team in self.teams.values():
            self.reserved[team.name] = self.next_reservation(team, now_ms)
        team_demands = [
            self.team_demand(name, used, now_ms)
            for name, used in self.largest_uses(now_ms)
            if self.is_active(name, used, now_ms)
        ]
        crashing = list(self.crashing[-MAX_CRASHES_ANNOUNCED:])
        self.last_announced_ms = now_ms
        self.send_to_peers(team_demands, crashing, partial=False)

    def announce_excess(self, now_ms: int) -> None:
        """Tells all peers of the teams that used more than was announced.

        :param now_ms: the time
        """
        for name in self.unannounced:
            team = self.teams[name]
            self.reserved[name] = self.next_reservation(team, now_ms)
        team_demands = [
            self.team_demand(name, self.window(name).total(now_ms), now_ms)
            for name in self.unannounced
        ]
        self.send_to_peers(team_demands, [], partial=True)

    def team_demand(
        self, team: str, used: float, now_ms: int
    ) -> ttypes.TeamDemand:
        """Returns what peers are told of a team.

        :param team: its name
        :param used: tokens in the window
        :param now_ms: the time
        :return: a part of a datagram
        """
        return ttypes.TeamDemand(
            team=team,
            tokens_per_s=math.ceil(self.demand_of(team, now_ms)),
            committed=math.ceil(used + self.reserved.get(team, 0.0)),
        )

    def send_to_peers(
        self,
        team_demands: list[ttypes.TeamDemand],
        crashing: list[bytes],
        partial: bool,
    ) -> None:
        """Sends a datagram to all peers.

        :param wanted: what is told of teams
        :param crashing: fingerprints of requests that crashed upstreams
        :param partial: whether other teams are as they were told before
        """
        self.must_announce = False
        self.unannounced.clear()
        sharing = ttypes.Sharing(
            gateway=self.instance,
            demands=team_demands,
            crashing=crashing,
            partial=partial or None,
        )
        data = datagrams.encode(sharing=sharing)
        for host in self.hosts.values():
            self.send(data, (host, self.port))

    def next_reservation(self, team: model.Team, now_ms: int) -> float:
        """Returns what to set aside until peers are told again.

        :param team: whose allowance
        :param now_ms: the time
        :return: tokens
        """
        interval_s = self.announce_interval_ms() / clocks.MS_PER_S
        demand = self.demand_of(team.name, now_ms)
        requested = RESERVED_INTERVALS * interval_s * demand
        free = self.remaining(team) + self.reserved.get(team.name, 0.0)
        return max(0.0, min(requested, self.fraction(team) * free))

    def is_active(self, team: str, used: float, now_ms: int) -> bool:
        """Tells whether peers have to know of a team.

        One that was only refused here counts: its demand decides how the
        allowance is divided.

        :param team: its name
        :param used: tokens in the window
        :param now_ms: the time
        :return: whether it used or asked for something lately
        """
        demand = self.demand_of(team, now_ms)
        return used > 0 or demand >= MIN_DEMAND

    def on_announcement(self, sharing: ttypes.Sharing, host: str) -> None:
        """Takes what a peer tells.

        :param sharing: its datagram
        :param host: IP number of the sender
        """
        self.hosts.setdefault(sharing.gateway, host)
        previous = self.peers.get(sharing.gateway)
        rates = {
            demand.team: demand.tokens_per_s for demand in sharing.demands
        }
        committed = {
            demand.team: demand.committed for demand in sharing.demands
        }
        crashing = tuple(sharing.crashing)
        if sharing.partial and previous is not None:
            rates = previous.demands | rates
            committed = previous.committed | committed
            crashing = previous.crashing
        self.peers[sharing.gateway] = Peer(
            demands=rates,
            committed=committed,
            crashing=crashing,
            received_ms=self.clock.monotonic_ms(),
        )

    def peer_crashes(self, fingerprint: bytes) -> int:
        """Returns how often peers saw a request crash an upstream.

        :param fingerprint: of the request
        :return: number of crashes
        """
        return sum(
            peer.crashing.count(fingerprint) for peer in self.peers.values()
        )
