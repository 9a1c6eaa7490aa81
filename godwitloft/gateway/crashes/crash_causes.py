"""Finds what crashes the upstreams that answer it.

A cause is a whole request, the same each time it comes, or a shared part of
prompts that have nothing else in common. Both come to any gateway and run
beside sound requests. So each crash counts against all causes that were there,
and gateways tell each other what they saw.

Causes that were never proved sound are blamed for each crash at which they
were; who of them did it is for trials to show. Those that were sound before
are blamed only for crashes that no other cause explains.
"""

import collections
import dataclasses
import typing

from godwitloft import events
from godwitloft.gateway.crashes import crash_reports
from godwitloft.gateway.crashes import crash_trials

CRASHES_BEFORE_BLAME = 3
# Of causes that were proved sound before: chance brings them to crashes.
CRASHES_BEFORE_BLAME_OF_PROVED = 5
# Crashes closer together count as one: upstreams that fail together seldom do
# so for a request. Equal requests seldom run at several upstreams at once.
PART_CRASH_SPACING_MS = 250
REQUEST_CRASH_SPACING_MS = 50
# An upstream that answers for this long has not crashed by a part.
SOUND_AFTER_MS = 500
# Two breaks of one life of an upstream further apart are two crashes.
SAME_CRASH_MS = 1_000
MEMORY_MS = 3_600_000
# How long peers are told of a crash, and which of its causes are sound.
TOLD_MS = 3_000
MAX_CRASHES = 200
MAX_SOUND_CAUSES = 2_000
MAX_CRASHES_TOLD = 10
MAX_SOUND_TOLD = 10
MAX_BLAMES_TOLD = 4
MAX_BLAMES_SAVED = 40
MAX_SUSPECTS_SAVED = 20


@dataclasses.dataclass
class Crash:
    """A crash of an upstream.

    :param at_ms: when it broke off the requests
    :param positions: by cause, how specific it is: place of a part in its
        prompt, the largest for whole requests
    """

    at_ms: int
    positions: dict[str, int]


