"""Knows at which version the streams began that are not on record.

Each service has a base version, which the gateways agree on in a store. A
stream that begins at any other version is put on record before its caller has
an event of it; so one without a record began at the base version, whoever
sent it and whatever has become of that gateway.

The base version changes only once the old one has not been listed for longer
than any of its streams can last. No gateway that knows less can be wrong by
then: what it believes of the old version matters to no stream any more.

A write of a change that got no answer may be performed once the old version is
back. So that version counts again only after it was stored anew, which the
store does under a condition that the change has then lost.
"""

import collections
import dataclasses
import typing

from godwitloft import clock as clocks
from godwitloft.gateway import model
from godwitloft.gateway.streams import service_versions

# How long a gateway that is cut off from the store may send to an upstream
# that isn't listed any more.
RETIRE_MARGIN_MS = 15_000
# After a longer time without a current list, a version may have left and come
# back unseen. Shorter than the margin.
MAX_UNCONFIRMED_MS = 10_000


@dataclasses.dataclass(frozen=True)
class Base:
    """The base version of a service.

    :param version: software version of its upstreams
    :param number: rises with each change
    :param timeline: timeline of the store in which it was stored
    :param complete_from_ms: time of the store's clock at which a restore was
        noticed in that timeline; records of streams that began before may be
        missing
    """

    version: str
    number: int
    timeline: int = 0
    complete_from_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Reading:
    """When and where stored base versions were read.

    :param asked_ms: when the reading began
    :param timeline: the store's timeline
    :param store_ms: time of the store's clock
    """

    asked_ms: int
    timeline: int
    store_ms: int


