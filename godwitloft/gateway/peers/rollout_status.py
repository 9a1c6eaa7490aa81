"""What gateways tell each other of roll-outs, as it is sent.

Counts are many while a version is judged: one for each route and upstream.
An announcement has as many as keep it within one packet.
"""

import typing

from godwitloft.links import datagrams
from godwitloft.links.generated.datagrams import ttypes
from godwitloft.rollouts import evidence
from godwitloft.rollouts import types

# What roll-outs may take of an announcement that is long without them.
MIN_BYTES = 300
# The union around an announcement, and the fields of its roll-outs.
FRAME_BYTES = 16
# Besides its strings: numbers, types of fields and lengths.
NEWS_BYTES = 24
COUNTS_BYTES = 24
MAX_NUMBER_BYTES = 5
PHASES = frozenset(phase.value for phase in types.Phase)

Counted = tuple[evidence.Key, evidence.Cell]


def encode(
    told: evidence.PeerRollouts | None, sharing: ttypes.Sharing
) -> None:
    """Adds what a gateway tells of roll-outs to an announcement.

    :param told: what it tells, None for nothing
    :param sharing: the announcement with all else, which is changed
    """
    if told is None:
        return
    space = datagrams.MAX_DATAGRAM_BYTES - FRAME_BYTES
    space -= len(datagrams.encode(sharing=sharing))
    space = max(MIN_BYTES, space) - len(told.incarnation)
    news: dict[tuple[str, int], ttypes.RolloutNews] = {}
    for phase in told.phases:
        space -= news_bytes(phase.service)
        if space < 0:
            break
        news[phase.service, phase.order_version] = ttypes.RolloutNews(
            service_name=phase.service,
            order_version=phase.order_version,
            phase=phase.phase,
            stopped=phase.has_stopped or None,
            left=phase.left or None,
        )
    for key, cell in in_order(told.cells):
        rollout = (key.service, key.order_version)
        needed = counts_bytes(key, cell)
        if rollout not in news:
            needed += news_bytes(key.service)
        if needed > space:
            continue
        space -= needed
        entry = news.setdefault(rollout, ttypes.RolloutNews(*rollout))
        entry.counts = [*(entry.counts or ()), encode_counts(key, cell)]
    if news:
        sharing.incarnation = told.incarnation
        sharing.rollouts = list(news.values())


def in_order(cells: typing.Sequence[Counted]) -> typing.Iterator[Counted]:
    """Yields counts in the order in which they get space.

    :param cells: counts, the last of which was told longest ago; it would
        never be told if it came last here
    """
    yield from cells[-1:]
    yield from cells[:-1]


def news_bytes(service: str) -> int:
    """Returns about how long a roll-out without counts is.

    :param service: name of its service
    """
    return NEWS_BYTES + len(service.encode())


def counts_bytes(key: evidence.Key, cell: evidence.Cell) -> int:
    """Returns how long counts are at most.

    :param key: what they have in common
    :param cell: the counts
    """
    names = key.version + key.route + key.upstream
    numbers = sum(number_bytes(count) for count in cell.times)
    return COUNTS_BYTES + len(names.encode()) + numbers


def number_bytes(number: int) -> int:
    """Returns how many bytes a count takes.

    :param number: the count, of which the sign takes one bit
    """
    return min(MAX_NUMBER_BYTES, number.bit_length() // 7 + 1)


def encode_counts(
    key: evidence.Key, cell: evidence.Cell
) -> ttypes.AnswerCounts:
    """Returns counts as they are sent.

    :param key: what they have in common
    :param cell: the counts
    """
    return ttypes.AnswerCounts(
        version=key.version,
        route=key.route,
        upstream=key.upstream,
        answers=cell.answers,
        failed=cell.failed,
        times=list(cell.times),
    )


def decode(sharing: ttypes.Sharing) -> evidence.PeerRollouts | None:
    """Returns what a peer tells of roll-outs.

    :param sharing: the received announcement
    :return: what can be used of it, None if it tells nothing
    """
    if sharing.incarnation is None or not sharing.rollouts:
        return None
    phases = []
    cells: list[Counted] = []
    for news in sharing.rollouts:
        if news.service_name is None or news.order_version is None:
            continue
        if news.phase in PHASES:
            phases.append(
                evidence.KnownPhase(
                    news.service_name,
                    news.order_version,
                    news.phase,
                    bool(news.stopped),
                    max(0, news.left or 0),
                )
            )
        cells.extend(
            (
                evidence.Key(
                    news.service_name,
                    news.order_version,
                    counts.version,
                    counts.route,
                    counts.upstream,
                ),
                evidence.Cell(
                    counts.answers, counts.failed, tuple(counts.times)
                ),
            )
            for counts in news.counts or ()
            if is_possible(counts)
        )
    return evidence.PeerRollouts(
        sharing.gateway, sharing.incarnation, tuple(phases), tuple(cells)
    )


def is_possible(counts: ttypes.AnswerCounts) -> bool:
    """Returns whether counts can have been counted.

    :param counts: as received
    """
    if None in (
        counts.version,
        counts.route,
        counts.upstream,
        counts.answers,
        counts.failed,
        counts.times,
    ):
        return False
    return (
        0 <= counts.failed <= counts.answers
        and len(counts.times) <= evidence.BOUNDS
        and min(counts.times, default=0) >= 0
    )