class CrashCauses:
    """Crashes and proofs of soundness, as all gateways know them.

    :param place: returns the place of this gateway among all of them, from 0;
        the order is another one for each text
    """

    def __init__(self, place: typing.Callable[[str], int]) -> None:
        self.trials = crash_trials.TrialSchedule(place)
        # By id. One crash is heard of from several gateways, and counts once.
        self.crashes: dict[str, Crash] = {}
        # All causes that were there at these crashes.
        self.present: set[str] = set()
        # When each cause was last proved sound, the latest last. Of whole
        # requests only those that were there at a crash.
        self.sound_ms: dict[str, int] = {}
        # The same of what this gateway has seen itself. Only that is told: an
        # age that others pass on would grow younger with each of them.
        self.own_sound_ms: dict[str, int] = {}
        # The crashes for which each blamed cause is blamed, by id.
        self.blamed: dict[str, list[str]] = {}
        # Blamed causes whose turn it is to be told.
        self.told_next = 0
        # Whether blames or trials have changed since they were saved.
        self.unsaved = False

    # What this gateway sees.

    def record_crash(
        self,
        broken: typing.Iterable[typing.Sequence[str]],
        upstream: str,
        at_ms: int,
    ) -> None:
        """Records that an upstream crashed.

        :param broken: for each request that it broke off, the causes that may
            have crashed it, parts in their order in the prompt
        :param upstream: life of the upstream
        :param at_ms: when it broke them off
        """
        crash_id = self.crash_id(upstream, at_ms)
        positions: dict[str, int] = {}
        for causes in broken:
            crash_reports.merge_positions(
                positions, crash_reports.positions(causes)
            )
        self.add_crash(crash_id, Crash(at_ms, positions))

    def crash_id(self, upstream: str, at_ms: int) -> str:
        """Returns the id of a crash that this process has seen.

        An upstream that comes back fast may crash again before the list shows
        its new life.

        :param upstream: life of the upstream, as the list shows it
        :param at_ms: time of the crash
        :return: that of a known crash at this time, else a new one
        """
        number = 0
        while True:
            found = f"{upstream}#{number}"
            known = self.crashes.get(found)
            if known is None or at_ms - known.at_ms <= SAME_CRASH_MS:
                return found
            number += 1

    def add_crash(self, crash_id: str, crash: Crash) -> None:
        """Adds a crash, or causes to one that is known.

        :param crash_id: its id, the same at all gateways
        :param crash: the crash
        """
        if not crash.positions:
            return
        known = self.crashes.setdefault(crash_id, Crash(crash.at_ms, {}))
        self.present.update(crash.positions)
        before = len(known.positions)
        crash_reports.merge_positions(known.positions, crash.positions)
        if len(known.positions) > before:
            self.unsaved = True
            self.forget_excess()
            self.update_blame()

    def record_sound(self, causes: typing.Iterable[str], at_ms: int) -> None:
        """Records that an upstream of this gateway has answered.

        :param causes: what the request consists of
        :param at_ms: when the upstream had answered and not crashed
        """
        causes = tuple(causes)
        set_latest(self.own_sound_ms, causes, at_ms)
        self.note_sound(causes, at_ms)

    def note_sound(self, causes: typing.Iterable[str], at_ms: int) -> None:
        """Notes that causes are sound, and clears them if they were blamed.

        :param causes: requests or parts
        :param at_ms: when an upstream had answered and not crashed
        """
        doubted = [
            cause
            for cause in set_latest(self.sound_ms, causes, at_ms)
            if cause in self.blamed
        ]
        if doubted:
            self.update_blame()
        for cause in doubted:
            if cause not in self.blamed:
                self.trials.forget(cause)

    # Blame.

    def update_blame(self) -> None:
        """Decides which causes are blamed, and logs each change.

        Causes that were never proved sound are blamed for each of their
        crashes, though another one was there as well: who of them did it is
        for trials to show. Those that were sound are blamed only for crashes
        that none of the others explains.
        """
        suspected = self.suspected_crashes()
        blamed = self.blame_unproved(suspected)
        while True:
            explained = {i for ids in blamed.values() for i in ids}
            unexplained = {
                cause: crash_ids - explained
                for cause, crash_ids in suspected.items()
                if cause not in blamed
            }
            cause = self.most_suspect(unexplained)
            if cause is None:
                break
            blamed[cause] = sorted(unexplained[cause])
        for cause in sorted(blamed.keys() ^ self.blamed.keys()):
            self.unsaved = True
            events.log(
                events.CRASH_CAUSE_BLAMED,
                cause=cause,
                blamed=cause in blamed,
                crashes=blamed.get(cause, []),
            )
        self.blamed = blamed

    def blame_unproved(
        self, suspected: dict[str, set[str]]
    ) -> dict[str, list[str]]:
        """Returns the blamed causes among those never proved sound.

        :param suspected: ids of crashes by cause
        :return: ids of crashes by cause, without parts that were never there
            without a more specific cause
        """
        unproved = {
            cause: crash_ids
            for cause, crash_ids in suspected.items()
            if cause not in self.sound_ms and self.is_enough(cause, crash_ids)
        }
        return {
            cause: sorted(crash_ids)
            for cause, crash_ids in unproved.items()
            if crash_reports.is_request(cause)
            or not any(
                crash_ids <= other_ids
                and self.position(other, other_ids)
                > self.position(cause, crash_ids)
                for other, other_ids in unproved.items()
            )
        }

    def position(self, cause: str, crash_ids: set[str]) -> int:
        """Returns how specific a cause is, see :class:`Crash`.

        :param cause: a cause
        :param crash_ids: crashes at which it was there
        """
        return max(
            self.crashes[crash_id].positions[cause] for crash_id in crash_ids
        )

    def suspected_crashes(self) -> dict[str, set[str]]:
        """Returns the crashes that each cause may have caused.

        :return: ids of crashes by cause, only of causes with enough of them
        """
        found: dict[str, set[str]] = collections.defaultdict(set)
        for crash_id, crash in self.crashes.items():
            for cause in crash.positions:
                if self.counts_against(crash, cause):
                    found[cause].add(crash_id)
        return {
            cause: crash_ids
            for cause, crash_ids in found.items()
            if len(crash_ids) >= CRASHES_BEFORE_BLAME
        }

    def most_suspect(self, suspected: dict[str, set[str]]) -> str | None:
        """Returns the cause that is to be blamed first.

        That is the one that was there most often, then the more specific one,
        as fewer requests have it. If it turns out wrong, crashes without it
        follow.

        :param suspected: unexplained crashes by cause
        :return: the cause, None if none was there at enough of them
        """
        best: tuple[int, int, str] | None = None
        for cause, crash_ids in suspected.items():
            if not self.is_enough(cause, crash_ids):
                continue
            key = (
                self.count(cause, crash_ids),
                self.position(cause, crash_ids),
                cause,
            )
            if best is None or key > best:
                best = key
        return best[-1] if best is not None else None

    def is_enough(self, cause: str, crash_ids: set[str]) -> bool:
        """Returns whether a cause is blamed for crashes.

        :param cause: a cause
        :param crash_ids: crashes that it may have caused
        """
        if cause in self.sound_ms:
            needed = CRASHES_BEFORE_BLAME_OF_PROVED
        else:
            needed = CRASHES_BEFORE_BLAME
        return self.count(cause, crash_ids) >= needed

    def count(self, cause: str, crash_ids: set[str]) -> int:
        """Counts crashes, those close together as one.

        :param cause: a cause
        :param crash_ids: crashes that it may have caused
        """
        times_ms = (self.crashes[crash_id].at_ms for crash_id in crash_ids)
        return count_apart(times_ms, crash_spacing_ms(cause))

    def counts_against(self, crash: Crash, cause: str) -> bool:
        """Returns whether a cause may have caused a crash.

        :param crash: a crash
        :param cause: a request or part
        :return: whether it was there, and was not proved sound since
        """
        if cause not in crash.positions:
            return False
        sound_ms = self.sound_ms.get(cause)
        return sound_ms is None or crash.at_ms > sound_ms

    def crashes_against(self, cause: str) -> list[str]:
        """Returns the ids of the crashes that a cause may have caused.

        :param cause: a request or part
        """
        return [
            crash_id
            for crash_id, crash in self.crashes.items()
            if self.counts_against(crash, cause)
        ]

    def find_blamed(self, causes: typing.Iterable[str]) -> list[str]:
        """Returns the causes for which no upstream may be risked.

        :param causes: what a request consists of
        :return: those that are blamed
        """
        if not self.blamed:
            return []
        return [cause for cause in causes if cause in self.blamed]

    # Trials of what is blamed.

    def may_try(
        self, cause: str, causes: typing.Sequence[str], now_ms: int
    ) -> bool:
        """Returns whether a request with a blamed cause may be sent.

        A part is tried with a request that was never there at a crash, and
        in which nothing more specific is blamed: its failure would show
        nothing of the part.

        :param cause: the blamed cause
        :param causes: what the request consists of, parts in their order in
            the prompt
        :param now_ms: the current time
        :return: whether it is a good trial, and time for one
        """
        if crash_reports.is_request(cause):
            return self.is_trial_due(cause, now_ms)
        if any(
            crash_reports.is_request(other) and other in self.present
            for other in causes
        ):
            return False
        more_specific = causes[causes.index(cause) + 1 :]
        if self.find_blamed(more_specific):
            return False
        return self.is_trial_due(cause, now_ms)

    def is_trial_due(self, cause: str, now_ms: int) -> bool:
        """Returns whether it is time for this gateway to try a blamed cause.

        :param cause: a blamed cause
        :param now_ms: the current time
        """
        times_ms = (
            self.crashes[crash_id].at_ms for crash_id in self.blamed[cause]
        )
        return self.trials.is_due(
            cause,
            self.failed_trials(cause, now_ms),
            cause in self.sound_ms,
            max(times_ms),
            now_ms,
        )

    def failed_trials(self, cause: str, now_ms: int) -> int:
        """Returns how many trials of a cause speak against it.

        :param cause: a request or part
        :param now_ms: the current time
        """
        if cause not in self.sound_ms:
            return self.trials.number(cause)
        others = self.blamed.keys() - {cause}
        times_ms = [
            crash.at_ms
            for crash in self.crashes.values()
            if cause in crash.positions and others.isdisjoint(crash.positions)
        ]
        return self.trials.failed(cause, times_ms, now_ms)

    def record_trial(self, cause: str, now_ms: int) -> int:
        """Records that a request with a blamed cause is sent.

        :param cause: a blamed cause
        :param now_ms: the current time
        :return: the number of this trial, from 1
        """
        self.unsaved = True
        return self.trials.record(cause, now_ms)

    # What others are told and tell.

    def learn(
        self,
        crashes: typing.Iterable[crash_reports.CrashReport],
        sound: typing.Iterable[crash_reports.SoundReport],
        blames: typing.Iterable[crash_reports.BlameReport],
        now_ms: int,
    ) -> None:
        """Takes over what a peer knows, or what was saved.

        :param crashes: crashes of upstreams
        :param sound: proofs that causes are sound
        :param blames: causes that are blamed, with crashes
        :param now_ms: the time at which the ages in them were true
        """
        for proof in sound:
            self.note_sound((proof.cause,), now_ms - proof.age_ms)
        for blame in blames:
            last_ms = now_ms - blame.trial_age_ms
            self.trials.learn(blame.cause, blame.trials, last_ms)
        told = [
            *crashes,
            *(crash for blame in blames for crash in blame.crashes),
        ]
        for report in told:
            positions = crash_reports.positions(report.causes)
            at_ms = now_ms - report.age_ms
            self.add_crash(report.id, Crash(at_ms, positions))

    def crashes_to_tell(
        self, now_ms: int
    ) -> tuple[crash_reports.CrashReport, ...]:
        """Returns the crashes that peers should know.

        :param now_ms: the current time
        :return: at most :data:`MAX_CRASHES_TOLD` late ones, the latest first
        """
        self.forget_old(now_ms)
        late = [
            (crash_id, crash)
            for crash_id, crash in self.crashes.items()
            if now_ms - crash.at_ms <= TOLD_MS
        ]
        late.sort(key=lambda item: -item[1].at_ms)
        return tuple(
            crash_reports.CrashReport(
                crash_id, now_ms - crash.at_ms, self.suspected_causes(crash)
            )
            for crash_id, crash in late[:MAX_CRASHES_TOLD]
        )

    def suspected_causes(self, crash: Crash) -> tuple[str, ...]:
        """Returns what may have caused a crash.

        :param crash: a crash
        :return: causes, parts in their order in the prompts
        """
        ordered = sorted(crash.positions, key=crash.positions.__getitem__)
        return tuple(
            cause for cause in ordered if self.counts_against(crash, cause)
        )

    def proofs_to_tell(
        self, now_ms: int
    ) -> tuple[crash_reports.SoundReport, ...]:
        """Returns which causes this gateway has seen to be sound.

        :param now_ms: the current time
        :return: at most :data:`MAX_SOUND_TOLD` proofs that are new or concern
            a late crash, the latest first
        """
        late = {
            cause
            for crash in self.crashes.values()
            if now_ms - crash.at_ms <= TOLD_MS
            for cause in crash.positions
        }
        reports = [
            crash_reports.SoundReport(cause, now_ms - self.own_sound_ms[cause])
            for cause in self.present & self.own_sound_ms.keys()
            if cause in late or now_ms - self.own_sound_ms[cause] <= TOLD_MS
        ]
        reports.sort(key=lambda report: report.age_ms)
        return tuple(reports[:MAX_SOUND_TOLD])

    def blames_to_tell(
        self, now_ms: int
    ) -> tuple[crash_reports.BlameReport, ...]:
        """Returns the blames that peers are told of this time.

        A gateway that has just started learns all of them in a few rounds.

        :param now_ms: the current time
        :return: those with a late trial, and up to :data:`MAX_BLAMES_TOLD`
            more, others in each round
        """
        tried = [
            cause
            for cause, trials in self.trials.trials.items()
            if cause in self.blamed and now_ms - trials.times_ms[-1] <= TOLD_MS
        ]
        others = sorted(self.blamed.keys() - set(tried))
        first = self.told_next if self.told_next < len(others) else 0
        self.told_next = first + MAX_BLAMES_TOLD
        told = tried + others[first : first + MAX_BLAMES_TOLD]
        return tuple(self.blame_report(cause, now_ms) for cause in told)

    def blames_to_save(
        self, now_ms: int
    ) -> tuple[crash_reports.BlameReport, ...]:
        """Returns what must outlive this process.

        :param now_ms: the current time
        :return: at most :data:`MAX_BLAMES_SAVED` blames, and the causes with
            most crashes among those that have too few to be blamed
        """
        causes = [
            *sorted(self.blamed)[:MAX_BLAMES_SAVED],
            *self.unblamed_suspects()[:MAX_SUSPECTS_SAVED],
        ]
        return tuple(
            dataclasses.replace(
                self.blame_report(cause, now_ms),
                trials=self.failed_trials(cause, now_ms),
            )
            for cause in causes
        )

    def unblamed_suspects(self) -> list[str]:
        """Returns causes with crashes that were never proved sound."""
        counts = collections.Counter(
            cause
            for crash in self.crashes.values()
            for cause in crash.positions.keys() - self.blamed.keys()
            if cause not in self.sound_ms
        )
        return sorted(counts, key=lambda cause: (-counts[cause], cause))

    def blame_report(
        self, cause: str, now_ms: int
    ) -> crash_reports.BlameReport:
        """Returns a blame, or what speaks for one, as it is told and saved.

        :param cause: a cause with crashes
        :param now_ms: the current time
        """
        crash_ids = self.blamed.get(cause) or self.crashes_against(cause)
        crashes = [
            (self.crashes[crash_id].at_ms, crash_id) for crash_id in crash_ids
        ]
        last_ms = self.trials.last_ms(cause)
        return crash_reports.BlameReport(
            cause,
            tuple(
                crash_reports.CrashReport(crash_id, now_ms - at_ms, (cause,))
                for at_ms, crash_id in last_apart(
                    crashes, crash_spacing_ms(cause)
                )
            ),
            self.trials.number(cause),
            now_ms - last_ms if last_ms is not None else 0,
        )

    # Bounds.

    def forget_old(self, now_ms: int) -> None:
        """Forgets crashes and trials of long ago.

        :param now_ms: the current time
        """
        old = [
            crash_id
            for crash_id, crash in self.crashes.items()
            if now_ms - crash.at_ms > MEMORY_MS
        ]
        for crash_id in old:
            del self.crashes[crash_id]
        if old:
            self.update_present()
            self.update_blame()
        self.trials.forget_old(now_ms - MEMORY_MS)

    def forget_excess(self) -> None:
        """Forgets the oldest crashes, those that are explained last."""
        if len(self.crashes) <= MAX_CRASHES:
            return
        explained = {
            crash_id
            for crash_ids in self.blamed.values()
            for crash_id in crash_ids
        }
        oldest = min(
            self.crashes,
            key=lambda crash_id: (
                crash_id in explained,
                self.crashes[crash_id].at_ms,
            ),
        )
        del self.crashes[oldest]
        self.update_present()

    def update_present(self) -> None:
        """Collects anew the causes that were there at known crashes."""
        self.present = {
            cause
            for crash in self.crashes.values()
            for cause in crash.positions
        }


