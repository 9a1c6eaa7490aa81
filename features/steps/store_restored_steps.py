import base64
import json

from behave import given
from behave import then
from behave import when

from features.support import gateway_world
from features.support import restored_store
from godwitloft.gateway.allowances import allowance
from godwitloft.gateway.allowances import sharing as sharings
from godwitloft.gateway.peers import peer_status
from godwitloft.gateway.upstreams import upstream_list
from godwitloft.links import datagrams
from godwitloft.platform import store as stores

PEER = "127.0.0.2"


@given("a gateway that follows a store with configuration {version:d}")
def follow(context, version):
    context.restored = restored_store.RestoredStore(context)
    context.restored.configure(version)


@given('upstreams "{names}" that write their rows each second')
def upstreams(context, names):
    restored = context.restored
    for name in names.split(","):
        restored.start(name, born_ms=1)
    restored.advance(100)
    restored.start_watching()
    restored.advance(5000)
    assert restored.gateway.config_state.version == 5
    assert restored.usable() == names.split(",")


@when("the store is cut off from the gateway")
def cut(context):
    context.restored.client.cut = True
    context.restored.client.poll()


@when("the gateway can wait for changes again")
def polls_pass(context):
    context.restored.client.polls_pass = True


@when("the gateway reaches the store again")
def heal(context):
    context.restored.client.cut = False


@when("configuration {version:d} is written")
def configure(context, version):
    context.restored.configure(version)


@when("{count:d} other rows are written")
def write_rows(context, count):
    for number in range(count):
        context.restored.rows.put("other", str(number), "")


@when("{seconds:d} s pass at the store")
def passing(context, seconds):
    context.restored.advance(seconds * 1000)


@when("{duration_ms:d} ms pass at the store")
def passing_ms(context, duration_ms):
    context.restored.advance(duration_ms)


@when(
    "the store is away for {away_ms:d} ms and comes back from a copy"
    " {copy_ms:d} ms old"
)
def drill(context, away_ms, copy_ms):
    restored = context.restored
    context.since_ms = restored.now_ms()
    restored.drill(away_ms, copy_ms)
    # Its upstreams write only a heartbeat after it is back.
    back_s = restored.reactor.seconds() + away_ms / 1000
    for upstream in restored.upstreams.values():
        upstream.due_s = back_s + 0.9
    restored.advance(away_ms + restored_store.STEP_MS)


@when("its operators write again after 3000 ms")
def operators(_context):
    assert restored_store.OPERATOR_MS == 3000


@when(
    "the store is restored from a copy {copy_s:d} s old, {drills:d} times,"
    " {gap_ms:d} ms apart"
)
def drills(context, copy_s, drills, gap_ms):
    restored = context.restored
    context.old_row = restored.rows.rows["gateways", "g0"]
    for _ in range(drills):
        restored.rows.restore_copy(restored.reactor.seconds() - copy_s)
        restored.rows.rows.pop(("gateways", "g0"), None)
        restored.advance(gap_ms)


@then("configuration {version:d} is in force")
def check_version(context, version):
    found = context.restored.gateway.config_state.version
    assert found == version, found


@then("no key is confirmed since the store went away")
@then("no key is confirmed since the peer told of it")
def check_unconfirmed(context):
    confirmed_ms = context.restored.gateway.config_state.confirmed_ms
    # None: nothing is confirmed at all any more.
    if confirmed_ms is not None:
        late_ms = confirmed_ms - context.since_ms
        assert late_ms <= 0, late_ms


@then("keys are confirmed again")
def check_confirmed(context):
    restored = context.restored
    state = restored.gateway.config_state
    assert state.confirmed_ms > context.since_ms
    assert state.is_confirmation_fresh(restored.now_ms())


def tell(context, **status):
    context.since_ms = context.restored.now_ms()
    sharing = sharings.ttypes.Sharing(gateway="g1", demands=[], crashing=[])
    peer_status.encode(peer_status.PeerStatus(**status), sharing)
    data = datagrams.encode(sharing=sharing)
    context.restored.gateway.on_datagram(datagrams.decode(data), (PEER, 1))


@when("a peer tells of configuration {version:d}")
def tell_version(context, version):
    tell(context, version=version)


@when("a peer tells of timeline {timeline:d}")
def tell_timeline(context, timeline):
    tell(context, timeline=timeline)


