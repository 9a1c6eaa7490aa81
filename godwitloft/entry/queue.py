"""The queue of waiting requests of an entry, and load shedding.

The queue has two limits. Over the soft limit, requests are shed as soon as
the agents guarantee that they serve no lower tier. The hard limit is never
exceeded. docs/OVERLOAD.md describes what callers can rely on.
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
    """Waiting requests, sorted so that the last one is shed first.

    :param max_requests: soft limit of waiting requests
    :param max_bytes: soft limit of the total size of their bodies
    """

    def __init__(self, max_requests: int, max_bytes: int) -> None:
        self.soft_requests = max_requests
        self.soft_bytes = max_bytes
        margin = max(MIN_MARGIN, int(max_requests * MARGIN_SHARE))
        self.hard_requests = max_requests + margin
        self.hard_bytes = max_bytes + int(max_bytes * MARGIN_SHARE)
        self.sorted_requests = sortedcontainers.SortedDict()
        self.body_bytes = 0

    def __len__(self) -> int:
        return len(self.sorted_requests)

    def sort_key(self, request: requests.Request) -> tuple[int, int, str]:
        """Returns a request's sort key; the first to be shed sorts last.

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
        """Adds a request.

        :param request: the request
        """
        self.sorted_requests[self.sort_key(request)] = request
        self.body_bytes += len(request.call.body)

    def remove(self, request: requests.Request) -> None:
        """Removes a request.

        :param request: the request; ignored if it isn't in the queue
        """
        if self.sorted_requests.pop(self.sort_key(request), None) is not None:
            self.body_bytes -= len(request.call.body)

    def over_soft_limit(self) -> list[requests.Request]:
        """Returns the requests by which the queue exceeds its soft limit.

        :return: the requests in the order in which they are shed
        """
        return self._over_limit(self.soft_requests, self.soft_bytes)

    def over_hard_limit(self) -> list[requests.Request]:
        """Returns the requests by which the queue exceeds its hard limit.

        :return: the requests in the order in which they are shed
        """
        return self._over_limit(self.hard_requests, self.hard_bytes)

    def count_ahead(self, tier_rank: int) -> int:
        """Counts the waiting requests of a tier and of higher tiers.

        :param tier_rank: rank of the tier
        :return: their number
        """
        return int(self.sorted_requests.bisect_left((tier_rank + 1,)))

    def is_below_low_watermark(self) -> bool:
        """Whether the queue has room enough to end urgent bidding.

        The low watermark is below the soft limit, so that bids don't switch
        between urgent and ordinary with each request.
        """
        return (
            len(self.sorted_requests)
            <= LOW_WATERMARK_SHARE * self.soft_requests
            and self.body_bytes <= LOW_WATERMARK_SHARE * self.soft_bytes
        )

    def newest_kept(
        self, group: Group, overflow: int
    ) -> requests.Request | None:
        """Returns the request to bid as urgent on behalf of its group.

        Isolated requests (suspected to crash upstreams) can't be used: an
        agent may skip them for another suspect that runs there, which
        guarantees nothing. Parked requests are not bid.

        :param group: rank and pools
        :param overflow: number of requests over the soft limit
        :return: the newest request of the group within the soft limit, else
            the one of the group that would be shed last, else None
        """
        kept = itertools.islice(
            reversed(self.sorted_requests.values()), overflow, None
        )
        most_important_first = itertools.islice(
            self.sorted_requests.values(), len(self.sorted_requests)
        )
        for request in itertools.chain(kept, most_important_first):
            can_represent = not (request.isolate or request.parked)
            if can_represent and group_of(request) == group:
                return typing.cast(requests.Request, request)
        return None

    def _over_limit(
        self, max_requests: int, max_bytes: int
    ) -> list[requests.Request]:
        count, size = len(self.sorted_requests), self.body_bytes
        excess = []
        for request in reversed(self.sorted_requests.values()):
            if count <= max_requests and size <= max_bytes:
                break
            excess.append(request)
            count -= 1
            size -= len(request.call.body)
        return excess


class Guarantees:
    """The agents' answers to urgent bids that are still valid.

    Some of the answers guarantee that the agent serves no lower tier; see
    :func:`godwitloft.policy.shed.is_guaranteed`.
    """

    def __init__(self) -> None:
        self.answers_by_agent: dict[str, dict[str, shed.UrgentAnswer]] = {}

    def record_answer(
        self, agent: str, run_id: str, tier_rank: int, reason: str
    ) -> None:
        """Records an agent's answer to an urgent bid.

        :param agent: the agent's instance
        :param run_id: id of the run that was bid
        :param tier_rank: rank of its tier
        :param reason: why the agent doesn't pull it
        """
        by_run_id = self.answers_by_agent.setdefault(agent, {})
        by_run_id[run_id] = shed.UrgentAnswer(tier_rank, reason)

    def forget_bid(self, run_id: str) -> None:
        """Removes the answers to a bid that is no longer valid.

        :param run_id: id of the run that was bid
        """
        for by_run_id in self.answers_by_agent.values():
            by_run_id.pop(run_id, None)

    def forget_agent(self, agent: str) -> None:
        """Removes the answers of an agent.

        :param agent: the agent's instance
        """
        self.answers_by_agent.pop(agent, None)

    def may_shed(
        self,
        request: requests.Request,
        agents: typing.Iterable[str],
        last_resort: bool = False,
    ) -> bool:
        """Returns whether a request may be shed.

        :param request: the request
        :param agents: names of the instances of the agents that may run it
        :param last_resort: see :func:`godwitloft.policy.shed.is_guaranteed`
        :return: whether none of them serves a lower tier
        """
        return shed.may_shed(
            request.call.tier_rank,
            {agent: request.skip_reasons.get(agent, "") for agent in agents},
            {
                agent: tuple(by_run_id.values())
                for agent, by_run_id in self.answers_by_agent.items()
            },
            last_resort,
        )


def group_of(request: requests.Request) -> Group:
    """Returns the group of requests that share guarantees with a request.

    :param request: the request
    :return: its tier rank and pools
    """
    return (request.call.tier_rank, request.call.pools)
