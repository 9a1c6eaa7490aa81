import random
import re

from behave import given
from behave import then
from behave import when

from godwitloft.policy import breaker
from godwitloft.policy import prefix_index
from godwitloft.policy import shed
from godwitloft.policy import suspects
from godwitloft.standins import prefix_cache


@given(
    "{bodies:d} bodies of which {poison:d} crash their upstream,"
    " and {upstreams:d} upstreams"
)
def bodies(context, bodies, poison, upstreams):
    context.bodies = [f"b{i}" for i in range(bodies)]
    context.poison = set(context.bodies[:poison])
    context.upstreams = upstreams


@when("they are sent repeatedly with seed {seed:d}")
def send_again(context, seed):
    """Runs rounds in which each upstream runs a few bodies at once."""
    rng = random.Random(seed)
    suspects_held = suspects.Suspects()
    context.suspects, context.crashes = suspects_held, 0
    waiting = list(context.bodies)
    for now_ms in range(0, 40_000, 100):
        waiting = [
            body
            for body in waiting
            if suspects_held.verdict(body, now_ms)
            is not suspects.Verdict.POISONOUS
        ]
        rng.shuffle(waiting)
        for _ in range(context.upstreams):
            in_flight = []
            for body in list(waiting):
                suspect = suspects_held.verdict(body, now_ms)
                must_wait = suspect is suspects.Verdict.SUSPECT and any(
                    suspects_held.verdict(other, now_ms)
                    is suspects.Verdict.SUSPECT
                    for other in in_flight
                )
                if len(in_flight) < 5 and not must_wait:
                    in_flight.append(body)
                    waiting.remove(body)
            crashing = [body for body in in_flight if body in context.poison]
            if crashing:
                context.crashes += 1
                suspects_held.record_crash(in_flight, now_ms)
            else:
                for body in in_flight:
                    suspects_held.record_completion(body, now_ms)
            waiting += in_flight
    context.now_ms = 40_000


@then(
    "every crashing body is poisonous after at most {crashes:d} crashes"
    " in total"
)
def check_found(context, crashes):
    for body in context.poison:
        found = context.suspects.verdict(body, context.now_ms)
        assert found is suspects.Verdict.POISONOUS, body
    assert context.crashes <= crashes, context.crashes


@then("at most {wrong:d} other bodies are poisonous and the rest are clear")
def check_cleared(context, wrong):
    found = [
        context.suspects.verdict(body, context.now_ms)
        for body in set(context.bodies) - context.poison
    ]
    assert found.count(suspects.Verdict.POISONOUS) <= wrong, found
    assert suspects.Verdict.SUSPECT not in found


@when("suspects see {events}")
def suspects_see(context, events):
    context.suspects, context.now_ms = suspects.Suspects(), 0
    for event in events.split():
        kind, _, names = event.partition(":")
        if kind == "wait":
            context.now_ms += int(names)
        elif kind == "crash":
            context.suspects.record_crash(names.split(","), context.now_ms)
        elif kind == "done":
            context.suspects.record_completion(names, context.now_ms)
        else:
            verdict, _, name = names.partition(":")
            context.suspects.apply_verdict(
                name, suspects.Verdict(verdict), 600_000, context.now_ms
            )


@then('the verdict on "{name}" is {verdict}')
def check_verdict(context, name, verdict):
    found = context.suspects.verdict(name, context.now_ms)
    assert found.value == verdict, found


@when("{count:d} bodies crash one after another")
def crash_many(context, count):
    context.suspects = suspects.Suspects()
    for index in range(count):
        context.suspects.record_crash([f"b{index}"], index)
    context.newest = (f"b{count - 1}", count)


@then("at most {most:d} are kept and the newest is a suspect")
def check_bounded(context, most):
    assert len(context.suspects.records) <= most
    found = context.suspects.verdict(*context.newest)
    assert found is suspects.Verdict.SUSPECT


@when("a breaker sees {events}")
def breaker_sees(context, events):
    found, now_ms = breaker.Breaker(), 0
    for event in events.split():
        if event == "f":
            found = breaker.record_failure(found, now_ms)
        elif event == "u":
            found = breaker.record_unreachable(found, now_ms)
        elif event == "s":
            found = breaker.record_success(found)
        elif event == "b":
            found = breaker.record_start(found, now_ms)
        else:
            now_ms += int(event[1:])
    context.breaker, context.now_ms = found, now_ms


@then("it is {state} and allows a request: {allowed}")
def check_breaker(context, state, allowed):
    found = breaker.state(context.breaker, context.now_ms)
    assert found.value == state, found
    may = breaker.allows_request(context.breaker, context.now_ms)
    assert may == (allowed == "yes")


@given(
    "an upstream that took {usual:d} ms 80 times and then {recent:d} ms"
    " {count:d} times"
)
def slowdown_detector(context, usual, recent, count):
    context.detector = breaker.SlowdownDetector()
    for value in [usual] * 80 + [recent] * count:
        context.detector.observe(value)


