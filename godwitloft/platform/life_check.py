"""Finds out whether an upstream is still the process that the list shows."""

import typing

from twisted.internet import defer
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

    called = ask(reactor, upstream, own_host)
    called.addCallbacks(
        lambda answer: on_checked(compare(upstream, answer)), fail
    )
    called.addErrback(log_internal_error)


def find_restart(
    reactor: typing.Any,
    upstream: model.Upstream,
    own_host: str,
    since_wall_ms: int,
    on_checked: typing.Callable[[bool | None], None],
) -> None:
    """Finds out whether an upstream has started again.

    :param reactor: the twisted reactor
    :param upstream: its entry in the list
    :param own_host: local IP address to connect from
    :param since_wall_ms: since when, in Unix milliseconds
    :param on_checked: called with False if it has, with True also if it
        doesn't tell
    """

    def fail(problem: failure.Failure) -> None:
        problem.trap(stores.StoreError)
        reason = str(problem.value)
        events.log(events.LIFE_UNKNOWN, upstream=upstream.id, reason=reason)
        on_checked(True)

    called = ask(reactor, upstream, own_host)
    called.addCallbacks(
        lambda answer: on_checked(
            not has_restarted(upstream, answer, since_wall_ms)
        ),
        fail,
    )
    called.addErrback(log_internal_error)


def has_restarted(
    upstream: model.Upstream, answer: stores.Answer, since_wall_ms: int
) -> bool:
    """Returns whether a report shows that an upstream has started again.

    :param upstream: its entry in the list; with a listed start it has not, as
        its clock may differ from this one
    :param answer: the report
    :param since_wall_ms: since when, in Unix milliseconds
    :return: False also if no start is listed
    """
    if not upstream.born_ms:
        return False
    born_ms = read_born(upstream, answer)
    return born_ms != upstream.born_ms and born_ms > since_wall_ms


def ask(
    reactor: typing.Any, upstream: model.Upstream, own_host: str
) -> "defer.Deferred[stores.Answer]":
    """Asks an upstream for its report.

    :param reactor: the twisted reactor
    :param upstream: its entry in the list
    :param own_host: local IP address to connect from
    :return: the report; fails with a StoreError
    """
    client = stores.Client(
        reactor,
        upstream.host,
        upstream.port,
        own_host,
        max_body_bytes=MAX_REPORT_BYTES,
    )
    return client.call("GET", REPORT_PATH, timeout_ms=TIMEOUT_MS)


def compare(
    upstream: model.Upstream, answer: stores.Answer
) -> checked_attempt.Found:
    """Compares the start in a report with the listed one.

    :param upstream: its entry in the list
    :param answer: the report
    :return: what it shows
    """
    born_ms = read_born(upstream, answer)
    if not born_ms:
        return checked_attempt.Found.UNTOLD
    if born_ms == upstream.born_ms:
        return checked_attempt.Found.SAME
    return checked_attempt.Found.REPLACED


def read_born(upstream: model.Upstream, answer: stores.Answer) -> int:
    """Returns the start that a report names.

    :param upstream: the entry of its upstream in the list
    :param answer: the report
    :return: Unix milliseconds, 0 if it names none
    """
    report = json_fields.Fields(REPORT_PATH, "", answer.body)
    try:
        return report.whole("born", default=0)
    except json_fields.RowError as error:
        events.log(
            events.LIFE_UNKNOWN, upstream=upstream.id, reason=str(error)
        )
        return 0


def log_internal_error(problem: failure.Failure) -> None:
    """Logs an error of what follows a check.

    :param problem: the error
    """
    error = typing.cast(Exception, problem.value)
    events.log_error(events.INTERNAL_ERROR, error, task="life_check")
