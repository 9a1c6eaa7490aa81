"""Refusals: answers that the gateway gives without an upstream."""

import dataclasses
import json
import typing

from godwitloft.gateway import outcomes
from godwitloft.gateway.callers import http_server

MIN_RETRY_AFTER_MS = 300
MAX_RETRY_AFTER_MS = 6_000
JSON_TYPE = (b"content-type", b"application/json")


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Refusal of a request.

    :param status: HTTP status; see
        :data:`outcomes.NOT_RUN_STATUSES`
    :param reason: reason for logs, metrics and the caller
    :param retry_after_ms: value of ``Retry-After``, None for no header
    :param inputs: values that the decision was based on, for the log
    """

    status: int
    reason: str
    retry_after_ms: int | None = None
    inputs: typing.Mapping[str, typing.Any] = dataclasses.field(
        default_factory=dict
    )


def answer(exchange: http_server.Exchange, refusal: Refusal) -> None:
    """Sends a refusal to a caller.

    :param exchange: the caller's request
    :param refusal: the refusal
    """
    headers = [JSON_TYPE]
    if refusal.retry_after_ms is not None:
        seconds = b"%.3f" % (refusal.retry_after_ms / 1000)
        headers.append((b"retry-after", seconds))
    not_run = refusal.status in outcomes.NOT_RUN_STATUSES
    body = {"error": {"reason": refusal.reason, "not_run": not_run}}
    exchange.respond(refusal.status, headers, json.dumps(body).encode())


def bounded_retry_after_ms(after_ms: float) -> int:
    """Limits a retry delay to the allowed range.

    :param after_ms: proposed delay
    :return: milliseconds
    """
    bounded = min(MAX_RETRY_AFTER_MS, after_ms)
    return int(max(MIN_RETRY_AFTER_MS, bounded))
