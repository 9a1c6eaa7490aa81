import dataclasses
import hashlib
import json
import pathlib
import random

from behave import given
from behave import then
from behave import when

from godwitloft.coordination import delta
from godwitloft.objects import canonical
from godwitloft.objects import check
from godwitloft.objects import diff
from godwitloft.objects import errors
from godwitloft.objects import incremental
from godwitloft.objects import lookup
from godwitloft.objects import parse
from godwitloft.objects import revise
from godwitloft.objects import types
from godwitloft.operators import reference

VALID = {
    "tiers": [{"name": "gold", "rank": 0}, {"name": "silver", "rank": 1}],
    "services": [
        {"name": "chat", "kind": "model", "pools": ["fast"], "tier": "gold"},
        {"name": "desk", "kind": "plain", "pools": ["desk"], "tier": "gold"},
    ],
    "teams": [
        {"name": "one", "key_hashes": ["a" * 64], "tiers": ["gold"]},
        {"name": "two", "key_hashes": ["b" * 64], "tiers": ["silver"]},
    ],
    "pools": [
        {"name": "fast", "kind": "model"},
        {"name": "desk", "kind": "plain"},
    ],
}


@given("the valid example objects")
def make_valid(context):
    context.example = json.loads(json.dumps(VALID))


@given("another team with the key of team one")
def share_key(context):
    team = {"name": "thief", "key_hashes": ["a" * 64], "tiers": ["gold"]}
    context.example["teams"].append(team)


@when("objects are parsed from {text}")
def parse_objects(context, text):
    context.refusal = None
    try:
        parse.from_bytes(text.encode(), "input")
    except errors.ObjectsError as error:
        context.refusal = error


@then('the objects are refused with "{message}"')
def check_refusal(context, message):
    assert str(context.refusal) == message, str(context.refusal)


@when("{kind} {name} has its {field} set to {value}")
def set_field(context, kind, name, field, value):
    objects = context.example[kind + "s"]
    found = next(member for member in objects if member["name"] == name)
    found[field] = json.loads(value)


@when("the example has {count:d} more {plural}")
def add_many(context, count, plural):
    first = context.example[plural][0]
    context.example[plural].extend(
        {**first, "name": f"more-{index}"} for index in range(count)
    )


@then('the check reports "{problem}"')
def check_problem(context, problem):
    found = check.check(parse.from_value(context.example, "example"))
    assert any(problem in str(reported) for reported in found), [
        str(reported) for reported in found
    ]


@when("team one lists 1000 unknown services")
def set_many(context):
    names = [f"unknown-{index}" for index in range(1000)]
    context.example["teams"][0]["services"] = names


@then("the check reports {count:d} problems")
def check_count(context, count):
    found = check.check(parse.from_value(context.example, "example"))
    assert len(found) == count, len(found)


@then("the check reports no problem")
def check_no_problem(context):
    found = check.check(parse.from_value(context.example, "example"))
    assert found == (), found


@then(
    "its canonical hash is the same when shuffled with seeds {first:d} to"
    " {last:d}"
)
def check_hash(context, first, last):
    objects = parse.from_value(context.example, "example")
    hashes = set()
    for seed in range(first, last + 1):
        shuffled = types.ObjectSet(
            **{
                plural: tuple(
                    random.Random(seed).sample(
                        getattr(objects, plural), len(getattr(objects, plural))
                    )
                )
                for plural in parse.KINDS
            }
        )
        hashes.add(canonical.hash_of(canonical.encode(shuffled)))
    assert len(hashes) == 1, hashes
    other = dataclasses.replace(objects, teams=objects.teams[:1])
    assert canonical.hash_of(canonical.encode(other)) not in hashes


@then("its canonical form decodes to the same canonical form")
def check_round_trip(context):
    content = canonical.encode(parse.from_value(context.example, "example"))
    assert canonical.encode(canonical.decode(content)) == content


@when("{name} is revised with {assignments}")
def revise_object(context, name, assignments):
    context.before = parse.from_value(context.example, "example")
    context.after = None
    context.refusal = None
    try:
        target = revise.parse_name(name)
        context.after = revise.revise(
            context.before, target, assignments.split()
        )
    except errors.ObjectsError as error:
        context.refusal = error


@when("team one is removed and another added")
def replace_team(context):
    context.before = parse.from_value(context.example, "example")
    team = dataclasses.replace(context.before.teams[0], name="another")
    context.after = dataclasses.replace(
        context.before, teams=(team, *context.before.teams[1:])
    )


@then('the difference is "{text}"')
def check_difference(context, text):
    lines = []
    for change in diff.diff(context.before, context.after):
        fields = ", ".join(
            f"{field.field} {field.before!r} -> {field.after!r}"
            for field in change.fields
        )
        line = f"{change.action.value} {change.kind} {change.object}"
        lines.append(f"{line}: {fields}" if fields else line)
    assert "; ".join(lines) == text, lines


@then('the difference is ""')
def check_no_difference(context):
    check_difference(context, "")


