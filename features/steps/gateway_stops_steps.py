import dataclasses
import re
import socket

from behave import given
from behave import then
from behave import when

from features.support import gateway_world
from features.support import logs
from features.support import slow_caller
from features.support import wire_answers
from features.support import wire_upstream
from godwitloft.gateway import daemon as daemons

LONG_MS = 60_000
HEAD = (
    b"POST /lookup/x HTTP/1.1\r\nHost: h\r\n"
    b"Godwitloft-Request-Id: %d\r\nAuthorization: Token key\r\n"
    b"Content-Length: 4\r\n\r\n"
)
REQUEST = HEAD + b"body"


class Source:
    """Stands for what the gateway follows."""

    def start(self):
        pass

    stop = start


@given("a gateway process whose callers read slowly")
def process(context):
    run_process(context, wire_upstream.WireWorld())
    times = context.world.gateway.shutdown.run_times
    for route in gateway_world.ROUTES:
        times.learn(route, 100)


def run_process(context, world):
    context.world = world
    context.log = logs.record(context)
    context.daemon = daemons.GatewayDaemon(
        world.reactor,
        world.clock,
        world.gateway,
        daemons.ConfigurationSource(Source().start, Source().stop),
        daemons.ListenOptions("127.0.0.1", 0, None, None, lambda: b""),
    )
    context.ended = []


def connect(context):
    context.caller = slow_caller.SlowCaller(context.daemon.caller_factory)


@when("the process is stopped")
def stop(context):
    context.daemon.drain(lambda: context.ended.append(True))


@when("{duration_ms:d} ms more pass")
def passing(context, duration_ms):
    context.world.advance(duration_ms)


@when(
    'the process is stopped and a slow caller requests "{route}"'
    " {later_ms:d} ms later"
)
def ask_later(context, route, later_ms):
    connect(context)
    stop(context)
    context.world.advance(later_ms - 25)
    context.caller.ask("a", route)
    (context.sent,) = context.world.sent
    context.world.advance(25)


@when("its upstream is heard so: {state}")
def hear(context, state):
    if state == "nothing has come":
        return
    sent = context.sent
    sent.accepts = []
    sent.receive(wire_answers.complete_answer(sent, "close"))
    sent.close()


@when("the slow caller reads all")
def read_all(context):
    context.caller.read_all()


@when("a slow caller sends a request up to the middle of its {part}")
def send_part(context, part):
    connect(context)
    middle = len(HEAD) - 10 if part == "head" else len(REQUEST) - 2
    whole = REQUEST % 1
    context.caller.send(whole[:middle])
    context.rest = whole[middle:]


@when("the slow caller sends the rest")
def send_rest(context):
    context.caller.send(context.rest)


@when("a slow caller's request has arrived and isn't read yet")
def arrive(context):
    connect(context)
    near, context.far = socket.socketpair()
    context.add_cleanup(near.close)
    context.add_cleanup(context.far.close)
    context.far.send(REQUEST % 1)
    context.near = near
    context.caller.transport.getHandle = lambda: near


@then("the slow caller's connection is open")
def check_open(context):
    assert not context.caller.closed


@when("it is read")
def read_arrived(context):
    context.caller.send(context.near.recv(1000))


@when('a slow caller sends {count:d} requests of "lookup" at once')
def send_several(context, count):
    connect(context)
    context.caller.send(b"".join(REQUEST % i for i in range(count)))


@when("the requests that were sent on are answered")
def answer_all(context):
    for sent in context.world.sent:
        sent.receive(wire_answers.complete_answer(sent, "length"))


@then("the process has ended: {ended}")
def check_ended(context, ended):
    assert bool(context.ended) == (ended == "yes")


@then("the slow caller has a whole answer of {count:d} events")
def check_whole(context, count):
    received = context.caller.received
    assert wire_answers.is_whole(received), received
    assert received.count(b"data: ") == count, received


@then("the slow caller has status {status:d}")
def check_status(context, status):
    assert context.caller.status == status, context.caller.received


@then("the slow caller has {count:d} answers")
def check_answers(context, count):
    received = context.caller.received
    found = re.findall(rb"HTTP/1.1 (\d+)", received)
    assert len(found) == count, received


def refuse(sent):
    sent.receive(
        sent.answer_head(
            b"content-length: 0",
            b"godwitloft-not-executed: 1",
            status=b"503 Full",
        )
    )


