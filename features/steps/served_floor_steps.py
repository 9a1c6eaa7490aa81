from behave import given
from behave import then
from behave import when

from features.support import drawn_load
from godwitloft.policy import served_floor

MIN_REQUESTS = 30


@given("a deployment that is drawn with seed {seed:d}")
def draw(context, seed):
    context.load = drawn_load.DrawnLoad(seed)


@when("its callers send what its engines can't serve")
def play(context):
    context.load.run()
    context.asked = context.load.settled()
    context.share = drawn_load.served_share(context.asked)


def groups(asked, name_of):
    found = {}
    for request in asked:
        found.setdefault(name_of(request), []).append(request)
    return {
        name: members
        for name, members in found.items()
        if len(members) >= MIN_REQUESTS
    }


@then("each route and each team is served half as often as all requests")
def check_groups(context):
    shares = {
        name: drawn_load.served_share(members)
        for name_of in (
            lambda request: request.kind.name,
            lambda request: request.team,
        )
        for name, members in groups(context.asked, name_of).items()
    }
    starving = {
        name: share
        for name, share in shares.items()
        if share < context.share / 2
    }
    assert not starving, (context.share, shares)


@then("the largest requests of a route are served half as often as all of it")
def check_largest(context):
    for name, members in groups(
        context.asked, lambda request: request.kind.name
    ).items():
        largest = drawn_load.largest(members)
        if len(largest) < MIN_REQUESTS:
            continue
        share = drawn_load.served_share(members)
        assert drawn_load.served_share(largest) >= share / 2, (
            name,
            share,
            drawn_load.served_share(largest),
        )


@when(
    'groups with credits "{credits}" wait as "{waiting}" and all requests have'
    " {of_all:g} credits"
)
def select(context, credits, waiting, of_all):
    entries = (entry.split(":") for entry in credits.split())
    context.waiting = waiting.split()
    context.selected = served_floor.select_owed(
        [tuple(groups.split("+")) for groups in context.waiting],
        {name: float(number) for name, number in entries},
        served_floor.credits_when_owed(of_all),
    )


@then('"{owed}" go before the others')
def check_owed(context, owed):
    found = [
        name
        for name, is_owed in zip(
            context.waiting, context.selected, strict=True
        )
        if is_owed
    ]
    assert found == owed.replace("-", "").split(), found
