"""Ledgers of what stand-ins ran, to compare with what callers received."""

import dataclasses

MAX_ENTRIES_KEPT = 200_000


@dataclasses.dataclass(frozen=True)
class RunEntry:
    """One run on a stand-in engine.

    :param number: position in the order of arrival, from 1
    :param run_id: id of the request, as sent by the caller
    :param prompt_digest: hash of the prompt
    :param prompt_tokens: length of the prompt in tokens
    :param prefilled_tokens: prompt tokens that were prefilled
    :param cached_tokens: prompt tokens that were found in the cache
    :param generated_tokens: tokens of the answer
    :param ended: ``completed``, ``cancelled``, ``crashed``, ``broken`` or
        empty while it runs
    :param arrived_ms: time of arrival
    :param started_ms: time when it joined the batch, None if it never did
    :param first_token_ms: time of its first token, None if there is none
    :param ended_ms: time of its end, None while it hasn't ended
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

    :param number: position in the order of arrival, from 1
    :param request_id: value of the header ``X-Request-Id``
    :param idempotency_key: value of the header ``Idempotency-Key``
    :param method: HTTP method
    :param path: path with its query
    :param body_digest: hash of the body
    :param took_effect: whether the call changed anything
    :param status: HTTP status of the response, 0 when none was sent
    :param arrived_ms: time of arrival
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
