"""Verdicts on requests that may crash upstreams.

Agents report them; the entry applies them and forwards them to its other
agents.
"""

import typing

from godwitloft import clock as clocks
from godwitloft import trace
from godwitloft.entry import admission
from godwitloft.entry import agents as agent_views
from godwitloft.entry import answers
from godwitloft.entry import request as requests
from godwitloft.links import codec
from godwitloft.links.generated.messages import ttypes
from godwitloft.policy import suspects


class Verdicts:
    """The verdicts that an entry knows and shares with its agents.

    :param clock: the time source
    :param send: sends ``(instance, field name, body)`` to a peer
    :param recorder: writes the trace
    :param agents: the agents that the entry has links to
    :param waiting: the waiting requests by the id of their next run
    :param refuse: ends a waiting request
    """

    def __init__(
        self,
        clock: clocks.Clock,
        send: typing.Callable[[str, str, codec.Body], bool],
        recorder: trace.Recorder,
        agents: agent_views.Agents,
        waiting: typing.Mapping[str, requests.Request],
        refuse: typing.Callable[[requests.Request, answers.Refused], None],
    ) -> None:
        self.clock = clock
        self.send = send
        self.recorder = recorder
        self.agents = agents
        self.waiting = waiting
        self.refuse = refuse
        self.suspects = suspects.Suspects()

    def is_suspect(self, fingerprint: str) -> bool:
        """Returns whether a request is suspected to crash upstreams.

        A suspect runs only where no other suspect runs.

        :param fingerprint: fingerprint of the request
        :return: whether it was in flight when an upstream crashed
        """
        now_ms = self.clock.monotonic_ms()
        verdict = self.suspects.verdict(fingerprint, now_ms)
        return verdict is suspects.Verdict.SUSPECT

    def on_verdict(self, peer: str, body: ttypes.Verdict) -> None:
        """Applies an agent's verdict and forwards it to the other agents.

        :param peer: name of the agent's instance
        :param body: the message
        """
        now_ms = self.clock.monotonic_ms()
        verdict = suspects.Verdict(body.verdict)
        if not self.suspects.apply_verdict(
            body.fingerprint, verdict, body.expires_in_ms, now_ms
        ):
            return
        self.recorder.record(
            trace.Kind.VERDICT,
            fingerprint=body.fingerprint,
            verdict=body.verdict,
        )
        for instance in tuple(self.agents.views):
            if instance != peer:
                self.send(instance, "verdict", body)
        for request in tuple(self.waiting.values()):
            if request.call.fingerprint != body.fingerprint:
                continue
            request.isolate = verdict is suspects.Verdict.SUSPECT
            if verdict is suspects.Verdict.POISONOUS:
                self.refuse(request, admission.POISONOUS_REFUSAL)

    def share_verdicts(self, instance: str) -> None:
        """Sends all unexpired verdicts to an agent.

        :param instance: name of the agent's instance
        """
        now_ms = self.clock.monotonic_ms()
        for fingerprint, record in self.suspects.records.items():
            remaining_ms = record.expires_ms - now_ms
            if remaining_ms > 0:
                self.send(
                    instance,
                    "verdict",
                    ttypes.Verdict(
                        fingerprint, record.verdict.value, remaining_ms
                    ),
                )