class BaseVersions:
    """Base versions of all services, as this gateway knows them.

    :param clock: source of the time
    :param list_confirmed_ms: returns when the list of upstreams was last known
        to be current, None without a list
    :param stream_life_ms: returns how long after its start a stream may be
        taken up again
    """

    def __init__(
        self,
        clock: clocks.Clock,
        list_confirmed_ms: typing.Callable[[], int | None],
        stream_life_ms: typing.Callable[[], int],
    ) -> None:
        self.clock = clock
        self.list_confirmed_ms = list_confirmed_ms
        self.stream_life_ms = stream_life_ms
        # Whether there is a store to agree in, which its adapter says.
        self.has_store = False
        # By service.
        self.bases: dict[str, Base] = {}
        self.stored_numbers: dict[str, int] = {}
        # When the last reading of all stored ones began.
        self.read_ms: int | None = None
        self.timeline = 0
        # As in `Base`, by service.
        self.complete_from_ms: dict[str, int] = {}
        # Until when a stream without a record may have begun at any version,
        # by service.
        self.incomplete_until_ms: dict[str, int] = {}
        # Since when each version is listed without a break, and at how many
        # upstreams.
        self.listed_since_ms: dict[service_versions.ServiceVersion, int] = {}
        self.counts: dict[str, collections.Counter[str]] = {}
        self.has_list = False
        # Since when a service's base version is not listed.
        self.absent_since_ms: dict[str, int] = {}
        # Numbers of base versions that have come back into the list and must
        # be stored anew, by service.
        self.returned_numbers: dict[str, int] = {}
        self.confirmed_ms: int | None = None

    def update(self, upstreams: typing.Iterable[model.Upstream]) -> None:
        """Takes over a new list of upstreams.

        :param upstreams: all listed upstreams
        """
        self.heed_gap()
        self.has_list = True
        now_ms = self.clock.monotonic_ms()
        counts: dict[str, collections.Counter[str]] = {}
        for upstream in upstreams:
            versions = counts.setdefault(
                upstream.service, collections.Counter()
            )
            versions[upstream.version] += 1
        self.counts = counts
        listed = [
            service_versions.ServiceVersion(service, version)
            for service, versions in counts.items()
            for version in versions
        ]
        self.listed_since_ms = {
            version: self.listed_since_ms.get(version, now_ms)
            for version in listed
        }
        self.note_absences(now_ms)

    def note_absences(self, now_ms: int) -> None:
        """Notes which base versions are not listed.

        :param now_ms: the current time
        """
        if not self.has_list:
            return
        for service, base in self.bases.items():
            if base.version in self.counts.get(service, ()):
                if self.absent_since_ms.pop(service, None) is not None:
                    self.returned_numbers[service] = base.number
            else:
                self.absent_since_ms.setdefault(service, now_ms)

    def heed_gap(self) -> None:
        """Forgets what may have changed while no current list was known."""
        confirmed_ms = self.list_confirmed_ms()
        if confirmed_ms is None or confirmed_ms == self.confirmed_ms:
            return
        before_ms = self.confirmed_ms
        self.confirmed_ms = confirmed_ms
        if before_ms is None or confirmed_ms - before_ms < MAX_UNCONFIRMED_MS:
            return
        now_ms = self.clock.monotonic_ms()
        self.listed_since_ms = dict.fromkeys(self.listed_since_ms, now_ms)
        self.absent_since_ms = dict.fromkeys(self.absent_since_ms, now_ms)
        for service, base in self.bases.items():
            self.returned_numbers[service] = base.number

    def mark_restored(self) -> None:
        """Records that the store may have lost the last changes."""
        self.read_ms = None
        self.stored_numbers.clear()

    def mark_unread(self) -> None:
        """Records that the stored base versions must be read again."""
        self.read_ms = None

    def needs_reading(self) -> bool:
        """Returns whether the stored base versions must be read.

        A base version may have changed unless it was read after its version
        was listed.
        """
        self.heed_gap()
        read_ms = self.read_ms
        return read_ms is None or any(
            since_ms > read_ms for since_ms in self.listed_since_ms.values()
        )

    def learn(self, stored: dict[str, Base], reading: Reading) -> None:
        """Takes over the stored base versions.

        :param stored: all of them, by service
        :param reading: when and where they were read
        """
        now_ms = self.clock.monotonic_ms()
        self.timeline = reading.timeline
        self.stored_numbers = {
            service: base.number
            for service, base in stored.items()
            if base.timeline == reading.timeline
        }
        for service, base in stored.items():
            known = self.bases.get(service)
            if known is None or base.number > known.number:
                self.bases[service] = base
                self.absent_since_ms.pop(service, None)
        for service in self.bases:
            self.heed_restore(service, stored.get(service), reading)
        self.read_ms = reading.asked_ms
        self.note_absences(now_ms)

    def heed_restore(
        self, service: str, stored: Base | None, reading: Reading
    ) -> None:
        """Heeds that a restore may have cut back records of streams.

        A gateway that was not there then learns it from the base version: that
        was stored in a former timeline, unless another has stored it since.

        :param service: a service with a base version
        :param stored: the stored one, None if a restore has removed it
        :param reading: when and where it was read
        """
        from_ms = reading.store_ms
        if stored is not None and stored.timeline == reading.timeline:
            from_ms = stored.complete_from_ms
            if not from_ms:
                return
        self.complete_from_ms[service] = from_ms
        age_ms = reading.store_ms - from_ms
        self.incomplete_until_ms[service] = (
            self.clock.monotonic_ms() - age_ms + self.stream_life_ms()
        )

    def has_all_records(self, service: str) -> bool:
        """Returns whether no record of a stream can be missing.

        :param service: name of the service
        """
        until_ms = self.incomplete_until_ms.get(service)
        return until_ms is None or self.clock.monotonic_ms() >= until_ms

    def to_store(self) -> dict[str, Base]:
        """Returns the base versions that are to be stored, by service.

        They are new or, after a restore of the store, newer than the stored
        ones, or not yet stored in its new timeline.
        """
        if self.needs_reading():
            return {}
        found = {}
        for service, versions in self.counts.items():
            known = self.bases.get(service)
            if known is None:
                found[service] = self.base(service, most_used(versions), 1)
            elif self.stored_numbers.get(service, 0) < known.number:
                found[service] = self.base(
                    service, known.version, known.number
                )
            elif self.is_retired(service):
                found[service] = self.base(
                    service, most_used(versions), known.number + 1
                )
            elif self.has_returned(service) and known.version in versions:
                found[service] = self.base(
                    service, known.version, known.number + 1
                )
        return found

    def has_returned(self, service: str) -> bool:
        """Returns whether a base version has come back and isn't stored anew.

        :param service: name of a service with a base version
        """
        number = self.returned_numbers.get(service)
        return number is not None and self.bases[service].number <= number

    def base(self, service: str, version: str, number: int) -> Base:
        """Returns a base version to be stored.

        :param service: name of its service
        :param version: the version
        :param number: its number
        """
        return Base(
            version,
            number,
            self.timeline,
            self.complete_from_ms.get(service, 0),
        )

    def is_retired(self, service: str) -> bool:
        """Returns whether no stream of the base version can be unfinished.

        :param service: name of a service
        """
        since_ms = self.absent_since_ms.get(service)
        if since_ms is None:
            return False
        absent_ms = self.clock.monotonic_ms() - since_ms
        return absent_ms >= self.stream_life_ms() + RETIRE_MARGIN_MS

    def record_stored(self, stored: dict[str, Base]) -> None:
        """Records that base versions were stored.

        :param stored: those that were written, by service
        """
        for service, base in stored.items():
            self.bases[service] = base
            self.stored_numbers[service] = base.number
            self.absent_since_ms.pop(service, None)
        self.note_absences(self.clock.monotonic_ms())

    def version_of(self, service: str) -> str | None:
        """Returns the base version of a service.

        :param service: name of the service
        :return: the version, None if it isn't known
        """
        base = self.bases.get(service)
        return base.version if base is not None else None

    def is_base(self, service: str, version: str) -> bool:
        """Returns whether streams may begin at a version without a record.

        :param service: name of the service
        :param version: version of an upstream
        """
        self.heed_gap()
        key = service_versions.ServiceVersion(service, version)
        since_ms = self.listed_since_ms.get(key, 0)
        return (
            self.version_of(service) == version
            and not self.has_returned(service)
            and self.read_ms is not None
            and self.read_ms >= since_ms
        )

    def needs_record(self, service: str, version: str) -> bool:
        """Returns whether a stream must be on record before its first event.

        :param service: name of the service
        :param version: version of the upstream at which it is to begin
        :return: False also without a store
        """
        return self.has_store and not self.is_base(service, version)


def most_used(versions: collections.Counter[str]) -> str:
    """Returns the version of most upstreams.

    :param versions: number of upstreams of each version, at least of one
    """
    return min(versions, key=lambda version: (-versions[version], version))
