"""Checks the routes of a configuration."""

from godwitloft.configurations import findings
from godwitloft.configurations import service_upstreams
from godwitloft.gateway import model

KIND = "route"
# With more attempts, fewer than one request in twenty may fail before the
# retry budget is used up.
LEAST_FAILING_SHARE = 0.05


def check(
    configuration: model.Configuration,
    retry_ratio: float,
    known: service_upstreams.Known,
) -> findings.Findings:
    """Checks all routes.

    :param configuration: the configuration
    :param retry_ratio: retries that the settings allow for each request
    :param known: upstreams by service, None if they aren't known
    :return: the findings
    """
    places: dict[tuple[str, str], model.Route] = {}
    for route in configuration.routes:
        yield from check_place(route)
        place = route.host, route.prefix
        if place in places:
            # The router keeps the last of equal places.
            other = places[place].name
            yield findings.error(
                KIND,
                other,
                "prefix",
                f"never matches: route {route.name!r} has the same host and"
                " prefix and comes later",
            )
        places[place] = route
        yield from check_targets(route, configuration, known)
        yield from check_times(route)
        yield from check_attempts(route, retry_ratio, known)


def check_place(route: model.Route) -> findings.Findings:
    """Checks whether a route's host and prefix can match a request.

    :param route: the route
    """
    if ":" in route.host:
        yield findings.error(
            KIND,
            route.name,
            "host",
            f"{route.host!r} never matches: ports are left out of the Host"
            " header",
        )
    if any(letter.isspace() or letter in "/*" for letter in route.host):
        yield findings.error(
            KIND, route.name, "host", f"{route.host!r} is no host name"
        )
    if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
        yield findings.error(
            KIND,
            route.name,
            "prefix",
            f"{route.prefix!r} never matches: it must begin and end with a"
            " slash",
        )
    for letter in "?#":
        if letter in route.prefix:
            yield findings.error(
                KIND,
                route.name,
                "prefix",
                f"{route.prefix!r} never matches: paths are compared without"
                f" {letter!r} and what follows",
            )


def check_targets(
    route: model.Route,
    configuration: model.Configuration,
    known: service_upstreams.Known,
) -> findings.Findings:
    """Checks the services of a route.

    :param route: the route
    :param configuration: its configuration
    :param known: upstreams by service, None if they aren't known
    """
    seen = set()
    for target in route.targets:
        if target.service not in configuration.services:
            yield findings.error(
                KIND,
                route.name,
                "service",
                f"service {target.service!r} does not exist",
            )
        elif known is not None and not known.get(target.service):
            yield findings.error(
                KIND,
                route.name,
                "service",
                f"service {target.service!r} has no upstream",
            )
        if target.weight == 0:
            yield findings.warning(
                KIND,
                route.name,
                "split",
                f"service {target.service!r} has weight 0 and gets no"
                " requests",
            )
        if target.service in seen:
            yield findings.warning(
                KIND,
                route.name,
                "split",
                f"service {target.service!r} is named twice",
            )
        seen.add(target.service)


def check_times(route: model.Route) -> findings.Findings:
    """Checks the timeouts of a route against each other.

    :param route: the route
    """
    name = route.name
    if route.timeout_ms == 0:
        yield findings.error(
            KIND, name, "timeout", "is 0 ms, so every request times out"
        )
    elif route.timeout_ms < route.target_ms:
        yield findings.warning(
            KIND,
            name,
            "timeout",
            f"{route.timeout_ms} ms is below the target latency of"
            f" {route.target_ms} ms, which can't be missed",
        )
    if route.target_ms == 0:
        yield findings.warning(
            KIND, name, "target", "is 0 ms, so every answer is late"
        )
    is_stream = route.kind is model.Kind.STREAM
    if route.max_gap_ms and not is_stream:
        yield findings.warning(
            KIND, name, "max_gap", "has no effect: the route has no streams"
        )
    elif route.max_gap_ms >= route.timeout_ms > 0:
        yield findings.warning(
            KIND,
            name,
            "max_gap",
            f"{route.max_gap_ms} ms can't be reached within the timeout of"
            f" {route.timeout_ms} ms",
        )
    if route.resumable and not is_stream:
        yield findings.warning(
            KIND, name, "resumable", "has no effect: the route has no streams"
        )


def check_attempts(
    route: model.Route,
    retry_ratio: float,
    known: service_upstreams.Known,
) -> findings.Findings:
    """Checks the attempts of a route against what retries need.

    :param route: the route
    :param retry_ratio: retries that the settings allow for each request
    :param known: upstreams by service, None if they aren't known
    """
    name, attempts = route.name, route.max_attempts
    if attempts == 0:
        yield findings.error(
            KIND, name, "max_attempts", "is 0, so no request is sent"
        )
        return
    retries = attempts - 1
    if retries * LEAST_FAILING_SHARE > retry_ratio:
        failing = retry_ratio / retries
        yield findings.warning(
            KIND,
            name,
            "max_attempts",
            f"{attempts} contradicts the retry budget of {retry_ratio} for"
            f" each request, which is used up when {failing:.1%} of the"
            " requests fail",
        )
    if known is not None:
        count = sum(
            known[target.service].count
            for target in route.targets
            if target.service in known
        )
        if 0 < count < attempts:
            yield findings.warning(
                KIND,
                name,
                "max_attempts",
                f"{attempts} can't be used: its services have"
                f" {count} upstream{'s' if count > 1 else ''}",
            )
    is_stream = route.kind is model.Kind.STREAM
    if is_stream and route.resumable and attempts == 1:
        yield findings.warning(
            KIND,
            name,
            "resumable",
            "only callers can resume streams, as max_attempts is 1",
        )
