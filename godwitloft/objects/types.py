"""The kinds of named objects that operators publish."""

import dataclasses
import enum
import typing

MAX_NAME_LENGTH = 100
NAME: typing.Mapping[str, int] = {"min": 1, "max": MAX_NAME_LENGTH}
COUNT: typing.Mapping[str, int] = {"min": 0, "max": 10_000_000}
DURATION_MS: typing.Mapping[str, int] = {"min": 1, "max": 86_400_000}


class ServiceKind(enum.Enum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


@dataclasses.dataclass(frozen=True)
class Tier:
    """A class of importance.

    :param name: unique among tiers
    :param rank: 0 is the most important; unique among tiers
    :param timeout_ms: deadline of a request that states none
    """

    name: str = dataclasses.field(metadata=NAME)
    rank: int = dataclasses.field(metadata={"min": 0, "max": 99})
    timeout_ms: int = dataclasses.field(default=60_000, metadata=DURATION_MS)


@dataclasses.dataclass(frozen=True)
class Call:
    """One kind of call of a plain service.

    :param method: HTTP method, or ``*`` for any
    :param path: path below the service; a final ``*`` matches any rest
    :param idempotent: whether the call may be repeated
    """

    method: str = "*"
    path: str = "*"
    idempotent: bool = False


@dataclasses.dataclass(frozen=True)
class Service:
    """What callers address: a model, or a plain service.

    :param name: unique among services; for models, the model's name
    :param kind: what stands behind it
    :param pools: names of the upstream pools that serve it
    :param tier: tier of a request that names none
    :param calls: for plain services, the calls with their properties; the
        first that matches counts; a call that matches none is taken as
        non-idempotent
    """

    name: str = dataclasses.field(metadata=NAME)
    kind: ServiceKind
    pools: tuple[str, ...] = dataclasses.field(metadata={"min": 1, "max": 100})
    tier: str = dataclasses.field(metadata=NAME)
    calls: tuple[Call, ...] = ()


@dataclasses.dataclass(frozen=True)
class Team:
    """A customer whose requests are told apart.

    :param name: unique among teams
    :param key_hashes: SHA-256 of each bearer token, hexadecimal
    :param tiers: names of the tiers that the team may use
    :param services: names of the services that it may call; empty: all
    :param weight: share of engine time against other teams in one tier
    :param max_running: requests that may run at once; 0: no limit
    :param max_waiting: requests that may wait at once; 0: no limit
    :param tokens_per_s: prompt and output tokens a second; 0: no limit
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
    """What the upstreams of a pool should have loaded.

    :param model: name of the model
    :param version: version of its weights
    :param adapter: name of an adapter, or empty
    :param role: ``serve``, ``prefill`` or ``decode``
    """

    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = "serve"


@dataclasses.dataclass(frozen=True)
class Pool:
    """A set of upstreams that serve the same.

    :param name: unique among pools
    :param kind: what the upstreams are
    :param wanted: what they should have loaded, or null for no orders
    :param checks_orders: whether an upstream refuses an order that carries
        an old fencing number
    :param resumable: whether an upstream can suspend and resume a stream
    :param max_order_ms: the longest that an order may take
    :param max_running: upper bound on requests at once on one upstream
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
    """A whole configuration, checked as one.

    :param tiers: in no particular order
    :param services: in no particular order
    :param teams: in no particular order
    :param pools: in no particular order
    """

    tiers: tuple[Tier, ...] = ()
    services: tuple[Service, ...] = ()
    teams: tuple[Team, ...] = ()
    pools: tuple[Pool, ...] = ()
