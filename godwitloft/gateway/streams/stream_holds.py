"""Holds the events of a stream back until it is on record where it began.

Only streams of other versions than the base version need that. If the record
can't be saved in time, the request is sent again to the base version; where
that has no upstream, the events are passed on, as their caller waits. A whole
stream is passed on too: its caller needn't take it up.

A stream that was sent again needs a record as well if the former one may be
saved, as it does after a save that got no answer.
"""

import dataclasses
import typing

from godwitloft import answer_end
from godwitloft import attempt as attempts
from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway import answer as answers
from godwitloft.gateway import model
from godwitloft.gateway import outcomes
from godwitloft.gateway import request as requests
from godwitloft.gateway.streams import base_versions
from godwitloft.gateway.streams import stream_origins
from godwitloft.gateway.upstreams import fleet as fleets

# Beyond the interval at which a gateway saves.
MAX_HOLD_MS = 400
# Of a stream that was sent again, while saves fail: one that gets no answer
# takes a second.
MAX_MOVED_HOLD_MS = 1_000
MAX_HELD_BYTES = 256 * 1024
FIRST_SUCCESS_STATUS = 200
FIRST_REDIRECT_STATUS = 300
NOT_SAVED = answers.AttemptOutcome(
    outcomes.Result.BROKEN, "stream_not_saved", unusable=True
)


class Hold:
    """The answer to one attempt, until its data may be passed on.

    :param request: the request
    :param callbacks: get the answer; the head at once
    """

    def __init__(
        self, request: requests.Request, callbacks: attempts.AttemptCallbacks
    ) -> None:
        self.request = request
        self.callbacks = callbacks
        self.parts: list[bytes] = []
        self.held_bytes = 0
        self.end: tuple[attempts.End, str] | None = None
        self.is_open = False
        # When the first data came, None before.
        self.since_ms: int | None = None

    def add_data(self, data: bytes) -> None:
        """Keeps data, and stops reading where there is too much of it.

        :param data: a part of the body
        """
        self.parts.append(data)
        self.held_bytes += len(data)
        attempt = self.request.attempt
        if self.held_bytes > MAX_HELD_BYTES and attempt is not None:
            attempt.pause_reading(True)

    def open(self) -> None:
        """Passes on what was kept, and all that follows."""
        self.is_open = True
        parts, self.parts = self.parts, []
        attempt = self.request.attempt
        if self.held_bytes > MAX_HELD_BYTES and attempt is not None:
            attempt.pause_reading(self.request.congested)
        for part in parts:
            self.callbacks.on_data(part)
        if self.end is not None:
            self.callbacks.on_end(*self.end)

    def is_whole(self) -> bool:
        """Returns whether a whole stream is kept, as far as its end shows."""
        answer = self.request.answer
        if self.end is None or answer is None or answer.body_end is None:
            return False
        kept = answer_end.BodyEnd(answer.body_end.framing, is_stream=True)
        for part in self.parts:
            kept.feed(part)
        return self.end[0] is attempts.End.COMPLETE and not kept.defect()

    def has_marked_end(self) -> bool:
        """Returns whether a whole stream is kept that can't have more events.

        That is shown by a length or chunks.
        """
        answer = self.request.answer
        if answer is None or answer.body_end is None:
            return False
        is_marked = answer.body_end.framing is not answer_end.Framing.CLOSE
        return is_marked and self.is_whole()

    def log_fields(self) -> typing.Mapping[str, typing.Any]:
        """Returns what is dropped if the request ends now, for logs."""
        return {
            "unsaved_bytes": self.held_bytes,
            "unsaved_ended": self.end is not None,
        }

    def drop(self) -> None:
        """Forgets what was kept: the attempt was cancelled."""
        self.is_open = True
        self.parts.clear()
        self.end = None


