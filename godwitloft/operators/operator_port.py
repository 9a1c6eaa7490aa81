"""Interface between the operators' HTTP API and an entry.

The API encodes these data classes, and the commands decode them.
"""

import dataclasses
import typing

from godwitloft import errors
from godwitloft.coordination import publish as publishing
from godwitloft.objects import check
from godwitloft.objects import types

MAX_EXPLAINED_STEPS = 1000


class OperatorError(errors.GodwitloftError):
    """An entry can't carry out a request now; nothing was changed."""


@dataclasses.dataclass(frozen=True)
class Daemon:
    """What an entry knows about a daemon, itself included.

    :param instance: unique name of the instance
    :param role: ``entry`` or ``agent``
    :param availability_zone: where it runs
    :param generation: of the configuration in force on it
    :param heard_ms_ago: time since this entry or a peer last received a
        message from it
    :param draining: whether it drains and accepts no new requests
    :param running: number of running requests
    :param waiting: for entries: number of waiting requests
    :param pool: for agents: the pool of their upstream
    """

    instance: str
    role: str
    availability_zone: str
    generation: int
    heard_ms_ago: int = 0
    draining: bool = False
    running: int = 0
    waiting: int = 0
    pool: str = ""


@dataclasses.dataclass(frozen=True)
class Status:
    """The state of all daemons known to an entry.

    :param head_generation: newest accepted generation known to the entry
    :param store_reachable: whether the platform's table answered the last call
    :param daemons: ordered by name
    """

    head_generation: int
    store_reachable: bool
    daemons: tuple[Daemon, ...]


@dataclasses.dataclass(frozen=True)
class Step:
    """A step in the life of a request.

    :param after_ms: time since the request was accepted
    :param what: standard term, for example ``dispatched``
    :param detail: where or why it happened
    """

    after_ms: int
    what: str
    detail: str = ""


@dataclasses.dataclass(frozen=True)
class Explanation:
    """The outcome of a request, and the steps that led to it.

    :param request_id: the id that the caller received
    :param state: state of the request's state chart
    :param service: service that it called
    :param tier: its tier
    :param team: team of its caller
    :param steps: oldest first
    """

    request_id: str
    state: str
    service: str
    tier: str
    team: str
    steps: tuple[Step, ...] = ()


@dataclasses.dataclass(frozen=True)
class PublishBody:
    """Body of a request to publish.

    :param objects: the whole set, in the format of a file of objects
    :param base_generation: generation that the set is based on
    :param reason: why, for the history
    :param publish_id: unique to this publish; unchanged when it is retried
    """

    objects: dict[str, object]
    base_generation: int = dataclasses.field(metadata={"min": 0})
    reason: str = dataclasses.field(
        metadata={"min": 1, "max": publishing.MAX_REASON_CHARACTERS}
    )
    publish_id: str = dataclasses.field(metadata=types.NAME)


@dataclasses.dataclass(frozen=True)
class DrainBody:
    """Body of a request to drain an instance.

    :param reason: why, for the log
    """

    reason: str = dataclasses.field(
        metadata={"min": 1, "max": publishing.MAX_REASON_CHARACTERS}
    )


@dataclasses.dataclass(frozen=True)
class PublishAnswer:
    """Result of a request to publish.

    :param outcome: ``published``, ``unchanged``, ``rejected`` or
        ``conflicting``
    :param head: the newest accepted configuration known to the entry
    :param rebased: whether it includes changes made by others since the base
    :param problems: of a rejected set
    :param theirs: changes by others that conflict with it
    """

    outcome: str
    head: publishing.Head = publishing.EMPTY_HEAD
    rebased: bool = False
    problems: tuple[check.Problem, ...] = ()
    theirs: tuple[publishing.ConflictingChange, ...] = ()


@dataclasses.dataclass(frozen=True)
class SnapshotAnswer:
    """One generation of the configuration.

    :param head: who published it, when and why
    :param objects: the whole set, in the format of a file of objects
    """

    head: publishing.Head
    objects: dict[str, object]


@dataclasses.dataclass(frozen=True)
class HistoryAnswer:
    """Heads of the published configurations.

    :param heads: newest first
    """

    heads: tuple[publishing.Head, ...]


@dataclasses.dataclass(frozen=True)
class DrainAnswer:
    """Confirms that an instance will drain.

    :param instance: name of the instance
    """

    instance: str


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Why a request of an operator was refused.

    :param reason: a value of
        :class:`godwitloft.operators.operator_http.Reason`
    :param message: human-readable explanation
    """

    reason: str
    message: str


@dataclasses.dataclass(frozen=True)
class RefusalAnswer:
    """The body of the answer to a refused request.

    :param error: reason of the refusal
    """

    error: Refusal


@dataclasses.dataclass(frozen=True)
class OperatorPort:
    """Functions that the API calls; each returns an awaitable.

    They may raise :class:`OperatorError`, the errors of
    :mod:`godwitloft.coordination.publish` and
    :class:`godwitloft.store.port.PlatformError`.

    :param publish: publishes a set; see
        :meth:`godwitloft.coordination.publish.Publisher.publish`
    :param head: reads the accepted configuration's head
    :param snapshot: ``(head)`` to the canonical JSON of its objects
    :param history: ``(before generation, count)`` to heads, newest first
    :param status: returns the state of the daemons
    :param explain: ``(request id)`` to its explanation, or None when unknown
    :param drain: ``(instance, author, reason)`` to whether the instance is
        known
    """

    publish: typing.Callable[
        [publishing.Request], typing.Awaitable[publishing.Outcome]
    ]
    head: typing.Callable[[], typing.Awaitable[publishing.Head]]
    snapshot: typing.Callable[[publishing.Head], typing.Awaitable[bytes]]
    history: typing.Callable[
        [int, int], typing.Awaitable[tuple[publishing.Head, ...]]
    ]
    status: typing.Callable[[], typing.Awaitable[Status]]
    explain: typing.Callable[[str], typing.Awaitable[Explanation | None]]
    drain: typing.Callable[[str, str, str], typing.Awaitable[bool]]
