import dataclasses
import types

from behave import given
from behave import then
from behave import when
from twisted.internet import error
from twisted.internet import task
from twisted.internet import testing as twisted_testing
from twisted.python import failure

from features.support import gateway_world
from features.support import logs
from features.support import wire
from godwitloft import clock as clocks
from godwitloft.gateway import request as requests
from godwitloft.gateway import retry_budget
from godwitloft.gateway.peers import peer_status
from godwitloft.gateway.placing import arbiter as arbiters
from godwitloft.gateway.upstreams import upstream_signs
from godwitloft.links import datagrams
from godwitloft.links.generated.datagrams import ttypes
from godwitloft.platform import agent as agents
from godwitloft.platform import settings
from godwitloft.platform import store as stores

DIALECT = gateway_world.DIALECT
WALL_MS = 5_000
START_AFTER_MS = 6_000
LEAVING = (DIALECT.leaving, b"1")
NOT_RUN = (DIALECT.not_run, b"1")
PEER = "127.0.0.2"
BOOT = types.SimpleNamespace(
    instance="agent-0", host="127.0.0.1", zone="a", first_port=1
)


@then(
    'Retry-After "{value}" asks for {pause_ms:d} ms, and its error is'
    ' "{error}"'
)
@then('Retry-After "{value}" asks for {pause_ms:d} ms, and its error is ""')
def check_parsed(_context, value, pause_ms, error=""):
    found = upstream_signs.parse_retry_after(value, WALL_MS)
    assert found == upstream_signs.Pause(pause_ms, error), found


@when("the upstream answers {status:d} and says that it is leaving")
def answer_leaving(context, status):
    add = (LEAVING, NOT_RUN) if status == 503 else (LEAVING,)
    context.world.sent[0].answer(status, add=add)
    context.first = context.world.sent[0].upstream


@when('the upstream answers 200 with Server-Leaving "{word}"')
def answer_word(context, word):
    add = ((DIALECT.leaving, word.encode()),)
    context.world.sent[0].answer(200, add=add)


@when("the head of its stream says that the upstream is leaving")
def head_leaving(context):
    context.stream = context.world.sent[0]
    context.stream.head(200, add=(LEAVING,))


@then("its stream goes on to its end")
def stream_ends(context):
    context.stream.callbacks.on_data(b"id: 1\ndata: x\n\n")
    context.stream.end(gateway_world.attempts.End.COMPLETE, "")
    assert context.caller.received.endswith(b"0\r\n\r\n")


def usable(context, service):
    return context.world.gateway.fleet.usable(service)


@then('{count:d} upstreams of "{service}" are usable')
def check_usable(context, count, service):
    assert len(usable(context, service)) == count


@then('{count:d} upstreams of "{service}" take requests')
def check_open(context, count, service):
    now_ms = context.world.clock.monotonic_ms()
    found = [s for s in usable(context, service) if s.is_open(now_ms)]
    assert len(found) == count, found


@when("that upstream is {later}")
def list_later(context, later):
    world = context.world
    upstream = world.sent[0].upstream
    ready = world.upstreams[upstream.id]
    if later.startswith("missing"):
        others = dict(world.upstreams)
        del others[upstream.id]
        world.gateway.update_upstreams(others)
        world.advance(1000)
    wall_ms = world.clock.wall_ms()
    if later == "listed with a later start":
        ready = dataclasses.replace(ready, born_ms=wall_ms + START_AFTER_MS)
    elif later == "listed with a start before it said so":
        ready = dataclasses.replace(ready, born_ms=wall_ms - 1)
    world.upstreams[upstream.id] = ready
    world.gateway.update_upstreams(world.upstreams)


@when('a peer says that upstream "{name}" with start {born:d} is leaving')
def peer_says(context, name, born):
    status = peer_status.PeerStatus(leaving=(peer_status.Life(name, born),))
    sharing = ttypes.Sharing(gateway="g1", demands=[], crashing=[])
    peer_status.encode(status, sharing)
    data = datagrams.encode(sharing=sharing)
    context.world.gateway.on_datagram(datagrams.decode(data), (PEER, 1))


@when('its agent says that upstream "{name}" with start {born:d} is leaving')
def agent_says(context, name, born):
    grant = ttypes.SlotGrant(
        upstream=name,
        gateway="g0-1",
        agent="a",
        sequence=1,
        start_limit=0,
        unread_elsewhere=0,
        leaving_born_ms=born,
    )
    data = datagrams.encode(grant=grant)
    context.world.gateway.on_datagram(datagrams.decode(data), (PEER, 1))


@given("a peer of the gateway")
def has_peer(context):
    context.world.gateway.update_gateways({"g1": PEER})


@then("the peer has been told that it is leaving")
def check_told(context):
    context.world.gateway.announce()
    told = [
        peer_status.decode(datagrams.decode(data).sharing).leaving
        for data, where in context.world.datagrams
        if where[0] == PEER and datagrams.decode(data).sharing is not None
    ]
    life = peer_status.Life(context.first.id, context.first.born_ms)
    assert (life,) in told, told


