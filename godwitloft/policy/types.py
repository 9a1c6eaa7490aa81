"""Frozen data that the scheduling decisions work on.

All times are milliseconds on the clock of the process that decides.
"""

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from godwitloft.policy import estimate
    from godwitloft.policy import room


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
    :param prompt_left: prompt tokens not yet prefilled, as estimated
    :param output_left: output tokens expected
    :param fingerprint: hash of the body
    :param suspended: whether it is paused on the upstream
    :param isolate: whether it is a suspect
    :param kv_tokens: KV memory that it needs at its end, in tokens
    :param deadline_ms: when its answer is late; 0: not known
    :param leaving: whether it counts as suspended only because a pull that
        isn't granted yet will suspend it
    :param pulled: whether the upstream hasn't been given it yet, since its
        entry hasn't answered the pull
    """

    request_id: str
    tier_rank: int
    team: str
    started_ms: int
    prompt_left: int
    output_left: int
    fingerprint: str
    suspended: bool = False
    isolate: bool = False
    kv_tokens: int = 0
    deadline_ms: int = 0
    leaving: bool = False
    pulled: bool = False


def nothing_cached(prefix_keys: tuple[int, ...]) -> int:
    """Says that no token of a prompt is in a cache.

    :param prefix_keys: keys of the prompt's blocks
    :return: 0
    """
    return 0


@dataclasses.dataclass(frozen=True)
class UpstreamView:
    """An upstream as its agent knows it at one moment.

    :param speeds: learnt speeds
    :param room: learnt caps on what runs at once
    :param resumable: whether it can suspend and resume a stream
    :param accepting: false while it drains or its breaker is open
    :param cached_tokens: prompt tokens that its prefix cache holds for
        given prefix keys
    :param safety_share: share by which estimates are raised before they
        are held against a deadline
    """

    speeds: "estimate.Speeds"
    room: "room.Room"
    resumable: bool = False
    accepting: bool = True
    cached_tokens: typing.Callable[[tuple[int, ...]], int] = nothing_cached
    safety_share: float = 0.1
