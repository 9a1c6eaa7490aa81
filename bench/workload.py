"""Generates the requests of an experiment from a seed."""

import dataclasses
import random
import typing

MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class Shape:
    """One kind of request of a deployment.

    :param tier: name of the tier
    :param team: name of the team that sends it
    :param share: share of the total engine time
    :param timeout_ms: time limit of each request
    :param prompt_words: shortest and longest prompt, without the prefix
    :param shared_words: length of a prompt prefix that requests share
    :param shared_by: average number of requests that share one prefix
    :param output_tokens: shortest and longest output
    """

    tier: str
    team: str
    share: float
    timeout_ms: int
    prompt_words: tuple[int, int]
    shared_words: int
    shared_by: int
    output_tokens: tuple[int, int]


@dataclasses.dataclass(frozen=True)
class Job:
    """One request of an experiment.

    :param number: unique in the run
    :param at_ms: when it is sent, since the start
    :param tier: name of the tier
    :param team: name of the team
    :param timeout_ms: time limit
    :param prompt: text of the prompt
    :param output_tokens: length of the output
    :param stream: whether it asks for a stream
    """

    number: int
    at_ms: int
    tier: str
    team: str
    timeout_ms: int
    prompt: str
    output_tokens: int
    stream: bool


@dataclasses.dataclass(frozen=True)
class EngineSpeed:
    """Speed of an engine, to compute its capacity.

    An engine works in steps. Each step generates a token for every run of a
    full batch; a step that also prefills takes longer by the prefill time.

    :param step_tokens: prompt tokens that one step prefills
    :param prefill_step_ms: time that prefill adds to a step
    :param decode_step_ms: time of a step of a full batch without prefill
    :param batch: runs in a full batch
    """

    step_tokens: float
    prefill_step_ms: float
    decode_step_ms: float
    batch: int

    def cost_ms(self, prompt: int, output: int) -> float:
        """Returns the engine time of a request in a busy engine.

        :param prompt: its prompt tokens
        :param output: its output tokens
        :return: milliseconds
        """
        prefill_steps = prompt / self.step_tokens
        decode_steps = max(0.0, output / self.batch - prefill_steps)
        prefill_ms = prefill_steps * (
            self.prefill_step_ms + self.decode_step_ms
        )
        return prefill_ms + decode_steps * self.decode_step_ms


def engine_speed(settings: typing.Mapping[str, typing.Any]) -> EngineSpeed:
    """Returns the speed of a stand-in engine with some settings.

    :param settings: keys of ``EngineSettings``
    :return: its speed
    """
    batch = settings["max_batch"]
    tokens = settings["chunk_tokens"]
    return EngineSpeed(
        step_tokens=tokens,
        prefill_step_ms=MS_PER_S * tokens / settings["prefill_tokens_per_s"],
        decode_step_ms=settings["decode_ms"]
        * (1 + settings["batch_slowdown"] * (batch - 1)),
        batch=batch,
    )


def words(rng: random.Random, count: int) -> str:
    """Returns random words.

    :param rng: source of randomness
    :param count: number of words
    :return: the words, separated by spaces
    """
    return " ".join(f"w{rng.getrandbits(24):06x}" for _ in range(count))


def make_jobs(
    shapes: typing.Sequence[Shape],
    speeds: typing.Sequence[EngineSpeed],
    overload: float,
    window_ms: int,
    burst_ms: int,
    seed: int,
) -> tuple[Job, ...]:
    """Generates a burst with a given ratio of offered work to capacity.

    :param shapes: kinds of requests; their shares add up to 1
    :param speeds: the engines
    :param overload: offered engine time as a multiple of the capacity
    :param window_ms: time over which the capacity is counted
    :param burst_ms: time in which the requests arrive; half of them in the
        first fifth of it
    :param seed: of the random number generator
    :return: the requests in order of arrival
    """
    rng = random.Random(seed)
    total_ms = overload * window_ms * len(speeds)
    jobs: list[Job] = []
    for shape in shapes:
        jobs.extend(shape_jobs(shape, speeds, total_ms, burst_ms, rng))
    jobs.sort(key=lambda job: (job.at_ms, job.prompt))
    return tuple(
        dataclasses.replace(job, number=number)
        for number, job in enumerate(jobs)
    )


def shape_jobs(
    shape: Shape,
    speeds: typing.Sequence[EngineSpeed],
    total_ms: float,
    burst_ms: int,
    rng: random.Random,
) -> list[Job]:
    """Generates the requests of one kind.

    :param shape: the kind
    :param speeds: the engines
    :param total_ms: total engine time of all kinds of requests
    :param burst_ms: time in which the requests arrive
    :param rng: source of randomness
    :return: the requests
    """
    remaining_ms = shape.share * total_ms
    prefixes = [words(rng, shape.shared_words)]
    jobs = []
    while remaining_ms > 0:
        if shape.shared_words and rng.random() < 1 / shape.shared_by:
            prefixes.append(words(rng, shape.shared_words))
        unique_text = words(rng, rng.randint(*shape.prompt_words))
        prompt = f"{rng.choice(prefixes[-4:])} {unique_text}".strip()
        output = rng.randint(*shape.output_tokens)
        length = shape.shared_words + len(unique_text.split())
        costs = [speed.cost_ms(length, output) for speed in speeds]
        remaining_ms -= len(costs) / sum(1 / cost for cost in costs)
        is_early = rng.random() < 0.5
        at_ms = rng.random() * burst_ms * (0.2 if is_early else 1.0)
        jobs.append(
            Job(
                number=0,
                at_ms=int(at_ms),
                tier=shape.tier,
                team=shape.team,
                timeout_ms=shape.timeout_ms,
                prompt=prompt,
                output_tokens=output,
                stream=rng.random() < 0.5,
            )
        )
    return jobs