@when('both upstreams of "{service}" say that they are leaving')
def all_leave(context, service):
    world = context.world
    for state in usable(context, service):
        world.gateway.statements.mark_leaving(state, "answer")


@when('upstream "{name}" of "{service}" is listed')
def list_new(context, name, service):
    world = context.world
    world.upstreams[name] = gateway_world.upstream(name, service)
    world.gateway.update_upstreams(world.upstreams)


@then("its request waits")
def check_waits(context):
    assert not context.caller.received, context.caller.received
    assert context.world.gateway.unfinished() == 1
    assert not context.world.gateway.running


@then('its request was sent to "{name}"')
def check_sent_to(context, name):
    assert context.world.sent[-1].upstream.id == name


@then("its request was sent once")
def check_sent_once(context):
    assert len(context.world.gateway.running) == 1


@when('the upstream refuses it with Retry-After "{value}"')
def refuse(context, value):
    sent = context.world.sent[0]
    add = (NOT_RUN, (upstream_signs.RETRY_AFTER, value.encode()))
    sent.answer(503, sealed=False, add=add)


@when('a caller requests "{route}" each {gap_ms:d} ms for {time_ms:d} ms')
def ask_often(context, route, gap_ms, time_ms):
    world = context.world
    for number in range(time_ms // gap_ms):
        sent = len(world.sent)
        world.ask(f"often{number}", route)
        world.advance(gap_ms)
        for attempt in world.sent[sent:]:
            attempt.answer()


@then("the upstream of the first gets requests again")
def check_used_again(context):
    first, *later = [attempt.upstream.id for attempt in context.world.sent]
    assert first in later, later


@when("another request is being connected to the same upstream")
def connecting(context):
    world = context.world
    while world.sent[-1].upstream.id != "u0" or len(world.sent) < 2:
        world.ask(f"other{len(world.sent)}", "post")
    context.other = world.sent[-1]
    context.other.sent = False
    if world.sent[0].upstream.id != "u0":
        world.sent.reverse()
    assert world.sent[0].upstream.id == "u0"


@then("the other request was taken back and sent elsewhere")
def check_taken_back(context):
    world = context.world
    assert context.other.cancelled
    request_id = context.other.headers[DIALECT.request_id]
    places = [
        attempt.upstream.id
        for attempt in world.sent
        if attempt.headers[DIALECT.request_id] == request_id
    ]
    assert sorted(places) == ["u0", "u1"], places


@when('both upstreams of "{service}" ask for a pause of {seconds:d} s')
def all_pause(context, service, seconds):
    now_ms = context.world.clock.monotonic_ms()
    fleet = context.world.gateway.fleet
    for state in usable(context, service):
        fleet.ask_pause(
            state, seconds * 1000, now_ms, context.world.clock.wall_ms()
        )


@when('{count:d} callers request "{route}" and wait {left_ms:d} ms')
def many_wait(context, count, route, left_ms):
    context.callers = [
        context.world.ask(f"w{number}", route, left_ms=left_ms)
        for number in range(count)
    ]


@when("the upstream resets the connection while the other is full")
def reset_beside_full(context):
    context.log = logs.record(context)
    world = context.world
    for state in usable(context, "desk"):
        if state.upstream.id != world.sent[0].upstream.id:
            state.running = state.upstream.slots
    world.sent[0].end(gateway_world.attempts.End.BROKEN)


@then('the log says that it was refused for "{reason}"')
def check_refused_for(context, reason):
    reasons = [line["reason"] for line in context.log.fields("GL1201")]
    assert reasons == [reason], reasons


@when("the other upstream asks for a pause of {seconds:d} s")
def other_pauses(context, seconds):
    context.log = logs.record(context)
    world = context.world
    sent = world.sent[0].upstream
    now_ms = world.clock.monotonic_ms()
    fleet = world.gateway.fleet
    for state in usable(context, sent.service):
        if state.upstream.id != sent.id:
            fleet.ask_pause(
                state, seconds * 1000, now_ms, world.clock.wall_ms()
            )


@when(
    "its stream begins and stalls, and the other upstream asks for a pause of"
    " {seconds:d} s"
)
def stall_and_pause(context, seconds):
    sent = context.world.sent[0]
    sent.head()
    sent.callbacks.on_data(b"id: 1\ndata: x1\n\n")
    other_pauses(context, seconds)


@then('the log says that it was not retried for "{reason}"')
@then('the log says that it was not retried for ""')
def check_not_retried(context, reason=""):
    found = [line["no_retry"] for line in context.log.fields("GL1201")]
    assert found == ([reason] if reason else []), found


@then("the caller has {answer}")
def check_has(context, answer):
    found = "no answer"
    if context.caller.received:
        found = f"status {context.caller.status}"
    assert found == answer, context.caller.received


def retry_after_s(caller):
    for line in caller.received.split(b"\r\n"):
        name, _, value = line.partition(b": ")
        if name.lower() == b"retry-after":
            return float(value)
    return None


@then(
    "each is refused at once, told to come back {least:d} to {most:d} s later"
)
def check_refused(context, least, most):
    context.told = [retry_after_s(caller) for caller in context.callers]
    assert all(caller.status == 503 for caller in context.callers)
    assert all(least <= told <= most for told in context.told), context.told


@then("they are told at least {count:d} different times")
def check_spread(context, count):
    assert len(set(context.told)) >= count, context.told


@then("at most {count:d} of their requests were sent")
def check_paced(context, count):
    found = len(context.world.sent)
    assert 1 <= found <= count, found


@then("all of their requests were sent")
def check_all_sent(context):
    assert len(context.world.sent) == len(context.callers)
    states = {request.state for request in context.world.gateway.running}
    assert states == {requests.State.SENT}


@given("no retries are left in its budget")
def no_retries(context):
    gateway = context.world.gateway
    gateway.retry_policy.settings = retry_budget.BudgetSettings(10_000, 0, 0)


@given("an agent whose upstream started at {born:d}")
def agent(context, born):
    context.born = born
    reactor = task.Clock()
    reactor.advance(1000)
    context.granted = []
    context.log = logs.record(context)
    context.reactor = twisted_testing.MemoryReactorClock()
    context.agent = agents.AgentDaemon(
        context.reactor, BOOT, settings.Address("127.0.0.1", 9)
    )
    context.agent.clock = clocks.reactor_clock(reactor)
    context.agent.arbiter = arbiters.Arbiter(
        context.agent.clock,
        lambda _ms, callback: callback(),
        lambda data, _where: context.granted.append(datagrams.decode(data)),
        "a-1",
        lambda _upstream: "a",
    )
    reactor.advance(1)
    want = ttypes.SlotWant(
        upstream="u",
        gateway="g",
        sequence=1,
        started=0,
        running=0,
        slots=4,
        waiting=[],
        unread=0,
    )
    context.agent.arbiter.on_datagram(
        datagrams.decode(datagrams.encode(want=want)), (PEER, 1)
    )


@when("its upstream reports {count:d} requests that no gateway claims, twice")
def report_load(context, count):
    for _ in range(2):
        body = b'{"running": %d, "waiting": 0, "born": 7}' % count
        answer_report(context, b"200 OK", body)


def answer_report(context, status, body):
    transport = connect_report(context)
    head = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n" % (
        status,
        len(body),
    )
    transport.protocol.dataReceived(head + body)


