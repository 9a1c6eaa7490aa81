from behave import then
from behave import when

from features.steps import failed_saves_steps as saves
from features.support import restored_store

STEP_MS = restored_store.STEP_MS
# Longer than a gateway waits until it saves a stream.
LATE_FOR_MS = 200


def set_late(context, late_ms):
    for member in context.streams.members.values():
        member.client.late_ms = late_ms


@when(
    "1 stream begins at gateway {number:d} while writes are performed"
    " {late_ms:d} ms late"
)
def begin_with_late_writes(context, number, late_ms):
    fleet = context.streams
    set_late(context, late_ms)
    fleet.begin_one(number)
    fleet.advance(LATE_FOR_MS)
    set_late(context, None)
    fleet.advance(1000)


@when("it uses tokens while its writes are performed {late_ms:d} ms late")
def use_with_late_write(context, late_ms):
    member = context.member
    member.client.late_ms = late_ms
    saves.use_tokens(member)
    calls = member.client.calls["/rows-tx", ""]
    while member.client.calls["/rows-tx", ""] == calls:
        member.advance(STEP_MS)
    member.client.late_ms = None


@when("it uses tokens again after {delay_ms:d} ms")
def use_again(context, delay_ms):
    context.member.advance(delay_ms)
    saves.use_tokens(context.member)


@when(
    "it is killed and starts again after {pause_ms:d} ms, with writes that"
    " take {write_ms:d} ms"
)
def restart(context, pause_ms, write_ms):
    former = context.member
    former.watch.stop()
    former.client.cut = True
    former.advance(pause_ms)
    context.member = member = restored_store.RestoredStore(
        context, former.rows
    )
    member.upstreams = former.upstreams
    member.client.write_ms = write_ms
    member.start_watching()


@when("its row is watched for {duration_ms:d} ms")
def watch_row(context, duration_ms):
    context.saved = [saves.row(context.member)]
    for _ in range(duration_ms // STEP_MS):
        context.member.advance(STEP_MS)
        context.saved.append(saves.row(context.member))


def tokens_of(saved):
    return sum(saved.usage.get(saves.TEAM.name, ()))


@then("its row never holds less than before")
def check_row(context):
    pairs = list(zip(context.saved, context.saved[1:], strict=False))
    assert all(
        after.renewed_ms >= before.renewed_ms for before, after in pairs
    )
    assert all(
        tokens_of(after) >= tokens_of(before) for before, after in pairs
    )


@then("the new process has counted all used tokens")
def check_counted(context):
    member = context.member
    window = member.world.sharing.window(saves.TEAM.name)
    assert window.total(member.now_ms()) == saves.USED


@when(
    "{count:d} streams begin at gateway {number:d} within {duration_ms:d} ms"
)
def begin_at_once(context, count, number, duration_ms):
    for _ in range(count):
        context.streams.begin_one(number)
        context.streams.advance(duration_ms // count)


@when("writes are performed {late_ms:d} ms late for {duration_ms:d} ms")
def write_late(context, late_ms, duration_ms):
    set_late(context, late_ms)
    context.streams.advance(duration_ms)
    set_late(context, None)


@when(
    "the base version is to change, by a write that is performed"
    " {late_ms:d} ms late"
)
def change_base_late(context, late_ms):
    fleet = context.streams
    gateways = [member.gateway for member in fleet.members.values()]
    while not any(gateway.bases.to_store() for gateway in gateways):
        fleet.advance(STEP_MS)
    set_late(context, late_ms)
    fleet.advance(LATE_FOR_MS)
    set_late(context, None)
