from behave import then
from behave import when

from features.support import crash_search


@when("the fleet of seed {seed:d} is played")
def play(context, seed):
    context.breaches = crash_search.run(seed)


@then("nothing crashed its engines too often, and sound requests were served")
def check(context):
    assert not context.breaches, context.breaches
