import dataclasses
import json
import random

from behave import given
from behave import then
from behave import when

from godwitloft.objects import canonical
from godwitloft.objects import check
from godwitloft.objects import errors
from godwitloft.objects import parse
from godwitloft.objects import types

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


@when("{kind} {name} gets {field} set to {value}")
def set_field(context, kind, name, field, value):
    objects = context.example[kind + "s"]
    found = next(one for one in objects if one["name"] == name)
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
    assert any(problem in str(one) for one in found), [
        str(one) for one in found
    ]


@then("the check reports nothing")
def check_no_problem(context):
    found = check.check(parse.from_value(context.example, "example"))
    assert found == (), found


@then(
    "shuffled by seeds {first:d} to {last:d} its canonical hash stays the same"
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
