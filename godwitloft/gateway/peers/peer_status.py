"""What gateways tell each other besides the use of allowances.

It goes with each announcement, so that what one gateway has learned from the
store or from an upstream reaches the others within an announcement interval,
also those that can't reach the store.
"""

import dataclasses
import math

from godwitloft.gateway.crashes import crash_reports
from godwitloft.gateway.peers import rollout_status
from godwitloft.links.generated.datagrams import ttypes
from godwitloft.policy import capacity
from godwitloft.rollouts import evidence

HUNDREDTHS = 100
# Bound of the logarithms of relative times, in hundredths.
MAX_LOG = 700


@dataclasses.dataclass(frozen=True)
class Life:
    """One life of an upstream, from the start of its process to its end.

    :param id: identity of the upstream
    :param born_ms: start of its process, in Unix milliseconds
    """

    id: str
    born_ms: int


@dataclasses.dataclass(frozen=True)
class LimitReport:
    """What an upstream has last said of its limit.

    :param life: the upstream
    :param per_s: requests a second, None if it names no limit any more
    :param age_ms: time since it said so
    """

    life: Life
    per_s: float | None
    age_ms: int


@dataclasses.dataclass(frozen=True)
class StoreUp:
    """The last uninterrupted time in which a gateway knew the store to be up.

    :param age_ms: time since its end
    :param length_ms: time from its start to its end
    """

    age_ms: int
    length_ms: int


@dataclasses.dataclass(frozen=True)
class CapacityReport:
    """What a gateway has observed of the capacity of an upstream.

    :param life: the upstream
    :param running: the gateway's requests that it runs
    :param levels: number, weight and mean logarithm of the relative time in
        hundredths for each observed amount of work
    :param slow_percent: share of slow answers
    :param refused: work in progress when it lately refused a request, 0 if it
        did not
    :param room: its room, None if the gateway doesn't decide on that
    :param base: its room without a probe
    :param curve: time of its answers against the work in progress
    """

    life: Life
    running: int
    levels: tuple[int, ...] = ()
    slow_percent: int = 0
    refused: int = 0
    room: int | None = None
    base: int | None = None
    curve: capacity.Curve | None = None

    def observed(self, slots: int, factor: float) -> list[capacity.Level]:
        """Returns the observed levels.

        :param slots: number of requests that the upstream runs concurrently
        :param factor: what their weights are multiplied by
        """
        highest = capacity.EXCESS_FACTOR * capacity.level_count(slots)
        return [
            capacity.Level(
                number,
                factor * min(weight, capacity.MAX_LEVEL_WEIGHT),
                max(-MAX_LOG, min(MAX_LOG, mean)) / HUNDREDTHS,
            )
            for number, weight, mean in zip(
                self.levels[::3],
                self.levels[1::3],
                self.levels[2::3],
                strict=False,
            )
            if 1 <= number <= highest and weight > 0
        ]


def pack_levels(levels: tuple[capacity.Level, ...]) -> tuple[int, ...]:
    """Returns levels as they are announced.

    :param levels: what was observed
    """
    packed: list[int] = []
    for level in levels:
        mean = round(HUNDREDTHS * level.mean)
        packed += (level.number, max(1, round(level.weight)), mean)
    return tuple(packed)


@dataclasses.dataclass(frozen=True)
class PeerStatus:
    """What a gateway knows, as far as it concerns its peers.

    :param version: version of the configuration in force, 0 without one
    :param timeline: newest known timeline of the store, None if unknown
    :param leaving: upstreams that have lately said that they are leaving
    :param store_up: when the store was up, by the gateway's own knowledge;
        None if it never was
    :param crashes: crashes of upstreams, with what may have caused them
    :param sound: which of these causes are sound
    :param blames: what is blamed for crashes
    :param limits: what upstreams have said of their limits
    :param rollouts: counts and phases of roll-outs, None without any
    :param capacities: what was observed of the capacity of upstreams
    :param sender: name of the gateway's instance, empty for this gateway
    """

    version: int = 0
    timeline: int | None = None
    leaving: tuple[Life, ...] = ()
    store_up: StoreUp | None = None
    crashes: tuple[crash_reports.CrashReport, ...] = ()
    sound: tuple[crash_reports.SoundReport, ...] = ()
    blames: tuple[crash_reports.BlameReport, ...] = ()
    limits: tuple[LimitReport, ...] = ()
    rollouts: evidence.PeerRollouts | None = None
    capacities: tuple[CapacityReport, ...] = ()
    sender: str = ""


