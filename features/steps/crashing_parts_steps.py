from behave import given
from behave import step
from behave import then
from behave import when

from features.support import crashing_engines
from features.support import following_gateways
from features.support import restored_store
from godwitloft import attempt as attempts
from godwitloft.gateway.crashes import crash_reports

SOUND_GAP_MS = 40
RARE_GAP_MS = 1300
IN_TURN_GAP_MS = 100
MAX_LATE_ARRIVALS = 3
CRASHES_BEFORE_BOUND = 5
MIN_BEGUN_SHARE = 0.5
CRASHES_MS = 20_000


@given("{gateways:d} gateways before {engines:d} engines")
def fleet(context, gateways, engines):
    context.engines = crashing_engines.CrashingEngines(gateways, engines)


@given("engines that write an event before they crash")
def write_first(context):
    context.engines.writes_before_crash = True


@given("engines whose port accepts connections {closes_ms:d} ms longer")
def close_later(context, closes_ms):
    context.engines.port_closes_ms = closes_ms


@when("{count:d} bad requests and {sound:d} sound ones come in turn")
def in_turn(context, count, sound):
    assert count == sound
    engines = context.engines
    engines.bad = {"bad0"}
    for _ in range(count):
        engines.ask_and_wait(["aa0", "bad0"])
        engines.ask_and_wait(["aa0"])
        engines.run(IN_TURN_GAP_MS)


@when("sound requests come for {duration_s:d} s")
def sound(context, duration_s):
    engines = context.engines
    context.calm_from_ms = engines.now_ms()
    engines.run(duration_s * 1000, SOUND_GAP_MS)
    context.calm_until_ms = engines.now_ms()


@step(
    "requests with a bad part come each {gap_ms:d} ms beside them for"
    " {duration_s:d} s"
)
def bad(context, gap_ms, duration_s):
    engines = context.engines
    engines.bad = {"bad0"}
    engines.run(duration_s * 1000, SOUND_GAP_MS, gap_ms)


@when(
    "requests with a bad part come each {gap_ms:d} ms for {duration_s:d} s,"
    " and sound ones each {sound_gap_ms:d} ms"
)
def mostly_bad(context, gap_ms, duration_s, sound_gap_ms):
    engines = context.engines
    engines.bad = {"bad0"}
    engines.run(duration_s * 1000, sound_gap_ms, gap_ms)


@when(
    'the part "{part}" turns bad, and requests come each {gap_ms:d} ms for'
    " {duration_s:d} s"
)
def turn_bad(context, part, gap_ms, duration_s):
    engines = context.engines
    engines.bad = {part}
    engines.run(duration_s * 1000, gap_ms)


@then(
    'engines got "{part}" at most {most:d} times later than 3 s after its'
    " fifth crash"
)
def check_turned(context, part, most):
    engines = context.engines
    late_ms = engines.late_arrivals(part, CRASHES_BEFORE_BOUND)
    assert len(engines.crashes_by[part]) >= CRASHES_BEFORE_BOUND
    assert len(late_ms) <= most, (engines.crashes_by[part], late_ms)


@then("sound requests begin in the last {duration_s:d} s")
def check_begin(context, duration_s):
    engines = context.engines
    now_ms = engines.now_ms()
    share = engines.begun_share(now_ms - duration_s * 1000, now_ms - 1000)
    assert share == 1.0, share


@then(
    "five engines crashed, and hardly any request with it came later than 3 s"
    " after that"
)
def check_arrivals(context):
    engines = context.engines
    if len(engines.crashes_ms) < 5:
        return
    late = engines.late_arrivals("bad0", 5)
    assert len(late) <= MAX_LATE_ARRIVALS, (late, engines.crashes_ms)


@then("sound requests begin as often as before from 6 s after that")
def check_sound(context):
    engines = context.engines
    before = engines.begun_share(context.calm_from_ms, context.calm_until_ms)
    crashes_ms = engines.crashes_ms[:5]
    from_ms = crashes_ms[-1] + 2 * crashing_engines.CONTACT_MS
    after = engines.begun_share(from_ms, engines.now_ms() - 1000)
    assert after >= MIN_BEGUN_SHARE * before, (before, after)


