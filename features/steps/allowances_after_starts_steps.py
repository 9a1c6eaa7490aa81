import json
import pathlib
import subprocess
import sys

from behave import given
from behave import step
from behave import then
from behave import when

from features.steps import gateway_limits_steps
from features.support import allowance_fleet
from features.support import gateway_world
from godwitloft.gateway.allowances import allowance
from godwitloft.gateway.allowances import saved_use
from godwitloft.links import datagrams

ROOT = pathlib.Path(__file__).parents[2]
PROGRAM_S = 90
AFTER_OUTAGE_MS = 200


@given(
    "{count:d} gateways that start {gap_ms:d} ms apart, seed {seed:d}, while"
    " calls to the store take {call_ms:d} ms"
)
def fleet(context, count, gap_ms, seed, call_ms):
    context.fleet = fleet = allowance_fleet.AllowanceFleet(context, seed)
    fleet.call_ms = call_ms
    context.load = 8.0
    context.count = count
    fleet.start(0)
    for number in range(1, count):
        fleet.start_later(number, number * gap_ms)


@when("the team asks for {load:g} times its rate")
def set_load(context, load):
    context.load = load


@step(
    "all are ready and the team asks from {wait_ms:d} ms later on for"
    " {asked_s:g} s"
)
def ask_when_ready(context, wait_ms, asked_s):
    fleet = context.fleet
    # The load begins with the last one that is ready, not with the first.
    fleet.wait_until_ready(context.count)
    fleet.advance(wait_ms)
    context.since_ms = fleet.now_ms()
    fleet.load = context.load
    fleet.advance(int(asked_s * 1000))


@then("it is ready within {limit_ms:d} ms")
def check_ready(context, limit_ms):
    context.fleet.advance(limit_ms)
    assert len(context.fleet.ready()) == context.count


@when("{count:d} more start at once and the team asks for {asked_s:d} s")
def start_more(context, count, asked_s):
    fleet = context.fleet
    for number in range(context.count, context.count + count):
        fleet.start(number)
    context.count += count
    fleet.advance(asked_s * 1000)
    assert len(fleet.ready()) == context.count


@step("the team asks for {asked_s:d} s")
def ask(context, asked_s):
    fleet = context.fleet
    fleet.wait_until_ready(context.count)
    context.returned_ms = fleet.now_ms()
    fleet.advance(asked_s * 1000)


@step("each is killed in turn every {gap_ms:d} ms, {times:d} times")
def kill_in_turn(context, gap_ms, times):
    fleet = context.fleet
    for _ in range(times):
        for number in range(context.count):
            fleet.kill_and_restart(number)
            fleet.advance(gap_ms)


@step(
    "the store is away for {away_ms:d} ms and each is killed in turn every"
    " {gap_ms:d} ms, {times:d} times"
)
def kill_after_outage(context, away_ms, gap_ms, times):
    fleet = context.fleet
    fleet.take_away(away_ms)
    fleet.advance(away_ms + AFTER_OUTAGE_MS)
    kill_in_turn(context, gap_ms, times)


@step("all are killed and back after {dark_ms:d} ms")
def kill_all(context, dark_ms):
    fleet = context.fleet
    for number in range(context.count):
        fleet.kill(number)
        fleet.start_later(number, dark_ms)
    fleet.advance(dark_ms)


@when("all are ready and one loses the store for {away_ms:d} ms")
def lose_store(context, away_ms):
    context.fleet.wait_until_ready(context.count)
    context.fleet.part_first(away_ms, datagrams=False)


@when("all are ready and one loses everything for {away_ms:d} ms")
def lose_everything(context, away_ms):
    context.fleet.wait_until_ready(context.count)
    context.fleet.part_first(away_ms, datagrams=True)


@when("{count:d} more starts {after_ms:d} ms after that began")
def start_later(context, count, after_ms):
    context.fleet.advance(after_ms)
    for number in range(context.count, context.count + count):
        context.fleet.start(number)
    context.count += count


@when("one is killed and back at another address after {dark_ms:d} ms")
def move_one(context, dark_ms):
    fleet = context.fleet
    fleet.kill(0)
    fleet.advance(dark_ms)
    fleet.start(0, host="127.0.0.99")


@when(
    "all are ready and {teams:d} teams ask for {load:g} times their rates for"
    " {asked_s:d} s"
)
def ask_as_teams(context, teams, load, asked_s):
    context.fleet.wait_until_ready(context.count)
    context.load = load
    context.granted = context.fleet.ask_as_teams(teams, load, asked_s * 1000)


