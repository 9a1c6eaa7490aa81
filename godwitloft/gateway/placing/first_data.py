"""Learns from the first data of each answer."""

from godwitloft.gateway import answer as answers
from godwitloft.gateway import request as requests
from godwitloft.gateway.crashes import crash_tracker
from godwitloft.gateway.placing import latency as latencies
from godwitloft.gateway.placing import placer as placers


class FirstData:
    """Passes on what the begin of an answer tells.

    :param crashes: learns that an upstream lives
    :param latency: learns how long first data takes
    :param placer: learns how long first data takes
    """

    def __init__(
        self,
        crashes: crash_tracker.CrashTracker,
        latency: latencies.LatencyEstimator,
        placer: placers.Placer,
    ) -> None:
        self.crashes = crashes
        self.latency = latency
        self.placer = placer

    def record(
        self, request: requests.Request, answer: answers.Answer
    ) -> None:
        """Records that the first data of an answer has come.

        :param request: the request, whose last data is the first
        :param answer: the answer
        """
        request.state = requests.State.ANSWERING
        request.first_data_ms = request.last_data_ms
        request.answering_since_ms = request.last_data_ms
        state = request.upstream_state
        if state is None or not answer.is_valid_success():
            return
        facts = request.facts
        prompt_tokens = request.pending_prompt_tokens
        took_ms = request.first_data_ms - request.sent_ms
        self.crashes.record_alive(state.life, request.sent_ms)
        self.latency.learn(
            facts.route.name, facts.sizes.prompt_tokens, took_ms
        )
        self.placer.record_first_data(
            facts.service, took_ms, facts.route.target_ms
        )
        state.record_success(
            took_ms, prompt_tokens + request.prompt_tokens_ahead
        )
        state.pending_prompt_tokens -= prompt_tokens
        request.pending_prompt_tokens = 0
