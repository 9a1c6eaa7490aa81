"""Finds out at a start whether the store was restored from a copy before.

A process that has just started takes the first timeline that it sees for the
only one. The rows of gateways tell in which one they were written, so that a
restore since then shows.
"""

import typing

from godwitloft.platform import lease_row


def restored_ms(
    leases: typing.Iterable[lease_row.LeaseRow],
    timeline: int | None,
    now_ms: int,
) -> int:
    """Returns when the last restore of the store was noticed.

    :param leases: the rows of all gateways
    :param timeline: number of the store's timeline, None if it isn't told
    :param now_ms: the current time on the store's clock
    :return: time of the store's clock, the current one if nobody has noticed
        the restore before; 0 if the rows show none
    """
    if timeline is None:
        return 0
    found = list(leases)
    noticed = [
        lease.restored_ms
        for lease in found
        if lease.timeline == timeline and lease.restored_ms
    ]
    if noticed:
        return min(noticed)
    is_new = any(
        lease.timeline is not None and lease.timeline < timeline
        for lease in found
    )
    return now_ms if is_new else 0
