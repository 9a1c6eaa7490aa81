import random

from behave import then
from behave import when

from godwitloft.policy import margin

ESTIMATE_MS = 100.0


@when(
    "the margin is updated with {count:d} requests that take 1 to {spread:f}"
    " times their estimate with seed {seed:d}"
)
def learn(context, count, spread, seed):
    rng = random.Random(seed)
    context.spread = spread
    context.within = []
    found = margin.INITIAL_MARGIN
    for _ in range(count):
        taken_ms = ESTIMATE_MS * rng.uniform(1.0, spread)
        context.within.append(taken_ms <= ESTIMATE_MS * (1 + found))
        found = margin.update_margin(found, ESTIMATE_MS, taken_ms)
    context.margin = found


@then(
    "between {low:d} and {high:d} of 100 of the last {count:d} end within"
    " estimate and margin"
)
def check_covered(context, low, high, count):
    covered = 100 * sum(context.within[-count:]) / count
    if context.spread <= 1 + margin.MAX_MARGIN:
        assert low <= covered <= high, covered


@then("the margin lies between {low:f} and {high:f}")
def check_margin(context, low, high):
    assert low <= context.margin <= high, context.margin


@when(
    "the margin is updated with {count:d} more that take {times:d} times their"
    " estimate"
)
def learn_slow(context, count, times):
    for _ in range(count):
        context.margin = margin.update_margin(
            context.margin, ESTIMATE_MS, ESTIMATE_MS * times
        )