class StreamHolds:
    """All answers whose data is held back.

    :param clock: source of the time
    :param fleet: the upstreams
    :param bases: base versions
    :param origins: where streams began, and whether that is saved
    :param send_again: sends a request again if permitted, and returns whether
        it does
    """

    def __init__(
        self,
        clock: clocks.Clock,
        fleet: fleets.Fleet,
        bases: base_versions.BaseVersions,
        origins: stream_origins.StreamOrigins,
        send_again: typing.Callable[
            [requests.Request, answers.AttemptOutcome], bool
        ],
    ) -> None:
        self.clock = clock
        self.fleet = fleet
        self.bases = bases
        self.origins = origins
        self.send_again = send_again
        self.holds: dict[requests.Request, Hold] = {}

    def record_origin(self, request: requests.Request) -> None:
        """Records at which version a stream is about to begin.

        That is early, so that it is saved once its caller has an event. A
        request that continues a stream goes to the version that began it.

        :param request: a request that is being sent
        """
        facts = request.facts
        stream_id = facts.id if facts.resumed_id is None else facts.resumed_id
        if request.exchange.started or not stream_id:
            return
        if facts.route.kind is model.Kind.STREAM and facts.route.resumable:
            self.origins.record(
                stream_id,
                stream_origins.Origin(facts.service, request.sent_version),
            )

    def must_hold(self, request: requests.Request) -> bool:
        """Returns whether a stream must be saved before its first event.

        :param request: a request that is being sent, after its origin was
            recorded
        """
        return (
            request.facts.begins_resumable_stream
            and not request.exchange.started
            and self.origins.must_be_saved_first(request.facts.id)
        )

    def hold(
        self, request: requests.Request, callbacks: attempts.AttemptCallbacks
    ) -> attempts.AttemptCallbacks:
        """Holds back the data of an attempt that begins a stream.

        :param request: the request, whose origin was recorded
        :param callbacks: callbacks of the attempt
        :return: the callbacks to use instead
        """
        hold = Hold(request, callbacks)
        self.holds[request] = hold

        def on_head(status: int, headers: list[attempts.Header]) -> None:
            callbacks.on_head(status, headers)
            if not FIRST_SUCCESS_STATUS <= status < FIRST_REDIRECT_STATUS:
                self.open(request, hold)

        def on_data(data: bytes) -> None:
            if hold.is_open:
                callbacks.on_data(data)
                return
            if hold.since_ms is None:
                hold.since_ms = self.clock.monotonic_ms()
            hold.add_data(data)

        def on_end(end: attempts.End, reason: str) -> None:
            if hold.is_open:
                callbacks.on_end(end, reason)
                return
            hold.end = (end, reason)
            if not hold.parts:
                self.open(request, hold)

        self.origins.when_saved(
            request.facts.id, lambda: self.open(request, hold)
        )
        return dataclasses.replace(
            callbacks, on_head=on_head, on_data=on_data, on_end=on_end
        )

    def open(self, request: requests.Request, hold: Hold) -> None:
        """Passes on the data of an answer from now on.

        :param request: its request
        :param hold: what was held back; nothing happens if it was dropped or
            passed on before
        """
        if hold.is_open:
            return
        del self.holds[request]
        hold.open()

    def conclude(self, request: requests.Request) -> None:
        """Passes on a whole stream for whose record there is no more time.

        :param request: any request
        """
        hold = self.holds.get(request)
        if hold is not None and hold.is_whole():
            self.open(request, hold)

    def release(self, request: requests.Request) -> None:
        """Forgets the answer to an attempt that has ended.

        :param request: any request
        """
        hold = self.holds.pop(request, None)
        if hold is not None:
            request.sent_fields = {**request.sent_fields, **hold.log_fields()}
            hold.drop()

    def check(self) -> None:
        """Passes on, or gives up, what was held back for too long."""
        if not self.holds:
            return
        now_ms = self.clock.monotonic_ms()
        for request, hold in list(self.holds.items()):
            if hold.is_open or hold.since_ms is None:
                continue
            if self.may_begin_unsaved(request):
                self.open(request, hold)
            elif now_ms - hold.since_ms >= self.max_hold_ms(request):
                self.give_up(request, hold, now_ms)

    def may_begin_unsaved(self, request: requests.Request) -> bool:
        """Returns whether a stream needs no record any more.

        :param request: the request that begins it
        """
        return not self.origins.must_be_saved_first(request.facts.id)

    def is_at_base(self, request: requests.Request) -> bool:
        """Returns whether a request was sent to the base version.

        :param request: a request that begins a stream
        """
        base = self.bases.version_of(request.facts.service)
        return request.sent_version == base

    def max_hold_ms(self, request: requests.Request) -> int:
        """Returns how long data is held back at most.

        :param request: the request that begins the stream
        """
        has_moved = self.origins.has_moved(request.facts.id)
        if has_moved and self.is_at_base(request):
            return MAX_MOVED_HOLD_MS
        if self.origins.is_failing:
            return 0
        return self.origins.save_interval_ms() + MAX_HOLD_MS

    def give_up(
        self, request: requests.Request, hold: Hold, now_ms: int
    ) -> None:
        """Sends a request to the base version, or passes its answer on.

        :param request: a request whose origin could not be saved
        :param hold: its answer
        :param now_ms: the current time
        """
        self.origins.is_failing = True
        service = request.facts.service
        base = self.bases.version_of(service)
        has_base = base is not None and bool(self.fleet.usable(service, base))
        is_needed = has_base and not self.is_at_base(request)
        is_needed = is_needed and not hold.has_marked_end()
        is_again = is_needed and self.send_again(request, NOT_SAVED)
        events.log(
            events.STREAM_NOT_SAVED,
            request=request.facts.id,
            upstream_version=request.sent_version,
            base_version=base,
            held_ms=now_ms - (hold.since_ms or now_ms),
            sent_again=is_again,
        )
        if not is_again:
            self.open(request, hold)

    def version_for(self, request: requests.Request) -> str | None:
        """Returns the version at which a request must be placed.

        :param request: a waiting request
        :return: that of its stream if it has begun; the base version for new
            streams while records can't be saved, if it has an upstream; None
            for any
        """
        if request.version is not None or not self.origins.is_failing:
            return request.version
        facts = request.facts
        if not facts.begins_resumable_stream:
            return None
        base = self.bases.version_of(facts.service)
        if base is None or not self.fleet.usable(facts.service, base):
            return None
        return base
