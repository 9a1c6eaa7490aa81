import dataclasses
import hashlib
import json

from behave import then
from behave import when

from godwitloft.entry import call_parser
from godwitloft.objects import lookup
from godwitloft.objects import parse

KEY = "secret"
OBJECTS = {
    "tiers": [{"name": "gold", "rank": 0}],
    "services": [
        {"name": "desk", "kind": "plain", "pools": ["desk"], "tier": "gold"}
    ],
    "teams": [
        {
            "name": "one",
            "key_hashes": [hashlib.sha256(KEY.encode()).hexdigest()],
            "tiers": ["gold"],
        }
    ],
    "pools": [{"name": "desk", "kind": "plain"}],
}


@when('a plain call has the {part} "{value}"')
def parse_call(context, part, value):
    value = value.encode().decode("unicode_escape")
    incoming = call_parser.IncomingRequest(
        method="POST",
        path="/x",
        headers={"authorization": f"Bearer {KEY}"},
        body=b"",
    )
    if part in ("path", "method"):
        incoming = dataclasses.replace(incoming, **{part: value})
    else:
        headers = {**incoming.headers, part: value}
        incoming = dataclasses.replace(incoming, headers=headers)
    objects = lookup.build(
        parse.from_bytes(json.dumps(OBJECTS).encode(), "test")
    )
    context.result = "accepted"
    try:
        call_parser.plain_call(incoming, "desk", objects)
    except call_parser.Rejected as problem:
        context.result = f"refused with {problem.status}: {problem.message}"


@then("the call is {result}")
def check_result(context, result):
    assert context.result == result, context.result
