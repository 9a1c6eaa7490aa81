"""Calls to the store that renew the proof of the configuration.

Designed for a gateway whose link or processor is full of callers' work: a call
takes seconds behind their bytes, or is lost with its connection, while the
store is up. The proof lasts for a fixed time from the start of the call that
gave it, so that one lost call and one more must fit into that time.
"""

import dataclasses
import typing

from twisted.internet import defer

from godwitloft import clock as clocks

# A call that waits for changes is overdue so long after the end of its wait.
# Then another one is started beside it, and so on.
OVERDUE_MS = 400
MORE_OVERDUE_MS = 400
MAX_CALLS = 8
# Longest time for the answer, in addition to the wait: the proof that it gives
# would hardly last any more. A connection behind a full link needs more than
# the second after which TCP repeats a lost packet.
ANSWER_MS = 3_500
# Of the time that the proof lasts, this much is kept for an overdue call and
# the answer to another one, but at most this part of it.
RESERVED_MS = 2_600
RESERVED_SHARE = 0.65

Result = typing.TypeVar("Result")


@dataclasses.dataclass(frozen=True)
class Proof(typing.Generic[Result]):
    """The first answer to one of some equal calls.

    :param started_ms: when the call that was answered was started
    :param result: its answer
    """

    started_ms: int
    result: Result


def longest_wait_ms(
    key_proof_ms: int, proof_age_ms: int | None, most_ms: int
) -> int:
    """Returns how long a call may wait for changes.

    :param key_proof_ms: how long the proof lasts, 0 for ever
    :param proof_age_ms: its age, None if there is none
    :param most_ms: longest wait while it is new
    :return: milliseconds, 0 if the answer is needed at once
    """
    if key_proof_ms <= 0:
        return most_ms
    if proof_age_ms is None:
        return 0
    reserved_ms = min(RESERVED_MS, RESERVED_SHARE * key_proof_ms)
    left_ms = key_proof_ms - proof_age_ms - reserved_ms
    return int(max(0, min(most_ms, left_ms)))


class ProofCall(typing.Generic[Result]):
    """Equal calls, each started when the one before it is overdue.

    :param reactor: the Twisted reactor
    :param clock: source of the time
    :param start: starts a call with the longest time that it may wait for
        changes, in milliseconds
    :param on_later: called with each further answer: behind a full link it
        takes seconds until the next calls are answered
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: clocks.Clock,
        start: typing.Callable[[int], "defer.Deferred[Result]"],
        on_later: typing.Callable[[Proof[Result]], None],
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.start = start
        self.on_later = on_later
        self.result: defer.Deferred[Proof[Result]] = defer.Deferred()
        self.started = 0
        self.pending = 0
        self.timer: typing.Any = None

    def call(self, wait_ms: int) -> "defer.Deferred[Proof[Result]]":
        """Starts the first call.

        :param wait_ms: how long it may wait for changes
        :return: fires with the first answer, or fails once all calls that
            were started have failed
        """
        self.start_one(wait_ms, wait_ms + OVERDUE_MS)
        return self.result

    def start_one(self, wait_ms: int, overdue_ms: int) -> None:
        """Starts a call.

        :param wait_ms: how long it may wait for changes
        :param overdue_ms: when to start another one beside it
        """
        self.started += 1
        self.pending += 1
        started_ms = self.clock.monotonic_ms()
        if self.started < MAX_CALLS:
            self.timer = self.reactor.callLater(
                overdue_ms / clocks.MS_PER_S,
                self.start_one,
                0,
                MORE_OVERDUE_MS,
            )
        answer = defer.maybeDeferred(self.start, wait_ms)
        answer.addCallbacks(
            lambda result: self.succeed(Proof(started_ms, result)), self.fail
        )

    def succeed(self, proof: Proof[Result]) -> None:
        """Passes an answer on.

        :param proof: an answer
        """
        self.pending -= 1
        if self.result.called:
            self.on_later(proof)
            return
        self.stop_timer()
        self.result.callback(proof)

    def fail(self, failure: typing.Any) -> None:
        """Passes a failure on unless another call may still succeed.

        :param failure: why a call has failed
        """
        self.pending -= 1
        if self.pending == 0 and not self.result.called:
            self.stop_timer()
            self.result.errback(failure)

    def stop_timer(self) -> None:
        """Starts no more calls."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
