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
from godwitloft.gateway import model
from godwitloft.links import datagrams
from godwitloft.links.generated.datagrams import ttypes

TELL_INTERVAL_MS = 250
# With more gateways, each tells the others less often, so that what is told
# doesn't grow with their square.
GATEWAYS_AT_FULL_RATE = 16
LONGEST_TELL_INTERVAL_MS = 600
HEARD_LIFE_MS = 2_000
DEMAND_MEMORY_MS = 1_500.0
# Parts of an equal share of the rate that count as a gateway's demand besides
# what it is asked for, so that a rare large request finds room anywhere.
KEPT_SHARE = 1.0
# How large one request may be against what all gateways have left.
BORROWED_PART = 0.1
# How much all of them together may take so, at the very worst.
BORROWED_BY_ALL = 2.0
MAX_TEAMS_TOLD = 20
MAX_CRASHES_TOLD = 20
SMALLEST_DEMAND = 1.0

# Tokens used, by team and by how long ago, the latest first.
Usage = dict[str, tuple[float, ...]]


class Demand:
    """Tokens a second that a team asks for, as a decaying mean."""

    def __init__(self) -> None:
        self.level = 0.0
        self.at_ms = 0

    def add(self, tokens: float, now_ms: int) -> None:
        """Counts a request.

        :param tokens: its size
        :param now_ms: the time
        """
        self.level = self.per_s(now_ms)
        self.level += tokens * clocks.MS_PER_S / DEMAND_MEMORY_MS
        self.at_ms = now_ms

    def per_s(self, now_ms: int) -> float:
        """Returns the mean.

        :param now_ms: the time
        :return: tokens a second
        """
        passed_ms = now_ms - self.at_ms
        return self.level * math.exp(-passed_ms / DEMAND_MEMORY_MS)


