from behave import given
from behave import step
from behave import then
from behave import when

from features.support import allowance_fleet
from features.support import restored_store
from godwitloft.gateway.crashes import crash_causes
from godwitloft.platform import lease_keeper
from godwitloft.platform import lease_row

TEAM = allowance_fleet.TEAM
USED = 4000.0
SAVE_MS = 400
TIMEOUT_MS = 5000
CAUSE = "part:1"


def row(member):
    """Returns what the store holds of a gateway."""
    value, _version = member.rows.rows["gateways", "g0"][:2]
    return lease_row.decode("gateways/g0", value)


def saved_tokens(member):
    return sum(row(member).usage.get(TEAM.name, ()))


@given("a gateway whose row was just written")
def just_written(context):
    context.member = member = restored_store.RestoredStore(
        context, is_new=True
    )
    member.configure(5)
    member.start("u0", born_ms=1)
    member.start_watching()
    member.advance(3000)
    renewals = member.lease.renewals
    while member.lease.renewals == renewals:
        member.advance(restored_store.STEP_MS)
    assert not is_unsaved(member)


def is_unsaved(member):
    return (
        member.gateway.knowledge.needs_saving()
        or member.world.sharing.own.unsaved.must_save
    )


def use_tokens(member):
    assert member.world.sharing.take(TEAM, USED) is not None


def learn_use(member):
    sharing = member.world.sharing
    sharing.window(TEAM.name).add(USED, member.now_ms())
    sharing.own.unsaved.must_save = True


def blame(member):
    causes = member.gateway.knowledge.causes
    for number in range(crash_causes.CRASHES_BEFORE_BLAME):
        at_ms = member.now_ms() - number * crash_causes.PART_CRASH_SPACING_MS
        causes.record_crash([[CAUSE]], f"u{number}", at_ms)
    assert causes.unsaved


def list_version(member):
    member.start("u1", born_ms=1)
    member.upstreams["u1"].version = "v2"
    while not member.gateway.versions.unsaved:
        member.advance(restored_store.STEP_MS)


CHANGES = {
    "used tokens": use_tokens,
    "told use": learn_use,
    "a blame": blame,
    "a version": list_version,
}


@when("it has {what} to save and {fault} until {until_ms:d} ms after that")
def change_and_fail(context, what, fault, until_ms):
    member = context.member
    renewals = member.lease.renewals
    member.client.writes_fail = fault == "writes fail"
    if fault == "writes time out":
        member.client.write_ms = TIMEOUT_MS
    CHANGES[what](member)
    assert is_unsaved(member)
    left_ms = member.lease.renewed_ms + until_ms - member.now_ms()
    assert left_ms > 0, left_ms
    member.advance(left_ms)
    if fault != "no write fails":
        assert member.lease.renewals == renewals
    member.client.writes_fail = False
    member.client.write_ms = 0


@step("{duration_ms:d} ms pass")
def let_pass(context, duration_ms):
    context.member.advance(duration_ms)


@then("its row holds {what}")
def check_row(context, what):
    saved = row(context.member)
    found = {
        "used tokens": saved_tokens(context.member) == USED,
        "told use": saved_tokens(context.member) == USED,
        "a blame": CAUSE in [entry.cause for entry in saved.blames],
        "a version": "v2"
        in [version.version for version in saved.versions.absences],
        "all used tokens": saved_tokens(context.member) == 2 * USED,
    }
    assert found[what], saved


@then("nothing is left to be saved")
def check_saved(context):
    assert not is_unsaved(context.member)


@when("tokens are used before and during a save that {end}")
def use_during_save(context, end):
    member = context.member
    use_tokens(member)
    member.client.write_ms = SAVE_MS if end == "succeeds" else TIMEOUT_MS
    interval_ms = lease_keeper.MIN_RENEWAL_INTERVAL_MS
    member.advance(interval_ms + SAVE_MS // 2)
    assert not is_unsaved(member)
    use_tokens(member)
    member.client.write_ms = 0
