"""What gateways tell each other besides the use of allowances.

It goes with each announcement, so that what one gateway has learned from the
store or from an upstream reaches the others within an announcement interval,
also those that can't reach the store.
"""

import dataclasses

from godwitloft.gateway import part_crashes
from godwitloft.links.generated.datagrams import ttypes


@dataclasses.dataclass(frozen=True)
class Life:
    """One life of an upstream, from the start of its process to its end.

    :param id: identity of the upstream
    :param born_ms: start of its process, in Unix milliseconds
    """

    id: str
    born_ms: int


@dataclasses.dataclass(frozen=True)
class StoreUp:
    """The last uninterrupted time in which a gateway knew the store to be up.

    :param age_ms: time since its end
    :param length_ms: time from its start to its end
    """

    age_ms: int
    length_ms: int


@dataclasses.dataclass(frozen=True)
class PeerStatus:
    """What a gateway knows, as far as it concerns its peers.

    :param version: version of the configuration in force, 0 without one
    :param timeline: newest known timeline of the store, None if unknown
    :param leaving: upstreams that have lately said that they are leaving
    :param store_up: when the store was up, by the gateway's own knowledge;
        None if it never was
    :param part_reports: parts of prompts that upstreams have crashed on
    """

    version: int = 0
    timeline: int | None = None
    leaving: tuple[Life, ...] = ()
    store_up: StoreUp | None = None
    part_reports: tuple[part_crashes.PartReport, ...] = ()


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
    sharing.parts = [
        encode_part(report) for report in status.part_reports
    ] or None


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
        part_reports=tuple(
            decode_part(entry) for entry in sharing.parts or ()
        ),
    )


def encode_part(report: part_crashes.PartReport) -> ttypes.PartReport:
    """Encodes what is known about a part of prompts.

    :param report: the report
    :return: a part of a datagram
    """
    crashes = [
        ttypes.PartCrash(upstream=upstream, age_ms=age_ms)
        for upstream, age_ms in report.crash_ages_ms.items()
    ]
    return ttypes.PartReport(
        part=report.part, crashes=crashes, sound_age_ms=report.sound_age_ms
    )


def decode_part(entry: ttypes.PartReport) -> part_crashes.PartReport:
    """Decodes what a peer knows about a part of prompts.

    :param entry: a part of a datagram
    :return: the report
    """
    return part_crashes.PartReport(
        entry.part,
        {crash.upstream: max(0, crash.age_ms) for crash in entry.crashes},
        entry.sound_age_ms,
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
