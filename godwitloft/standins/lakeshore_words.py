"""What operators, callers and machines write on a Lakeshore platform.

Tests and experiments say what they want in the project's own words; the
platform's names for it stand here, beside the stand-in that reads them.
"""

import dataclasses
import json
import typing

PLAIN_TOKENS = 10
TARGET_MS = 400
# Runners of the stand-in announce as many.
ENGINE_SLOTS = 4
HEARTBEAT_MS = 400


@dataclasses.dataclass(frozen=True)
class Route:
    """A route, whose prefix is its name.

    :param name: of the route
    :param kind: ``streaming``, ``idempotent`` or ``non_idempotent``
    :param service: ``model`` or ``desk``
    :param resumable: whether its streams may go on elsewhere
    :param public: whether it needs no key
    """

    name: str
    kind: str
    service: str
    resumable: bool = False
    public: bool = False


@dataclasses.dataclass(frozen=True)
class Team:
    """A team and its allowance.

    :param name: of the team
    :param keys: that its callers show
    :param tokens_per_s: of its allowance
    :param burst_tokens: of its allowance
    """

    name: str
    keys: tuple[str, ...]
    tokens_per_s: int = 1_000_000
    burst_tokens: int = 1_000_000


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Bounds that a process is told; None leaves one to its default.

    :param leave_s: between SIGTERM and SIGKILL
    :param revoke_ms: after which a withdrawn key must not work
    :param allowance_window_s: over which an allowance is summed up
    :param allowance_overage: part of an allowance that may be used besides
    :param allowance_slack: tokens that may be used besides
    :param retry_ratio: repeats for each first request
    :param retry_extra: repeats besides
    :param retry_window_s: over which repeats are counted
    """

    leave_s: int
    revoke_ms: int
    allowance_window_s: int
    allowance_overage: float | None = None
    allowance_slack: int | None = None
    retry_ratio: float | None = None
    retry_extra: int | None = None
    retry_window_s: int | None = None


BOUND_NAMES: typing.Mapping[str, str] = {
    "leave_s": "grace-s",
    "revoke_ms": "revoke-ms",
    "allowance_window_s": "quota-window-s",
    "allowance_overage": "quota-overage",
    "allowance_slack": "quota-slack",
    "retry_ratio": "retry-budget-ratio",
    "retry_extra": "retry-budget-extra",
    "retry_window_s": "budget-window-s",
}


@dataclasses.dataclass(frozen=True)
class Machine:
    """A machine and where its process listens.

    :param instance: name of the instance
    :param host: its IP number
    :param ports: first and last for use between instances
    :param front: address for callers, None if there is none
    :param ready: address for the balancer's question, None if there is none
    :param upstream: address of the upstream beside it, None without one
    """

    instance: str
    host: str
    ports: tuple[int, int]
    front: str | None = None
    ready: str | None = None
    upstream: str | None = None


def configuration(
    version: int,
    host: str,
    routes: typing.Iterable[Route],
    teams: typing.Iterable[Team],
    timeout_ms: int,
    limits: typing.Mapping[str, typing.Any] | None = None,
) -> dict[str, typing.Any]:
    """Returns the operators' row.

    :param version: of the configuration
    :param host: that callers name
    :param routes: the most important first
    :param teams: all of them
    :param timeout_ms: of each route
    :param limits: on callers, in the platform's names
    :return: what JSON can hold
    """
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{route.name}",
                "host": host,
                "prefix": f"/{route.name}/",
                "kind": route.kind,
                "timeout-ms": timeout_ms,
                "target-latency-ms": TARGET_MS,
                "priority": number,
                "service": route.service,
                "max-attempts": 2
                if route.kind == "idempotent" or route.resumable
                else 1,
                "public": route.public,
                "resumable": route.resumable,
            }
            for number, route in enumerate(routes)
        ],
        "services": [
            {
                "name": "model",
                "max-connections": 50,
                "engine": {"slots": ENGINE_SLOTS},
            },
            {"name": "desk", "max-connections": 50},
        ],
        "limits": dict(limits or {}),
        "tenants": [
            {
                "name": team.name,
                "api-keys": list(team.keys),
                "unit": "tokens",
                "plain-tokens": PLAIN_TOKENS,
                "rate-per-s": team.tokens_per_s,
                "burst": team.burst_tokens,
            }
            for team in teams
        ],
    }


def boot(machine: Machine, store: str, bounds: Bounds) -> str:
    """Returns the settings file of a process.

    It holds a field that no process knows, as a newer platform's may.

    :param machine: where it runs
    :param store: address of the store
    :param bounds: that it is told
    :return: TOML
    """
    lines = [
        f'node-name = "{machine.instance}"',
        f'ip = "{machine.host}"',
        'zone = "a"',
        f"internal-port-range = {list(machine.ports)}",
        f"heartbeat-ms = {HEARTBEAT_MS}",
        "a-new-field = true",
    ]
    if machine.upstream is not None:
        lines.append(f'app = "{machine.upstream}"')
    if machine.front is not None:
        lines.append("[listen]")
        lines.append(f'front = "{machine.front}"')
        lines.append(f'ready = "{machine.ready}"')
    lines.append("[bounds]")
    lines.append("strict-revocation = true")
    for field, name in BOUND_NAMES.items():
        value = getattr(bounds, field)
        if value is not None:
            lines.append(f"{name} = {json.dumps(value)}")
    lines.append("[platform]")
    lines.append(f'address = "{store}"')
    return "\n".join(lines) + "\n"


def caller_headers(
    host: str,
    request_id: str,
    key: str,
    time_left_ms: int,
    tokens: tuple[int, int] | None = None,
) -> dict[str, str]:
    """Returns the headers of a caller's request.

    :param host: that it names
    :param request_id: of the request
    :param key: that it shows, empty for none
    :param time_left_ms: how long the caller waits
    :param tokens: to be read and to be generated, None to leave them unsaid
    :return: values by name
    """
    headers = {
        "Host": host,
        "Godwitloft-Request-Id": request_id,
        "Godwitloft-Deadline-Ms": str(time_left_ms),
    }
    if key:
        headers["Authorization"] = f"Token {key}"
    if tokens is not None:
        prompt, output = tokens
        headers["Godwitloft-Token-Counts"] = f"{prompt},{output}"
    return headers
