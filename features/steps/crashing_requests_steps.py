from behave import given
from behave import step
from behave import then
from behave import when

from features.support import crashing_engines
from features.support import gateway_world
from features.support import logs
from godwitloft import attempt as attempts
from godwitloft.gateway.crashes import crash_tracker
from godwitloft.gateway.peers import peer_status

SOUND_GAP_MS = 200
MANY_SOUND_GAP_MS = 20
LONG_ANSWER_MS = 4000
# What came later may not have been answered yet.
LAST_ANSWERS_MS = 5500
CRASHES_BEFORE_BOUND = 3
# Of an upstream in the simulated world.
SLOTS = 4


@given("{gateways:d} gateways before {engines:d} engines with {slots:d} slots")
def fleet_with_slots(context, gateways, engines, slots):
    context.engines = crashing_engines.CrashingEngines(
        gateways, engines, slots=slots
    )


@step(
    "{count:d} crashing request comes in turn each {gap_ms:d} ms beside them"
    " for {duration_s:d} s"
)
@step(
    "{count:d} crashing requests come in turn each {gap_ms:d} ms beside them"
    " for {duration_s:d} s"
)
def repeat(context, count, gap_ms, duration_s):
    context.engines.run(
        duration_s * 1000,
        SOUND_GAP_MS,
        repeat_gap_ms=gap_ms,
        repeated=count,
    )


@step(
    "{count:d} crashing request comes in turn each {gap_ms:d} ms for"
    " {duration_s:d} s, and full engines crash beside it"
)
def repeat_beside_crashes(context, count, gap_ms, duration_s):
    engines = context.engines
    engines.answer_ms = LONG_ANSWER_MS
    names = list(engines.engines.values())
    for second in range(duration_s):
        engines.run(
            1000,
            MANY_SOUND_GAP_MS,
            repeat_gap_ms=1000 if second * 1000 % gap_ms == 0 else 0,
            repeated=count,
        )
        engines.crash(names[second % len(names)])


@step("all gateways restart at once")
def restart_all(context):
    for number in range(len(context.engines.worlds)):
        context.engines.restart(number)


@step("all gateways restart one after the other")
def restart_each(context):
    for number in range(len(context.engines.worlds)):
        context.engines.restart(number)
        context.engines.run(2000, SOUND_GAP_MS)


@given("a gateway with one upstream of each service, whose slots are taken")
def full(context):
    context.world = gateway_world.World(("desk", "model"))
    for number in range(SLOTS):
        context.world.ask(f"f{number}", "class")
    assert len(context.world.sent) == SLOTS


@when("a request waits, and crashes three upstreams at other gateways")
def wait(context):
    world = context.world
    context.caller = world.ask("w", "draft")
    crash_elsewhere(world, world.gateway.waiting["model"][0])


def crash_elsewhere(world, request):
    """Lets a gateway learn that a request has crashed three upstreams."""
    crashes = world.gateway.retry_policy.crashes
    for number in range(CRASHES_BEFORE_BOUND):
        life = peer_status.Life(f"elsewhere{number}", 1)
        now_ms = world.clock.monotonic_ms()
        broken = crash_tracker.Broken(now_ms, (request.facts.request_cause,))
        crashes.record_broken(life, broken)
        crashes.record_unreachable(life, now_ms)
        world.advance(100)


@given("a gateway with one upstream of each service, and a blamed request")
def blamed_one(context):
    blamed(context, 1)


@given(
    "a gateway with {count:d} upstreams of each service, and a blamed request"
)
def blamed(context, count):
    world = context.world = gateway_world.World(("desk", "model") * count)
    context.log = logs.record(context)
    world.ask("first", "draft")
    (request,) = world.gateway.running
    crash_elsewhere(world, request)
    world.sent[0].end(attempts.End.NOT_SENT)


@when("the blamed request comes each {gap_ms:d} ms for {duration_s:d} s")
def ask_blamed(context, gap_ms, duration_s):
    for number in range(duration_s * 1000 // gap_ms):
        context.world.ask(f"b{number}", "draft")
        context.world.advance(gap_ms)


@then("one of these requests was sent, and the line of its trial has its id")
def check_trial(context):
    (sent,) = context.world.sent[1:]
    (line,) = context.log.fields("GL1311")
    request_id = sent.headers[gateway_world.DIALECT.request_id].decode()
    assert line["request"] == request_id, (line, request_id)
    assert (line["trial"], len(line["causes"])) == (1, 1), line


@step("the upstream of its trial accepts no connection")
def refuse_trial(context):
    (trial,) = context.world.sent[1:]
    trial.end(attempts.End.NOT_SENT)
    context.world.advance(100)


@then("the trial was sent to another upstream, and counted once")
def check_other(context):
    trial, again = context.world.sent[1:]
    assert again.upstream.id != trial.upstream.id
    name = gateway_world.DIALECT.request_id
    assert again.headers[name] == trial.headers[name]
    assert len(context.log.fields("GL1311")) == 1


@when("the slots become free")
def free(context):
    for sent in list(context.world.sent):
        sent.answer()
    context.world.advance(100)


@then("the waiting request is answered with {status:d} and was never sent")
def check_refused(context, status):
    assert context.caller.status == status, context.caller.status
    ids = [
        sent.headers[gateway_world.DIALECT.request_id]
        for sent in context.world.sent
    ]
    assert b"w" not in ids, ids


@then(
    "no crashing request came more than {most:d} times later than 3 s after"
    " its third crash"
)
def check_held(context, most):
    engines = context.engines
    assert engines.crashes_ms
    for cause, crashes_ms in engines.crashes_by.items():
        late_ms = engines.late_arrivals(cause, CRASHES_BEFORE_BOUND)
        assert len(late_ms) <= most, (cause, crashes_ms, late_ms)


@step("answers of {answer_ms:d} ms, and crashing requests with {parts} parts")
def kinds(context, answer_ms, parts):
    engines = context.engines
    engines.answer_ms = answer_ms
    if parts == "shared":
        engines.repeated_parts = lambda number: (f"aa{number % 3}",)


@then(
    "{share:g} of the sound requests are served from {delay_s:d} s after the"
    " last new crashing one"
)
def check_sound(context, share, delay_s):
    engines = context.engines
    last_new_ms = max(times[0] for times in engines.crashes_by.values())
    served = engines.begun_share(
        last_new_ms + delay_s * 1000, engines.now_ms() - LAST_ANSWERS_MS
    )
    assert served >= share, served
