"""Divides teams' allowances among gateways according to their demand.

A balancer may spread callers unevenly, and a team may send many times its
usual load through few gateways. With equal shares, one gateway would refuse
requests while another leaves its share unused.

Each gateway reserves tokens for its expected demand. In datagrams it announces
to its peers, the other gateways, its demand and its committed tokens: those
used in the window of the limit plus those reserved.
"""

import dataclasses
import enum
import hashlib
import math
import typing

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway import allowance
from godwitloft.gateway import demand as demands
from godwitloft.gateway import former_use
from godwitloft.gateway import model
from godwitloft.gateway import peer_status
from godwitloft.links import datagrams
from godwitloft.links.generated.datagrams import ttypes

ANNOUNCE_INTERVAL_MS = 250
# Above this number, gateways announce less often, as the number of datagrams
# grows with the square of the number of gateways.
GATEWAYS_AT_FULL_RATE = 16
MAX_ANNOUNCE_INTERVAL_MS = 600
# Early announcements are sent before the regular time when a gateway uses more
# than it reserved or learns of a new gateway. They are limited to a burst of
# this many, refilled by one after each interval.
MAX_EARLY_ANNOUNCEMENTS = 4
EARLY_ANNOUNCE_INTERVAL_MS = 50
# Share of the remaining allowance that all gateways together may use without
# having announced it.
UNANNOUNCED_SHARE = 0.5
# With this part of its limit or more remaining, a team can't reach its limit
# before the next regular announcements.
FAR_BELOW_LIMIT_SHARE = 0.5
PEER_TIMEOUT_MS = 2_000
# Number of announcement intervals whose demand a gateway reserves.
RESERVED_INTERVALS = 1.5
# Added to each gateway's demand, as a multiple of an equal share of the rate,
# so that an idle gateway gets a part of the allowance as well.
BASE_DEMAND_SHARE = 1.0
# Usage is saved before more than this part of an equal share of a limit has
# been used since the last save.
MAX_UNSAVED_SHARE = 0.25
MAX_TEAMS_ANNOUNCED = 20
MIN_DEMAND = 1.0
MAX_PLACES = 1_000
MAX_NAMES_LOGGED = 20

# Tokens used by each team in consecutive intervals, the latest first.
Usage = dict[str, tuple[float, ...]]


@dataclasses.dataclass(frozen=True)
class Peer:
    """State of another gateway according to its last announcement.

    :param demands: tokens per second, by team
    :param committed: tokens used in the window of the limit plus reserved
        tokens, by team
    :param received_ms: when the announcement was received
    :param usage_lost: whether it does not know what it had used before it was
        restarted
    """

    demands: dict[str, float]
    committed: dict[str, float]
    received_ms: int
    usage_lost: bool = False


class ExcessUse(enum.Enum):
    """Whether tokens may be used that were not reserved."""

    REFUSED = "refused"
    ANNOUNCED_EARLY = "announced early"
    ANNOUNCED_LATER = "announced later"


