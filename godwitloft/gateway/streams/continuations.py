"""Finds out at which version a stream that its caller takes up began.

It is looked up in the store once the request has arrived: a record that was
needed was there before the caller had an event. A stream without one began at
its service's base version. If the store can't be read and it can't be known
otherwise, the caller is told that its attempt has not run: a text joined from
two versions looks complete and is worth nothing.
"""

import dataclasses
import typing

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway import refusals
from godwitloft.gateway import request as requests
from godwitloft.gateway.streams import base_versions
from godwitloft.gateway.streams import service_versions
from godwitloft.gateway.streams import stream_origins
from godwitloft.gateway.upstreams import fleet as fleets

# How long a request waits for the store, or for a current list.
MAX_LOOKUP_MS = 1_000
MIN_LOOKUP_INTERVAL_MS = 100
# Of all gateways together.
MAX_LOOKUPS_PER_S = 200
MAX_PENDING = 1_000
UNKNOWN_RETRY_AFTER_MS = 1_000
VERSION_UNKNOWN = refusals.Refusal(
    503, "stream_version_unknown", UNKNOWN_RETRY_AFTER_MS
)


def version_gone(origin: stream_origins.Origin) -> refusals.Refusal:
    """Returns the refusal where only other versions take requests.

    :param origin: where the stream began
    """
    return refusals.Refusal(
        503,
        "stream_version_gone",
        refusals.MAX_RETRY_AFTER_MS,
        {"service": origin.service, "upstream_version": origin.version},
    )


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """What is done with a request once its version is known.

    :param on_located: called with a request that may wait for an upstream
    :param refuse: called with any other, and why it is refused
    :param list_confirmed_ms: returns when the list of upstreams was last known
        to be current, None without a list
    :param read_list: called where a current list is needed
    :param gateways: returns the number of gateways
    """

    on_located: typing.Callable[[requests.Request], None]
    refuse: typing.Callable[[requests.Request, refusals.Refusal], None]
    list_confirmed_ms: typing.Callable[[], int | None]
    read_list: typing.Callable[[], None]
    gateways: typing.Callable[[], int]


@dataclasses.dataclass
class Pending:
    """A request that can't be passed on yet.

    :param since_ms: when it arrived
    :param origin: where its stream began, None until that is known; then the
        request waits for a list of upstreams that is newer than itself
    """

    since_ms: int
    origin: stream_origins.Origin | None = None