def is_of(crash_id: str, upstream: str) -> bool:
    """Returns whether a crash is one of an upstream.

    :param crash_id: the id of the crash
    :param upstream: life of the upstream
    """
    return crash_id.rpartition("#")[0] == upstream


def set_latest(
    times_ms: dict[str, int], causes: typing.Iterable[str], at_ms: int
) -> list[str]:
    """Sets the times of causes that are newer, and forgets the oldest ones.

    :param times_ms: by cause, the latest set last; it is changed
    :param causes: requests or parts
    :param at_ms: their time
    :return: those for which it is newer
    """
    newer = []
    for cause in causes:
        known_ms = times_ms.pop(cause, -1)
        times_ms[cause] = max(known_ms, at_ms)
        if at_ms > known_ms:
            newer.append(cause)
    while len(times_ms) > MAX_SOUND_CAUSES:
        del times_ms[next(iter(times_ms))]
    return newer


def crash_spacing_ms(cause: str) -> int:
    """Returns how far apart crashes count each by itself.

    :param cause: a request or part
    """
    if crash_reports.is_request(cause):
        return REQUEST_CRASH_SPACING_MS
    return PART_CRASH_SPACING_MS


def count_apart(times_ms: typing.Iterable[int], spacing_ms: int) -> int:
    """Counts times, those close together as one.

    :param times_ms: times in milliseconds, in any order
    :param spacing_ms: from when on times count each by itself
    :return: how many lie at least that long after the one counted before
    """
    count = 0
    last_ms: int | None = None
    for at_ms in sorted(times_ms):
        if last_ms is None or at_ms - last_ms >= spacing_ms:
            count += 1
            last_ms = at_ms
    return count


def last_apart(
    crashes: typing.Iterable[tuple[int, str]], spacing_ms: int
) -> list[tuple[int, str]]:
    """Returns the last crashes that suffice for a blame.

    :param crashes: times in milliseconds, with ids
    :param spacing_ms: from when on crashes count each by itself
    :return: the latest of them, each at least that long before the next
    """
    found: list[tuple[int, str]] = []
    for at_ms, crash_id in sorted(crashes, reverse=True):
        if not found or found[-1][0] - at_ms >= spacing_ms:
            found.append((at_ms, crash_id))
        if len(found) == CRASHES_BEFORE_BLAME:
            break
    return found
