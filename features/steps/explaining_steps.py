import concurrent.futures
import json
import pathlib
import subprocess
import sys

from behave import given
from behave import then
from behave import when

from features.support import lakeshore
from godwitloft import events
from godwitloft.audit import explanation
from godwitloft.audit import log_promises
from godwitloft.audit import request_logs
from godwitloft.audit import rollout_history
from godwitloft.ui import rollout

ROOT = pathlib.Path(__file__).parents[2]
RUNNER_SLOTS = 8
STREAM_COUNT = 40


def ask_stream(context, request_id, events, deadline_ms=4000):
    return context.world.send_request(
        "POST",
        "/once/x",
        request_id,
        Godwitloft_Token_Counts=f"5,{events}",
        Godwitloft_Deadline_Ms=str(deadline_ms),
    )


@when("more streams arrive than the runners can take")
def overload_runners(context):
    with concurrent.futures.ThreadPoolExecutor(STREAM_COUNT) as pool:
        filling = [
            pool.submit(ask_stream, context, f"fill{number}", 150)
            for number in range(STREAM_COUNT)
        ]
        lakeshore.wait_until(
            lambda: sum(map(len, context.world.fetch("ledger").values())) >= 1,
            "a stream's start",
        )
        status = ask_stream(context, "full", 5, 600)[0]
        for future in filling:
            future.result()
    assert status == 503, status


@when("a runner aborts a stream")
def cut_stream(context):
    context.world.control(runners={"i-model-1": {"gone": True}})
    context.world.control(runners={"i-model-0": {"cut_after": [1]}})
    lakeshore.wait_until(
        lambda: ask_stream(context, "cut", 3)[3] is False,
        "the abort of a stream",
    )


@when("the answer to a non-idempotent call is lost")
def lose_answer(context):
    context.world.control(
        runners={
            "i-desk-0": {"lose_answers": 1},
            "i-desk-1": {"refuse": 100},
        }
    )
    status = context.world.send_request("POST", "/post/x", "lost")[0]
    assert status == 502, status
    assert len(context.world.find_runs("lost")) == 1


@when("a key of no team is used")
def use_unknown_key(context):
    status = context.world.send_request("GET", "/lookup/x", "nobody", "key-z")[
        0
    ]
    assert status == 401, status


@when("the entry is stopped and its log is saved")
def stop_and_save_log(context):
    context.world.entry.terminate()
    save_log(context)


@when("its log is saved once it has ended")
def save_log(context):
    output, _ = context.world.entry.communicate(timeout=lakeshore.TIMEOUT_S)
    file = pathlib.Path(context.world.directory.name) / "entry.log"
    file.write_text(output, encoding="utf-8")
    context.log_file = str(file)


def command(*words):
    return subprocess.run(
        [sys.executable, "-m", "godwitloft.ui.main", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=lakeshore.TIMEOUT_S,
    )


@then('the explain command for "{request}" prints "{cause}"')
def check_explained(context, request, cause):
    done = command("explain", request, context.log_file)
    assert done.returncode == 0, done.stderr
    assert f"cause: {cause}" in done.stdout, done.stdout


@then("the audit of the log finds no breach")
def check_kept(context):
    done = command("audit", "--logs", context.log_file)
    assert done.returncode == 0, done.stdout + done.stderr
    assert "BREACHED" not in done.stdout, done.stdout


def parse_value(text):
    literals = {"true": True, "false": False}
    if text in literals:
        return literals[text]
    if text.startswith("["):
        return json.loads(text)
    return int(text) if text.isdigit() else text


@given('the log of "{process}"')
def given_log(context, process):
    lines = []
    for row in context.table:
        seconds, ms = divmod(int(row["ms"]), 1000)
        line = {
            "time": f"2026-01-01 00:00:{seconds:02},{ms:03}",
            "event": row["event"],
        }
        for pair in row["fields"].split():
            name, _, value = pair.partition("=")
            line[name] = parse_value(value)
        collected = f"  {row['ms']}.5 {process} {json.dumps(line)}"
        lines.append(("all.log", collected))
    context.logs = request_logs.Logs(lines)
    assert context.logs.unreadable == 0


@when('"{request}" is explained')
def explain(context, request):
    (context.explanation,) = explanation.explain(context.logs, request)


@when('"{request}" is explained from GL1206 alone')
def explain_alone(context, request):
    (record,) = [
        record
        for record in context.log.records
        if record.event is events.ANSWER_FAILED
    ]
    line = events.JsonFormatter().format(record)
    context.logs = request_logs.Logs([("edge-1.log", line)])
    explain(context, request)


@then('the cause is "{cause}"')
def check_cause(context, cause):
    assert context.explanation.cause == cause, context.explanation


@then('the evidence has "{part}"')
def check_evidence(context, part):
    evidence = context.explanation.evidence
    assert any(part in text for text in evidence), evidence


@when("the log is audited")
def audit_log(context):
    context.report = log_promises.audit_logs(context.logs)


@then('only "{promise}" is breached')
def check_breached(context, promise):
    found = [
        finding.promise
        for finding in context.report.findings
        if finding.breaches
    ]
    expected = [] if promise == "-" else [promise]
    assert found == expected, context.report


@when("roll-outs are explained")
def explain_rollouts(context):
    context.explained = []
    for history in rollout_history.find(context.logs):
        context.explained += rollout.format_history(history)


@then("the text has")
def text_has(context):
    for row in context.table:
        assert row["line"] in context.explained, context.explained
