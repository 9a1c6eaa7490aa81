"""Knows which software versions of a service may have begun a stream.

What two versions write doesn't fit together, so that a stream goes on only at
the version that began it. While the store is away, nobody can look up where a
stream began; if one version alone has served, every stream began at it.

That holds only if no gateway uses a version that another doesn't know yet. A
gateway therefore begins streams at a new version only some time after it was
first listed, and once it is saved that it may be in use: what is saved
outlives all gateways.
"""

import dataclasses
import typing

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway import model
from godwitloft.gateway.peers import store_contact as store_contacts

# Longer than it takes until all gateways that reach the store have read a
# list with a new version.
NEW_VERSION_DELAY_MS = 2_000
# How much older than the last sign of the store a current list may be: the
# time that a sign or a confirmation takes from one gateway to another.
MAX_LIST_LAG_MS = 300


@dataclasses.dataclass(frozen=True)
class ServiceVersion:
    """A software version of the upstreams of one service.

    :param service: name of the service
    :param version: the version
    """

    service: str
    version: str


@dataclasses.dataclass(frozen=True)
class Saved:
    """What must outlive a gateway.

    :param absences: versions at which its streams may have begun, and how long
        each had not been listed, in milliseconds; 0: it was
    :param new: those of them that it had only seen by then; it may have used
        them since
    """

    absences: dict[ServiceVersion, int] = dataclasses.field(
        default_factory=dict
    )
    new: frozenset[ServiceVersion] = frozenset()


