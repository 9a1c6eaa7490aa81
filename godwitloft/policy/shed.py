"""Decides which waiting requests are shed and which work is suspended.

docs/OVERLOAD.md specifies the guarantee. Before an entry with too many
requests sheds one, it asks the agents: it sends a bid marked as urgent, and
an agent that skips it with one of :data:`GUARANTEES` confirms that it has no
room to give to the request. ``higher_tier`` means that no work of a lower
tier runs there, and that none will start while the bid is valid.
``not_accepting`` means that the upstream accepts no work; it is answered
before running work is looked at, so work of a lower tier may still run there.
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
    :param deadline_ms: time by which the answer must be complete
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
    """An agent's answer to an urgent bid that is still valid.

    :param tier_rank: tier rank of the request in the bid
    :param reason: why the agent didn't pull it
    """

    tier_rank: int
    reason: str


def shed_key(request: Waiting) -> tuple[int, int, str]:
    """Returns a sort key; the request to be shed first sorts last.

    :param request: a waiting request
    :return: tier rank, then time of acceptance, then id
    """
    return (request.tier_rank, request.accepted_ms, request.request_id)


def find_overflow(
    waiting: typing.Iterable[Waiting], max_requests: int, max_bytes: int
) -> tuple[Waiting, ...]:
    """Returns the requests by which a queue exceeds its limits.

    Lower tiers are removed first, and within a tier the newest requests.

    :param waiting: the whole queue
    :param max_requests: limit on requests
    :param max_bytes: limit on the total size of their bodies
    :return: the requests to remove, in order of removal
    """
    kept = sorted(waiting, key=shed_key)
    body_bytes = sum(request.body_bytes for request in kept)
    removed = []
    while kept and (len(kept) > max_requests or body_bytes > max_bytes):
        last = kept.pop()
        body_bytes -= last.body_bytes
        removed.append(last)
    return tuple(removed)


def is_guaranteed(
    tier_rank: int, answers: typing.Iterable[UrgentAnswer], last_resort: bool
) -> bool:
    """Returns whether an agent has confirmed that it can't make room.

    ``higher_tier`` confirms that no work of a lower tier runs there, and
    ``not_accepting`` only that the upstream accepts no work. An answer for
    a more important tier counts for this tier too.

    :param tier_rank: tier rank of the request to be shed
    :param answers: the agent's answers to urgent bids still valid
    :param last_resort: whether to ignore work of lower tiers that can't be
        suspended
    :return: whether one of the answers is in :data:`GUARANTEES`, or is
        ``unstoppable`` with ``last_resort``, for this or a higher tier
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
    """Returns whether a request may be shed for lack of room.

    :param tier_rank: its tier rank
    :param own_answers: for each agent that could run it, the reason for
        which the agent skipped this request; empty when it hasn't
    :param urgent_answers: each agent's answers to urgent bids still valid
    :param last_resort: see :func:`is_guaranteed`
    :return: whether each agent that could run it has skipped it as
        ``too_late`` or ``isolated`` or satisfies :func:`is_guaranteed`; True
        when no agent could run it
    """
    return all(
        reason in (TOO_LATE, ISOLATED)
        or is_guaranteed(tier_rank, urgent_answers.get(agent, ()), last_resort)
        for agent, reason in own_answers.items()
    )


def too_late_everywhere(own_answers: typing.Mapping[str, str]) -> bool:
    """Returns whether no agent can finish a request in time any more.

    :param own_answers: for each agent that got a bid, the reason for which
        it skipped the request; empty when it hasn't
    :return: whether all agents answered that it is too late
    """
    return bool(own_answers) and all(
        reason == TOO_LATE for reason in own_answers.values()
    )


def suspension_order(
    running: typing.Sequence[types.Running], tier_rank: int
) -> tuple[types.Running, ...]:
    """Returns the work that may be suspended for a higher tier, in order.

    :param running: requests on the upstream
    :param tier_rank: rank of the tier that needs room
    :return: active requests of lower tiers whose pull was granted, lowest
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
    """Returns suspended work in the order in which it is resumed.

    :param running: requests on the upstream
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
