"""Checks the promises to callers against the logs of gateways.

A log may be incomplete: lines dropped under load are counted in the next
line, and a killed process logs no end. Requests affected by this are skipped,
so that every reported breach is a real one.
"""

import typing

from godwitloft import audit
from godwitloft import events
from godwitloft.audit import request_logs
from godwitloft.gateway import outcomes

# Results of attempts that provably ran nothing on the upstream.
NOT_EXECUTED_RESULTS = (
    outcomes.Result.NOT_SENT.value,
    outcomes.Result.NOT_RUN.value,
)

Steps = typing.Sequence[request_logs.Line]
CheckResult = tuple[int, list[str]]


def steps_by_request(
    logs: request_logs.Logs,
) -> typing.Iterator[tuple[str, Steps]]:
    """Yields what each process did with each request, up to its end.

    :param logs: logs of any number of processes
    :return: pairs of a request's id and its lines in one process
    """
    for request in logs.requests:
        for lines in logs.steps_by_process(request).values():
            steps = [
                line
                for line in lines
                if not line.is_event(events.ANSWER_UNSENT)
            ]
            if steps:
                yield request, steps


def not_run_is_true(logs: request_logs.Logs) -> CheckResult:
    """Checks that requests reported as not run did not run.

    :param logs: logs of any number of processes
    :return: refusals checked, breaches
    """
    checked = 0
    breaches = []
    for request, steps in steps_by_request(logs):
        end = steps[-1]
        if not end.is_event(events.REQUEST_REFUSED):
            continue
        if end.fields.get("status") not in outcomes.NOT_RUN_STATUSES:
            continue
        checked += 1
        if unproven_attempts(steps) > 0:
            breaches.append(f"{request}: told not run, but was sent")
    return checked, breaches


def non_idempotent_sent_once(logs: request_logs.Logs) -> CheckResult:
    """Checks that non-idempotent calls were not sent again.

    :param logs: logs of any number of processes
    :return: requests checked, breaches
    """
    checked = 0
    breaches = []
    for request, steps in steps_by_request(logs):
        if steps[-1].fields.get("may_repeat") is not False:
            continue
        checked += 1
        sent = unproven_attempts(steps)
        if sent > 1:
            breaches.append(f"{request}: sent {sent} times without a proof")
    return checked, breaches


def unproven_attempts(steps: Steps) -> int:
    """Counts attempts without proof that the upstream ran nothing.

    :param steps: lines of one process about one request
    :return: number of such attempts
    """
    sent = sum(line.is_event(events.REQUEST_PLACED) for line in steps)
    proven = sum(
        line.is_event(events.UPSTREAM_FAILED)
        and line.fields.get("result") in NOT_EXECUTED_RESULTS
        for line in steps
    )
    return sent - proven


def one_end(logs: request_logs.Logs) -> CheckResult:
    """Checks that each request has exactly one end.

    :param logs: logs of any number of processes
    :return: requests checked, breaches
    """
    checked = 0
    breaches = []
    for request, steps in steps_by_request(logs):
        ends = sum(is_end(line) for line in steps)
        last = steps[-1]
        if ends == 0 and (
            has_gaps(logs, last)
            or logs.process_end_after(last) is not events.STOPPED
        ):
            continue
        checked += 1
        if ends != 1:
            breaches.append(f"{request}: {ends} ends in {last.process}")
    return checked, breaches


def is_end(line: request_logs.Line) -> bool:
    """Returns whether a line reports the end of a request.

    :param line: the line
    :return: whether it does
    """
    return (
        line.is_event(events.REQUEST_REFUSED)
        or line.is_event(events.REQUEST_ANSWERED)
        or line.is_event(events.ANSWER_FAILED)
        or line.is_event(events.REQUEST_UNREAD)
    )


def has_gaps(logs: request_logs.Logs, line: request_logs.Line) -> bool:
    """Returns whether log lines were dropped around or after a line.

    :param logs: logs of any number of processes
    :param line: the line
    :return: whether it or a later line of its process reports dropped lines
    """
    later_lines = logs.processes[line.process][line.position :]
    return any("dropped" in later.fields for later in later_lines)


def configuration_forward(logs: request_logs.Logs) -> CheckResult:
    """Checks that no process returned to an older configuration.

    :param logs: logs of any number of processes
    :return: configurations checked, breaches
    """
    checked = 0
    breaches = []
    for process, lines in logs.processes.items():
        newest = -1
        for line in lines:
            if line.is_event(events.STARTED):
                newest = -1
            if not line.is_event(events.CONFIGURATION_IN_FORCE):
                continue
            version = line.fields.get("version")
            if not isinstance(version, int):
                continue
            checked += 1
            if version < newest:
                breaches.append(f"{process}: {version} after {newest}")
            newest = max(newest, version)
    return checked, breaches


def no_internal_errors(logs: request_logs.Logs) -> CheckResult:
    """Checks that no process logged an internal error.

    :param logs: logs of any number of processes
    :return: lines checked, breaches
    """
    breaches = [
        f"{line.process}: {line.fields.get('traceback', '')[-200:]}"
        for line in logs.all_lines()
        if line.is_event(events.INTERNAL_ERROR)
    ]
    return sum(len(lines) for lines in logs.processes.values()), breaches


def readable(logs: request_logs.Logs) -> CheckResult:
    """Checks that at least one log line could be read.

    :param logs: logs of any number of processes
    :return: number of lines read, breaches
    """
    read = sum(len(lines) for lines in logs.processes.values())
    return read, [] if read else ["no line of a log could be read"]


CHECKS: typing.Mapping[
    str, typing.Callable[[request_logs.Logs], CheckResult]
] = {
    "log readable": readable,
    "not run is true": not_run_is_true,
    "non-idempotent at most once": non_idempotent_sent_once,
    "one end for each request": one_end,
    "configuration spreads forward": configuration_forward,
    "no internal error": no_internal_errors,
}


def audit_logs(logs: request_logs.Logs) -> audit.Report:
    """Checks every promise that can be checked from logs.

    :param logs: logs of any number of processes
    :return: the report
    """
    findings = []
    for promise, check in CHECKS.items():
        checked, breaches = check(logs)
        findings.append(audit.Finding(promise, checked, tuple(breaches)))
    lines = sum(
        len(process_lines) for process_lines in logs.processes.values()
    )
    return audit.Report(tuple(findings), lines, len(logs.requests))
