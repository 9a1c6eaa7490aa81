"""Configuration, settings and headers in the Lakeshore platform's format.

Tests and benchmarks use the project's own terms; this module translates them
to the platform's names.
"""

import dataclasses
import json
import typing

PLAIN_TOKENS = 10
PART_TOKENS = 60
TARGET_MS = 400
# Runners of the stand-in announce this number of slots.
ENGINE_SLOTS = 4
HEARTBEAT_MS = 400


@dataclasses.dataclass(frozen=True)
class Route:
    """A route; its path prefix is its name.

    :param name: name of the route
    :param kind: ``streaming``, ``idempotent`` or ``non_idempotent``
    :param service: ``model`` or ``desk``
    :param resumable: whether its streams may continue on another upstream
    :param public: whether callers need no key
    :param max_attempts: how often a request may be sent, None for 2 if it may
        be repeated or resumed, else 1
    :param timeout_ms: its timeout, None for that of all routes
    """

    name: str
    kind: str
    service: str
    resumable: bool = False
    public: bool = False
    max_attempts: int | None = None
    timeout_ms: int | None = None

    def attempts(self) -> int:
        """Returns how often a request may be sent."""
        if self.max_attempts is not None:
            return self.max_attempts
        return 2 if self.kind == "idempotent" or self.resumable else 1


@dataclasses.dataclass(frozen=True)
class Team:
    """A team and its allowance.

    :param name: name of the team
    :param keys: API keys of its callers
    :param tokens_per_s: rate of its allowance
    :param burst_tokens: burst of its allowance
    """

    name: str
    keys: tuple[str, ...]
    tokens_per_s: int = 1_000_000
    burst_tokens: int = 1_000_000


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Bounds in a process's settings; None selects the default.

    :param leave_s: seconds between SIGTERM and SIGKILL
    :param revoke_ms: time after which a revoked key must not work
    :param allowance_window_s: window over which usage is summed up
    :param allowance_overage: fraction of an allowance that may be used in
        addition to it
    :param allowance_slack: tokens that may be used in addition to it
    :param retry_ratio: retries allowed for each first request
    :param retry_extra: retries allowed in addition
    :param retry_window_s: window over which retries are counted
    :param exposure_share: share of requests that a bad version may get; if it
        is set, operators may order roll-outs
    :param exposure_slack: requests that it may get in addition
    :param rollback_ms: time after its 50th bad answer from which on it must
        get none
    """

    leave_s: int
    revoke_ms: int
    allowance_window_s: int
    allowance_overage: float | None = None
    allowance_slack: int | None = None
    retry_ratio: float | None = None
    retry_extra: int | None = None
    retry_window_s: int | None = None
    exposure_share: float | None = None
    exposure_slack: int | None = None
    rollback_ms: int | None = None


BOUND_NAMES: typing.Mapping[str, str] = {
    "leave_s": "grace-s",
    "revoke_ms": "revoke-ms",
    "allowance_window_s": "quota-window-s",
    "allowance_overage": "quota-overage",
    "allowance_slack": "quota-slack",
    "retry_ratio": "retry-budget-ratio",
    "retry_extra": "retry-budget-extra",
    "retry_window_s": "budget-window-s",
    "exposure_share": "exposure-share",
    "exposure_slack": "exposure-slack",
    "rollback_ms": "rollback-ms",
}


@dataclasses.dataclass(frozen=True)
class Machine:
    """A machine and the addresses of its process.

    :param instance: name of the instance
    :param host: its IP address
    :param ports: first and last port for links between instances
    :param front: address for callers, None if there is none
    :param ready: address for the load balancer's readiness check, None if
        there is none
    :param upstream: address of the upstream on the machine, None without one
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
    """Returns the operators' configuration row.

    :param version: version of the configuration
    :param host: host of the routes
    :param routes: routes, in order of priority
    :param teams: all teams
    :param timeout_ms: timeout of each route that has none of its own
    :param limits: limits on callers, by the platform's names
    :return: a JSON object
    """
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{route.name}",
                "host": host,
                "prefix": f"/{route.name}/",
                "kind": route.kind,
                "timeout-ms": route.timeout_ms or timeout_ms,
                "target-latency-ms": TARGET_MS,
                "priority": number,
                "service": route.service,
                "max-attempts": route.attempts(),
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

    It contains an unknown field, as the file of a newer platform may.

    :param machine: the machine of the process
    :param store: address of the store
    :param bounds: bounds to set
    :return: TOML text
    """
    lines = [
        f'node-name = "{machine.instance}"',
        f'ip = "{machine.host}"',
        'zone = "a"',
        f"internal-port-range = {list(machine.ports)}",
        f"heartbeat-ms = {HEARTBEAT_MS}",
        "a-new-field = true",
    ]
    if bounds.exposure_share is not None:
        lines.append('contracts = ["placement", "rollout"]')
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
    parts: typing.Sequence[str] = (),
) -> dict[str, str]:
    """Returns the headers of a caller's request.

    :param host: value of the Host header
    :param request_id: id of the request
    :param key: API key, empty for none
    :param time_left_ms: how long the caller waits
    :param tokens: numbers of prompt and output tokens, None to omit them
    :param parts: ids of the parts of its prompt, empty to omit them
    :return: header values by name
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
    if parts:
        stated = ",".join(f"{part}:{PART_TOKENS}" for part in parts)
        headers["Godwitloft-Prompt-Prefix"] = stated
    return headers
