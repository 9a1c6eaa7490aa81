"""Checks a whole configuration before it is sent to the gateways.

Every entry is judged, whatever is wrong with another, so that an operator can
correct all of them in one pass.
"""

import collections
import dataclasses
import typing

from godwitloft.configurations import check_routes
from godwitloft.configurations import check_teams
from godwitloft.configurations import findings
from godwitloft.configurations import service_upstreams
from godwitloft.gateway import model

# Shorter heads don't hold the headers that each request needs.
LEAST_HEADER_BYTES = 512


@dataclasses.dataclass(frozen=True)
class Surroundings:
    """What a configuration will meet.

    :param retry_ratio: retries that the settings allow for each request
    :param allowance_window_ms: window over which the settings sum usage up
    :param upstreams: upstreams by service, None if they aren't known
    :param has_all_routes: whether all routes could be decoded
    """

    retry_ratio: float
    allowance_window_ms: int
    upstreams: service_upstreams.Known = None
    has_all_routes: bool = True


def check(
    configuration: model.Configuration, surroundings: Surroundings
) -> tuple[findings.Finding, ...]:
    """Finds what is wrong with a configuration.

    :param configuration: the entries that could be decoded
    :param surroundings: what it will meet
    :return: the findings, errors first
    """
    found = [
        *check_names(configuration),
        *check_routes.check(
            configuration, surroundings.retry_ratio, surroundings.upstreams
        ),
        *check_services(configuration, surroundings),
        *check_teams.check(
            configuration,
            surroundings.allowance_window_ms,
            surroundings.upstreams,
        ),
        *check_limits(configuration),
    ]
    return in_order(found)


def in_order(
    found: typing.Iterable[findings.Finding],
) -> tuple[findings.Finding, ...]:
    """Returns findings with errors first.

    :param found: findings in any order
    """
    return tuple(
        sorted(
            found,
            key=lambda finding: (
                finding.severity is findings.Severity.WARNING,
                finding.kind,
                finding.name,
                finding.field,
            ),
        )
    )


def check_names(configuration: model.Configuration) -> findings.Findings:
    """Checks whether names are unique.

    :param configuration: the configuration; its services are by name
    """
    for kind, names in (
        (check_routes.KIND, [route.name for route in configuration.routes]),
        (check_teams.KIND, [team.name for team in configuration.teams]),
    ):
        for name, count in collections.Counter(names).items():
            if count > 1:
                yield findings.error(
                    kind, name, "name", f"is the name of {count} {kind}s"
                )
    if not configuration.routes:
        yield findings.error(
            "configuration",
            "",
            "routes",
            "there are none: all requests get 404",
        )


def check_services(
    configuration: model.Configuration, surroundings: Surroundings
) -> findings.Findings:
    """Checks whether services are used, and can be.

    :param configuration: the configuration
    :param surroundings: what it will meet
    """
    known = surroundings.upstreams
    used = {
        target.service
        for route in configuration.routes
        for target in route.targets
        if target.weight > 0
    }
    for name, service in configuration.services.items():
        if name not in used and surroundings.has_all_routes:
            yield findings.warning(
                "service", name, "", "no route sends requests to it"
            )
        if service.max_connections == 0:
            yield findings.warning(
                "service",
                name,
                "max_connections",
                "is 0: its upstreams reset every connection",
            )
        found = known.get(name) if known is not None else None
        if found is None:
            continue
        slots = found.slots // found.count
        if 0 < service.max_connections < slots:
            yield findings.warning(
                "service",
                name,
                "max_connections",
                f"{service.max_connections} is below the {slots} slots of an"
                " upstream",
            )


def check_limits(configuration: model.Configuration) -> findings.Findings:
    """Checks the limits on callers.

    :param configuration: the configuration
    """
    limits = configuration.limits
    if limits.header_bytes < LEAST_HEADER_BYTES:
        yield findings.error(
            "limits",
            "",
            "header_bytes",
            f"{limits.header_bytes} is less than the headers of a request"
            " need",
        )
    for field in ("header_timeout_ms", "idle_timeout_ms"):
        if getattr(limits, field) == 0:
            yield findings.error(
                "limits", "", field, "is 0: every connection is closed"
            )
    if limits.body_bytes == 0:
        yield findings.warning(
            "limits", "", "body_bytes", "is 0: no request may have a body"
        )
    if 0 < limits.idle_timeout_ms < limits.header_timeout_ms:
        yield findings.warning(
            "limits",
            "",
            "idle_timeout_ms",
            f"{limits.idle_timeout_ms} ms is below the"
            f" {limits.header_timeout_ms} ms that a head may take",
        )
