"""A small stand-in for a model engine with continuous batching.

This module simulates the engine; ``engine_http`` serves it over HTTP. Like
real engines it works in steps: a step prefills a bounded number of prompt
tokens and generates one token for each run whose prompt is prefilled. Runs
are admitted in order of arrival; while the batch or the memory is full, they
wait inside the engine. One timer drives all runs.
"""

import collections
import dataclasses
import itertools
import typing

from twisted.internet import interfaces

from godwitloft.policy import prefix
from godwitloft.standins import answers
from godwitloft.standins import ledger
from godwitloft.standins import orders
from godwitloft.standins import prefix_cache

MS_PER_S = 1000
MAX_ENDED_RUNS = 200_000

COMPLETED = "completed"
CANCELLED = "cancelled"
CRASHED = "crashed"
BROKEN = "broken"


@dataclasses.dataclass(frozen=True)
class EngineSettings:
    """Speed, capacity and features of a stand-in engine.

    :param model: name of the model loaded at the start
    :param version: version of that model
    :param prefill_tokens_per_s: prompt tokens prefilled per second
    :param decode_ms: milliseconds per token of a run that is alone
    :param batch_slowdown: increase of a step's duration for each further
        run, as a fraction of ``decode_ms``
    :param max_batch: largest number of concurrent runs
    :param kv_tokens: memory for runs, in tokens of prompt and answer
    :param chunk_tokens: largest number of prompt tokens prefilled in a step
    :param tick_ms: shortest time between two rounds of writes; tokens that
        are generated within this time are written together
    :param default_max_tokens: length of an answer if the request has none
    :param cache_tokens: capacity of the prefix cache, in tokens
    :param event_lag_ms: delay of cache events
    :param event_loss: fraction of cache events that are lost
    :param seed: random seed that selects the lost cache events
    :param load_lag_ms: age of the load report
    :param resumable: whether runs can be suspended and resumed
    :param checks_orders: whether orders with old fencing numbers are refused
    :param order_ms: duration of an order
    :param crash_mark: text that crashes the engine when a prompt contains it
    :param down_ms: how long the engine is down after a crash
    :param exit_on_crash: whether a crash ends the process
    :param print_ledger: whether each ended run is printed as a line of
        JSON to standard output
    """

    model: str = "bean-model"
    version: str = "1"
    prefill_tokens_per_s: float = 8000.0
    decode_ms: float = 20.0
    batch_slowdown: float = 0.03
    max_batch: int = 16
    kv_tokens: int = 100_000
    chunk_tokens: int = 512
    tick_ms: float = 5.0
    default_max_tokens: int = 16
    cache_tokens: int = 64_000
    event_lag_ms: float = 300.0
    event_loss: float = 0.05
    seed: int = 1
    load_lag_ms: float = 1000.0
    resumable: bool = True
    checks_orders: bool = True
    order_ms: float = 2000.0
    crash_mark: str = "CRASH-THE-ENGINE"
    down_ms: float = 2000.0
    exit_on_crash: bool = False
    print_ledger: bool = False


