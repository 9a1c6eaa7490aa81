"""The waiting requests of an entry and their bids to agents.

A waiting request is bid to the agents that the policy chooses. When the queue
is full, requests are bid to all agents, so that no request is refused before
a less important one. docs/OVERLOAD.md describes the rules.
"""

import typing

from godwitloft import clock as clocks
from godwitloft import trace
from godwitloft.entry import agents as agents_module
from godwitloft.entry import answers
from godwitloft.entry import bids
from godwitloft.entry import queue as queues
from godwitloft.entry import request as requests
from godwitloft.entry import team_limits
from godwitloft.links import codec
from godwitloft.links.generated.messages import ttypes
from godwitloft.policy import bid_targets


class Bidding:
    """Owns the waiting requests of one entry and their bids.

    :param clock: the time source
    :param send: sends ``(instance, field name, body)`` to a peer; returns
        False when there is no link to it
    :param recorder: writes the trace
    :param generation: returns the configuration generation in force
    :param agents: the agents that the entry has links to
    :param limits: the teams' counts and limits
    :param queue: an empty queue for the waiting requests
    :param refuse: called with a request for which there is no room, and why
    :param hold_off: whether agents that don't have a prompt's prefix cached
        must wait before they start its request
    """

    def __init__(
        self,
        clock: clocks.Clock,
        send: typing.Callable[[str, str, codec.Body], bool],
        recorder: trace.Recorder,
        generation: typing.Callable[[], int],
        agents: agents_module.Agents,
        limits: team_limits.TeamLimits,
        queue: queues.WaitingQueue,
        refuse: typing.Callable[[requests.Request, answers.Reason], None],
        hold_off: bool,
    ) -> None:
        self.clock = clock
        self.send = send
        self.recorder = recorder
        self.generation = generation
        self.agents = agents
        self.limits = limits
        self.queue = queue
        self.refuse = refuse
        self.hold_off = hold_off
        self.waiting: dict[str, requests.Request] = {}
        self.guarantees = queues.Guarantees()
        self.urgent_bids: dict[queues.Group, str] = {}

    def enqueue(self, request: requests.Request) -> None:
        """Adds a request to the queue and bids it to agents.

        It is parked if its team is at its limit of running requests.

        :param request: the request
        """
        self.waiting[request.run_id] = request
        self.queue.add(request)
        self.limits.add_waiting(request.call.team)
        if self.limits.may_run(request.call.team):
            self.bid(request)
        else:
            self.park(request)

    def dequeue(self, request: requests.Request) -> None:
        """Removes a request from the queue.

        :param request: the request; ignored if it isn't in the queue
        """
        if self.waiting.pop(request.run_id, None) is None:
            return
        self.queue.remove(request)
        self.limits.remove_waiting(request.call.team, request.run_id)
        self.guarantees.forget_bid(request.run_id)
        group = queues.group_of(request)
        if self.urgent_bids.get(group) == request.run_id:
            del self.urgent_bids[group]

    def park(self, request: requests.Request) -> None:
        """Withdraws the bids of a request whose team is at its limit.

        Otherwise its bids would compete at the agents with those of requests
        that may run.

        :param request: a waiting request
        """
        self.withdraw(request)
        request.parked = True
        self.limits.park(request.call.team, request.run_id)

    def unpark(self, team: str) -> None:
        """Bids as many of a team's parked requests as it may run now.

        :param team: name of the team
        """
        for run_id in self.limits.unpark(team):
            request = self.waiting[run_id]
            request.parked = False
            self.bid(request)

    def bid(self, request: requests.Request) -> None:
        """Bids a request to the agents that the policy chooses.

        Urgent requests are bid to all agents. Others get no further bids once
        :data:`bid_targets.SMALL_POOL_AGENTS` agents have one.

        :param request: a waiting request
        """
        if request.urgent:
            self.bid_to_all(request)
            return
        now_ms = self.clock.monotonic_ms()
        needed_ms = self.agents.finish_in_ms(request.call) or 0
        spare_ms = request.deadline_ms - now_ms - needed_ms
        if len(request.bid_agents) >= bid_targets.SMALL_POOL_AGENTS:
            return
        for target in self.agents.choose_targets(request.call, spare_ms):
            if target.peer not in request.failed_agents:
                hold_ms = target.hold_ms if self.hold_off else 0
                self.bid_to(request, target.peer, hold_ms)
        if not request.bid_agents:
            self.bid_to_all(request)

    def bid_to_all(self, request: requests.Request) -> bool:
        """Bids a request to every eligible agent that has no bid for it.

        :param request: a waiting request
        :return: whether a bid was sent
        """
        sent = [
            self.bid_to(request, view.instance, 0)
            for view in self.agents.eligible(request.call)
        ]
        return any(sent)

    def bid_to(
        self, request: requests.Request, instance: str, hold_ms: int
    ) -> bool:
        """Bids a request to one agent, unless it already has the bid.

        :param request: a waiting request
        :param instance: name of the agent's instance
        :param hold_ms: how long the agent must wait before it starts it
        :return: whether the bid was sent
        """
        if instance in request.bid_agents:
            return False
        body = bids.bid_message(
            request,
            self.clock.monotonic_ms(),
            hold_ms,
            self.generation(),
            len(self.agents.eligible(request.call)),
        )
        if not self.send(instance, "bid", body):
            return False
        request.bid_agents[instance] = None
        request.skip_reasons.pop(instance, None)
        if request.position.state == "waiting":
            request.position.feed("bid")
        return True

    def withdraw(self, request: requests.Request) -> None:
        """Withdraws a request's bids, except at the agent that runs it.

        :param request: the request
        """
        body = ttypes.Withdraw(request.run_id)
        for instance in request.bid_agents:
            if instance != request.agent:
                self.send(instance, "withdraw", body)
        request.bid_agents.clear()

    # Overload

    def shed_overflow(self) -> None:
        """Refuses requests over the queue's limits.

        Over the hard limit, requests are refused at once. Over the soft
        limit, the agents are first asked to guarantee that they serve no
        lower tier; then the newest request of the lowest tier is refused.
        See docs/OVERLOAD.md.
        """
        if self.queue.is_below_low_watermark():
            self.clear_urgency()
            return
        for request in self.queue.over_hard_limit():
            self.refuse(request, answers.Reason.QUEUE_FULL)
        for request in self.queue.over_soft_limit():
            if request.run_id in self.urgent_bids.values():
                continue
            eligible = agents_module.instance_names(
                self.agents.eligible(request.call)
            )
            if request.parked or self.guarantees.may_shed(request, eligible):
                self.refuse(request, answers.Reason.SHED)
            else:
                self.request_guarantee(queues.group_of(request))

    def request_guarantee(self, group: queues.Group) -> None:
        """Asks the agents for a guarantee for a group, unless it is pending.

        One request of the group that stays in the queue is bid as urgent; the
        agents that skip it answer for the whole group.

        :param group: tier rank and pools of a request that is to be shed
        """
        if group in self.urgent_bids:
            return
        overflow = len(self.queue.over_soft_limit())
        request = self.queue.newest_kept(group, overflow)
        if request is None:
            return
        self.urgent_bids[group] = request.run_id
        self.recorder.record(
            trace.Kind.URGENT, request.request_id, run_id=request.run_id
        )
        self.set_urgent(request, True)

    def set_urgent(self, request: requests.Request, urgent: bool) -> None:
        """Marks a request as urgent or not, and bids it again.

        The new bid replaces the earlier one at each agent, so the earlier
        bids aren't withdrawn.

        :param request: a waiting request
        :param urgent: whether its bids are urgent
        """
        request.urgent = urgent
        request.bid_agents.clear()
        request.skip_reasons.clear()
        self.guarantees.forget_bid(request.run_id)
        self.bid_to_all(request)

    def clear_urgency(self) -> None:
        """Makes all urgent bids ordinary again."""
        for run_id in tuple(self.urgent_bids.values()):
            request = self.waiting.get(run_id)
            if request is not None:
                self.set_urgent(request, False)
        self.urgent_bids.clear()