class Continuations:
    """Requests that continue a stream, until its version is known.

    :param clock: source of the time
    :param fleet: the upstreams
    :param versions: versions that streams may have begun at
    :param bases: versions at which the streams began that aren't on record
    :param origins: where streams of this gateway began
    :param callbacks: what is done with requests
    """

    def __init__(
        self,
        clock: clocks.Clock,
        fleet: fleets.Fleet,
        versions: service_versions.ServiceVersions,
        bases: base_versions.BaseVersions,
        origins: stream_origins.StreamOrigins,
        callbacks: Callbacks,
    ) -> None:
        self.clock = clock
        self.fleet = fleet
        self.versions = versions
        self.bases = bases
        self.origins = origins
        self.callbacks = callbacks
        self.pending: dict[requests.Request, Pending] = {}
        self.next_lookup_ms = 0
        # Until when records may be missing that a restore of the store has
        # cut back, as far as this gateway has noticed it itself.
        self.incomplete_until_ms = 0

    def locate(self, request: requests.Request) -> None:
        """Finds out at which version a request's stream began.

        :param request: a request that continues a stream
        """
        pending = Pending(self.clock.monotonic_ms())
        stream = request.facts.resumed_id
        origin = self.origins.find(stream) if stream else None
        if origin is None and not self.can_look_up(request):
            origin = self.only_origin(request, pending)
        if origin is not None:
            self.place(request, pending, origin)
        elif self.may_be_found(request) and len(self.pending) < MAX_PENDING:
            self.pending[request] = pending
        else:
            self.refuse_unknown(request, 0)

    def can_look_up(self, request: requests.Request) -> bool:
        """Returns whether the store may tell where a request's stream began.

        :param request: a request that continues a stream
        """
        return self.bases.has_store and bool(request.facts.resumed_id)

    def may_be_found(self, request: requests.Request) -> bool:
        """Returns whether a request's version may become known by waiting.

        :param request: a request that continues a stream
        """
        possible = self.versions.possible(request.facts.service)
        return self.can_look_up(request) or len(possible) == 1

    def only_origin(
        self, request: requests.Request, pending: Pending
    ) -> stream_origins.Origin | None:
        """Returns where each stream of a request's service began.

        :param request: a request that continues a stream
        :param pending: how it waits
        :return: None if there are several such places
        """
        service = request.facts.service
        version = self.versions.only_version(service, pending.since_ms)
        if version is None:
            return None
        return stream_origins.Origin(service, version)

    def base_origin(
        self, request: requests.Request, pending: Pending
    ) -> stream_origins.Origin | None:
        """Returns where a stream began that isn't on record.

        :param request: a request that continues a stream
        :param pending: how it waits
        :return: None if that isn't known
        """
        service = request.facts.service
        version = self.bases.version_of(service)
        has_all_records = self.bases.has_all_records(service) and (
            self.clock.monotonic_ms() >= self.incomplete_until_ms
        )
        if version is None or not has_all_records:
            return self.only_origin(request, pending)
        return stream_origins.Origin(service, version)

    def place(
        self,
        request: requests.Request,
        pending: Pending,
        origin: stream_origins.Origin,
    ) -> None:
        """Passes a request on, or refuses it if its version has left.

        That counts only by a list that is newer than the request: upstreams of
        that version may just have registered.

        :param request: a request that continues a stream
        :param pending: how it waits
        :param origin: where its stream began
        """
        facts = request.facts
        is_routed = any(
            target.service == origin.service for target in facts.route.targets
        )
        if is_routed and self.fleet.has_lost(origin.service, origin.version):
            if self.awaits_list(pending.since_ms):
                pending.origin = origin
                self.pending[request] = pending
                self.callbacks.read_list()
                return
            is_routed = False
        self.pending.pop(request, None)
        if not is_routed:
            self.callbacks.refuse(request, version_gone(origin))
            return
        request.facts = dataclasses.replace(facts, service=origin.service)
        request.version = origin.version
        self.callbacks.on_located(request)

    def awaits_list(self, since_ms: int | None) -> bool:
        """Returns whether a list that is newer may still come in time.

        :param since_ms: a time after which the list must have been read, None
            if any will do
        """
        confirmed_ms = self.callbacks.list_confirmed_ms()
        if since_ms is None or confirmed_ms is None:
            return False
        if confirmed_ms >= since_ms:
            return False
        return self.clock.monotonic_ms() - since_ms < MAX_LOOKUP_MS

    def needs_lookup(self) -> bool:
        """Returns whether saved origins must be read now."""
        return self.clock.monotonic_ms() >= self.next_lookup_ms and any(
            pending.origin is None and self.can_look_up(request)
            for request, pending in self.pending.items()
        )

    def on_lookup(
        self, origins: dict[str, stream_origins.Origin], asked_ms: int
    ) -> None:
        """Takes over what gateways have saved.

        :param origins: all records, by short id
        :param asked_ms: when the reading began; it says nothing about
            requests that arrived later
        """
        self.note_lookup()
        for request, pending in list(self.pending.items()):
            if pending.origin is not None or pending.since_ms > asked_ms:
                continue
            if not self.can_look_up(request):
                continue
            if request.state is requests.State.ENDED:
                del self.pending[request]
                continue
            name = stream_origins.short_id(request.facts.resumed_id or "")
            origin = origins.get(name) or self.base_origin(request, pending)
            if origin is not None:
                self.place(request, pending, origin)

    def on_lookup_failed(self) -> None:
        """Passes on requests of which the version is known all the same."""
        self.note_lookup()
        for request, pending in list(self.pending.items()):
            if pending.origin is not None:
                continue
            origin = self.only_origin(request, pending)
            if origin is not None:
                self.place(request, pending, origin)

    def note_lookup(self) -> None:
        """Sets when the store may be read again."""
        interval_ms = max(
            MIN_LOOKUP_INTERVAL_MS,
            self.callbacks.gateways() * clocks.MS_PER_S // MAX_LOOKUPS_PER_S,
        )
        self.next_lookup_ms = self.clock.monotonic_ms() + interval_ms

    def mark_restored(self, at_ms: int) -> None:
        """Heeds that records may be missing.

        :param at_ms: when it was noticed that the store was restored
        """
        self.incomplete_until_ms = at_ms + self.origins.stream_life_ms()

    def check(self) -> None:
        """Passes on or refuses what has waited for long enough."""
        now_ms = self.clock.monotonic_ms()
        for request, pending in list(self.pending.items()):
            if request.state is requests.State.ENDED:
                del self.pending[request]
                continue
            origin = pending.origin
            if origin is None and not self.can_look_up(request):
                origin = self.only_origin(request, pending)
            if origin is not None:
                self.place(request, pending, origin)
            elif now_ms - pending.since_ms >= MAX_LOOKUP_MS:
                del self.pending[request]
                self.refuse_unknown(request, now_ms - pending.since_ms)

    def refuse_unknown(
        self, request: requests.Request, waited_ms: int
    ) -> None:
        """Refuses a request of which nobody knows where its stream began.

        :param request: the request
        :param waited_ms: how long it has waited for an answer of the store
        """
        facts = request.facts
        events.log(
            events.ORIGIN_UNKNOWN,
            request=facts.id,
            resumes=facts.resumed_id,
            service=facts.service,
            versions=sorted(self.versions.possible(facts.service)),
            base_version=self.bases.version_of(facts.service),
            list_is_current=self.versions.is_current(
                self.clock.monotonic_ms() - waited_ms
            ),
            waited_ms=waited_ms,
        )
        self.callbacks.refuse(request, VERSION_UNKNOWN)

    def refuse_all(self, refusal: refusals.Refusal) -> None:
        """Refuses all requests whose version isn't known, before the end.

        :param refusal: the refusal
        """
        for request in list(self.pending):
            if request.state is not requests.State.ENDED:
                self.callbacks.refuse(request, refusal)
        self.pending.clear()