@dataclasses.dataclass(eq=False)
class Run:
    """A request inside the engine.

    :param run_id: id of the request, as sent by the caller
    :param prompt: text of the prompt
    :param max_tokens: length of the answer in tokens
    :param on_tokens: called with the index of the first new token and the
        index after the last
    :param on_end: called once with the outcome of the run
    :param number: position in the order of arrival, from 1
    :param prompt_tokens: length of the prompt in tokens
    :param keys: keys of the prompt's blocks
    :param prefilled: prompt tokens that are prefilled or cached
    :param cached: prompt tokens that were found in the cache
    :param generated: tokens of the answer generated so far
    :param in_memory: whether the run holds memory of the engine
    :param suspended: whether it is suspended
    :param break_after: tokens after which its connection is aborted, 0 for
        never
    :param ended: outcome, empty while it hasn't ended
    :param arrived_ms: time of arrival
    :param started_ms: time when it first joined the batch
    :param first_token_ms: time of the first token of its answer
    """

    run_id: str
    prompt: str
    max_tokens: int
    on_tokens: typing.Callable[[int, int], None]
    on_end: typing.Callable[[str], None]
    number: int = 0
    prompt_tokens: int = 0
    keys: tuple[int, ...] = ()
    prefilled: int = 0
    cached: int = 0
    generated: int = 0
    in_memory: bool = False
    suspended: bool = False
    break_after: int = 0
    ended: str = ""
    arrived_ms: float = 0.0
    started_ms: float | None = None
    first_token_ms: float | None = None

    @property
    def reserved_tokens(self) -> int:
        """The memory that the run needs, in tokens."""
        return self.prompt_tokens + self.max_tokens

    def entry(self, ended_ms: float | None = None) -> ledger.RunEntry:
        """Returns the run's entry in the ledger.

        :param ended_ms: time of its end, None while it hasn't ended
        """
        return ledger.RunEntry(
            number=self.number,
            run_id=self.run_id,
            prompt_digest=answers.prompt_digest(self.prompt),
            prompt_tokens=self.prompt_tokens,
            prefilled_tokens=self.prefilled - self.cached,
            cached_tokens=self.cached,
            generated_tokens=self.generated,
            ended=self.ended,
            arrived_ms=self.arrived_ms,
            started_ms=self.started_ms,
            first_token_ms=self.first_token_ms,
            ended_ms=ended_ms,
        )


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load of the engine at one time; it is reported with a delay.

    :param running: runs in the batch
    :param waiting: runs that wait to join the batch
    :param suspended: suspended runs
    :param kv_used: memory held by runs, in tokens
    :param kv_tokens: memory for runs, in tokens
    """

    running: int
    waiting: int
    suspended: int
    kv_used: int
    kv_tokens: int


class Engine:
    """A stand-in engine.

    :param settings: its speed, capacity and features
    :param reactor: provides time and timers; may be a test clock
    """

    def __init__(
        self, settings: EngineSettings, reactor: interfaces.IReactorTime
    ) -> None:
        self.settings = settings
        self.reactor = reactor
        self.run_numbers = itertools.count(1)
        self.generated_id_numbers = itertools.count(1)
        self.waiting: collections.deque[Run] = collections.deque()
        self.batch: list[Run] = []
        self.paused: list[Run] = []
        self.kv_used = 0
        self.cache = prefix_cache.PrefixCache(
            settings.cache_tokens,
            settings.event_lag_ms,
            settings.event_loss,
            settings.seed,
        )
        loaded = orders.Order(settings.model, settings.version)
        self.orders = orders.OrderBook(
            loaded, settings.checks_orders, settings.order_ms, reactor
        )
        self.ended_runs: collections.deque[ledger.RunEntry] = (
            collections.deque(maxlen=MAX_ENDED_RUNS)
        )
        self.load_history: collections.deque[tuple[float, LoadReport]] = (
            collections.deque()
        )
        self.slow_factor = 1.0
        self.leaving = False
        self.pending_breaks: collections.deque[int] = collections.deque()
        self.pending_failures: collections.deque[int] = collections.deque()
        self.crashes = 0
        self.down_until_ms = 0.0
        self.on_crash: list[typing.Callable[[], None]] = []
        self.on_run_ended: list[typing.Callable[[ledger.RunEntry], None]] = []
        self.stalled_until_ms = 0.0
        self.step_ends_ms = 0.0
        self.step_prefill: dict[Run, int] = {}
        self.stepping = False
        self.timer: interfaces.IDelayedCall | None = None
        self._record_load()

    def now_ms(self) -> float:
        """Returns the reactor's time in milliseconds."""
        return self.reactor.seconds() * MS_PER_S

    @property
    def is_down(self) -> bool:
        """Whether the engine is down after a crash."""
        return self.now_ms() < self.down_until_ms

    def new_run_id(self) -> str:
        """Returns an id for a request without one."""
        return f"run-{next(self.generated_id_numbers)}"

    def submit(self, run: Run) -> None:
        """Accepts a run; it starts when batch and memory have space.

        :param run: a new run
        """
        run.number = next(self.run_numbers)
        run.arrived_ms = self.now_ms()
        run.prompt_tokens = len(run.prompt.split())
        run.keys = prefix.prefix_keys(run.prompt)
        run.break_after = (
            self.pending_breaks.popleft() if self.pending_breaks else 0
        )
        self.waiting.append(run)
        self._wake()

    def cancel(self, run: Run) -> None:
        """Cancels a run; does nothing if it has ended.

        :param run: the run
        """
        if not run.ended:
            self._end_run(run, CANCELLED, self.now_ms())
            run.on_end(CANCELLED)
            self._record_load()

    def suspend(self, run: Run) -> None:
        """Suspends a run and frees its place in the batch and its memory.

        :param run: a run that hasn't ended
        """
        if run.suspended:
            return
        self._remove(run)
        run.suspended = True
        self.paused.append(run)
        self._record_load()

    def resume(self, run: Run) -> None:
        """Resumes a run ahead of the waiting ones, once there is space.

        :param run: a run that hasn't ended
        """
        if not run.suspended:
            return
        self._remove(run)
        run.suspended = False
        self.waiting.appendleft(run)
        self._wake()

    def find(self, run_id: str) -> Run | None:
        """Returns the newest active run with an id, None without one.

        :param run_id: id of the request
        """
        runs = (*self.batch, *self.waiting, *self.paused)
        matches = [run for run in runs if run.run_id == run_id]
        return max(matches, key=lambda run: run.number, default=None)

    def submit_order(
        self,
        order: orders.Order,
        on_done: typing.Callable[[orders.OrderRecord], None],
    ) -> None:
        """Executes an order; no run starts while it is in progress.

        :param order: what to load
        :param on_done: called once with the result
        """

        def finish(record: orders.OrderRecord) -> None:
            on_done(record)
            self._wake()

        self.orders.submit(order, finish)

    def stall(self, duration_ms: float) -> None:
        """Stops all work for some time; runs continue afterwards.

        :param duration_ms: length of the stall
        """
        self.stalled_until_ms = self.now_ms() + duration_ms
        if self.stepping:
            self.step_ends_ms = max(self.step_ends_ms, self.stalled_until_ms)

    def crash(self) -> None:
        """Drops all runs and the cache; the engine is down for a while."""
        now_ms = self.now_ms()
        self.crashes += 1
        self.down_until_ms = now_ms + self.settings.down_ms
        runs = [*self.batch, *self.waiting, *self.paused]
        for run in runs:
            self._end_run(run, CRASHED, now_ms)
        self.cache.clear(now_ms)
        self.stepping = False
        self._record_load()
        for run in runs:
            run.on_end(CRASHED)
        for callback in list(self.on_crash):
            callback()

    def runs(self) -> list[ledger.RunEntry]:
        """Returns the ledger: ended runs in order of ending, then active."""
        active = (*self.batch, *self.waiting, *self.paused)
        return [*self.ended_runs, *(run.entry() for run in active)]

    def load(self) -> LoadReport:
        """Returns the load as it was ``load_lag_ms`` ago."""
        horizon_ms = self.now_ms() - self.settings.load_lag_ms
        loads = self.load_history
        while len(loads) > 1 and loads[1][0] <= horizon_ms:
            loads.popleft()
        return loads[0][1]

    def _record_load(self) -> None:
        report = LoadReport(
            running=len(self.batch),
            waiting=len(self.waiting),
            suspended=len(self.paused),
            kv_used=self.kv_used,
            kv_tokens=self.settings.kv_tokens,
        )
        if not self.load_history:
            self.load_history.append((self.now_ms(), report))
        elif report != self.load_history[-1][1]:
            self.load()
            self.load_history.append((self.now_ms(), report))

    def _wake(self) -> None:
        if not self.stepping:
            self._begin_step(self.now_ms())
        self._record_load()
        self._schedule()

    def _schedule(self) -> None:
        if self.timer is not None or not self.stepping:
            return
        wait_ms = max(self.step_ends_ms - self.now_ms(), self.settings.tick_ms)
        self.timer = self.reactor.callLater(wait_ms / MS_PER_S, self._tick)

    def _tick(self) -> None:
        self.timer = None
        now_ms = self.now_ms()
        generated_before = {run: run.generated for run in self.batch}
        ended: list[Run] = []
        while self.stepping and self.step_ends_ms <= now_ms:
            if self._hits_crash_mark():
                self.crash()
                return
            ended.extend(self._finish_step(generated_before))
            self._begin_step(self.step_ends_ms)
        for run, first in generated_before.items():
            if run.generated > first:
                run.on_tokens(first, run.generated)
        for run in ended:
            run.on_end(run.ended)
        self._record_load()
        self._schedule()

    def _hits_crash_mark(self) -> bool:
        mark = self.settings.crash_mark
        if not mark:
            return False
        return any(mark in run.prompt for run in self.step_prefill)

    def _begin_step(self, now_ms: float) -> None:
        self._admit(now_ms)
        settings = self.settings
        budget = settings.chunk_tokens
        self.step_prefill = {}
        decoding = 0
        for run in self.batch:
            remaining = run.prompt_tokens - run.prefilled
            if remaining <= 0:
                decoding += 1
            elif budget > 0:
                prefill_tokens = min(remaining, budget)
                self.step_prefill[run] = prefill_tokens
                budget -= prefill_tokens
        prefilled = settings.chunk_tokens - budget
        duration_ms = prefilled * MS_PER_S / settings.prefill_tokens_per_s
        if decoding:
            slowdown = 1 + settings.batch_slowdown * (decoding - 1)
            duration_ms += settings.decode_ms * slowdown
        self.stepping = bool(self.batch)
        self.step_ends_ms = (
            max(now_ms, self.stalled_until_ms) + duration_ms * self.slow_factor
        )

    def _finish_step(self, generated_before: dict[Run, int]) -> list[Run]:
        ended = []
        for run in list(self.batch):
            self._store_prefilled(run)
            if run.prefilled < run.prompt_tokens:
                continue
            generated_before.setdefault(run, run.generated)
            run.generated += 1
            if run.first_token_ms is None:
                run.first_token_ms = self.step_ends_ms
            if run.generated == run.break_after:
                self._end_run(run, BROKEN, self.step_ends_ms)
                ended.append(run)
            elif run.generated >= run.max_tokens:
                self._end_run(run, COMPLETED, self.step_ends_ms)
                ended.append(run)
        return ended

    def _store_prefilled(self, run: Run) -> None:
        prefill_tokens = self.step_prefill.get(run, 0)
        if not prefill_tokens:
            return
        first = run.prefilled // prefix.BLOCK_WORDS
        run.prefilled += prefill_tokens
        end = run.prefilled // prefix.BLOCK_WORDS
        if end > first:
            self.cache.store(run.keys[:end], self.step_ends_ms)

    def _admit(self, now_ms: float) -> None:
        settings = self.settings
        while self.waiting and len(self.batch) < settings.max_batch:
            run = self.waiting[0]
            if self.orders.loading or (
                self.kv_used + run.reserved_tokens > settings.kv_tokens
            ):
                return
            self.waiting.popleft()
            self.kv_used += run.reserved_tokens
            run.in_memory = True
            self.batch.append(run)
            if run.started_ms is None:
                run.started_ms = now_ms
                self._use_cache(run)

    def _use_cache(self, run: Run) -> None:
        cached_tokens = self.cache.match(run.keys) * prefix.BLOCK_WORDS
        run.cached = max(0, min(cached_tokens, run.prompt_tokens - 1))
        run.prefilled = run.cached

    def _remove(self, run: Run) -> None:
        for runs in (self.batch, self.waiting, self.paused):
            if run in runs:
                runs.remove(run)
        if run.in_memory:
            run.in_memory = False
            self.kv_used -= run.reserved_tokens

    def _end_run(self, run: Run, outcome: str, ended_ms: float) -> None:
        self._remove(run)
        run.ended = outcome
        entry = run.entry(ended_ms)
        self.ended_runs.append(entry)
        for callback in self.on_run_ended:
            callback(entry)


def new_tokens(digest: str, first: int, end: int) -> str:
    """Returns the text of a range of tokens of an answer.

    :param digest: digest of the prompt
    :param first: index of the first token
    :param end: index after the last token
    :return: words, each preceded by a space except the answer's first
    """
    text = " ".join(answers.words_between(digest, first, end))
    return f" {text}" if first else text