@dataclasses.dataclass(frozen=True)
class Peer:
    """What another gateway has told.

    :param demands: tokens a second, by team
    :param used: tokens in the window of the limit, by team
    :param crashing: fingerprints of requests that crashed upstreams
    :param at_ms: when it was heard
    """

    demands: dict[str, float]
    used: dict[str, float]
    crashing: tuple[bytes, ...]
    at_ms: int


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
        self.taken: dict[str, float] = {}
        self.restored = False
        self.clock = clock
        self.send = send
        self.instance = instance
        self.port = port
        self.demands: dict[str, Demand] = {}
        self.borrowed: set[str] = set()
        self.told_ms = 0
        self.told_demands: dict[str, float] = {}
        self.hosts: dict[str, str] = {}
        self.peers: dict[str, Peer] = {}

    def members(self, hosts: dict[str, str]) -> None:
        """Takes the gateways that hold a lease, without this one.

        :param hosts: IP number by instance
        """
        self.hosts = dict(hosts)
        now_ms = self.clock.monotonic_ms()
        length_ms = self.tolerance.window_ms
        for name, peer in list(self.peers.items()):
            if name not in hosts and now_ms - peer.at_ms > length_ms:
                del self.peers[name]

    @property
    def gateways(self) -> int:
        """How many gateways hold a lease, with this one."""
        return 1 + len(self.hosts)

    def asked(self, team: model.Team, tokens: float) -> None:
        """Counts a request of a team.

        :param team: whose request
        :param tokens: its size
        """
        demand = self.demands.setdefault(team.name, Demand())
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
        :return: from 0 to 1; the parts of all that hear each other make up 1
        """
        now_ms = self.clock.monotonic_ms()
        kept = max(
            SMALLEST_DEMAND, KEPT_SHARE * team.tokens_per_s / self.gateways
        )
        # What peers know, not what is true by now: at the beginning of a
        # surge all parts together would otherwise be more than the whole.
        own = kept + self.told_demands.get(team.name, 0.0)
        total = own
        for name in self.hosts:
            if self.is_heard(name, now_ms):
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

    def left(self, team: model.Team) -> float:
        """Returns what this gateway may still use of an allowance.

        It may use its part of what all have left, until it has told them
        and heard from them again. For a gateway that isn't heard, an equal
        part of the limit is left alone, or what it had used if that is more.

        :param team: whose allowance
        :return: tokens
        """
        taken = self.taken.get(team.name, 0.0)
        return self.left_to_all(team) * self.fraction(team) - taken

    def left_to_all(self, team: model.Team) -> float:
        """Returns what all gateways together had left when they last told.

        :param team: whose allowance
        :return: tokens
        """
        now_ms = self.clock.monotonic_ms()
        limit = allowance.window_limit(team, self.tolerance)
        taken = self.taken.get(team.name, 0.0)
        used = self.window(team.name).total(now_ms) - taken
        for name in set(self.hosts) | set(self.peers):
            peer = self.peers.get(name)
            known = peer.used.get(team.name, 0.0) if peer is not None else 0.0
            if name in self.hosts and not self.is_heard(name, now_ms):
                known = max(known, limit / self.gateways)
            used += known
        return limit - used

    def may_borrow(self, team: model.Team, tokens: float) -> bool:
        """Tells whether one request may go beyond this gateway's part.

        A large request that comes rarely would find no room in any part,
        though much is left. Each gateway may take one until it has told the
        others.

        :param team: whose allowance
        :param tokens: of the request
        :return: whether it is small against what all have left
        """
        if team.name in self.borrowed:
            return False
        free = self.left_to_all(team) - self.taken.get(team.name, 0.0)
        part = min(BORROWED_PART, BORROWED_BY_ALL / self.gateways)
        return tokens <= part * free

    def is_heard(self, name: str, now_ms: int) -> bool:
        """Tells whether a gateway was heard lately.

        :param name: of its instance
        :param now_ms: the time
        :return: whether it was
        """
        peer = self.peers.get(name)
        return peer is not None and now_ms - peer.at_ms <= HEARD_LIFE_MS

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
        at_ms = self.clock.monotonic_ms() - HEARD_LIFE_MS - age_ms - 1
        sums = {team: sum(tokens) for team, tokens in used.items()}
        self.peers[name] = Peer({}, sums, (), at_ms)

    def usage(self) -> Usage:
        """Returns what this gateway has used, by team.

        :return: tokens by age, of the teams that used most
        """
        now_ms = self.clock.monotonic_ms()
        largest = sorted(
            self.windows,
            key=lambda team: -self.windows[team].total(now_ms),
        )
        return {
            team: self.windows[team].by_age(now_ms)
            for team in largest[:MAX_TEAMS_TOLD]
        }

    def take(self, team: model.Team, tokens: float) -> allowance.Use | None:
        """Uses a part of an allowance.

        :param team: whose allowance
        :param tokens: how many
        :return: the use, None if too little is left
        """
        self.asked(team, tokens)
        if tokens > self.left(team):
            if not self.may_borrow(team, tokens):
                return None
            self.borrowed.add(team.name)
        self.taken[team.name] = self.taken.get(team.name, 0.0) + tokens
        now_ms = self.clock.monotonic_ms()
        return self.window(team.name).add(tokens, now_ms)

    def move(self, team: model.Team, use: allowance.Use) -> allowance.Use:
        """Counts a use from now on, because it takes place now.

        :param team: whose allowance
        :param use: what :meth:`take` returned
        :return: the use in its place
        """
        window = self.window(team.name)
        tokens = use.tokens
        window.take_back(use)
        return window.add(tokens, self.clock.monotonic_ms())

    def tell_interval_ms(self) -> int:
        """Returns how often peers are told."""
        interval_ms = TELL_INTERVAL_MS * self.gateways // GATEWAYS_AT_FULL_RATE
        return min(
            LONGEST_TELL_INTERVAL_MS, max(TELL_INTERVAL_MS, interval_ms)
        )

    def tell_if_due(self, crashing: typing.Sequence[bytes]) -> None:
        """Tells all peers, if the last time is long enough ago.

        :param crashing: fingerprints of requests that crashed upstreams
        """
        now_ms = self.clock.monotonic_ms()
        if now_ms - self.told_ms >= self.tell_interval_ms():
            self.told_ms = now_ms
            self.tell(crashing)

    def tell(self, crashing: typing.Sequence[bytes]) -> None:
        """Tells all peers what this gateway is asked for.

        :param crashing: fingerprints of requests that crashed upstreams
        """
        now_ms = self.clock.monotonic_ms()
        demands = [
            ttypes.TeamDemand(
                team=name,
                tokens_per_s=math.ceil(self.demand_of(name, now_ms)),
                used=math.ceil(sum(sums)),
            )
            for name, sums in self.usage().items()
            if self.is_active(name, sum(sums), now_ms)
        ]
        self.told_demands = {
            one.team: float(one.tokens_per_s) for one in demands
        }
        sharing = ttypes.Sharing(
            gateway=self.instance,
            demands=demands,
            crashing=list(crashing[-MAX_CRASHES_TOLD:]),
        )
        data = datagrams.encode(sharing=sharing)
        for host in self.hosts.values():
            self.send(data, (host, self.port))
        self.taken.clear()
        self.borrowed.clear()

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
        return used > 0 or demand >= SMALLEST_DEMAND

    def heard(self, sharing: ttypes.Sharing) -> None:
        """Takes what a peer tells.

        :param sharing: its datagram
        """
        if sharing.gateway not in self.hosts:
            return
        self.peers[sharing.gateway] = Peer(
            demands={one.team: one.tokens_per_s for one in sharing.demands},
            used={one.team: one.used for one in sharing.demands},
            crashing=tuple(sharing.crashing),
            at_ms=self.clock.monotonic_ms(),
        )

    def crashes_elsewhere(self, fingerprint: bytes) -> int:
        """Returns how often peers saw a request crash an upstream.

        :param fingerprint: of the request
        :return: number of crashes
        """
        return sum(
            peer.crashing.count(fingerprint) for peer in self.peers.values()
        )
