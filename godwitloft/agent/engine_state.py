"""What an agent knows of its upstream, learnt from the runs on it.

The upstream's own reports are late; what the agent gave it and what came
back is not.
"""

import dataclasses

from godwitloft.agent import upstream as upstreams
from godwitloft.policy import breaker
from godwitloft.policy import concurrency
from godwitloft.policy import estimate
from godwitloft.policy import margin
from godwitloft.policy import prefix
from godwitloft.policy import prefix_index
from godwitloft.policy import types

PREFILL_WINDOW_TOKENS = 512
MIN_PREFILL_WINDOW_TOKENS = 128
MIN_PREFILL_WINDOW_MS = 50
IDLE_MS = 2000
DOUBT_FACTOR = 2.0


@dataclasses.dataclass(eq=False)
class Progress:
    """One request between the pull and its end.

    :param offer: what was pulled
    :param charged_ms: engine time that its team was charged
    :param suspend: runs to suspend when it starts
    :param started_ms: when the upstream was given it; None: not yet
    :param prompt_tokens: prompt tokens that were not found in the cache
    :param ahead_tokens: unprefilled prompt tokens before it at the start
    :param expected_ms: estimated time to its first token
    :param finish_ms: estimated time to its end
    :param beside: requests that ran at the start, itself included
    :param stream: whether its tokens come one by one
    :param prefilled_ms: when its prompt was prefilled, as its first token
        tells or, without a stream, as estimated; None: not yet
    :param last_ms: when its last token came
    :param tokens: tokens so far
    :param suspended: whether it is paused on the upstream
    :param disturbed: whether it was paused, so that its times teach nothing
        until its next token
    """

    offer: types.Offer
    charged_ms: float
    suspend: tuple[str, ...] = ()
    started_ms: int | None = None
    prompt_tokens: int = 0
    ahead_tokens: int = 0
    expected_ms: float = 0.0
    finish_ms: float = 0.0
    beside: int = 1
    stream: bool = True
    prefilled_ms: int | None = None
    last_ms: int = 0
    tokens: int = 0
    suspended: bool = False
    disturbed: bool = False


