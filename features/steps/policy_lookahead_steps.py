import random

from behave import given
from behave import then
from behave import when

from godwitloft.policy import learnt_speeds
from godwitloft.policy import lookahead
from godwitloft.policy import offer_book
from godwitloft.policy import running_limits
from godwitloft.policy import types

NOW_MS = 1_000
PREFILL_TOKENS_PER_MS = 4.0


def view():
    return types.UpstreamView(
        speeds=learnt_speeds.Speeds(
            prefill_tokens_per_ms=PREFILL_TOKENS_PER_MS
        ),
        limits=running_limits.ConcurrencyLimits(
            max_running=8, max_unprefilled_tokens=1_000_000
        ),
    )


def offer(name, rank, deadline_ms, work_ms, agents):
    # With no output the engine time is that of the prefill alone.
    return types.Offer(
        request_id=name,
        entry="e",
        tier_rank=rank,
        team="t",
        team_weight=1,
        service="s",
        deadline_ms=NOW_MS + deadline_ms,
        prompt_tokens=int(work_ms * PREFILL_TOKENS_PER_MS),
        output_tokens=0,
        prefix_keys=(),
        fingerprint=name,
        agents=agents,
    )


@given("lookahead bids {text}")
def bids(context, text):
    words, _, agents = text.partition("|")
    context.book = offer_book.OfferBook()
    for word in words.split():
        name, _, rest = word.partition(":")
        rank, due_s, work_ms = (int(part) for part in rest.split("/"))
        bid = offer(name, rank, due_s * 1000, work_ms, int(agents or 1))
        context.book.add(bid)


@when("the lookahead improves the strict choice")
def improve(context):
    strict = context.book.choose([], view(), NOW_MS)
    ahead = lookahead.Lookahead(context.book)
    context.choice = ahead.improve(strict, [], view(), NOW_MS)


@then('the lookahead pulls "{name}"')
def check_pull(context, name):
    assert context.choice.pull.request_id == name, context.choice


def every_deadline(offers):
    spares = [float("inf")]
    for last in offers:
        due = [
            request
            for request in offers
            if request.deadline_ms <= last.deadline_ms
        ]
        work = sum(request.prompt_tokens / request.agents for request in due)
        allowed = lookahead.USABLE_TIME_SHARE * (last.deadline_ms - NOW_MS)
        spares.append(allowed - work / PREFILL_TOKENS_PER_MS)
    return min(spares)


@when("the spare time of {cases:d} random sets with seed {seed:d} is compared")
def compare(context, cases, seed):
    rng = random.Random(seed)
    context.pairs = []
    for _ in range(cases):
        offers = [
            offer(
                str(number),
                0,
                rng.randrange(1, 10_000),
                rng.randrange(1, 900),
                rng.randrange(1, 5),
            )
            for number in range(rng.randrange(8))
        ]
        found = lookahead.spare_ms(offers, view(), NOW_MS)
        context.pairs.append((found, every_deadline(offers)))


@then("each spare time equals the minimum over all deadlines")
def check_spare(context):
    for found, expected in context.pairs:
        same = found == expected or abs(found - expected) < 1e-6
        assert same, (found, expected)
