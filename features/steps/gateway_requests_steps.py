import dataclasses

from behave import given
from behave import then
from behave import when

from features.support import gateway_world
from godwitloft import attempt as attempts

DIALECT = gateway_world.DIALECT


def event(number):
    return f"id: {number}\ndata: x{number}\n\n".encode()


def events(first, last):
    return b"".join(event(number) for number in range(first, last + 1))


@given("a gateway with two upstreams of each service")
def gateway(context):
    context.world = gateway_world.World()


@given("a gateway with one upstream")
def gateway_before_one(context):
    context.world = gateway_world.World(upstreams=("desk",))


@given("a gateway with no upstreams")
def gateway_alone(context):
    context.world = gateway_world.World(upstreams=())


@given(
    '"{name}" has the target {target_ms:d} ms and the longest pause'
    " {gap_ms:d} ms"
)
def set_times(context, name, target_ms, gap_ms):
    whole = gateway_world.configuration(2)
    routes = [
        dataclasses.replace(route, target_ms=target_ms, max_gap_ms=gap_ms)
        if route.name == name
        else route
        for route in whole.routes
    ]
    context.world.gateway.config_state.configure(
        dataclasses.replace(whole, routes=tuple(routes))
    )


@then("its first data must come within {wait_ms:d} ms")
def check_first_data(context, wait_ms):
    (request,) = context.world.gateway.waiting["model"]
    facts = request.facts
    found = facts.first_data_deadline_ms - facts.arrived_ms
    assert found == wait_ms, found


@when('a caller requests "{route}"')
def ask(context, route):
    context.caller = context.world.ask("a", route)


@when('a caller who waits {left_ms:d} ms requests "{route}"')
def ask_with_time(context, left_ms, route):
    context.caller = context.world.ask("a", route, left_ms=left_ms)


@when('a caller with key "{key}" requests "{route}"')
def ask_with_key(context, key, route):
    context.caller = context.world.ask("a", route, key=key)


@when('a caller sends "{data}"')
def send_bytes(context, data):
    context.caller = gateway_world.Caller(context.world)
    raw = data.replace("\\r", "\r").replace("\\n", "\n").encode()
    context.caller.send(raw)


@when("the upstream accepts no connection")
def no_connection(context):
    context.world.sent[0].end(attempts.End.NOT_SENT)


@when("the upstream states that it did not run it")
def not_run(context):
    proof = ((DIALECT.not_run, b"1"),)
    context.world.sent[0].answer(503, sealed=False, add=proof)


@when("the upstream has been replaced by another process")
def misdirected(context):
    other = ((DIALECT.upstream_id, b"somebody"),)
    context.world.sent[0].answer(421, sealed=False, add=other)


@when("the upstream resets the connection")
def reset(context):
    context.world.sent[0].end(attempts.End.BROKEN)


@when("the upstream fails with 500")
def fails(context):
    context.world.sent[0].answer(500, body=b"failed")


@when("the upstream's answer {what}")
def bad_answer(context, what):
    sent = context.world.sent[0]
    foreign = ((DIALECT.request_id, b"other"),)
    how = {
        "has no seal": {"sealed": False},
        "has another request's id": {
            "drop": (DIALECT.request_id,),
            "add": foreign,
        },
        "has no id": {"drop": (DIALECT.request_id,)},
        "is encoded": {"add": ((b"content-encoding", b"gzip"),)},
    }[what]
    sent.answer(200, body=b"secret", **how)


@then("the request was sent to {count:d} upstreams")
def check_sent(context, count):
    sent = context.world.sent
    assert len(sent) == count, sent
    names = {attempt.upstream.id for attempt in sent}
    assert len(names) == count, names


@when("the upstream that runs it answers successfully")
def answers_well(context):
    if not context.caller.received:
        context.world.sent[-1].answer()


@then("the caller receives status {status:d}")
def check_status(context, status):
    assert context.caller.status == status, context.caller.received
    if status == 503:
        assert b"retry-after" in context.caller.received.lower()


@then("the caller receives nothing of that answer")
def check_nothing(context):
    assert b"secret" not in context.caller.received


@when(
    "the upstream sends events {first:d} to {last:d} and half of the third,"
    " and breaks the connection"
)
def half_stream(context, first, last):
    sent = context.world.sent[0]
    sent.head()
    sent.callbacks.on_data(events(first, last) + event(last + 1)[:6])
    sent.end(attempts.End.BROKEN)


