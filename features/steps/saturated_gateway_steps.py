from behave import given
from behave import step
from behave import then
from behave import when

from features.support import following_gateways
from features.support import full_link
from features.support import restored_store
from godwitloft.gateway import daemon as daemons
from godwitloft.gateway import overload_guard
from godwitloft.platform import proof_call

COST_MS = 4
SHED_COST_MS = 0.4
MOST_WAIT_MS = 1333


@given(
    "6 gateways that follow the store, and the link of {who} carries {load:d}"
    " times its rate"
)
def follow(context, who, load):
    context.load = load
    context.gateways = following_gateways.FollowingGateways(context, 6, ["u0"])
    _host, context.member = context.gateways.one(who == "a poller")


@when("callers ask it for 20 s, and it sheds {what}")
def fill_link(context, what):
    member = context.member
    daemon = full_link.daemon_of(member)
    sheds = daemon if what == "load" else None
    link = context.link = full_link.FullLink(member, context.load, sheds)
    context.oldest_ms = 0
    for _ in range(20_000 // full_link.STEP_MS):
        link.step()
        if sheds is not None:
            daemon.guard.observe(
                overload_guard.Load(
                    0.0, int(link.unsent), proof_age_ms(member) / 4000
                ),
                member.now_ms(),
            )
        context.gateways.advance(full_link.STEP_MS)
        link.ask(member.world)
        context.oldest_ms = max(context.oldest_ms, proof_age_ms(member))


def proof_age_ms(member):
    state = member.gateway.config_state
    return state.confirmation_age_ms(member.now_ms())


@then("it refused none as configuration_unproven")
def check_reasons(context):
    reasons = context.link.reasons
    assert reasons["no_route"] > 0, reasons
    assert not reasons["configuration_unproven"], reasons


@then("the proof was never older than {most:d} ms")
def check_age(context, most):
    assert context.oldest_ms < most, context.oldest_ms


@given("a gateway that follows the store and can handle 250 requests a second")
def one_gateway(context):
    member = context.member = restored_store.RestoredStore(context)
    member.configure(5)
    member.start("u0", born_ms=1)
    member.advance(100)
    member.start_watching()
    member.advance(3000)
    context.daemon = daemon = full_link.daemon_of(member)
    daemon.call_every(daemons.TICK_INTERVAL_MS, daemon.guard_load)
    daemon.run_periodic_work()


@when("callers send {per_s:d} requests a second for {seconds:d} s")
def fill_processor(context, per_s, seconds):
    member, daemon = context.member, context.daemon
    context.link = full_link.FullLink(member, 0, daemon)
    member.client.link_ms = None
    context.seconds = seconds
    context.oldest_ms = context.latest_ms = 0
    end_ms = member.now_ms() + seconds * 1000
    handled_ms = member.now_ms()
    due = 0.0
    while member.now_ms() < end_ms:
        now_ms = member.now_ms()
        due += (now_ms - handled_ms) * per_s / 1000
        handled_ms = now_ms
        # Nothing else happens in the process until all this is done.
        member.client.unread = []
        due_ms = daemon.due_ms
        for _ in range(int(due)):
            refused = context.link.reasons["gateway_overloaded"]
            context.link.ask(member.world)
            is_shed = context.link.reasons["gateway_overloaded"] > refused
            cost_ms = SHED_COST_MS if is_shed else COST_MS
            member.reactor.rightNow += cost_ms / 1000
            context.oldest_ms = max(context.oldest_ms, proof_age_ms(member))
        due -= int(due)
        member.reactor.advance(0.001)
        context.latest_ms = max(context.latest_ms, member.now_ms() - due_ms)
        member.client.wake()
        member.client.poll()
        context.oldest_ms = max(context.oldest_ms, proof_age_ms(member))


@then("{per_s:d} requests a second or more were let in")
def check_let_in(context, per_s):
    let_in = context.link.reasons["no_route"] / context.seconds
    assert let_in >= per_s, context.link.reasons


@then("its timer was never later than {most:d} ms")
def check_late(context, most):
    assert context.latest_ms <= most, context.latest_ms


@step(
    "for {seconds:d} s the timer is {late:d} ms late, {unsent:d} kB are unsent"
    " and the proof is {proof:g} of its time old"
)
def observe(context, seconds, late, unsent, proof):
    if not hasattr(context, "guard"):
        context.now_ms = 0
        context.guard = overload_guard.OverloadGuard(0)
    for _ in range(seconds * 10):
        context.now_ms += 100
        load = overload_guard.Load(late, unsent * 1000, proof)
        context.guard.observe(load, context.now_ms)


@when("a timer is {late:d} ms late once")
def observe_once(context, late):
    context.guard = overload_guard.OverloadGuard(0)
    context.guard.observe(overload_guard.Load(late, 0, 0.2), late)


@then("the guard sheds {least:g} to {most:g} of new requests")
def check_share(context, least, most):
    assert least <= context.guard.share <= most, context.guard.share


@when("a proof that lasts {lasts:d} ms is {age:d} ms old")
def wait_for(context, lasts, age):
    context.wait_ms = proof_call.longest_wait_ms(
        lasts, None if age < 0 else age, MOST_WAIT_MS
    )


@then("a call may wait for {wait:d} ms")
def check_wait(context, wait):
    assert context.wait_ms == wait, context.wait_ms
