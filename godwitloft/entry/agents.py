"""What an entry knows of the agents that it has links to."""

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
    """What is known of one agent.

    :param instance: name of the agent's instance
    :param incarnation: which start of its process
    :param pool: pool of its upstream
    :param availability_zone: where it is
    :param draining: whether it takes no new work
    :param prefill_tokens_per_ms: speed of its upstream, 0.0 if not known
    :param decode_ms_per_token: of one request alone, 0.0 if not known
    """

    instance: str
    incarnation: str
    pool: str
    availability_zone: str
    draining: bool
    prefill_tokens_per_ms: float = 0.0
    decode_ms_per_token: float = 0.0

    def finish_in_ms(self, call: calls.Call) -> float | None:
        """Estimates how long a call takes when nothing else runs.

        :param call: the call
        :return: milliseconds, or None when the speeds aren't known
        """
        if self.prefill_tokens_per_ms <= 0.0 or not call.is_model:
            return None
        return (
            call.prompt_tokens / self.prefill_tokens_per_ms
            + call.output_tokens * self.decode_ms_per_token
        )


class Agents:
    """The agents of one entry.

    :param availability_zone: the entry's own
    :param rng: chooses among equals
    """

    def __init__(self, availability_zone: str, rng: random.Random) -> None:
        self.availability_zone = availability_zone
        self.rng = rng
        self.views: dict[str, AgentView] = {}
        self.prefixes: dict[str, prefix_index.PrefixIndex] = {}

    def up(self, hello: ttypes.Hello) -> None:
        """Notes an agent that has a link.

        :param hello: what it said
        """
        known = self.views.get(hello.instance)
        if known is None or known.incarnation != hello.incarnation:
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

    def down(self, instance: str) -> None:
        """Forgets an agent.

        :param instance: name of its instance
        """
        self.views.pop(instance, None)
        self.prefixes.pop(instance, None)

    def leaving(self, instance: str) -> None:
        """Notes that an agent takes no new work.

        :param instance: name of its instance
        """
        view = self.views.get(instance)
        if view is not None:
            self.views[instance] = dataclasses.replace(view, draining=True)

    def heartbeat(self, instance: str, body: ttypes.Heartbeat) -> None:
        """Takes over what an agent says of its upstream.

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
        """Returns the agents that may run a call.

        :param call: the call
        :return: those of its pools that aren't leaving
        """
        return [
            one
            for one in self.views.values()
            if not one.draining and one.pool in call.pools
        ]

    def finish_in_ms(self, call: calls.Call) -> int | None:
        """Estimates a call on the best upstream, were it idle.

        :param call: the call
        :return: milliseconds, or None unless all speeds are known
        """
        found = [one.finish_in_ms(call) for one in self.eligible(call)]
        known = [one for one in found if one is not None]
        if not known or len(known) < len(found):
            return None
        return int(min(known))

    def targets(
        self, call: calls.Call, spare_ms: int
    ) -> tuple[bid_targets.BidTarget, ...]:
        """Chooses the agents to bid a call at, and their hold-offs.

        :param call: the call
        :param spare_ms: time to its deadline less the time that it needs
        :return: the agents
        """
        chosen = bid_targets.choose_agents(
            [
                bid_targets.Agent(
                    one.instance,
                    one.availability_zone,
                    one.prefill_tokens_per_ms,
                )
                for one in self.eligible(call)
            ],
            call.prefix_keys,
            self.availability_zone,
            self.rng,
        )
        cached = {
            one.peer: self.prefixes[one.peer].cached_tokens(call.prefix_keys)
            for one in chosen
        }
        return bid_targets.assign_holds(chosen, cached, spare_ms)

    def dispatched(self, instance: str, call: calls.Call, now_ms: int) -> None:
        """Notes that an agent was given a call.

        :param instance: name of its instance
        :param call: the call
        :param now_ms: the time
        """
        index = self.prefixes.get(instance)
        if index is not None:
            index.record_dispatch(call.prefix_keys, now_ms)


def names(views: typing.Iterable[AgentView]) -> list[str]:
    """Returns the instances of some agents.

    :param views: the agents
    :return: names of their instances
    """
    return [one.instance for one in views]
