import random

from behave import given
from behave import then
from behave import when
from twisted.internet import defer
from twisted.internet import task

from features.support import claims_model
from features.support import fake_store
from godwitloft.coordination import claims
from godwitloft.coordination import claims_row
from godwitloft.coordination import write_budget

LIMIT_MS = 10_000
LARGE = b"x" * 90_000
ANSWERS = {"done": b"whole", "done soon": b"whole", "done large": LARGE}


def make_row(run_id):
    state = claims_row.State.RUNNING
    return claims_row.Row(run_id, "f1", state, "e1", "a1", "a1.1")


@given("a store in which the claim row of the key is {row}")
def make_store(context, row):
    context.clock = task.Clock()
    context.faults = []
    context.rest = "ok"
    context.store = fake_store.FakeStore(
        context.clock,
        lambda: context.faults.pop(0) if context.faults else context.rest,
    )
    context.proof = "unknown"
    budget = write_budget.WriteBudget(context.clock, lambda: 100.0, 100)
    context.claims = claims.Claims(
        context.store.platform(),
        context.clock,
        budget,
        lambda agent, incarnation, run_id: ask(context),
        random.Random(1),
    )
    context.body = ANSWERS.get(row)
    if row == "absent":
        return
    if row == "unreadable":
        context.store.write_row(claims.TABLE, "k", b"{}", 0)
    else:
        wait(context, context.claims.claim("k", make_row("r1"), 0, LIMIT_MS))
    context.clock.advance(0.1)
    if context.body:
        found = context.store.rows[claims.TABLE, "k"]
        taken = claims.HeldClaim("k", make_row("r1"), found.version)
        answer = claims_row.Answer(
            claims_row.Outcome.COMPLETED, "", 200, "text/plain", context.body
        )
        delay_s = 1.0 if row == "done soon" else 0.0
        context.clock.callLater(
            delay_s,
            lambda: defer.ensureDeferred(context.claims.finish(taken, answer)),
        )
        context.clock.advance(0.0 if delay_s else 0.1)
        context.clock.advance(0.01)


def ask(context):
    if context.proof == "silence":
        return defer.Deferred()
    return defer.succeed(claims.Proof(context.proof))


def wait(context, coroutine, duration_s=2 * LIMIT_MS / 1000):
    found = defer.ensureDeferred(coroutine)
    steps = int(duration_s / 0.01)
    for _ in range(steps):
        if found.called:
            return found.result
        context.clock.advance(0.01)
    raise AssertionError("no result")


@given("the agent answers the question about the run with {proof}")
def set_proof(context, proof):
    context.proof = proof


@when("the key is looked up with body {body} while the store is {fault}")
def look_up(context, fault, body):
    context.rest = fault
    context.found = wait(context, context.claims.look_up("k", body, LIMIT_MS))


@when('the key is claimed while the store answers "{faults}" and then {rest}')
@when('the key is claimed while the store answers "" and then {rest}')
def claim(context, rest, faults=""):
    context.faults = faults.split()
    context.rest = rest
    context.found = wait(
        context, context.claims.claim("k", make_row("r2"), 0, LIMIT_MS)
    )


@when("the store of the claim is available again for {duration:d} s")
def recover(context, duration):
    context.rest = "ok"
    for _ in range(duration * 10):
        context.clock.advance(0.1)


@then("the result for the key is {name}")
def check_answer(context, name):
    found = context.found
    assert type(found).__name__ == name, found
    if name == "Recorded":
        assert found.answer.body == context.body
        assert found.answer.status == 200


@then("the claim row belongs to run {owner}")
def check_owner(context, owner):
    row = context.store.rows.get((claims.TABLE, "k"))
    found = claims_row.read("k", row.value).run_id if row else "none"
    assert found == owner, found


@when(
    "{seeds:d} simulations of claims run with {share:g} faults"
    ' and mutant "{mutant}"'
)
@when(
    '{seeds:d} simulations of claims run with {share:g} faults and mutant ""'
)
def run_simulations(context, seeds, share, mutant=""):
    context.simulations = claims_model.simulate(seeds, mutant, share)


@then("the simulations with a violation are {amount}")
def check_simulations(context, amount):
    violations = [
        simulation.violations
        for simulation in context.simulations
        if simulation.violations
    ]
    assert bool(violations) == (amount == "some"), violations[:1]
    assert (
        sum(
            len(simulation.executed_runs) for simulation in context.simulations
        )
        > 30
    )


@then("the row keys of these calls all differ")
def check_keys(context):
    keys = {
        claims_row.row_key(row["team"], row["service"], row["key"])
        for row in context.table
    }
    assert len(keys) == len(context.table.rows)


@given("a write budget of {rate:g} a second with a burst of {burst:d}")
def make_budget(context, rate, burst):
    context.clock = task.Clock()
    context.budget = write_budget.WriteBudget(
        context.clock, lambda: rate, burst
    )


@when("{background:d} background and then {urgent:d} urgent permits are taken")
def take_permits(context, background, urgent):
    context.background = [
        context.budget.take(False) for _ in range(background)
    ]
    context.urgent = [context.budget.take(True) for _ in range(urgent)]


@then("the permits granted by these times are")
def check_permits(context):
    for row in context.table:
        while round(context.clock.seconds() * 1000) < int(row["ms"]):
            context.clock.advance(0.05)
        found = [
            str(sum(permit.called for permit in permits))
            for permits in (context.background, context.urgent)
        ]
        assert found == [row["background"], row["urgent"]], (row["ms"], found)
