"""Chooses the agents that get an entry's bid, and the hold time of each."""

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
    """An agent that may get a bid.

    :param peer: link peer name of the agent
    :param availability_zone: its availability zone
    :param prefill_tokens_per_ms: prefill speed that it reported for its
        upstream
    """

    peer: str
    availability_zone: str
    prefill_tokens_per_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class BidTarget:
    """An agent that gets a bid.

    :param peer: link peer name of the agent
    :param hold_ms: delay before it may start the request
    """

    peer: str
    hold_ms: int


def rendezvous_weight(key: int, peer: str) -> int:
    """Returns the rendezvous hash of a peer for a key.

    The peer with the highest weight is preferred. All entries compute the
    same order without communicating.

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
    """Chooses the agents that get a bid.

    In a small pool these are all agents. In a large pool they are the first
    by rendezvous hashing of the prompt's first block, then some random ones
    of the entry's availability zone, then random ones of the rest.

    :param agents: the eligible agents
    :param prefix_keys: keys of the prompt's blocks
    :param availability_zone: the entry's availability zone
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
    """Returns how long an agent without the prefix waits for one with it.

    Waiting delays the answer, so it lasts no longer than the prefill time
    that it may save, nor than the slack of the request.

    :param saved_tokens: prompt tokens that the other agent has cached in
        addition
    :param prefill_tokens_per_ms: speed of the agent that would wait
    :param slack_ms: time to the deadline minus the time that the answer
        needs
    :return: milliseconds, 0 when waiting saves nothing
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
    """Assigns each agent the time for which it holds the request.

    :param agents: the chosen agents
    :param cached_tokens: estimated prompt tokens in each agent's cache, by
        peer
    :param slack_ms: see :func:`hold_ms`
    :return: one target per agent, in the same order
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
