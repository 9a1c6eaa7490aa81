import collections
import random

from behave import given
from behave import then
from behave import when

from features.support import cluster
from godwitloft.objects import types

SPEEDS = ((8000, 20, 16), (4000, 30, 8), (6000, 25, 8))
CRASH = "CRASH-THE-ENGINE"
COMPLETE = "complete"


@given("a cluster of {entries:d} entries with queues of {room:d} requests")
def make_cluster(context, entries, room):
    context.cluster = cluster.Cluster()
    for number in range(1, entries + 1):
        context.cluster.add_entry(f"entry-{number}", max_waiting=room)


@given("{count:d} {kind} engines of different speeds")
def unlike_engines(context, count, kind):
    for number in range(count):
        speed, decode_ms, batch = SPEEDS[number]
        context.cluster.add_agent(
            f"agent-{number}",
            resumable=kind == "resumable",
            prefill_tokens_per_s=speed,
            decode_ms=decode_ms,
            max_batch=batch,
        )
    context.cluster.link_all()


@given("1 {kind} engine that runs {cap:d} at a time")
def one_engine(context, kind, cap):
    context.cluster.add_agent("agent-0", cap, resumable=kind == "resumable")
    context.cluster.link_all()


def entry_names(context):
    return list(context.cluster.managers)


def send_mixed_requests(context, rng, count):
    for number in range(count):
        context.cluster.send_request(
            rng.choice(entry_names(context)),
            rng.choice([0, 1, 1, 2, 2, 2]),
            prompt=f"request {number} {rng.random()}",
            prompt_words=rng.choice([20, 100, 800, 3000]),
            output=rng.choice([10, 50, 150]),
            timeout_ms=rng.choice([8000, 15000]),
        )


@when(
    "a burst of {burst:d} requests in three tiers is added to a steady"
    " load with seed {seed:d}"
)
def burst_hits(context, burst, seed):
    rng = random.Random(seed)
    for second in range(10):
        send_mixed_requests(context, rng, burst if second == 2 else 5)
        context.cluster.run(1000)
    context.cluster.run(16_000)


@then("the audit of the cluster finds no breach")
def check_audit(context):
    report = context.cluster.audit()
    assert report.requests == len(context.cluster.requests)
    assert report.breaches == 0, report.text()


def ended(context):
    return collections.Counter(
        (request.call.tier_rank, request.outcome)
        for request in context.cluster.requests
    )


@then("every request has one outcome, and each refusal says when to retry")
def check_final_answers(context):
    for request in context.cluster.requests:
        assert request.outcome != "open", request
        last = request.parts[-1]
        if request.outcome.startswith("refused"):
            assert len(request.parts) == 1
            assert last.retry_after_ms > 0, request.outcome


@then("at least {least:d} requests were shed, and more of bronze than of gold")
def check_shed(context, least):
    counts = ended(context)
    shed = [
        counts[(rank, "refused:shed")] + counts[(rank, "refused:queue_full")]
        for rank in range(3)
    ]
    assert sum(shed) >= least, counts
    assert shed[2] > shed[0] or not least, counts


def runs(context):
    return [
        run
        for engine in context.cluster.engines.values()
        for run in engine.runs()
    ]


@then("at most {most:d}% of the prefilled tokens were wasted")
def check_waste(context, most):
    spent = sum(run.prefilled_tokens for run in runs(context))
    wasted = sum(
        run.prefilled_tokens
        for run in runs(context)
        if run.ended != "completed"
    )
    assert wasted <= spent * most / 100, (wasted, spent)


@when("a bronze request for {output:d} tokens is sent to entry-1")
def send_bronze(context, output):
    context.bronze = context.cluster.send_request(
        "entry-1", 2, prompt="bronze", output=output, timeout_ms=8000
    )


@when(
    "{ms:d} ms later {gold:d} gold requests for {output:d} tokens with"
    " a timeout of {due:d} ms are sent to entry-2"
)
def send_gold(context, ms, gold, output, due):
    context.cluster.run(ms)
    context.gold = [
        context.cluster.send_request(
            "entry-2",
            0,
            prompt=f"gold {number}",
            output=output,
            timeout_ms=due,
        )
        for number in range(gold)
    ]
    context.cluster.run(20_000)


