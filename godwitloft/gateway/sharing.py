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
from godwitloft.gateway import allowance
from godwitloft.gateway import announce_times
from godwitloft.gateway import former_use
from godwitloft.gateway import gateway_list
from godwitloft.gateway import model
from godwitloft.gateway import own_use
from godwitloft.gateway import peer_status
from godwitloft.gateway import peer_use
from godwitloft.gateway import unseen
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
MAX_TEAMS_ANNOUNCED = 20
MAX_TEAMS_ANSWERED = 200
# For how long a gateway that starts announces itself also to those whose
# leases are over: they may serve without the store, which knows both.
INTRODUCTION_MS = 3_000

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
        # Tokens announced to peers and not yet used, by team.
        self.reserved: dict[str, float] = {}
        # Tokens used since the last announcement beyond the reserved ones, by
        # team.
        self.unannounced: dict[str, float] = {}
        # When each team was last in a regular announcement.
        self.announced_ms: dict[str, int] = {}
        # Tokens lately committed, by team.
        self.commitments: dict[str, unseen.Commitments] = {}
        self.round_trips = unseen.RoundTrips(clock.monotonic_ms())
        self.must_announce = False
        self.early = announce_times.EarlyAnnouncements()
        self.restored = False
        self.started_ms = clock.monotonic_ms()
        # Whether neither this instance nor another has run before.
        self.is_first = True
        self.own_former = former_use.OwnFormerUse(clock)
        self.clock = clock
        self.send = send
        self.instance = instance
        self.port = port
        self.last_announced_ms = 0
        # When the store or another gateway was last heard.
        self.contact_ms = clock.monotonic_ms()
        # IP numbers of all gateways that had a row at the start, by instance.
        self.saved_hosts: dict[str, str] = {}
        self.introduced_until_ms = 0
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
        if self.is_starting():
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

    def is_starting(self) -> bool:
        """Returns whether peers may still tell what was used before the start.

        :return: whether to wait for them; never without peers
        """
        if self.own_former.is_asking:
            if self.own_former.is_complete(self.hosts.keys()):
                self.end_start()
        return self.own_former.is_asking

    def end_start(self) -> None:
        """Counts what peers have told, or else what is estimated."""
        own = self.own_former
        own.is_asking = False
        if own.is_told:
            self.own.before_start.own = {}
        self.must_announce = True
        events.log(
            events.GRANTS_BEGIN,
            listed=sorted(self.hosts)[: peer_use.MAX_NAMES_LOGGED],
            answered=sorted(own.answered)[: peer_use.MAX_NAMES_LOGGED],
            told=peer_use.largest(own.told),
            estimated=not (own.is_told or own.knows_itself),
        )

    def record_contact(self) -> None:
        """Asks what others have used if this gateway was cut off until now.

        Meanwhile its lease may have ended, so that the others have used its
        share. To be called before anything is done with what was heard.
        """
        now_ms = self.clock.monotonic_ms()
        silent_ms = now_ms - self.contact_ms
        self.contact_ms = now_ms
        if (
            silent_ms < gateway_list.PEER_TIMEOUT_MS
            or not self.restored
            or not self.hosts
        ):
            return
        if not self.own_former.is_asking:
            self.own_former.ask_again()
            self.reserved.clear()
            self.must_announce = True
            events.log(
                events.CUT_OFF,
                silent_ms=silent_ms,
                listed=sorted(self.hosts)[: peer_use.MAX_NAMES_LOGGED],
            )

    def is_ready(self) -> bool:
        """Returns whether it is known what this gateway and its peers know.

        :return: whether allowances can be granted
        """
        return self.restored and not self.is_starting()

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
            and len(self.unannounced) < MAX_TEAMS_ANNOUNCED
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
        late_ms = self.round_trips.late_ms(now_ms)
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

    def restore(self, used: Usage | None, age_ms: int) -> None:
        """Restores the usage saved before this process was restarted.

        :param used: as :meth:`usage` returned it, None if nothing is saved:
            this instance is new, or a restore of the store has cut it back
        :param age_ms: how long ago it was saved
        """
        if used is None:
            events.log(events.USE_LOST)
        else:
            self.is_first = False
        self.own.restore(used or {}, age_ms)
        now_ms = self.clock.monotonic_ms()
        events.log(
            events.USE_RESTORED,
            age_ms=age_ms if used is not None else None,
            used={
                team: round(tokens)
                for team, tokens in self.own.largest_uses(now_ms)
            },
            of_peers=sorted(self.peer_use.saved.windows)[
                : peer_use.MAX_NAMES_LOGGED
            ],
        )

    def restore_peer(
        self, name: str, host: str, used: Usage, age_ms: int
    ) -> None:
        """Restores another gateway's saved usage until it announces itself.

        :param name: name of its instance
        :param host: its IP number, whether or not its lease is over
        :param used: tokens by age, by team
        :param age_ms: how long ago the other gateway saved its usage
        """
        self.saved_hosts[name] = host
        self.is_first = False
        is_recent = age_ms < self.tolerance.counted_ms
        if is_recent and name not in self.others.peers:
            self.peer_use.saved.add(name, used, age_ms)
            self.own.before_start.add_other(used, age_ms)

    def join(self) -> None:
        """Joins the other gateways: asks what this one had used before.

        Called once, when the usage is restored and each other gateway is
        known here, or knows this one.
        """
        self.restored = True
        self.is_first = self.is_first and not self.hosts
        self.must_announce = True
        now_ms = self.clock.monotonic_ms()
        self.introduced_until_ms = now_ms + INTRODUCTION_MS
        self.own_former.ask()
        # Without others, there is nobody to wait for.
        self.is_starting()

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
        self.is_starting()
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
        names = self.teams_to_announce(active)
        for name in names:
            self.announced_ms[name] = now_ms
            if name in self.own.teams:
                self.reserve(self.own.teams[name], now_ms)
        self.last_announced_ms = now_ms
        self.send_to_peers(
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

    def teams_to_announce(self, active: dict[str, float]) -> list[str]:
        """Chooses the teams of a regular announcement.

        :param active: tokens used, by team
        :return: all, or those that used most, those whose turn it is, and
            those with unannounced use
        """
        if len(active) <= MAX_TEAMS_ANNOUNCED:
            return list(active)
        count = MAX_TEAMS_ANNOUNCED // 2
        largest = heapq.nlargest(count, active, key=active.__getitem__)
        waiting = heapq.nsmallest(
            count,
            active.keys() - set(largest),
            key=lambda name: self.announced_ms.get(name, 0),
        )
        return list(dict.fromkeys([*largest, *waiting, *self.unannounced]))

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
        self.send_to_peers(
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
        sharing = self.announcement(team_demands, partial)
        data = datagrams.encode(sharing=sharing)
        now_ms = self.clock.monotonic_ms()
        asked = self.round_trips.peer_to_ask(self.hosts)
        for name, host in self.receivers().items():
            answer_ms = self.round_trips.answer(name, now_ms)
            if name == asked or answer_ms is not None:
                sharing.asked_ms = now_ms if name == asked else None
                sharing.answer_ms = answer_ms
                own_data = datagrams.encode(sharing=sharing)
                self.send(own_data, (host, self.port))
            else:
                self.send(data, (host, self.port))

    def receivers(self) -> dict[str, str]:
        """Returns whom to send announcements.

        :return: IP numbers by instance; at the start also of gateways whose
            leases are over
        """
        if not self.saved_hosts:
            return self.hosts
        now_ms = self.clock.monotonic_ms()
        if self.restored and now_ms >= self.introduced_until_ms:
            self.saved_hosts = {}
        return self.saved_hosts | self.hosts

    def announcement(
        self, team_demands: list[ttypes.TeamDemand], partial: bool
    ) -> ttypes.Sharing:
        """Returns an announcement to be sent.

        :param team_demands: demands and committed tokens of teams
        :param partial: whether teams that are missing are unchanged
        :return: what to encode
        """
        sharing = ttypes.Sharing(
            gateway=self.instance,
            demands=team_demands,
            crashing=[],
            partial=partial or None,
            starting=self.own_former.is_asking or None,
        )
        peer_status.encode(self.own_status(), sharing)
        return sharing

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
        self.record_contact()
        if sharing.gateway not in self.hosts:
            self.others.add(sharing.gateway, host)
            events.log(events.PEER_FOUND, gateway=sharing.gateway)
        elif sharing.starting:
            # It may have been started again on another machine.
            self.hosts[sharing.gateway] = host
        now_ms = self.clock.monotonic_ms()
        if sharing.asked_ms is not None:
            self.round_trips.hold(sharing.gateway, sharing.asked_ms, now_ms)
        if sharing.answer_ms is not None:
            self.round_trips.learn(sharing.answer_ms, now_ms)
        self.peer_use.receive(sharing)
        if sharing.answers:
            self.learn_former(sharing)
        elif sharing.starting:
            self.answer_start(sharing.gateway, host)
        self.on_peer_status(peer_status.decode(sharing))

    def learn_former(self, sharing: ttypes.Sharing) -> None:
        """Learns what a peer knows of this gateway's use before its start.

        :param sharing: the peer's answer
        """
        if not self.own_former.is_asking:
            return
        self.own_former.learn(sharing.gateway, sharing.former)
        self.peer_use.learn_former(sharing.others or ())
        if self.own_former.knows_itself:
            return
        told = former_use.decode_committed(sharing.former or ())
        self.own.add_told(told, self.clock.monotonic_ms())
        if sharing.former:
            events.log(
                events.USE_TOLD,
                gateway=sharing.gateway,
                teams=sorted(peer_use.largest(told)),
            )

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
        answer = self.announcement(
            self.team_demands(names, now_ms), partial=len(names) < len(active)
        )
        answer.answers = True
        answer.former = self.peer_use.former.to_tell(name)
        answer.others = (
            self.peer_use.former_to_tell(name, self.gone_ms()) or None
        )
        self.send(datagrams.encode(sharing=answer), (host, self.port))


def _ignore_status(_status: peer_status.PeerStatus) -> None:
    pass
