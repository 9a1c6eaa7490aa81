"""Decides whether a request is admitted, and when to retry a refused one."""

import typing

from godwitloft import clock as clocks
from godwitloft.entry import agents as agent_views
from godwitloft.entry import answers
from godwitloft.entry import call as calls
from godwitloft.entry import queue as queues
from godwitloft.entry import team_limits
from godwitloft.policy import admission_rules
from godwitloft.policy import drain_rate
from godwitloft.policy import suspects

MESSAGE_OF_REASON: typing.Mapping[str, str] = {
    admission_rules.TEAM_WAITING: "too many requests of this team are waiting",
    admission_rules.TEAM_TOKENS: "this team has used up its tokens",
    admission_rules.QUEUE_FULL: "too many requests are waiting",
    admission_rules.DEADLINE_UNREACHABLE: (
        "no upstream can finish this in time"
    ),
}
POISONOUS_REFUSAL = answers.Refused(
    answers.Reason.POISONOUS, "this request has crashed several upstreams"
)


class Admission:
    """Admission control of one entry.

    :param clock: the time source
    :param limits: the teams' counts and limits
    :param agents: the agents that the entry has links to
    :param queue: the waiting requests
    :param suspects: fingerprints of requests that may crash upstreams
    """

    def __init__(
        self,
        clock: clocks.Clock,
        limits: team_limits.TeamLimits,
        agents: agent_views.Agents,
        queue: queues.WaitingQueue,
        suspects: suspects.Suspects,
    ) -> None:
        self.clock = clock
        self.limits = limits
        self.agents = agents
        self.queue = queue
        self.suspects = suspects
        self.drain_rate = drain_rate.DrainRate(clock.monotonic_ms())
        self.draining = False

    def refusal(self, call: calls.Call, now_ms: int) -> answers.Refused | None:
        """Decides whether a request must be refused at once.

        A request is not refused here because the queue is full: a request
        of a lower tier may be shed instead
        (:mod:`godwitloft.entry.bidding`).

        :param call: what the caller asks
        :param now_ms: the current time
        :return: the refusal, or None to accept
        """
        if self.draining:
            return answers.Refused(
                answers.Reason.LEAVING, "this entry is shutting down"
            )
        verdict = self.suspects.verdict(call.fingerprint, now_ms)
        if verdict is suspects.Verdict.POISONOUS:
            return POISONOUS_REFUSAL
        arrival = admission_rules.Arrival(
            tokens=call.prompt_tokens + call.output_tokens,
            body_bytes=len(call.body),
            slack_ms=call.timeout_ms,
            finish_in_ms=self.agents.finish_in_ms(call),
        )
        # These limits are above the queue's hard limits, so that requests
        # are shed by importance when it is full, rather than refused here.
        load = admission_rules.QueueLoad(
            requests=len(self.queue),
            body_bytes=self.queue.body_bytes,
            max_requests=self.queue.hard_requests + 1,
            max_bytes=self.queue.hard_bytes * 2,
            retry_after_ms=self.retry_after_ms(call.tier_rank),
        )
        refused = self.limits.admit(call.team, arrival, load, now_ms)
        if refused is None:
            return None
        return answers.Refused(
            answers.Reason(refused.reason),
            MESSAGE_OF_REASON[refused.reason],
            refused.retry_after_ms,
        )

    def retry_after_ms(self, tier_rank: int) -> int:
        """Estimates when a refused caller should retry.

        :param tier_rank: rank of its tier
        :return: milliseconds until the requests ahead of it have left the
            queue, at the recent rate of dispatches
        """
        return self.drain_rate.retry_after_ms(
            self.queue.count_ahead(tier_rank), self.clock.monotonic_ms()
        )
