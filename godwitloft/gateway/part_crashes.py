"""Finds the part of prompts that crashes the upstreams which answer it.

Requests with such a part have nothing else in common, come to any gateway, and
run beside sound ones that share their other parts. So each crash counts
against all parts of the requests whose answers had hardly begun there, and
gateways tell each other what they saw. A part is blamed that was there at
several crashes and was not proved sound since the first of them: by an answer
on it that went on for a while. Crashes with a blamed part are explained, and
count against no other: parts that sound requests share with bad ones are
cleared, also where hardly any sound request gets through.
"""

import dataclasses
import typing

from godwitloft import events

CRASHES_BEFORE_BLAME = 3
# Crashes closer together count as one: upstreams that fail together seldom do
# so for a request.
CRASH_SPACING_MS = 250
# An upstream that answers for this long has not crashed by the prompt.
SOUND_AFTER_MS = 500
# Two breaks of one life of an upstream further apart are two crashes.
SAME_CRASH_MS = 1_000
MEMORY_MS = 900_000
# How long peers are told of a crash, and which of its parts are sound.
# Crashes with blamed parts are told for longer, as gateways may start anew.
TOLD_MS = 3_000
MAX_CRASHES = 100
MAX_SOUND_PARTS = 2_000
MAX_CRASHES_TOLD = 10
MAX_SOUND_PARTS_TOLD = 10


@dataclasses.dataclass(frozen=True)
class CrashReport:
    """A crash of an upstream, as told to others.

    :param id: its id, the same at all gateways
    :param age_ms: time since then
    :param parts: shared parts of the requests whose answers had hardly begun,
        in their order in the prompts
    """

    id: str
    age_ms: int
    parts: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class SoundReport:
    """A proof that a part is sound, as told to others.

    :param part: id of the part
    :param age_ms: time since then
    """

    part: str
    age_ms: int


@dataclasses.dataclass
class Crash:
    """A crash of an upstream.

    :param at_ms: when it broke off the requests
    :param positions: place in its prompt of each part that was there
    """

    at_ms: int
    positions: dict[str, int]


