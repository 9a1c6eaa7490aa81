"""Routes, services, teams and upstreams of a gateway.

An adapter decodes these values from its own source; nothing here depends on
the names or formats of that source.
"""

import dataclasses
import enum


class Kind(enum.Enum):
    """Whether requests may be repeated, and how they are answered."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True)
class Target:
    """One of the services among which a route's requests are split.

    :param service: name of the service
    :param weight: share of the requests, relative to the sum of all weights
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Assigns requests to services, with their limits.

    :param name: unique name
    :param host: lower-case host name
    :param prefix: prefix of the path, with a slash at both ends
    :param kind: whether requests may be repeated
    :param targets: services that may run its requests, never empty
    :param rank: importance, 0 is the highest
    :param timeout_ms: time from arrival to the latest end of an answer
    :param target_ms: time from arrival in which the answer, or the first data
        of a stream, should be received
    :param max_attempts: maximum number of upstreams that run one request
    :param public: whether requests need no key
    :param resumable: whether a stream may be resumed at another upstream
    :param max_gap_ms: longest pause between two events of a stream with which
        it is still on time, 0 if there is no such bound
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
    max_gap_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Service:
    """A group of interchangeable upstreams.

    :param name: unique name
    :param max_connections: maximum number of connections to one upstream
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
    :param keys: keys that identify the team
    :param rank: importance of its requests, None for that of the route
    :param tokens_per_s: allowance over all gateways, 0 for no limit
    :param burst_tokens: tokens that may be used at once in excess of the rate
    :param default_tokens: assumed size of a request without a stated size
    :param counts_tokens: whether a request counts with its size in tokens,
        or as one
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
    """Limits on the size and duration of callers' requests.

    :param header_bytes: maximum size of a request's head
    :param body_bytes: maximum size of a request's body
    :param header_timeout_ms: maximum time to receive the head
    :param idle_timeout_ms: how long an idle connection stays open
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclasses.dataclass(frozen=True)
class Configuration:
    """All settings made by operators, as one version.

    :param version: increases with each change
    :param routes: all routes
    :param services: by name
    :param teams: all teams; empty if requests need no key
    :param limits: limits on callers
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    teams: tuple[Team, ...]
    limits: CallerLimits


@dataclasses.dataclass(frozen=True)
class Upstream:
    """One run of an upstream process.

    The ``repr`` is hashed and compared between gateways, so that it must not
    change: names and order of the fields are a part of the protocol.

    :param id: identity, new at each start of the process
    :param service: name of its service
    :param host: IP number
    :param port: TCP port
    :param zone: its availability zone
    :param slots: number of requests that it runs concurrently
    :param leaving: whether it must get no new requests
    :param born_ms: wall time of its start, 0 if unknown
    :param version: version of its software, empty if unknown
    """

    id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    leaving: bool
    born_ms: int
    version: str = ""