@then("beside a pool of {pool} it is reported as slow: {slow}")
def check_slow(context, pool, slow):
    medians = [] if pool == "-" else [float(v) for v in pool.split(",")]
    found = context.detector.is_slow(breaker.pool_median_ms(medians))
    assert found == (slow == "yes")


@when("500 queues with seed {seed:d} overflow")
def overflow(context, seed):
    rng = random.Random(seed)
    context.results = []
    for _ in range(500):
        queue = [
            shed.Waiting(
                f"r{i}",
                rng.randrange(3),
                0,
                rng.randrange(9),
                rng.randrange(50),
            )
            for i in range(rng.randrange(9))
        ]
        bounds = (rng.randrange(1, 8), rng.randrange(1, 200))
        removed = shed.find_overflow(queue, *bounds)
        context.results.append((queue, bounds, removed))


@then("as few as needed are removed, lowest tier and newest first")
def check_overflow(context):
    overflowing = 0
    for queue, (most, most_bytes), removed in context.results:
        kept = list(queue)
        expected = []
        while len(kept) > most or sum(w.body_bytes for w in kept) > most_bytes:
            last = kept[0]
            for request in kept:
                if (
                    request.tier_rank,
                    request.accepted_ms,
                    request.request_id,
                ) > (
                    last.tier_rank,
                    last.accepted_ms,
                    last.request_id,
                ):
                    last = request
            kept.remove(last)
            expected.append(last)
        assert list(removed) == expected
        overflowing += bool(expected)
    assert overflowing > 100


@then(
    'a request of rank 1 with answers "{own}" and urgent answers'
    ' "{standing}"'
    " may be shed: {may}, as a last resort: {last}"
)
def check_shed(context, own, standing, may, last):
    answers = dict(re.findall(r"(\w):(\w*)", own))
    standings = {
        agent: [shed.UrgentAnswer(int(rank), reason)]
        for agent, rank, reason in re.findall(r"(\w):(\d):(\w+)", standing)
    }
    assert shed.may_shed(1, answers, standings) == (may == "yes")
    assert shed.may_shed(1, answers, standings, True) == (last == "yes")


@given(
    "a cache of {blocks:d} blocks whose events come 300 ms late and"
    " {loss:d}% are lost"
)
def cache(context, blocks, loss):
    tokens = blocks * prefix_cache.prefix.BLOCK_WORDS
    context.cache = prefix_cache.PrefixCache(tokens, 300, loss / 100, 1)
    context.index = prefix_index.PrefixIndex(64, max_keys=600)


@when(
    "{count:d} prompts of {families:d} families are dispatched"
    " with seed {seed:d}"
)
def dispatch_prompts(context, count, families, seed):
    rng = random.Random(seed)
    context.errors = []
    seen, context.largest = 0, 0
    for turn in range(count):
        now_ms = turn * 200
        family = min(rng.randrange(families), rng.randrange(families))
        # The first blocks are the family's, the last is the prompt's own.
        length = 4 + family % 9
        keys = [family * 1000 + block for block in range(length)]
        keys.append(10**6 + turn)
        truth = context.cache.match(keys)
        guess = context.index.cached_tokens(keys) // 64
        context.errors.append(abs(truth - guess))
        context.cache.store(keys, now_ms)
        context.index.record_dispatch(keys, now_ms)
        for event in context.cache.events_after(seen, now_ms):
            seen = event.number
            if event.kind == prefix_cache.STORED:
                context.index.apply_stored(seen, event.keys, now_ms)
            else:
                context.index.apply_removed(seen, event.keys, now_ms)
        context.largest = max(context.largest, len(context.index.used_ms))


@then("at least {right:d}% of the estimates are within a block of the cache")
def check_estimates(context, right):
    good = sum(error <= 1 for error in context.errors)
    assert good >= right / 100 * len(context.errors), good


@then("the index never holds more than {most:d} keys")
def check_index_size(context, most):
    assert context.largest <= most


@when("a prefix index sees {events}")
def index_sees(context, events):
    index, now_ms = prefix_index.PrefixIndex(64), 0
    for event in events.split():
        kind, number, keys = re.match(
            r"([a-z])(\d*):?([\d,]*)", event
        ).groups()
        block_keys = [int(key) for key in keys.split(",") if key]
        if kind == "w":
            now_ms += int(number)
        elif kind == "d":
            index.record_dispatch(block_keys, now_ms)
        elif kind == "s":
            index.apply_stored(int(number), block_keys, now_ms)
        elif kind == "r":
            index.apply_removed(int(number), block_keys, now_ms)
        elif kind == "c":
            index.apply_cleared(int(number))
        else:
            index.reset()
    context.index = index


@then('it expects {tokens:d} cached tokens of "1 2 3"')
def check_cached(context, tokens):
    assert context.index.cached_tokens((1, 2, 3)) == tokens
