from behave import then
from behave import when

from features.support import former_admission
from features.support import gateway_world
from features.support import scarce_fleet
from godwitloft.policy import retry_hint

RANK = (0, 0)


@when(
    "{count:d} callers with {left:d} ms left are refused behind {ahead:d}"
    " requests at {rate:d} starts a second"
)
def refuse(context, count, left, ahead, rate):
    returns = retry_hint.PromisedReturns()
    context.hints = [
        returns.hint(0, left, ahead, rate, RANK, number % 10 / 10)
        for number in range(count)
    ]


@then(
    "they are told to return after {first:d} to {last:d} ms, {promised:d} of"
    " them for a turn of their own"
)
def check_hints(context, first, last, promised):
    told = sorted(int(hint.after_ms) for hint in context.hints)
    assert first == told[0] and told[-1] <= last, told
    assert sum(hint.promised for hint in context.hints) == promised, told


@then("no two turns are closer than {apart:d} ms")
def check_apart(context, apart):
    turns = sorted(hint.after_ms for hint in context.hints if hint.promised)
    for turn, after in zip(turns, turns[1:], strict=False):
        assert after - turn >= apart, turns


@when("{count:d} promised returns at {rate:d} starts a second are not kept")
def break_promises(context, count, rate):
    context.returns = returns = retry_hint.PromisedReturns()
    for number in range(count):
        returns.hint(number * 1000, 60_000, 0, rate, RANK, 0.0)
    context.now_ms = count * 1000
    returns.drop_overdue(context.now_ms)
    returns.hint(context.now_ms, 60_000, 0, rate, RANK, 0.0)


@then(
    "a new request sees less than {most:g} of a promised return as ahead of it"
)
def check_unkept(context, most):
    ahead = context.returns.count_ahead(context.now_ms + 1000, RANK)
    assert 0 < ahead < most, ahead


@when(
    "callers of a team had up to {longest:d} ms left, and one with {left:d} ms"
    " left arrives {later:d} ms later"
)
def arrive(context, longest, left, later):
    patience = retry_hint.Patience()
    patience.first_sent_ms("team", 100_000, longest)
    for at_ms in range(100_000, 100_000 + later, 20_000):
        patience.first_sent_ms("team", at_ms, left)
    context.arrived_ms = 100_000 + later
    context.first_ms = patience.first_sent_ms("team", context.arrived_ms, left)


@then("it counts as first sent {before:d} ms before it arrived")
def check_first(context, before):
    assert context.arrived_ms - context.first_ms == before, context.first_ms


@when("a request is refused under overload")
def refuse_one(context):
    load = context.load
    load.run(16, 3000)
    world = load.world
    for number in range(20):
        context.refused = world.ask(f"first-{number}", "class")
        if context.refused.status == 503:
            break
    context.refused_ms = load.now_ms
    context.told_ms = scarce_fleet.told_ms(context.refused)


@when(
    "other requests fill the engines and newer ones wait when its caller"
    " returns as told"
)
def come_back(context):
    load = context.load
    world = load.world
    load.run(0, round(context.told_ms) // 5 * 5 + 5)
    # The engines are full, and the first slots are free 100 ms later.
    while len(world.gateway.running) < 8:
        world.ask(f"filling-{len(world.sent)}", "class")
    load.run(0, 900)
    context.number_sent = len(world.sent)
    for number in range(3):
        world.ask(f"newer-{number}", "class")
    left_ms = 5000 - (load.now_ms - context.refused_ms)
    world.ask("retry", "class", left_ms=left_ms)
    load.run(0, 1500)


@then("the retry starts before the newer requests")
def check_first_started(context):
    started = [
        sent.headers[gateway_world.DIALECT.request_id].decode()
        for sent in context.load.world.sent[context.number_sent :]
    ]
    assert started and started[0] == "retry", started


@when(
    "callers with {patience:d} ms send {load:g} times what {engines:d} engines"
    " serve to {gateways:d} gateways for {seconds:d} s"
)
def overload(context, patience, load, engines, gateways, seconds):
    context.fleets = []
    for adapt in (former_admission.restore, lambda _gateway: None):
        fleet = scarce_fleet.ScarceFleet(
            gateways, engines, timeout_ms=patience, adapt=adapt
        )
        per_s = load * engines * scarce_fleet.SLOTS
        fleet.run(seconds * 1000, {"team": per_s}, patience)
        fleet.run(patience)
        context.fleets.append(fleet)


@then("returns in vain are at most {share:g} of those with the former hints")
def check_vain(context, share):
    before, now = (
        sum(max(0, asked.refused - 1) for asked in fleet.asked)
        for fleet in context.fleets
    )
    assert now <= share * before, (now, before)


@then(
    "attempts per request are at most {share:g} of those with the former hints"
)
def check_attempts(context, share):
    before, now = (
        sum(asked.attempts for asked in fleet.asked)
        for fleet in context.fleets
    )
    assert now <= share * before, (now, before)


@then("no fewer requests are served than with the former hints")
def check_served(context):
    before, now = (
        sum(asked.begun_ms is not None for asked in fleet.asked)
        for fleet in context.fleets
    )
    assert now >= before, (now, before)
