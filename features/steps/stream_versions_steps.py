import re

from behave import given
from behave import step
from behave import then
from behave import when

from features.support import stream_fleet

STREAM_TABLE = "streams"


@given('{count:d} gateway and engines of versions "{versions}"')
@given('{count:d} gateways and engines of versions "{versions}"')
def fleet(context, count, versions):
    context.streams = stream_fleet.StreamFleet(
        context, count, versions.split()
    )


@when("{count:d} streams begin at gateway {number:d}")
def begin(context, count, number):
    context.streams.begin(count, number)
    assert all(
        stream.caller.status == 200 for stream in context.streams.streams
    )


@when("streams begin at gateway {number:d} for {duration_ms:d} ms")
def begin_for(context, number, duration_ms):
    for _ in range(duration_ms // 200):
        context.streams.begin(1, number)
        context.streams.advance(60)


@when(
    'the engines of version "{version}" leave and then break off all streams'
)
def leave_and_break_off(context, version):
    leave(context, version)
    break_off(context, version)


@when('the engines of version "{version}" break off all streams')
def break_off(context, version):
    fleet = context.streams
    context.broken = [
        stream
        for stream in fleet.streams
        if fleet.held_versions(stream) == {version.encode()}
    ]
    assert context.broken
    fleet.break_off(version)


@when('engine {number:d} starts again as version "{version}"')
def start_again(context, number, version):
    context.broken = context.streams.start_again(number, version)
    assert context.broken


@when(
    'engine {number:d} starts again as version "{version}" before any stream'
)
def start_again_idle(context, number, version):
    context.streams.start_again(number, version)


@when(
    "engine {number:d} names a start {after_ms:d} ms after that, as version"
    ' "{version}"'
)
def replace_unseen(context, number, after_ms, version):
    fleet = context.streams
    born_ms = fleet.first.world.clock.wall_ms() + after_ms
    fleet.replace_unseen(number, version, born_ms)


@when("the connections to engine {number:d} break")
def break_connections_to(context, number):
    context.broken = context.streams.break_connections_to(f"e{number - 1}")
    assert context.broken
    context.streams.advance(200)


@when("{count:d} streams begin at gateway {number:d} before the list is read")
def begin_before_list(context, count, number):
    fleet = context.streams
    state = fleet.first.gateway.fleet.listed["e0"]
    for _ in range(count):
        fleet.begin_one(number)
    fleet.advance((stream_fleet.FIRST_EVENT_STEPS + 2) * stream_fleet.STEP_MS)
    assert fleet.first.gateway.fleet.listed["e0"].life == state.life


@then('at least one stream began at "{version}"')
def check_begun(context, version):
    fleet = context.streams
    assert any(
        version.encode() in fleet.held_versions(stream)
        for stream in fleet.streams
    )


@then("the broken streams {end}")
def check_broken(context, end):
    for stream in context.broken:
        has_gone_on = b"id: 2" in stream.caller.received
        assert has_gone_on == (end == "went on"), stream.name
        assert stream.caller.closed == (end == "were cut"), stream.name


@step("{duration_ms:d} ms pass at all gateways")
def passing(context, duration_ms):
    context.streams.advance(duration_ms)


@when("the callers' connections break")
def break_connections(context):
    context.streams.break_connections()


@when("gateway {number:d} is killed")
def kill(context, number):
    context.streams.break_connections()
    context.streams.kill(number)


@when("the store goes away")
def store_away(context):
    context.streams.take_away(20_000)


@when("the store goes away and gateway {number:d} is killed")
def store_away_and_kill(context, number):
    store_away(context)
    kill(context, number)
    context.streams.advance(500)


@when("all gateways are killed and start again")
def restart_all(context):
    fleet = context.streams
    fleet.break_connections()
    numbers = range(1, len(fleet.members) + 1)
    for number in numbers:
        fleet.kill(number)
    fleet.first.advance(1000)
    for number in numbers:
        fleet.restart(number)
    fleet.advance(600)


@when("all gateways are killed and start again once the store is back")
def restart_all_later(context):
    context.streams.first.rows.away_until = 0.0
    restart_all(context)


@when("gateway {number:d} can't reach the store or the other gateways")
def part(context, number):
    fleet = context.streams
    host = fleet.hosts[number - 1]
    fleet.members[host].client.cut = True
    fleet.parted.add(host)


@when("gateway {number:d} {is_out_of_step}, and the others go on")
def out_of_step(context, number, is_out_of_step):
    fleet = context.streams
    host = fleet.hosts[number - 1]
    if is_out_of_step == "stands still":
        fleet.freeze(number)
        return
    fleet.members[host].client.cut = "the store" in is_out_of_step
    if "its peers" in is_out_of_step:
        fleet.parted.add(host)


@when("gateway {number:d} goes on if it stood still")
def go_on(context, number):
    fleet = context.streams
    if fleet.members[fleet.hosts[number - 1]].client.unread is not None:
        fleet.wake(number)


@when('the rows of the engines of version "{version}" end')
def end_rows(context, version):
    context.streams.leave(version)


@when("half of the gateways are killed, gateway 1 among them")
def kill_half(context):
    fleet = context.streams
    fleet.break_connections()
    for number in range(1, len(fleet.hosts) // 2 + 1):
        fleet.kill(number)


@when(
    "the first {count:d} gateways begin a stream each, up to its first event"
)
def begin_at_each(context, count):
    fleet = context.streams
    for number in range(1, count + 1):
        fleet.begin_one(number)
    for _ in range(100):
        fleet.advance(stream_fleet.STEP_MS)
        if all(b"id: 1" in stream.caller.received for stream in fleet.streams):
            return
    raise AssertionError("not all streams have begun")


@when("the callers take the streams up at the gateways that are left")
def take_up_at_others(context):
    context.streams.take_up_at_others()


@when('an engine of version "{version}" starts')
def start_engine(context, version):
    context.streams.start_engine(version)


@when('the engines of version "{version}" leave')
def leave(context, version):
    context.streams.leave(version)
    context.streams.advance(3000)


@when("the store comes back from a copy made before")
def restore(context):
    context.streams.first.drill(100, 1500)
    context.streams.advance(400)


@when("the callers take the streams up at gateway {number:d}")
def take_up(context, number):
    context.streams.take_up(number)


@then("no stream holds events of two versions")
def check_versions(context):
    fleet = context.streams
    joined = [
        (stream.name, fleet.held_versions(stream))
        for stream in fleet.streams
        if len(fleet.held_versions(stream)) > 1
    ]
    assert not joined, joined


def gone_on(context):
    return [
        stream
        for stream in context.streams.streams
        if stream.caller is not None and b"id: 2" in stream.caller.received
    ]


@then("at least {count:d} streams go on")
def check_count(context, count):
    found = len(gone_on(context))
    assert found >= count, found


@then("at least {share:d} of 100 streams that began go on")
def check_share(context, share):
    found = len(gone_on(context))
    began = len(context.streams.streams)
    assert found * 100 >= share * began, (found, began)


@then("the others are refused as not run")
def check_refused(context):
    going_on = gone_on(context)
    for stream in context.streams.streams:
        if stream in going_on:
            continue
        caller = stream.caller
        assert caller.status == 503, (stream.name, caller.received)
        assert re.search(rb"(?i)retry-after: \d", caller.received)


@then("nothing about streams is left in the store but of those")
def check_rows(context):
    rows = context.streams.first.rows.rows
    found = [key for table, key in rows if table == STREAM_TABLE]
    assert not found, found


@then("no stream is refused as of a version that has left")
def check_waiting(context):
    for stream in context.streams.streams:
        received = stream.caller.received
        assert b"stream_version_gone" not in received, received


@when("the refused callers try again at gateway {number:d}")
def try_again(context, number):
    fleet = context.streams
    for stream in fleet.streams:
        if stream.caller is not None and stream.caller.status == 503:
            stream.caller = None
    fleet.take_up(number)


@when(
    'the engines of version "{version}" break off all streams and refuse'
    " connections"
)
def break_off_and_refuse(context, version):
    fleet = context.streams
    fleet.refusing.add(version)
    break_off(context, version)
    (member,) = fleet.members.values()
    context.sent_before = len(member.world.sent)


@when('the engines of version "{version}" accept connections')
def accept(context, version):
    context.streams.refusing.discard(version)


@then("each broken stream was sent again {least:d} to {most:d} times")
def check_sent_again(context, least, most):
    (member,) = context.streams.members.values()
    found = len(member.world.sent) - context.sent_before
    count = len(context.broken)
    assert least * count <= found <= most * count, (found, count)


@then('the log of each refusal names "{version}"')
def check_logged(context, version):
    found = [
        fields
        for fields in context.streams.first.log.fields("GL1201")
        if fields["reason"] == "stream_version_gone"
    ]
    assert found
    assert all(fields["upstream_version"] == version for fields in found)


@when("a caller asks at gateway {number:d} for the rest of an unnamed stream")
def ask_unnamed(context, number):
    fleet = context.streams
    member = fleet.members[fleet.hosts[number - 1]]
    context.caller = stream_fleet.Caller(member.world)
    context.caller.stream("a", "")
    fleet.advance(100)


@then(
    "it is refused, and the log tells that the versions"
    ' "{versions}" are possible'
)
def check_unnamed(context, versions):
    assert context.caller.status == 503, context.caller.received
    (fields,) = context.streams.first.log.fields("GL1207")
    assert fields["versions"] == versions.split(","), fields