@given('a service with idempotent calls "{calls}" and no others')
def make_service(context, calls):
    rules = tuple(
        types.Call(*call.split(), idempotent=True)
        for call in calls.split(", ")
    )
    context.service = types.Service(
        "desk", types.ServiceKind.PLAIN, ("desk",), "gold", rules
    )


@then('"{method} {path}" is {word}')
def check_call(context, method, path, word):
    rule = lookup.call_rule(context.service, method, path)
    assert rule.idempotent == (word == "idempotent"), rule


@given(
    "{teams:d} teams, {services:d} services and {pools:d} pools"
    " generated with seed {seed:d}"
)
def make_random_set(context, teams, services, pools, seed):
    rng = random.Random(seed)
    pool_names = [f"p{index}" for index in range(pools)]
    tiers = tuple(
        types.Tier(f"t{rank}", rank) for rank in rng.sample(range(99), 4)
    )
    kind = types.ServiceKind.MODEL
    context.objects = types.ObjectSet(
        tiers=tiers,
        services=tuple(
            types.Service(
                f"s{index}",
                kind,
                tuple(rng.sample(pool_names, rng.randint(1, pools))),
                tiers[0].name,
            )
            for index in range(services)
        ),
        teams=tuple(
            types.Team(
                f"team{index}",
                tuple(
                    hashlib.sha256(f"{index}/{key}".encode()).hexdigest()
                    for key in range(rng.randint(0, 3))
                ),
                (rng.choice(tiers).name,),
            )
            for index in range(teams)
        ),
        pools=tuple(types.Pool(name, kind) for name in pool_names),
    )


@then("the lookup agrees with a linear search")
def check_lookup(context):
    objects = context.objects
    found = lookup.build(objects)
    for index in range(len(objects.teams) + 2):
        for key in range(4):
            token = f"{index}/{key}"
            digest = hashlib.sha256(token.encode()).hexdigest()
            owners = [t for t in objects.teams if digest in t.key_hashes]
            expected = owners[0] if owners else None
            assert found.team_of_token(token) == expected, token
    for service in objects.services:
        assert {
            pool.name for pool in found.pools_of_service[service.name]
        } == {
            pool.name for pool in objects.pools if pool.name in service.pools
        }
    for pool in objects.pools:
        assert set(found.services_of_pool[pool.name]) == {
            service
            for service in objects.services
            if pool.name in service.pools
        }
    ranks = [tier.rank for tier in found.tiers_by_importance]
    assert ranks == sorted(tier.rank for tier in objects.tiers)


@then("every reference page equals the one generated from the data classes")
def check_pages(context):
    for page in reference.PAGES:
        file = pathlib.Path("docs") / page.file
        assert file.read_text(encoding="utf-8") == reference.render(page), (
            f"{file} is stale: run"
            " python -m godwitloft.operators.reference docs"
        )


@then("every field on a reference page has a description")
def check_descriptions(context):
    for page in reference.PAGES:
        for kind in page.kinds:
            assert reference.undocumented_fields(kind) == (), kind


def change_set(rng, objects):
    """Adds, changes or removes an object that no other object refers to."""
    teams = list(objects.teams)
    services = list(objects.services)
    action = rng.randrange(6)
    if action == 0:
        teams.append(types.Team(f"new{rng.random()}", ("c" * 64,), ("t",)))
    elif action == 1 and teams:
        teams.pop(rng.randrange(len(teams)))
    elif action == 2 and len(teams) > 1:
        # Swaps the keys of two teams.
        first, second = rng.sample(range(len(teams)), 2)
        keys = teams[first].key_hashes
        teams[first] = dataclasses.replace(
            teams[first], key_hashes=teams[second].key_hashes
        )
        teams[second] = dataclasses.replace(teams[second], key_hashes=keys)
    elif action == 3 and services:
        services.pop(rng.randrange(len(services)))
    elif teams:
        place = rng.randrange(len(teams))
        teams[place] = dataclasses.replace(
            teams[place], weight=rng.randint(1, 9)
        )
    unique = {team.key_hashes: team for team in teams}
    return dataclasses.replace(
        objects, teams=tuple(unique.values()), services=tuple(services)
    )


@then(
    "after each of {count:d} random changes the updated lookup equals a"
    " rebuilt one"
)
def check_updates(context, count):
    rng = random.Random(count)
    content = canonical.encode(context.objects)
    current = lookup.build(canonical.decode(content))
    for _ in range(count):
        newer = canonical.encode(change_set(rng, current.objects))
        changes = delta.difference(delta.split(content), delta.split(newer))
        current = incremental.update(current, changes)
        content = newer
        assert current == lookup.build(canonical.decode(newer)), changes


@when("the change of {kind} {name} to {text} is applied")
def apply_change(context, kind, name, text):
    context.refusal = None
    change = delta.ObjectChange(kind, name, text)
    try:
        incremental.update(lookup.build(context.objects), [change])
    except errors.ObjectsError as error:
        context.refusal = error
