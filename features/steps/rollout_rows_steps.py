import base64
import dataclasses
import functools
import json

from behave import then
from behave import when

from godwitloft.platform import json_fields
from godwitloft.platform import rollout_rows
from godwitloft.rollouts import types

ORDER = {"service": "desk", "to": "v2", "duration-s": 12}
ROLLOUT = types.Rollout(
    service="desk",
    order_version=412,
    to="v2",
    former=("v0", "v1"),
    phase=types.Phase.JUDGING,
    started_ms=51_230,
    duration_ms=12_000,
    reason="too few answers",
    bad_answers=3,
    decider="edge-a-1",
)


def value_of(content, field, text):
    """Returns a row's value, one field of which is a JSON text."""
    if field == "content" and text in ("missing", "not base64"):
        return None if text == "missing" else "?"
    if field != "content":
        changed = dict(content)
        if text == "missing":
            del changed[field]
        else:
            changed[field] = "\0"
        text = json.dumps(changed).replace('"\\u0000"', text)
    return base64.b64encode(text.encode()).decode()


def record_error(context, decode):
    context.decoded = context.error = None
    try:
        context.decoded = decode()
    except json_fields.RowError as error:
        context.error = error


@when('an order for "desk" has {field} {value}')
def decode_order(context, field, value):
    services = {"desk", "model"}
    if value == "unknown":
        services.remove("desk")
        value = '"desk"'
    row = value_of(ORDER, field, value)

    def decode():
        order = rollout_rows.decode_order("desk", 7, "op/rollout/desk", row)
        rollout_rows.check_order(
            order, "op/rollout/desk", services, ["v1", "v1"]
        )
        return order

    record_error(context, decode)


@when('a saved roll-out of "desk" has {field} {value}')
def decode_saved(context, field, value):
    content = json.loads(
        base64.b64decode(rollout_rows.encode_rollout(ROLLOUT))
    )
    row = value_of(content, field, value)
    record_error(
        context,
        functools.partial(
            rollout_rows.decode_rollout, "desk", "rollouts/desk", row
        ),
    )


@then('it is refused as "{message}"')
def check_refused(context, message):
    assert context.error is not None, context.decoded
    assert message in str(context.error), context.error


@then('it is an order to "v2" within {duration_ms:d} ms')
def check_order(context, duration_ms):
    assert context.error is None, context.error
    assert context.decoded == types.Order("desk", "v2", duration_ms, 7)


@when('a roll-out in the phase "{phase}" is written and read')
def write_and_read(context, phase):
    context.written = dataclasses.replace(ROLLOUT, phase=types.Phase(phase))
    value = rollout_rows.encode_rollout(context.written)
    context.decoded = rollout_rows.decode_rollout(
        "desk", "rollouts/desk", value
    )


@then('it is the same, and its status is "{state}"')
def check_same(context, state):
    assert context.decoded == context.written, context.decoded
    value = rollout_rows.encode_status(context.decoded)
    status = json.loads(base64.b64decode(value))
    assert status == {"state": state, "to": "v2"}, status
