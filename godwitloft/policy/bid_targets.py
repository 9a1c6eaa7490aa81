"""Chooses the agents that an entry bids at, and how long each must wait."""

import dataclasses
import hashlib
import math
import random
import typing

SMALL_POOL_AGENTS = 32
SUBSET_AGENTS = 16
PREFIX_AGENTS = 4
ZONE_AGENTS = 6
MAX_HOLD_MS = 1000


@dataclasses.dataclass(frozen=True)
class Agent:
    """An agent that may be bid at.

    :param peer: its link
    :param availability_zone: where it is
    :param prefill_tokens_per_ms: its upstream's speed, as it reported
    """

    peer: str
    availability_zone: str
    prefill_tokens_per_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class BidTarget:
    """One agent to bid at.

    :param peer: its link
    :param hold_ms: delay before it may start the request
    """

    peer: str
    hold_ms: int


def rendezvous_weight(key: int, peer: str) -> int:
    """Returns the weight of a peer for a key; the highest is preferred.

    Every entry computes the same order without talking to another.

    :param key: key of a prefix
    :param peer: name of the peer
    :return: a 64-bit number
    """
    text = f"{key}|{peer}".encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, "big")


def choose_agents(
    agents: typing.Sequence[Agent],
    prefix_keys: tuple[int, ...],
    availability_zone: str,
    rng: random.Random,
) -> tuple[Agent, ...]:
    """Chooses the agents that see a bid.

    All of a small pool; of a large one a subset: the first by rendezvous
    on the prompt's first block, then some of the own availability zone,
    then any.

    :param agents: the eligible agents
    :param prefix_keys: keys of the prompt's blocks
    :param availability_zone: the entry's own
    :param rng: source of randomness
    :return: the agents, preferred ones first
    """
    ranked = list(agents)
    if prefix_keys:
        key = prefix_keys[0]
        ranked.sort(
            key=lambda agent: rendezvous_weight(key, agent.peer), reverse=True
        )
    if len(ranked) <= SMALL_POOL_AGENTS:
        return tuple(ranked)
    chosen = ranked[:PREFIX_AGENTS] if prefix_keys else []
    rest = ranked[len(chosen) :]
    same_zone = [
        agent for agent in rest if agent.availability_zone == availability_zone
    ]
    chosen += rng.sample(same_zone, min(ZONE_AGENTS, len(same_zone)))
    chosen_peers = {agent.peer for agent in chosen}
    others = [agent for agent in rest if agent.peer not in chosen_peers]
    chosen += rng.sample(others, min(SUBSET_AGENTS - len(chosen), len(others)))
    return tuple(chosen)


def hold_ms(
    saved_tokens: int, prefill_tokens_per_ms: float, slack_ms: int
) -> int:
    """Returns how long agents without the prefix wait for those with it.

    Waiting costs an answer's time and may only buy as much prefill time as
    it saves, never more than the request has to spare.

    :param saved_tokens: prompt tokens that the holder has in its cache
    :param prefill_tokens_per_ms: speed of the agent that would wait
    :param slack_ms: time to the deadline less the time that the answer
        needs
    :return: milliseconds, 0 when nothing is to be gained
    """
    if saved_tokens <= 0 or prefill_tokens_per_ms <= 0.0:
        return 0
    saved_ms = math.floor(saved_tokens / prefill_tokens_per_ms)
    return max(0, min(saved_ms, slack_ms, MAX_HOLD_MS))


def assign_holds(
    agents: typing.Sequence[Agent],
    cached_tokens: typing.Mapping[str, int],
    slack_ms: int,
) -> tuple[BidTarget, ...]:
    """Gives each agent its hold-off.

    :param agents: the chosen agents
    :param cached_tokens: prompt tokens believed to be in each one's cache
    :param slack_ms: the request's spare time
    :return: one target an agent, in the same order
    """
    most_cached = max(
        (cached_tokens.get(agent.peer, 0) for agent in agents), default=0
    )
    return tuple(
        BidTarget(
            agent.peer,
            hold_ms(
                most_cached - cached_tokens.get(agent.peer, 0),
                agent.prefill_tokens_per_ms,
                slack_ms,
            ),
        )
        for agent in agents
    )
