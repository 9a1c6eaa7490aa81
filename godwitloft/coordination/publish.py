"""Publishes configurations so that none is partly visible, lost or reverted.

A snapshot holds the whole set of objects and is written under its hash before
anything refers to it. One row, ``head``, names the snapshot in force;
replacing it by compare-and-swap is what accepts a configuration. Before the
swap, the publisher makes sure that the history has a row for the generation
that it is about to replace. So after a lost answer to a swap, a publisher can
always find out whether it took effect: the publish id is then either still in
``head`` or in the history row of that generation.
"""

import dataclasses
import hashlib
import json
import random
import typing

from twisted.internet import defer
from twisted.internet import interfaces

from godwitloft import clock as clocks
from godwitloft import decode
from godwitloft import errors
from godwitloft.coordination import rebase
from godwitloft.coordination import swap
from godwitloft.store import port

TABLE = "configuration"
HEAD_KEY = "head"
SNAPSHOT_PREFIX = "snapshot-"
MAX_SNAPSHOT_BYTES = 16 * 1024 * 1024
MAX_ATTEMPTS = 8
MAX_GENERATIONS_BEHIND = 200
MAX_REASON_CHARACTERS = 500
FIRST_BACKOFF_MS = 50
LONGEST_BACKOFF_MS = 2000


RunBlocking = typing.Callable[..., typing.Awaitable[typing.Any]]


class PublishError(errors.GodwitloftError):
    """A configuration was not published; nothing changed."""


class PublishUndecided(errors.GodwitloftError):
    """A configuration may or may not have been published.

    Publish again with the same publish id: it is never accepted twice.

    :param publish_id: publish id of the attempt
    """

    def __init__(self, publish_id: str) -> None:
        self.publish_id = publish_id
        super().__init__(
            f"publish {publish_id!r}: the store's answer was lost and reading"
            " back failed; publish again with the same publish id"
        )


@dataclasses.dataclass(frozen=True)
class Head:
    """An accepted configuration, as stored in ``head`` and the history.

    :param generation: 1 for the first; increases by 1 with each acceptance
    :param snapshot_hash: SHA-256 of the canonical JSON, hexadecimal
    :param publish_id: set by the client, unique to one intended change
    :param author: who published it
    :param reason: why it was published
    :param published_wall_ms: wall time of the publisher in milliseconds
    """

    generation: int
    snapshot_hash: str = ""
    publish_id: str = ""
    author: str = ""
    reason: str = ""
    published_wall_ms: int = 0


EMPTY_HEAD = Head(generation=0)


@dataclasses.dataclass(frozen=True)
class Format:
    """Functions that encode, decode and check a set of objects.

    :param encode: converts a set to canonical bytes
    :param decode: converts canonical bytes to a set
    :param check: returns the problems of a set; empty if it is valid
    :param empty: the set before the first publish
    """

    encode: typing.Callable[[typing.Any], bytes]
    decode: typing.Callable[[bytes], typing.Any]
    check: typing.Callable[[typing.Any], typing.Sequence[typing.Any]]
    empty: typing.Any


@dataclasses.dataclass(frozen=True)
class Request:
    """An operator's request to publish a set of objects.

    :param objects: the whole set
    :param base_generation: generation on which the operator's changes are
        based
    :param author: who publishes
    :param reason: why
    :param publish_id: unique to this intended change; the same on a retry
    """

    objects: typing.Any
    base_generation: int
    author: str
    reason: str
    publish_id: str


@dataclasses.dataclass(frozen=True)
class Published:
    """The configuration was accepted.

    :param head: the accepted head
    :param content: the snapshot's bytes; empty if the acceptance was found
        in the history
    :param rebased: whether the set was rebased onto changes by others
    """

    head: Head
    content: bytes
    rebased: bool


