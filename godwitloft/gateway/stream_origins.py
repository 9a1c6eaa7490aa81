"""Remembers at which software version each stream began.

Callers may take a stream up again at any gateway. While a service has several
versions, the records are saved, as they must outlive the gateway.
"""

import dataclasses
import hashlib
import typing

from godwitloft import clock as clocks
from godwitloft.gateway import service_versions

# Streams that began within this time are saved together.
SEGMENT_MS = 5_000
# Shorter than engines take until the first event, so that a stream is saved
# before its caller has anything of it.
MIN_SAVE_INTERVAL_MS = 100
# Of all gateways together.
MAX_SAVES_PER_S = 100
# Keeps a segment within what one row of a store can hold.
MAX_SEGMENT_STREAMS = 2_000
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
    """Streams that began within :data:`SEGMENT_MS` at one gateway.

    :param number: number of the segment, rising with time
    :param origins: origin of each stream, by short id
    """

    number: int
    origins: dict[str, Origin]


@dataclasses.dataclass(frozen=True)
class Record:
    """What is known of one stream.

    :param origin: where it began
    :param at_ms: when it began, or when that was learned from the store
    :param own: whether this gateway has to save it
    """

    origin: Origin
    at_ms: int
    own: bool


def short_id(request_id: str) -> str:
    """Returns the name under which a stream is kept.

    :param request_id: id of the caller's attempt that began it
    :return: a text of fixed length
    """
    data = request_id.encode()
    return hashlib.blake2b(data, digest_size=ID_BYTES).hexdigest()


class StreamOrigins:
    """Origins of the streams of this gateway, and of those it has read.

    :param clock: source of the time
    :param versions: which services have several versions
    :param gateways: returns the number of gateways
    :param stream_life_ms: returns how long after its start a stream may be
        taken up again
    """

    def __init__(
        self,
        clock: clocks.Clock,
        versions: service_versions.ServiceVersions,
        gateways: typing.Callable[[], int],
        stream_life_ms: typing.Callable[[], int],
    ) -> None:
        self.clock = clock
        self.versions = versions
        self.gateways = gateways
        self.stream_life_ms = stream_life_ms
        # By short id, the oldest first.
        self.records: dict[str, Record] = {}
        # Short ids that are not saved, by service.
        self.unsaved: dict[str, set[str]] = {}
        self.saved_segments: set[int] = set()
        self.saved_ms = 0

    def record(self, request_id: str, origin: Origin) -> None:
        """Records where a stream is about to begin.

        :param request_id: id of the caller's attempt
        :param origin: where its request is sent; the last one counts
        """
        now_ms = self.clock.monotonic_ms()
        self.forget_old(now_ms)
        name = short_id(request_id)
        known = self.records.get(name)
        if known is not None and known.own and known.origin == origin:
            return
        if known is not None:
            # It stays in its segment, where it replaces what was saved.
            now_ms = known.at_ms
        self.records[name] = Record(origin, now_ms, own=True)
        self.unsaved.setdefault(origin.service, set()).add(name)

    def learn(self, origins: dict[str, Origin]) -> None:
        """Takes over what gateways have saved.

        :param origins: by short id
        """
        now_ms = self.clock.monotonic_ms()
        self.forget_old(now_ms)
        for name, origin in origins.items():
            self.records.setdefault(name, Record(origin, now_ms, own=False))

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
            del self.records[name]
            self.unsaved.get(record.origin.service, set()).discard(name)

    def mark_unsaved(self) -> None:
        """Records that what was saved may be lost."""
        for name, record in self.records.items():
            if record.own:
                self.unsaved.setdefault(record.origin.service, set()).add(name)

    def needs_saving(self) -> bool:
        """Returns whether streams should be saved, or saved ones removed."""
        now_ms = self.clock.monotonic_ms()
        if now_ms - self.saved_ms < self.save_interval_ms():
            return False
        if any(
            names and self.versions.are_several(service)
            for service, names in self.unsaved.items()
        ):
            return True
        return bool(self.saved_segments) and self.is_old(
            max(self.saved_segments), now_ms
        )

    def save_interval_ms(self) -> int:
        """Returns the time between two savings, longer with more gateways."""
        shared_ms = self.gateways() * clocks.MS_PER_S // MAX_SAVES_PER_S
        return max(MIN_SAVE_INTERVAL_MS, shared_ms)

    def is_old(self, segment: int, now_ms: int) -> bool:
        """Returns whether no stream of a segment can be taken up any more.

        :param segment: its number
        :param now_ms: the current time
        """
        return (segment + 1) * SEGMENT_MS < now_ms - self.stream_life_ms()

    def take_old_segments(self) -> list[int]:
        """Returns segments whose saved form is to be removed, once each."""
        now_ms = self.clock.monotonic_ms()
        old = [
            segment
            for segment in self.saved_segments
            if self.is_old(segment, now_ms)
        ]
        self.saved_segments.difference_update(old)
        return sorted(old)

    def take_unsaved(self, most: int) -> list[Segment]:
        """Returns segments that are to be saved, each as a whole.

        They count as saved from then on; after a failure
        :meth:`mark_unsaved` takes that back.

        :param most: the largest number of segments; the newest go first, the
            others stay unsaved
        :return: the segments, in order of time
        """
        self.saved_ms = self.clock.monotonic_ms()
        unsaved = {
            name
            for service, names in self.unsaved.items()
            if self.versions.are_several(service)
            for name in names
        }
        numbers = {self.segment_of(name) for name in unsaved}
        chosen = sorted(numbers)[-most:]
        found: dict[int, dict[str, Origin]] = {number: {} for number in chosen}
        for name, record in self.records.items():
            origins = found.get(self.segment_of(name))
            if origins is None or not record.own:
                continue
            service = record.origin.service
            if not self.versions.are_several(service):
                continue
            self.unsaved.get(service, set()).discard(name)
            if len(origins) < MAX_SEGMENT_STREAMS:
                origins[name] = record.origin
        self.saved_segments.update(found)
        return [Segment(*item) for item in found.items()]

    def segment_of(self, name: str) -> int:
        """Returns the segment in which a stream is saved.

        :param name: its short id
        """
        return self.records[name].at_ms // SEGMENT_MS