@when("an answer of timeline {timeline:d} arrives late")
def late_answer(context, timeline):
    restored = context.restored
    restored.client.cut = False
    restored.rows.timeline = timeline
    context.results = []
    answer = restored.store.read("op")
    answer.addBoth(context.results.append)


@then("the late answer is refused")
def check_refused(context):
    assert context.results[0].check(stores.OldTimelineError), context.results


@then("the configuration is read as a whole next")
def check_whole(context):
    assert context.restored.watch.position is None


@when('upstream "{name}" ends')
def end(context, name):
    context.restored.upstreams.pop(name).end()


@when('upstream "{name}" drains')
def drain(context, name):
    upstream = context.restored.upstreams[name]
    upstream.state = "draining"
    upstream.due_s = 0.0
    context.restored.advance(restored_store.STEP_MS)
    # It ends before it writes again.
    del context.restored.upstreams[name]


@when('upstream "{name}" starts')
def start(context, name):
    context.restored.start(name, born_ms=context.restored.now_ms())


@then('the log tells that row "{name}" has returned')
def check_returned(context, name):
    check_cut_back(context, "returned", name)


@then('the log tells that row "{name}" was lost')
def check_lost(context, name):
    check_cut_back(context, "lost", name)


def check_cut_back(context, what, name):
    lines = context.restored.log.fields("GL1508")
    assert any(line.get(what) == [name] for line in lines), lines


@given("a list of upstreams whose registrations expire after {expiry_ms:d} ms")
def make_list(context, expiry_ms):
    context.list = upstream_list.UpstreamList(expiry_ms)


@when('upstream "{name}" ends, and a restore brings it back')
def ended_and_back(context, name):
    both = {
        other: gateway_world.upstream(other, "desk") for other in ("a", name)
    }
    context.list.update(both, 1000)
    context.list.update({"a": both["a"]}, 2000)
    context.list.mark_restored(3000)
    assert list(context.list.update(both, 3000)) == ["a"]


@when("the store is back from another outage {outage_ms:d} ms later")
def another_outage(context, outage_ms):
    context.back_ms = 3000 + outage_ms
    if outage_ms:
        context.list.mark_returned(context.back_ms)


@when("the list is looked at {wait_ms:d} ms after that")
def look(context, wait_ms):
    context.needs = context.list.needs_update(context.back_ms + wait_ms)


@then("it {needs} be read although it is unchanged")
def check_needs(context, needs):
    assert context.needs == (needs == "must")


@when('upstream "{name}" writes at once that it {news}')
def write_news(context, name, news):
    restored = context.restored
    upstream = restored.upstreams[name]
    if news == "drains":
        upstream.state = "draining"
    else:
        upstream.born_ms = restored.now_ms()
    upstream.due_s = 0.0
    restored.advance(restored_store.STEP_MS)


@then('upstream "{name}" is known by its start {which}')
def check_start(context, name, which):
    state = context.restored.gateway.fleet.states[name]
    assert (state.upstream.born_ms > 1) == (which == "after"), state.upstream


@when('upstream "{name}" is silent until its row is gone, and lives')
def silent_and_alive(context, name):
    # Its row is removed, and it doesn't write it again before the restore.
    upstream = context.restored.upstreams[name]
    upstream.due_s = context.restored.reactor.seconds() + 60
    upstream.end()


@when(
    "the store is away for {away_ms:d} ms and comes back from a copy"
    ' {copy_ms:d} ms old, which has "{name}"'
)
def drill_with(context, away_ms, copy_ms, name):
    drill(context, away_ms, copy_ms)
    assert ("servers", name) in context.restored.rows.rows


@when('upstream "{name}" starts again under its name')
def start_again(context, name):
    context.restored.start(name, born_ms=context.restored.now_ms())


@when('upstream "{name}" asks for a pause of {seconds:d} s')
def asks_pause(context, name, seconds):
    restored = context.restored
    fleet = restored.gateway.fleet
    now_ms = restored.now_ms()
    fleet.ask_pause(fleet.states[name], seconds * 1000, now_ms, now_ms)


@when('upstream "{name}" says that it is leaving')
def says_leaving(context, name):
    fleet = context.restored.gateway.fleet
    context.restored.gateway.statements.mark_leaving(
        fleet.states[name], "answer"
    )


