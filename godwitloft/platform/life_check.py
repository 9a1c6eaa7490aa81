"""Finds out whether an upstream is still the process that the list shows."""

import typing

from twisted.python import failure

from godwitloft import events
from godwitloft.gateway import checked_attempt
from godwitloft.gateway import model
from godwitloft.platform import json_fields
from godwitloft.platform import store as stores

REPORT_PATH = "/report"
# A report lists each run of the upstream in about 100 bytes.
MAX_REPORT_BYTES = 256 * 1024
TIMEOUT_MS = 300


def start(
    reactor: typing.Any,
    upstream: model.Upstream,
    own_host: str,
    on_checked: checked_attempt.OnChecked,
) -> None:
    """Compares the start that an upstream reports with the listed one.

    :param reactor: the twisted reactor
    :param upstream: its entry in the list
    :param own_host: local IP address to connect from
    :param on_checked: called with the result
    """
    if not upstream.born_ms:
        on_checked(checked_attempt.Found.UNTOLD)
        return
    client = stores.Client(
        reactor,
        upstream.host,
        upstream.port,
        own_host,
        max_body_bytes=MAX_REPORT_BYTES,
    )

    def fail(problem: failure.Failure) -> None:
        problem.trap(stores.StoreError)
        error = typing.cast(stores.StoreError, problem.value)
        found = checked_attempt.Found.UNTOLD
        if not error.status:
            found = checked_attempt.Found.NO_ANSWER
        events.log(
            events.LIFE_UNKNOWN, upstream=upstream.id, reason=str(error)
        )
        on_checked(found)

    called = client.call("GET", REPORT_PATH, timeout_ms=TIMEOUT_MS)
    called.addCallbacks(
        lambda answer: on_checked(compare(upstream, answer)), fail
    )
    called.addErrback(log_internal_error)


def compare(
    upstream: model.Upstream, answer: stores.Answer
) -> checked_attempt.Found:
    """Compares the start in a report with the listed one.

    :param upstream: its entry in the list
    :param answer: the report
    :return: what it shows
    """
    report = json_fields.Fields(REPORT_PATH, "", answer.body)
    try:
        born_ms = report.whole("born", default=0)
    except json_fields.RowError as error:
        events.log(
            events.LIFE_UNKNOWN, upstream=upstream.id, reason=str(error)
        )
        return checked_attempt.Found.UNTOLD
    if not born_ms:
        return checked_attempt.Found.UNTOLD
    if born_ms == upstream.born_ms:
        return checked_attempt.Found.SAME
    return checked_attempt.Found.REPLACED


def log_internal_error(problem: failure.Failure) -> None:
    """Logs an error of what follows a check.

    :param problem: the error
    """
    error = typing.cast(Exception, problem.value)
    events.log_error(events.INTERNAL_ERROR, error, task="life_check")
