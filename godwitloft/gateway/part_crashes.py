"""Finds the part of prompts that crashes the upstreams which answer it.

Requests with such a part have nothing else in common, come to any gateway, and
run beside sound ones that share their other parts. So each crash counts
against all parts of the requests whose answers had hardly begun there, and a
part is blamed for several crashes of all gateways together unless it is proved
sound in between: an answer on it that went on for a while. Parts that many
requests share are proved sound all the time.
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
MEMORY_MS = 900_000
# How long peers are told that a part has been proved sound.
SOUND_TOLD_MS = 10_000
MAX_PARTS = 200
MAX_PARTS_TOLD = 10
# Enough to blame a part although some lie close together.
MAX_CRASHES_TOLD = 8


@dataclasses.dataclass(frozen=True)
class PartReport:
    """What is known about a part that upstreams have crashed on.

    :param part: id of the part
    :param crash_ages_ms: time since each crash, by the upstreams' lives
    :param sound_age_ms: time since it was last proved sound, None if it wasn't
        lately
    """

    part: str
    crash_ages_ms: typing.Mapping[str, int]
    sound_age_ms: int | None = None


class PartCrashes:
    """Crashes and proofs of soundness, by part, as all gateways know them."""

    def __init__(self) -> None:
        # Times of crashes by life of the upstream, by part. One crash is heard
        # of from several gateways, and counts once.
        self.crashes_ms: dict[str, dict[str, int]] = {}
        # When parts with crashes were last proved sound.
        self.sound_ms: dict[str, int] = {}
        self.blamed_parts: set[str] = set()
        # Whether the blamed parts have changed since they were saved.
        self.unsaved = False

    def record_crash(
        self, parts: typing.Iterable[str], upstream: str, at_ms: int
    ) -> None:
        """Records that an upstream crashed.

        :param parts: shared parts of requests whose answers had hardly begun
        :param upstream: life of the upstream
        :param at_ms: when it broke off the requests
        """
        for part in parts:
            sound_ms = self.sound_ms.get(part)
            if sound_ms is not None and at_ms <= sound_ms:
                continue
            self.crashes_ms.setdefault(part, {}).setdefault(upstream, at_ms)
            self.update_blame(part)
        while len(self.crashes_ms) > MAX_PARTS:
            self.forget(next(iter(self.crashes_ms)))

    def record_sound(self, parts: typing.Iterable[str], at_ms: int) -> None:
        """Records that an upstream has answered on parts for a while.

        :param parts: shared parts of the request
        :param at_ms: the current time
        """
        for part in parts:
            if part in self.crashes_ms or part in self.sound_ms:
                self.mark_sound(part, at_ms)

    def mark_sound(self, part: str, at_ms: int) -> None:
        """Cancels the crashes of a part before a point in time.

        :param part: id of the part
        :param at_ms: when it was proved sound
        """
        known_ms = self.sound_ms.pop(part, at_ms)
        self.sound_ms[part] = max(known_ms, at_ms)
        later = {
            upstream: crashed_ms
            for upstream, crashed_ms in self.crashes_ms.pop(part, {}).items()
            if crashed_ms > at_ms
        }
        if later:
            self.crashes_ms[part] = later
        self.update_blame(part)
        while len(self.sound_ms) > MAX_PARTS:
            del self.sound_ms[next(iter(self.sound_ms))]

    def learn(self, report: PartReport, now_ms: int) -> None:
        """Takes over what a peer knows, or what was saved.

        :param report: the report
        :param now_ms: the time at which the ages in it were true
        """
        if report.sound_age_ms is not None:
            self.mark_sound(report.part, now_ms - report.sound_age_ms)
        for upstream, age_ms in report.crash_ages_ms.items():
            self.record_crash((report.part,), upstream, now_ms - age_ms)

    def update_blame(self, part: str) -> None:
        """Decides whether a part is blamed, and logs a change.

        :param part: id of the part
        """
        crashes_ms = self.crashes_ms.get(part, {})
        is_blamed = count_apart(crashes_ms.values()) >= CRASHES_BEFORE_BLAME
        if is_blamed == (part in self.blamed_parts):
            return
        self.unsaved = True
        if is_blamed:
            self.blamed_parts.add(part)
        else:
            self.blamed_parts.discard(part)
        events.log(
            events.PROMPT_PART_BLAMED,
            part=part,
            blamed=is_blamed,
            upstreams=sorted(crashes_ms),
        )

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

    def reports(self, now_ms: int) -> tuple[PartReport, ...]:
        """Returns what peers should know, the latest first.

        :param now_ms: the current time
        :return: at most :data:`MAX_PARTS_TOLD` reports
        """
        self.forget_old(now_ms)
        lately_sound = {
            part
            for part, at_ms in self.sound_ms.items()
            if now_ms - at_ms <= SOUND_TOLD_MS
        }
        parts = sorted(
            self.crashes_ms.keys() | lately_sound,
            key=lambda part: (
                part not in self.blamed_parts,
                -self.latest(part),
            ),
        )
        return tuple(
            PartReport(
                part,
                {
                    upstream: now_ms - at_ms
                    for upstream, at_ms in self.latest_crashes(part)
                },
                now_ms - self.sound_ms[part] if part in lately_sound else None,
            )
            for part in parts[:MAX_PARTS_TOLD]
        )

    def blamed_reports(self, now_ms: int) -> tuple[PartReport, ...]:
        """Returns what has to be kept for a restart of all gateways.

        :param now_ms: the current time
        :return: reports on parts that are blamed
        """
        return tuple(
            report
            for report in self.reports(now_ms)
            if report.part in self.blamed_parts
        )

    def latest_crashes(self, part: str) -> list[tuple[str, int]]:
        """Returns the latest crashes of a part.

        :param part: id of the part
        :return: lives of upstreams and times, the latest first, at most
            :data:`MAX_CRASHES_TOLD`
        """
        crashes_ms = self.crashes_ms.get(part, {})
        found = sorted(crashes_ms.items(), key=lambda crash: -crash[1])
        return found[:MAX_CRASHES_TOLD]

    def latest(self, part: str) -> int:
        """Returns when something was last learned about a part.

        :param part: id of the part
        :return: time of its last crash or proof
        """
        times = [*self.crashes_ms.get(part, {}).values()]
        if part in self.sound_ms:
            times.append(self.sound_ms[part])
        return max(times)

    def forget_old(self, now_ms: int) -> None:
        """Forgets parts with which no upstream has crashed for long.

        :param now_ms: the current time
        """
        for part, crashes_ms in list(self.crashes_ms.items()):
            if now_ms - max(crashes_ms.values()) > MEMORY_MS:
                self.forget(part)

    def forget(self, part: str) -> None:
        """Forgets the crashes of a part.

        :param part: id of the part
        """
        self.crashes_ms.pop(part, None)
        self.update_blame(part)


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
