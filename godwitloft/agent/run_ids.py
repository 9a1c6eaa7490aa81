"""What an agent remembers of the ids of runs that it no longer has.

An entry that lost touch asks whether a run was ever started here. The answer
"never started" lets it run elsewhere, so it is given only when it is certain
and then stays true: the id is buried, and a late dispatch of it is refused.
"""

from godwitloft import clock as clocks
from godwitloft import trace
from godwitloft.objects import types as object_types

ENDED_ID_RETENTION_MS = 600_000
# No request lives longer, so that no dispatch can outlive its tombstone.
TOMBSTONE_RETENTION_MS = object_types.DURATION_MS["max"]


class RunIds:
    """Ids that must not start any more, and ids that have run.

    :param clock: tells the time
    :param recorder: where the trace goes
    """

    def __init__(self, clock: clocks.Clock, recorder: trace.Recorder) -> None:
        self.clock = clock
        self.recorder = recorder
        # Both with the time until which an id is kept, in order of time.
        self.tombstones: dict[str, int] = {}
        self.ended: dict[str, int] = {}
        self.highest_expired: dict[str, int] = {}

    def add_tombstone(self, run_id: str) -> None:
        """Makes sure that a late dispatch of a run is not started.

        :param run_id: id of the run
        """
        self.tombstones[run_id] = (
            self.clock.monotonic_ms() + TOMBSTONE_RETENTION_MS
        )
        self.recorder.record(trace.Kind.TOMBSTONE, run_id=run_id)

    def add_ended(self, run_id: str) -> None:
        """Remembers of a run only that it was here.

        :param run_id: id of an ended run
        """
        self.ended[run_id] = self.clock.monotonic_ms() + ENDED_ID_RETENTION_MS

    def may_have_run(self, run_id: str) -> bool:
        """Tells whether a run that isn't here may have been.

        Ids that are no longer kept count as run up to the highest of their
        entry's incarnation; so ``never_started`` is only said when sure.

        :param run_id: id of the run
        :return: False when it certainly never started here
        """
        incarnation, number = split_run_id(run_id)
        highest_expired = self.highest_expired.get(incarnation, -1)
        return run_id in self.ended or number <= highest_expired

    def expire(self) -> None:
        """Drops ids whose time is over."""
        now_ms = self.clock.monotonic_ms()
        drop_expired(self.tombstones, now_ms)
        for run_id in drop_expired(self.ended, now_ms):
            incarnation, number = split_run_id(run_id)
            highest = max(number, self.highest_expired.get(incarnation, -1))
            self.highest_expired[incarnation] = highest


def drop_expired(expiries: dict[str, int], now_ms: int) -> list[str]:
    """Drops ids whose time is over; they are in order of time.

    :param expiries: ids with the time until which they are kept
    :param now_ms: the time now
    :return: the ids that were dropped
    """
    dropped = []
    while expiries:
        run_id = next(iter(expiries))
        if expiries[run_id] > now_ms:
            break
        del expiries[run_id]
        dropped.append(run_id)
    return dropped


def split_run_id(run_id: str) -> tuple[str, int]:
    """Splits the id of a run.

    :param run_id: the entry's incarnation, a number and perhaps an attempt
    :return: the incarnation and the number; -1 when there is none
    """
    incarnation, _, number = run_id.partition(".")[0].rpartition("-")
    return incarnation, int(number) if number.isdecimal() else -1