class PartCrashes:
    """Crashes and proofs of soundness, as all gateways know them."""

    def __init__(self) -> None:
        # By id. One crash is heard of from several gateways, and counts once.
        self.crashes: dict[str, Crash] = {}
        # When each part was last proved sound, the latest last.
        self.sound_ms: dict[str, int] = {}
        self.blamed_parts: set[str] = set()
        # Whether the blamed parts have changed since they were saved.
        self.unsaved = False

    def record_crash(
        self, parts: typing.Sequence[str], upstream: str, at_ms: int
    ) -> None:
        """Records that an upstream crashed.

        :param parts: shared parts of a request whose answer had hardly begun,
            in their order in the prompt
        :param upstream: life of the upstream
        :param at_ms: when it broke off the request
        """
        if parts:
            self.add_crash(parts, self.crash_id(upstream, at_ms), at_ms)

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

    def add_crash(
        self, parts: typing.Sequence[str], crash_id: str, at_ms: int
    ) -> None:
        """Adds a crash, or parts to one that is known.

        :param parts: shared parts of a request whose answer had hardly begun,
            in their order in the prompt
        :param crash_id: its id, the same at all gateways
        :param at_ms: when it happened
        """
        crash = self.crashes.setdefault(crash_id, Crash(at_ms, {}))
        before = len(crash.positions)
        for position, part in enumerate(parts):
            known = crash.positions.get(part, position)
            crash.positions[part] = max(known, position)
        if len(crash.positions) > before:
            self.forget_excess()
            self.update_blame()

    def record_sound(self, parts: typing.Iterable[str], at_ms: int) -> None:
        """Records that an upstream has answered on parts for a while.

        :param parts: shared parts of the request
        :param at_ms: when it had done so
        """
        cleared = False
        for part in parts:
            known_ms = self.sound_ms.pop(part, at_ms)
            self.sound_ms[part] = max(known_ms, at_ms)
            cleared = cleared or part in self.blamed_parts
        while len(self.sound_ms) > MAX_SOUND_PARTS:
            del self.sound_ms[next(iter(self.sound_ms))]
        if cleared:
            self.update_blame()

    def learn(
        self,
        crashes: typing.Iterable[CrashReport],
        sound: typing.Iterable[SoundReport],
        now_ms: int,
    ) -> None:
        """Takes over what a peer knows, or what was saved.

        :param crashes: crashes of upstreams
        :param sound: proofs that parts are sound
        :param now_ms: the time at which the ages in them were true
        """
        for proof in sound:
            self.record_sound((proof.part,), now_ms - proof.age_ms)
        for crash in crashes:
            at_ms = now_ms - crash.age_ms
            self.add_crash(crash.parts, crash.id, at_ms)

    def update_blame(self) -> None:
        """Decides which parts are blamed, and logs each change."""
        unexplained = dict(self.crashes)
        blamed: dict[str, list[str]] = {}
        while True:
            part = self.most_suspect(unexplained.values())
            if part is None:
                break
            blamed[part] = [
                crash_id
                for crash_id, crash in unexplained.items()
                if self.counts_against(crash, part)
            ]
            for crash_id in blamed[part]:
                del unexplained[crash_id]
        for part in sorted(blamed.keys() ^ self.blamed_parts):
            self.unsaved = True
            events.log(
                events.PROMPT_PART_BLAMED,
                part=part,
                blamed=part in blamed,
                crashes=sorted(blamed.get(part, ())),
            )
        self.blamed_parts = set(blamed)

    def most_suspect(self, crashes: typing.Collection[Crash]) -> str | None:
        """Returns the part that is to be blamed for crashes.

        Of parts that were there as often, one that was never proved sound is
        suspected first, then one that stands later in prompts, as it is
        shared by fewer requests. If it turns out wrong, crashes without it
        follow.

        :param crashes: crashes that are not explained
        :return: its id, None if no part was there at enough of them
        """
        best: tuple[bool, int, int, str] | None = None
        parts = {part for crash in crashes for part in crash.positions}
        for part in parts:
            against = [
                crash for crash in crashes if self.counts_against(crash, part)
            ]
            count = count_apart(crash.at_ms for crash in against)
            if count < CRASHES_BEFORE_BLAME:
                continue
            position = max(crash.positions[part] for crash in against)
            key = (part not in self.sound_ms, count, position, part)
            if best is None or key > best:
                best = key
        return best[-1] if best is not None else None

    def counts_against(self, crash: Crash, part: str) -> bool:
        """Returns whether a part may have caused a crash.

        :param crash: a crash
        :param part: id of the part
        :return: whether it was there, and was not proved sound since
        """
        if part not in crash.positions:
            return False
        sound_ms = self.sound_ms.get(part)
        return sound_ms is None or crash.at_ms > sound_ms

    def find_blamed(self, parts: typing.Iterable[str]) -> str | None:
        """Returns a part for which no upstream may be risked.

        :param parts: shared parts of a request
        :return: the first part that is blamed, None if there is none
        """
        if not self.blamed_parts:
            return None
        return next(
            (part for part in parts if part in self.blamed_parts), None
        )

    def crash_reports(self, now_ms: int) -> tuple[CrashReport, ...]:
        """Returns what peers should know, and what has to be saved.

        :param now_ms: the current time
        :return: at most :data:`MAX_CRASHES_TOLD` crashes, those with blamed
            parts first, then the latest
        """
        self.forget_old(now_ms)
        found = sorted(
            self.told_crashes(now_ms).items(),
            key=lambda item: (not self.is_explained(item[1]), -item[1].at_ms),
        )
        return tuple(
            CrashReport(
                crash_id, now_ms - crash.at_ms, self.suspected_parts(crash)
            )
            for crash_id, crash in found[:MAX_CRASHES_TOLD]
        )

    def told_crashes(self, now_ms: int) -> dict[str, Crash]:
        """Returns the crashes that peers are told of.

        :param now_ms: the current time
        :return: late ones, and those with blamed parts, by id
        """
        return {
            crash_id: crash
            for crash_id, crash in self.crashes.items()
            if now_ms - crash.at_ms <= TOLD_MS or self.is_explained(crash)
        }

    def suspected_parts(self, crash: Crash) -> tuple[str, ...]:
        """Returns the parts that may have caused a crash.

        :param crash: a crash
        :return: their ids, in their order in the prompts
        """
        ordered = sorted(crash.positions, key=crash.positions.__getitem__)
        return tuple(
            part for part in ordered if self.counts_against(crash, part)
        )

    def sound_reports(self, now_ms: int) -> tuple[SoundReport, ...]:
        """Returns which suspected parts have lately been proved sound.

        :param now_ms: the current time
        :return: at most :data:`MAX_SOUND_PARTS_TOLD` proofs
        """
        suspected = {
            part
            for crash in self.told_crashes(now_ms).values()
            for part in crash.positions
        }
        reports = [
            SoundReport(part, now_ms - self.sound_ms[part])
            for part in suspected & self.sound_ms.keys()
            if now_ms - self.sound_ms[part] <= TOLD_MS
        ]
        reports.sort(key=lambda report: report.age_ms)
        return tuple(reports[:MAX_SOUND_PARTS_TOLD])

    def is_explained(self, crash: Crash) -> bool:
        """Returns whether a blamed part was there at a crash.

        :param crash: a crash
        """
        return not self.blamed_parts.isdisjoint(crash.positions)

    def forget_old(self, now_ms: int) -> None:
        """Forgets crashes of long ago.

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
            self.update_blame()

    def forget_excess(self) -> None:
        """Forgets the oldest crashes, those with blamed parts last."""
        while len(self.crashes) > MAX_CRASHES:
            oldest = min(
                self.crashes,
                key=lambda crash_id: (
                    self.is_explained(self.crashes[crash_id]),
                    self.crashes[crash_id].at_ms,
                ),
            )
            del self.crashes[oldest]


def count_apart(times_ms: typing.Iterable[int]) -> int:
    """Counts times, those close together as one.

    :param times_ms: times in milliseconds, in any order
    :return: how many lie at least :data:`CRASH_SPACING_MS` after the one
        counted before
    """
    count = 0
    last_ms: int | None = None
    for at_ms in sorted(times_ms):
        if last_ms is None or at_ms - last_ms >= CRASH_SPACING_MS:
            count += 1
            last_ms = at_ms
    return count
