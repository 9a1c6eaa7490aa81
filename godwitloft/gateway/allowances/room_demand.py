"""Reads the demand for services that other gateways announce."""

import typing

from godwitloft.gateway.placing import demand_share
from godwitloft.links.generated.datagrams import ttypes

# A longer list is cut, as it would take time at each gateway.
MAX_URGENCIES = 32


def decode(
    entries: typing.Iterable[ttypes.ServiceDemand] | None,
) -> dict[str, demand_share.Demand] | None:
    """Returns the demand in a peer's announcement.

    :param entries: as received, None if it announces none
    :return: demand by service, None if it announces none
    """
    if entries is None:
        return None
    return {
        entry.service_name: demand_share.Demand(
            max(0, entry.running),
            _counts(entry.waiting),
            _counts(entry.claimed or ()),
        )
        for entry in entries
    }


def _counts(counts: typing.Iterable[int]) -> tuple[int, ...]:
    found = [max(0, count) for count in counts]
    return tuple(found[:MAX_URGENCIES])