@then(
    "{complete:d} gold requests complete, {shed:d} are shed and the"
    " bronze request ends as {end}"
)
def check_gold(context, complete, shed, end):
    counts = collections.Counter(cluster.outcomes(context.gold))
    assert counts[COMPLETE] == complete, counts
    assert counts["refused:shed"] == shed, counts
    assert context.bronze.outcome == end, context.bronze.outcome


@then(
    "the bronze request was suspended {times:d} times on its engine and"
    " ran once"
)
def check_suspended(context, times):
    lines = [
        line for line in context.cluster.lines if '"kind":"suspended"' in line
    ]
    assert len(lines) == times, lines
    bronze_runs = [
        run for run in runs(context) if run.run_id == context.bronze.request_id
    ]
    assert [run.ended for run in bronze_runs] == ["completed"], bronze_runs


@when(
    "a prompt of {words:d} words for {output:d} tokens with a timeout"
    " of {due:d} ms is sent to entry-1"
)
def send_long(context, words, output, due):
    context.cluster.run(1000)
    context.request = context.cluster.send_request(
        "entry-1", 0, prompt_words=words, output=output, timeout_ms=due
    )
    context.cluster.run(1000)


@then('it is refused as "{reason}" within {ms:d} ms and nothing ran')
def check_refused(context, reason, ms):
    assert context.request.outcome == f"refused:{reason}", (
        context.request.outcome
    )
    assert context.request.last_part_ms - context.request.sent_ms <= ms
    assert not runs(context)


@when("the caller {does} after {ms:d} ms")
def caller_does(context, does, ms):
    if "slow" in does:
        context.cluster.run(1000)
        context.cluster.engines["agent-0"].slow_factor = 5.0
    context.cluster.run(ms)
    if does == "disconnects":
        context.cluster.managers["entry-1"].cancel(context.bronze.request_id)


@then("the engine ran {count:d} requests and none is running {ms:d} ms later")
def check_engine_idle(context, count, ms):
    context.cluster.run(ms)
    engine_runs = runs(context)
    assert len(engine_runs) == count, engine_runs
    assert all(run.ended for run in engine_runs), engine_runs


@when(
    "prompts with a common prefix of {words:d} words are sent {times:d}"
    " times, one every {ms:d} ms"
)
def send_shared_prefix(context, words, times, ms):
    prefix = " ".join(f"d{number}" for number in range(words))
    for number in range(times):
        context.cluster.send_request(
            entry_names(context)[number % 2],
            prompt=f"{prefix} question {number}",
            output=10,
            timeout_ms=30_000,
        )
        context.cluster.run(ms)
    context.cluster.run(20_000)


@then("all complete and at most {most:d} words were prefilled")
def check_prefilled(context, most):
    counts = collections.Counter(cluster.outcomes(context.cluster.requests))
    assert set(counts) == {COMPLETE}, counts
    spent = sum(run.prefilled_tokens for run in runs(context))
    assert spent <= most, spent


@given('team "{name}" may run {most:d} requests at once')
def limit_team(context, name, most):
    team = types.Team(name, (), ("gold",), max_running=most)
    for manager in context.cluster.managers.values():
        manager.limits.team = {name: team}.get


@when('{count:d} requests are sent by "{first}" and {more:d} by "{second}"')
def send_for_teams(context, count, first, more, second):
    for team, number in ((first, count), (second, more)):
        for index in range(number):
            context.cluster.send_request(
                "entry-1",
                prompt=f"{team} {index}",
                team=team,
                output=30,
                timeout_ms=60_000,
            )
    context.most = 0
    by_id = {
        request.request_id: request for request in context.cluster.requests
    }
    for _ in range(200):
        context.cluster.run(100)
        running = [
            run_id
            for agent in context.cluster.agents.values()
            for run_id, run in agent.runs.items()
            if run.ended is None and by_id[run_id].call.team == first
        ]
        context.most = max(context.most, len(running))


@then(
    'never more than {most:d} requests of "{team}" run at once and all'
    " 16 complete"
)
def check_team(context, most, team):
    assert context.most == most, context.most
    outcomes = cluster.outcomes(context.cluster.requests)
    assert outcomes == [COMPLETE] * 16, outcomes


