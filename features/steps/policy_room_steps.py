import random

from behave import given
from behave import step
from behave import then
from behave import when

from godwitloft.policy import concurrency
from godwitloft.policy import estimate
from godwitloft.policy import learnt_speeds
from godwitloft.policy import running_limits
from godwitloft.policy import types


@given(
    "an engine with steps of {step_ms:g} ms, {crowd_ms:g} ms more per request"
    " and a batch of {batch:d}"
)
def engine(context, step_ms, crowd_ms, batch):
    context.step_ms, context.crowd_ms = step_ms, crowd_ms
    context.batch = batch
    context.factor = 1.0
    context.limits = running_limits.ConcurrencyLimits()
    context.speeds = learnt_speeds.Speeds()
    context.now_ms = 0.0
    context.gaps = []


def engine_step(context):
    """Simulates a step of an engine loaded up to the limit."""
    given_runs = context.limits.max_running
    runs = min(given_runs, context.batch)
    gap_ms = context.step_ms + context.crowd_ms * (runs - 1)
    gap_ms *= context.factor
    context.now_ms += gap_ms
    now_ms = int(context.now_ms)
    context.gaps.append((now_ms, gap_ms))
    for _ in range(runs):
        context.limits = concurrency.observe_gap(
            context.limits,
            concurrency.Gap(gap_ms, given_runs),
            concurrency.target_gap_ms(context.speeds),
            now_ms,
        )
    if len(context.gaps) % 40 == 1:
        # Each request ends after 40 tokens; the next one waits if the batch
        # is full.
        waits = given_runs > context.batch
        context.limits = concurrency.observe_first_token(
            context.limits,
            int(40 * gap_ms) if waits else 100,
            100,
            100,
            given_runs,
            now_ms,
        )


def work(context, duration_ms):
    end_ms = context.now_ms + duration_ms
    while context.now_ms < end_ms:
        engine_step(context)


@when("it runs for {seconds:d} s under a full load")
def work_loaded(context, seconds):
    context.speeds = estimate.observe_decode(
        context.speeds, 1, 10, int(10 * context.step_ms)
    )
    work(context, seconds * 1000)


@when("it slows down by a factor of {factor:d} and runs for {ms:d} ms")
def slow_down(context, factor, ms):
    context.factor = factor
    work(context, ms)


@when("it is as fast as before and runs for {seconds:d} s")
def recover(context, seconds):
    context.factor = 1.0
    work(context, seconds * 1000)


@then("the limit lies between {low:d} and {high:d}")
def check_cap(context, low, high):
    limit = context.limits.max_running
    assert low <= limit <= high, limit


@then(
    "under 5% of the gaps after the first {seconds:d} s were above"
    " {longest:d} ms"
)
def check_gaps(context, seconds, longest):
    gaps = [gap for at, gap in context.gaps if at > seconds * 1000]
    late = sum(gap > longest for gap in gaps)
    assert late < 0.05 * len(gaps), (late, len(gaps))


@given("an engine that prefills {speed:d} tokens a ms")
def prefilling_engine(context, speed):
    context.speed = speed
    context.limits = running_limits.ConcurrencyLimits()


