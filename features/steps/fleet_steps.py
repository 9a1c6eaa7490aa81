from behave import then

from features.support import fleet_mutants
from features.support import fleet_points
from features.support import fleet_search

SEEDS_FOR_MUTANTS = 60


def fault_names(text):
    return () if text == "all" else tuple(text.split())


@then("a {kind} call ends so when {fault} strikes at")
def check_points(context, kind, fault):
    for row in context.table:
        for point in context.table.headings:
            found, breaches = fleet_points.run_with_fault(kind, fault, point)
            assert not breaches, (point, breaches)
            assert found == row[point], (point, found)


@then("one {kind} call keeps the fleet's invariants with every single fault")
def check_search(context, kind):
    run_count, failures = fleet_search.search(kind, False)
    assert run_count > 500, run_count
    assert not failures, failures[:3]


@then("{seeds:d} random fleets with {share:g} of {names} keep the invariants")
def check_random(context, seeds, share, names):
    for seed in range(seeds):
        found = fleet_search.run_random(seed, share, fault_names(names))
        assert not found, (seed, found)


@then('random fleets with {share:g} of {names} catch "{mutant}"')
def check_mutant(context, share, names, mutant):
    with fleet_mutants.apply_mutant(mutant):
        for seed in range(SEEDS_FOR_MUTANTS):
            if violates_invariants(seed, share, fault_names(names)):
                return
    raise AssertionError("not caught")


def violates_invariants(seed, share, names):
    try:
        return bool(fleet_search.run_random(seed, share, names))
    except Exception:
        # A mistake may also show as an input that a chart doesn't allow.
        return True


@then(
    "the audit of {seeds:d} fleets with {share:g} of {names}"
    ' and "{mutant}" finds "{promise}"'
)
@then(
    'the audit of {seeds:d} fleets with {share:g} of {names} and "" finds ""'
)
def check_audit(context, seeds, share, names, mutant="", promise=""):
    found = set()
    with fleet_mutants.apply_mutant(mutant):
        for seed in range(seeds):
            found.update(
                fleet_search.audit_random(seed, share, fault_names(names))
            )
            if promise in found:
                return
    assert not promise and not found, found
