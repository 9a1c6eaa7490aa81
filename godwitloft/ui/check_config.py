"""``godwitloft check-config``: judges a configuration before it is sent."""

import dataclasses
import functools
import pathlib
import typing

import cappa

from godwitloft import decode
from godwitloft.configurations import changes
from godwitloft.configurations import check
from godwitloft.configurations import findings
from godwitloft.configurations import service_upstreams
from godwitloft.gateway import model
from godwitloft.platform import config_entries
from godwitloft.platform import json_fields
from godwitloft.platform import rows
from godwitloft.platform import settings
from godwitloft.platform import store as stores
from godwitloft.platform import watch
from godwitloft.ui import errors
from godwitloft.ui import options
from godwitloft.ui import report
from godwitloft.ui import session as sessions

DEFAULT_RETRY_RATIO = 0.2
DEFAULT_ALLOWANCE_WINDOW_S = 8


@cappa.command(
    name="check-config",
    help="Find problems in a platform configuration, and compare it with the"
    " version in force.",
)
@dataclasses.dataclass(kw_only=True)
class CheckConfig(options.OutputOptions):
    """Arguments of the command."""

    path: typing.Annotated[
        str, cappa.Arg(help="File with the configuration, in JSON.")
    ]
    in_force: typing.Annotated[
        str,
        cappa.Arg(
            long=True, help="File with the version in force, to compare with."
        ),
    ] = ""
    store: typing.Annotated[
        str,
        cappa.Arg(
            long=True,
            help="IP:PORT of the platform's store, to read the version in"
            " force and the upstreams from.",
        ),
    ] = ""
    retry_ratio: typing.Annotated[
        float,
        cappa.Arg(long=True, help="Retries that settings allow per request."),
    ] = DEFAULT_RETRY_RATIO
    allowance_window_s: typing.Annotated[
        int,
        cappa.Arg(long=True, help="Window of allowances in the settings."),
    ] = DEFAULT_ALLOWANCE_WINDOW_S


@dataclasses.dataclass(frozen=True)
class CheckConfigResult:
    """What the command prints.

    :param findings: what is wrong, errors first
    :param changes: differences from the version in force, the most dangerous
        first; None if there is nothing to compare with
    :param version_in_force: the version that it was compared with
    """

    findings: tuple[findings.Finding, ...]
    changes: tuple[changes.Change, ...] | None
    version_in_force: int | None


@dataclasses.dataclass(frozen=True)
class InForce:
    """What a store holds.

    :param configuration: the configuration, None if there is none
    :param upstreams: upstreams by service, None if they aren't known
    """

    configuration: model.Configuration | None = None
    upstreams: (
        typing.Mapping[str, service_upstreams.ServiceUpstreams] | None
    ) = None


async def run(
    command: CheckConfig, session: sessions.Session
) -> report.Report:
    """Checks a configuration and compares it with the version in force.

    :param command: arguments of the command
    :param session: client, clock, streams and environment to use
    :return: findings and differences
    :raises errors.CommandError: if something can't be read
    """
    decoded = read_file(command.path)
    in_force = InForce()
    if command.store:
        in_force = await read_store(command.store, session)
    if command.in_force:
        older = read_file(command.in_force).configuration
        in_force = dataclasses.replace(in_force, configuration=older)
    surroundings = check.Surroundings(
        command.retry_ratio,
        command.allowance_window_s * 1000,
        in_force.upstreams,
        decoded.has_all_routes,
    )
    found = check.in_order(
        (
            *decoded.findings,
            *check.check(decoded.configuration, surroundings),
        )
    )
    differences = None
    if in_force.configuration is not None:
        differences = changes.compare(
            in_force.configuration, decoded.configuration
        )
    return render(found, differences, in_force.configuration)


def render(
    found: tuple[findings.Finding, ...],
    differences: tuple[changes.Change, ...] | None,
    before: model.Configuration | None,
) -> report.Report:
    """Reports findings and differences.

    :param found: the findings
    :param differences: differences from the version in force, None for no
        comparison
    :param before: the version in force
    :return: one line each; exit code 1 if there are findings
    """
    lines = [str(finding) for finding in found]
    lines.append(report.count(len(found), "finding") if found else "ok")
    version = None
    if differences is not None and before is not None:
        version = before.version
        lines.extend(str(change) for change in differences)
        total = report.count(len(differences), "difference")
        lines.append(f"{total} from version {version} in force")
    return report.Report(
        CheckConfigResult(found, differences, version),
        tuple(lines),
        errors.ExitCode.PROBLEMS if found else errors.ExitCode.OK,
    )


def read_file(path: str) -> config_entries.Decoded:
    """Reads a configuration from a file.

    :param path: of the file
    :return: its entries
    :raises errors.CommandError: if it can't be read
    """
    try:
        content = decode.load_json(pathlib.Path(path).read_bytes())
        return config_entries.decode(path, content)
    except OSError as error:
        reason = error.strerror or str(error)
    except ValueError as error:
        reason = f"is not JSON: {error}"
    except json_fields.RowError as error:
        reason = error.reason
    raise errors.CommandError(f"{path}: {reason}", errors.ExitCode.USAGE)


async def read_store(address: str, session: sessions.Session) -> InForce:
    """Reads what is in force from the platform's store.

    :param address: IP:PORT of the store
    :param session: client, clock, streams and environment to use
    :return: the configuration and the upstreams
    :raises errors.CommandError: if the store can't be read
    """
    parsed = settings.parse_address(address)
    if parsed is None:
        raise errors.CommandError(
            f"option --store: {address!r} is not IP:PORT",
            errors.ExitCode.USAGE,
        )
    store = stores.Store(
        stores.Client(session.scheduler, parsed.host, parsed.port, ""),
        stores.Timeline(lambda _before, _now: None),
    )
    try:
        operators = await store.read(watch.OPERATOR_TABLE)
        listed = await store.read_all(watch.UPSTREAM_TABLE)
        configuration = decode_operators(operators.rows)
    except (stores.StoreError, json_fields.RowError) as error:
        raise errors.CommandError(
            f"store {address}: {error}", errors.ExitCode.UNREACHABLE
        ) from error
    found = [
        decode_upstream(row) for row in listed.rows if row.value is not None
    ]
    return InForce(
        configuration,
        service_upstreams.by_service(
            upstream for upstream in found if upstream is not None
        ),
    )


def decode_operators(
    found: typing.Iterable[stores.Row],
) -> model.Configuration | None:
    """Decodes the configuration among the operators' rows.

    :param found: the operators' rows
    :return: the configuration, None if there is none that can be used
    """
    for row in found:
        if row.key != watch.CONFIGURATION_KEY or row.value is None:
            continue
        name = f"{watch.OPERATOR_TABLE}/{row.key}"
        fields = rows.decode_content(name, row.value)
        return config_entries.decode(name, fields.value).configuration
    return None


def decode_upstream(row: stores.Row) -> model.Upstream | None:
    """Decodes the row of an upstream.

    :param row: a row that any process may have written
    :return: the upstream, None if the row is invalid
    """
    name = f"{watch.UPSTREAM_TABLE}/{row.key}"
    decode_row = functools.partial(rows.decode_upstream, row.key, name)
    try:
        return decode_row(row.value)
    except json_fields.RowError:
        return None