@when(
    "{count:d} prompts of {prompt:d} tokens arrive as fast as the limit"
    " lets them"
)
def prompts_arrive(context, count, prompt):
    context.waits = []
    for index in range(count):
        limit = context.limits.max_unprefilled_tokens
        ahead = max(0, limit // prompt - 1) * prompt
        wait_ms = (ahead + prompt) // context.speed
        context.waits.append(wait_ms)
        context.limits = concurrency.observe_first_token(
            context.limits, wait_ms, wait_ms, ahead + prompt, 4, index * 1000
        )


@then("the limit on unprefilled tokens lies between {low:d} and {high:d}")
def check_token_cap(context, low, high):
    limit = context.limits.max_unprefilled_tokens
    assert low <= limit <= high, limit


@then("the last waits for a first token took at most {longest:d} ms")
def check_waits(context, longest):
    assert max(context.waits[-20:]) <= longest, context.waits[-20:]


def parse_runs(text):
    runs = []
    for index, word in enumerate(text.split() if text != "-" else []):
        remaining, _, kv_tokens = word.rstrip("s").partition("/")
        runs.append(
            types.Running(
                f"r{index}",
                0,
                "t",
                0,
                int(remaining),
                10,
                "f",
                suspended=word.endswith("s"),
                kv_tokens=int(kv_tokens or 0),
            )
        )
    return runs


def prompt_offer(prompt, output=100):
    return types.Offer(
        "o", "e", 0, "t", 1, "s", 10_000, prompt, output, (1,), "f"
    )


@given(
    "limits of {runs:d} requests, {tokens:d} unprefilled tokens"
    " and {kv:d} KV cache tokens"
)
def limits(context, runs, tokens, kv):
    context.view = types.UpstreamView(
        learnt_speeds.Speeds(),
        running_limits.ConcurrencyLimits(runs, tokens, kv_tokens=kv),
    )


@then("a prompt of {prompt:d} beside runs of {runs} fits: {answer}")
def check_fits(context, prompt, runs, answer):
    fits = concurrency.fits(
        prompt_offer(prompt), context.view, parse_runs(runs)
    )
    assert fits == (answer == "yes")


@given("speeds of 2 tokens per ms and 10 ms per token, 20 ms with 2 or more")
def speeds(context):
    context.speeds = learnt_speeds.Speeds(2.0, (10.0,) + (20.0,) * 10)


@then(
    "a prompt of {prompt:d} with {cached:d} cached and {output:d} output"
    " tokens behind {ahead} ends in {ms:d} ms"
)
def check_estimate(context, prompt, cached, output, ahead, ms):
    view = types.UpstreamView(
        context.speeds,
        running_limits.ConcurrencyLimits(),
        cached_tokens=lambda keys: cached,
    )
    found = estimate.finish_in_ms(
        prompt_offer(prompt, output), view, parse_runs(ahead)
    )
    assert found == ms, found


@when("speeds start at {start:d} and {seen:d} is observed 20 times")
def see_speed(context, start, seen):
    learnt = learnt_speeds.Speeds(float(start))
    context.learnt = []
    for _ in range(20):
        learnt = estimate.observe_prefill(learnt, seen * 1000, 1000)
        context.learnt.append(learnt.prefill_tokens_per_ms)


@then("the learnt speed is within 5% of {seen:d} after {most:d} times")
def check_speed(context, seen, most):
    learnt = context.learnt[most - 1]
    assert abs(learnt - seen) <= 0.05 * seen, context.learnt


@when("{count:d} random prompt queues with seed {seed:d} are estimated")
def estimate_queues(context, count, seed):
    rng = random.Random(seed)
    context.pairs = []
    for _ in range(count):
        speed = rng.randrange(1, 9)
        starts = sorted(rng.randrange(300) for _ in range(4))
        prompts = [
            estimate.PendingPrefill(rng.randrange(1, 900), start)
            for start in starts
        ]
        now_ms = 300 + rng.randrange(300)
        remaining = estimate.unprefilled_tokens(
            prompts, 0, learnt_speeds.Speeds(float(speed)), now_ms
        )
        counted = [prompt.tokens for prompt in prompts]
        for at_ms in range(now_ms):
            budget = speed
            for index, prompt in enumerate(prompts):
                if prompt.started_ms <= at_ms:
                    done = min(budget, counted[index])
                    counted[index] -= done
                    budget -= done
        context.pairs.append((remaining, counted, speed))


@then("each estimate is within {most:d} tokens of a count token by token")
def check_queues(context, most):
    for remaining, counted, speed in context.pairs:
        for estimate_tokens, counted_tokens in zip(
            remaining, counted, strict=True
        ):
            # The count doesn't use the rest of a millisecond in which a
            # prompt ends.
            slack = most + 4 * speed
            assert abs(estimate_tokens - max(1, counted_tokens)) <= slack, (
                remaining,
                counted,
            )


@given("at most {count:d} lengths are kept")
def lengths(context, count):
    context.lengths = estimate.OutputLengths(max_pairs=count)


@when("answers of {tokens:d} tokens are seen for {teams:d} teams")
def see_answers(context, tokens, teams):
    for index in range(teams):
        context.lengths.observe(f"t{index}", "s", tokens)


@then(
    "{known:d} teams are kept and expect {tokens:d} tokens, others {unknown:d}"
)
def check_lengths(context, known, tokens, unknown):
    found = [context.lengths.expected(f"t{i}", "s") for i in range(5)]
    assert found == [unknown] * (5 - known) + [tokens] * known, found


@step("an answer limited to {limit:d} tokens is expected to have {tokens:d}")
def check_limit(context, limit, tokens):
    assert context.lengths.expected("t4", "s", limit) == tokens
