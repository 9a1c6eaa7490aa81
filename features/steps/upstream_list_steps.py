from behave import given
from behave import step
from behave import then
from behave import when

from features.support import following_gateways


@given('{count:d} gateways that follow a store with upstreams "{names}"')
def follow(context, count, names):
    context.following = following_gateways.FollowingGateways(
        context, count, names.split(",")
    )
    for name in names.split(","):
        check_all_use(context, name)


@when("all goes well")
def well(_context):
    pass


@when("the store is away for {away_ms:d} ms")
def away(context, away_ms):
    context.following.take_away(away_ms)
    context.following.advance(away_ms)


@when("no gateway reaches the store for {cut_ms:d} ms")
def all_cut(context, cut_ms):
    members = context.following.members.values()
    for member in members:
        member.client.cut = True
    context.following.advance(cut_ms)
    for member in members:
        member.client.cut = False


@when(
    "a gateway that {polls} can't reach {what} for {cut_s:d} s, and"
    ' "{name}" leaves meanwhile'
)
def cut_alone(context, polls, what, cut_s, name):
    following = context.following
    host, member = following.one(polls == "polls")
    member.client.cut = True
    if what == "the store or the other gateways":
        following.parted.add(host)
    following.advance(cut_s * 500)
    following.leave(name)
    following.advance(cut_s * 500)
    member.client.cut = False
    following.parted.clear()


@when("datagrams between gateways take {delay_ms:d} ms")
def slow_datagrams(context, delay_ms):
    context.following.datagram_ms = delay_ms
    context.following.advance(2000)


@step(
    'the store is away for {away_s:d} s, and the row of "{name}" expires'
    " meanwhile"
)
def expire(context, away_s, name):
    following = context.following
    following.take_away(away_s * 1000)
    following.advance(away_s * 500)
    following.expire(name)
    following.first.upstreams[name].due_s = (
        following.reactor.seconds() + away_s / 2 + 1.2
    )
    following.advance(away_s * 500)


@when('the store is away for {away_s:d} s, and "{name}" ends meanwhile')
def end(context, away_s, name):
    following = context.following
    following.take_away(away_s * 1000)
    following.advance(away_s * 500)
    following.leave(name)
    following.advance(away_s * 500)


@step("{seconds:d} s pass for all gateways")
def passing(context, seconds):
    context.following.advance(seconds * 1000)


@step("{duration_ms:d} ms pass for all gateways")
def passing_ms(context, duration_ms):
    context.following.advance(duration_ms)


@step('upstream "{name}" leaves without a word')
def leave(context, name):
    context.following.leave(name)


@then('no gateway uses "{name}"')
def check_unused(context, name):
    users = context.following.users(name)
    assert not users, users


@then('all gateways use "{name}"')
def check_all_use(context, name):
    users = context.following.users(name)
    assert len(users) == len(context.following.members), users


@then('the log of each tells that "{name}" is kept')
def check_kept_logged(context, name):
    lines = context.following.first.log.fields("GL1308")
    kept = [line for line in lines if line["upstreams"] == [name]]
    assert len(kept) == len(context.following.members), lines
    assert all(line["confirmed_ms_ago"] > 0 for line in kept), lines