@when(
    "the upstream sends events {first:d} to {last:d} and half of the third,"
    " and then stalls"
)
def silent_stream(context, first, last):
    sent = context.world.sent[0]
    sent.head()
    sent.callbacks.on_data(events(first, last) + event(last + 1)[:6])


@then("the first attempt is cancelled")
def check_cancelled(context):
    assert [attempt.cancelled for attempt in context.world.sent] == [
        True,
        False,
    ]


@then("its attempt is still running")
def check_left_running(context):
    assert [attempt.cancelled for attempt in context.world.sent] == [False]


@then("the second was asked to resume after event {number:d}")
def check_resumed(context, number):
    wanted = str(number).encode()
    assert context.world.sent[1].headers[DIALECT.last_event] == wanted


@when("the second sends events {first:d} to {last:d} and ends")
def second_stream(context, first, last):
    context.world.sent[1].answer(body=events(first, last))


@then(
    "the caller has received events {first:d} to {last:d} once each and a"
    " complete answer"
)
def check_events(context, first, last):
    received = context.caller.received
    for number in range(first, last + 1):
        assert received.count(event(number)) == 1, received
    assert received.count(b"HTTP/1.1 200") == 1, received
    assert received.endswith(b"0\r\n\r\n"), received


@then("the caller's connection ends without the end of the answer")
def check_cut(context):
    assert context.caller.closed
    assert not context.caller.received.endswith(b"0\r\n\r\n")


@when("{duration_ms:d} ms pass at the gateway")
def passing(context, duration_ms):
    context.world.advance(duration_ms)


@when("{duration_ms:d} ms pass without a confirmation of the configuration")
def passing_unproven(context, duration_ms):
    context.world.advance(duration_ms, confirmed=False)


@then("its attempt is {state}")
def check_attempt(context, state):
    sent = context.world.sent
    if state == "never made":
        assert not sent
    else:
        assert [attempt.cancelled for attempt in sent] == [True]


@when("the caller disconnects")
def caller_leaves(context):
    context.caller.leave()


@then("no request is running")
def check_idle(context):
    gateway = context.world.gateway
    assert not gateway.has_requests()
    assert all(state.running == 0 for state in gateway.fleet.states.values())


@then("the gateway isn't ready")
def check_ready(context):
    assert not context.world.gateway.ready()


@when("a configuration without its key takes effect and an upstream is listed")
def without_key(context):
    world = context.world
    world.gateway.config_state.configure(
        gateway_world.configuration(2, keys=())
    )
    listed = {"u0": gateway_world.upstream("u0", "desk")}
    world.gateway.update_upstreams(listed)


@when(
    "configuration {newer:d} without keys arrives and then configuration"
    " {older:d} with keys"
)
def configurations(context, newer, older):
    gateway = context.world.gateway
    gateway.config_state.configure(gateway_world.configuration(newer, keys=()))
    gateway.config_state.configure(gateway_world.configuration(older))


@when('callers request "{first}" and, {gap_ms:d} ms later, "{second}"')
def two_callers(context, first, gap_ms, second):
    context.world.ask("a", first)
    context.world.advance(max(gateway_world.TICK_MS, gap_ms))
    context.world.ask("b", second)


@when("one upstream with one slot is listed")
def one_slot(context):
    listed = {"u0": gateway_world.upstream("u0", "model", slots=1)}
    context.world.gateway.update_upstreams(listed)


@then('"{route}" is sent')
def check_which(context, route):
    targets = [attempt.outgoing.target for attempt in context.world.sent]
    assert targets == [f"/{route}/x".encode()], targets


@when('upstream "{name}" is leaving and an older list says that it isn\'t')
def leaving(context, name):
    world = context.world
    newer = dict(world.upstreams)
    newer[name] = gateway_world.upstream(name, "desk", leaving=True)
    world.gateway.update_upstreams(newer)
    world.gateway.update_upstreams(world.upstreams)


@when('{count:d} callers request "{route}"')
def many_callers(context, count, route):
    for number in range(count):
        context.world.ask(f"m{number}", route)


@then('none of their requests went to "{name}"')
def check_avoided(context, name):
    places = [attempt.upstream.id for attempt in context.world.sent]
    assert places, "nothing was sent"
    assert name not in places, places


@when("the gateway stops accepting requests")
def closes(context):
    context.world.gateway.stop_accepting()


