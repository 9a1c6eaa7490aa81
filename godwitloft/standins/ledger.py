"""What a stand-in really ran, to be held against what callers were told."""

import dataclasses

MAX_ENTRIES_KEPT = 200_000


@dataclasses.dataclass(frozen=True)
class RunEntry:
    """One run on a stand-in engine.

    :param number: 1, 2, 3 ... in the order of arrival
    :param run_id: the request's id, as the caller gave it
    :param prompt_digest: hash of the prompt
    :param prompt_tokens: length of the prompt
    :param prefilled_tokens: prompt tokens that were processed
    :param cached_tokens: prompt tokens that were found in the cache
    :param generated_tokens: tokens of the answer
    :param ended: ``completed``, ``cancelled``, ``crashed``, ``broken`` or
        empty while it runs
    :param arrived_ms: when it arrived
    :param started_ms: when it joined the batch, None if it never did
    :param first_token_ms: when its answer began, None if it never did
    :param ended_ms: when it ended, None while it hasn't
    """

    number: int
    run_id: str
    prompt_digest: str
    prompt_tokens: int
    prefilled_tokens: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0
    ended: str = ""
    arrived_ms: float = 0.0
    started_ms: float | None = None
    first_token_ms: float | None = None
    ended_ms: float | None = None


@dataclasses.dataclass(frozen=True)
class CallEntry:
    """One call that reached a stand-in service.

    :param number: 1, 2, 3 ... in the order of arrival
    :param request_id: the header ``X-Request-Id``
    :param idempotency_key: the header ``Idempotency-Key``
    :param method: HTTP method
    :param path: path with its query
    :param body_digest: hash of the body
    :param took_effect: whether the call changed anything
    :param status: HTTP status of the answer, 0 when none was sent
    :param arrived_ms: when it arrived
    """

    number: int
    request_id: str
    idempotency_key: str
    method: str
    path: str
    body_digest: str
    took_effect: bool = False
    status: int = 0
    arrived_ms: float = 0.0
