"""Decides whether an entry accepts a request."""

import dataclasses
import math

MAX_RETRY_AFTER_MS = 60_000

TEAM_WAITING = "team_waiting_limit"
TEAM_TOKENS = "team_token_limit"
QUEUE_FULL = "queue_full"
DEADLINE_UNREACHABLE = "deadline_unreachable"


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that has arrived and awaits admission.

    :param tokens: prompt tokens plus expected output tokens
    :param body_bytes: size of its body
    :param slack_ms: time to its deadline
    :param finish_in_ms: estimated time to its end on the best upstream when
        idle; None when no upstream is known yet
    """

    tokens: int
    body_bytes: int
    slack_ms: int
    finish_in_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class TeamLoad:
    """A team's load at this entry, and its limits.

    The limits are those configured for all entries together; 0 means no
    limit.

    :param running: its dispatched requests at this entry
    :param waiting: its waiting requests at this entry
    :param max_running: limit over all entries
    :param max_waiting: limit over all entries
    :param tokens_per_s: limit over all entries
    :param bucket: the team's token bucket at this entry
    """

    running: int = 0
    waiting: int = 0
    max_running: int = 0
    max_waiting: int = 0
    tokens_per_s: int = 0
    bucket: "TokenBucket | None" = None


@dataclasses.dataclass(frozen=True)
class QueueLoad:
    """The waiting requests of this entry, and the queue's hard limits.

    Beyond these limits nothing is accepted. Shedding begins at lower limits
    (:func:`godwitloft.policy.shed.find_overflow`), since it needs answers
    of the agents first.

    :param requests: number of waiting requests
    :param body_bytes: total size of their bodies
    :param max_requests: limit on requests
    :param max_bytes: limit on bytes of bodies
    :param retry_after_ms: time until a place is probably free, from the
        measured drain rate
    """

    requests: int
    body_bytes: int
    max_requests: int
    max_bytes: int
    retry_after_ms: int


@dataclasses.dataclass(frozen=True)
class TokenBucket:
    """A token bucket.

    :param level: remaining tokens; may fall below 0 by one request
    :param updated_ms: time to which the level applies
    """

    level: float
    updated_ms: int


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The request is accepted into the queue.

    :param bucket: the team's bucket after the charge, or None
    """

    bucket: TokenBucket | None = None


@dataclasses.dataclass(frozen=True)
class Refused:
    """The request is refused, without having run.

    :param reason: one of this module's constants; also a metric label
    :param retry_after_ms: delay after which the caller may try again
    """

    reason: str
    retry_after_ms: int


def share_of_limit(limit: int, share: float) -> int:
    """Returns this entry's part of a limit.

    :param limit: limit over all entries; 0: no limit
    :param share: this entry's share, 0.0 to 1.0
    :return: its part, at least 1; 0: no limit
    """
    return max(1, math.ceil(limit * share)) if limit else 0


def refill(
    bucket: TokenBucket | None, tokens_per_s: float, now_ms: int
) -> TokenBucket:
    """Refills a token bucket, which holds at most one second's tokens.

    :param bucket: the bucket before, or None for a full one
    :param tokens_per_s: its refill rate
    :param now_ms: the current time
    :return: the bucket now
    """
    if bucket is None:
        return TokenBucket(tokens_per_s, now_ms)
    elapsed_ms = max(0, now_ms - bucket.updated_ms)
    level = bucket.level + tokens_per_s * elapsed_ms / 1000
    return TokenBucket(min(tokens_per_s, level), now_ms)


def admit(
    arrival: Arrival,
    team: TeamLoad,
    queue: QueueLoad,
    share: float,
    now_ms: int,
) -> Admitted | Refused:
    """Decides whether one request is accepted.

    :param arrival: the request
    :param team: its team's load and limits
    :param queue: the entry's queue
    :param share: this entry's share of the team's limits
    :param now_ms: the current time
    :return: the admission, or the refusal with its reason and retry delay
    """
    finish_in_ms = arrival.finish_in_ms
    if finish_in_ms is not None and finish_in_ms > arrival.slack_ms:
        return Refused(DEADLINE_UNREACHABLE, queue.retry_after_ms)
    max_waiting = share_of_limit(team.max_waiting, share)
    if max_waiting and team.waiting >= max_waiting:
        return Refused(TEAM_WAITING, queue.retry_after_ms)
    if queue.requests >= queue.max_requests:
        return Refused(QUEUE_FULL, queue.retry_after_ms)
    if queue.body_bytes + arrival.body_bytes > queue.max_bytes:
        return Refused(QUEUE_FULL, queue.retry_after_ms)
    return _charge_tokens(arrival, team, share, now_ms)


def may_dispatch(team: TeamLoad, share: float) -> bool:
    """Returns whether one more request of a team may be dispatched.

    Otherwise the request waits, without blocking other teams meanwhile.

    :param team: the team's load and limits
    :param share: this entry's share of the team's limits
    :return: whether the team is below its limit
    """
    max_running = share_of_limit(team.max_running, share)
    return not max_running or team.running < max_running


def _charge_tokens(
    arrival: Arrival, team: TeamLoad, share: float, now_ms: int
) -> Admitted | Refused:
    if not team.tokens_per_s:
        return Admitted()
    rate = team.tokens_per_s * share
    bucket = refill(team.bucket, rate, now_ms)
    if bucket.level <= 0:
        wait_ms = math.ceil((1 - bucket.level) * 1000 / max(rate, 0.001))
        return Refused(TEAM_TOKENS, min(MAX_RETRY_AFTER_MS, wait_ms))
    return Admitted(TokenBucket(bucket.level - arrival.tokens, now_ms))
