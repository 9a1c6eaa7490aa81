"""What a gateway knows of its routes, teams and upstreams.

An adapter decodes these values from whatever source it serves; nothing here
knows the names of that source.
"""

import dataclasses
import enum


class Kind(enum.Enum):
    """What may be repeated, and how the answer comes."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True)
class Target:
    """One of the services among which a route is split.

    :param service: its name
    :param weight: share of the requests, against the sum of all weights
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Which requests go to which services, and what they may take.

    :param name: unique name
    :param host: lower-case host name
    :param prefix: beginning of the path, with a slash at both ends
    :param kind: what may be repeated
    :param targets: where its requests may run; never empty
    :param rank: importance, 0 is the highest
    :param timeout_ms: latest end of an answer, from arrival
    :param target_ms: time within which the (first) answer should come
    :param max_attempts: upstreams to which one request may be sent
    :param public: whether no key is needed
    :param resumable: whether a stream may go on at another upstream
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    targets: tuple[Target, ...]
    rank: int
    timeout_ms: int
    target_ms: int
    max_attempts: int
    public: bool
    resumable: bool


@dataclasses.dataclass(frozen=True)
class Service:
    """A group of equal upstreams.

    :param name: unique name
    :param max_connections: open connections that one upstream accepts
    :param is_engine: whether its upstreams are model engines
    :param memory_tokens: tokens that one engine can hold, 0 if unknown
    """

    name: str
    max_connections: int
    is_engine: bool
    memory_tokens: int


@dataclasses.dataclass(frozen=True)
class Team:
    """Callers that share keys, a rank and an allowance.

    :param name: unique name
    :param keys: any of them names the team
    :param rank: importance of its requests, None for that of the route
    :param tokens_per_s: allowance over all gateways, 0 for no limit
    :param burst_tokens: what may be used at once beyond the rate
    :param default_tokens: size of a request that states none
    :param counts_tokens: whether a request counts by its size, or as one
    """

    name: str
    keys: tuple[str, ...]
    rank: int | None
    tokens_per_s: float
    burst_tokens: float
    default_tokens: int
    counts_tokens: bool


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Bounds on what a caller may send, and how slowly.

    :param header_bytes: longest head of a request
    :param body_bytes: longest body
    :param header_timeout_ms: longest time for the head
    :param idle_timeout_ms: how long an unused connection stays open
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclasses.dataclass(frozen=True)
class Configuration:
    """Everything that operators decide, as one version.

    :param version: grows with each change
    :param routes: all routes
    :param services: by name
    :param teams: all teams; empty if requests need no key
    :param limits: bounds on callers
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    teams: tuple[Team, ...]
    limits: CallerLimits


@dataclasses.dataclass(frozen=True)
class Upstream:
    """One start of an upstream process.

    :param id: identity that ends with the process
    :param service: name of its service
    :param host: IP number
    :param port: TCP port
    :param zone: its availability zone
    :param slots: requests that it works on at the same time
    :param leaving: whether it must get no new work
    :param born_ms: wall time of its start, 0 if unknown
    """

    id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    leaving: bool
    born_ms: int
