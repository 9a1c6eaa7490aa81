"""Keeps the ids of runs that an agent no longer holds.

After a lost link, an entry asks whether a run was ever started here. The
answer "never started" lets the entry run the request elsewhere. So it is given
only when it is certain, and it has to stay true: the id gets a tombstone, and
a late dispatch with that id is refused.
"""

from godwitloft import clock as clocks
from godwitloft import trace
from godwitloft import whole_number
from godwitloft.objects import types as object_types

ENDED_ID_RETENTION_MS = 600_000
MAX_RUN_NUMBER = 2**63 - 1
# The longest duration of a request, so no dispatch can outlive its tombstone.
TOMBSTONE_RETENTION_MS = object_types.DURATION_MS["max"]


class RunIds:
    """Ids of runs that must not start, and ids of runs that have ended.

    :param clock: source of the time
    :param recorder: writes the trace
    """

    def __init__(self, clock: clocks.Clock, recorder: trace.Recorder) -> None:
        self.clock = clock
        self.recorder = recorder
        # Both map an id to its expiry time, in order of expiry.
        self.tombstones: dict[str, int] = {}
        self.ended: dict[str, int] = {}
        # The highest number whose id has expired, by entry incarnation.
        self.highest_expired: dict[str, int] = {}

    def add_tombstone(self, run_id: str) -> None:
        """Prevents a run from being started by a late dispatch.

        :param run_id: id of the run
        """
        self.tombstones[run_id] = (
            self.clock.monotonic_ms() + TOMBSTONE_RETENTION_MS
        )
        self.recorder.record(trace.Kind.TOMBSTONE, run_id=run_id)

    def add_ended(self, run_id: str) -> None:
        """Remembers the id of a run that has ended.

        :param run_id: id of the run
        """
        self.ended[run_id] = self.clock.monotonic_ms() + ENDED_ID_RETENTION_MS

    def may_have_run(self, run_id: str) -> bool:
        """Returns whether a run that is not held may have run here.

        Expired ids are covered by a number for each entry incarnation: every
        id up to the highest expired one counts as run. So ``never_started``
        is reported only when it is certain.

        :param run_id: id of the run
        :return: False only if the run certainly never started here
        """
        incarnation, number = split_run_id(run_id)
        highest_expired = self.highest_expired.get(incarnation, -1)
        return run_id in self.ended or number <= highest_expired

    def expire(self) -> None:
        """Drops expired ids."""
        now_ms = self.clock.monotonic_ms()
        drop_expired(self.tombstones, now_ms)
        for run_id in drop_expired(self.ended, now_ms):
            incarnation, number = split_run_id(run_id)
            highest = max(number, self.highest_expired.get(incarnation, -1))
            self.highest_expired[incarnation] = highest


def drop_expired(expiries: dict[str, int], now_ms: int) -> list[str]:
    """Drops expired ids.

    :param expiries: ids with their expiry time, in order of expiry
    :param now_ms: the current time
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
    """Splits a run id into the entry's incarnation and the request number.

    :param run_id: ``INCARNATION-NUMBER``, also followed by ``.RUN_NUMBER``
    :return: the incarnation, and the number or -1 if there is none
    """
    incarnation, _, number = run_id.partition(".")[0].rpartition("-")
    found = whole_number.parse(number, MAX_RUN_NUMBER)
    return incarnation, found if found is not None else -1
