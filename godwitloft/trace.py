"""Records the events of requests as one JSON line each.

``godwitloft audit`` checks the guarantees on these lines and ``godwitloft
replay`` replays them with the policy. docs/TRACE.md lists the kinds with
their fields. The times on a line are of the process that wrote it.
"""

import dataclasses
import enum
import json
import typing

from godwitloft import clock as clocks
from godwitloft import decode
from godwitloft import errors

MAX_LINE_BYTES = 16 * 1024
MAX_KEPT_FIELD_BYTES = 256


class TraceError(errors.GodwitloftError):
    """A line is not a valid trace line."""


class Kind(enum.Enum):
    """The kind of a trace line; docs/TRACE.md lists the fields of each."""

    PROCESS_STARTED = "process_started"
    PROCESS_STOPPED = "process_stopped"
    GENERATION = "generation"
    LEAVING = "leaving"
    UPSTREAM_LEAVING = "upstream_leaving"
    CAPACITY = "capacity"
    ACCEPTED = "accepted"
    JOINED = "joined"
    CLAIMED = "claimed"
    BID = "bid"
    URGENT = "urgent"
    SKIPPED = "skipped"
    PULLED = "pulled"
    DISPATCHED = "dispatched"
    RUN_AGAIN = "run_again"
    TOMBSTONE = "tombstone"
    STARTED = "started"
    SUSPENDED = "suspended"
    RESUMED = "resumed"
    ENDED = "ended"
    CRASHED = "crashed"
    VERDICT = "verdict"
    REFUSED = "refused"
    TOLD = "told"


@dataclasses.dataclass(frozen=True)
class Record:
    """One line of a trace.

    :param kind: kind of the event
    :param request_id: id of the request, or empty
    :param instance: instance that wrote it
    :param incarnation: name of the start of its process
    :param sequence: number of the line within the incarnation, from 1
    :param monotonic_ms: monotonic time, comparable within an incarnation
    :param wall_ms: time since 1970, to merge traces of several processes
    :param fields: further fields of the kind
    """

    kind: Kind
    request_id: str
    instance: str
    incarnation: str
    sequence: int
    monotonic_ms: int
    wall_ms: int
    fields: typing.Mapping[str, typing.Any]


class Recorder:
    """Writes the trace of one process.

    :param clock: source of the time
    :param instance: name of this instance
    :param incarnation: unique name of this start of the process
    :param write: called with each line, without the newline
    """

    def __init__(
        self,
        clock: clocks.Clock,
        instance: str,
        incarnation: str,
        write: typing.Callable[[str], None],
    ) -> None:
        self.clock = clock
        self.instance = instance
        self.incarnation = incarnation
        self.write = write
        self.sequence = 0

    def record(
        self, kind: Kind, request_id: str = "", **fields: typing.Any
    ) -> None:
        """Writes one line of at most :data:`MAX_LINE_BYTES`.

        If it would be longer, the large fields are omitted and their names
        listed under ``truncated``.

        :param kind: kind of the event
        :param request_id: id of the request, or empty
        :param fields: values that JSON can hold
        """
        self.sequence += 1
        head = {
            "kind": kind.value,
            "id": request_id,
            "instance": self.instance,
            "incarnation": self.incarnation,
            "seq": self.sequence,
            "mono_ms": self.clock.monotonic_ms(),
            "wall_ms": self.clock.wall_ms(),
        }
        line = _encode({**head, **fields})
        if len(line) > MAX_LINE_BYTES:
            line = _encode({**head, **_drop_large(fields)})
        self.write(line)


class NullRecorder(Recorder):
    """Discards all records, for daemons whose trace is off."""

    def __init__(self) -> None:
        zero = clocks.Clock(lambda: 0, lambda: 0)
        super().__init__(zero, "", "", lambda line: None)

    def record(
        self, kind: Kind, request_id: str = "", **fields: typing.Any
    ) -> None:
        """Does nothing.

        :param kind: ignored
        :param request_id: ignored
        :param fields: ignored
        """


def parse(line: str) -> Record:
    """Parses a trace line.

    :param line: a line written by :meth:`Recorder.record`
    :return: the record
    :raises TraceError: if it is not a trace line
    """
    try:
        value = decode.load_json(line)
        return Record(
            kind=Kind(value.pop("kind")),
            request_id=str(value.pop("id")),
            instance=str(value.pop("instance")),
            incarnation=str(value.pop("incarnation")),
            sequence=int(value.pop("seq")),
            monotonic_ms=int(value.pop("mono_ms")),
            wall_ms=int(value.pop("wall_ms")),
            fields=value,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise TraceError(f"line {line[:80]!r}: {error}") from error


def _encode(value: typing.Mapping[str, typing.Any]) -> str:
    return json.dumps(value, separators=(",", ":"))


def _drop_large(
    fields: typing.Mapping[str, typing.Any],
) -> dict[str, typing.Any]:
    kept = {
        name: value
        for name, value in fields.items()
        if len(_encode({name: value})) <= MAX_KEPT_FIELD_BYTES
    }
    omitted = [name for name in fields if name not in kept]
    return {**kept, "truncated": omitted}
