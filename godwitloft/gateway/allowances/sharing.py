"""Divides teams' allowances among gateways according to their demand.

A balancer may spread callers unevenly, and a team may send many times its
usual load through few gateways. With equal shares, one gateway would refuse
requests while another leaves its share unused.

Each gateway reserves tokens for its expected demand. In datagrams it announces
to its peers, the other gateways, its demand and its committed tokens: those
used in the window of the limit plus those reserved.
"""

import enum
import heapq
import math
import typing

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway import model
from godwitloft.gateway.allowances import allowance
from godwitloft.gateway.allowances import announce_times
from godwitloft.gateway.allowances import announcer
from godwitloft.gateway.allowances import former_use
from godwitloft.gateway.allowances import gateway_list
from godwitloft.gateway.allowances import grant_start
from godwitloft.gateway.allowances import own_use
from godwitloft.gateway.allowances import peer_use
from godwitloft.gateway.allowances import unseen
from godwitloft.gateway.peers import peer_status
from godwitloft.links import datagrams
from godwitloft.links.generated.datagrams import ttypes

# Share of the remaining allowance that all gateways together may use without
# having announced it.
UNANNOUNCED_SHARE = 0.5
# With this part of its limit or more remaining, a team can't reach its limit
# before the next regular announcements.
FAR_BELOW_LIMIT_SHARE = 0.5
# Number of announcement intervals whose demand a gateway reserves.
RESERVED_INTERVALS = 1.5
# Added to each gateway's demand, as a multiple of an equal share of the rate,
# so that an idle gateway gets a part of the allowance as well.
BASE_DEMAND_SHARE = 1.0
MAX_TEAMS_ANSWERED = 200
Usage = former_use.Usage


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
        self.own = own_use.OwnUse(clock, tolerance)
        self.others = gateway_list.GatewayList(clock, instance)
        self.peer_use = peer_use.PeerUse(
            clock, self.others, tolerance.counted_ms
        )
        self.start = grant_start.GrantStart(
            clock,
            self.own,
            self.others,
            self.peer_use,
            self.announce_soon,
            self.drop_reserved,
        )
        self.announcer = announcer.Announcer(
            clock, send, instance, port, self.start
        )
        # Tokens announced to peers and not yet used, by team.
        self.reserved: dict[str, float] = {}
        # Tokens used since the last announcement beyond the reserved ones, by
        # team.
        self.unannounced: dict[str, float] = {}
        # Tokens lately committed, by team.
        self.commitments: dict[str, unseen.Commitments] = {}
        self.must_announce = False
        self.early = announce_times.EarlyAnnouncements()
        self.clock = clock
        self.instance = instance
        self.last_announced_ms = 0
        self.on_peer_status: typing.Callable[
            [peer_status.PeerStatus], None
        ] = _ignore_status

    def announce_soon(self) -> None:
        """Announces before the regular time."""
        self.must_announce = True

    def drop_reserved(self) -> None:
        """Drops the reserved tokens, as peers may have used them."""
        self.reserved.clear()

    def update_gateways(self, hosts: dict[str, str]) -> None:
        """Updates the list of the other gateways.

        A gateway that has sent an announcement lately is kept even without a
        lease, as it may only be disconnected from the store.

        :param hosts: IP numbers of the gateways that hold a lease, without
            this one, by instance
        """
        now_ms = self.clock.monotonic_ms()
        since_ms = now_ms - self.tolerance.counted_ms
        if self.others.update(hosts, since_ms):
            self.must_announce = True
        self.peer_use.drop_expired()

    @property
    def hosts(self) -> dict[str, str]:
        """IP numbers of the other gateways, by instance."""
        return self.others.hosts

    @property
    def gateways(self) -> int:
        """Number of gateways, including this one."""
        return self.others.count

    def fraction(self, team: model.Team) -> float:
        """Returns this gateway's share of a team's remaining allowance.

        :param team: the team
        :return: from 0 to 1, in proportion to the gateways' demands
        """
        now_ms = self.clock.monotonic_ms()
        asked, heard = self.peer_use.demand(team.name, now_ms)
        return self.fraction_beside(team, asked, heard, now_ms)

    def fraction_beside(
        self, team: model.Team, asked: float, heard: int, now_ms: int
    ) -> float:
        """Returns this gateway's share beside a demand of its peers.

        :param team: the team
        :param asked: the peers' demand, as
            :meth:`peer_use.PeerUse.demand` returned it
        :param heard: how many of them were heard lately
        :param now_ms: the current time
        :return: from 0 to 1
        """
        base_demand = max(
            own_use.MIN_DEMAND,
            BASE_DEMAND_SHARE * team.tokens_per_s / self.gateways,
        )
        own = base_demand + self.own.demand_of(team.name, now_ms)
        return own / (own + heard * base_demand + asked)

    def window(self, team: str) -> allowance.Window:
        """Returns the sliding window of a team's usage at this gateway.

        :param team: name of the team
        :return: the window, created if needed
        """
        return self.own.window(team)

    def remaining(self, team: model.Team) -> float:
        """Returns the part of an allowance that no gateway has committed.

        A gateway whose announcements have stopped counts with an equal share
        of the limit, or with its last committed tokens if those are more.

        :param team: the team
        :return: tokens, negative if the limit is exceeded
        """
        if self.start.is_starting():
            return 0.0
        now_ms = self.clock.monotonic_ms()
        limit = allowance.window_limit(team, self.tolerance)
        committed = self.own.window(team.name).total(now_ms)
        committed += self.reserved.get(team.name, 0.0)
        committed += self.peer_use.committed(
            team.name, limit / self.gateways, self.gone_ms(), now_ms
        )
        # No peer could tell what is estimated.
        estimate = self.own.add_estimate(team.name, limit, now_ms)
        return limit - committed - estimate

    def gone_ms(self) -> int:
        """Returns the time after which a peer that is silent may be gone."""
        return int(peer_use.GONE_INTERVALS * self.announce_interval_ms())

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
        if tokens > remaining - self.unseen_by(team, remaining, now_ms):
            return ExcessUse.REFUSED
        spare = allowance.unused_tolerance(team, self.tolerance)
        unannounced = self.unannounced.get(team.name, 0.0)
        max_unannounced = spare + UNANNOUNCED_SHARE * remaining
        fits = unannounced + tokens <= max_unannounced / self.gateways
        limit = allowance.window_limit(team, self.tolerance)
        may_wait = (
            remaining >= FAR_BELOW_LIMIT_SHARE * limit
            and len(self.unannounced) < announcer.MAX_TEAMS_ANNOUNCED
        )
        if fits and may_wait:
            return ExcessUse.ANNOUNCED_LATER
        if fits or self.early.may_send(now_ms):
            return ExcessUse.ANNOUNCED_EARLY
        return ExcessUse.REFUSED

    def commit(self, team: str, tokens: float, now_ms: int) -> None:
        """Records that tokens are used or reserved that were not reserved.

        :param team: name of the team
        :param tokens: number of tokens
        :param now_ms: the current time
        """
        self.commitments.setdefault(team, unseen.Commitments()).add(
            tokens, now_ms
        )

    def unseen_by(
        self, team: model.Team, remaining: float, now_ms: int
    ) -> float:
        """Returns what peers may have committed that isn't known here yet.

        In the time that announcements take, peers commit no more than their
        callers ask for, nor more than their part of what remained before.
        What this gateway has committed since then counts within its own part.
        Nothing is held back for as little as the unused tolerance covers.

        :param team: the team
        :param remaining: as :meth:`remaining` returned it
        :param now_ms: the current time
        :return: tokens
        """
        late_ms = self.announcer.round_trips.late_ms(now_ms)
        asked, heard = self.peer_use.demand(team.name, now_ms)
        asked_meanwhile = asked * late_ms / clocks.MS_PER_S
        covered = allowance.unused_tolerance(team, self.tolerance)
        if asked_meanwhile <= covered:
            return 0.0
        remained = remaining
        if team.name in self.commitments:
            recent = self.commitments[team.name]
            remained += recent.since(now_ms - late_ms)
        others = 1.0 - self.fraction_beside(team, asked, heard, now_ms)
        return max(0.0, min(asked_meanwhile, others * remained))

    def take(self, team: model.Team, tokens: float) -> allowance.Use | None:
        """Uses a part of a team's allowance.

        :param team: the team
        :param tokens: number of tokens
        :return: the use, None if the remaining allowance is too small
        """
        self.own.record_demand(team, tokens)
        now_ms = self.clock.monotonic_ms()
        own = self.reserved.get(team.name, 0.0)
        excess = tokens - own
        if excess > 0:
            use_of_excess = self.use_of_excess(team, excess, now_ms)
            if use_of_excess is ExcessUse.REFUSED:
                return None
            self.commit(team.name, excess, now_ms)
            self.unannounced[team.name] = (
                self.unannounced.get(team.name, 0.0) + excess
            )
            if use_of_excess is ExcessUse.ANNOUNCED_EARLY:
                self.must_announce = True
        self.reserved[team.name] = max(0.0, -excess)
        use = self.own.add(team.name, tokens, now_ms)
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
        return announce_times.interval_ms(self.gateways)

    def announce_if_due(self) -> None:
        """Sends an announcement to all peers if one is due."""
        now_ms = self.clock.monotonic_ms()
        self.start.is_starting()
        if now_ms - self.last_announced_ms >= self.announce_interval_ms():
            self.announce(now_ms)
        elif self.must_announce and self.early.may_send(now_ms):
            self.early.record_sent(now_ms)
            if self.unannounced:
                self.announce_excess(now_ms)
            else:
                self.announce(now_ms)

    def announce(self, now_ms: int) -> None:
        """Sends demand and committed tokens of active teams to all peers.

        With many teams, each announcement holds only some of them.

        :param now_ms: the current time
        """
        active = self.active_teams(now_ms)
        names = self.announcer.choose_teams(active, self.unannounced)
        for name in names:
            self.announcer.announced_ms[name] = now_ms
            if name in self.own.teams:
                self.reserve(self.own.teams[name], now_ms)
        self.last_announced_ms = now_ms
        self.send_to_all(
            self.team_demands(names, now_ms), partial=len(names) < len(active)
        )

    def active_teams(self, now_ms: int) -> dict[str, float]:
        """Returns the teams that peers must know of.

        :param now_ms: the current time
        :return: tokens used in the window, by team
        """
        active = self.own.active_teams(now_ms)
        for name in self.reserved.keys() - active.keys():
            del self.reserved[name]
        return active

    def team_demands(
        self, names: typing.Iterable[str], now_ms: int
    ) -> list[ttypes.TeamDemand]:
        """Returns demand and committed tokens of teams.

        :param names: names of the teams
        :param now_ms: the current time
        :return: parts of a datagram
        """
        return [
            self.team_demand(name, self.window(name).total(now_ms), now_ms)
            for name in names
        ]

    def announce_excess(self, now_ms: int) -> None:
        """Announces only the teams that used more than was announced.

        :param now_ms: the current time
        """
        for name in self.unannounced:
            team = self.own.teams[name]
            self.reserve(team, now_ms)
        self.send_to_all(
            self.team_demands(self.unannounced, now_ms), partial=True
        )

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
            tokens_per_s=math.ceil(self.own.demand_of(team, now_ms)),
            committed=math.ceil(used + self.reserved.get(team, 0.0)),
        )

    def send_to_all(
        self, team_demands: list[ttypes.TeamDemand], partial: bool
    ) -> None:
        """Sends an announcement to all peers.

        :param team_demands: demands and committed tokens of teams
        :param partial: whether teams that are missing are unchanged
        """
        self.must_announce = False
        self.unannounced.clear()
        self.announcer.send_to_all(team_demands, partial)

    def reserve(self, team: model.Team, now_ms: int) -> None:
        """Reserves tokens until the next regular announcement.

        :param team: the team
        :param now_ms: the current time
        """
        before = self.reserved.get(team.name, 0.0)
        after = self.next_reservation(team, now_ms)
        self.reserved[team.name] = after
        self.commit(team.name, after - before, now_ms)

    def next_reservation(self, team: model.Team, now_ms: int) -> float:
        """Returns what to reserve until the next regular announcement.

        :param team: the team
        :param now_ms: the current time
        :return: tokens
        """
        interval_s = self.announce_interval_ms() / clocks.MS_PER_S
        demand = self.own.demand_of(team.name, now_ms)
        requested = RESERVED_INTERVALS * interval_s * demand
        before = self.reserved.get(team.name, 0.0)
        remaining = self.remaining(team)
        free = remaining + before
        most = before + remaining - self.unseen_by(team, remaining, now_ms)
        return max(0.0, min(requested, self.fraction(team) * free, most))

    def on_announcement(self, sharing: ttypes.Sharing, host: str) -> None:
        """Stores a peer's announcement.

        :param sharing: the received datagram
        :param host: IP number of the sender
        """
        if sharing.gateway == self.instance:
            return
        self.start.record_contact()
        if sharing.gateway not in self.hosts:
            self.others.add(sharing.gateway, host)
            events.log(events.PEER_FOUND, gateway=sharing.gateway)
        elif sharing.starting:
            # It may have been started again on another machine.
            self.hosts[sharing.gateway] = host
        self.announcer.learn_times(sharing)
        self.peer_use.receive(sharing)
        if sharing.answers:
            self.start.learn_former(sharing)
        elif sharing.starting:
            self.answer_start(sharing.gateway, host)
        self.on_peer_status(peer_status.decode(sharing))

    def answer_start(self, name: str, host: str) -> None:
        """Tells a peer that starts its use before, and this gateway's use.

        :param name: name of its instance
        :param host: its IP number
        """
        now_ms = self.clock.monotonic_ms()
        active = self.active_teams(now_ms)
        names = heapq.nlargest(
            MAX_TEAMS_ANSWERED, active, key=active.__getitem__
        )
        answer = self.announcer.message(
            self.team_demands(names, now_ms), partial=len(names) < len(active)
        )
        answer.answers = True
        answer.former = self.peer_use.former.to_tell(name)
        answer.others = (
            self.peer_use.former_to_tell(name, self.gone_ms()) or None
        )
        self.announcer.send_to(answer, host)


def _ignore_status(_status: peer_status.PeerStatus) -> None:
    pass