class ServiceVersions:
    """Versions that unfinished streams may have begun at, by service.

    :param clock: source of the time
    :param contact: when the store is known to have been up
    :param list_confirmed_ms: returns when the list of upstreams was last known
        to be current, None without a list
    :param hears_majority: returns whether more than half of the gateways have
        announced themselves since a time, counting this one
    :param is_restored: returns whether what gateways had saved was read
    :param stream_life_ms: returns how long after its start a stream may be
        taken up again
    """

    def __init__(
        self,
        clock: clocks.Clock,
        contact: store_contacts.StoreContact,
        list_confirmed_ms: typing.Callable[[], int | None],
        hears_majority: typing.Callable[[int], bool],
        is_restored: typing.Callable[[], bool],
        stream_life_ms: typing.Callable[[], int],
    ) -> None:
        self.clock = clock
        self.contact = contact
        self.list_confirmed_ms = list_confirmed_ms
        self.hears_majority = hears_majority
        self.is_restored = is_restored
        self.stream_life_ms = stream_life_ms
        # Whether an order to roll out a version first listed at a time would
        # be known; set by the gateway.
        self.knows_orders_of: typing.Callable[[int], bool] = _knows_orders
        # Versions at which streams may have begun, and since when each has not
        # been listed, None while it is.
        self.used: dict[ServiceVersion, int | None] = {}
        # Versions that this gateway doesn't use yet, and when each was first
        # listed. Such that another may have used are in `used` as well.
        self.new: dict[ServiceVersion, int] = {}
        self.unsaved = False
        self.saved_ms: int | None = None

    def update(self, upstreams: typing.Iterable[model.Upstream]) -> None:
        """Takes over a new list of upstreams.

        :param upstreams: all listed upstreams
        """
        now_ms = self.clock.monotonic_ms()
        listed = {
            ServiceVersion(upstream.service, upstream.version)
            for upstream in upstreams
        }
        for version in listed:
            if version in self.used:
                self.used[version] = None
            elif version not in self.new:
                self.new[version] = now_ms
                self.unsaved = True
        self.new = {
            version: since_ms
            for version, since_ms in self.new.items()
            if version in listed
        }
        for version, absent_ms in list(self.used.items()):
            if version in listed:
                continue
            if absent_ms is None:
                self.used[version] = now_ms
            elif now_ms - absent_ms >= self.stream_life_ms():
                del self.used[version]

    def restore(self, saved: Saved, age_ms: int) -> None:
        """Takes over what a gateway had saved.

        :param saved: the versions
        :param age_ms: how long ago it saved them
        """
        now_ms = self.clock.monotonic_ms()
        for version, absent_ms in saved.absences.items():
            if absent_ms + age_ms >= self.stream_life_ms():
                continue
            is_listed = version in self.new
            if version not in saved.new:
                self.new.pop(version, None)
            elif is_listed or version not in self.used:
                self.new[version] = now_ms - age_ms
            self.note_use(
                version, None if is_listed else now_ms - age_ms - absent_ms
            )

    def note_use(
        self, version: ServiceVersion, absent_since_ms: int | None
    ) -> None:
        """Records that streams may have begun at a version.

        :param version: the version
        :param absent_since_ms: since when it isn't listed, None if it is; of
            several such times the latest counts
        """
        known_ms = self.used.get(version, absent_since_ms)
        if known_ms is None or absent_since_ms is None:
            self.used[version] = None
        else:
            self.used[version] = max(known_ms, absent_since_ms)

    def to_save(self) -> Saved:
        """Returns what must be saved to outlive this gateway."""
        now_ms = self.clock.monotonic_ms()
        used = {
            version: now_ms - since_ms if since_ms is not None else 0
            for version, since_ms in self.used.items()
        }
        return Saved(used | dict.fromkeys(self.new, 0), frozenset(self.new))

    def mark_unsaved(self) -> None:
        """Records that the store has lost what was saved."""
        self.unsaved = True
        self.saved_ms = None

    def mark_saved(self) -> None:
        """Records that :meth:`to_save` is about to be saved."""
        self.unsaved = False

    def record_saved(self, at_ms: int) -> None:
        """Records that the versions were saved.

        :param at_ms: when the saving began
        """
        self.saved_ms = at_ms
        self.use_new()

    def use_new(self) -> None:
        """Allows the use of new versions that all gateways must know by now.

        Where no other version of a service is listed, a new one is used at
        once: a gateway that doesn't know it has nowhere to go on with streams.
        """
        if not self.new or not self.is_restored():
            return
        listed = {
            version.service
            for version, absent_ms in self.used.items()
            if absent_ms is None and version not in self.new
        }
        for version, since_ms in list(self.new.items()):
            if version.service in listed and not (
                self.is_known_to_all(since_ms)
                and self.knows_orders_of(since_ms)
            ):
                continue
            del self.new[version]
            self.used[version] = None
            events.log(
                events.VERSION_USED,
                service=version.service,
                upstream_version=version.version,
                listed_ms_ago=self.clock.monotonic_ms() - since_ms,
            )

    def is_known_to_all(self, listed_ms: int) -> bool:
        """Returns whether all gateways know a version, and it is saved.

        :param listed_ms: when it was first listed
        """
        up = self.contact.own
        return (
            self.saved_ms is not None
            and self.saved_ms >= listed_ms
            and up is not None
            and up.until_ms >= listed_ms + NEW_VERSION_DELAY_MS
        )

    def may_begin_at(self, upstream: model.Upstream) -> bool:
        """Returns whether requests may be sent to an upstream's version.

        :param upstream: a listed upstream
        """
        version = ServiceVersion(upstream.service, upstream.version)
        return version not in self.new

    def possible(self, service: str) -> set[str]:
        """Returns the versions at which an unfinished stream may have begun.

        :param service: name of the service
        :return: also those that are about to be used
        """
        return {
            version.version
            for versions in (self.used, self.new)
            for version in versions
            if version.service == service
        }

    def are_several(self, service: str) -> bool:
        """Returns whether streams of a service may hold several versions.

        :param service: name of the service
        """
        return len(self.possible(service)) > 1

    def only_version(self, service: str, since_ms: int) -> str | None:
        """Returns the version at which every unfinished stream has begun.

        For a gateway that can't reach the store.

        :param service: name of the service
        :param since_ms: a time by which all these streams had begun
        :return: the version, None if there are several or if others may have
            been used by then
        """
        possible = self.possible(service)
        if len(possible) != 1 or not self.is_current(since_ms):
            return None
        return possible.pop()

    def is_current(self, since_ms: int) -> bool:
        """Returns whether no gateway used a version that is unknown here.

        While the store is away, none can learn of new versions. Other gateways
        tell when it was up. What they told before says nothing about what they
        have read since, and a gateway that doesn't hear most of them can't
        know.

        :param since_ms: a time by which none did
        """
        confirmed_ms = self.list_confirmed_ms()
        if confirmed_ms is None or not self.is_restored():
            return False
        up = self.contact.up
        if up is not None and up.until_ms > confirmed_ms + MAX_LIST_LAG_MS:
            return False
        return self.hears_majority(since_ms)


def _knows_orders(_listed_ms: int) -> bool:
    return True
