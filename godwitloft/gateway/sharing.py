"""Divides teams' allowances among gateways according to their demand.

A balancer may spread callers unevenly, and a team may send many times its
usual load through few gateways. With equal shares, one gateway would refuse
requests while another leaves its share unused.

Each gateway reserves tokens for its expected demand. In datagrams it announces
to its peers, the other gateways, its demand and its committed tokens: those
used in the window of the limit plus those reserved.
"""

import enum
import hashlib
import heapq
import math
import typing

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway import allowance
from godwitloft.gateway import announce_times
from godwitloft.gateway import demand as demands
from godwitloft.gateway import former_use
from godwitloft.gateway import model
from godwitloft.gateway import peer_status
from godwitloft.gateway import peers
from godwitloft.gateway import saved_use
from godwitloft.gateway import unseen
from godwitloft.links import datagrams
from godwitloft.links.generated.datagrams import ttypes

# Share of the remaining allowance that all gateways together may use without
# having announced it.
UNANNOUNCED_SHARE = 0.5
# With this part of its limit or more remaining, a team can't reach its limit
# before the next regular announcements.
FAR_BELOW_LIMIT_SHARE = 0.5
PEER_TIMEOUT_MS = 2_000
# A gateway that was not heard for so many intervals may be gone.
GONE_INTERVALS = 1.5
# Number of announcement intervals whose demand a gateway reserves.
RESERVED_INTERVALS = 1.5
# Added to each gateway's demand, as a multiple of an equal share of the rate,
# so that an idle gateway gets a part of the allowance as well.
BASE_DEMAND_SHARE = 1.0
MAX_TEAMS_ANNOUNCED = 20
MAX_TEAMS_ANSWERED = 200
MIN_DEMAND = 1.0
MAX_PLACES = 1_000
MAX_NAMES_LOGGED = 20
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
        self.windows: dict[str, allowance.Window] = {}
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
        self.unsaved = saved_use.UnsavedUse()
        self.early = announce_times.EarlyAnnouncements()
        self.teams: dict[str, model.Team] = {}
        self.restored = False
        self.started_ms = clock.monotonic_ms()
        # Whether neither this instance nor another has run before.
        self.is_first = True
        self.saved = saved_use.SavedBeforeStart(tolerance.counted_ms)
        self.own_former = former_use.OwnFormerUse(clock)
        self.peers_former = former_use.PeerFormerUses(
            clock, tolerance.counted_ms
        )
        self.peers_saved = former_use.SavedUses(clock, tolerance.counted_ms)
        self.clock = clock
        self.send = send
        self.instance = instance
        self.port = port
        self.demands: dict[str, demands.Demand] = {}
        self.last_announced_ms = 0
        # When the store or another gateway was last heard.
        self.contact_ms = clock.monotonic_ms()
        self.hosts: dict[str, str] = {}
        # IP numbers of all gateways that had a row at the start, by instance.
        self.saved_hosts: dict[str, str] = {}
        self.introduced_until_ms = 0
        # What place() has returned for these hosts, by subject.
        self.places: dict[str, int] = {}
        self.peers: dict[str, peers.Peer] = {}
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
        since_ms = now_ms - self.tolerance.counted_ms
        for name, peer in list(self.peers.items()):
            if name not in self.hosts and peer.received_ms < since_ms:
                del self.peers[name]
        self.peers_former.drop_expired()
        self.peers_saved.drop_expired()

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
        asked, heard = self.peers_demand(team.name, now_ms)
        return self.fraction_beside(team, asked, heard, now_ms)

    def peers_demand(self, team: str, now_ms: int) -> tuple[float, int]:
        """Returns a team's demand at the other gateways.

        :param team: name of the team
        :param now_ms: the current time
        :return: tokens per second at those that were heard lately, and how
            many those are
        """
        asked = 0.0
        heard = 0
        since_ms = now_ms - PEER_TIMEOUT_MS
        for name in self.hosts:
            peer = self.peers.get(name)
            if peer is not None and peer.received_ms >= since_ms:
                asked += peer.demands.get(team, 0.0)
                heard += 1
        return asked, heard

    def fraction_beside(
        self, team: model.Team, asked: float, heard: int, now_ms: int
    ) -> float:
        """Returns this gateway's share beside a demand of its peers.

        :param team: the team
        :param asked: the peers' demand, as :meth:`peers_demand` returned it
        :param heard: how many of them were heard lately
        :param now_ms: the current time
        :return: from 0 to 1
        """
        base_demand = max(
            MIN_DEMAND, BASE_DEMAND_SHARE * team.tokens_per_s / self.gateways
        )
        own = base_demand + self.demand_of(team.name, now_ms)
        return own / (own + heard * base_demand + asked)

    def window(self, team: str) -> allowance.Window:
        """Returns the sliding window of a team's usage at this gateway.

        :param team: name of the team
        :return: the window, created if needed
        """
        window = self.windows.get(team)
        if window is None:
            window = allowance.Window(self.tolerance.counted_ms)
            self.windows[team] = window
        return window

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
        committed = self.window(team.name).total(now_ms)
        committed += self.reserved.get(team.name, 0.0)
        equal_share = limit / self.gateways
        since_ms = self.complete_since_ms(now_ms)
        unsure = self.unheard()
        for name, peer in self.peers.items():
            if peer.received_ms < since_ms or peer.is_starting:
                unsure.add(name)
            else:
                committed += peer.committed.get(team.name, 0.0)
        for name in unsure:
            known = self.committed_by(name, team.name, now_ms)
            if name in self.hosts and not self.was_heard(name, since_ms):
                known = max(known, equal_share)
            committed += known
        remaining = limit - committed
        if team.name in self.saved.own:
            # No peer could tell it.
            estimate = self.saved.add_estimate(
                team.name, self.window(team.name), limit, now_ms
            )
            self.unsaved.add_learned(estimate)
            remaining -= estimate
        return remaining

    def complete_since_ms(self, now_ms: int) -> int:
        """Returns since when a peer must have been heard to be believed.

        Where none was heard for a while, this gateway may be cut off, and
        nobody knows what it uses.

        :param now_ms: the current time
        :return: the time since which its announced use is taken for complete
        """
        silent_ms = GONE_INTERVALS * self.announce_interval_ms()
        since_ms = now_ms - int(silent_ms)
        if any(self.was_heard(name, since_ms) for name in self.hosts):
            return now_ms - PEER_TIMEOUT_MS
        return since_ms

    def unheard(self) -> set[str]:
        """Returns the gateways that are known and were never heard."""
        known = self.hosts.keys() | self.peers_saved.windows.keys()
        known |= self.peers_former.uses.keys()
        return known - self.peers.keys()

    def committed_by(self, name: str, team: str, now_ms: int) -> float:
        """Returns what another gateway has committed, as far as known.

        :param name: name of its instance
        :param team: name of the team
        :param now_ms: the current time
        :return: tokens; those that it last announced, until its use must have
            left the window
        """
        peer = self.peers.get(name)
        committed = 0.0
        if peer is not None:
            if now_ms - peer.received_ms < self.tolerance.counted_ms:
                committed = peer.committed.get(team, 0.0)
            if not peer.is_starting:
                return committed
        return max(
            committed,
            self.peers_former.committed(name, team, now_ms),
            self.peers_saved.committed(name, team, now_ms),
        )

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
            self.saved.own = {}
        self.must_announce = True
        events.log(
            events.GRANTS_BEGIN,
            listed=sorted(self.hosts)[:MAX_NAMES_LOGGED],
            answered=sorted(own.answered)[:MAX_NAMES_LOGGED],
            told=largest(own.told),
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
        if silent_ms < PEER_TIMEOUT_MS or not self.restored or not self.hosts:
            return
        if not self.own_former.is_asking:
            self.own_former.ask_again()
            self.reserved.clear()
            self.must_announce = True
            events.log(
                events.CUT_OFF,
                silent_ms=silent_ms,
                listed=sorted(self.hosts)[:MAX_NAMES_LOGGED],
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
        asked, heard = self.peers_demand(team.name, now_ms)
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
        if used is None:
            events.log(events.USE_LOST)
        else:
            self.is_first = False
        now_ms = self.clock.monotonic_ms()
        self.saved.add_own(used or {}, now_ms, age_ms)
        for team, sums in self.saved.own.items():
            self.window(team).restore(sums, now_ms, age_ms)
        events.log(
            events.USE_RESTORED,
            age_ms=age_ms if used is not None else None,
            used={
                team: round(tokens)
                for team, tokens in self.largest_uses(now_ms)
            },
            of_peers=sorted(self.peers_saved.windows)[:MAX_NAMES_LOGGED],
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
        if name not in self.peers and age_ms < self.tolerance.counted_ms:
            self.peers_saved.add(name, used, age_ms)
            self.saved.add_other(used, age_ms)

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

    def usage(self) -> Usage:
        """Returns this gateway's usage, to be saved.

        :return: tokens by age of the teams that used most, by team
        """
        now_ms = self.clock.monotonic_ms()
        return {
            team: self.windows[team].by_age(now_ms)
            for team, _used in self.largest_uses(now_ms)
        }

    def mark_saved(self) -> typing.Callable[[], None]:
        """Records that :meth:`usage` is about to be saved.

        :return: takes that back; to be called if it could not be saved
        """
        return self.unsaved.mark_saved()

    @property
    def must_save(self) -> bool:
        """Whether usage was learned that can't wait to be saved."""
        return self.unsaved.must_save

    def needs_saving(self) -> bool:
        """Returns whether much was used since usage was last saved.

        :return: whether usage should be saved soon
        """
        return any(
            tokens
            > saved_use.MAX_UNSAVED_SHARE
            * allowance.window_limit(self.teams[name], self.tolerance)
            / self.gateways
            for name, tokens in self.unsaved.tokens.items()
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
            self.commit(team.name, excess, now_ms)
            self.unannounced[team.name] = (
                self.unannounced.get(team.name, 0.0) + excess
            )
            if use_of_excess is ExcessUse.ANNOUNCED_EARLY:
                self.must_announce = True
        self.reserved[team.name] = max(0.0, -excess)
        self.unsaved.add(team.name, tokens)
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
            if name in self.teams:
                self.reserve(self.teams[name], now_ms)
        self.last_announced_ms = now_ms
        self.send_to_peers(
            self.team_demands(names, now_ms), partial=len(names) < len(active)
        )

    def active_teams(self, now_ms: int) -> dict[str, float]:
        """Returns the teams that peers must know of.

        :param now_ms: the current time
        :return: tokens used in the window, by team
        """
        active = {}
        for name, window in self.windows.items():
            used = window.total(now_ms)
            if self.is_active(name, used, now_ms):
                active[name] = used
            else:
                self.reserved.pop(name, None)
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
            team = self.teams[name]
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
        demand = self.demand_of(team.name, now_ms)
        requested = RESERVED_INTERVALS * interval_s * demand
        before = self.reserved.get(team.name, 0.0)
        remaining = self.remaining(team)
        free = remaining + before
        most = before + remaining - self.unseen_by(team, remaining, now_ms)
        return max(0.0, min(requested, self.fraction(team) * free, most))

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
        if sharing.gateway == self.instance:
            return
        self.record_contact()
        if sharing.gateway not in self.hosts:
            self.hosts[sharing.gateway] = host
            self.places.clear()
            events.log(events.PEER_FOUND, gateway=sharing.gateway)
        elif sharing.starting:
            # It may have been started again on another machine.
            self.hosts[sharing.gateway] = host
        previous = self.peers.get(sharing.gateway)
        now_ms = self.clock.monotonic_ms()
        if sharing.asked_ms is not None:
            self.round_trips.hold(sharing.gateway, sharing.asked_ms, now_ms)
        if sharing.answer_ms is not None:
            self.round_trips.learn(sharing.answer_ms, now_ms)
        is_starting = bool(sharing.starting)
        if not is_starting:
            self.peers_former.forget(sharing.gateway)
            self.peers_saved.forget(sharing.gateway)
        elif previous is not None and not previous.is_starting:
            self.keep_former(sharing.gateway, previous)
            previous = None
        self.peers[sharing.gateway] = peers.receive(
            sharing, previous, now_ms, now_ms - self.tolerance.counted_ms
        )
        if sharing.answers:
            self.learn_former(sharing)
        elif is_starting:
            self.answer_start(sharing.gateway, host)
        self.on_peer_status(peer_status.decode(sharing))

    def keep_former(self, name: str, previous: peers.Peer) -> None:
        """Goes on counting what a peer had used before it was started again.

        :param name: name of its instance
        :param previous: its state before
        """
        self.peers_former.keep(name, previous.committed, previous.received_ms)
        events.log(
            events.PEER_RESTARTED,
            gateway=name,
            heard_ms_ago=self.clock.monotonic_ms() - previous.received_ms,
            committed=largest(previous.committed),
        )

    def learn_former(self, sharing: ttypes.Sharing) -> None:
        """Learns what a peer knows of this gateway's use before its start.

        :param sharing: the peer's answer
        """
        if not self.own_former.is_asking:
            return
        self.own_former.learn(sharing.gateway, sharing.former)
        self.learn_others_former(sharing.others or ())
        now_ms = self.clock.monotonic_ms()
        if self.own_former.knows_itself:
            return
        told = former_use.decode_committed(sharing.former or ())
        for team, tokens in told.items():
            window = self.window(team)
            unknown = max(0.0, tokens - window.total(now_ms))
            window.add(unknown, now_ms)
            self.unsaved.add_learned(unknown)
        if sharing.former:
            events.log(
                events.USE_TOLD,
                gateway=sharing.gateway,
                teams=sorted(largest(told)),
            )

    def learn_others_former(
        self, others: typing.Iterable[ttypes.FormerUse]
    ) -> None:
        """Learns what a peer knows of gateways that are gone or starting.

        :param others: as the peer told it
        """
        now_ms = self.clock.monotonic_ms()
        for other in others:
            peer = self.peers.get(other.gateway)
            if peer is None or peer.is_starting:
                self.peers_former.keep(
                    other.gateway,
                    former_use.decode_committed(other.committed),
                    now_ms - max(0, other.age_ms),
                )

    def others_former(self, receiver: str) -> list[ttypes.FormerUse]:
        """Returns what is known of gateways that are gone or starting.

        :param receiver: name of the gateway that is told
        :return: those that announced themselves within the window
        """
        now_ms = self.clock.monotonic_ms()
        silent_ms = GONE_INTERVALS * self.announce_interval_ms()
        found = []
        for name, peer in self.peers.items():
            age_ms = now_ms - peer.received_ms
            if name == receiver or age_ms >= self.tolerance.counted_ms:
                continue
            former = None
            if peer.is_starting:
                former = self.peers_former.to_tell(name)
            elif age_ms > silent_ms:
                former = former_use.encode_committed(peer.committed)
            if former:
                found.append(ttypes.FormerUse(name, age_ms, former))
        return found[: former_use.MAX_OTHERS_TOLD]

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
        answer.former = self.peers_former.to_tell(name)
        answer.others = self.others_former(name) or None
        self.send(datagrams.encode(sharing=answer), (host, self.port))


def order(subject: str, instance: str) -> bytes:
    """Returns the sort key of a gateway in the order for a subject.

    :param subject: text for which the order is made
    :param instance: name of the gateway's instance
    """
    text = f"{subject}/{instance}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def largest(tokens: typing.Mapping[str, float]) -> dict[str, int]:
    """Returns the largest amounts, for the log.

    :param tokens: by team, of which there may be thousands
    :return: at most :data:`MAX_NAMES_LOGGED` of them, the largest first
    """
    names = heapq.nlargest(
        MAX_NAMES_LOGGED, tokens, key=lambda name: tokens[name]
    )
    return {name: round(tokens[name]) for name in names}


def _ignore_status(_status: peer_status.PeerStatus) -> None:
    pass
