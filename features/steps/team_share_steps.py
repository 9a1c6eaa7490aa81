import collections

from behave import then
from behave import when

from features.support import former_admission
from features.support import scarce_fleet
from godwitloft.policy import team_share

TEAMS = 16
USUAL = 0.7
FLOOD = 8
# Until the gateways know the rates.
SETTLING_MS = 3_000
# Larger than what any team uses in these loads.
ALLOWANCE_FACTOR = 160


@when(
    'teams ask for "{asked}" with weights "{weights}" and {served:g} of all'
    " can be served"
)
def divide(context, asked, weights, served):
    loads = {
        f"t{number}": team_share.TeamLoad(
            float(amount), float(amount) / weight
        )
        for number, (amount, weight) in enumerate(
            zip(asked.split(), map(float, weights.split()), strict=True)
        )
    }
    context.parts = team_share.parts_within_shares(loads, served)


@then('the parts within their shares are "{parts}"')
def check_parts(context, parts):
    found = list(context.parts.values())
    expected = [float(part) for part in parts.split()]
    differences = [
        abs(one - other) for one, other in zip(found, expected, strict=True)
    ]
    assert max(differences) < 0.001, context.parts


@when(
    "{who} of 16 teams at {gateways:d} gateways send 8 times their usual load,"
    " {allowances}"
)
def flood(context, who, gateways, allowances):
    context.floods = who.split(" and ")
    context.runs = [
        play(context.floods, gateways, allowances == "with allowances", adapt)
        for adapt in (former_admission.restore, lambda _gateway: None)
    ]


def play(floods, gateways, has_allowances, adapt):
    """Returns the requests of each team in the flood."""
    engines = 6 if gateways == 1 else 4 * gateways
    sizes = {f"t{number:02d}": 1 / (number + 1) for number in range(TEAMS)}
    per_size = USUAL * engines * scarce_fleet.SLOTS / sum(sizes.values())
    usual = {team: size * per_size for team, size in sizes.items()}
    factor = ALLOWANCE_FACTOR if has_allowances else 0
    fleet = scarce_fleet.ScarceFleet(
        gateways,
        engines,
        teams={team: rate * factor for team, rate in usual.items()},
        adapt=adapt,
    )
    fleet.run(4_000, usual)
    first_ms = fleet.now_ms + SETTLING_MS
    rates = {
        team: rate * (FLOOD if team in floods else 1)
        for team, rate in usual.items()
    }
    fleet.run(15_000, rates)
    end_ms = fleet.now_ms
    fleet.run(5_000)
    found = collections.defaultdict(list)
    for asked in fleet.asked:
        if first_ms <= asked.born_ms < end_ms:
            found[asked.team].append(asked.begun_ms is not None)
    return found


def share(groups):
    served = [was for group in groups for was in group]
    return sum(served) / len(served)


@then(
    "the other teams' requests are served {least:g} times as often as"
    " formerly, {most:g} of them"
)
def check_others(context, least, most):
    before, now = (
        share(run[team] for team in run if team not in context.floods)
        for run in context.runs
    )
    assert now >= most and now >= least * before, (now, before)


@then("each team is served at least a quarter as often as all")
def check_starving(context):
    run = context.runs[1]
    shares = {team: share([served]) for team, served in run.items()}
    assert min(shares.values()) >= share(run.values()) / 4, shares


@then("of all requests at most 0.02 fewer are served than formerly")
def check_total(context):
    before, now = (share(run.values()) for run in context.runs)
    assert now >= before - 0.02, (now, before)
