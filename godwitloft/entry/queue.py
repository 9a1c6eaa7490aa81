"""The waiting requests of an entry, and which of them have to leave.

docs/OVERLOAD.md holds the promise. The queue has two bounds: past the
first one requests are shed as soon as the agents guarantee that nothing
lower is served; the second one is never passed.
"""

import itertools
import typing

import sortedcontainers

from godwitloft.entry import request as requests
from godwitloft.policy import shed

MARGIN_SHARE = 0.1
MIN_MARGIN = 64
LOW_WATERMARK_SHARE = 0.9

Group = tuple[int, tuple[str, ...]]


class WaitingQueue:
    """Requests in the order in which they are kept.

    :param max_requests: requests that may wait
    :param max_bytes: sum of the bodies of waiting requests
    """

    def __init__(self, max_requests: int, max_bytes: int) -> None:
        self.max_requests = max_requests
        self.max_bytes = max_bytes
        margin = max(MIN_MARGIN, int(max_requests * MARGIN_SHARE))
        self.hard_requests = max_requests + margin
        self.hard_bytes = max_bytes + int(max_bytes * MARGIN_SHARE)
        self.order = sortedcontainers.SortedDict()
        self.body_bytes = 0

    def __len__(self) -> int:
        return len(self.order)

    def sort_key(self, request: requests.Request) -> tuple[int, int, str]:
        """Returns a sort key: the first to leave sorts last.

        :param request: a request
        :return: see :func:`godwitloft.policy.shed.shed_key`
        """
        return shed.shed_key(
            shed.Waiting(
                request.run_id,
                request.call.tier_rank,
                request.deadline_ms,
                request.accepted_ms,
                len(request.call.body),
            )
        )

    def add(self, request: requests.Request) -> None:
        """Takes a request in.

        :param request: the request
        """
        self.order[self.sort_key(request)] = request
        self.body_bytes += len(request.call.body)

    def remove(self, request: requests.Request) -> None:
        """Takes a request out; one that isn't here is ignored.

        :param request: the request
        """
        if self.order.pop(self.sort_key(request), None) is not None:
            self.body_bytes -= len(request.call.body)

    def over_soft_limit(self) -> list[requests.Request]:
        """Returns what is past the first bound.

        :return: first to leave first
        """
        return self._over_limit(self.max_requests, self.max_bytes)

    def over_hard_limit(self) -> list[requests.Request]:
        """Returns what is past the second bound.

        :return: first to leave first
        """
        return self._over_limit(self.hard_requests, self.hard_bytes)

    def count_ahead(self, tier_rank: int) -> int:
        """Counts the requests of a tier and of higher ones.

        :param tier_rank: rank of the tier
        :return: how many wait
        """
        return int(self.order.bisect_left((tier_rank + 1,)))

    def is_below_low_watermark(self) -> bool:
        """Whether the queue is well below its first bound."""
        return (
            len(self.order) <= LOW_WATERMARK_SHARE * self.max_requests
            and self.body_bytes <= LOW_WATERMARK_SHARE * self.max_bytes
        )

    def newest_kept(
        self, group: Group, overflow: int
    ) -> requests.Request | None:
        """Returns the request to bid as urgent for others of its group.

        :param group: rank and pools
        :param overflow: how many are past the first bound
        :return: the newest that stays, else the first that would leave
            last; None when the group has none that can stand for others
        """
        kept = itertools.islice(reversed(self.order.values()), overflow, None)
        in_shed_order = itertools.islice(self.order.values(), len(self.order))
        for request in itertools.chain(kept, in_shed_order):
            eligible = not (request.isolate or request.parked)
            if eligible and group_of(request) == group:
                return typing.cast(requests.Request, request)
        return None

    def _over_limit(
        self, max_requests: int, max_bytes: int
    ) -> list[requests.Request]:
        count, size = len(self.order), self.body_bytes
        excess = []
        for request in reversed(self.order.values()):
            if count <= max_requests and size <= max_bytes:
                break
            excess.append(request)
            count -= 1
            size -= len(request.call.body)
        return excess


class Guarantees:
    """Which agents have said that they serve nothing lower than a tier."""

    def __init__(self) -> None:
        self.standings: dict[str, dict[str, shed.UrgentAnswer]] = {}

    def record_answer(
        self, agent: str, run_id: str, tier_rank: int, reason: str
    ) -> None:
        """Notes an agent's answer to an urgent bid.

        :param agent: its instance
        :param run_id: id of what was bid
        :param tier_rank: its rank
        :param reason: why it isn't pulled
        """
        by_run_id = self.standings.setdefault(agent, {})
        by_run_id[run_id] = shed.UrgentAnswer(tier_rank, reason)

    def forget_bid(self, run_id: str) -> None:
        """Forgets the answers to a bid that no longer stands.

        :param run_id: id of what was bid
        """
        for by_run_id in self.standings.values():
            by_run_id.pop(run_id, None)

    def forget_agent(self, agent: str) -> None:
        """Forgets the answers of an agent.

        :param agent: its instance
        """
        self.standings.pop(agent, None)

    def may_shed(
        self,
        request: requests.Request,
        agents: typing.Iterable[str],
        last_resort: bool = False,
    ) -> bool:
        """Says whether a request may be refused for lack of room.

        :param request: the request
        :param agents: the agents that may run it
        :param last_resort: see :func:`godwitloft.policy.shed.is_guaranteed`
        :return: whether none of them serves a lower tier
        """
        return shed.may_shed(
            request.call.tier_rank,
            {agent: request.skip_reasons.get(agent, "") for agent in agents},
            {
                agent: tuple(by_run_id.values())
                for agent, by_run_id in self.standings.items()
            },
            last_resort,
        )


def group_of(request: requests.Request) -> Group:
    """Returns what a request has in common with those it stands for.

    :param request: the request
    :return: its rank and pools
    """
    return (request.call.tier_rank, request.call.pools)
