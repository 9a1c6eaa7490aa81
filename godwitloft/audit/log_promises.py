"""Checks the promises to callers on the logs of gateways.

A log may lack lines: what was dropped under load is counted in the next
line, and a process that was killed writes no end. Such requests are passed
over, so that what is reported is a breach.
"""

import typing

from godwitloft import audit
from godwitloft import events
from godwitloft.audit import request_logs
from godwitloft.gateway import outcomes

# How an attempt ended when the upstream proved that it ran nothing.
NOT_EXECUTED_RESULTS = (
    outcomes.Result.NOT_SENT.value,
    outcomes.Result.NOT_RUN.value,
)

Steps = typing.Sequence[request_logs.Line]
CheckResult = tuple[int, list[str]]


def steps_by_request(
    logs: request_logs.Logs,
) -> typing.Iterator[tuple[str, Steps]]:
    """Yields what each process did with each request.

    :param logs: of any number of processes
    :return: ids of requests and their lines in one process
    """
    for request in logs.requests:
        for steps in logs.steps_by_process(request).values():
            yield request, steps


def not_run_is_true(logs: request_logs.Logs) -> CheckResult:
    """Checks that who was told "not run" had nothing running.

    :param logs: of any number of processes
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
    """Checks that calls that may not be repeated weren't.

    :param logs: of any number of processes
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
    """Counts the attempts that no upstream proved not to have run.

    :param steps: lines of one process about one request
    :return: how many
    """
    sent = sum(line.is_event(events.REQUEST_PLACED) for line in steps)
    proven = sum(
        line.is_event(events.UPSTREAM_FAILED)
        and line.fields.get("result") in NOT_EXECUTED_RESULTS
        for line in steps
    )
    return sent - proven


def one_end(logs: request_logs.Logs) -> CheckResult:
    """Checks that each request that was sent has one end.

    :param logs: of any number of processes
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
    """Tells whether a line is a request's end.

    :param line: any
    :return: whether it is
    """
    return (
        line.is_event(events.REQUEST_REFUSED)
        or line.is_event(events.REQUEST_ANSWERED)
        or line.is_event(events.REQUEST_CUT)
    )


def has_gaps(logs: request_logs.Logs, line: request_logs.Line) -> bool:
    """Tells whether lines were dropped after a line.

    :param logs: of any number of processes
    :param line: any
    :return: whether a later line of its process counts dropped ones
    """
    later_lines = logs.processes[line.process][line.position :]
    return any("dropped" in later.fields for later in later_lines)


def configuration_forward(logs: request_logs.Logs) -> CheckResult:
    """Checks that no process went back to an older configuration.

    :param logs: of any number of processes
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
    """Checks that no process met a mistake of ours.

    :param logs: of any number of processes
    :return: lines checked, breaches
    """
    breaches = [
        f"{line.process}: {line.fields.get('traceback', '')[-200:]}"
        for line in logs.all_lines()
        if line.is_event(events.INTERNAL_ERROR)
    ]
    return sum(len(lines) for lines in logs.processes.values()), breaches


def readable(logs: request_logs.Logs) -> CheckResult:
    """Checks that there are lines to go by.

    :param logs: of any number of processes
    :return: lines read, a breach when there is none
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
    """Checks every promise that logs can show.

    :param logs: of any number of processes
    :return: what was found
    """
    findings = []
    for promise, check in CHECKS.items():
        checked, breaches = check(logs)
        findings.append(audit.Finding(promise, checked, tuple(breaches)))
    lines = sum(
        len(process_lines) for process_lines in logs.processes.values()
    )
    return audit.Report(tuple(findings), lines, len(logs.requests))
