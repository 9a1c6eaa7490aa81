"""Counts the answers to requests that were sent during a roll-out."""

import dataclasses

from godwitloft import metrics
from godwitloft.gateway import answer as answers
from godwitloft.gateway import model
from godwitloft.gateway import outcomes
from godwitloft.gateway import request as requests
from godwitloft.gateway.upstreams import fleet as fleets
from godwitloft.rollouts import evidence

# Answers that a process breaks off within this time have one cause, its end:
# a killed process would otherwise look like a version that often fails.
ONE_CAUSE_MS = 200
# An upstream that has not had a part of a prompt before takes up to several
# times as long for it. A new version's upstreams have had none.
COLD_FACTOR = 2.0
# With more parts than that at one upstream, all count as known to it.
MAX_PARTS = 10_000
COUNTED = {
    outcomes.Result.DELIVER: False,
    outcomes.Result.END_UNKNOWN: False,
    outcomes.Result.FAILED: True,
    outcomes.Result.BROKEN: True,
}


@dataclasses.dataclass
class Track:
    """A request that was sent during a roll-out.

    :param key: what its answer is counted by
    :param sent_ms: when it was sent
    :param is_compared: whether its time counts: those of the new and the
        former versions are compared only while both get requests
    :param is_cold: whether its upstream has to process a part of its prompt
        that it has not had from this gateway
    :param is_timed: whether its time has been counted
    """

    key: evidence.Key
    sent_ms: int
    is_compared: bool
    is_cold: bool
    is_timed: bool = False


class RolloutCounts:
    """Counts of this process, and requests that were not answered yet.

    :param instruments: metrics
    """

    def __init__(self, instruments: metrics.Instruments) -> None:
        self.instruments = instruments
        self.counters = evidence.Counters()
        self.tracks: dict[requests.Request, Track] = {}
        # When each upstream last broke an answer off.
        self.broken_ms: dict[str, int] = {}
        # Parts of prompts that each upstream of a new version has had.
        self.parts: dict[str, set[str]] = {}

    def record_sent(
        self,
        request: requests.Request,
        state: fleets.UpstreamState,
        order_version: int,
        is_new: bool,
        is_compared: bool,
    ) -> None:
        """Records that a request is sent.

        :param request: the request
        :param state: its upstream
        :param order_version: version of the row of the roll-out's order
        :param is_new: whether the upstream has the new version
        :param is_compared: whether both versions get requests now
        """
        facts = request.facts
        upstream = state.upstream
        key = evidence.Key(
            facts.service,
            order_version,
            upstream.version,
            facts.route.name,
            upstream.id,
        )
        is_cold = False
        if is_new and facts.shared_parts:
            known = self.parts.setdefault(upstream.id, set())
            is_cold = not known.issuperset(facts.shared_parts)
            if len(known) < MAX_PARTS:
                known.update(facts.shared_parts)
        self.tracks[request] = Track(
            key, request.sent_ms, is_compared, is_cold
        )

    def record_first_data(self, request: requests.Request) -> None:
        """Counts the time to the first data of a stream.

        :param request: a request whose answer has begun
        """
        track = self.tracks.get(request)
        is_stream = request.facts.route.kind is model.Kind.STREAM
        answer = request.answer
        if track is None or not is_stream or track.is_timed:
            return
        if answer is not None and answer.is_valid_success():
            self.add_time(track, request.first_data_ms - track.sent_ms)

    def record_end(
        self,
        request: requests.Request,
        attempt_outcome: answers.AttemptOutcome,
        now_ms: int,
    ) -> None:
        """Counts the answer to a request.

        Answers that say that the request has not run aren't counted.

        :param request: a request whose attempt has ended
        :param attempt_outcome: how it ended
        :param now_ms: the current time
        """
        track = self.tracks.pop(request, None)
        failed = COUNTED.get(attempt_outcome.result)
        if track is None or failed is None:
            return
        key = track.key
        if attempt_outcome.result is outcomes.Result.BROKEN:
            before_ms = self.broken_ms.get(key.upstream)
            self.broken_ms[key.upstream] = now_ms
            if before_ms is not None and now_ms - before_ms < ONE_CAUSE_MS:
                return
        self.counters.add_answer(key, failed)
        self.instruments.version_answers.add(
            1,
            {
                "service": key.service,
                "version": key.version,
                "result": "failed" if failed else "complete",
            },
        )
        if not failed and request.facts.route.kind is not model.Kind.STREAM:
            self.add_time(track, now_ms - track.sent_ms)

    def record_cancelled(self, request: requests.Request, now_ms: int) -> None:
        """Counts that a request was given up without an answer.

        It took at least as long as until now. If that is in the time in which
        it should have been answered, it says nothing.

        :param request: the request
        :param now_ms: the current time
        """
        track = self.tracks.pop(request, None)
        if track is None or track.is_timed:
            return
        took_ms = now_ms - track.sent_ms
        if took_ms >= request.facts.route.target_ms:
            self.add_time(track, took_ms)

    def add_time(self, track: Track, took_ms: float) -> None:
        """Counts how long an answer took.

        :param track: its request
        :param took_ms: the time
        """
        track.is_timed = True
        if not track.is_compared:
            return
        if track.is_cold:
            took_ms /= COLD_FACTOR
        self.counters.add_time(track.key, took_ms)

    def forget(self, service: str) -> None:
        """Drops what was counted for a service.

        :param service: name of the service
        """
        self.counters.forget(service)
        for request, track in list(self.tracks.items()):
            if track.key.service == service:
                del self.tracks[request]
        if not self.counters.cells:
            self.parts.clear()
            self.broken_ms.clear()
