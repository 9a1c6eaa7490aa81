"""The agents that an entry has links to, and their last known state."""

import dataclasses
import random
import typing

from godwitloft.entry import call as calls
from godwitloft.links.generated.messages import ttypes
from godwitloft.policy import bid_targets
from godwitloft.policy import prefix
from godwitloft.policy import prefix_index

MAX_KEYS_PER_AGENT = 20_000


@dataclasses.dataclass(frozen=True)
class AgentView:
    """Last known state of one agent.

    :param instance: name of the agent's instance
    :param incarnation: unique name of the start of its process
    :param pool: pool of its upstream
    :param availability_zone: its availability zone
    :param draining: whether it finishes its work and accepts no more
    :param prefill_tokens_per_ms: prefill speed of its upstream, 0.0 if not
        known
    :param decode_ms_per_token: decode time of a request that runs alone,
        0.0 if not known
    """

    instance: str
    incarnation: str
    pool: str
    availability_zone: str
    draining: bool
    prefill_tokens_per_ms: float = 0.0
    decode_ms_per_token: float = 0.0

    def finish_in_ms(self, call: calls.Call) -> float | None:
        """Estimates how long a call takes on the idle upstream.

        :param call: the call
        :return: milliseconds, or None when the speeds aren't known or the
            call is not run by a model
        """
        if self.prefill_tokens_per_ms <= 0.0 or not call.is_model:
            return None
        return (
            call.prompt_tokens / self.prefill_tokens_per_ms
            + call.output_tokens * self.decode_ms_per_token
        )


class Agents:
    """The agents that one entry has links to.

    :param availability_zone: the entry's own availability zone
    :param rng: chooses among equally suitable agents
    """

    def __init__(self, availability_zone: str, rng: random.Random) -> None:
        self.availability_zone = availability_zone
        self.rng = rng
        self.views: dict[str, AgentView] = {}
        self.prefixes: dict[str, prefix_index.PrefixIndex] = {}

    def add(self, hello: ttypes.Hello) -> None:
        """Adds an agent, or updates it after a reconnect.

        The prefix index is kept unless the agent was restarted.

        :param hello: the agent's first message
        """
        previous = self.views.get(hello.instance)
        if previous is None or previous.incarnation != hello.incarnation:
            self.prefixes[hello.instance] = prefix_index.PrefixIndex(
                prefix.BLOCK_WORDS, MAX_KEYS_PER_AGENT
            )
        self.views[hello.instance] = AgentView(
            instance=hello.instance,
            incarnation=hello.incarnation,
            pool=hello.pool or "",
            availability_zone=hello.availability_zone,
            draining=bool(hello.draining),
        )

    def remove(self, instance: str) -> None:
        """Removes an agent.

        :param instance: name of its instance
        """
        self.views.pop(instance, None)
        self.prefixes.pop(instance, None)

    def mark_draining(self, instance: str) -> None:
        """Records that an agent is draining, so that it gets no more bids.

        :param instance: name of its instance
        """
        view = self.views.get(instance)
        if view is not None:
            self.views[instance] = dataclasses.replace(view, draining=True)

    def on_heartbeat(self, instance: str, body: ttypes.Heartbeat) -> None:
        """Updates an agent's state from its heartbeat.

        :param instance: name of its instance
        :param body: the message
        """
        view = self.views.get(instance)
        if view is not None:
            self.views[instance] = dataclasses.replace(
                view,
                draining=bool(body.draining),
                prefill_tokens_per_ms=body.prefill_tokens_per_ms or 0.0,
                decode_ms_per_token=body.decode_ms_per_token or 0.0,
            )

    def eligible(self, call: calls.Call) -> list[AgentView]:
        """Returns the agents to which a call can be bid.

        :param call: the call
        :return: the agents of the call's pools that aren't draining
        """
        return [
            view
            for view in self.views.values()
            if not view.draining and view.pool in call.pools
        ]

    def finish_in_ms(self, call: calls.Call) -> int | None:
        """Estimates how long a call takes on the fastest idle upstream.

        :param call: the call
        :return: milliseconds, or None unless the speeds of all eligible
            agents are known
        """
        durations_ms = [
            view.finish_in_ms(call) for view in self.eligible(call)
        ]
        known_ms = [
            duration_ms
            for duration_ms in durations_ms
            if duration_ms is not None
        ]
        if not known_ms or len(known_ms) < len(durations_ms):
            return None
        return int(min(known_ms))

    def choose_targets(
        self, call: calls.Call, spare_ms: int
    ) -> tuple[bid_targets.BidTarget, ...]:
        """Chooses the agents to bid a call to, and their hold-offs.

        A hold-off is the delay before an agent may start the call. It favors
        the agents that have the prompt's prefix cached.

        :param call: the call
        :param spare_ms: time to its deadline minus its estimated duration
        :return: the agents and their hold-offs in milliseconds
        """
        chosen = bid_targets.choose_agents(
            [
                bid_targets.Agent(
                    view.instance,
                    view.availability_zone,
                    view.prefill_tokens_per_ms,
                )
                for view in self.eligible(call)
            ],
            call.prefix_keys,
            self.availability_zone,
            self.rng,
        )
        cached = {
            agent.peer: self.prefixes[agent.peer].cached_tokens(
                call.prefix_keys
            )
            for agent in chosen
        }
        return bid_targets.assign_holds(chosen, cached, spare_ms)

    def record_dispatch(
        self, instance: str, call: calls.Call, now_ms: int
    ) -> None:
        """Adds a dispatched call's prefix to an agent's prefix index.

        :param instance: name of its instance
        :param call: the call
        :param now_ms: the current time
        """
        index = self.prefixes.get(instance)
        if index is not None:
            index.record_dispatch(call.prefix_keys, now_ms)


def instance_names(views: typing.Iterable[AgentView]) -> list[str]:
    """Returns the instance names of agents.

    :param views: the agents
    :return: names of their instances
    """
    return [view.instance for view in views]