class Sharing:
    """Allowance usage and demand of this gateway and its peers.

    :param clock: source of the time
    :param send: sends a datagram to an address
    :param instance: name of this gateway
    :param port: UDP port on which gateways listen
    :param tolerance: by how much teams may exceed their limits
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
        # Tokens announced to peers and not yet used, by team.
        self.reserved: dict[str, float] = {}
        # Tokens used since the last announcement beyond the reserved ones, by
        # team.
        self.unannounced: dict[str, float] = {}
        self.must_announce = False
        # Tokens used since usage was last saved, by team.
        self.unsaved: dict[str, float] = {}
        # When a full burst of early announcements is available again.
        self.early_until_ms = 0
        self.teams: dict[str, model.Team] = {}
        self.restored = False
        self.is_use_lost = False
        # Whether it was logged that allowances may be granted.
        self.is_begin_logged = False
        self.former_uses = former_use.FormerUses(clock, tolerance.window_ms)
        self.clock = clock
        self.send = send
        self.instance = instance
        self.port = port
        self.demands: dict[str, demands.Demand] = {}
        self.last_announced_ms = 0
        self.hosts: dict[str, str] = {}
        # What place() has returned for these hosts, by subject.
        self.places: dict[str, int] = {}
        self.peers: dict[str, Peer] = {}
        self.own_status: typing.Callable[[], peer_status.PeerStatus] = (
            peer_status.PeerStatus
        )
        self.on_peer_status: typing.Callable[
            [peer_status.PeerStatus], None
        ] = _ignore_status

    def update_gateways(self, hosts: dict[str, str]) -> None:
        """Updates the list of the other gateways.

        A gateway that has sent an announcement lately is kept even without a
        lease, as it may only be disconnected from the store.

        :param hosts: IP numbers of the gateways that hold a lease, without
            this one, by instance
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
        self.places.clear()
        length_ms = self.tolerance.window_ms
        for name, peer in list(self.peers.items()):
            if (
                name not in self.hosts
                and now_ms - peer.received_ms > length_ms
            ):
                del self.peers[name]

    @property
    def gateways(self) -> int:
        """Number of gateways, including this one."""
        return 1 + len(self.hosts)

    def record_demand(self, team: model.Team, tokens: float) -> None:
        """Adds a request to a team's demand.

        :param team: the team that sent the request
        :param tokens: size of the request
        """
        demand = self.demands.setdefault(team.name, demands.Demand())
        demand.add(tokens, self.clock.monotonic_ms())

    def demand_of(self, team: str, now_ms: int) -> float:
        """Returns a team's demand at this gateway.

        :param team: name of the team
        :param now_ms: the current time
        :return: tokens per second
        """
        demand = self.demands.get(team)
        return demand.per_s(now_ms) if demand is not None else 0.0

    def fraction(self, team: model.Team) -> float:
        """Returns this gateway's share of a team's remaining allowance.

        :param team: the team
        :return: from 0 to 1, in proportion to the gateways' demands
        """
        now_ms = self.clock.monotonic_ms()
        base_demand = max(
            MIN_DEMAND, BASE_DEMAND_SHARE * team.tokens_per_s / self.gateways
        )
        own = base_demand + self.demand_of(team.name, now_ms)
        total = own
        since_ms = now_ms - PEER_TIMEOUT_MS
        for name in self.hosts:
            peer = self.peers.get(name)
            if peer is not None and peer.received_ms >= since_ms:
                total += base_demand + peer.demands.get(team.name, 0.0)
        return own / total

    def window(self, team: str) -> allowance.Window:
        """Returns the sliding window of a team's usage at this gateway.

        :param team: name of the team
        :return: the window, created if needed
        """
        window = self.windows.get(team)
        if window is None:
            length_ms = self.tolerance.window_ms + allowance.WINDOW_MARGIN_MS
            window = self.windows[team] = allowance.Window(length_ms)
        return window

    def remaining(self, team: model.Team) -> float:
        """Returns the part of an allowance that no gateway has committed.

        A gateway whose announcements have stopped counts with an equal share
        of the limit, or with its last committed tokens if those are more.

        :param team: the team
        :return: tokens, negative if the limit is exceeded
        """
        now_ms = self.clock.monotonic_ms()
        limit = allowance.window_limit(team, self.tolerance)
        committed = self.window(team.name).total(now_ms)
        committed += self.reserved.get(team.name, 0.0)
        equal_share = limit / self.gateways
        since_ms = now_ms - PEER_TIMEOUT_MS
        for name, peer in self.peers.items():
            peer_committed = peer.committed.get(team.name, 0.0)
            if peer.received_ms < since_ms and name in self.hosts:
                peer_committed = max(peer_committed, equal_share)
            committed += peer_committed
        committed += equal_share * len(self.hosts.keys() - self.peers.keys())
        committed += self.former_uses.committed(team.name, now_ms)
        if self.is_usage_lost():
            return 0.0
        return limit - committed

    def is_usage_lost(self) -> bool:
        """Returns whether own use before a restart is still to be learned.

        :return: whether peers may still tell it; never without peers
        """
        return bool(self.hosts) and self.former_uses.is_own_unknown()

    def is_ready(self) -> bool:
        """Returns whether it is known what this gateway and its peers know.

        :return: whether allowances can be granted, and a peer was heard or
            had time to speak
        """
        if not self.restored:
            return False
        return not self.hosts or self.former_uses.has_settled()

    def use_of_excess(
        self, team: model.Team, tokens: float, now_ms: int
    ) -> ExcessUse:
        """Decides whether more tokens may be used than were reserved.

        Such a use is announced early if the limit on early announcements
        permits it. Otherwise it is announced later, and until then such uses
        may not exceed this gateway's equal share of the unused tolerance plus
        a part of the remaining allowance. Within that share, a use of a team
        that is far below its limit needs no early announcement, whose cost
        grows with the number of gateways.

        :param team: the team
        :param tokens: number of tokens in excess of the reserved ones
        :param now_ms: the current time
        :return: whether they may be used, and when that is announced
        """
        remaining = self.remaining(team)
        if tokens > remaining:
            return ExcessUse.REFUSED
        spare = allowance.unused_tolerance(team, self.tolerance)
        unannounced = self.unannounced.get(team.name, 0.0)
        max_unannounced = spare + UNANNOUNCED_SHARE * remaining
        fits = unannounced + tokens <= max_unannounced / self.gateways
        limit = allowance.window_limit(team, self.tolerance)
        may_wait = (
            remaining >= FAR_BELOW_LIMIT_SHARE * limit
            and len(self.unannounced) < MAX_TEAMS_ANNOUNCED
        )
        if fits and may_wait:
            return ExcessUse.ANNOUNCED_LATER
        if fits or self.may_announce_early(now_ms):
            return ExcessUse.ANNOUNCED_EARLY
        return ExcessUse.REFUSED

    def place(self, subject: str) -> int:
        """Returns the place of this gateway among all gateways.

        :param subject: text for which the order is made
        :return: from 0 on
        """
        found = self.places.get(subject)
        if found is None:
            if len(self.places) >= MAX_PLACES:
                self.places.clear()
            own = order(subject, self.instance)
            found = sum(order(subject, name) < own for name in self.hosts)
            self.places[subject] = found
        return found

    def is_alive(self, name: str, now_ms: int) -> bool:
        """Returns whether a gateway has sent an announcement lately.

        :param name: name of its instance
        :param now_ms: the current time
        :return: whether one arrived within :data:`PEER_TIMEOUT_MS`
        """
        return self.was_heard(name, now_ms - PEER_TIMEOUT_MS)

    def was_heard(self, name: str, since_ms: int) -> bool:
        """Returns whether a gateway has sent an announcement since a time.

        :param name: name of its instance
        :param since_ms: the time
        """
        peer = self.peers.get(name)
        return peer is not None and peer.received_ms >= since_ms

    def hears_majority(self, since_ms: int) -> bool:
        """Returns whether most gateways have announced themselves since then.

        :param since_ms: the time
        :return: whether more than half did, counting this one
        """
        heard = 1 + sum(self.was_heard(name, since_ms) for name in self.hosts)
        return 2 * heard > self.gateways

    def restore(self, used: Usage | None, age_ms: int) -> None:
        """Restores the usage saved before this process was restarted.

        :param used: as :meth:`usage` returned it, None if nothing is saved:
            this instance is new, or a restore of the store has cut it back
        :param age_ms: how long ago it was saved
        """
        self.is_use_lost = used is None
        if used is None:
            events.log(events.USE_LOST, peers=len(self.hosts))
        now_ms = self.clock.monotonic_ms()
        for team, sums in (used or {}).items():
            self.window(team).restore(sums, now_ms, age_ms)
        events.log(
            events.USE_RESTORED,
            age_ms=age_ms if used is not None else None,
            used={
                team: round(tokens)
                for team, tokens in self.largest_uses(now_ms)
            },
            of_peers=sorted(self.peers)[:MAX_NAMES_LOGGED],
        )

    def join(self) -> None:
        """Joins the other gateways, once each is known here or knows this one.

        Called once, when the usage is restored.
        """
        self.restored = True
        self.must_announce = True
        self.former_uses.start_listening(self.is_use_lost)

    def restore_peer(self, name: str, used: Usage, age_ms: int) -> None:
        """Restores another gateway's saved usage until it announces itself.

        Without it, a restarted process would use its equal share of a limit
        that the others have already used up.

        :param name: name of its instance
        :param used: tokens by age, by team
        :param age_ms: how long ago the other gateway saved its usage
        """
        if name in self.peers or age_ms > self.tolerance.window_ms:
            return
        received_ms = self.clock.monotonic_ms() - PEER_TIMEOUT_MS - age_ms - 1
        sums = {team: sum(tokens) for team, tokens in used.items()}
        self.peers[name] = Peer({}, sums, received_ms)

    def usage(self) -> Usage:
        """Returns this gateway's usage, to be saved.

        :return: tokens by age of the teams that used most, by team
        """
        now_ms = self.clock.monotonic_ms()
        return {
            team: self.windows[team].by_age(now_ms)
            for team, _used in self.largest_uses(now_ms)
        }

    def mark_saved(self) -> None:
        """Records that :meth:`usage` is about to be saved."""
        self.unsaved.clear()

    def needs_saving(self) -> bool:
        """Returns whether much was used since usage was last saved.

        :return: whether usage should be saved soon
        """
        return any(
            tokens
            > MAX_UNSAVED_SHARE
            * allowance.window_limit(self.teams[name], self.tolerance)
            / self.gateways
            for name, tokens in self.unsaved.items()
        )

    def largest_uses(self, now_ms: int) -> list[tuple[str, float]]:
        """Returns the teams that used most.

        :param now_ms: the current time
        :return: team names and tokens used in the window, the largest first
        """
        uses = [
            (team, window.total(now_ms))
            for team, window in self.windows.items()
        ]
        uses.sort(key=lambda use: -use[1])
        return uses[:MAX_TEAMS_ANNOUNCED]

    def take(self, team: model.Team, tokens: float) -> allowance.Use | None:
        """Uses a part of a team's allowance.

        :param team: the team
        :param tokens: number of tokens
        :return: the use, None if the remaining allowance is too small
        """
        self.teams[team.name] = team
        self.record_demand(team, tokens)
        now_ms = self.clock.monotonic_ms()
        own = self.reserved.get(team.name, 0.0)
        excess = tokens - own
        if excess > 0:
            use_of_excess = self.use_of_excess(team, excess, now_ms)
            if use_of_excess is ExcessUse.REFUSED:
                return None
            self.unannounced[team.name] = (
                self.unannounced.get(team.name, 0.0) + excess
            )
            if use_of_excess is ExcessUse.ANNOUNCED_EARLY:
                self.must_announce = True
        self.reserved[team.name] = max(0.0, -excess)
        self.unsaved[team.name] = self.unsaved.get(team.name, 0.0) + tokens
        use = self.window(team.name).add(tokens, now_ms)
        self.announce_if_due()
        return use

    def move_to_now(
        self, team: model.Team, use: allowance.Use
    ) -> allowance.Use:
        """Counts a use at the current time instead of its earlier time.

        Called when the request is sent, which may be long after it arrived.

        :param team: the team
        :param use: what :meth:`take` returned
        :return: the use that replaces it
        """
        window = self.window(team.name)
        tokens = use.tokens
        window.take_back(use)
        return window.add(tokens, self.clock.monotonic_ms())

    def announce_interval_ms(self) -> int:
        """Returns the time between regular announcements."""
        interval_ms = (
            ANNOUNCE_INTERVAL_MS * self.gateways // GATEWAYS_AT_FULL_RATE
        )
        return min(
            MAX_ANNOUNCE_INTERVAL_MS, max(ANNOUNCE_INTERVAL_MS, interval_ms)
        )

    def announce_if_due(self) -> None:
        """Sends an announcement to all peers if one is due."""
        now_ms = self.clock.monotonic_ms()
        self.log_begin(now_ms)
        if now_ms - self.last_announced_ms >= self.announce_interval_ms():
            self.announce(now_ms)
        elif self.must_announce and self.may_announce_early(now_ms):
            begin_ms = max(now_ms, self.early_until_ms)
            self.early_until_ms = begin_ms + EARLY_ANNOUNCE_INTERVAL_MS
            if self.unannounced:
                self.announce_excess(now_ms)
            else:
                self.announce(now_ms)

    def log_begin(self, now_ms: int) -> None:
        """Logs once that allowances may be granted, and which peers spoke.

        :param now_ms: the current time
        """
        if self.is_begin_logged or not self.is_ready():
            return
        self.is_begin_logged = True
        heard = [name for name in self.hosts if self.is_alive(name, now_ms)]
        events.log(
            events.GRANTS_BEGIN,
            listed=sorted(self.hosts)[:MAX_NAMES_LOGGED],
            heard=sorted(heard)[:MAX_NAMES_LOGGED],
        )

    def may_announce_early(self, now_ms: int) -> bool:
        """Returns whether an early announcement may be sent.

        :param now_ms: the current time
        :return: whether the burst of early announcements isn't used up
        """
        ahead_ms = self.early_until_ms - now_ms
        return (
            ahead_ms
            <= (MAX_EARLY_ANNOUNCEMENTS - 1) * EARLY_ANNOUNCE_INTERVAL_MS
        )

    def announce(self, now_ms: int) -> None:
        """Sends demand and committed tokens of active teams to all peers.

        Only the teams that used most are included.

        :param now_ms: the current time
        """
        for team in self.teams.values():
            self.reserved[team.name] = self.next_reservation(team, now_ms)
        uses = dict(self.largest_uses(now_ms))
        # Peers must hear of these, however little their teams have used.
        for name in self.unannounced:
            uses[name] = self.window(name).total(now_ms)
        team_demands = [
            self.team_demand(name, used, now_ms)
            for name, used in uses.items()
            if self.is_active(name, used, now_ms)
        ]
        self.last_announced_ms = now_ms
        self.send_to_peers(team_demands, partial=False)

    def announce_excess(self, now_ms: int) -> None:
        """Announces only the teams that used more than was announced.

        :param now_ms: the current time
        """
        for name in self.unannounced:
            team = self.teams[name]
            self.reserved[name] = self.next_reservation(team, now_ms)
        team_demands = [
            self.team_demand(name, self.window(name).total(now_ms), now_ms)
            for name in self.unannounced
        ]
        self.send_to_peers(team_demands, partial=True)

    def team_demand(
        self, team: str, used: float, now_ms: int
    ) -> ttypes.TeamDemand:
        """Returns the entry of one team in an announcement.

        :param team: name of the team
        :param used: tokens used in the window
        :param now_ms: the current time
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
        partial: bool,
    ) -> None:
        """Sends a datagram to all peers.

        :param team_demands: demands and committed tokens of teams
        :param partial: whether teams that are missing are unchanged
        """
        self.must_announce = False
        self.unannounced.clear()
        sharing = ttypes.Sharing(
            gateway=self.instance,
            demands=team_demands,
            crashing=[],
            partial=partial or None,
        )
        if self.is_usage_lost():
            sharing.usage_lost = True
        peer_status.encode(self.own_status(), sharing)
        data = datagrams.encode(sharing=sharing)
        for host in self.hosts.values():
            self.send(data, (host, self.port))

    def next_reservation(self, team: model.Team, now_ms: int) -> float:
        """Returns what to reserve until the next regular announcement.

        :param team: the team
        :param now_ms: the current time
        :return: tokens
        """
        interval_s = self.announce_interval_ms() / clocks.MS_PER_S
        demand = self.demand_of(team.name, now_ms)
        requested = RESERVED_INTERVALS * interval_s * demand
        free = self.remaining(team) + self.reserved.get(team.name, 0.0)
        return max(0.0, min(requested, self.fraction(team) * free))

    def is_active(self, team: str, used: float, now_ms: int) -> bool:
        """Returns whether a team must be included in announcements.

        A team whose requests were all refused here is included as well, as
        the demand determines how the allowance is divided.

        :param team: name of the team
        :param used: tokens used in the window
        :param now_ms: the current time
        :return: whether it has used or requested tokens lately
        """
        demand = self.demand_of(team, now_ms)
        return used > 0 or demand >= MIN_DEMAND

    def on_announcement(self, sharing: ttypes.Sharing, host: str) -> None:
        """Stores a peer's announcement.

        :param sharing: the received datagram
        :param host: IP number of the sender
        """
        if sharing.gateway not in self.hosts:
            self.hosts[sharing.gateway] = host
            self.places.clear()
            events.log(events.PEER_FOUND, gateway=sharing.gateway)
        previous = self.peers.get(sharing.gateway)
        rates = {
            demand.team: max(0, demand.tokens_per_s)
            for demand in sharing.demands
        }
        committed = {
            demand.team: max(0, demand.committed) for demand in sharing.demands
        }
        self.former_uses.heard_peer = True
        usage_lost = bool(sharing.usage_lost)
        if usage_lost and previous is not None and not previous.usage_lost:
            self.tell_former_use(sharing.gateway, previous, host)
            previous = None
        if sharing.former:
            self.former_uses.learn_own(sharing.former)
            events.log(
                events.USE_TOLD,
                gateway=sharing.gateway,
                teams=sorted(use.team for use in sharing.former),
            )
        if sharing.partial and previous is not None:
            rates = previous.demands | rates
            committed = previous.committed | committed
        self.peers[sharing.gateway] = Peer(
            demands=rates,
            committed=committed,
            received_ms=self.clock.monotonic_ms(),
            usage_lost=usage_lost,
        )
        self.on_peer_status(peer_status.decode(sharing))

    def tell_former_use(self, name: str, previous: Peer, host: str) -> None:
        """Keeps what a peer had used before its restart, and tells it.

        :param name: name of its instance
        :param previous: its state before
        :param host: its IP number
        """
        former = self.former_uses.keep(
            name, previous.committed, previous.received_ms
        )
        answer = ttypes.Sharing(
            gateway=self.instance,
            demands=[],
            crashing=[],
            partial=True,
            former=former,
        )
        self.send(datagrams.encode(sharing=answer), (host, self.port))


def order(subject: str, instance: str) -> bytes:
    """Returns the sort key of a gateway in the order for a subject.

    :param subject: text for which the order is made
    :param instance: name of the gateway's instance
    """
    text = f"{subject}/{instance}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def _ignore_status(_status: peer_status.PeerStatus) -> None:
    pass
