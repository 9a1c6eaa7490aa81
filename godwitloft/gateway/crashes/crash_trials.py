"""Decides when a request is sent although it is blamed for crashes.

A blame may be wrong, and what is refused gets no chance to prove itself. So
single requests are sent all the same, one at a time over all gateways. The
time between them grows with each that fails.
"""

import bisect
import dataclasses
import typing

from godwitloft.gateway.crashes import crash_reports

# Time from the last crash or trial to each trial of a blamed cause. Parts that
# were sound are more often blamed wrongly, and tried sooner.
PART_DELAYS_MS = (2_000, 3_000, 4_000, 120_000, 900_000, 1_800_000)
PROVED_PART_DELAYS_MS = (1_000, 3_000, 6_000, 120_000, 900_000, 1_800_000)
REQUEST_DELAYS_MS = (10_000, 120_000, 900_000, 1_800_000)
# Gateways may start a trial one after the other, so that two seldom do.
STAGGER_MS = 40
# Whole requests are seldom blamed wrongly: their trials don't crash another
# upstream before the last one is back.
REQUEST_SPACING_MS = 5_000
# A trial that has not crashed its upstream by then has not failed.
FAILURE_TIMEOUT_MS = 2_000
# Trials that show nothing and yet don't use up those that a cause gets.
MAX_INCONCLUSIVE = 6


@dataclasses.dataclass
class Trials:
    """Requests with a blamed cause that were sent all the same.

    :param number: how many there were
    :param times_ms: when those were sent that this process knows of
    """

    number: int = 0
    times_ms: list[int] = dataclasses.field(default_factory=list)


class TrialSchedule:
    """Trials of blamed causes, as all gateways know them.

    :param place: returns the place of this gateway among all of them, from 0;
        the order is another one for each text
    """

    def __init__(self, place: typing.Callable[[str], int]) -> None:
        self.place = place
        self.trials: dict[str, Trials] = {}
        # When any whole request was last tried.
        self.request_ms: int | None = None

    def number(self, cause: str) -> int:
        """Returns how many trials of a cause were started.

        :param cause: a request or part
        """
        trials = self.trials.get(cause)
        return trials.number if trials is not None else 0

    def last_ms(self, cause: str) -> int | None:
        """Returns when a cause was last tried, None if it never was.

        :param cause: a request or part
        """
        trials = self.trials.get(cause)
        return trials.times_ms[-1] if trials is not None else None

    def record(self, cause: str, at_ms: int) -> int:
        """Records a trial that this gateway starts.

        :param cause: a blamed cause
        :param at_ms: the current time
        :return: its number, from 1
        """
        number = self.number(cause) + 1
        self.learn(cause, number, at_ms)
        return number

    def learn(self, cause: str, number: int, last_ms: int) -> None:
        """Learns of trials that a gateway has started.

        :param cause: a blamed cause
        :param number: how many trials of it that gateway knows
        :param last_ms: when the last of them was started
        """
        if number <= self.number(cause):
            return
        trials = self.trials.setdefault(cause, Trials())
        trials.number = number
        bisect.insort(trials.times_ms, last_ms)
        if crash_reports.is_request(cause):
            self.request_ms = max(last_ms, self.request_ms or 0)

    def forget(self, cause: str) -> None:
        """Forgets the trials of a cause.

        :param cause: a request or part
        """
        self.trials.pop(cause, None)

    def forget_old(self, since_ms: int) -> None:
        """Forgets trials of long ago.

        :param since_ms: the time of the oldest ones to be kept
        """
        for cause, trials in list(self.trials.items()):
            if trials.times_ms[-1] < since_ms:
                del self.trials[cause]

    def failed(
        self, cause: str, crash_times_ms: typing.Sequence[int], now_ms: int
    ) -> int:
        """Returns how many trials speak against a cause that was sound before.

        Beside other crashes, a trial may meet one that shows nothing of it.

        :param cause: a blamed cause
        :param crash_times_ms: crashes at which nothing else that is blamed
            was there, in milliseconds
        :param now_ms: the current time
        """
        number = self.number(cause)
        if number == 0:
            return 0
        inconclusive = sum(
            now_ms - sent_ms > FAILURE_TIMEOUT_MS
            and not any(
                sent_ms <= crash_ms <= sent_ms + FAILURE_TIMEOUT_MS
                for crash_ms in crash_times_ms
            )
            for sent_ms in self.trials[cause].times_ms
        )
        return number - min(inconclusive, MAX_INCONCLUSIVE)

    def is_due(
        self,
        cause: str,
        failed: int,
        was_sound: bool,
        last_crash_ms: int,
        now_ms: int,
    ) -> bool:
        """Returns whether it is time for this gateway to try a blamed cause.

        :param cause: a blamed cause
        :param failed: how many trials speak against it
        :param was_sound: whether it was proved sound before
        :param last_crash_ms: when it last may have crashed an upstream
        :param now_ms: the current time
        """
        delays_ms = delays(cause, was_sound)
        if failed >= len(delays_ms):
            return False
        number = self.number(cause)
        stagger_ms = self.place(f"{cause}/{number}") * STAGGER_MS
        since_ms = max(last_crash_ms, self.last_ms(cause) or 0)
        if now_ms - since_ms < delays_ms[failed] + stagger_ms:
            return False
        if self.request_ms is None or not crash_reports.is_request(cause):
            return True
        return now_ms - self.request_ms >= REQUEST_SPACING_MS + stagger_ms


def delays(cause: str, was_sound: bool) -> tuple[int, ...]:
    """Returns the time before each trial of a cause, in milliseconds.

    :param cause: a request or part
    :param was_sound: whether it was proved sound before
    """
    if crash_reports.is_request(cause):
        return REQUEST_DELAYS_MS
    return PROVED_PART_DELAYS_MS if was_sound else PART_DELAYS_MS
