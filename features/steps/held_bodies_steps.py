import gc
import tracemalloc

from behave import given
from behave import then
from behave import when

from features.support import gateway_world
from features.support import slow_caller
from godwitloft.gateway.callers import unsent_bound


def send(world, size, route="post"):
    caller = gateway_world.Caller(world)
    caller.send(
        b"POST /%s/x HTTP/1.1\r\nHost: h\r\nGodwitloft-Request-Id: a\r\n"
        b"Godwitloft-Deadline-Ms: 4000\r\nAuthorization: Token key\r\n"
        b"Content-Length: %d\r\n\r\n" % (route.encode(), size)
    )
    part = size // 4
    for _ in range(4):
        caller.send(bytes(part))
    return caller


def end(world, caller, how):
    if how == "their callers leave":
        caller.leave()
    elif how == "answered by a failure":
        world.sent[0].answer(500)
    elif how == "answered":
        world.sent[0].answer()
    world.sent.clear()


@when(
    "{count:d} requests with a body of {size:d} bytes end while no garbage is"
    " collected: {how}"
)
def end_all(context, count, size, how):
    world = context.world
    gc.collect()
    gc.disable()
    context.add_cleanup(gc.enable)
    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)
    before, _ = tracemalloc.get_traced_memory()
    for _ in range(count):
        caller = send(world, size, "none" if how == "refused" else "post")
        end(world, caller, how)
    del caller
    context.held = tracemalloc.get_traced_memory()[0] - before


@then("they hold less than {most:d} bytes")
def check_held(context, most):
    assert context.held < most, context.held


@when(
    "{count:d} callers send a body of {size:d} bytes each, and none is"
    " answered"
)
def send_many(context, count, size):
    world = context.world
    world.sent.clear()
    context.callers = [send(world, size) for _ in range(count)]


@then("{waiting:d} of them wait, and {refused:d} are told to come back")
def check_refused(context, waiting, refused):
    callers = context.callers
    found = [caller for caller in callers if caller.status == 503]
    assert len(found) == refused, [caller.status for caller in callers]
    for caller in found:
        assert b"retry-after" in caller.received.lower(), caller.received
    assert sum(caller.status is None for caller in callers) == waiting


@when("those that wait are answered")
def answer_waiting(context):
    while context.world.sent:
        context.world.sent.pop(0).answer()


@when(
    "{count:d} callers send a body of {size:d} bytes in one piece, and leave"
)
def send_too_much(context, count, size):
    world = context.world
    for _ in range(count):
        caller = gateway_world.Caller(world)
        # A real connection closes only later, and what came is read before.
        caller.transport.loseConnection = lambda: None
        # In chunks, so that the size shows only as it comes.
        chunk = b"%x\r\n%s\r\n" % (100_000, bytes(100_000))
        caller.send(
            b"POST /post/x HTTP/1.1\r\nHost: h\r\nGodwitloft-Request-Id: a\r\n"
            b"Godwitloft-Deadline-Ms: 4000\r\nAuthorization: Token key\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n" + chunk * (size // 100_000)
        )
        assert caller.status in (413, 503), caller.received
        caller.leave()


@when("a caller sends a body of {size:d} bytes in chunks of two bytes")
def send_small_chunks(context, size):
    context.caller = gateway_world.Caller(context.world)
    context.caller.send(
        b"POST /post/x HTTP/1.1\r\nHost: h\r\nGodwitloft-Request-Id: a\r\n"
        b"Godwitloft-Deadline-Ms: 4000\r\nAuthorization: Token key\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)
    before, _ = tracemalloc.get_traced_memory()
    for _ in range(size // 2000):
        context.caller.send(b"2\r\nab\r\n" * 1000)
    context.held = tracemalloc.get_traced_memory()[0] - before
    assert context.caller.protocol.exchange.body == b"ab" * (size // 2)


@given("a gateway with two upstreams of each service and {slots:d} slots")
def start_large(context, slots):
    context.world = gateway_world.World()
    context.world.gateway.update_upstreams(
        {
            f"u{number}": gateway_world.upstream(
                f"u{number}", service, slots=slots
            )
            for number, service in enumerate(("desk", "desk", "model"))
        }
    )


@when(
    "{count:d} callers read nothing of answers of {size:d} bytes, sent over"
    " {seconds:d} s"
)
def read_nothing(context, count, size, seconds):
    world = context.world
    context.callers = []
    for number in range(count):
        caller = slow_caller.SlowCaller(world.front)
        caller.ask(f"s{number}", "draft", left_ms=60_000)
        context.callers.append(caller)
    assert len(world.sent) == count, len(world.sent)
    context.paused = [False] * count
    for number, sent in enumerate(world.sent):
        sent.pause_reading = pause(context, number)
        sent.head()
    for request in world.gateway.running:
        request.attempt = world.sent[int(request.facts.id[1:])]
    rounds = 2 * seconds
    part = b"data: x\n\n" * (size // rounds // 9)
    context.parts = [0] * count
    for _ in range(rounds):
        for number, sent in enumerate(world.sent):
            if not context.paused[number]:
                context.parts[number] += 1
                sent.callbacks.on_data(part)
        world.front.check_timeouts()
        world.reactor.advance(0.5)
    context.rounds = rounds


def pause(context, number):
    def pause_reading(paused):
        context.paused[number] = paused

    return pause_reading


@then("the gateway holds at most {most:d} bytes of them")
def check_unsent(context, most):
    held = sum(len(caller.transport.unsent) for caller in context.callers)
    assert 0 < held <= most, held


@then("the answers of {whole:d} callers were read to their ends")
def check_whole(context, whole):
    found = sum(count == context.rounds for count in context.parts)
    assert found == whole, (found, context.parts)


@then(
    "with {free:d} bytes free, {slow:d} slow and {fast:d} fast callers, each"
    " may have {most:d} bytes unsent"
)
def check_share(context, free, slow, fast, most):
    unsent = [unsent_bound.SLOW_BYTES] * slow + [0] * fast
    found = unsent_bound.most_unsent_bytes(free, unsent, 262_144)
    assert found == most, found
