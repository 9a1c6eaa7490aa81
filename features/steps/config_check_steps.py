import asyncio
import copy
import io
import json
import pathlib
import subprocess
import sys
import tempfile
import time

from behave import given
from behave import then
from behave import when

from features.support import lakeshore
from godwitloft.configurations import changes
from godwitloft.configurations import check
from godwitloft.configurations import service_upstreams
from godwitloft.platform import config_entries
from godwitloft.ui import main
from godwitloft.ui import session as sessions

ROUTE = {
    "name": "draft",
    "host": "a.example",
    "prefix": "/draft/",
    "kind": "streaming",
    "timeout-ms": 9000,
    "target-latency-ms": 400,
    "priority": 0,
    "service": "model",
    "max-attempts": 2,
    "resumable": True,
    "gap-aim-ms": 300,
}
BASE = {
    "version": 7,
    "routes": [
        ROUTE,
        {
            "name": "post",
            "host": "a.example",
            "prefix": "/post/",
            "kind": "non_idempotent",
            "timeout-ms": 900,
            "target-latency-ms": 150,
            "priority": 1,
            "split": [{"service": "desk", "weight": 1}],
            "max-attempts": 1,
        },
    ],
    "services": [
        {
            "name": "model",
            "max-connections": 50,
            "engine": {"slots": 4, "kv-capacity-tokens": 1000},
        },
        {"name": "desk", "max-connections": 50},
    ],
    "tenants": [
        {
            "name": name,
            "api-keys": [f"key-{name}"],
            "unit": "tokens",
            "plain-tokens": 10,
            "rate-per-s": 100,
            "burst": 100,
        }
        for name in ("a", "b")
    ],
    "limits": {"idle-timeout-ms": 15000},
}
UPSTREAMS = {
    "model": service_upstreams.ServiceUpstreams(2, 8),
    "desk": service_upstreams.ServiceUpstreams(2, 8),
}


def set_field(config, path, value):
    """Sets a field by its dotted path; the value ``-`` removes it."""
    *parents, last = [
        int(part) if part.isdecimal() else part for part in path.split(".")
    ]
    entry = config
    for part in parents:
        entry = entry[part]
    if value == "-":
        del entry[last]
    elif isinstance(entry, list) and last == len(entry):
        entry.append(value)
    else:
        entry[last] = value


def decoded_value(text):
    if text == "a copy of draft":
        return ROUTE | {"name": "copy"}
    return text if text == "-" else json.loads(text)


def find(config, known=UPSTREAMS):
    decoded = config_entries.decode("file", config)
    surroundings = check.Surroundings(0.2, 8000, known, decoded.has_all_routes)
    return check.in_order(
        (
            *decoded.findings,
            *check.check(decoded.configuration, surroundings),
        )
    )


@given("a sound configuration")
def sound(context):
    context.sent_config = copy.deepcopy(BASE)
    context.known = UPSTREAMS


@given("{count:d} upstreams of {service}")
def with_upstreams(context, count, service):
    context.known = dict(UPSTREAMS)
    context.known.pop(service)
    if count:
        found = service_upstreams.ServiceUpstreams(count, 4 * count)
        context.known[service] = found


@given("the standing example {name}")
def standing(context, name):
    context.sent_config = {
        "of the checks": copy.deepcopy(BASE),
        "of the stand-in": lakeshore.config(),
    }[name]
    context.known = None


@given("a configuration with {count:d} routes")
def many_routes(context, count):
    context.sent_config = copy.deepcopy(BASE)
    context.known = UPSTREAMS
    context.sent_config["routes"] += [
        ROUTE | {"name": f"r{number}", "prefix": f"/p{number}/"}
        for number in range(count - 2)
    ]


@when("{path} is set to {value}")
def change(context, path, value):
    set_field(context.sent_config, path, decoded_value(value))


@when("it is checked")
def run_check(context):
    started = time.monotonic()
    context.found = find(context.sent_config, context.known)
    context.took_s = time.monotonic() - started


@then("the check took less than a second")
def check_time(context):
    assert context.took_s < 1, context.took_s


@then("nothing is found")
def check_none(context):
    assert not context.found, [str(found) for found in context.found]


@then("the only finding is {text}")
def check_only(context, text):
    found = [str(finding) for finding in context.found]
    assert len(found) == 1, found
    assert text in found[0], found


@then("it is compared, and the first difference is {text}")
def check_first_change(context, text):
    before = config_entries.decode("old", BASE).configuration
    after = config_entries.decode("new", context.sent_config).configuration
    found = [str(change) for change in changes.compare(before, after)]
    assert found and text in found[0], found


@when("the file is checked against the version before by the command{how}")
def run_command(context, how):
    with tempfile.TemporaryDirectory() as folder:
        old = pathlib.Path(folder) / "old.json"
        new = pathlib.Path(folder) / "new.json"
        old.write_text(json.dumps(BASE))
        new.write_text(
            "{" if "unreadable" in how else json.dumps(context.sent_config)
        )
        words = ["check-config", str(new), "--in-force", str(old)]
        if "JSON" in how:
            words.append("--json")
        output, problems = io.StringIO(), io.StringIO()
        session = sessions.Session(None, None, problems)
        context.code = asyncio.run(
            main.run(main.parse(words), session, output)
        )
        context.printed = output.getvalue() + problems.getvalue()


@when("the file is checked against a stand-in store")
def check_store(context):
    world = lakeshore.World(context)
    world.control(config=BASE)

    def lists_all():
        listed = world.fetch("rows-get?table=servers&part=")
        return len(listed["rows"]) >= len(world.fetch("ledger"))

    lakeshore.wait_until(lists_all, "the list of all upstreams")
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "new.json"
        path.write_text(json.dumps(context.sent_config))
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "godwitloft.ui.main",
                "check-config",
                str(path),
                "--store",
                world.store,
            ],
            cwd=lakeshore.ROOT,
            capture_output=True,
            text=True,
            timeout=lakeshore.TIMEOUT_S,
            check=False,
        )
    context.code = done.returncode
    context.printed = done.stdout + done.stderr


@then('the command ends with {code:d} and prints "{text}"')
def check_command(context, code, text):
    assert context.code == code, (context.code, context.printed)
    assert text in context.printed, context.printed