@then(
    "each team was granted at most {limit:d} tokens in any 8 s, and all"
    " {least:g} of what they may use"
)
def check_teams(context, limit, least):
    sums = {
        team: gateway_limits_steps.most_in_window(
            granted, allowance_fleet.WINDOW_MS
        )
        for team, granted in context.granted.items()
    }
    assert max(sums.values()) <= limit, sums
    # Each asks at random, so that one alone may ask for less.
    allowed = allowance_fleet.TEAM.tokens_per_s * 8 * min(1.0, context.load)
    assert sum(sums.values()) >= least * allowed * len(sums), sums


@when("the store fails for {away_ms:d} ms")
def store_away(context, away_ms):
    context.fleet.take_away(away_ms)
    context.fleet.advance(away_ms)


@then("{passed_ms:d} ms later little usage is unsaved, or for a short time")
def check_saved(context, passed_ms):
    fleet = context.fleet
    fleet.advance(passed_ms)
    (member,) = fleet.members.values()
    saved_ms = member.lease.renewed_ms
    age_ms = fleet.now_ms() - saved_ms
    unsaved = fleet.granted_since(saved_ms, age_ms)
    limit = allowance.window_limit(
        allowance_fleet.TEAM, gateway_world.TOLERANCE
    )
    is_little = unsaved <= saved_use.MAX_UNSAVED_SHARE * limit
    is_short = age_ms <= allowance.MAX_MUCH_UNSAVED_MS
    assert is_little or is_short, (unsaved, age_ms)


@step(
    "the store is away for {away_ms:d} ms and all are killed and back after"
    " {dark_ms:d} ms"
)
def kill_all_after_outage(context, away_ms, dark_ms):
    fleet = context.fleet
    fleet.take_away(away_ms)
    fleet.advance(away_ms + AFTER_OUTAGE_MS)
    kill_all(context, dark_ms)


@step("one is cut off from all for {away_ms:d} ms")
def cut_off(context, away_ms):
    fleet = context.fleet
    host, member = next(iter(fleet.members.items()))
    member.client.cut = True
    fleet.parted.add(host)
    fleet.advance(away_ms)
    member.client.cut = False
    fleet.parted.discard(host)


@step("one is killed for good")
def kill_one(context):
    context.fleet.kill(0)
    context.count -= 1


@then("at most {limit:d} tokens were granted in any 8 s")
def check_most(context, limit):
    most = gateway_limits_steps.most_in_window(
        context.fleet.granted, allowance_fleet.WINDOW_MS
    )
    assert most <= limit, most


def check_share(context, since_ms, least):
    granted = context.fleet.granted_since(since_ms, allowance_fleet.WINDOW_MS)
    allowed = allowance_fleet.TEAM.tokens_per_s * 8
    assert granted >= least * allowed, granted / allowed


@then("at least {least:g} of the team's rate was granted")
def check_least(context, least):
    check_share(context, context.since_ms, least)


@then(
    "at least {least:g} of the team's rate was granted in the 8 s from then on"
)
def check_least_after(context, least):
    check_share(context, context.returned_ms, least)


@when(
    "{count:d} real gateways are started at once and a team asks for"
    " {asked_s:d} s"
)
def start_real(context, count, asked_s):
    output = subprocess.check_output(
        [
            sys.executable,
            "-m",
            "features.support.start_rush",
            "--gateways",
            str(count),
            "--seconds",
            str(asked_s),
        ],
        cwd=ROOT,
        timeout=PROGRAM_S,
    )
    context.rush = json.loads(output)


@then("its limit was kept, and half of it was granted")
def check_real(context):
    rush = context.rush
    assert rush["limit"] / 2 <= rush["most"] <= rush["limit"], rush


@step("its announcement comes back")
def send_back(context):
    (member,) = context.fleet.members.values()
    sent = member.world.sharing.announcer.message([], partial=False)
    member.gateway.on_datagram(
        datagrams.decode(datagrams.encode(sharing=sent)), ("127.0.0.1", 1)
    )


@then("it knows no other gateway")
def check_alone(context):
    (member,) = context.fleet.members.values()
    assert not member.world.sharing.hosts, member.world.sharing.hosts


@then("no line of the log names more than {most:d} teams, and some name 20")
def check_log(context, most):
    log = context.fleet.first.log
    named = [
        len(line[field])
        for code, field in (
            ("GL1409", "teams"),
            ("GL1414", "told"),
            ("GL1415", "committed"),
        )
        for line in log.fields(code)
    ]
    assert max(named) == most, named
