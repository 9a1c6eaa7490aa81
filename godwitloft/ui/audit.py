"""``godwitloft audit``: checks the promises against traces or logs."""

import dataclasses
import typing

import cappa

from godwitloft import audit
from godwitloft import errors as root_errors
from godwitloft.audit import log_promises
from godwitloft.audit import request_logs
from godwitloft.ui import errors
from godwitloft.ui import options
from godwitloft.ui import report
from godwitloft.ui import session as sessions
from godwitloft.ui import trace_files

Traces = typing.Annotated[
    list[str],
    cappa.Arg(
        required=True,
        help="Trace files of any number of processes; or, with --logs, log"
        " files of gateways and agents.",
    ),
]


@cappa.command(name="audit", help="Check the promises against traces or logs.")
@dataclasses.dataclass(kw_only=True)
class Audit(options.OutputOptions):
    """Arguments of the command."""

    traces: Traces
    logs: typing.Annotated[
        bool,
        cappa.Arg(
            long=True, help="The files are logs of gateways and agents."
        ),
    ] = False
    ledger: typing.Annotated[
        list[str],
        cappa.Arg(
            long=True,
            help="Ledger of what stand-in upstreams ran; may be repeated.",
        ),
    ] = dataclasses.field(default_factory=list)


async def run(command: Audit, session: sessions.Session) -> report.Report:
    """Audits the traces or logs.

    :param command: arguments of the command
    :param session: client, clock, streams and environment to use
    :return: one line per promise
    """
    if command.logs:
        named = trace_files.read_named_lines(command.traces, session)
        return to_report(log_promises.audit_logs(request_logs.Logs(named)))
    lines = trace_files.read_lines(command.traces, session)
    ledgers = trace_files.read_lines(command.ledger, session)
    try:
        findings = audit.audit(lines, ledgers)
    except root_errors.UserError:
        raise
    except root_errors.GodwitloftError as error:
        raise errors.CommandError(str(error), errors.ExitCode.USAGE) from error
    return to_report(findings)


def to_report(findings: audit.Report) -> report.Report:
    """Converts the findings of an audit to a report.

    :param findings: result of the audit
    :return: one line per promise
    """
    return report.Report(
        findings,
        tuple(findings.text().splitlines()),
        errors.ExitCode.PROBLEMS if findings.breaches else errors.ExitCode.OK,
    )
