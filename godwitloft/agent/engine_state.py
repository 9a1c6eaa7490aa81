"""Estimates the state of an upstream from the runs that the agent gives it.

The upstream's own reports arrive late. The agent knows at once which requests
it sent and what came back, so it works from those.
"""

import dataclasses

from godwitloft.agent import upstream as upstreams
from godwitloft.policy import breaker
from godwitloft.policy import concurrency
from godwitloft.policy import estimate
from godwitloft.policy import learnt_speeds
from godwitloft.policy import margin
from godwitloft.policy import prefix
from godwitloft.policy import prefix_index
from godwitloft.policy import running_limits
from godwitloft.policy import types

PREFILL_WINDOW_TOKENS = 512
MIN_PREFILL_WINDOW_TOKENS = 128
MIN_PREFILL_WINDOW_MS = 50
BEST_SPEEDS_IDLE_MS = 2000
PREFILL_MARGIN_FACTOR = 2.0


@dataclasses.dataclass(eq=False)
class Progress:
    """Tracks a request from the pull until it ends.

    :param offer: the offer that was pulled
    :param charged_ms: estimated engine time charged to its team
    :param runs_to_suspend: ids of the runs to suspend when it starts
    :param started_ms: when it was sent to the upstream; None: not yet
    :param uncached_prompt_tokens: prompt tokens that were not in the prefix
        cache
    :param ahead_tokens: unprefilled prompt tokens of other requests when it
        started
    :param expected_first_token_ms: estimated time from start to first token
    :param expected_duration_ms: estimated time from start to end
    :param concurrent_requests: active requests when it started, including
        itself
    :param stream: whether its tokens are streamed
    :param prefilled_ms: when its prompt was prefilled: the time of its first
        token or, without a stream, an estimate; None: not yet
    :param last_token_ms: when its most recent token arrived, or the start
    :param tokens: tokens received so far
    :param suspended: whether it is suspended on the upstream
    :param interrupted: whether it was suspended or resumed since its
        last token; the estimates then don't learn from the time to the
        next token or to the end
    """

    offer: types.Offer
    charged_ms: float
    runs_to_suspend: tuple[str, ...] = ()
    started_ms: int | None = None
    uncached_prompt_tokens: int = 0
    ahead_tokens: int = 0
    expected_first_token_ms: float = 0.0
    expected_duration_ms: float = 0.0
    concurrent_requests: int = 1
    stream: bool = True
    prefilled_ms: int | None = None
    last_token_ms: int = 0
    tokens: int = 0
    suspended: bool = False
    interrupted: bool = False


