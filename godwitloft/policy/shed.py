"""Decides which waiting requests are refused and what is suspended.

docs/OVERLOAD.md holds the promise that these functions keep. An entry with
too many requests asks the agents for a guarantee: it bids a request as
urgent, and an agent that answers without pulling it says that nothing
lower runs there and nothing lower will start while the bid stands.
"""

import dataclasses
import typing

from godwitloft.policy import types

SHED = "shed"
DEADLINE_UNREACHABLE = "deadline_unreachable"

TOO_LATE = "too_late"
HIGHER_TIER = "higher_tier"
UNSTOPPABLE = "unstoppable"
NOT_ACCEPTING = "not_accepting"
ISOLATED = "isolated"
GUARANTEES = frozenset((HIGHER_TIER, NOT_ACCEPTING))


@dataclasses.dataclass(frozen=True)
class Waiting:
    """A request that waits at an entry.

    :param request_id: id of the request
    :param tier_rank: 0 is the most important tier
    :param deadline_ms: when its answer is late
    :param accepted_ms: when it was accepted
    :param body_bytes: size of its body
    """

    request_id: str
    tier_rank: int
    deadline_ms: int
    accepted_ms: int
    body_bytes: int


@dataclasses.dataclass(frozen=True)
class UrgentAnswer:
    """What an agent answered to an urgent bid that still stands.

    :param tier_rank: rank of the request that was bid
    :param reason: why the agent didn't pull it
    """

    tier_rank: int
    reason: str


def shed_key(request: Waiting) -> tuple[int, int, str]:
    """Returns a sort key: the first to leave sorts last.

    :param request: a waiting request
    :return: tier rank, then time of acceptance, then id
    """
    return (request.tier_rank, request.accepted_ms, request.request_id)


def find_overflow(
    waiting: typing.Iterable[Waiting], max_requests: int, max_bytes: int
) -> tuple[Waiting, ...]:
    """Returns the requests that a queue has no place for.

    Lower tiers leave first, in a tier the newest.

    :param waiting: the whole queue
    :param max_requests: bound on requests
    :param max_bytes: bound on the bytes of their bodies
    :return: those to leave, first one first
    """
    kept = sorted(waiting, key=shed_key)
    body_bytes = sum(request.body_bytes for request in kept)
    removed = []
    while kept and (len(kept) > max_requests or body_bytes > max_bytes):
        last = kept.pop()
        body_bytes -= last.body_bytes
        removed.append(last)
    return tuple(removed)


def representative(kept: typing.Iterable[Waiting]) -> Waiting | None:
    """Returns the request that is bid as urgent for others of its tier.

    The one that is due last stands longest: it is the last to be pulled
    and the last to become too late.

    :param kept: requests of one tier and pool that stay in the queue
    :return: the request, or None when there is none
    """
    return max(
        kept,
        key=lambda request: (request.deadline_ms, request.request_id),
        default=None,
    )


def is_guaranteed(
    tier_rank: int, answers: typing.Iterable[UrgentAnswer], last_resort: bool
) -> bool:
    """Says whether an agent serves nothing lower than a tier.

    :param tier_rank: rank of the request that is to be refused
    :param answers: the agent's answers to urgent bids that stand
    :param last_resort: whether lower work that can't be stopped counts as
        not served
    :return: whether one of the answers is a guarantee for the tier
    """
    for answer in answers:
        if answer.tier_rank > tier_rank:
            continue
        if answer.reason in GUARANTEES:
            return True
        if last_resort and answer.reason == UNSTOPPABLE:
            return True
    return False


def may_shed(
    tier_rank: int,
    own_answers: typing.Mapping[str, str],
    urgent_answers: typing.Mapping[str, typing.Sequence[UrgentAnswer]],
    last_resort: bool = False,
) -> bool:
    """Says whether a request may be refused for lack of room.

    :param tier_rank: its rank
    :param own_answers: by agent that could run it, why the agent skipped
        this very request; empty when it hasn't
    :param urgent_answers: by agent, its answers to urgent bids that stand
    :param last_resort: see :func:`is_guaranteed`
    :return: whether no agent that could run it serves a lower tier
    """
    return all(
        reason in (TOO_LATE, ISOLATED)
        or is_guaranteed(tier_rank, urgent_answers.get(agent, ()), last_resort)
        for agent, reason in own_answers.items()
    )


def too_late_everywhere(own_answers: typing.Mapping[str, str]) -> bool:
    """Says whether no agent can finish a request in time any more.

    :param own_answers: by agent that was bid at, why it skipped the
        request; empty when it hasn't
    :return: whether all have said that it is too late
    """
    return bool(own_answers) and all(
        reason == TOO_LATE for reason in own_answers.values()
    )


def suspension_order(
    running: typing.Sequence[types.Running], tier_rank: int
) -> tuple[types.Running, ...]:
    """Returns the work that may be suspended for a higher tier.

    :param running: what runs on the upstream
    :param tier_rank: rank of the tier that needs room
    :return: lower tiers' active work that the upstream was given, lowest
        tier and newest first
    """
    lower = [
        request
        for request in running
        if request.tier_rank > tier_rank
        and not (request.suspended or request.pull_pending)
    ]
    return tuple(
        sorted(
            lower,
            key=lambda request: (
                request.tier_rank,
                request.started_ms,
                request.request_id,
            ),
            reverse=True,
        )
    )


def resumption_order(
    running: typing.Sequence[types.Running],
) -> tuple[types.Running, ...]:
    """Returns suspended work in the order of resumption.

    :param running: what runs on the upstream
    :return: highest tier and oldest first
    """
    suspended = [request for request in running if request.suspended]
    return tuple(
        sorted(
            suspended,
            key=lambda request: (
                request.tier_rank,
                request.started_ms,
                request.request_id,
            ),
        )
    )