def connect_report(context):
    context.agent.request_report()
    factory = context.reactor.tcpClients[-1][2]
    return wire.connect(factory.buildProtocol(None), context)


@when("its next {count:d} reports {fails}")
def reports_fail(context, count, fails):
    for _ in range(count):
        if fails == "time out":
            connect_report(context)
            context.reactor.advance(agents.REPORT_TIMEOUT_MS / 1000)
        elif fails == "are refused with 503":
            answer_report(context, b"503 Busy", b"{}")
        elif fails == "can't be read":
            answer_report(context, b"200 OK", b'{"running": "many"}')
        else:
            context.agent.request_report()
            factory = context.reactor.tcpClients[-1][2]
            refused = failure.Failure(error.ConnectionRefusedError())
            factory.clientConnectionFailed(None, refused)


@then("it counts {count:d} requests that no gateway claims")
def check_unclaimed(context, count):
    found = min(context.agent.arbiter.unclaimed)
    assert found == count, context.agent.arbiter.unclaimed


@then("{count:d} of its log lines tell of a failed report")
def check_report_log(context, count):
    found = context.log.fields("GL1306")
    assert len(found) == count, found


def report(context, born, leaving):
    headers = [LEAVING] if leaving else []
    context.agent.on_headers(200, headers)
    body = {"running": 1, "waiting": 0, "born": born}
    context.agent.on_report(agents.decode_report(stores.Answer(body, 0)))


@when("its report says that it is leaving")
def report_leaving(context):
    report(context, context.born, leaving=True)


@when("its report says nothing")
def report_nothing(context):
    report(context, context.born, leaving=False)


@when(
    "its report says that it is leaving, and the next one of start {born:d}"
    " says nothing"
)
def report_both(context, born):
    report(context, context.born, leaving=True)
    report(context, born, leaving=False)


@then('its grants tell gateways "{told}"')
def check_grant(context, told):
    found = context.granted[-1].grant.leaving_born_ms
    assert str(found or "nothing") == told, found


@when("the list shows a later start of it before it has answered")
def listed_later(context):
    world = context.world
    upstream = world.sent[0].upstream
    later = dataclasses.replace(
        upstream, born_ms=world.clock.wall_ms() - START_AFTER_MS
    )
    world.upstreams[upstream.id] = later
    world.gateway.update_upstreams(world.upstreams)


@when("the upstream answers {status:d} and asks for a pause")
def answer_pause(context, status):
    add = (NOT_RUN, (b"retry-after", b"5"))
    context.world.sent[0].answer(status, add=add)