class EngineState:
    """Tracks the requests, speeds and limits of one upstream.

    :param is_model: whether it is a model engine
    :param resumable: whether it can suspend and resume a run
    :param max_running: upper bound on concurrent requests, from the pool
    """

    def __init__(
        self, is_model: bool, resumable: bool, max_running: int
    ) -> None:
        self.is_model = is_model
        self.resumable = resumable
        self.speeds = learnt_speeds.Speeds()
        self.margin = margin.INITIAL_MARGIN
        initial_cap = min(running_limits.INITIAL_MAX_RUNNING, max_running)
        self.limits = running_limits.ConcurrencyLimits(
            max_running=initial_cap if is_model else max_running,
            ceiling=max_running,
        )
        self.index = prefix_index.PrefixIndex(prefix.BLOCK_WORDS)
        self.breaker = breaker.Breaker()
        self.requests: dict[str, Progress] = {}
        self.last_first_token_ms = 0
        self.prefill_window_start_ms = 0
        self.prefill_window_tokens = 0
        self.best_speeds: learnt_speeds.Speeds | None = None
        self.last_end_ms = 0

    def configure(self, max_running: int, resumable: bool) -> None:
        """Applies the settings of the pool object.

        :param max_running: upper bound on concurrent requests
        :param resumable: whether runs can be suspended and resumed
        """
        self.resumable = resumable
        cap = min(self.limits.max_running, max_running)
        if not self.is_model:
            cap = max_running
        self.limits = dataclasses.replace(
            self.limits, max_running=cap, ceiling=max_running
        )

    def view(self, now_ms: int) -> types.UpstreamView:
        """Returns a view of the upstream for the policy.

        :param now_ms: the current time
        :return: the view, valid until the state changes
        """
        return types.UpstreamView(
            speeds=self._usable_speeds(now_ms),
            limits=self.limits,
            resumable=self.resumable,
            accepting=self._accepting(now_ms),
            cached_tokens=self.index.cached_tokens,
            safety_margin=self.margin,
        )

    @property
    def active_count(self) -> int:
        """Number of pulled or running requests that are not suspended."""
        return sum(
            not progress.suspended for progress in self.requests.values()
        )

    def running(self, now_ms: int) -> list[types.Running]:
        """Returns the pulled and running requests for the policy.

        Runs that a pending pull will suspend already count as suspended.
        Otherwise two pulls could rely on the same slot.

        :param now_ms: the current time
        :return: one item for each request that was pulled and has not ended
        """
        remaining = self._remaining_prompts(now_ms)
        per_token_ms = estimate.decode_ms_per_token(
            self.speeds, len(self.requests)
        )
        suspending = {
            run_id
            for progress in self.requests.values()
            if progress.started_ms is None
            for run_id in progress.runs_to_suspend
        }
        return [
            types.Running(
                request_id=run_id,
                tier_rank=progress.offer.tier_rank,
                team=progress.offer.team,
                started_ms=progress.started_ms or now_ms,
                remaining_prompt_tokens=remaining.get(run_id, 0),
                remaining_output_tokens=_remaining_output(
                    progress, per_token_ms, now_ms
                ),
                fingerprint=progress.offer.fingerprint,
                suspended=progress.suspended or run_id in suspending,
                deadline_ms=progress.offer.deadline_ms,
                suspension_pending=run_id in suspending
                and not progress.suspended,
                isolate=progress.offer.isolate,
                kv_tokens=progress.offer.prompt_tokens
                + progress.offer.output_tokens,
                pull_pending=progress.started_ms is None,
            )
            for run_id, progress in self.requests.items()
        ]

    def record_pull(
        self, offer: types.Offer, runs_to_suspend: tuple[str, ...], now_ms: int
    ) -> Progress:
        """Records that a request was pulled.

        :param offer: the offer that was pulled
        :param runs_to_suspend: ids of the runs to suspend when it starts
        :param now_ms: the current time
        :return: its progress, with the engine time to charge for it
        """
        # The best speeds that apply after an idle time stay in use until
        # new measurements correct them, also for further pulls.
        self.speeds = self._usable_speeds(now_ms)
        cached = self.index.cached_tokens(offer.prefix_keys)
        engine_ms = estimate.engine_ms(
            max(0, offer.prompt_tokens - cached),
            offer.output_tokens,
            self.speeds,
            len(concurrency.active_requests(self.running(now_ms))) + 1,
        )
        self.requests[offer.request_id] = Progress(
            offer, engine_ms, runs_to_suspend
        )
        return self.requests[offer.request_id]

    def drop_pull(self, run_id: str) -> Progress | None:
        """Removes a request that was pulled but not dispatched.

        :param run_id: id of the request
        :return: its progress, or None when there is no such pull
        """
        progress = self.requests.get(run_id)
        if progress is None or progress.started_ms is not None:
            return None
        return self.requests.pop(run_id)

    def record_start(self, run_id: str, stream: bool, now_ms: int) -> None:
        """Records that a request is sent to the upstream.

        :param run_id: id of a request that was pulled
        :param stream: whether its tokens are streamed
        :param now_ms: the current time
        """
        progress = self.requests[run_id]
        progress.stream = stream
        others = [
            other
            for other in concurrency.active_requests(self.running(now_ms))
            if other.request_id != run_id and not other.pull_pending
        ]
        keys = progress.offer.prefix_keys
        cached = self.index.cached_tokens(keys)
        progress.expected_duration_ms = estimate.finish_in_ms(
            progress.offer, self.view(now_ms), others
        )
        progress.started_ms = now_ms
        progress.last_token_ms = now_ms
        progress.concurrent_requests = len(others) + 1
        progress.uncached_prompt_tokens = max(
            0, progress.offer.prompt_tokens - cached
        )
        progress.ahead_tokens = sum(
            other.remaining_prompt_tokens for other in others
        )
        progress.expected_first_token_ms = (
            progress.ahead_tokens + progress.uncached_prompt_tokens
        ) / self.speeds.prefill_tokens_per_ms + estimate.decode_ms_per_token(
            self.speeds, progress.concurrent_requests
        )
        if not any(other.remaining_prompt_tokens for other in others):
            self.prefill_window_start_ms = now_ms
            self.prefill_window_tokens = 0
        self.index.record_dispatch(keys, now_ms)
        self.breaker = breaker.record_start(self.breaker, now_ms)

    def record_tokens(self, run_id: str, count: int, now_ms: int) -> None:
        """Updates the estimates when tokens of a run arrive.

        :param run_id: id of the run; an unknown one is ignored
        :param count: number of tokens that arrived together
        :param now_ms: the current time
        """
        progress = self.requests.get(run_id)
        if progress is None or progress.started_ms is None or count < 1:
            return
        if not progress.interrupted:
            if progress.tokens == 0:
                self._learn_first_token(progress, now_ms)
            else:
                self._learn_token_gap(progress, count, now_ms)
        progress.interrupted = False
        if progress.tokens == 0:
            self._record_prefilled(progress, now_ms)
        progress.last_token_ms = now_ms
        progress.tokens += count

    def set_suspended(self, run_id: str, suspended: bool) -> None:
        """Records that a run was suspended or resumed.

        :param run_id: id of the run
        :param suspended: True when it was suspended
        """
        progress = self.requests[run_id]
        progress.suspended = suspended
        progress.interrupted = True

    def record_end(
        self, run_id: str, end: upstreams.End, cancelled: bool, now_ms: int
    ) -> Progress | None:
        """Removes a run and updates the estimates and the circuit breaker.

        :param run_id: id of the run
        :param end: how it ended on the upstream
        :param cancelled: whether the agent cancelled it; its failure then
            says nothing about the upstream
        :param now_ms: the current time
        :return: its progress, or None when it was unknown
        """
        progress = self.requests.pop(run_id, None)
        self.last_end_ms = now_ms
        self.best_speeds = estimate.fastest(
            self.best_speeds or self.speeds, self.speeds
        )
        if end is upstreams.End.COMPLETED:
            self.breaker = breaker.record_success(self.breaker)
            if progress is not None and not progress.interrupted:
                self._learn_end(progress, now_ms)
        elif end is upstreams.End.NEVER_STARTED:
            self.breaker = breaker.record_unreachable(self.breaker, now_ms)
        elif end is upstreams.End.CRASHED and not cancelled:
            self.breaker = breaker.record_unreachable(self.breaker, now_ms)
            self.index.reset()
        elif not cancelled:
            self.breaker = breaker.record_failure(self.breaker, now_ms)
        return progress

    def engine_time_ms(self, progress: Progress) -> float:
        """Estimates the engine time that a run used.

        :param progress: a run that ended
        :return: milliseconds
        """
        tokens = progress.tokens or progress.offer.output_tokens
        return estimate.engine_ms(
            progress.uncached_prompt_tokens,
            tokens,
            self.speeds,
            progress.concurrent_requests,
        )

    def _usable_speeds(self, now_ms: int) -> learnt_speeds.Speeds:
        """Returns the learned speeds, or the best ones after an idle time.

        Otherwise an upstream that was slow for a while would count as too
        slow for every request, and would never be tried again.
        """
        idle = (
            not self.requests
            and now_ms - self.last_end_ms >= BEST_SPEEDS_IDLE_MS
        )
        return self.best_speeds if idle and self.best_speeds else self.speeds

    def _accepting(self, now_ms: int) -> bool:
        """Returns whether the circuit breaker allows another request.

        While it is half open, a single request probes the upstream.
        """
        breaker_state = breaker.state(self.breaker, now_ms)
        if breaker_state is breaker.State.PROBING:
            return not self.requests
        return breaker_state is breaker.State.CLOSED

    def _remaining_prompts(self, now_ms: int) -> dict[str, int]:
        """Estimates the unprefilled prompt tokens of each request.

        A run without a stream whose prompt is estimated to be done is marked
        as prefilled.
        """
        unfinished = {
            run_id: progress
            for run_id, progress in self.requests.items()
            if progress.started_ms is not None
            and progress.prefilled_ms is None
        }
        prefills = [
            estimate.PendingPrefill(
                progress.uncached_prompt_tokens, progress.started_ms or 0
            )
            for progress in unfinished.values()
        ]
        token_counts = estimate.unprefilled_tokens(
            prefills, self.last_first_token_ms, self.speeds, now_ms
        )
        remaining = {}
        for (run_id, progress), tokens in zip(
            unfinished.items(), token_counts, strict=True
        ):
            if tokens > 1 or progress.stream or progress.suspended:
                remaining[run_id] = tokens
            else:
                progress.prefilled_ms = now_ms
        for run_id, progress in self.requests.items():
            if progress.started_ms is None:
                remaining[run_id] = progress.offer.prompt_tokens
        return remaining if self.is_model else {}

    def _record_prefilled(self, progress: Progress, now_ms: int) -> None:
        """Records the first token of a run, which ends its prefill.

        Prompts are prefilled in order of arrival, so those of earlier runs
        without a stream are done as well.
        """
        progress.prefilled_ms = now_ms
        self.last_first_token_ms = now_ms
        for other in self.requests.values():
            if other is progress:
                return
            unprefilled = other.prefilled_ms is None and not other.suspended
            if (
                unprefilled
                and other.started_ms is not None
                and not other.stream
            ):
                other.prefilled_ms = now_ms

    def _learn_first_token(self, progress: Progress, now_ms: int) -> None:
        assert progress.started_ms is not None
        self._learn_prefill(progress, now_ms)
        tokens = progress.ahead_tokens + progress.uncached_prompt_tokens
        current_estimate_ms = tokens / self.speeds.prefill_tokens_per_ms
        self.limits = concurrency.observe_first_token(
            self.limits,
            now_ms - progress.started_ms,
            max(progress.expected_first_token_ms, current_estimate_ms),
            tokens,
            progress.concurrent_requests,
            now_ms,
        )

    def _learn_prefill(self, progress: Progress, now_ms: int) -> None:
        """Updates the prefill speed over a window of several prompts.

        An engine may prefill the end of a prompt and the start of the next
        in the same step, so the time of a single short prompt is no measure
        of its speed.
        """
        self.prefill_window_tokens += progress.uncached_prompt_tokens
        others_prefilling = any(
            other.prefilled_ms is None and other is not progress
            for other in self.requests.values()
            if other.started_ms is not None and not other.suspended
        )
        duration_ms = now_ms - self.prefill_window_start_ms
        long_enough = duration_ms >= MIN_PREFILL_WINDOW_MS
        window_full = (
            long_enough and self.prefill_window_tokens >= PREFILL_WINDOW_TOKENS
        )
        if others_prefilling and not window_full:
            return
        if (
            long_enough
            and self.prefill_window_tokens >= MIN_PREFILL_WINDOW_TOKENS
        ):
            self.speeds = estimate.observe_prefill(
                self.speeds, self.prefill_window_tokens, duration_ms
            )
        self.prefill_window_start_ms = now_ms
        self.prefill_window_tokens = 0

    def _learn_end(self, progress: Progress, now_ms: int) -> None:
        assert progress.started_ms is not None
        if not progress.tokens:
            self._learn_unstreamed(progress, now_ms)
        duration_ms = now_ms - progress.started_ms
        self.margin = margin.update_margin(
            self.margin, progress.expected_duration_ms, duration_ms
        )

    def _learn_token_gap(
        self, progress: Progress, count: int, now_ms: int
    ) -> None:
        active = [
            other
            for other in self.requests.values()
            if other.started_ms is not None and not other.suspended
        ]
        gap_ms = now_ms - progress.last_token_ms
        self.speeds = estimate.observe_decode(
            self.speeds, len(active), count, gap_ms
        )
        self.limits = concurrency.observe_gap(
            self.limits,
            concurrency.Gap(
                gap_ms / count,
                len(active),
                any(_may_be_prefilling(other, now_ms) for other in active),
            ),
            concurrency.target_gap_ms(self.speeds),
            now_ms,
        )

    def _learn_unstreamed(self, progress: Progress, now_ms: int) -> None:
        """Updates the speeds from a response that was not streamed.

        Its duration can't be split into prefill and decode by measurement,
        so only the speed of the part with the longer estimate is updated.
        """
        assert progress.started_ms is not None
        duration_ms = now_ms - progress.started_ms
        output = max(1, progress.offer.output_tokens)
        prompt = progress.ahead_tokens + progress.uncached_prompt_tokens
        prefill_ms = prompt / self.speeds.prefill_tokens_per_ms
        decode_ms = output * estimate.decode_ms_per_token(
            self.speeds, progress.concurrent_requests
        )
        if prefill_ms > decode_ms:
            observed_prefill_ms = max(1, int(duration_ms - decode_ms))
            self.speeds = estimate.observe_prefill(
                self.speeds, prompt, observed_prefill_ms
            )
            return
        observed_decode_ms = max(1, int(duration_ms - prefill_ms))
        self.speeds = estimate.observe_decode(
            self.speeds,
            progress.concurrent_requests,
            output,
            observed_decode_ms,
        )
        if self.is_model:
            self.limits = concurrency.observe_gap(
                self.limits,
                concurrency.Gap(
                    observed_decode_ms / output,
                    progress.concurrent_requests,
                    True,
                ),
                concurrency.target_gap_ms(self.speeds),
                now_ms,
            )


def _remaining_output(
    progress: Progress, per_token_ms: float, now_ms: int
) -> int:
    """Estimates how many tokens a run has still to generate."""
    done = progress.tokens
    if not progress.stream and progress.prefilled_ms is not None:
        done = int((now_ms - progress.prefilled_ms) / per_token_ms)
    return max(1, progress.offer.output_tokens - done)


def _may_be_prefilling(progress: Progress, now_ms: int) -> bool:
    """Returns whether a run's prompt may still be prefilling.

    Without a stream the end of prefill is only an estimate, so twice the
    expected time is allowed for it: a step that includes prefill must not be
    measured as slow decoding.
    """
    if progress.prefilled_ms is None or progress.started_ms is None:
        return True
    max_prefill_ms = PREFILL_MARGIN_FACTOR * progress.expected_first_token_ms
    return (
        not progress.stream and now_ms - progress.started_ms < max_prefill_ms
    )
