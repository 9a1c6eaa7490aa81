import json
import re

from behave import given
from behave import then
from behave import when

from godwitloft import audit


def parse_line(text):
    """Parses ``time instance kind id name=value ...``."""
    wall, instance, kind, request_id, *fields = text.split()
    value = {
        "kind": kind,
        "id": "" if request_id == "-" else request_id,
        "instance": instance,
        "incarnation": instance,
        "mono_ms": int(wall),
        "wall_ms": int(wall),
    }
    for field in fields:
        name, _, content = field.partition("=")
        literal = re.fullmatch(r"\d+|true|false|\[.*\]", content)
        value[name] = json.loads(content) if literal else content
    return value


def number_lines(values):
    counts = {}
    numbered = []
    for value in sorted(values, key=lambda value: value["wall_ms"]):
        instance = value["instance"]
        counts[instance] = counts.get(instance, 0) + 1
        numbered.append({**value, "seq": counts[instance]})
    return numbered


@given("the trace")
def set_trace(context):
    lines = context.text.strip().splitlines()
    context.values = [parse_line(line) for line in lines]
    context.lost = None


@given("the ledger")
def set_ledger(context):
    context.ledger = context.text.strip().splitlines()


@when("the trace is changed by {changes}")
def change_trace(context, changes):
    for part in changes.split(" and "):
        word, _, rest = part.partition(" ")
        if word == "lost":
            context.lost = (rest.split()[3], int(rest.split()[1]))
        elif rest.startswith("ledger "):
            context.ledger.append(rest.removeprefix("ledger "))
        else:
            change_lines(context, word, parse_line(rest))


def change_lines(context, word, value):
    if word != "added":
        head = [value[name] for name in ("wall_ms", "instance", "kind", "id")]
        kept = [
            existing
            for existing in context.values
            if head
            != [existing[n] for n in ("wall_ms", "instance", "kind", "id")]
        ]
        assert len(kept) == len(context.values) - 1, head
        context.values = kept
    if word != "removed":
        context.values.append(value)


@when("the trace is audited")
def run_audit(context):
    lines = [
        json.dumps(value)
        for value in number_lines(context.values)
        if (value["instance"], value["seq"]) != context.lost
    ]
    lines.insert(3, '{"time": "now", "message": "a log line"}')
    context.report = audit.audit(lines, context.ledger)


@then("the audit finds no breach and has {count:d} requests")
def check_no_breach(context, count):
    assert not context.report.breaches, context.report.text()
    assert context.report.exit_status == 0
    assert context.report.requests == count, context.report.requests


@then('the audit finds only "{promises}" breached: {breach}')
def check_breach(context, promises, breach):
    breached = [
        finding for finding in context.report.findings if finding.breaches
    ]
    names = ", ".join(finding.promise for finding in breached)
    assert names == promises, context.report.text()
    assert breach in breached[-1].breaches, breached
    assert context.report.exit_status == 1


@then('the audit report has the line "{line}"')
def check_report(context, line):
    assert line in context.report.text().splitlines(), context.report.text()
