"""What the operators' HTTP API asks of an entry, and what it answers.

The same data classes are written by the API and read by the commands.
"""

import dataclasses
import typing

from godwitloft import errors
from godwitloft.coordination import publish as publishing
from godwitloft.objects import check
from godwitloft.objects import types

MAX_EXPLAINED_STEPS = 1000


class OperatorError(errors.GodwitloftError):
    """An entry can't do now what an operator asks; nothing was changed."""


@dataclasses.dataclass(frozen=True)
class Daemon:
    """What an entry knows of one daemon, itself included.

    :param instance: unique name of the instance
    :param role: ``entry`` or ``agent``
    :param availability_zone: where it is
    :param generation: of the configuration in force there
    :param heard_ms_ago: since it was last heard of
    :param draining: whether it takes no new work
    :param running: requests that run there
    :param waiting: for entries: requests that wait there
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
    """The state of all daemons that an entry knows.

    :param head_generation: of the accepted configuration, as far as known
    :param store_reachable: whether the platform's table answered last
    :param daemons: in order of their names
    """

    head_generation: int
    store_reachable: bool
    daemons: tuple[Daemon, ...]


@dataclasses.dataclass(frozen=True)
class Step:
    """One thing that happened to a request.

    :param after_ms: since the request was accepted
    :param what: standard term, for example ``dispatched``
    :param detail: where or why, in a few words
    """

    after_ms: int
    what: str
    detail: str = ""


@dataclasses.dataclass(frozen=True)
class Explanation:
    """What became of a request, and why.

    :param request_id: as its caller was told
    :param state: state of the request's chart
    :param service: that it called
    :param tier: that it was in
    :param team: of its caller
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

    :param objects: the whole set, as in a file of objects
    :param base_generation: generation that the operator started from
    :param reason: why
    :param publish_id: unique to this intent; the same when tried again
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

    :param reason: why
    """

    reason: str = dataclasses.field(
        metadata={"min": 1, "max": publishing.MAX_REASON_CHARACTERS}
    )


@dataclasses.dataclass(frozen=True)
class PublishAnswer:
    """What became of a request to publish.

    :param outcome: ``published``, ``unchanged``, ``rejected`` or
        ``conflicting``
    :param head: the configuration in force, as far as known
    :param rebased: whether others' changes came in since the base
    :param problems: of a rejected set
    :param theirs: others' changes that stand in the way
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
    :param objects: the whole set, as in a file of objects
    """

    head: publishing.Head
    objects: dict[str, object]


@dataclasses.dataclass(frozen=True)
class HistoryAnswer:
    """Who published what.

    :param heads: newest first
    """

    heads: tuple[publishing.Head, ...]


@dataclasses.dataclass(frozen=True)
class DrainAnswer:
    """An instance was told to drain.

    :param instance: its name
    """

    instance: str


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Why a request of an operator was refused.

    :param reason: one of the fixed words of
        :mod:`godwitloft.operators.operator_http`
    :param message: for people
    """

    reason: str
    message: str


@dataclasses.dataclass(frozen=True)
class RefusalAnswer:
    """The body of every refusal.

    :param error: why
    """

    error: Refusal


@dataclasses.dataclass(frozen=True)
class OperatorPort:
    """What the API calls; each function returns an awaitable.

    They may fail with :class:`OperatorError`, with the errors of
    :mod:`godwitloft.coordination.publish` and with
    :class:`godwitloft.store.port.PlatformError`.

    :param publish: publishes a set; see
        :meth:`godwitloft.coordination.publish.Publisher.publish`
    :param head: reads the accepted configuration's head
    :param snapshot: ``(head)`` to the canonical JSON of its objects
    :param history: ``(before generation, count)`` to heads, newest first
    :param status: tells the state of the daemons
    :param explain: ``(request id)`` to what became of it, or None
    :param drain: ``(instance, author, reason)`` to whether it is known
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
