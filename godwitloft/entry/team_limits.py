"""Counts and limits of the teams' requests at an entry."""

import collections
import dataclasses
import typing

from godwitloft.objects import types
from godwitloft.policy import admission_rules


def no_team_limits(name: str) -> types.Team | None:
    """Returns no team, so that no limits apply.

    :param name: name of a team
    :return: None
    """
    return None


class TeamLimits:
    """Waiting and running requests of each team, and their limits.

    :param team: returns a team by its name, or None when no limits apply
    :param share: returns this entry's share of all limits, 0.0 to 1.0
    """

    def __init__(
        self,
        team: typing.Callable[[str], types.Team | None] = no_team_limits,
        share: typing.Callable[[], float] = lambda: 1.0,
    ) -> None:
        self.team = team
        self.share = share
        self.waiting: collections.Counter[str] = collections.Counter()
        self.running: collections.Counter[str] = collections.Counter()
        self.buckets: dict[str, admission_rules.TokenBucket] = {}
        self.parked: dict[str, dict[str, None]] = {}

    def load(self, name: str) -> admission_rules.TeamLoad:
        """Returns the counts and limits of a team.

        :param name: name of the team
        :return: its counts and limits
        """
        load = admission_rules.TeamLoad(
            running=self.running[name], waiting=self.waiting[name]
        )
        team = self.team(name)
        if team is None:
            return load
        return dataclasses.replace(
            load,
            max_running=team.max_running,
            max_waiting=team.max_waiting,
            tokens_per_s=team.tokens_per_s,
            bucket=self.buckets.get(name),
        )

    def admit(
        self,
        name: str,
        arrival: admission_rules.Arrival,
        queue: admission_rules.QueueLoad,
        now_ms: int,
    ) -> admission_rules.Refused | None:
        """Admits a request and charges its team, or refuses it.

        :param name: name of the team
        :param arrival: the request
        :param queue: load of the entry's queue
        :param now_ms: the current time
        :return: why it is refused, or None
        """
        decision = admission_rules.admit(
            arrival, self.load(name), queue, self.share(), now_ms
        )
        if isinstance(decision, admission_rules.Refused):
            return decision
        if decision.bucket is not None:
            self.buckets[name] = decision.bucket
        return None

    def may_run(self, name: str) -> bool:
        """Returns whether one more request of a team may be dispatched.

        :param name: name of the team
        :return: whether the team is below its limit of running requests
        """
        return admission_rules.may_dispatch(self.load(name), self.share())

    def add_waiting(self, name: str) -> None:
        """Counts a request that was added to the queue.

        :param name: name of its team
        """
        self.waiting[name] += 1

    def remove_waiting(self, name: str, run_id: str) -> None:
        """Stops counting a request that left the queue.

        :param name: name of its team
        :param run_id: id of the request
        """
        self._decrease(self.waiting, name)
        parked = self.parked.get(name)
        if parked is not None:
            parked.pop(run_id, None)
            if not parked:
                del self.parked[name]

    def add_running(self, name: str) -> None:
        """Counts a request that was dispatched.

        :param name: name of its team
        """
        self.running[name] += 1

    def remove_running(self, name: str) -> None:
        """Stops counting a dispatched request that ended or is requeued.

        :param name: name of its team
        """
        self._decrease(self.running, name)

    def park(self, name: str, run_id: str) -> None:
        """Records a request that isn't bid until its team runs fewer requests.

        :param name: name of the team
        :param run_id: id of the request
        """
        self.parked.setdefault(name, {})[run_id] = None

    def unpark(self, name: str) -> list[str]:
        """Removes and returns the parked requests that the team may run now.

        :param name: name of the team
        :return: run ids, the oldest first, as many as the team may run
        """
        parked = self.parked.get(name, {})
        load = self.load(name)
        free = (
            admission_rules.share_of_limit(load.max_running, self.share())
            - load.running
        )
        if not load.max_running:
            free = len(parked)
        run_ids = list(parked)[: max(0, free)]
        for run_id in run_ids:
            del parked[run_id]
        if not parked:
            self.parked.pop(name, None)
        return run_ids

    def _decrease(self, counter: collections.Counter[str], name: str) -> None:
        counter[name] -= 1
        if counter[name] <= 0:
            del counter[name]