def send_two(sent):
    sent.receive(wire_answers.first_part(sent, "chunks"))


def break_later(sent):
    send_two(sent)
    sent.close(clean=False)


DEEDS = {
    "refuses it as not run": refuse,
    "breaks off before its answer": lambda sent: sent.close(clean=False),
    "breaks off after two events": break_later,
    "sends two events": send_two,
}


@given('requests of "{route}" now take {takes_ms:d} ms')
def set_run_time(context, route, takes_ms):
    run_times = context.world.gateway.shutdown.run_times
    run_times.longest_ms[route] = takes_ms


@given("all upstreams are away")
def take_all_away(context):
    context.world.gateway.update_upstreams({})


@when("all upstreams are back")
def bring_back(context):
    context.world.gateway.update_upstreams(context.world.upstreams)


@when(
    "the process is stopped and a slow caller with {left_ms:d} ms waits for"
    ' "{route}" {later_ms:d} ms later'
)
def wait_later(context, left_ms, route, later_ms):
    connect(context)
    stop(context)
    context.world.advance(later_ms)
    context.caller.ask("a", route, left_ms=left_ms)
    assert not context.world.sent


@when("its upstream does this: {deed}")
def do(context, deed):
    DEEDS[deed](context.sent)


@then("it was sent to {count:d} upstreams")
def check_sent(context, count):
    assert len(context.world.sent) == count, context.world.sent


@then("the slow caller was told: {told}")
def check_told(context, told):
    caller = context.caller
    if told == "nothing yet":
        assert not caller.received, caller.received
    elif told == "a cut answer":
        assert caller.status == 200, caller.received
        assert caller.closed
        assert not wire_answers.is_whole(caller.received), caller.received
    else:
        assert caller.status == int(told), caller.received


KB = 1000
EVENT_KB = 50
FILLER = b"x" * (EVENT_KB * KB)


class Answer:
    """A long answer, of which more is sent as long as it is read."""

    def __init__(self, sent, size_kb):
        self.sent = sent
        self.size_kb = size_kb
        self.sent_kb = 0
        sent.receive(sent.answer_head(wire_answers.CHUNKED))

    @property
    def is_read(self):
        return self.sent.transport.producerState == "producing"

    def send(self):
        while self.sent_kb < self.size_kb and self.is_read:
            self.sent_kb += EVENT_KB
            event = b"id: %d\ndata: %s\n\n" % (self.sent_kb, FILLER)
            self.sent.receive(wire_answers.chunk(event))
            if self.sent_kb == self.size_kb:
                self.sent.receive(b"0\r\n\r\n")


@when(
    '{count:d} slow callers request "{route}", which answers with'
    " {size_kb:d} kB"
)
def request_long(context, count, route, size_kb):
    context.callers = []
    for number in range(count):
        connect(context)
        context.caller.ask(f"r{number}", route, left_ms=LONG_MS)
        context.callers.append(context.caller)
    context.answers = [Answer(sent, size_kb) for sent in context.world.sent]
    for answer in context.answers:
        answer.send()


@then("the upstream of each can't send all")
def check_held(context):
    assert all(each.sent_kb < each.size_kb for each in context.answers)


@then("the upstream of each has sent all: {all_sent}")
def check_sent_all(context, all_sent):
    for answer in context.answers:
        answer.send()
        found = answer.sent_kb == answer.size_kb
        assert found == (all_sent == "yes"), answer.sent_kb


@then("no caller has more than {most_kb:d} kB in the process")
def check_unsent(context, most_kb):
    for caller in context.callers:
        unsent = len(caller.transport.unsent)
        assert unsent <= most_kb * KB, unsent


@when("the slow callers read all")
def read_all_of_all(context):
    for caller in context.callers:
        caller.read_all()


@then("each slow caller has a whole answer of {size_kb:d} kB: {is_whole}")
def check_all_whole(context, size_kb, is_whole):
    for caller in context.callers:
        received = caller.received
        found = received.endswith(b"\r\n0\r\n\r\n") and (
            received.count(FILLER) * EVENT_KB == size_kb
        )
        assert found == (is_whole == "yes"), len(received)


def configure(context, change):
    before = gateway_world.configuration(version=2)
    context.world.gateway.config_state.configure(change(before))


