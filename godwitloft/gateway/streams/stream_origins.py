"""Remembers at which software version each stream began.

Callers may take a stream up again at any gateway. A record is saved unless it
can do without: it must outlive the gateway.
"""

import dataclasses
import hashlib
import typing

from godwitloft import clock as clocks
from godwitloft.gateway.streams import service_versions

# Streams that began within this time are saved together.
SEGMENT_MS = 5_000
# Shorter than engines take until the first event, so that a stream is saved
# before its caller would have anything of it.
MIN_SAVE_INTERVAL_MS = 100
# Of all gateways together.
MAX_SAVES_PER_S = 200
# Keeps a segment within what one row of a store can hold.
MAX_SEGMENT_STREAMS = 2_000
# Keeps a save within what one call of a store can hold.
MAX_SAVED_STREAMS = 20_000
ID_BYTES = 8


@dataclasses.dataclass(frozen=True)
class Origin:
    """Where a stream began.

    :param service: the service
    :param version: software version of the upstream
    """

    service: str
    version: str


@dataclasses.dataclass(frozen=True)
class Segment:
    """Streams that began one after the other at one gateway.

    :param number: number of the segment, rising with time
    :param origins: origin of each stream, by short id
    """

    number: int
    origins: dict[str, Origin]


@dataclasses.dataclass
class SegmentTimes:
    """When the streams of a segment began.

    :param first_ms: the first of them
    :param last_ms: the last of them
    :param streams: their number
    """

    first_ms: int
    last_ms: int
    streams: int = 0


@dataclasses.dataclass(frozen=True)
class Record:
    """What is known of one stream.

    :param origin: where it began
    :param at_ms: when it began
    :param segment: number of the segment in which it is saved
    :param moved: whether it was about to begin at another version before, of
        which a record may have been saved
    """

    origin: Origin
    at_ms: int
    segment: int
    moved: bool = False


def short_id(request_id: str) -> str:
    """Returns the name under which a stream is kept.

    :param request_id: id of the caller's attempt that began it
    :return: a text of fixed length
    """
    data = request_id.encode()
    return hashlib.blake2b(data, digest_size=ID_BYTES).hexdigest()