@then('upstreams "{names}" take requests')
def check_open(context, names):
    now_ms = context.restored.now_ms()
    found = sorted(
        state.upstream.id
        for state in context.restored.gateway.fleet.usable("desk")
        if state.is_open(now_ms)
    )
    assert found == names.split(","), found


@then("keys are {confirmed} since the restore")
def check_since_restore(context, confirmed):
    state = context.restored.gateway.config_state
    found = state.confirmed_ms >= context.since_ms
    assert found == (confirmed == "confirmed"), (
        state.confirmed_ms - context.since_ms
    )


@then('upstreams "{names}" are usable')
def check_usable(context, names):
    found = context.restored.usable()
    assert found == names.split(","), found


@then("the store has the gateway's row")
def check_row(context):
    value, _version = context.restored.rows.rows["gateways", "g0"]
    assert value != context.old_row[0]
    assert json.loads(base64.b64decode(value))["host"] == "127.0.0.1"


@when('the store tells its timeline as "{text}", {count:d} times')
def unreadable(context, text, count):
    for _ in range(count):
        headers = [(b"store-era", text.encode())]
        context.restored.timeline.on_headers(200, headers)


@then('the log tells of it once, with "{text}"')
def check_unreadable(context, text):
    lines = context.restored.log.fields("GL1504")
    found = [line for line in lines if line["field"] == "timeline"]
    assert len(found) == 1 and text in found[0]["reason"], lines


@then("the log tells of no restore")
def check_no_restore(context):
    assert not context.restored.log.fields("GL1507")


@then("the log tells that its use was lost, and what a peer told")
def check_use_log(context):
    log = context.restored.log
    # The gateway of the background has started without saved use as well.
    assert len(log.fields("GL1408")) == 2, log.fields("GL1408")
    (told,) = log.fields("GL1409")
    assert told["gateway"] == "g1" and told["teams"] == ["team"], told


@then("the log tells of {count:d} restores")
def check_restores(context, count):
    found = context.restored.log.fields("GL1507")
    assert len(found) == count, found
    rewritten = context.restored.log.fields("GL1508")
    assert any(line.get("rewritten") == ["g0"] for line in rewritten)


TEAM = gateway_world.configuration(tokens_per_s=1000.0).teams[0]


def two_gateways():
    """Two gateways' shares that hear each other; the clock is shared."""
    world = gateway_world.World(upstreams=())
    shares = {}

    def make(name):
        def send(data, where):
            for other, share in shares.items():
                if where[0] == f"host-{other}":
                    sent = datagrams.decode(data).sharing
                    share.on_announcement(sent, f"host-{name}")

        return sharings.Sharing(
            world.clock, send, name, 1, gateway_world.TOLERANCE
        )

    for name in ("g0", "g1"):
        shares[name] = make(name)
        shares[name].start.restore({}, 0)
        shares[name].start.join()
    for name, other in (("g0", "g1"), ("g1", "g0")):
        shares[name].update_gateways({other: f"host-{other}"})
    return world, shares, make


