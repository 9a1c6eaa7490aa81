import random

from behave import given
from behave import then
from behave import when

from godwitloft.policy import admission_rules
from godwitloft.policy import bid_targets
from godwitloft.policy import drain_rate
from godwitloft.policy import retry


@given(
    "a queue of 10 requests and 1000 bytes that holds {requests:d}"
    " and {size:d}"
)
def queue(context, requests, size):
    context.queue = admission_rules.QueueLoad(requests, size, 10, 1000, 777)


@given(
    "a team that may have 4 waiting and 1000 tokens a second, with"
    " {waiting:d} waiting and {level:d} tokens left"
)
def team(context, waiting, level):
    context.team = admission_rules.TeamLoad(
        waiting=waiting,
        max_waiting=4,
        tokens_per_s=1000,
        bucket=admission_rules.TokenBucket(level, 0),
    )


@when(
    "at a share of {share:g} a request of {tokens:d} tokens and {body:d}"
    " bytes arrives that needs {needs} of 500 ms"
)
def arrives(context, share, tokens, body, needs):
    finish_in_ms = None if needs == "-" else int(needs)
    arrival = admission_rules.Arrival(tokens, body, 500, finish_in_ms)
    context.answer = admission_rules.admit(
        arrival, context.team, context.queue, share, 0
    )


@then('admission says "{answer}"')
def check_admission(context, answer):
    found = context.answer
    if isinstance(found, admission_rules.Admitted):
        seen = f"admitted, {found.bucket.level:.0f} left"
    else:
        seen = f"{found.reason} after {found.retry_after_ms}"
    assert seen == answer, seen


@when(
    "a team of {rate:d} tokens a second asks {count:d} times"
    " with seed {seed:d}"
)
def ask_often(context, rate, count, seed):
    rng = random.Random(seed)
    queue = admission_rules.QueueLoad(0, 0, 10, 1000, 777)
    bucket, now_ms, given_tokens, largest = None, 0, 0, 0
    for _ in range(count):
        now_ms += rng.randrange(20)
        tokens = rng.randrange(1, max(2, rate // 10))
        largest = max(largest, tokens)
        answer = admission_rules.admit(
            admission_rules.Arrival(tokens, 0, 500),
            admission_rules.TeamLoad(tokens_per_s=rate, bucket=bucket),
            queue,
            1.0,
            now_ms,
        )
        if isinstance(answer, admission_rules.Admitted):
            given_tokens += tokens
            bucket = answer.bucket
    context.given_tokens = given_tokens
    context.fair_tokens = rate * now_ms / 1000
    context.most = context.fair_tokens + rate + largest


@then("it got at most its rate, one second's tokens and one request")
def check_most(context):
    assert context.given_tokens <= context.most


@then("at least 90% of its rate while it asked for more")
def check_least(context):
    assert context.given_tokens >= 0.9 * context.fair_tokens


@given("a queue that drained one request every {gap:d} ms for {seconds:d} s")
def drained(context, gap, seconds):
    context.rate = drain_rate.DrainRate(0)
    context.now_ms = seconds * 1000
    for now_ms in range(gap, context.now_ms + 1, gap):
        context.rate.observe(now_ms)


@when("nothing leaves for {seconds:d} s")
def stalls(context, seconds):
    context.now_ms += seconds * 1000


@then("with {ahead:d} ahead Retry-After is {low:d} to {high:d} ms")
def check_retry_after(context, ahead, low, high):
    found = context.rate.retry_after_ms(ahead, context.now_ms)
    assert low <= found <= high, found


def make_agents(count):
    return [
        bid_targets.Agent(f"a{i}", f"zone-{i % 3}", 2.0) for i in range(count)
    ]


@when(
    "300 requests with {prefix} prefix choose among {count:d} agents"
    " with seed {seed:d}"
)
def choose_many(context, prefix, count, seed):
    rng = random.Random(seed)
    context.agents = make_agents(count)
    context.chosen = {}
    for index in range(300):
        key = {"no": (), "one": (7,), "own": (index // 2,)}[prefix]
        found = bid_targets.choose_agents(context.agents, key, "zone-1", rng)
        context.chosen.setdefault(key, []).append(found)


@then(
    "each has {count:d} agents, of which at least {near:d} are of its own"
    " availability zone"
)
def check_chosen(context, count, near):
    for choices in context.chosen.values():
        for agents in choices:
            assert (
                len({agent.peer for agent in agents}) == count == len(agents)
            )
            zone = [a for a in agents if a.availability_zone == "zone-1"]
            assert len(zone) >= near, len(zone)


@then("the first {count:d} are the same for equal prefixes")
def check_first(context, count):
    for choices in context.chosen.values():
        assert len({agents[:count] for agents in choices}) == 1


@then("every agent is chosen by some request")
def check_all_chosen(context):
    seen = {
        agent
        for choices in context.chosen.values()
        for agents in choices
        for agent in agents
    }
    assert seen == set(context.agents)


@when("an agent of 200 leaves")
def agent_leaves(context):
    context.agents = make_agents(200)


@then("under 4% of 1000 prefixes prefer different agents than before")
def check_few_move(context):
    def preferred(agents, key):
        rng = random.Random(1)
        chosen = bid_targets.choose_agents(agents, (key,), "", rng)
        return chosen[: bid_targets.PREFIX_AGENTS]

    moved = sum(
        preferred(context.agents, key) != preferred(context.agents[1:], key)
        for key in range(1000)
    )
    assert 0 < moved < 40, moved


@then(
    "agents with {cached} cached tokens at 2 tokens a ms and {spare:d} ms"
    " of slack hold for {holds} ms"
)
def check_holds(context, cached, spare, holds):
    tokens = [int(part) for part in cached.split(",")]
    agents = make_agents(len(tokens))
    cached_by_peer = {a.peer: n for a, n in zip(agents, tokens, strict=True)}
    found = bid_targets.assign_holds(agents, cached_by_peer, spare)
    assert [target.hold_ms for target in found] == [
        int(part) for part in holds.split(",")
    ], found


@when(
    "{calls:d} calls of which {failing:d}% fail request retries"
    " with seed {seed:d}"
)
def ask_retries(context, calls, failing, seed):
    rng = random.Random(seed)
    budget = retry.RetryBudget()
    context.calls, context.retries = calls, 0
    for _ in range(calls):
        budget = retry.record_call(budget)
        if rng.randrange(100) < failing:
            remaining = retry.spend(budget)
            context.retries += remaining is not None
            budget = remaining or budget


@then("at most a tenth of the calls and 3 are retried")
def check_budget(context):
    assert context.retries <= context.calls / 10 + 3, context.retries


@then("at least {least:d} are retried")
def check_retries(context, least):
    assert context.retries >= least, context.retries


@then(
    "a call that is {kind}, tried {attempts:d} times with {slack:d} ms left"
    " and 100 ms needed may be retried: {answer}"
)
def check_may_retry(context, kind, attempts, slack, answer):
    found = retry.may_retry(kind == "idempotent", attempts, slack, 100)
    assert found == (answer == "yes")


@then(
    "{count:d} delays before attempt {attempt:d} lie between 0 and {most:d} ms"
    " and are spread out"
)
def check_backoff(context, count, attempt, most):
    rng = random.Random(1)
    found = [retry.backoff_ms(attempt, rng) for _ in range(count)]
    assert min(found) >= 0
    assert max(found) <= most
    assert max(found) > most * 0.9
    assert min(found) < most * 0.1
