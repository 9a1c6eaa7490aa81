"""Decides which waiting requests are refused and what is suspended.

docs/OVERLOAD.md holds the promise that these functions keep.
"""

import dataclasses
import typing

from godwitloft.policy import types

SHED = "shed"
DEADLINE_UNREACHABLE = "deadline_unreachable"


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
class Standing:
    """What one agent has said about one bid.

    :param reason: why it skipped the bid (see :mod:`policy.order`), or
        empty when it hasn't answered
    :param urgent: whether the bid was urgent when it answered
    """

    reason: str = ""
    urgent: bool = False


def shed_key(one: Waiting) -> tuple[int, int, str]:
    """Returns a sort key: the first to leave sorts last.

    :param one: a waiting request
    :return: tier rank, then time of acceptance, then id
    """
    return (one.tier_rank, one.accepted_ms, one.request_id)


def overflow(
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
    body_bytes = sum(one.body_bytes for one in kept)
    leaving = []
    while kept and (len(kept) > max_requests or body_bytes > max_bytes):
        last = kept.pop()
        body_bytes -= last.body_bytes
        leaving.append(last)
    return tuple(leaving)


def verdict(
    standings: typing.Sequence[Standing], must_leave: bool
) -> str | None:
    """Says whether a waiting request is to be refused now.

    :param standings: the answers of all agents that were bid at
    :param must_leave: whether the queue has no place for it
    :return: :data:`SHED`, :data:`DEADLINE_UNREACHABLE`, or None to wait
    """
    if not standings:
        return SHED if must_leave else None
    if all(one.reason == "too_late" for one in standings):
        return DEADLINE_UNREACHABLE
    refused = all(one.reason and one.urgent for one in standings)
    return SHED if must_leave and refused else None


def to_suspend(
    running: typing.Sequence[types.Running], tier_rank: int
) -> tuple[types.Running, ...]:
    """Returns the work that may be suspended for a higher tier.

    :param running: what runs on the upstream
    :param tier_rank: rank of the tier that needs room
    :return: lower tiers' active work that the upstream was given, lowest
        tier and newest first
    """
    lower = [
        one
        for one in running
        if one.tier_rank > tier_rank and not (one.suspended or one.pulled)
    ]
    return tuple(
        sorted(
            lower,
            key=lambda one: (one.tier_rank, one.started_ms, one.request_id),
            reverse=True,
        )
    )


def to_resume(
    running: typing.Sequence[types.Running],
) -> tuple[types.Running, ...]:
    """Returns suspended work in the order of resumption.

    :param running: what runs on the upstream
    :return: highest tier and oldest first
    """
    suspended = [one for one in running if one.suspended]
    return tuple(
        sorted(
            suspended,
            key=lambda one: (one.tier_rank, one.started_ms, one.request_id),
        )
    )