def pass_time(world, shares, duration_ms):
    for _ in range(duration_ms // 50):
        world.reactor.advance(0.05)
        for share in shares.values():
            share.announce_if_due()


def take_all(share):
    """Takes as much of the allowance as is granted, in small requests."""
    taken = 0.0
    while share.take(TEAM, 50.0) is not None:
        taken += 50.0
    return taken


@when("this gateway uses a team's whole allowance and a peer hears of it")
def use_up(context):
    context.sharing_world = world, shares, _make = two_gateways()
    pass_time(world, shares, 1000)
    context.taken = 0.0
    for _ in range(20):
        context.taken += take_all(shares["g0"])
        pass_time(world, shares, 100)
    context.limit = allowance.window_limit(TEAM, gateway_world.TOLERANCE)
    assert context.taken > 0.7 * context.limit, context.taken


@when("this gateway is restarted and finds no saved use")
def restart(context):
    world, shares, make = context.sharing_world
    shares["g0"] = make("g0")
    shares["g0"].start.restore(None, 0)
    shares["g0"].update_gateways({"g1": "host-g1"})
    shares["g0"].start.join()
    pass_time(world, shares, 500)


@when("a gateway with {peers} starts after the restore")
def start_with_peers(context, peers):
    context.starting = world = gateway_world.World(upstreams=())
    share = sharings.Sharing(
        world.clock,
        lambda _data, _where: None,
        "g0",
        1,
        gateway_world.TOLERANCE,
    )
    context.share = share
    if peers != "no peers":
        share.update_gateways({"g1": PEER})
    share.start.restore({}, 0)
    share.start.join()
    if peers.startswith("a peer that"):
        sharing = sharings.ttypes.Sharing(
            gateway="g1",
            demands=[],
            crashing=[],
            answers=peers.startswith("a peer that answers"),
        )
        world.reactor.callLater(0.18, share.on_announcement, sharing, PEER)


@then("it is ready after {wait_ms:d} ms")
def check_ready_after(context, wait_ms):
    share = context.share
    found_ms = 0
    while not share.start.is_ready():
        context.starting.reactor.advance(0.05)
        found_ms += 50
    assert found_ms == wait_ms, found_ms


@then("both gateways together grant no more than the allowance")
def check_restarted(context):
    world, shares, _make = context.sharing_world
    for _ in range(20):
        context.taken += sum(take_all(share) for share in shares.values())
        pass_time(world, shares, 100)
    # What the pages allow beyond the limit of a gateway's own count.
    spare = allowance.unused_tolerance(TEAM, gateway_world.TOLERANCE)
    assert context.taken <= context.limit + spare, (
        context.taken,
        context.limit,
    )


@when("another gateway starts that has never been heard")
def start_new(context):
    context.sharing_world = world, shares, make = two_gateways()
    pass_time(world, shares, 1000)
    shares["g2"] = make("g2")
    shares["g2"].update_gateways({"g0": "host-g0", "g1": "host-g1"})
    shares["g2"].start.restore(None, 0)
    shares["g2"].start.join()


@then("it grants at least a third of an allowance after {wait_ms:d} ms")
def check_new(context, wait_ms):
    world, shares, _make = context.sharing_world
    pass_time(world, shares, wait_ms)
    limit = allowance.window_limit(TEAM, gateway_world.TOLERANCE)
    taken = 0.0
    for _ in range(10):
        taken += take_all(shares["g2"])
        pass_time(world, shares, 100)
    assert taken >= limit / 3, (taken, limit)


@when(
    "the gateways have had configuration {version:d} in force for"
    " {duration_ms:d} ms"
)
def in_force(context, version, duration_ms):
    fleet = context.streams
    fleet.first.configure(version)
    fleet.advance(duration_ms)
    for member in fleet.members.values():
        assert member.gateway.config_state.version == version


@when(
    "the store goes away for {away_ms:d} ms and comes back from a copy"
    " {copy_ms:d} ms old"
)
def drill_fleet(context, away_ms, copy_ms):
    context.streams.first.drill(away_ms, copy_ms)


@when("the store was restored from a copy {ago_ms:d} ms ago")
def restored_before(context, ago_ms):
    context.streams.first.drill(100, 1500)
    context.streams.advance(ago_ms)


@when("all gateways are killed and start again after {pause_ms:d} ms")
def restart_after(context, pause_ms):
    fleet = context.streams
    numbers = range(1, len(fleet.members) + 1)
    for number in numbers:
        fleet.kill(number)
    fleet.first.advance(pause_ms)
    for number in numbers:
        fleet.restart(number)
    context.started_ms = fleet.first.now_ms()


def config_states(context):
    members = context.streams.members.values()
    return [member.gateway.config_state for member in members]


def stored_version(context):
    value, _version = context.streams.first.rows.rows["op", "config"][:2]
    return json.loads(base64.b64decode(value))["version"]


@then(
    "no gateway confirms a configuration before {version:d} is written again"
)
def check_not_confirmed(context, version):
    fleet = context.streams
    step_ms = restored_store.STEP_MS
    for _ in range(2 * restored_store.OPERATOR_MS // step_ms):
        fleet.advance(step_ms)
        if (
            stored_version(context) == version
            and not fleet.first.rows.is_away()
        ):
            return
        for state in config_states(context):
            assert state.confirmed_ms <= context.started_ms, state.version
    raise AssertionError("it is not written again")


@then(
    "all gateways confirm configuration {version:d} within {duration_ms:d} ms"
)
def check_all_confirmed(context, version, duration_ms):
    context.streams.advance(duration_ms)
    now_ms = context.streams.first.now_ms()
    for state in config_states(context):
        assert state.version == version, state.version
        assert state.is_confirmation_fresh(now_ms), state.confirmed_ms