class EngineState:
    """What is known of one upstream.

    :param is_model: whether it is a model engine
    :param resumable: whether it can suspend and resume a stream
    :param max_running: upper bound on requests at once, from the pool
    """

    def __init__(
        self, is_model: bool, resumable: bool, max_running: int
    ) -> None:
        self.is_model = is_model
        self.resumable = resumable
        self.speeds = estimate.Speeds()
        self.margin = margin.INITIAL_MARGIN
        starting = min(concurrency.INITIAL_MAX_RUNNING, max_running)
        self.room = concurrency.ConcurrencyLimits(
            max_running=starting if is_model else max_running,
            ceiling=max_running,
        )
        self.index = prefix_index.PrefixIndex(prefix.BLOCK_WORDS)
        self.breaker = breaker.Breaker()
        self.work: dict[str, Progress] = {}
        self.last_first_ms = 0
        self.window_start_ms = 0
        self.window_tokens = 0
        self.best: estimate.Speeds | None = None
        self.busy_ms = 0

    def configure(self, max_running: int, resumable: bool) -> None:
        """Takes over what the pool object says.

        :param max_running: upper bound on requests at once
        :param resumable: whether runs can be suspended and resumed
        """
        self.resumable = resumable
        cap = min(self.room.max_running, max_running)
        if not self.is_model:
            cap = max_running
        self.room = dataclasses.replace(
            self.room, max_running=cap, ceiling=max_running
        )

    def view(self, now_ms: int) -> types.UpstreamView:
        """Returns the upstream as the decisions see it.

        :param now_ms: the time
        :return: a view that is right until the next change
        """
        return types.UpstreamView(
            speeds=self._usable_speeds(now_ms),
            limits=self.room,
            resumable=self.resumable,
            accepting=self._accepting(now_ms),
            cached_tokens=self.index.cached_tokens,
            safety_margin=self.margin,
        )

    @property
    def active(self) -> int:
        """How many requests were pulled and are not suspended."""
        return sum(not one.suspended for one in self.work.values())

    def running(self, now_ms: int) -> list[types.Running]:
        """Returns the work on the upstream as the decisions see it.

        Runs that a granted pull will suspend count as suspended already,
        so that no two pulls count on the same place.

        :param now_ms: the time
        :return: one entry a request that was pulled and hasn't ended
        """
        left = self._prompts_left(now_ms)
        per_token_ms = estimate.decode_ms_per_token(
            self.speeds, len(self.work)
        )
        leaving = {
            run_id
            for one in self.work.values()
            if one.started_ms is None
            for run_id in one.suspend
        }
        return [
            types.Running(
                request_id=run_id,
                tier_rank=one.offer.tier_rank,
                team=one.offer.team,
                started_ms=one.started_ms or now_ms,
                remaining_prompt_tokens=left.get(run_id, 0),
                remaining_output_tokens=_output_left(
                    one, per_token_ms, now_ms
                ),
                fingerprint=one.offer.fingerprint,
                suspended=one.suspended or run_id in leaving,
                deadline_ms=one.offer.deadline_ms,
                suspension_pending=run_id in leaving and not one.suspended,
                isolate=one.offer.isolate,
                kv_tokens=one.offer.prompt_tokens + one.offer.output_tokens,
                pull_pending=one.started_ms is None,
            )
            for run_id, one in self.work.items()
        ]

    def pulled(
        self, offer: types.Offer, suspend: tuple[str, ...], now_ms: int
    ) -> Progress:
        """Notes that a request was asked for.

        :param offer: the request
        :param suspend: runs to suspend when it starts
        :param now_ms: the time
        :return: its progress, with the engine time to charge for it
        """
        # After a pause the best speeds count until they are seen to be wrong,
        # also for what is asked for beside this request.
        self.speeds = self._usable_speeds(now_ms)
        cached = self.index.cached_tokens(offer.prefix_keys)
        engine_ms = estimate.engine_ms(
            max(0, offer.prompt_tokens - cached),
            offer.output_tokens,
            self.speeds,
            len(concurrency.active_requests(self.running(now_ms))) + 1,
        )
        self.work[offer.request_id] = Progress(offer, engine_ms, suspend)
        return self.work[offer.request_id]

    def dropped(self, run_id: str) -> Progress | None:
        """Forgets a request that was asked for and not given.

        :param run_id: id of the request
        :return: what was known, or None when there is no such pull
        """
        one = self.work.get(run_id)
        if one is None or one.started_ms is not None:
            return None
        return self.work.pop(run_id)

    def started(self, run_id: str, stream: bool, now_ms: int) -> None:
        """Notes that a request is given to the upstream.

        :param run_id: id of a request that was pulled
        :param stream: whether its tokens come one by one
        :param now_ms: the time
        """
        one = self.work[run_id]
        one.stream = stream
        others = [
            other
            for other in concurrency.active_requests(self.running(now_ms))
            if other.request_id != run_id and not other.pull_pending
        ]
        keys = one.offer.prefix_keys
        cached = self.index.cached_tokens(keys)
        one.finish_ms = estimate.finish_in_ms(
            one.offer, self.view(now_ms), others
        )
        one.started_ms = now_ms
        one.last_ms = now_ms
        one.beside = len(others) + 1
        one.prompt_tokens = max(0, one.offer.prompt_tokens - cached)
        one.ahead_tokens = sum(
            other.remaining_prompt_tokens for other in others
        )
        one.expected_ms = (
            one.ahead_tokens + one.prompt_tokens
        ) / self.speeds.prefill_tokens_per_ms + estimate.decode_ms_per_token(
            self.speeds, one.beside
        )
        if not any(other.remaining_prompt_tokens for other in others):
            self.window_start_ms = now_ms
            self.window_tokens = 0
        self.index.record_dispatch(keys, now_ms)
        self.breaker = breaker.record_start(self.breaker, now_ms)

    def tokens(self, run_id: str, count: int, now_ms: int) -> None:
        """Learns from tokens of a run.

        :param run_id: id of a run
        :param count: how many came at once
        :param now_ms: the time
        """
        one = self.work.get(run_id)
        if one is None or one.started_ms is None or count < 1:
            return
        if not one.disturbed:
            if one.tokens == 0:
                self._learn_first(one, now_ms)
            else:
                self._learn_gap(one, count, now_ms)
        one.disturbed = False
        if one.tokens == 0:
            self._note_prefilled(one, now_ms)
        one.last_ms = now_ms
        one.tokens += count

    def suspended(self, run_id: str, paused: bool) -> None:
        """Notes that a run was paused or goes on.

        :param run_id: id of a run
        :param paused: whether it is paused now
        """
        one = self.work[run_id]
        one.suspended = paused
        one.disturbed = True

    def ended(
        self, run_id: str, end: upstreams.End, cancelled: bool, now_ms: int
    ) -> Progress | None:
        """Learns from the end of a run.

        :param run_id: id of the run
        :param end: how it ended on the upstream
        :param cancelled: whether it was made to end
        :param now_ms: the time
        :return: what was known of it
        """
        one = self.work.pop(run_id, None)
        self.busy_ms = now_ms
        self.best = estimate.fastest(self.best or self.speeds, self.speeds)
        if end is upstreams.End.COMPLETED:
            self.breaker = breaker.record_success(self.breaker)
            if one is not None and not one.disturbed:
                self._learn_end(one, now_ms)
        elif end is upstreams.End.NEVER_STARTED:
            self.breaker = breaker.record_unreachable(self.breaker, now_ms)
        elif end is upstreams.End.CRASHED and not cancelled:
            self.breaker = breaker.record_unreachable(self.breaker, now_ms)
            self.index.reset()
        elif not cancelled:
            self.breaker = breaker.record_failure(self.breaker, now_ms)
        return one

    def used_ms(self, one: Progress) -> float:
        """Returns the engine time that a run took.

        :param one: a run that ended
        :return: milliseconds
        """
        tokens = one.tokens or one.offer.output_tokens
        return estimate.engine_ms(
            one.prompt_tokens, tokens, self.speeds, one.beside
        )

    def _usable_speeds(self, now_ms: int) -> estimate.Speeds:
        """Returns the learnt speeds, or the best ones after a pause.

        Else an upstream that was slow for a while would be found too slow
        for everything, and never be tried again.
        """
        idle = not self.work and now_ms - self.busy_ms >= IDLE_MS
        return self.best if idle and self.best else self.speeds

    def _accepting(self, now_ms: int) -> bool:
        """Says whether work may be pulled; one request probes alone."""
        found = breaker.state(self.breaker, now_ms)
        if found is breaker.State.PROBING:
            return not self.work
        return found is breaker.State.CLOSED

    def _prompts_left(self, now_ms: int) -> dict[str, int]:
        """Estimates the unprefilled tokens of each run."""
        unfinished = {
            run_id: one
            for run_id, one in self.work.items()
            if one.started_ms is not None and one.prefilled_ms is None
        }
        prefills = [
            estimate.PendingPrefill(one.prompt_tokens, one.started_ms or 0)
            for one in unfinished.values()
        ]
        found = estimate.unprefilled_tokens(
            prefills, self.last_first_ms, self.speeds, now_ms
        )
        left = {}
        for (run_id, one), tokens in zip(
            unfinished.items(), found, strict=True
        ):
            if tokens > 1 or one.stream or one.suspended:
                left[run_id] = tokens
            else:
                one.prefilled_ms = now_ms
        for run_id, one in self.work.items():
            if one.started_ms is None:
                left[run_id] = one.offer.prompt_tokens
        return left if self.is_model else {}

    def _note_prefilled(self, one: Progress, now_ms: int) -> None:
        """Notes a first token, and what it tells of other prompts.

        Prompts are prefilled in the order of arrival, so those of earlier
        runs without a stream are done as well.
        """
        one.prefilled_ms = now_ms
        self.last_first_ms = now_ms
        for other in self.work.values():
            if other is one:
                return
            waits = other.prefilled_ms is None and not other.suspended
            if waits and other.started_ms is not None and not other.stream:
                other.prefilled_ms = now_ms

    def _learn_first(self, one: Progress, now_ms: int) -> None:
        assert one.started_ms is not None
        self._learn_prefill(one, now_ms)
        tokens = one.ahead_tokens + one.prompt_tokens
        learnt_ms = tokens / self.speeds.prefill_tokens_per_ms
        self.room = concurrency.observe_first_token(
            self.room,
            now_ms - one.started_ms,
            max(one.expected_ms, learnt_ms),
            tokens,
            one.beside,
            now_ms,
        )

    def _learn_prefill(self, one: Progress, now_ms: int) -> None:
        """Learns the prefill speed over several prompts.

        Engines prefill the ends and beginnings of several prompts in one
        step, so the time of a single short one says nothing.
        """
        self.window_tokens += one.prompt_tokens
        waiting = any(
            other.prefilled_ms is None and other is not one
            for other in self.work.values()
            if other.started_ms is not None and not other.suspended
        )
        duration_ms = now_ms - self.window_start_ms
        long_enough = duration_ms >= MIN_PREFILL_WINDOW_MS
        whole = long_enough and self.window_tokens >= PREFILL_WINDOW_TOKENS
        if waiting and not whole:
            return
        if long_enough and self.window_tokens >= MIN_PREFILL_WINDOW_TOKENS:
            self.speeds = estimate.observe_prefill(
                self.speeds, self.window_tokens, duration_ms
            )
        self.window_start_ms = now_ms
        self.window_tokens = 0

    def _learn_end(self, one: Progress, now_ms: int) -> None:
        assert one.started_ms is not None
        if not one.tokens:
            self._learn_whole(one, now_ms)
        taken_ms = now_ms - one.started_ms
        self.margin = margin.update_margin(
            self.margin, one.finish_ms, taken_ms
        )

    def _learn_gap(self, one: Progress, count: int, now_ms: int) -> None:
        active = [
            other
            for other in self.work.values()
            if other.started_ms is not None and not other.suspended
        ]
        gap_ms = now_ms - one.last_ms
        self.speeds = estimate.observe_decode(
            self.speeds, len(active), count, gap_ms
        )
        self.room = concurrency.observe_gap(
            self.room,
            concurrency.Gap(
                gap_ms / count,
                len(active),
                any(_may_prefill(other, now_ms) for other in active),
            ),
            concurrency.target_gap_ms(self.speeds),
            now_ms,
        )

    def _learn_whole(self, one: Progress, now_ms: int) -> None:
        """Learns from an answer that came at once.

        Its time can't be told apart into prefill and decode, so the part
        that is the larger by estimate is corrected.
        """
        assert one.started_ms is not None
        duration_ms = now_ms - one.started_ms
        output = max(1, one.offer.output_tokens)
        prompt = one.ahead_tokens + one.prompt_tokens
        prefill_ms = prompt / self.speeds.prefill_tokens_per_ms
        decode_ms = output * estimate.decode_ms_per_token(
            self.speeds, one.beside
        )
        if prefill_ms > decode_ms:
            rest_ms = max(1, int(duration_ms - decode_ms))
            self.speeds = estimate.observe_prefill(
                self.speeds, prompt, rest_ms
            )
            return
        rest_ms = max(1, int(duration_ms - prefill_ms))
        self.speeds = estimate.observe_decode(
            self.speeds, one.beside, output, rest_ms
        )
        if self.is_model:
            self.room = concurrency.observe_gap(
                self.room,
                concurrency.Gap(rest_ms / output, one.beside, True),
                concurrency.target_gap_ms(self.speeds),
                now_ms,
            )


def _output_left(one: Progress, per_token_ms: float, now_ms: int) -> int:
    """Estimates the tokens that a run has yet to generate."""
    done = one.tokens
    if not one.stream and one.prefilled_ms is not None:
        done = int((now_ms - one.prefilled_ms) / per_token_ms)
    return max(1, one.offer.output_tokens - done)


def _may_prefill(one: Progress, now_ms: int) -> bool:
    """Says whether a run's prompt may still be in its prefill.

    Without a stream that is only estimated, so it is doubted for as long
    again: a step with prefill must not be taken for slow decoding.
    """
    if one.prefilled_ms is None or one.started_ms is None:
        return True
    doubted_ms = DOUBT_FACTOR * one.expected_ms
    return not one.stream and now_ms - one.started_ms < doubted_ms
