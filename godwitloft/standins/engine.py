"""A small stand-in for a model engine with continuous batching.

This is the engine without its HTTP side, which is in ``engine_http``. It
works in steps, as engines do: a step prefills a bounded number of prompt
tokens and generates one token for each run that is past its prompt. Runs
are admitted in arrival order; while the batch or the memory is full, later
ones wait inside the engine. One timer drives all runs.
"""

import collections
import dataclasses
import math
import typing

from twisted.internet import interfaces

from godwitloft.policy import prefix
from godwitloft.standins import answers

MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class EngineSettings:
    """How fast and how large a stand-in engine is.

    :param model: name of the model it serves
    :param prefill_tokens_per_s: prompt tokens a second
    :param decode_ms: milliseconds for a token of a run that is alone
    :param batch_slowdown: how much longer a step takes for each further
        run, as a share of ``decode_ms``
    :param max_batch: runs at once
    :param kv_tokens: memory for runs, in tokens of prompt and answer
    :param chunk_tokens: most prompt tokens prefilled in a step
    :param tick_ms: shortest time between two rounds of writes; tokens that
        are generated in less time are written together
    :param default_max_tokens: length of an answer when none is asked for
    """

    model: str = "bean-model"
    prefill_tokens_per_s: float = 8000.0
    decode_ms: float = 20.0
    batch_slowdown: float = 0.03
    max_batch: int = 16
    kv_tokens: int = 100_000
    chunk_tokens: int = 512
    tick_ms: float = 5.0
    default_max_tokens: int = 16


@dataclasses.dataclass(eq=False)
class Run:
    """A request inside the engine.

    :param run_id: the request's id, as the caller gave it
    :param prompt: text of the prompt
    :param max_tokens: length of its answer
    :param on_tokens: told the index of the first new token and the index
        after the last
    :param on_end: told how the run ended, once
    :param prompt_tokens: length of the prompt
    :param prefilled: prompt tokens processed so far
    :param generated: tokens of the answer so far
    :param ended: how it ended, empty while it hasn't
    """

    run_id: str
    prompt: str
    max_tokens: int
    on_tokens: typing.Callable[[int, int], None]
    on_end: typing.Callable[[str], None]
    prompt_tokens: int = 0
    prefilled: int = 0
    generated: int = 0
    ended: str = ""

    @property
    def reserved_tokens(self) -> int:
        """Memory that the run needs, in tokens."""
        return self.prompt_tokens + self.max_tokens


class Engine:
    """The state of one stand-in engine.

    :param settings: its speed and sizes
    :param reactor: gives time and one timer; a driven clock will do
    """

    def __init__(
        self, settings: EngineSettings, reactor: interfaces.IReactorTime
    ) -> None:
        self.settings = settings
        self.reactor = reactor
        self.waiting: collections.deque[Run] = collections.deque()
        self.batch: list[Run] = []
        self.kv_used = 0
        self.step_ends_ms = 0.0
        self.step_prefill: dict[Run, int] = {}
        self.stepping = False
        self.timer: interfaces.IDelayedCall | None = None

    def now_ms(self) -> float:
        """Returns the time of the reactor in milliseconds."""
        return self.reactor.seconds() * MS_PER_S

    def submit(self, run: Run) -> None:
        """Takes a request in; it starts when batch and memory allow.

        :param run: a new run
        """
        run.prompt_tokens = len(run.prompt.split())
        self.waiting.append(run)
        if not self.stepping:
            self._begin_step(self.now_ms())
            self._schedule()

    def cancel(self, run: Run) -> None:
        """Ends a run before its time; does nothing if it has ended.

        :param run: any run
        """
        if not run.ended:
            self._end(run, "cancelled")

    def _schedule(self) -> None:
        if self.timer is not None or not self.stepping:
            return
        wait_ms = max(self.step_ends_ms - self.now_ms(), self.settings.tick_ms)
        self.timer = self.reactor.callLater(wait_ms / MS_PER_S, self._tick)

    def _tick(self) -> None:
        self.timer = None
        now_ms = self.now_ms()
        before = {run: run.generated for run in self.batch}
        done: list[Run] = []
        while self.stepping and self.step_ends_ms <= now_ms:
            done.extend(self._finish_step(before))
            self._begin_step(self.step_ends_ms)
        for run, first in before.items():
            if run.generated > first:
                run.on_tokens(first, run.generated)
        for run in done:
            run.on_end(run.ended)
        self._schedule()

    def _begin_step(self, now_ms: float) -> None:
        self._admit()
        settings = self.settings
        budget = settings.chunk_tokens
        self.step_prefill = {}
        decoding = 0
        for run in self.batch:
            left = run.prompt_tokens - run.prefilled
            if left <= 0:
                decoding += 1
            elif budget > 0:
                share = min(left, budget)
                self.step_prefill[run] = share
                budget -= share
        prefilled = settings.chunk_tokens - budget
        duration_ms = prefilled * MS_PER_S / settings.prefill_tokens_per_s
        if decoding:
            crowd = 1 + settings.batch_slowdown * (decoding - 1)
            duration_ms += settings.decode_ms * crowd
        self.stepping = bool(self.batch)
        self.step_ends_ms = now_ms + duration_ms

    def _finish_step(self, before: dict[Run, int]) -> list[Run]:
        done = []
        for run in list(self.batch):
            if run in self.step_prefill:
                run.prefilled += self.step_prefill[run]
                if run.prefilled < run.prompt_tokens:
                    continue
            elif run.prefilled < run.prompt_tokens:
                continue
            before.setdefault(run, run.generated)
            run.generated += 1
            if run.generated >= run.max_tokens:
                self._leave(run, "completed")
                done.append(run)
        return done

    def _admit(self) -> None:
        settings = self.settings
        while self.waiting and len(self.batch) < settings.max_batch:
            run = self.waiting[0]
            fits = self.kv_used + run.reserved_tokens <= settings.kv_tokens
            if not fits and self.batch:
                return
            self.waiting.popleft()
            self.kv_used += run.reserved_tokens
            self.batch.append(run)

    def _leave(self, run: Run, outcome: str) -> None:
        run.ended = outcome
        if run in self.batch:
            self.batch.remove(run)
            self.kv_used -= run.reserved_tokens
        elif run in self.waiting:
            self.waiting.remove(run)

    def _end(self, run: Run, outcome: str) -> None:
        self._leave(run, outcome)
        run.on_end(outcome)


def new_tokens(run: Run, first: int, end: int) -> str:
    """Returns the text that some tokens add to a run's answer.

    :param run: the run
    :param first: index of the first token
    :param end: index after the last token
    :return: words, each but the answer's first after a space
    """
    words = answers.words_between(
        answers.prompt_digest(run.prompt), first, end
    )
    text = " ".join(words)
    return f" {text}" if first else text


def blocks_of(prompt_tokens: int) -> int:
    """Returns how many cache blocks hold a number of tokens.

    :param prompt_tokens: any number of tokens
    :return: blocks, the last one perhaps partly filled
    """
    return math.ceil(prompt_tokens / prefix.BLOCK_WORDS)
