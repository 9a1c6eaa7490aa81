"""Which peers a daemon connects to when there are too many for all.

Every pair of an entry and an agent has a score by hash, the same on both
sides (rendezvous hashing). An entry picks for each pool the agents with the
best scores, an agent picks the entries with the best scores, each mostly in
its own availability zone, and each connects to what it picked. So no agent
has fewer entries than it picks, no entry has fewer agents of a pool, and a
member that comes or goes moves only its own connections.
"""

import collections
import dataclasses
import hashlib
import math
import typing

from godwitloft.store import port

# Counts are rounded up to these steps, so that one member more or less
# doesn't change the count of every other.
COUNT_STEP = 1.25


@dataclasses.dataclass(frozen=True)
class SubsetSettings:
    """How many connections there are.

    :param entries_per_agent: entries that each agent picks
    :param agents_per_pool: agents of each pool that an entry picks at least
    :param own_zone_share: part of the picks from the own availability zone
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
    :param settings: how many
    :return: names of the picked entries
    """
    return _pick(agent, entries, settings.entries_per_agent, settings)


def agents_for(
    entry: port.Instance,
    agents: typing.Sequence[port.Instance],
    entry_count: int,
    settings: SubsetSettings = SubsetSettings(),
) -> frozenset[str]:
    """Picks the agents that an entry connects to, of every pool.

    :param entry: the entry
    :param agents: all agents that may be connected to
    :param entry_count: how many entries there are
    :param settings: how many
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

    :param agent_count: agents of the pool
    :param entry_count: all entries
    :param settings: how many there should be
    :return: enough for the agents to have the entries they should have on
        average, if only entries picked
    """
    wanted = settings.entries_per_agent * agent_count / max(1, entry_count)
    least = settings.agents_per_pool
    if wanted <= least:
        return least
    steps = math.ceil(math.log(wanted / least, COUNT_STEP) - 1e-9)
    return math.ceil(least * COUNT_STEP**steps)


def score(entry: str, agent: str) -> int:
    """Returns how well an entry and an agent go together.

    :param entry: name of the entry
    :param agent: name of the agent
    :return: evenly spread, the same for the same pair everywhere
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
    # The rest comes from other zones, so that the loss of one zone leaves
    # connections; with a single zone it comes from there as well.
    other_zones = [
        peer.name
        for peer in ranked
        if peer.availability_zone != own.availability_zone
    ]
    far = other_zones[: count - len(near)]
    more = own_zone[len(near) : count - len(far)]
    return frozenset([*near, *far, *more])
