"""Checks the promises of the product on the traces of its processes.

Traces of any number of processes are merged and, when there are any, held
against the ledgers of stand-in upstreams: what they ran, whatever the
daemons believe. docs/TRACE.md describes the lines, docs/OUTCOMES.md the
promises.
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
    """What the check of one promise found.

    :param promise: its name
    :param checked: how many cases were looked at
    :param breaches: one text for each breach
    """

    promise: str
    checked: int
    breaches: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Report:
    """What an audit found.

    :param findings: one for each promise
    :param lines: trace lines read
    :param requests: requests that were accepted
    """

    findings: tuple[Finding, ...]
    lines: int
    requests: int

    @property
    def breaches(self) -> int:
        """How many breaches there are of all promises together."""
        return sum(len(finding.breaches) for finding in self.findings)

    @property
    def exit_status(self) -> int:
        """0 when every promise was kept, else 1."""
        return 1 if self.breaches else 0

    def text(self) -> str:
        """Returns the report for people.

        :return: one line for each promise, below it its first breaches
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

    :param lines: trace lines of all processes, in any order; others that
        are JSON objects without a ``kind`` (log lines) are passed over
    :param ledger_lines: ledgers of stand-in upstreams
    :return: what was found
    """
    traces = history.build(lines, ledger_lines)
    findings = []
    for promise, check in CHECKS.items():
        checked, breaches = check(traces)
        findings.append(Finding(promise, checked, tuple(breaches)))
    return Report(tuple(findings), traces.lines, len(traces.requests))
