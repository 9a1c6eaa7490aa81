"""Immutable inputs of the scheduling decisions.

All times are milliseconds on the clock of the deciding process.
"""

import dataclasses
import typing

from godwitloft.policy import learnt_speeds
from godwitloft.policy import running_limits


@dataclasses.dataclass(frozen=True)
class Offer:
    """A waiting request that an entry offers to an agent.

    :param request_id: id assigned by the entry
    :param entry: link peer name of the entry that holds the request
    :param tier_rank: 0 is the most important tier
    :param team: name of the team
    :param team_weight: weight of the team among the teams of its tier
    :param service: name of the service
    :param deadline_ms: time by which the answer must be complete
    :param prompt_tokens: estimated length of the prompt
    :param output_tokens: expected length of the answer
    :param prefix_keys: one key per block of the prompt, each covering the
        block and all blocks before it
    :param fingerprint: hash of the request body
    :param urgent: whether no other upstream has room for it
    :param hold_until_ms: earliest time at which it may start
    :param isolate: whether it is suspected of crashing upstreams and must
        not run beside another suspect
    :param agents: number of agents that may run it
    """

    request_id: str
    entry: str
    tier_rank: int
    team: str
    team_weight: int
    service: str
    deadline_ms: int
    prompt_tokens: int
    output_tokens: int
    prefix_keys: tuple[int, ...]
    fingerprint: str
    urgent: bool = False
    hold_until_ms: int = 0
    isolate: bool = False
    agents: int = 1


@dataclasses.dataclass(frozen=True)
class Running:
    """A request that an upstream runs, or is about to run.

    :param request_id: id assigned by the entry
    :param tier_rank: 0 is the most important tier
    :param team: name of the team
    :param started_ms: when it was sent to the upstream
    :param remaining_prompt_tokens: estimated prompt tokens not yet
        prefilled
    :param remaining_output_tokens: output tokens still expected
    :param fingerprint: hash of the request body
    :param suspended: whether it is paused on the upstream
    :param isolate: whether it is suspected of crashing upstreams
    :param kv_tokens: KV cache memory that it needs at its end, in tokens
    :param deadline_ms: time by which the answer must be complete; 0: not
        known
    :param suspension_pending: whether it still runs but counts as
        suspended, because a pull that awaits its grant will suspend it
    :param pull_pending: whether the entry hasn't answered its pull yet, so
        that the upstream doesn't have it
    """

    request_id: str
    tier_rank: int
    team: str
    started_ms: int
    remaining_prompt_tokens: int
    remaining_output_tokens: int
    fingerprint: str
    suspended: bool = False
    isolate: bool = False
    kv_tokens: int = 0
    deadline_ms: int = 0
    suspension_pending: bool = False
    pull_pending: bool = False


def no_cached_tokens(prefix_keys: tuple[int, ...]) -> int:
    """Reports no cached tokens, for an upstream without a prefix cache.

    :param prefix_keys: keys of the prompt's blocks
    :return: 0
    """
    return 0


@dataclasses.dataclass(frozen=True)
class UpstreamView:
    """Snapshot of what an agent knows of its upstream.

    :param speeds: learnt speeds
    :param limits: learnt limits on concurrent work
    :param resumable: whether it can suspend and resume a stream
    :param accepting: false while it drains or its breaker is open
    :param cached_tokens: returns the number of prompt tokens in its prefix
        cache for given prefix keys
    :param safety_margin: share added to estimates before they are compared
        with a deadline
    """

    speeds: learnt_speeds.Speeds
    limits: running_limits.ConcurrencyLimits
    resumable: bool = False
    accepting: bool = True
    cached_tokens: typing.Callable[[tuple[int, ...]], int] = no_cached_tokens
    safety_margin: float = 0.1
