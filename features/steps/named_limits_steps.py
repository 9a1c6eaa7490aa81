import dataclasses
import math

from behave import given
from behave import step
from behave import then
from behave import when

from features.support import gateway_world
from features.support import limited_engines
from features.support import logs
from godwitloft.gateway.upstreams import named_limit
from godwitloft.gateway.upstreams import upstream_signs

DIALECT = gateway_world.DIALECT
RESTART_MS = 1500
LIST_DELAY_MS = 1000
DATAGRAM_LOSS = {"are cut off from each other": 1.0, "lose a third": 1 / 3}
LAST_ANSWERS_MS = 1000
EMPTY_ERROR = ""


@given("{gateways:d} gateways before {engines:d} engines that may name limits")
def fleet(context, gateways, engines):
    context.engines = limited_engines.LimitedEngines(gateways, engines)


@step("requests come each {gap_ms:d} ms for {duration_s:d} s")
def come(context, gap_ms, duration_s):
    context.engines.run(duration_s * 1000, gap_ms)


@step('engine "{name}" names a limit of {per_s:g} a second')
def name_limit(context, name, per_s):
    context.engines.name_limit(name, per_s)


@step('engine "{name}" no longer names it')
def take_back(context, name):
    context.engines.name_limit(name, None)


@step("datagrams that take {way_ms:d} ms")
def take_time(context, way_ms):
    context.engines.datagram_ms = way_ms
    context.log = logs.record(context)


@step("no requests come for {duration_s:d} s")
def pause(context, duration_s):
    context.engines.run(duration_s * 1000)


@then(
    'no gateway has a limit for "{name}", and each changed it at most'
    " {most:d} times"
)
def check_taken_back(context, name, most):
    worlds = context.engines.worlds
    limits = [
        world.gateway.fleet.states[name].limit_statement for world in worlds
    ]
    changes = context.log.fields("GL1312")
    assert changes
    assert all(limit.per_s is None for limit in limits), limits
    assert len(changes) <= most * len(worlds), len(changes)


@then(
    'what each gateway knows of the limit of "{name}" is at least'
    " {age_s:d} s old"
)
def check_age(context, name, age_s):
    engines = context.engines
    for world in engines.worlds:
        statement = world.gateway.fleet.states[name].limit_statement
        age_ms = engines.now_ms() - statement.at_ms
        assert age_ms >= age_s * 1000, (world.sharing.instance, age_ms)


@step('engine "{name}" starts again')
def start_again(context, name):
    list_new_life(context.engines, name)
    context.engines.name_limit(name, None)


@step('engine "{name}" starts again under the same list')
def start_again_unlisted(context, name):
    engines = context.engines
    engines.name_limit(name, None)
    engines.run(LIST_DELAY_MS, 20)
    list_new_life(engines, name)


def list_new_life(engines, name):
    """Lets the list show a later start of an engine."""
    for world in engines.worlds:
        upstreams = {
            state.upstream.id: state.upstream
            for state in world.gateway.fleet.listed.values()
        }
        upstreams[name] = dataclasses.replace(
            upstreams[name], born_ms=world.clock.wall_ms()
        )
        world.gateway.update_upstreams(upstreams)


@step(
    "requests come each {gap_ms:d} ms for {duration_s:d} s while gateways"
    " {come_and_go}"
)
def come_while(context, gap_ms, duration_s, come_and_go):
    engines = context.engines
    if come_and_go == "restart one after the other":
        for number in range(len(engines.worlds)):
            engines.restart(number)
            engines.run(RESTART_MS, gap_ms)
        return
    engines.datagram_loss = next(
        loss
        for name, loss in DATAGRAM_LOSS.items()
        if come_and_go.startswith(name)
    )
    engines.run(duration_s * 1000, gap_ms)


@then("no engine got more than its limit tolerates")
def check_excess(context):
    engines = context.engines
    assert engines.counted_ms or not any(
        limit.per_s for limit in engines.limits.values()
    )
    excess = engines.excess()
    assert not excess, (len(excess), excess[:3])


@then('"{name}" got at least {least:d} requests in the last {duration_s:d} s')
def check_reached(context, name, least, duration_s):
    engines = context.engines
    now_ms = engines.now_ms()
    count = engines.reached_between(name, now_ms - duration_s * 1000, now_ms)
    assert count >= least, count


@then("{share:g} of the requests were served")
def check_served(context, share):
    engines = context.engines
    served = engines.begun_share(0, engines.now_ms() - LAST_ANSWERS_MS)
    assert served >= share, served


@then(
    "a request {may} start with a limit of {per_s:g}, {gateways:d} gateways,"
    " place {place:d}, idle for {idle_ms:d} ms, at {wall_ms:d} ms"
)
def check_start(_context, may, per_s, gateways, place, idle_ms, wall_ms):
    turn = named_limit.Turn(gateways, place, idle_ms, wall_ms)
    assert named_limit.may_start(per_s, turn) == (may == "may")


@then('Server-Limit "{value}" names {limit}, and its error is "{error}"')
@then('Server-Limit "{value}" names {limit}, and its error is ""')
def check_parsed(_context, value, limit, error=EMPTY_ERROR):
    found = upstream_signs.parse_limit(value)
    expected = math.inf if limit == "none" else float(limit)
    assert found == upstream_signs.Limit(expected, value, error), found


@given(
    "a gateway with one upstream of each service, which names a limit of"
    " {value} a second to the second of two requests"
)
def limited(context, value):
    world = context.world = gateway_world.World(("desk", "model"))
    context.log = logs.record(context)
    world.ask("first", "lookup")
    world.ask("second", "lookup")
    world.advance(100)
    world.sent[1].answer(200, add=((DIALECT.limit, value.encode()),))


@when("a third request waits for {duration_s:d} s")
def wait(context, duration_s):
    context.world.ask("third", "post")
    context.world.advance(duration_s * 1000)


@then("it is refused, and its line tells {count:d} limited upstream")
def check_line(context, count):
    lines = [
        line
        for line in context.log.fields("GL1201")
        if line["request"] == "third"
    ]
    assert [line["limited_upstreams"] for line in lines] == [count], lines


@then('the value "{value}" of the limit is logged as one that {reason}')
def check_value(context, value, reason):
    (line,) = context.log.fields("GL1313")
    assert (line["value"], line["reason"]) == (value, reason), line


@when("the first request is answered without a limit")
def answer_first(context):
    context.world.sent[0].answer(200)


@when("a third request is answered without a limit")
def answer_third(context):
    world = context.world
    world.advance(1000)
    world.ask("third", "lookup")
    world.sent[2].answer(200)


@then("the upstream has {found}")
def check_limited(context, found):
    (state,) = context.world.gateway.fleet.usable("desk")
    assert (state.limit is not None) == (found == "a limit"), state.limit
