from behave import given
from behave import then
from behave import when

from features.support import gateway_world
from godwitloft import attempt as attempts
from godwitloft.gateway import options

SLOTS = 8
FIRST_DATA_MS = 250
RUN_MS = 1000
TARGET_MS = 400
STEP_MS = 5
# Time until the gateway has estimated the time to first data.
SETTLING_MS = 4000


class Load:
    """Callers and engines of a gateway on a simulated clock."""

    def __init__(self, policies=gateway_world.NO_POLICIES):
        self.world = gateway_world.World(("model", "model"), policies=policies)
        self.callers = []
        self.begun = {}
        self.ended = {}
        self.played = 0

    @property
    def now_ms(self):
        return self.world.clock.monotonic_ms()

    def ask(self):
        name = f"r{len(self.callers)}"
        caller = self.world.ask(name, "class", left_ms=5000)
        self.callers.append((name, self.now_ms, caller))

    def play(self, sent):
        """Answers as an engine does."""
        name = sent.headers[gateway_world.DIALECT.request_id].decode()

        def begin():
            if not sent.cancelled:
                sent.head(200)
                self.begun[name] = self.now_ms
                sent.callbacks.on_data(b"id: 1\ndata: x\n\n")

        def end():
            if not sent.cancelled:
                sent.callbacks.on_data(b"id: 2\ndata: y\n\n")
                sent.end(attempts.End.COMPLETE)

        later = self.world.reactor.callLater
        later(FIRST_DATA_MS / 1000, begin)
        later(RUN_MS / 1000, end)

    def step(self):
        self.world.reactor.advance(STEP_MS / 1000)
        self.world.confirm()
        if self.now_ms % gateway_world.TICK_MS == 0:
            self.world.gateway.tick()
        while self.played < len(self.world.sent):
            self.play(self.world.sent[self.played])
            self.played += 1
        for name, _asked_ms, caller in self.callers:
            if name not in self.ended and caller.status is not None:
                self.ended[name] = (self.now_ms, caller.status)

    def refused_after_ms(self):
        """Returns how long each refused caller waited after settling."""
        settled_ms = self.callers[0][1] + SETTLING_MS
        return [
            self.ended[name][0] - asked_ms
            for name, asked_ms, _caller in self.callers
            if self.ended.get(name, (0, 0))[1] == 503
            and asked_ms >= settled_ms
        ]

    def run(self, per_s, duration_ms):
        due = 0.0
        for _ in range(duration_ms // STEP_MS):
            due += per_s * STEP_MS / 1000
            while due >= 1:
                due -= 1
                self.ask()
            self.step()


@given("a gateway with two engines of 4 slots that promises turns")
def start_with_turns(context):
    policies = options.LoadPolicies(retry_turns=True)
    context.load = Load(policies)


@given("a gateway with two engines of 4 slots")
def world(context):
    context.load = Load()


@when("callers send {load:g} times their capacity for 12 s")
def ask(context, load):
    context.seconds = 12
    context.load.run(load * SLOTS * 1000 / RUN_MS, 12_000)


@when("{count:d} requests arrive at once and no more")
def ask_at_once(context, count):
    for _ in range(count):
        context.load.ask()
    context.load.run(0, 4000)


@then("at least {used:g} of their capacity was used")
def check_used(context, used):
    possible = SLOTS * (context.seconds * 1000 - FIRST_DATA_MS) / RUN_MS
    assert len(context.load.begun) >= used * possible, (
        len(context.load.begun),
        possible,
    )


@then("at least {timely:g} of the answers began on time")
def check_timely(context, timely):
    load = context.load
    start_ms = load.callers[0][1]
    waits = [
        load.begun[name] - asked_ms
        for name, asked_ms, _caller in load.callers
        if name in load.begun and asked_ms >= start_ms + SETTLING_MS
    ]
    share = sum(wait <= TARGET_MS for wait in waits) / len(waits)
    assert share >= timely, (share, sorted(waits))


@then("at most one in 10 refused callers waited for more than {held:d} ms")
def check_held(context, held):
    times = context.load.refused_after_ms()
    longer = [time_ms for time_ms in times if time_ms > held]
    assert len(longer) <= len(times) / 10, (len(longer), len(times))


@then(
    "at least {share:g} of the refused callers were refused within {most:d} ms"
)
def check_at_once(context, share, most):
    times = context.load.refused_after_ms()
    at_once = [time_ms for time_ms in times if time_ms <= most]
    assert len(at_once) >= share * len(times), (len(at_once), sorted(times))


@then("all of them are answered")
def check_all(context):
    load = context.load
    assert [status for _, status in load.ended.values()] == [200] * len(
        load.callers
    ), load.ended


@given(
    "a gateway with one service upstream of 4 slots, where late requests get"
    " no slots"
)
def full_service(context):
    context.load = Load()
    context.load.world = world = gateway_world.World(("desk",))
    load = world.gateway.admission.load_of("desk")
    load.late_wait_failed_ms = world.clock.monotonic_ms()


@when(
    'a "lookup" and {count:d} "post" requests run there, and {pause:d} ms'
    ' later a "post" waits'
)
def fill(context, count, pause):
    world = context.load.world
    context.lookup = world.ask("lookup", "lookup")
    for number in range(count):
        world.ask(f"post-{number}", "post")
    assert len(world.sent) == 1 + count, world.sent
    world.advance(pause)
    world.ask("waiting", "post")
    assert len(world.sent) == 1 + count, world.sent


@when(
    'the upstream breaks the connection of the "lookup", and {pause:d} ms pass'
)
def break_off(context, pause):
    world = context.load.world
    world.sent[0].end(attempts.End.BROKEN)
    world.advance(pause)


@then('the "lookup" has no answer yet')
def check_unanswered(context):
    assert context.lookup.status is None, context.lookup.received


@when('one "post" is answered')
def answer_post(context):
    context.load.world.sent[1].answer(body=b"done")


@then('the "lookup" is sent again')
def check_sent_again(context):
    assert context.load.world.sent[-1].outgoing.target == b"/lookup/x"
    assert len(context.load.world.sent) == 6, context.load.world.sent


@when("a request is refused because {reason}")
def refuse_many(context, reason):
    world = context.load.world
    context.returns_ms = []
    for number in range(100):
        caller = world.ask(f"r{number}", "class", left_ms=5000)
        request = next(iter(world.gateway.running), None)
        assert request is not None, caller.received
        admission = world.gateway.admission
        refusal = admission.rejection(request, reason)
        context.returns_ms.append(refusal.retry_after_ms)
        caller.leave()


@then("its caller is told to retry after {least:d} ms to {most:d} ms")
def check_return(context, least, most):
    found = sorted(context.returns_ms)
    assert least <= found[0] <= found[-1] <= most, found
