import copy
import dataclasses
import json

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from godwitloft import settings
from godwitloft.objects import canonical
from godwitloft.objects import check
from godwitloft.objects import errors
from godwitloft.objects import parse
from godwitloft.objects import revise
from godwitloft.objects import types

MAX_MESSAGE_CHARACTERS = 1500
VALID = {
    "tiers": [{"name": "gold", "rank": 0, "timeout_ms": 5}],
    "services": [
        {
            "name": "desk",
            "kind": "plain",
            "pools": ["pool-a"],
            "tier": "gold",
            "calls": [{"method": "GET", "path": "a", "idempotent": True}],
        }
    ],
    "teams": [
        {
            "name": "one",
            "key_hashes": ["a" * 64],
            "tiers": ["gold"],
            "services": [],
            "weight": 1,
            "max_running": 0,
            "max_waiting": 0,
            "tokens_per_s": 0,
        }
    ],
    "pools": [
        {
            "name": "pool-a",
            "kind": "plain",
            "wanted": {"model": "m", "version": "", "adapter": "", "role": ""},
            "checks_orders": False,
            "resumable": False,
            "max_order_ms": 1,
            "max_running": 1,
        }
    ],
}
FIELD_KEYS = [
    (plural, field)
    for plural, members in VALID.items()
    for field in members[0]
]
WORDS = strategies.sampled_from(
    [
        *VALID,
        *(field for _, field in FIELD_KEYS),
        "gold",
        "desk",
        "GET",
        "model",
    ]
)
SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=20)
    | WORDS
)
JSON = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            WORDS | strategies.text(max_size=5), inner, max_size=4
        )
    ),
    max_leaves=12,
)
LARGE = strategies.just("x" * 100_000) | strategies.just([0] * 100_000)


@strategies.composite
def changed_sets(draw):
    """A valid set with at least one field replaced by an arbitrary value."""
    value = copy.deepcopy(VALID)
    field_keys = draw(
        strategies.lists(strategies.sampled_from(FIELD_KEYS), min_size=1)
    )
    for plural, field in field_keys:
        value[plural][0][field] = draw(JSON | LARGE)
    return value


@strategies.composite
def typed_sets(draw):
    """A set whose fields have the right types and arbitrary content."""
    text = strategies.text(max_size=8) | WORDS
    names = strategies.text(min_size=1, max_size=8)
    kinds = strategies.sampled_from(types.ServiceKind)
    texts = strategies.lists(text, min_size=1, max_size=3).map(tuple)
    call = strategies.builds(types.Call, text, text, strategies.booleans())
    wanted = strategies.builds(types.WantedState, text, text, text, text)
    tier = strategies.builds(types.Tier, names, strategies.integers(0, 99))
    service = strategies.builds(
        types.Service,
        names,
        kinds,
        texts,
        names,
        strategies.lists(call, max_size=3).map(tuple),
    )
    team = strategies.builds(types.Team, names, texts, texts)
    pool = strategies.builds(
        types.Pool, names, kinds, strategies.none() | wanted
    )
    members = (
        draw(strategies.lists(member, max_size=3).map(tuple))
        for member in (tier, service, team, pool)
    )
    return types.ObjectSet(*members)


def parse_bytes(content):
    try:
        parse.from_bytes(content, "input")
    except errors.ObjectsError as error:
        assert str(error).startswith("input: "), error
        assert len(str(error)) < MAX_MESSAGE_CHARACTERS


def parse_json(value):
    parse_bytes(json.dumps(value).encode())


def parse_changed(value):
    try:
        objects = parse.from_value(value, "input")
    except errors.ObjectsError as error:
        message = str(error)
        assert len(message) < MAX_MESSAGE_CHARACTERS
        assert any(
            name in message and f"key {field!r}"[:-1] in message
            for plural, members in VALID.items()
            for field in members[0]
            for name in (f"input: {plural[:-1]} ", f"input: {plural}[0]")
        ), message
    else:
        problems = check.check(objects)
        assert all(len(str(p)) < MAX_MESSAGE_CHARACTERS for p in problems)


def check_typed(objects):
    for problem in check.check(objects):
        names = [
            member.name for member in getattr(objects, problem.kind + "s")
        ]
        assert problem.object in names, problem
        field = problem.field.partition("[")[0].partition(".")[0]
        kind = parse.KINDS[problem.kind + "s"]
        assert field in kind.__dataclass_fields__, problem
    content = canonical.encode(objects)
    assert canonical.encode(canonical.decode(content)) == content


def revise_valid(assignment):
    objects = parse.from_value(VALID, "input")
    target = revise.ObjectName("pools", "pool-a")
    try:
        after = revise.revise(objects, target, [assignment])
    except errors.ObjectsError as error:
        assert str(error).startswith("object 'pool/pool-a': "), error
        assert len(str(error)) < MAX_MESSAGE_CHARACTERS
    else:
        assert after.pools[0].name == "pool-a"
        assert dataclasses.replace(after, pools=objects.pools) == objects


def load_settings(value):
    for kind in (settings.EntrySettings, settings.AgentSettings):
        try:
            settings.parse(json.dumps(value).encode(), kind, "f.json")
        except settings.SettingsError as error:
            assert str(error).startswith("f.json"), error


FIELDS = [field for plural, field in FIELD_KEYS if plural == "pools"]
PATHS = strategies.lists(
    strategies.sampled_from([*FIELDS, "model", "0", ""]) | strategies.text(),
    max_size=3,
).map(".".join)
SETTING_NAMES = strategies.sampled_from(
    [field.name for field in dataclasses.fields(settings.AgentSettings)]
    + ["address", "port", "kind", "url", "role", "peers", "token_hash"]
)
PROPERTIES = {
    "any bytes decode or raise ObjectsError": (
        strategies.binary() | strategies.text().map(str.encode),
        parse_bytes,
    ),
    "any JSON decodes or raises ObjectsError": (
        JSON,
        parse_json,
    ),
    "an invalid field is refused with its object and field": (
        changed_sets(),
        parse_changed,
    ),
    "any set can be checked and decoded from its canonical form": (
        typed_sets(),
        check_typed,
    ),
    "any revision changes one object or raises ObjectsError": (
        strategies.builds(
            "{}={}".format, PATHS, JSON.map(json.dumps) | strategies.text()
        ),
        revise_valid,
    ),
    "any settings load or raise SettingsError": (
        strategies.dictionaries(SETTING_NAMES, JSON),
        load_settings,
    ),
}


@then("for {count:d} generated inputs, {name} holds")
def check_property(context, count, name):
    strategy, check_example = PROPERTIES[name]
    run = hypothesis.given(strategy)(check_example)
    hypothesis.settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )(run)()


@when("objects are parsed from {depth:d} nested lists")
def parse_nested(context, depth):
    text = '{"tiers": {"name": ' + "[" * depth + "]" * depth + "}}"
    context.refusal = None
    try:
        parse.from_bytes(text.encode(), "input")
    except errors.ObjectsError as error:
        context.refusal = error


@then('the objects are refused with a message that contains "{message}"')
def check_refusal_part(context, message):
    assert message in str(context.refusal), context.refusal
