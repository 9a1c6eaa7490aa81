"""Rows and messages of other writers with fields of each JSON type."""

import base64
import copy
import json

from behave import then
from behave import when

from features.support import lakeshore
from features.support import logs
from godwitloft.platform import agent as agents
from godwitloft.platform import store as stores

# One JSON text or more of each type.
TEXTS = (
    "null",
    "true",
    "false",
    "0",
    "-1",
    "2.5",
    "1e400",
    "NaN",
    "1" + "0" * 399,
    '""',
    '"x"',
    '"\\ud800"',
    '"a\\r\\nb: c"',
    "[]",
    '["ready"]',
    "[[1]]",
    "[{}]",
    "{}",
    '{"ready": 1}',
    '{"a": {"b": [1]}}',
    "[" * 900 + "]" * 900,
)
MARK = "@odd@"


def base_row(restored, table):
    """Returns a valid row of a table."""
    if table == "op":
        row = copy.deepcopy(lakeshore.config(5))
        row["routes"][1]["split"] = [{"service": "model", "weight": 1}]
        return row
    return {
        "servers": {
            "service": "desk",
            "address": "127.0.0.1:9",
            "zone": "a",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "sequence": 1,
            "cold-remaining-ms": 1,
            "born": 1,
        },
        "gateways": {
            "host": "127.0.0.9",
            "renewed_ms": restored.rows.now_ms(),
            "used": {"team-a": [1, 2]},
            "blames": [
                {
                    "cause": "part:p",
                    "crashes": [{"id": "c", "age_ms": 1}],
                    "trials": 1,
                    "trial_age_ms": 1,
                }
            ],
            "versions": {"model": {"v1": 0}},
            "new_versions": [{"service": "model", "version": "v2"}],
        },
        "streams": {
            "saved_ms": restored.rows.now_ms(),
            "streams": {"model": {"v1": ["0"]}},
        },
    }[table]


def odd_texts(row, path):
    """Returns a row's JSON text with each odd value at a dotted path."""
    *steps, last = [
        int(step) if step.isdigit() else step for step in path.split(".")
    ]
    parent = row
    for step in steps:
        parent = parent[step]
    parent[last] = MARK
    whole = json.dumps(row)
    return [whole.replace(f'"{MARK}"', text) for text in TEXTS]


@when('rows of "{table}" are left with a {field} of each JSON type')
def leave_rows(context, table, field):
    restored = context.restored
    context.log = logs.record(context)
    context.odd_keys = []
    for number, text in enumerate(odd_texts(base_row(restored, table), field)):
        # The operators' table has one row.
        key = "config" if table == "op" else f"odd-{number}"
        context.odd_keys.append(key)
        content = base64.b64encode(text.encode()).decode()
        restored.rows.put(table, key, content)
        if table == "op":
            restored.advance(40)


@when("the gateway reads all tables")
def read_all(context):
    restored = context.restored
    restored.lease.renewals = 0
    restored.lease.renewed_ms = 0
    restored.lease.usage_restored = False
    restored.streams.was_read = False
    for _ in range(20):
        restored.gateway.tick()
        restored.gateway.announce()
        restored.advance(100)


@then('the gateway has configuration {version:d} and uses "{names}" as before')
def check_gateway(context, version, names):
    gateway = context.restored.gateway
    assert gateway.config_state.version == version
    usable = [
        name
        for name in context.restored.usable()
        if not name.startswith("odd-")
    ]
    assert usable == names.split(","), usable


@then('each of these rows of "{table}" is read or named in the log')
def check_named(context, table):
    restored = context.restored
    skipped = {
        fields["row"]
        for fields in context.log.fields("GL1504")
        if fields["reason"]
    }
    if table == "servers":
        listed = set(restored.gateway.fleet.listed)
        for key in context.odd_keys:
            is_named = f"servers/{key}" in skipped
            assert is_named != (key in listed), key
    else:
        # Each field has a type, so that some of the rows are refused.
        assert any(f"{table}/{key}" in skipped for key in context.odd_keys)


def read_each(texts, decode):
    """Returns why each of the bodies can't be used, None where it can."""
    found = []
    for text in texts:
        try:
            decode(stores.Answer(json.loads(text), 0))
            found.append(None)
        except stores.StoreError as error:
            found.append(str(error))
    return found


@when("an engine reports a {field} of each JSON type")
def report(context, field):
    body = {"running": 1, "waiting": 1, "born": 1}
    context.refusals = read_each(odd_texts(body, field), agents.decode_report)
    context.field = field


@when("the store answers with a {field} of each JSON type")
def answer(context, field):
    body = {
        "rows": [{"key": "k", "value": "e30=", "ver": 1, "removed": False}],
        "ver": 1,
        "now-ms": 1,
        "has-more": False,
    }
    context.refusals = read_each(odd_texts(body, field), stores.decode_rows)
    context.field = field.split(".")[0]


@then("each report is read or refused by name")
@then("each answer is read or refused by name")
def check_refusals(context):
    assert any(reason is not None for reason in context.refusals)
    for reason in context.refusals:
        assert reason is None or context.field in reason, reason