class StreamOrigins:
    """Origins of the streams of this gateway.

    :param clock: source of the time
    :param versions: which services have several versions
    :param needs_record: returns for a service and a version whether a stream
        that began there must be on record
    :param gateways: returns the number of gateways
    :param stream_life_ms: returns how long after its start a stream may be
        taken up again
    """

    def __init__(
        self,
        clock: clocks.Clock,
        versions: service_versions.ServiceVersions,
        needs_record: typing.Callable[[str, str], bool],
        gateways: typing.Callable[[], int],
        stream_life_ms: typing.Callable[[], int],
    ) -> None:
        self.clock = clock
        self.versions = versions
        self.needs_record = needs_record
        self.gateways = gateways
        self.stream_life_ms = stream_life_ms
        # By short id, the oldest first.
        self.records: dict[str, Record] = {}
        # Short ids that are not saved, by origin and whether they moved.
        self.unsaved: dict[tuple[Origin, bool], set[str]] = {}
        # By number, also of those that were not saved.
        self.segments: dict[int, SegmentTimes] = {}
        self.saved_segments: set[int] = set()
        # Short ids of which a record may be saved, and those for which the
        # last save was the first.
        self.written: set[str] = set()
        self.newly_written: set[str] = set()
        self.saved_ms = 0
        # What is called once a stream is saved, by short id.
        self.on_saved: dict[str, typing.Callable[[], None]] = {}
        # Whether records can't be saved in time at present.
        self.is_failing = False

    def record(self, request_id: str, origin: Origin) -> None:
        """Records where a stream is about to begin.

        :param request_id: id of the caller's attempt
        :param origin: where its request is sent; the last one counts
        """
        now_ms = self.clock.monotonic_ms()
        self.forget_old(now_ms)
        name = short_id(request_id)
        known = self.records.get(name)
        if known is not None and known.origin == origin:
            return
        if known is None:
            segment = self.open_segment(now_ms)
            self.records[name] = Record(origin, now_ms, segment)
        else:
            # It stays in its segment, where it replaces what was saved.
            self.note_saved(name)
            self.records[name] = dataclasses.replace(
                known,
                origin=origin,
                moved=known.moved or name in self.written,
            )
        self.note_unsaved(name)

    def note_unsaved(self, name: str) -> None:
        """Notes that a stream is not saved.

        :param name: its short id
        """
        record = self.records[name]
        group = record.origin, record.moved
        self.unsaved.setdefault(group, set()).add(name)

    def note_saved(self, name: str) -> None:
        """Notes that a stream is saved, or need not be any more.

        :param name: its short id
        """
        record = self.records[name]
        group = record.origin, record.moved
        names = self.unsaved.get(group, set())
        names.discard(name)
        if not names:
            self.unsaved.pop(group, None)

    def open_segment(self, now_ms: int) -> int:
        """Returns the segment for a stream that begins now.

        :param now_ms: the current time
        :return: its number
        """
        number = next(reversed(self.segments), -1)
        times = self.segments.get(number)
        if (
            times is None
            or now_ms - times.first_ms >= SEGMENT_MS
            or times.streams >= MAX_SEGMENT_STREAMS
        ):
            number += 1
            times = SegmentTimes(now_ms, now_ms)
            self.segments = {
                old: old_times
                for old, old_times in self.segments.items()
                if old in self.saved_segments or not self.is_old(old)
            }
            self.segments[number] = times
        times.last_ms = now_ms
        times.streams += 1
        return number

    def when_saved(
        self, request_id: str, call: typing.Callable[[], None]
    ) -> None:
        """Calls a function once a stream that was recorded is saved.

        :param request_id: id of the caller's attempt
        :param call: the function; of several the last one counts
        """
        name = short_id(request_id)
        if name in self.records:
            self.on_saved[name] = call

    def find(self, request_id: str) -> Origin | None:
        """Returns where a stream began.

        :param request_id: id of the caller's attempt that began it
        :return: None if that isn't known here
        """
        record = self.records.get(short_id(request_id))
        return record.origin if record is not None else None

    def forget_old(self, now_ms: int) -> None:
        """Forgets streams that can't be taken up any more.

        :param now_ms: the current time
        """
        oldest_ms = now_ms - self.stream_life_ms()
        while self.records:
            name, record = next(iter(self.records.items()))
            if record.at_ms >= oldest_ms:
                return
            self.note_saved(name)
            del self.records[name]
            self.written.discard(name)
            self.on_saved.pop(name, None)

    def mark_unsaved(self) -> None:
        """Records that what was saved may be lost."""
        for name in self.records:
            self.note_unsaved(name)

    def must_save(self, origin: Origin, moved: bool) -> bool:
        """Returns whether a stream is to be saved.

        :param origin: where it began
        :param moved: whether it was about to begin elsewhere before
        """
        return (
            moved
            or self.versions.are_several(origin.service)
            or self.needs_record(origin.service, origin.version)
        )

    def must_be_saved_first(self, request_id: str) -> bool:
        """Returns whether a stream must be saved before its first event.

        :param request_id: id of the caller's attempt that was recorded
        """
        record = self.records.get(short_id(request_id))
        if record is None:
            return False
        origin = record.origin
        return record.moved or self.needs_record(
            origin.service, origin.version
        )

    def has_moved(self, request_id: str) -> bool:
        """Returns whether a record of another origin may be saved.

        :param request_id: id of the caller's attempt
        """
        record = self.records.get(short_id(request_id))
        return record is not None and record.moved

    def to_save(self) -> list[str]:
        """Returns the short ids of the streams that are to be saved."""
        return [
            name
            for group, names in self.unsaved.items()
            if self.must_save(*group)
            for name in names
        ]

    def needs_saving(self) -> bool:
        """Returns whether streams should be saved, or saved ones removed."""
        now_ms = self.clock.monotonic_ms()
        if now_ms - self.saved_ms < self.save_interval_ms():
            return False
        if self.to_save():
            return True
        self.is_failing = False
        return any(map(self.is_old, self.saved_segments))

    def save_interval_ms(self) -> int:
        """Returns the time between two savings, longer with more gateways."""
        shared_ms = self.gateways() * clocks.MS_PER_S // MAX_SAVES_PER_S
        return max(MIN_SAVE_INTERVAL_MS, shared_ms)

    def is_old(self, segment: int) -> bool:
        """Returns whether no stream of a segment can be taken up any more.

        :param segment: its number
        """
        oldest_ms = self.clock.monotonic_ms() - self.stream_life_ms()
        return self.segments[segment].last_ms < oldest_ms

    def take_old_segments(self) -> list[int]:
        """Returns segments whose saved form is to be removed, once each."""
        self.forget_old(self.clock.monotonic_ms())
        old = [number for number in self.segments if self.is_old(number)]
        for number in old:
            del self.segments[number]
        removed = self.saved_segments.intersection(old)
        self.saved_segments -= removed
        return sorted(removed)

    def take_unsaved(self, most: int) -> list[Segment]:
        """Returns segments that are to be saved, each as a whole.

        They count as saved from then on; after a failure
        :meth:`mark_unsaved` takes that back.

        :param most: the largest number of segments; the newest go first, the
            others stay unsaved
        :return: the segments, in order of time
        """
        self.saved_ms = self.clock.monotonic_ms()
        numbers = {self.records[name].segment for name in self.to_save()}
        chosen: list[int] = []
        streams = 0
        for number in sorted(numbers, reverse=True)[:most]:
            streams += self.segments[number].streams
            if chosen and streams > MAX_SAVED_STREAMS:
                break
            chosen.append(number)
        found: dict[int, dict[str, Origin]] = {
            number: {} for number in sorted(chosen)
        }
        for name, record in self.records.items():
            origins = found.get(record.segment)
            if origins is None:
                continue
            if not self.must_save(record.origin, record.moved):
                continue
            self.note_saved(name)
            origins[name] = record.origin
        self.saved_segments.update(found)
        taken = {name for origins in found.values() for name in origins}
        self.newly_written = taken - self.written
        self.written |= taken
        return [Segment(*item) for item in found.items()]

    def confirm_saved(self, segments: list[Segment]) -> None:
        """Records that segments were saved.

        :param segments: as they were taken
        """
        self.is_failing = False
        for segment in segments:
            for name, origin in segment.origins.items():
                record = self.records.get(name)
                if record is None or record.origin != origin:
                    continue
                call = self.on_saved.pop(name, None)
                if call is not None:
                    call()

    def mark_failed(self, may_be_performed: bool) -> None:
        """Records that what was taken could not be saved.

        :param may_be_performed: whether the store may have it all the same,
            or will
        """
        self.is_failing = True
        self.mark_unsaved()
        if not may_be_performed:
            self.written -= self.newly_written