def drop_routes(context):
    configure(context, lambda before: dataclasses.replace(before, routes=()))


def withdraw_key(context):
    configure(context, lambda _before: gateway_world.configuration(2, ()))


def lower_limit(context):
    configure(
        context,
        lambda _before: gateway_world.configuration(2, tokens_per_s=0.1),
    )


def let_all_leave(context):
    context.world.gateway.update_upstreams(
        {
            name: dataclasses.replace(upstream, leaving=True)
            for name, upstream in context.world.upstreams.items()
        }
    )


def lose_store(context):
    context.world.confirm = lambda: None


CHANGES = {
    "its route is dropped": drop_routes,
    "its key is withdrawn": withdraw_key,
    "its team's limit is lowered": lower_limit,
    "all upstreams are leaving": let_all_leave,
    "the list of upstreams becomes empty": take_all_away,
    "the store is away": lose_store,
    "nothing changes": lambda _context: None,
}


@when("meanwhile {change}")
def change_something(context, change):
    CHANGES[change](context)


@when("its upstream answers, framed by {framing}")
def answer_whole(context, framing):
    sent = context.sent
    sent.receive(wire_answers.complete_answer(sent, framing))
    wire_answers.close_if_open(sent)


@when("the process is stopped and another caller has a request running")
def stop_beside_running(context):
    connect(context)
    context.caller.ask("other", "draft")
    stop(context)


@when('a slow caller with a kept connection requests "{route}"')
def ask_kept(context, route):
    connect(context)
    context.world.sent.clear()
    context.caller.ask("kept", route)


@when("its own request is answered if it was sent")
def answer_own(context):
    for sent in context.world.sent:
        sent.receive(wire_answers.complete_answer(sent, "length"))


@given("a new gateway process without {lacks}")
def new_process(context, lacks):
    world = wire_upstream.WireWorld(is_new=True)
    run_process(context, world)
    world.sharing.start.restore({}, 0)
    world.sharing.start.join()
    world.confirm()
    if lacks != "the configuration":
        world.gateway.config_state.configure(gateway_world.configuration())
    if lacks != "the list of upstreams":
        world.gateway.update_upstreams(world.upstreams)


@when("the configuration comes")
def configuration_comes(context):
    configure(context, lambda before: before)


@when("the list of upstreams comes")
def list_comes(context):
    context.world.gateway.update_upstreams(context.world.upstreams)


@given("three upstreams of each service")
def three_upstreams(context):
    world = wire_upstream.WireWorld(("desk", "model") * 3)
    run_process(context, world)
    for route in gateway_world.ROUTES:
        set_run_time(context, route, 100)


@when(
    "each attempt before number {number:d} is refused as not run after"
    " {after_ms:d} ms"
)
def refuse_before(context, number, after_ms):
    for _ in range(number - 1):
        context.world.advance(after_ms)
        refuse(context.world.sent[-1])
        context.world.advance(25)


@when("the last attempt is answered, framed by {framing}")
def answer_last(context, framing):
    context.sent = context.world.sent[-1]
    answer_whole(context, framing)


@when("its upstream resets it after two events, framed by {framing}")
def reset_midway(context, framing):
    context.sent.receive(wire_answers.first_part(context.sent, framing))
    context.sent.close(clean=False)
    context.world.advance(25)


@when("the last attempt sends event 3, framed by {framing}")
def send_third(context, framing):
    sent = context.world.sent[-1]
    assert sent is not context.sent
    body = wire_answers.events(3, 3)
    sent.receive(wire_answers.complete_answer(sent, framing, body))
    wire_answers.close_if_open(sent)


@given("streams that must be on record before their first event")
def need_record(context):
    context.world.gateway.bases.has_store = True


def send_part_and_reset(sent, framing):
    sent.receive(wire_answers.first_part(sent, framing))
    sent.close(clean=False)


def send_whole(sent, framing):
    sent.receive(wire_answers.complete_answer(sent, framing))
    wire_answers.close_if_open(sent)


HELD = {
    "all has come": send_whole,
    "a part has come": lambda sent, framing: sent.receive(
        wire_answers.first_part(sent, framing)
    ),
    "it was reset after a part": send_part_and_reset,
}


@when("its upstream's answer is held back: {state}, framed by {framing}")
def hold_back(context, state, framing):
    HELD[state](context.sent, framing)
