"""Corrects where streams began that were sent to an upstream's new process.

An upstream may start again under its id as another version of its software,
and the list shows that later than its port does. Until then a stream that the
new process begins counts as one of the version before.
"""

import typing

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway import model
from godwitloft.gateway import request as requests
from godwitloft.gateway.streams import stream_origins
from godwitloft.gateway.upstreams import fleet as fleets

# No upstream can name it: a stream with it goes on nowhere.
UNKNOWN_VERSION = "\0unknown"


class RestartedUpstreams:
    """Finds streams whose version is another than the listed one was.

    :param clock: source of the time
    :param fleet: the upstreams
    :param origins: where streams began
    """

    def __init__(
        self,
        clock: clocks.Clock,
        fleet: fleets.Fleet,
        origins: stream_origins.StreamOrigins,
    ) -> None:
        self.clock = clock
        self.wall_ms = clocks.steady_wall(clock)
        self.fleet = fleet
        self.origins = origins

    def correct(self, running: typing.Iterable[requests.Request]) -> None:
        """Corrects the versions of streams after a new list of upstreams.

        :param running: all requests that have been sent
        """
        for request in running:
            state = request.upstream_state
            if state is None or not request.has_assumed_version:
                continue
            latest = self.fleet.latest(state).upstream
            if latest.born_ms == state.upstream.born_ms:
                continue
            version = self.version_of(request, latest)
            if request.sent_version not in (version, latest.version):
                self.relabel(request, version)

    def version_of(
        self, request: requests.Request, latest: model.Upstream
    ) -> str:
        """Returns the version of the process that has begun a stream.

        What was sent since the new process has started, it has begun, and the
        former one what was sent well before. Of the rest it isn't known: the
        connection may have been made later, and clocks differ.

        :param request: the request that begins the stream
        :param latest: the new process
        :return: the version, or :data:`UNKNOWN_VERSION`
        """
        sent_ms = self.sent_wall_ms(request)
        if sent_ms >= latest.born_ms:
            return latest.version
        if sent_ms < latest.born_ms - fleets.CLOCK_TOLERANCE_MS:
            return request.sent_version
        return UNKNOWN_VERSION

    def sent_wall_ms(self, request: requests.Request) -> int:
        """Returns the time of day at which a request was sent.

        :param request: a request that has been sent
        """
        return self.wall_ms() - (self.clock.monotonic_ms() - request.sent_ms)

    def relabel(self, request: requests.Request, version: str) -> None:
        """Records that a stream is of another version than was assumed.

        :param request: the request that begins it
        :param version: its version, or :data:`UNKNOWN_VERSION`
        """
        facts = request.facts
        events.log(
            events.VERSION_CORRECTED,
            request=facts.id,
            upstream=request.last_upstream_id,
            assumed=request.sent_version,
            upstream_version=version if version != UNKNOWN_VERSION else None,
        )
        request.sent_version = version
        if request.version is not None:
            request.version = version
        self.origins.record(
            facts.id, stream_origins.Origin(facts.service, version)
        )
