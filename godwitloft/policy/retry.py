"""Limits retries to a share of the calls, with jittered backoff."""

import dataclasses
import random

RETRIES_PER_CALL = 0.1
INITIAL_RETRIES = 3.0
MAX_AVAILABLE_RETRIES = 100.0
FIRST_BACKOFF_MS = 25
MAX_BACKOFF_MS = 1000
MAX_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True)
class RetryBudget:
    """Budget of retries.

    :param available: retries available; each call adds
        :data:`RETRIES_PER_CALL`, each retry takes one
    """

    available: float = INITIAL_RETRIES


def record_call(budget: RetryBudget) -> RetryBudget:
    """Records the first attempt of a call.

    :param budget: the budget before
    :return: the budget now
    """
    return RetryBudget(
        min(MAX_AVAILABLE_RETRIES, budget.available + RETRIES_PER_CALL)
    )


def spend(budget: RetryBudget) -> RetryBudget | None:
    """Takes one retry out of the budget.

    :param budget: the budget before
    :return: the budget now, or None when it doesn't allow a retry
    """
    return (
        RetryBudget(budget.available - 1.0)
        if budget.available >= 1.0
        else None
    )


def backoff_ms(attempt: int, rng: random.Random) -> int:
    """Returns the delay before a retry.

    The delay is random between zero and the exponential backoff ("full
    jitter"), so that callers that failed together don't retry together.

    :param attempt: 1 for the first retry
    :param rng: source of randomness
    :return: milliseconds
    """
    ceiling = FIRST_BACKOFF_MS * 2 ** min(16, attempt - 1)
    return rng.randint(0, min(MAX_BACKOFF_MS, ceiling))


def may_retry(
    idempotent: bool, attempts: int, slack_ms: int, needed_ms: int
) -> bool:
    """Returns whether a failed call may be tried on another upstream.

    :param idempotent: whether the call may be repeated
    :param attempts: attempts made so far
    :param slack_ms: time to its deadline
    :param needed_ms: time that an attempt takes
    :return: whether it may be retried, apart from the retry budget
    """
    return idempotent and attempts < MAX_ATTEMPTS and needed_ms < slack_ms
