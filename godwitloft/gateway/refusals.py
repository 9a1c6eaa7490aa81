"""Answers that a gateway gives by itself."""

import dataclasses
import json
import typing

from godwitloft.gateway import http_server
from godwitloft.gateway import outcomes

MIN_RETRY_AFTER_MS = 300
MAX_RETRY_AFTER_MS = 6_000
JSON_TYPE = (b"content-type", b"application/json")


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Why a request gets no upstream's answer.

    :param status: HTTP status; see
        :data:`outcomes.NOT_RUN_STATUSES`
    :param reason: name for logs, counters and the caller
    :param retry_after_ms: when to come back, None for no advice
    :param inputs: what decided it, for the log
    """

    status: int
    reason: str
    retry_after_ms: int | None = None
    inputs: typing.Mapping[str, typing.Any] = dataclasses.field(
        default_factory=dict
    )


def answer(exchange: http_server.Exchange, refusal: Refusal) -> None:
    """Tells a caller of a refusal.

    :param exchange: the way back
    :param refusal: what to tell
    """
    headers = [JSON_TYPE]
    if refusal.retry_after_ms is not None:
        seconds = b"%.3f" % (refusal.retry_after_ms / 1000)
        headers.append((b"retry-after", seconds))
    not_run = refusal.status in outcomes.NOT_RUN_STATUSES
    body = {"error": {"reason": refusal.reason, "not_run": not_run}}
    exchange.respond(refusal.status, headers, json.dumps(body).encode())


def bounded_retry_after_ms(after_ms: float) -> int:
    """Returns a time to come back that is neither too short nor too long.

    :param after_ms: the time that would fit
    :return: milliseconds
    """
    bounded = min(MAX_RETRY_AFTER_MS, after_ms)
    return int(max(MIN_RETRY_AFTER_MS, bounded))