@dataclasses.dataclass(frozen=True)
class Unchanged:
    """The configuration in force already equals the requested set.

    :param head: the configuration in force
    """

    head: Head


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The set is invalid; nothing was published.

    :param problems: result of the check
    :param rebased: whether the set was rebased before the check
    """

    problems: tuple[typing.Any, ...]
    rebased: bool


@dataclasses.dataclass(frozen=True)
class ConflictingChange:
    """A change by another operator that conflicts with the request.

    :param kind: field of the set
    :param name: name of the object
    :param head: the last accepted configuration that changed the object
    """

    kind: str
    name: str
    head: Head


@dataclasses.dataclass(frozen=True)
class Conflicting:
    """Others changed the same objects since the base; nothing was published.

    :param head: the configuration in force
    :param conflicts: the conflicting changes, one for each object
    """

    head: Head
    conflicts: tuple[ConflictingChange, ...]


Outcome = Published | Unchanged | Rejected | Conflicting


def snapshot_name(snapshot_hash: str) -> str:
    """Returns the name of a snapshot in the object store.

    :param snapshot_hash: SHA-256 of its content, hexadecimal
    :return: the name
    """
    return SNAPSHOT_PREFIX + snapshot_hash


def history_key(generation: int) -> str:
    """Returns the key of a generation's history row.

    :param generation: number of the generation
    :return: a key that sorts by generation
    """
    return f"history-{generation:012d}"


def encode_head(head: Head) -> bytes:
    """Encodes a head for the table.

    :param head: the head
    :return: JSON
    """
    return json.dumps(dataclasses.asdict(head), sort_keys=True).encode()


def decode_head(row: port.Row | None) -> Head:
    """Decodes a head from its row.

    :param row: the row, or None before the first publish
    :return: the head; generation 0 before the first publish
    :raises decode.DecodeError: if the row isn't a valid head
    """
    if row is None:
        return EMPTY_HEAD
    where = f"row {row.key!r}"
    return decode.decode_json(Head, row.value, where)


class Publisher:
    """Publishes sets of objects.

    It is stateless: any number of publishers may work at the same time, in
    any process.

    :param platform: the table and the object store
    :param clock: for the publishing time in the history
    :param scheduler: for waits between attempts
    :param object_format: encodes, decodes and checks sets
    :param rng: for jitter
    :param run_blocking: runs a function with its arguments; a daemon passes
        ``threads.deferToThread``, since work on a large set would block the
        reactor
    """

    def __init__(
        self,
        platform: port.Platform,
        clock: clocks.Clock,
        scheduler: interfaces.IReactorTime,
        object_format: Format,
        rng: random.Random,
        run_blocking: RunBlocking = defer.maybeDeferred,
    ) -> None:
        self.platform = platform
        self.clock = clock
        self.scheduler = scheduler
        self.object_format = object_format
        self.rng = rng
        self.run_blocking = run_blocking

    async def publish(self, request: Request) -> Outcome:
        """Publishes a set; rebases it if others published since its base.

        :param request: the set, with author and reason
        :return: the outcome
        :raises PublishError: if the store can't be used; nothing was
            published
        :raises PublishUndecided: if it can't be found out whether the set
            was published
        """
        _check_request(request)
        lost_generation = 0
        cause: Exception | None = None
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await self._wait(attempt - 1)
            try:
                outcome = await self._try_publish(request, lost_generation)
            except _SwapLost as error:
                lost_generation = max(lost_generation, error.generation)
                cause = error
                continue
            except port.PlatformError as error:
                cause = error
                continue
            if outcome is not None:
                return outcome
        if lost_generation:
            raise PublishUndecided(request.publish_id) from cause
        raise PublishError(
            f"publish {request.publish_id!r}: not published after"
            f" {MAX_ATTEMPTS} attempts: {cause or 'others published first'}"
        ) from cause

    async def history(
        self, before_generation: int, count: int
    ) -> tuple[Head, ...]:
        """Reads the history, newest first.

        :param before_generation: only older generations are read
        :param count: maximum number of generations
        :return: the heads; ends at the first missing row
        :raises port.PlatformError: if the store can't be read
        """
        found = []
        first = max(1, before_generation - count)
        for generation in range(before_generation - 1, first - 1, -1):
            head = await self._read_history(generation)
            if head is None:
                break
            found.append(head)
        return tuple(found)

    async def read_head(self) -> Head:
        """Reads the head of the configuration in force.

        :return: the head
        :raises port.PlatformError: if the store can't be read
        """
        return decode_head(await self.platform.read_row(TABLE, HEAD_KEY))

    async def _try_publish(
        self, request: Request, lost_generation: int
    ) -> Outcome | None:
        """Makes one attempt to publish.

        If the answer to an earlier swap was lost, only acceptance is final
        until the head has reached that swap's generation: before that, the
        earlier swap may still take effect.

        :param request: the request
        :param lost_generation: highest generation of an earlier swap whose
            answer was lost, or 0
        :return: the outcome, or None to try again
        """
        row = await self.platform.read_row(TABLE, HEAD_KEY)
        head = decode_head(row)
        since = await self._heads_since(request.base_generation, head)
        accepted = _find_publish(request.publish_id, since)
        if accepted is not None:
            return Published(accepted, b"", rebased=False)
        outcome = await self._rebase_and_accept(request, row, head, since)
        decided = head.generation >= lost_generation
        if decided or isinstance(outcome, Published):
            return outcome
        return None

    async def _rebase_and_accept(
        self,
        request: Request,
        row: port.Row | None,
        head: Head,
        since: typing.Sequence[Head],
    ) -> Outcome | None:
        if head.generation < request.base_generation:
            # A stale read: the operator has already seen a newer generation.
            return None
        rebased = head.generation != request.base_generation
        objects = request.objects
        if rebased:
            merged = await self._rebase(request, head, since)
            if isinstance(merged, Conflicting):
                return merged
            objects = merged
        problems = tuple(
            await self.run_blocking(self.object_format.check, objects)
        )
        if problems:
            return Rejected(problems, rebased)
        content = await self.run_blocking(self.object_format.encode, objects)
        return await self._accept(request, row, head, content, rebased)

    async def _accept(
        self,
        request: Request,
        row: port.Row | None,
        head: Head,
        content: bytes,
        rebased: bool,
    ) -> Outcome | None:
        if len(content) > MAX_SNAPSHOT_BYTES:
            raise PublishError(
                f"publish {request.publish_id!r}: snapshot of {len(content)}"
                f" bytes is above {MAX_SNAPSHOT_BYTES}"
            )
        snapshot_hash = hashlib.sha256(content).hexdigest()
        if snapshot_hash == head.snapshot_hash:
            return Unchanged(head)
        await self._write_snapshot(snapshot_hash, content)
        await self._ensure_history(head)
        new_head = Head(
            generation=head.generation + 1,
            snapshot_hash=snapshot_hash,
            publish_id=request.publish_id,
            author=request.author,
            reason=request.reason,
            published_wall_ms=self.clock.wall_ms(),
        )
        answer = await self._swap_head(new_head, row.version if row else 0)
        if isinstance(answer, port.Conflict):
            return None
        accepted = decode_head(answer.row)
        await self._try_ensure_history(accepted)
        return Published(accepted, content, rebased)

    async def _swap_head(
        self, new_head: Head, version: int
    ) -> port.Swapped | port.Conflict:
        try:
            return await swap.compare_and_swap(
                self.platform,
                TABLE,
                HEAD_KEY,
                encode_head(new_head),
                version,
                is_ours=lambda value: (
                    _publish_id(value) == new_head.publish_id
                ),
            )
        except port.AnswerLost as error:
            raise _SwapLost(str(error), new_head.generation) from error

    async def _rebase(
        self, request: Request, head: Head, since: typing.Sequence[Head]
    ) -> typing.Any:
        base = await self._read_objects_at(request.base_generation)
        mine = await self.run_blocking(rebase.changes, base, request.objects)
        current = await self._read_objects(head)
        theirs = await self.run_blocking(rebase.changes, base, current)
        keys = rebase.conflicting_keys(mine, theirs)
        if keys:
            return Conflicting(
                head, await self._conflicting_changes(keys, base, since)
            )
        return await self.run_blocking(rebase.apply, current, mine)

    async def _conflicting_changes(
        self,
        keys: typing.Iterable[rebase.ObjectKey],
        base: typing.Any,
        since: typing.Sequence[Head],
    ) -> tuple[ConflictingChange, ...]:
        last: dict[rebase.ObjectKey, Head] = {}
        before = base
        for head in since:
            after = await self._read_objects(head)
            changes = await self.run_blocking(rebase.changes, before, after)
            for change in changes:
                last[change.key] = head
            before = after
        return tuple(ConflictingChange(*key, head=last[key]) for key in keys)

    async def _heads_since(self, base: int, head: Head) -> list[Head]:
        """Returns the heads after the base, oldest first."""
        if head.generation - base > MAX_GENERATIONS_BEHIND:
            raise PublishError(
                f"base generation {base} is more than"
                f" {MAX_GENERATIONS_BEHIND} behind {head.generation};"
                " start again from the configuration in force"
            )
        found = []
        for generation in range(base + 1, head.generation):
            found.append(await self._require_history(generation))
        if head.generation > base:
            found.append(head)
        return found

    async def _read_objects_at(self, generation: int) -> typing.Any:
        if generation == 0:
            return self.object_format.empty
        return await self._read_objects(
            await self._require_history(generation)
        )

    async def _read_objects(self, head: Head) -> typing.Any:
        name = snapshot_name(head.snapshot_hash)
        content = await self.platform.read_object(name)
        if content is None:
            raise port.StoreUnavailable(f"object {name!r} is missing")
        return await self.run_blocking(self.object_format.decode, content)

    async def _require_history(self, generation: int) -> Head:
        head = await self._read_history(generation)
        if head is None:
            raise port.StoreUnavailable(
                f"history row of generation {generation} is missing"
            )
        return head

    async def _read_history(self, generation: int) -> Head | None:
        key = history_key(generation)
        row = await self.platform.read_row(TABLE, key)
        return decode_head(row) if row else None

    async def _write_snapshot(
        self, snapshot_hash: str, content: bytes
    ) -> None:
        name = snapshot_name(snapshot_hash)
        try:
            await self.platform.write_object(name, content)
        except port.AnswerLost as error:
            # Writing the same content again is harmless, so this is treated
            # as a call without effect.
            raise port.StoreUnavailable(str(error)) from error

    async def _ensure_history(self, head: Head) -> None:
        """Ensures that the history has a row for a head."""
        if head.generation == 0:
            return
        key = history_key(head.generation)
        try:
            await self.platform.write_row(
                TABLE, key, encode_head(head), 0, None
            )
        except port.AnswerLost as error:
            raise port.StoreUnavailable(str(error)) from error

    async def _try_ensure_history(self, head: Head) -> None:
        try:
            await self._ensure_history(head)
        except port.PlatformError:
            # The next publisher writes the row before it replaces the head.
            pass

    async def _wait(self, attempt: int) -> None:
        duration_ms = swap.backoff_ms(
            attempt, FIRST_BACKOFF_MS, LONGEST_BACKOFF_MS, self.rng.random()
        )
        await swap.sleep(self.scheduler, duration_ms)


class _SwapLost(port.PlatformError):
    """The swap of the head may have taken effect.

    :param message: text of the error
    :param generation: generation that the swap would accept
    """

    def __init__(self, message: str, generation: int) -> None:
        self.generation = generation
        super().__init__(message)


def _check_request(request: Request) -> None:
    if not request.publish_id:
        raise PublishError("publish: key 'publish_id': is empty")
    if len(request.reason) > MAX_REASON_CHARACTERS:
        raise PublishError(
            f"publish {request.publish_id!r}: key 'reason': length"
            f" {len(request.reason)} is above {MAX_REASON_CHARACTERS}"
        )


def _find_publish(
    publish_id: str, heads: typing.Iterable[Head]
) -> Head | None:
    for head in heads:
        if head.publish_id == publish_id:
            return head
    return None


def _publish_id(value: bytes) -> str:
    return decode_head(port.Row(HEAD_KEY, value, 0)).publish_id
