"""Finds out at which version a stream that its caller takes up began.

A stream goes on only at that version. If it can't be known, the caller is
told that its attempt has not run: a text joined from two versions looks
complete and is worth nothing.
"""

import dataclasses
import typing

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway import fleet as fleets
from godwitloft.gateway import refusals
from godwitloft.gateway import request as requests
from godwitloft.gateway import service_versions
from godwitloft.gateway import stream_origins

# Longer than another gateway takes to save where a stream began.
MAX_LOOKUP_MS = 1_000
LOOKUP_INTERVAL_MS = 300
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
    """

    on_located: typing.Callable[[requests.Request], None]
    refuse: typing.Callable[[requests.Request, refusals.Refusal], None]


class Continuations:
    """Requests that continue a stream, until its version is known.

    :param clock: source of the time
    :param fleet: the upstreams
    :param versions: versions that streams may have begun at
    :param origins: where streams began
    :param callbacks: what is done with requests
    """

    def __init__(
        self,
        clock: clocks.Clock,
        fleet: fleets.Fleet,
        versions: service_versions.ServiceVersions,
        origins: stream_origins.StreamOrigins,
        callbacks: Callbacks,
    ) -> None:
        self.clock = clock
        self.fleet = fleet
        self.versions = versions
        self.origins = origins
        self.callbacks = callbacks
        # When each request began to wait for its version.
        self.pending: dict[requests.Request, int] = {}
        self.next_lookup_ms = 0

    def locate(self, request: requests.Request) -> None:
        """Finds out at which version a request's stream began.

        :param request: a request that continues a stream
        """
        if self.try_to_locate(request):
            return
        is_full = len(self.pending) >= MAX_PENDING
        if is_full or not request.facts.resumed_id:
            self.refuse_unknown(request, 0)
            return
        self.pending[request] = self.clock.monotonic_ms()

    def try_to_locate(self, request: requests.Request) -> bool:
        """Finds out the version from what is known here.

        :param request: a request that continues a stream
        :return: whether it has been passed on or refused
        """
        facts = request.facts
        origin = self.origins.find(facts.resumed_id or "")
        if origin is None:
            version = self.versions.only_version(facts.service)
            if version is None:
                return False
            origin = stream_origins.Origin(facts.service, version)
        services = [target.service for target in facts.route.targets]
        is_served = origin.service in services and not self.fleet.has_lost(
            origin.service, origin.version
        )
        if not is_served:
            self.callbacks.refuse(request, version_gone(origin))
            return True
        request.facts = dataclasses.replace(facts, service=origin.service)
        request.version = origin.version
        self.callbacks.on_located(request)
        return True

    def needs_lookup(self) -> bool:
        """Returns whether saved origins must be read now."""
        return (
            bool(self.pending)
            and self.clock.monotonic_ms() >= self.next_lookup_ms
        )

    def on_lookup(self, origins: dict[str, stream_origins.Origin]) -> None:
        """Takes over what gateways have saved.

        :param origins: by short id
        """
        self.next_lookup_ms = self.clock.monotonic_ms() + LOOKUP_INTERVAL_MS
        self.origins.learn(origins)
        for request in list(self.pending):
            if request.state is not requests.State.ENDED:
                if not self.try_to_locate(request):
                    continue
            self.pending.pop(request, None)

    def check(self) -> None:
        """Refuses requests whose version could not be found out in time."""
        now_ms = self.clock.monotonic_ms()
        for request, since_ms in list(self.pending.items()):
            is_ended = request.state is requests.State.ENDED
            if not is_ended and now_ms - since_ms < MAX_LOOKUP_MS:
                continue
            del self.pending[request]
            if not is_ended:
                self.refuse_unknown(request, now_ms - since_ms)

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
            list_is_current=self.versions.is_current(),
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
