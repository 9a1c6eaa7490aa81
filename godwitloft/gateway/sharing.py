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
HEARD_LIFE_MS = 1_500
DEMAND_MEMORY_MS = 1_500.0
# Part of an equal share that a gateway keeps without any demand.
KEPT_SHARE = 0.15
MAX_TEAMS_TOLD = 20
MAX_CRASHES_TOLD = 20
SMALLEST_DEMAND = 1.0


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
        self.started_ms = clock.monotonic_ms()
        self.windows: dict[str, allowance.Window] = {}
        self.taken: dict[str, float] = {}
        self.before: dict[str, float] | None = None
        self.before_ms = self.started_ms
        self.clock = clock
        self.send = send
        self.instance = instance
        self.port = port
        self.demands: dict[str, Demand] = {}
        self.hosts: dict[str, str] = {}
        self.peers: dict[str, Peer] = {}

    def members(self, hosts: dict[str, str]) -> None:
        """Takes the gateways that hold a lease, without this one.

        :param hosts: IP number by instance
        """
        self.hosts = dict(hosts)
        now_ms = self.clock.monotonic_ms()
        for name, peer in list(self.peers.items()):
            if name not in hosts and self.decayed(peer.at_ms, now_ms) <= 0:
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
        :return: from 0 to 1; the parts of all gateways make up 1
        """
        now_ms = self.clock.monotonic_ms()
        kept = max(
            SMALLEST_DEMAND, KEPT_SHARE * team.tokens_per_s / self.gateways
        )
        own = kept + self.demand_of(team.name, now_ms)
        total = own
        silent = 0
        for name in self.hosts:
            peer = self.peers.get(name)
            if peer is None or now_ms - peer.at_ms > HEARD_LIFE_MS:
                silent += 1
            else:
                total += kept + peer.demands.get(team.name, 0.0)
        return own / total * (1 - silent / self.gateways)

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
        and heard from them again.

        :param team: whose allowance
        :return: tokens
        """
        now_ms = self.clock.monotonic_ms()
        own = self.window(team.name).total(now_ms)
        taken = self.taken.get(team.name, 0.0)
        limit = allowance.window_limit(team, self.tolerance)
        used = own - taken + self.used_before_start(team.name, limit, now_ms)
        for peer in self.peers.values():
            part = 1.0
            if now_ms - peer.at_ms > HEARD_LIFE_MS:
                part = self.decayed(peer.at_ms, now_ms)
            used += peer.used.get(team.name, 0.0) * part
        for name in self.hosts:
            if name not in self.peers:
                part = self.decayed(self.started_ms, now_ms)
                used += limit / self.gateways * part
        return (limit - used) * self.fraction(team) - taken

    def decayed(self, since_ms: int, now_ms: int) -> float:
        """Returns which part of a past use still counts.

        :param since_ms: when it was known
        :param now_ms: the time
        :return: from 1 to 0, a whole window later
        """
        passed_ms = now_ms - since_ms
        return max(0.0, 1.0 - passed_ms / self.tolerance.window_ms)

    def restore(self, used: dict[str, float], age_ms: int) -> None:
        """Takes what an earlier start of this process had used.

        :param used: tokens by team, as they were written down
        :param age_ms: how long ago
        """
        unwritten = 1.0 + age_ms / self.tolerance.window_ms
        self.before = {team: use * unwritten for team, use in used.items()}
        self.before_ms = self.clock.monotonic_ms() - age_ms

    def used_before_start(self, team: str, limit: float, now_ms: int) -> float:
        """Returns what an earlier start of this process may have used.

        :param team: name of the team
        :param limit: over all gateways
        :param now_ms: the time
        :return: tokens; less and less, none after a whole window
        """
        if self.before is None:
            part = self.decayed(self.started_ms, now_ms)
            return limit / self.gateways * part
        return self.before.get(team, 0.0) * self.decayed(
            self.before_ms, now_ms
        )

    def usage(self) -> dict[str, float]:
        """Returns what this gateway has used, by team.

        :return: tokens in the window of the limit
        """
        now_ms = self.clock.monotonic_ms()
        teams = set(self.windows) | set(self.before or ())
        used = {
            team: self.window(team).total(now_ms)
            + (self.before or {}).get(team, 0.0)
            * self.decayed(self.before_ms, now_ms)
            for team in teams
        }
        largest = sorted(used, key=lambda team: -used[team])
        return {team: used[team] for team in largest[:MAX_TEAMS_TOLD]}

    def take(self, team: model.Team, tokens: float) -> allowance.Use | None:
        """Uses a part of an allowance.

        :param team: whose allowance
        :param tokens: how many
        :return: the use, None if too little is left
        """
        self.asked(team, tokens)
        if tokens > self.left(team):
            return None
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

    def tell(self, crashing: typing.Sequence[bytes]) -> None:
        """Tells all peers what this gateway is asked for.

        :param crashing: fingerprints of requests that crashed upstreams
        """
        now_ms = self.clock.monotonic_ms()
        demands = [
            ttypes.TeamDemand(
                team=name,
                tokens_per_s=self.demand_of(name, now_ms),
                used=used,
            )
            for name, used in self.usage().items()
        ]
        sharing = ttypes.Sharing(
            gateway=self.instance,
            demands=demands,
            crashing=list(crashing[-MAX_CRASHES_TOLD:]),
        )
        data = datagrams.encode(sharing=sharing)
        for host in self.hosts.values():
            self.send(data, (host, self.port))
        self.taken.clear()

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
