"""Checks the guarantees of godwitloft against the traces of its processes.

Traces of any number of processes are merged. Ledgers of stand-in upstreams,
if given, show independently of the daemons what the upstreams really ran.
docs/TRACE.md describes the trace lines, docs/OUTCOMES.md the promises.
"""

import dataclasses
import typing

from godwitloft.audit import history
from godwitloft.audit import promises
from godwitloft.audit import shedding

MAX_BREACHES_SHOWN = 5
CHECKS: typing.Mapping[str, promises.Check] = {
    "trace whole": promises.trace_complete,
    "one outcome for each request": promises.one_outcome,
    "dispatched at most once": promises.dispatched_once,
    "no higher tier shed": shedding.no_higher_tier_shed,
    "whole own answer": promises.complete_answer,
    "not run is true": promises.not_run_is_true,
    "non-idempotent at most once": promises.non_idempotent_once,
    "no new work when leaving": promises.no_work_when_leaving,
    "graceful stop cuts nothing": promises.graceful_stop,
    "configuration spreads forward": promises.configuration,
}


@dataclasses.dataclass(frozen=True)
class Finding:
    """The result of checking one promise.

    :param promise: name of the promise
    :param checked: number of cases checked
    :param breaches: one description for each breach
    """

    promise: str
    checked: int
    breaches: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Report:
    """The result of an audit.

    :param findings: one for each promise
    :param lines: number of lines read
    :param requests: number of requests in them
    """

    findings: tuple[Finding, ...]
    lines: int
    requests: int

    @property
    def breaches(self) -> int:
        """The number of breaches of all promises."""
        return sum(len(finding.breaches) for finding in self.findings)

    @property
    def exit_status(self) -> int:
        """0 when every promise was kept, else 1."""
        return 1 if self.breaches else 0

    def text(self) -> str:
        """Formats the report as text.

        :return: one line for each promise, followed by its first breaches
        """
        lines = [f"{self.lines} lines, {self.requests} requests"]
        for finding in self.findings:
            state = "BREACHED" if finding.breaches else "kept"
            lines.append(
                f"{finding.promise}: {state}, {finding.checked} checked,"
                f" {len(finding.breaches)} breaches"
            )
            shown = finding.breaches[:MAX_BREACHES_SHOWN]
            lines.extend(f"    {breach}" for breach in shown)
        return "\n".join(lines)


def audit(
    lines: typing.Iterable[str], ledger_lines: typing.Iterable[str] = ()
) -> Report:
    """Checks every promise.

    :param lines: trace lines of all processes, in any order; JSON objects
        without a ``kind`` (log lines) are skipped
    :param ledger_lines: lines of the ledgers of stand-in upstreams
    :return: the report
    """
    traces = history.build(lines, ledger_lines)
    findings = []
    for promise, check in CHECKS.items():
        checked, breaches = check(traces)
        findings.append(Finding(promise, checked, tuple(breaches)))
    return Report(tuple(findings), traces.lines, len(traces.requests))
