"""Frozen data that the scheduling decisions work on.

All times are milliseconds on the clock of the process that decides.
"""

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from godwitloft.policy import concurrency
    from godwitloft.policy import estimate


@dataclasses.dataclass(frozen=True)
class Offer:
    """A waiting request as an agent sees it.

    :param request_id: id given by the entry
    :param entry: link peer that holds the request
    :param tier_rank: 0 is the most important tier
    :param team: name of the team
    :param team_weight: share against other teams of the tier
    :param service: name of the service
    :param deadline_ms: when its answer is late
    :param prompt_tokens: estimated length of the prompt
    :param output_tokens: expected length of the answer
    :param prefix_keys: one a block of the prompt, each covers all before
    :param fingerprint: hash of the body
    :param urgent: no other upstream has room for it
    :param hold_until_ms: not to be started before this time
    :param isolate: whether it must not run beside another suspect
    :param agents: how many agents may run it
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
    """A request that runs on an upstream.

    :param request_id: id given by the entry
    :param tier_rank: 0 is the most important tier
    :param team: name of the team
    :param started_ms: when it was given to the upstream
    :param remaining_prompt_tokens: prompt tokens not yet prefilled, as
        estimated
    :param remaining_output_tokens: output tokens expected
    :param fingerprint: hash of the body
    :param suspended: whether it is paused on the upstream
    :param isolate: whether it is a suspect
    :param kv_tokens: KV memory that it needs at its end, in tokens
    :param deadline_ms: when its answer is late; 0: not known
    :param suspension_pending: whether it counts as suspended only because
        a pull that isn't granted yet will suspend it
    :param pull_pending: whether the upstream hasn't been given it yet,
        since its entry hasn't answered the pull
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
    """Says that no token of a prompt is in a cache.

    :param prefix_keys: keys of the prompt's blocks
    :return: 0
    """
    return 0


@dataclasses.dataclass(frozen=True)
class UpstreamView:
    """An upstream as its agent knows it at one moment.

    :param speeds: learnt speeds
    :param limits: learnt caps on what runs at once
    :param resumable: whether it can suspend and resume a stream
    :param accepting: false while it drains or its breaker is open
    :param cached_tokens: prompt tokens that its prefix cache holds for
        given prefix keys
    :param safety_margin: share by which estimates are raised before they
        are held against a deadline
    """

    speeds: "estimate.Speeds"
    limits: "concurrency.ConcurrencyLimits"
    resumable: bool = False
    accepting: bool = True
    cached_tokens: typing.Callable[[tuple[int, ...]], int] = no_cached_tokens
    safety_margin: float = 0.1
