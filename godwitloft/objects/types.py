"""Data classes of the named objects that operators publish."""

import dataclasses
import enum
import typing

MAX_NAME_LENGTH = 100
NAME: typing.Mapping[str, int] = {"min": 1, "max": MAX_NAME_LENGTH}
COUNT: typing.Mapping[str, int] = {"min": 0, "max": 10_000_000}
DURATION_MS: typing.Mapping[str, int] = {"min": 1, "max": 86_400_000}


class ServiceKind(enum.Enum):
    """What kind of upstreams serve a service."""

    MODEL = "model"
    PLAIN = "plain"


@dataclasses.dataclass(frozen=True)
class Tier:
    """A priority class of requests.

    :param name: unique among tiers
    :param rank: 0 is the most important; unique among tiers
    :param timeout_ms: timeout of a request that sets none
    """

    name: str = dataclasses.field(metadata=NAME)
    rank: int = dataclasses.field(metadata={"min": 0, "max": 99})
    timeout_ms: int = dataclasses.field(default=60_000, metadata=DURATION_MS)


@dataclasses.dataclass(frozen=True)
class Call:
    """A rule for calls of a plain service.

    :param method: HTTP method, or ``*`` for any
    :param path: path below the service; a final ``*`` matches any
        remainder
    :param idempotent: whether such a call may safely be repeated
    """

    method: str = "*"
    path: str = "*"
    idempotent: bool = False


@dataclasses.dataclass(frozen=True)
class Service:
    """A model or a plain service that callers address.

    :param name: unique among services; for models, the model's name
    :param kind: kind of its upstreams
    :param pools: names of the upstream pools that serve it
    :param tier: default tier of a request that names none
    :param calls: for plain services, the rules for calls; the first that
        matches applies; a call that matches none is treated as
        non-idempotent
    """

    name: str = dataclasses.field(metadata=NAME)
    kind: ServiceKind
    pools: tuple[str, ...] = dataclasses.field(metadata={"min": 1, "max": 100})
    tier: str = dataclasses.field(metadata=NAME)
    calls: tuple[Call, ...] = ()


@dataclasses.dataclass(frozen=True)
class Team:
    """A customer with its own keys, permissions and limits.

    :param name: unique among teams
    :param key_hashes: hexadecimal SHA-256 of each bearer token
    :param tiers: names of the tiers that the team may use
    :param services: names of the services that it may call; empty: all
    :param weight: share of engine time, relative to other teams in a tier
    :param max_running: maximum running requests; 0: no limit
    :param max_waiting: maximum waiting requests; 0: no limit
    :param tokens_per_s: prompt and output tokens per second; 0: no limit
    """

    name: str = dataclasses.field(metadata=NAME)
    key_hashes: tuple[str, ...]
    tiers: tuple[str, ...] = dataclasses.field(metadata={"min": 1, "max": 100})
    services: tuple[str, ...] = ()
    weight: int = dataclasses.field(
        default=1, metadata={"min": 1, "max": 1000}
    )
    max_running: int = dataclasses.field(default=0, metadata=COUNT)
    max_waiting: int = dataclasses.field(default=0, metadata=COUNT)
    tokens_per_s: int = dataclasses.field(default=0, metadata=COUNT)


@dataclasses.dataclass(frozen=True)
class WantedState:
    """The state that the upstreams of a pool should reach.

    :param model: name of the model
    :param version: version of its weights
    :param adapter: name of an adapter, or empty for none
    :param role: ``serve``, ``prefill`` or ``decode``
    """

    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = "serve"


@dataclasses.dataclass(frozen=True)
class Pool:
    """A set of interchangeable upstreams.

    :param name: unique among pools
    :param kind: kind of the upstreams
    :param wanted: the state that they should reach, or null for no orders
    :param checks_orders: whether an upstream rejects an order with an
        outdated fencing number
    :param resumable: whether an upstream can suspend and resume a stream
    :param max_order_ms: maximum duration of an order
    :param max_running: maximum number of running requests on one upstream
    """

    name: str = dataclasses.field(metadata=NAME)
    kind: ServiceKind
    wanted: WantedState | None = None
    checks_orders: bool = False
    resumable: bool = False
    max_order_ms: int = dataclasses.field(default=30_000, metadata=DURATION_MS)
    max_running: int = dataclasses.field(
        default=64, metadata={"min": 1, "max": 100_000}
    )


@dataclasses.dataclass(frozen=True)
class ObjectSet:
    """A complete configuration, checked as a whole.

    :param tiers: in no particular order
    :param services: in no particular order
    :param teams: in no particular order
    :param pools: in no particular order
    """

    tiers: tuple[Tier, ...] = ()
    services: tuple[Service, ...] = ()
    teams: tuple[Team, ...] = ()
    pools: tuple[Pool, ...] = ()
