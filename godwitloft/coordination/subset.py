"""Selects the peers that a daemon connects to in a large fleet.

Every pair of an entry and an agent has a hash score that is the same on both
sides (rendezvous hashing). An entry picks the agents with the best scores in
each pool, an agent picks the entries with the best scores, each mostly in its
own availability zone, and each connects to its picks. So no agent has fewer
entries than it picks, no entry has fewer agents of a pool than it picks, and
adding or removing a member changes few other connections.
"""

import collections
import dataclasses
import hashlib
import math
import typing

from godwitloft.store import port

# Ratio between successive counts. Counts are rounded up to such steps, so that
# adding or removing one member doesn't change the counts of all others.
COUNT_STEP = 1.25


@dataclasses.dataclass(frozen=True)
class SubsetSettings:
    """Numbers of connections.

    :param entries_per_agent: entries that each agent picks
    :param agents_per_pool: smallest number of agents that an entry picks
        from each pool
    :param own_zone_share: fraction of the picks made in the daemon's own
        availability zone
    """

    entries_per_agent: int = 10
    agents_per_pool: int = 4
    own_zone_share: float = 0.6


def entries_for(
    agent: port.Instance,
    entries: typing.Sequence[port.Instance],
    settings: SubsetSettings = SubsetSettings(),
) -> frozenset[str]:
    """Picks the entries that an agent connects to.

    :param agent: the agent
    :param entries: all entries that may be connected to
    :param settings: numbers of connections
    :return: names of the picked entries
    """
    return _pick(agent, entries, settings.entries_per_agent, settings)


def agents_for(
    entry: port.Instance,
    agents: typing.Sequence[port.Instance],
    entry_count: int,
    settings: SubsetSettings = SubsetSettings(),
) -> frozenset[str]:
    """Picks the agents of every pool that an entry connects to.

    :param entry: the entry
    :param agents: all agents that may be connected to
    :param entry_count: number of entries
    :param settings: numbers of connections
    :return: names of the picked agents
    """
    pools: dict[str, list[port.Instance]] = collections.defaultdict(list)
    for agent in agents:
        pools[agent.pool].append(agent)
    picked: set[str] = set()
    for members in pools.values():
        count = agents_per_entry(len(members), entry_count, settings)
        picked |= _pick(entry, members, count, settings)
    return frozenset(picked)


def agents_per_entry(
    agent_count: int,
    entry_count: int,
    settings: SubsetSettings = SubsetSettings(),
) -> int:
    """Returns how many agents of a pool an entry picks.

    :param agent_count: number of agents in the pool
    :param entry_count: number of all entries
    :param settings: numbers of connections
    :return: enough for ``entries_per_agent`` connections per agent on
        average, even if only entries picked
    """
    needed = settings.entries_per_agent * agent_count / max(1, entry_count)
    minimum = settings.agents_per_pool
    if needed <= minimum:
        return minimum
    steps = math.ceil(math.log(needed / minimum, COUNT_STEP) - 1e-9)
    return math.ceil(minimum * COUNT_STEP**steps)


def score(entry: str, agent: str) -> int:
    """Returns the rendezvous hash of an entry and an agent.

    :param entry: name of the entry
    :param agent: name of the agent
    :return: uniformly distributed; the same in every process
    """
    text = f"{entry}|{agent}".encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _pick(
    own: port.Instance,
    others: typing.Sequence[port.Instance],
    count: int,
    settings: SubsetSettings,
) -> frozenset[str]:
    if len(others) <= count:
        return frozenset(peer.name for peer in others)
    if own.role == "entry":
        ranked = sorted(others, key=lambda peer: -score(own.name, peer.name))
    else:
        ranked = sorted(others, key=lambda peer: -score(peer.name, own.name))
    own_zone = [
        peer.name
        for peer in ranked
        if peer.availability_zone == own.availability_zone
    ]
    near = own_zone[: round(count * settings.own_zone_share)]
    # The rest is picked in other zones, so that connections remain if one
    # zone fails; if those have too few members, in the own zone as well.
    other_zones = [
        peer.name
        for peer in ranked
        if peer.availability_zone != own.availability_zone
    ]
    far = other_zones[: count - len(near)]
    more = own_zone[len(near) : count - len(far)]
    return frozenset([*near, *far, *more])