def encode(status: PeerStatus, sharing: ttypes.Sharing) -> None:
    """Adds a status to an announcement.

    :param status: the status of this gateway
    :param sharing: the announcement, which is changed
    """
    sharing.version = status.version or None
    sharing.timeline = status.timeline
    sharing.leaving = [
        ttypes.LeavingUpstream(upstream=life.id, born_ms=life.born_ms)
        for life in status.leaving
    ] or None
    if status.store_up is not None:
        sharing.store_seen_age_ms = status.store_up.age_ms
        sharing.store_up_ms = status.store_up.length_ms
    sharing.crashes = [encode_crash(crash) for crash in status.crashes] or None
    sharing.sound = [
        ttypes.Sound(proof.cause, proof.age_ms) for proof in status.sound
    ] or None
    sharing.blames = [
        ttypes.Blame(
            blame.cause,
            [encode_crash(crash) for crash in blame.crashes],
            blame.trials,
            blame.trial_age_ms,
        )
        for blame in status.blames
    ] or None
    sharing.limits = [
        ttypes.UpstreamLimit(
            upstream=report.life.id,
            born_ms=report.life.born_ms,
            age_ms=report.age_ms,
            per_s=report.per_s,
        )
        for report in status.limits
    ] or None
    sharing.capacities = [
        encode_capacity(report) for report in status.capacities
    ] or None
    # The last, as it gets the space that is left.
    rollout_status.encode(status.rollouts, sharing)


def decode(sharing: ttypes.Sharing) -> PeerStatus:
    """Returns the status in a peer's announcement.

    :param sharing: the received announcement
    :return: its status; what it doesn't tell is 0, None or empty
    """
    return PeerStatus(
        version=sharing.version or 0,
        timeline=sharing.timeline,
        leaving=tuple(
            Life(entry.upstream, entry.born_ms)
            for entry in sharing.leaving or ()
        ),
        store_up=decode_store_up(sharing),
        crashes=decode_crashes(sharing.crashes),
        sound=tuple(
            crash_reports.SoundReport(proof.cause, max(0, proof.age_ms))
            for proof in sharing.sound or ()
        ),
        blames=tuple(
            crash_reports.BlameReport(
                blame.cause,
                decode_crashes(blame.crashes),
                max(0, blame.trials),
                max(0, blame.trial_age_ms),
            )
            for blame in sharing.blames or ()
        ),
        limits=tuple(
            LimitReport(
                Life(entry.upstream, entry.born_ms),
                entry.per_s,
                max(0, entry.age_ms),
            )
            for entry in sharing.limits or ()
            if is_limit(entry.per_s)
        ),
        rollouts=rollout_status.decode(sharing),
        capacities=tuple(
            decode_capacity(entry) for entry in sharing.capacities or ()
        ),
        sender=sharing.gateway,
    )


def encode_capacity(report: CapacityReport) -> ttypes.UpstreamCapacity:
    """Returns a report as it is sent.

    :param report: what was observed
    """
    curve = report.curve
    return ttypes.UpstreamCapacity(
        upstream=report.life.id,
        born_ms=report.life.born_ms,
        running=report.running,
        levels=list(report.levels) or None,
        slow_percent=report.slow_percent or None,
        refused=report.refused or None,
        room=report.room,
        base=report.base,
        curve=None
        if curve is None
        else [
            round(HUNDREDTHS * value)
            for value in (curve.knee, curve.slope, curve.base)
        ],
    )


def decode_capacity(entry: ttypes.UpstreamCapacity) -> CapacityReport:
    """Returns a report as it was told.

    :param entry: as received; figures that can't be right are bounded
    """
    curve = None
    if entry.curve is not None and len(entry.curve) == 3:
        knee, slope, base = entry.curve
        curve = capacity.Curve(
            max(1.0, knee / HUNDREDTHS),
            max(0, min(MAX_LOG, slope)) / HUNDREDTHS,
            max(-MAX_LOG, min(MAX_LOG, base)) / HUNDREDTHS,
            0.0,
            0.0,
        )
    return CapacityReport(
        life=Life(entry.upstream, entry.born_ms),
        running=max(0, entry.running),
        levels=tuple(entry.levels or ()),
        slow_percent=max(0, min(100, entry.slow_percent or 0)),
        refused=max(0, entry.refused or 0),
        room=None if entry.room is None else max(1, entry.room),
        base=None if entry.base is None else max(1, entry.base),
        curve=curve,
    )


def is_limit(per_s: float | None) -> bool:
    """Returns whether a number can be an upstream's limit.

    :param per_s: requests a second, None if it names no limit any more
    """
    return per_s is None or 0 <= per_s < math.inf


def encode_crash(crash: crash_reports.CrashReport) -> ttypes.Crash:
    """Returns a crash as it is sent.

    :param crash: the crash
    """
    return ttypes.Crash(crash.id, crash.age_ms, list(crash.causes))


def decode_crashes(
    crashes: list[ttypes.Crash] | None,
) -> tuple[crash_reports.CrashReport, ...]:
    """Returns crashes as they were told.

    :param crashes: as received, None for none
    """
    return tuple(
        crash_reports.CrashReport(
            crash.id, max(0, crash.age_ms), tuple(crash.causes)
        )
        for crash in crashes or ()
    )


def decode_store_up(sharing: ttypes.Sharing) -> StoreUp | None:
    """Returns what a peer knows of the store.

    :param sharing: the received announcement
    :return: when the store was up, None if it doesn't tell
    """
    age_ms, length_ms = sharing.store_seen_age_ms, sharing.store_up_ms
    if age_ms is None or length_ms is None:
        return None
    return StoreUp(max(0, age_ms), max(0, length_ms))