@step("{cause}, while sound requests come and some with a rare part")
def other_cause(context, cause):
    engines = context.engines
    names = list(engines.engines.values())
    every_ms = {
        "half of the engines crash at once each 4 s": 4000,
        "one engine after the other crashes each 700 ms": 700,
        "all engines crash at once each 5 s": 5000,
    }[cause]
    for round_number in range(CRASHES_MS // every_ms):
        if cause.startswith("half"):
            crashed = names[:3]
        elif cause.startswith("one"):
            crashed = [names[round_number % len(names)]]
        else:
            crashed = names
        for engine in crashed:
            engines.crash(engine)
        engines.run(every_ms, SOUND_GAP_MS, rare_gap_ms=RARE_GAP_MS)


@then("no request was refused as one that crashes engines")
def check_not_blamed(context):
    engines = context.engines
    refused = [
        caller for _at_ms, caller in engines.sound if caller.status == 500
    ]
    assert not refused, len(refused)
    assert engines.crashes_ms


@then('engines got "{part}" {most:d} times at most')
def check_all_arrivals(context, part, most):
    engines = context.engines
    found = [entry for entry in engines.arrivals if part in entry.causes]
    assert 0 < len(found) <= most, len(found)


@given('gateways that have blamed "{part}" and follow a store')
def blamed(context, part):
    context.following = following_gateways.FollowingGateways(context, 2, "a")
    following = context.following
    member = following.first
    causes = member.gateway.retry_policy.crashes.causes
    broken = crash_reports.part_causes(["aa0", part])
    for number in range(3):
        causes.record_crash([broken], f"u{number}/1", member.now_ms())
        following.advance(300)
    context.cause = broken[-1]
    assert causes.find_blamed(broken) == [context.cause]


@when("all gateways are restarted at once {how}")
def restart(context, how):
    following = context.following
    following.advance(2000)
    rows = following.first.rows
    if "proved sound" in how:
        causes = following.first.gateway.retry_policy.crashes.causes
        causes.record_sound((context.cause,), following.first.now_ms())
        following.advance(2000)
    if "old row" in how:
        rows.put_json("gateways", "g9", {"host": "h", "renewed_ms": 1})
    for member in following.members.values():
        member.watch.stop()
    if "min later" in how:
        following.reactor.advance(int(how.split()[0]) * 60)
    context.restarted = restored_store.RestoredStore(context, rows, "g0")
    context.restarted.start_watching()
    following.reactor.advance(0.1)


@then('requests with "{part}" {outcome}')
def check_restarted(context, part, outcome):
    causes = context.restarted.gateway.retry_policy.crashes.causes
    causes.forget_old(context.restarted.now_ms())
    found = causes.find_blamed((context.cause,))
    expected = [context.cause] if outcome == "are refused" else []
    assert found == expected, found


@when('a stream with the parts "{parts}" is broken off after its first event')
def broken_off(context, parts):
    world = context.world
    entries = [f"{part}:60" for part in [*parts.split(","), "ff"]]
    extra = b"Godwitloft-Prompt-Prefix: %s\r\n" % ",".join(entries).encode()
    world.ask("a", "query", extra=extra)
    sent = world.sent[0]
    sent.head()
    sent.callbacks.on_data(crashing_engines.EVENT)
    sent.end(attempts.End.BROKEN)
    world.checks.pop()[1](True)


@when("its next attempt waits {wait_ms:d} ms and then crashes its upstream")
def crash_later(context, wait_ms):
    world = context.world
    world.advance(wait_ms)
    world.sent[1].end(attempts.End.BROKEN)
    world.checks.pop()[1](False)


@then('{count:d} crash counts against "{parts}"')
def check_counted(context, count, parts):
    crashes = context.world.gateway.retry_policy.crashes.causes.crashes
    expected = crash_reports.part_causes(parts.split(","))
    found = [
        tuple(
            cause
            for cause in crash.positions
            if cause.startswith(crash_reports.PART_PREFIX)
        )
        for crash in crashes.values()
    ]
    assert found == [expected] * count, found


@then("{count:d} crash is told to peers")
@then("{count:d} crashes are told to peers")
def check_told(context, count):
    status = context.world.gateway.knowledge.status()
    assert len(status.crashes) == count, status.crashes


@when("{seconds:d} s pass at that gateway")
def pass_time(context, seconds):
    context.world.advance(seconds * 1000)