@when(
    "a request that crashes engines is sent repeatedly for {seconds:d}"
    " s during a steady load"
)
def send_poison(context, seconds):
    context.poison = []
    context.others = []
    for number in range(seconds * 2):
        at = entry_names(context)[number % 2]
        context.poison.append(
            context.cluster.send_request(at, prompt=CRASH, prompt_words=50)
        )
        context.others.append(
            context.cluster.send_request(
                at, 1, prompt=f"other {number}", output=10
            )
        )
        context.cluster.run(500)
    context.cluster.run(12_000)


@then(
    'the engines crashed twice and it is refused as "{reason}" at both entries'
)
def check_poison(context, reason):
    crashes = sum(
        engine.crashes for engine in context.cluster.engines.values()
    )
    assert crashes == 2, crashes
    outcomes = cluster.outcomes(context.poison)
    assert outcomes[-2:] == [f"refused:{reason}"] * 2, outcomes
    assert outcomes.count("failed:upstream_crashed") == 2, outcomes


@then("all other requests complete, except those on a crashed engine")
def check_bystanders(context):
    counts = collections.Counter(cluster.outcomes(context.others))
    crashed = counts["failed:upstream_crashed"]
    assert crashed <= 4, counts
    assert counts[COMPLETE] == len(context.others) - crashed, counts


@when(
    "the first engine is down for {seconds:d} s and {count:d} requests"
    " are sent each second for {whole:d} s"
)
def engine_down(context, seconds, count, whole):
    first = context.cluster.engines["agent-0"]
    first.down_until_ms = context.cluster.now_ms() + seconds * 1000
    for second in range(whole):
        for number in range(count):
            context.cluster.send_request(
                "entry-1", prompt=f"{second} {number}", output=10
            )
        context.cluster.run(1000)
    context.cluster.run(10_000)


@then("all complete and no request ran twice")
def check_once(context):
    counts = collections.Counter(cluster.outcomes(context.cluster.requests))
    assert set(counts) == {COMPLETE}, counts
    ran = [run.run_id.partition(".")[0] for run in runs(context)]
    assert len(ran) == len(set(ran)) == len(context.cluster.requests)
    assert any(run.number for run in context.cluster.engines["agent-0"].runs())


@when(
    "the engine is {factor:d} times slower for {seconds:d} s under load"
    " and then recovers"
)
def slow_for_a_while(context, factor, seconds):
    engine = context.cluster.engines["agent-0"]
    rng = random.Random(1)
    send_mixed_requests(context, rng, 5)
    context.cluster.run(2000)
    engine.slow_factor = float(factor)
    for _ in range(seconds):
        send_mixed_requests(context, rng, 5)
        context.cluster.run(1000)
    engine.slow_factor = 1.0
    context.cluster.run(5000)


@then("requests sent {seconds:d} s later complete")
def check_recovered(context, seconds):
    context.cluster.run(seconds * 1000)
    late_requests = [
        context.cluster.send_request(
            "entry-1", prompt=f"late {n}", timeout_ms=5000
        )
        for n in range(4)
    ]
    context.cluster.run(6000)
    assert cluster.outcomes(late_requests) == [COMPLETE] * 4, cluster.outcomes(
        late_requests
    )


@given("2 plain upstreams of which the first fails {failing:d} calls")
def plain_upstreams(context, failing):
    context.ports = [
        context.cluster.add_plain(f"agent-{number}", failing * (number == 0))
        for number in range(2)
    ]
    context.cluster.link_all()


@when("{count:d} {kind} calls are made")
def make_calls(context, count, kind):
    for number in range(count):
        context.cluster.send_request(
            "entry-1",
            prompt=f"call {number}",
            is_model=False,
            stream=False,
            idempotent=kind == "idempotent",
        )
        context.cluster.run(100)
    context.cluster.run(3000)


@then(
    "{complete:d} calls complete, {failed:d} fail, none is refused and"
    " {count:d} runs were made"
)
def check_calls(context, complete, failed, count):
    counts = collections.Counter(cluster.outcomes(context.cluster.requests))
    assert counts[COMPLETE] == complete, counts
    assert counts["failed:upstream_failed"] == failed, counts
    assert sum(counts.values()) == complete + failed, counts
    assert sum(port.calls for port in context.ports) == count
