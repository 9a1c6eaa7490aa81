"""What is known of the upstreams that a configuration will meet."""

import dataclasses
import typing

from godwitloft.gateway import model


@dataclasses.dataclass(frozen=True)
class ServiceUpstreams:
    """The usable upstreams of one service.

    :param count: number of upstreams
    :param slots: slots of all of them
    """

    count: int = 0
    slots: int = 0


# Upstreams by service, None if they aren't known.
Known = typing.Mapping[str, ServiceUpstreams] | None


def by_service(
    upstreams: typing.Iterable[model.Upstream],
) -> dict[str, ServiceUpstreams]:
    """Counts upstreams by service.

    :param upstreams: listed upstreams; those that leave don't count
    """
    found: dict[str, ServiceUpstreams] = {}
    for upstream in upstreams:
        if upstream.leaving:
            continue
        known = found.get(upstream.service, ServiceUpstreams())
        found[upstream.service] = ServiceUpstreams(
            known.count + 1, known.slots + upstream.slots
        )
    return found
