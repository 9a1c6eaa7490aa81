"""Decodes the entries of a configuration one by one, for a check.

A gateway takes a configuration as a whole or not at all. A check before it is
sent names each entry that can't be used, and judges the others.
"""

import dataclasses
import difflib
import typing

from godwitloft.configurations import findings
from godwitloft.gateway import model
from godwitloft.platform import json_fields
from godwitloft.platform import rows

ROUTE_FIELDS: typing.Final = (
    "name",
    "host",
    "prefix",
    "service",
    "split",
    "kind",
    "timeout-ms",
    "target-latency-ms",
    "max-attempts",
    "priority",
    "public",
    "session-affinity",
    "resumable",
    "gap-aim-ms",
)
SERVICE_FIELDS: typing.Final = (
    "name",
    "health-path",
    "max-connections",
    "protocol",
    "tls",
    "engine",
)
TEAM_FIELDS: typing.Final = (
    "name",
    "api-keys",
    "priority",
    "unit",
    "plain-tokens",
    "rate-per-s",
    "burst",
)
LIMIT_FIELDS: typing.Final = (
    "max-header-bytes",
    "max-body-bytes",
    "header-timeout-ms",
    "idle-timeout-ms",
)
TOP_FIELDS: typing.Final = (
    "version",
    "routes",
    "services",
    "tenants",
    "limits",
)

# Connections of a service whose own number can't be used.
MANY: typing.Final = 1_000_000

Entry = typing.TypeVar("Entry")


@dataclasses.dataclass(frozen=True)
class Decoded:
    """What could be decoded of a configuration.

    :param configuration: all entries that can be used
    :param findings: on those that can't, and on fields that are not known
    :param has_all_routes: whether all routes can be used
    """

    configuration: model.Configuration
    findings: tuple[findings.Finding, ...]
    has_all_routes: bool


@dataclasses.dataclass(frozen=True)
class Kind(typing.Generic[Entry]):
    """One kind of entry.

    :param name: its name in findings
    :param field: the list that holds the entries
    :param known: names of the entries' fields
    :param decode: decodes an entry
    """

    name: str
    field: str
    known: tuple[str, ...]
    decode: typing.Callable[[json_fields.Fields], Entry]


ROUTES = Kind("route", "routes", ROUTE_FIELDS, rows.decode_route)
SERVICES = Kind("service", "services", SERVICE_FIELDS, rows.decode_service)
TEAMS = Kind("team", "tenants", TEAM_FIELDS, rows.decode_team)


def decode(source: str, content: object) -> Decoded:
    """Decodes a configuration as far as it can be used.

    :param source: name of the file or row, for error messages
    :param content: the decoded JSON
    :return: the entries and the findings
    :raises RowError: if it isn't a configuration at all
    """
    fields = json_fields.Fields(source, "", content)
    found = list(unknown_fields("configuration", "", fields, TOP_FIELDS))
    routes = decode_all(fields, ROUTES, found)
    services = decode_all(fields, SERVICES, found)
    teams = decode_all(fields, TEAMS, found)
    by_name = {service.name: service for service in services}
    found.extend(repeated_services(services))
    # A route isn't blamed for a service that is named but can't be used.
    for name in entry_names(fields, "services"):
        by_name.setdefault(name, model.Service(name, MANY, False, 0))
    configuration = model.Configuration(
        version=decode_version(fields, found),
        routes=tuple(routes),
        services=by_name,
        teams=tuple(teams),
        limits=decode_limits(fields, found),
    )
    listed = len(items(fields, "routes", []))
    return Decoded(configuration, tuple(found), len(routes) == listed)


def decode_all(
    fields: json_fields.Fields,
    kind: Kind[Entry],
    found: list[findings.Finding],
) -> list[Entry]:
    """Decodes the entries of one kind.

    :param fields: the configuration
    :param kind: the kind
    :param found: findings, to which others are added
    :return: those that can be used
    """
    decoded = []
    for index, value in enumerate(items(fields, kind.field, found)):
        path = f"{kind.field}[{index}]"
        name = name_of(value) or path
        try:
            entry = json_fields.Fields(fields.row, path, value)
            found.extend(unknown_fields(kind.name, name, entry, kind.known))
            decoded.append(kind.decode(entry))
        except json_fields.RowError as error:
            field = error.field.removeprefix(path).removeprefix(".")
            found.append(findings.error(kind.name, name, field, error.reason))
    return decoded


def items(
    fields: json_fields.Fields, name: str, found: list[findings.Finding]
) -> list[typing.Any]:
    """Returns a list of the configuration.

    :param fields: the configuration
    :param name: name of the list
    :param found: findings, to which one is added if it is no list
    """
    try:
        return fields.items(name)
    except json_fields.RowError as error:
        found.append(findings.error("configuration", "", name, error.reason))
        return []


def decode_version(
    fields: json_fields.Fields, found: list[findings.Finding]
) -> int:
    """Decodes the version.

    :param fields: the configuration
    :param found: findings, to which one is added if it is wrong
    :return: the version, 0 if it can't be used
    """
    try:
        return fields.whole("version")
    except json_fields.RowError as error:
        found.append(
            findings.error("configuration", "", "version", error.reason)
        )
        return 0


def decode_limits(
    fields: json_fields.Fields, found: list[findings.Finding]
) -> model.CallerLimits:
    """Decodes the limits on callers.

    :param fields: the configuration
    :param found: findings, to which one is added if they are wrong
    :return: the limits, the defaults if they can't be used
    """
    try:
        entry = json_fields.Fields(
            fields.row, "limits", fields.value.get("limits", {})
        )
        found.extend(unknown_fields("limits", "", entry, LIMIT_FIELDS))
        return rows.decode_limits(entry)
    except json_fields.RowError as error:
        field = error.field.removeprefix("limits").removeprefix(".")
        found.append(findings.error("limits", "", field, error.reason))
        return model.CallerLimits()


def repeated_services(
    services: typing.Sequence[model.Service],
) -> findings.Findings:
    """Returns services that another one of the same name replaces.

    :param services: all decoded services
    """
    names = [service.name for service in services]
    for name in sorted(set(names)):
        count = names.count(name)
        if count > 1:
            yield findings.error(
                "service", name, "name", f"is the name of {count} services"
            )


def unknown_fields(
    kind: str,
    name: str,
    fields: json_fields.Fields,
    known: tuple[str, ...],
) -> findings.Findings:
    """Returns fields that gateways ignore, as a misspelt one is.

    :param kind: kind of the entry
    :param name: its name
    :param fields: the entry
    :param known: names of the fields that gateways read
    """
    for field in fields.value:
        if field in known:
            continue
        close = difflib.get_close_matches(field, known, 1)
        hint = f": did you mean {close[0]!r}?" if close else ""
        yield findings.warning(
            kind, name, field, f"is not known and has no effect{hint}"
        )


def entry_names(fields: json_fields.Fields, name: str) -> list[str]:
    """Returns the names of all entries of a list that have one.

    :param fields: the configuration
    :param name: name of the list
    """
    value = fields.value.get(name)
    entries = value if isinstance(value, list) else []
    return [found for found in map(name_of, entries) if found]


def name_of(value: object) -> str:
    """Returns the name of an entry, empty if it has none.

    :param value: the entry, of any type
    """
    name = value.get("name") if isinstance(value, dict) else None
    return name if isinstance(name, str) else ""
