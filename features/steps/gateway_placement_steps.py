import collections

from behave import given
from behave import then
from behave import when

from features.support import gateway_world
from godwitloft.gateway import model
from godwitloft.gateway.allowances import share_factor
from godwitloft.gateway.callers import routing
from godwitloft.gateway.placing import placement
from godwitloft.gateway.upstreams import fleet
from godwitloft.gateway.upstreams import upstream_list

SLOTS = 5


def parse_place(text, tried):
    head, *words = text.split(",")
    name, _, load = head.partition(":")
    running, allowed = load.split("/")
    values = dict(word.partition("=")[::2] for word in words)
    if "tried" in values:
        tried.add(name)
    return placement.Place(
        id=name,
        same_zone="far" not in values,
        running=int(running),
        allowed=int(allowed),
        slots=SLOTS,
        slowness=float(values.get("slow", 1.0)),
        pending_prompt_tokens=int(values.get("unread", 0)),
        paused="paused" in values,
    )


def choose(context, prompt, left, places):
    tried = set()
    parsed = [parse_place(place, tried) for place in places.split()]
    context.chosen = placement.choose(parsed, prompt, left, tried)


@when('a prompt of {prompt:d} tokens with {left:d} ms left may go to "{all}"')
def choose_place(context, prompt, left, all):
    choose(context, prompt, left, all)


@when('a prompt of {prompt:d} tokens with {left:d} ms left may go to ""')
def choose_nothing(context, prompt, left):
    choose(context, prompt, left, "")


@then('"{place}" is chosen')
def check_place(context, place):
    found = context.chosen.id if context.chosen else "none"
    assert found == place, found


@when("no agent grants the slots, and answers begin late")
def share_slots(context):
    row = context.active_outline
    gateways, upstreams, slots = (
        int(row[name]) for name in ("gateways", "upstreams", "slots")
    )
    listed = fleet.service_slots(
        {
            f"u{number}": gateway_world.upstream(f"u{number}", "model", slots)
            for number in range(upstreams)
        }
    )
    context.allowed = {
        (name, place): placement.allowed_without_agent(
            slots,
            service,
            placement.Part(gateways, place, share_factor.MIN_FACTOR),
        )
        for name, service in listed.items()
        for place in range(gateways)
    }


@when("answers that are due within {target:d} ms begin after {times} ms")
def begin_answers(context, target, times):
    context.factor = share_factor.MAX_FACTOR
    for entry in times.split(","):
        count, _, took = entry.partition(" x ")
        for _ in range(int(count)):
            context.factor = share_factor.after_answer(
                context.factor, int(took), target
            )


@when("answers that are due within 400 ms begin after  ms")
def begin_none(context):
    context.factor = share_factor.MAX_FACTOR


@then("the equal share is multiplied by {least:g} to {most:g}")
def check_factor(context, least, most):
    assert least <= context.factor <= most, context.factor


@then("all gateways together may start at most {most:d} at each upstream")
def check_most(context, most):
    sums = collections.Counter()
    for (upstream, _gateway), allowed in context.allowed.items():
        sums[upstream] += allowed
    assert max(sums.values()) <= most, sums


@then("each gateway may start at least {least:d} in all")
def check_least(context, least):
    sums = collections.Counter()
    for (_upstream, gateway), allowed in context.allowed.items():
        sums[gateway] += allowed
    assert min(sums.values()) >= least, sums


@when(
    'lists are read at "{lists}", the first one after an outage at {back:d} s'
)
def lists_come(context, lists, back):
    context.alive = {}
    kept = upstream_list.UpstreamList(expiry_ms=4000)
    for entry in lists.split():
        at, _, names = entry.partition(":")
        now_ms = int(at) * 1000
        if int(at) == back:
            kept.mark_returned(now_ms)
        listed = {
            name.rstrip("-"): gateway_world.upstream(
                name.rstrip("-"), "desk", leaving=name.endswith("-")
            )
            for name in names.split(",")
            if name
        }
        context.alive[int(at)] = sorted(kept.update(listed, now_ms))


@then('at {at:d} s the upstreams are "{names}"')
def check_alive(context, at, names):
    assert context.alive[at] == names.split(","), context.alive


@given('routes for "{first}", "{second}" and "{third}" of host "{host}"')
def make_routes(context, first, second, third, host):
    routes = tuple(
        model.Route(
            prefix,
            host,
            prefix,
            model.Kind.IDEMPOTENT,
            (model.Target("desk", 1.0),),
            0,
            1000,
            100,
            1,
            True,
            False,
        )
        for prefix in (first, second, third)
    )
    context.router = routing.Router(
        model.Configuration(1, routes, {}, (), model.CallerLimits())
    )


@then('"{host}" "{path}" leads to "{route}"')
def check_route(context, host, path, route):
    found = context.router.route(host, path)
    assert (found.name if found else "none") == route, found


@when("{count:d} requests are split over weights {first:d} and {second:d}")
def split(context, count, first, second):
    targets = (model.Target("a", first), model.Target("b", second))
    context.picked = [
        routing.pick_target(targets, number / count).service
        for number in range(count)
    ]


@then("the second gets {count:d} of them")
def check_split(context, count):
    assert context.picked.count("b") == count