@when(
    "{count:d} callers send the same request and it crashes its upstream"
    " each time"
)
def crash(context, count):
    world = context.world
    for _ in range(count):
        world.ask("a", "post")
        world.sent[-1].end(attempts.End.BROKEN)
        # Another request finds that the upstream accepts no connections.
        world.ask("other", "lookup")
        world.sent[-1].end(attempts.End.NOT_SENT)
        world.advance(5000)
    context.before = len(world.sent)


@then("no upstream received it")
def check_not_sent_again(context):
    assert len(context.world.sent) == context.before


@then('the requests that were sent have the ids "{ids}"')
def check_ids(context, ids):
    sent = [
        attempt.headers[DIALECT.request_id].decode()
        for attempt in context.world.sent
    ]
    assert sent == ids.split(","), sent


@given("a gateway with one engine")
def gateway_before_engine(context):
    context.world = gateway_world.World(upstreams=("model", "model"))
    listed = {"u0": gateway_world.upstream("u0", "model")}
    context.world.gateway.update_upstreams(listed)


def break_off_and_leave(context, service):
    """The upstream breaks the connection while no other has a free slot."""
    world = context.world
    sent = world.sent[0]
    full = gateway_world.upstream("full", service, slots=1)
    world.gateway.update_upstreams({"full": full})
    state = world.gateway.fleet.states["full"]
    state.running = state.started = 1
    sent.end(attempts.End.BROKEN)
    assert len(world.sent) == 1, world.sent
    assert world.gateway.unfinished() == 1
    state.running = 0
    context.another = gateway_world.upstream("new", service)


@when(
    "the engine sends events {first:d} to {last:d}, breaks the connection and"
    " is removed"
)
def engine_breaks_off(context, first, last):
    context.world.sent[0].head()
    context.world.sent[0].callbacks.on_data(events(first, last))
    break_off_and_leave(context, "model")


@when(
    "the upstream breaks the connection and is removed, and the request waits"
    " again"
)
def upstream_breaks_off(context):
    break_off_and_leave(context, "desk")


@when("its key is withdrawn and another engine is listed")
def key_withdrawn(context):
    gateway = context.world.gateway
    gateway.config_state.configure(gateway_world.configuration(2, keys=()))
    gateway.update_upstreams({"new": context.another})


@when("the configuration's confirmation expires and another engine is listed")
@when(
    "the configuration's confirmation expires and another upstream is listed"
)
def proof_lapses(context):
    gateway = context.world.gateway
    gateway.config_state.confirmed_ms -= gateway.options.key_proof_ms
    gateway.update_upstreams({"new": context.another})


@when("the upstream answers {status:d} and doesn't say that it has not run it")
def answer_bare(context, status):
    context.world.sent[0].answer(status, body=b"busy")


@then("the caller was then given {answer}")
def check_bare(context, answer):
    status = None if answer == "no answer" else int(answer)
    assert context.caller.status == status, context.caller.received
    if status == 502:
        assert b"seal" not in context.caller.received


@given('requests of "{route}" that take {takes}')
def learn_run_times(context, route, takes):
    if takes == "an unknown time":
        return
    took_ms = int(takes.split()[0])
    world = context.world
    world.ask("learnt", route, left_ms=60_000)
    sent = world.sent.pop()
    world.advance(took_ms)
    sent.answer()


@when("the gateway must end in {left_ms:d} ms")
def must_end(context, left_ms):
    world = context.world
    world.gateway.start_draining(world.clock.monotonic_ms() + left_ms)


@when(
    "all upstreams are away for {away_ms:d} ms after a caller requests"
    ' "{route}"'
)
def ask_while_away(context, away_ms, route):
    world = context.world
    world.gateway.update_upstreams({})
    context.caller = world.ask("a", route)
    world.advance(away_ms)
    world.gateway.update_upstreams(world.upstreams)
    world.advance(100)


@then("its caller {gets}")
def check_told(context, gets):
    if gets == "waits":
        assert context.caller.status is None, context.caller.received
        return
    assert context.caller.status == 503, context.caller.received
    assert b'"reason": "leaving"' in context.caller.received
    assert b"retry-after" in context.caller.received.lower()


@when("the gateway ends all requests")
@when("the gateway refuses all waiting requests")
def refuses_waiting(context):
    context.world.gateway.end_all()


@when("its deadline passes")
def time_over(context):
    context.world.gateway.update_upstreams({})
    context.world.advance(5100)


@then("none of the later requests went to the upstream of the first")
def check_not_again(context):
    first, *later = [attempt.upstream.id for attempt in context.world.sent]
    assert later, "nothing was sent"
    assert first not in later, later
