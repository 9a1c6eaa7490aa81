"""The operators' command line, ``godwitloft``."""

import dataclasses
import json
import sys
import typing

import cappa
from twisted.internet import defer
from twisted.internet import task

import godwitloft
from godwitloft import errors as root_errors
from godwitloft.ui import audit
from godwitloft.ui import check
from godwitloft.ui import check_config
from godwitloft.ui import diff
from godwitloft.ui import drain
from godwitloft.ui import errors
from godwitloft.ui import explain
from godwitloft.ui import history
from godwitloft.ui import publish
from godwitloft.ui import replay
from godwitloft.ui import report
from godwitloft.ui import revise
from godwitloft.ui import rollout
from godwitloft.ui import session as sessions
from godwitloft.ui import show
from godwitloft.ui import status

EXIT_CODES_HELP = (
    "Exit codes: 0 success; 1 problems were found; 2 wrong usage or settings;"
    " 3 conflicting changes by others; 4 no entry or store could be reached."
)

Run = typing.Callable[
    [typing.Any, sessions.Session], typing.Awaitable[report.Report]
]
RUNS: typing.Mapping[type[typing.Any], Run] = {
    check.Check: check.run,
    check_config.CheckConfig: check_config.run,
    publish.Publish: publish.run,
    revise.Revise: revise.run,
    diff.Diff: diff.run,
    show.Show: show.run,
    history.History: history.run,
    status.Status: status.run,
    explain.Explain: explain.run,
    drain.Drain: drain.run,
    audit.Audit: audit.run,
    replay.Replay: replay.run,
    rollout.Rollout: rollout.run,
}


@cappa.command(
    name="godwitloft",
    help="Publish configurations and operate daemons.",
    description=EXIT_CODES_HELP,
)
@dataclasses.dataclass
class Godwitloft:
    """The command line."""

    command: cappa.Subcommands[
        check.Check
        | check_config.CheckConfig
        | publish.Publish
        | revise.Revise
        | diff.Diff
        | show.Show
        | history.History
        | status.Status
        | explain.Explain
        | drain.Drain
        | audit.Audit
        | replay.Replay
        | rollout.Rollout
    ]


def parse(arguments: list[str] | None = None) -> Godwitloft:
    """Parses the command line.

    :param arguments: without the program's name; None: those of the process
    :return: the parsed command line
    :raises SystemExit: with code 2 on wrong usage
    """
    return cappa.parse(
        Godwitloft, argv=arguments, version=godwitloft.__version__
    )


async def run(
    command_line: Godwitloft, session: sessions.Session, output: typing.TextIO
) -> errors.ExitCode:
    """Runs a command and prints its result.

    :param command_line: the command line
    :param session: client, clock, streams and environment to use
    :param output: stream for the result
    :return: the exit code
    """
    command: typing.Any = command_line.command
    try:
        result = await RUNS[type(command)](command, session)
    except root_errors.UserError as error:
        code = errors.exit_code_of(error)
        session.print_message(_render_error(error, code, command.json))
        return code
    print(report.render(result, command.json), file=output, flush=True)
    return result.code


def _render_error(
    error: root_errors.UserError, code: errors.ExitCode, as_json: bool
) -> str:
    if as_json:
        return json.dumps({"error": {"message": str(error), "code": code}})
    return f"godwitloft: {error}"


def main() -> None:
    """Runs the program and exits."""
    command_line = parse()
    codes: list[errors.ExitCode] = []

    async def run_once(reactor: typing.Any) -> None:
        import treq

        session = sessions.Session(treq, reactor, sys.stderr)
        codes.append(await run(command_line, session, sys.stdout))

    try:
        task.react(lambda reactor: defer.ensureDeferred(run_once(reactor)))
    except SystemExit as exit_request:
        sys.exit(codes[0] if codes else exit_request.code)


if __name__ == "__main__":
    main()
