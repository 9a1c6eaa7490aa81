from behave import then

from features.support import fleet_mutants
from features.support import fleet_points
from features.support import fleet_search

SEEDS_FOR_MUTANTS = 60


def fault_names(text):
    return () if text == "all" else tuple(text.split())


@then('a {kind} call with the fault "{fault}" at each point ends as follows')
def check_points(context, kind, fault):
    for row in context.table:
        for point in context.table.headings:
            found, breaches = fleet_points.run_with_fault(kind, fault, point)
            assert not breaches, (point, breaches)
            assert found == row[point], (point, found)


@then("every single fault in one {kind} call keeps the invariants")
def check_search(context, kind):
    run_count, failures = fleet_search.search(kind, False)
    assert run_count > 500, run_count
    assert not failures, failures[:3]


@then(
    '{seeds:d} random fleets with fault share {share:g} of "{names}"'
    " keep the invariants"
)
def check_random(context, seeds, share, names):
    for seed in range(seeds):
        found = fleet_search.run_random(seed, share, fault_names(names))
        assert not found, (seed, found)


@then(
    'random fleets with fault share {share:g} of "{names}"'
    ' detect the mutant "{mutant}"'
)
def check_mutant(context, share, names, mutant):
    with fleet_mutants.apply_mutant(mutant):
        for seed in range(SEEDS_FOR_MUTANTS):
            if violates_invariants(seed, share, fault_names(names)):
                return
    raise AssertionError(f"mutant {mutant!r} not detected")


def violates_invariants(seed, share, names):
    try:
        return bool(fleet_search.run_random(seed, share, names))
    except Exception:
        # A mutant may also cause an input that a state chart doesn't allow.
        return True


@then(
    'the audit of {seeds:d} fleets with fault share {share:g} of "{names}"'
    ' and the mutant "{mutant}" finds "{promise}"'
)
@then(
    'the audit of {seeds:d} fleets with fault share {share:g} of "{names}"'
    ' and the mutant "" finds ""'
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
