import contextlib
import io
import json
import pathlib
import socket
import subprocess
import sys
import urllib.request

from behave import given
from behave import then
from behave import when

from godwitloft.standins import engine as engines
from godwitloft.standins import main as standin_main

ROOT = pathlib.Path(__file__).parents[2]
STANDIN = "godwitloft.standins.main"
LIMIT_S = 60


def start(context, *words):
    """Starts a Python module as a process that ends with the scenario."""
    process = subprocess.Popen(
        [sys.executable, "-m", *words],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )

    def stop():
        process.terminate()
        process.communicate(timeout=LIMIT_S)

    context.add_cleanup(stop)
    return process


def url_of(process):
    return "http://" + json.loads(process.stdout.readline())["listening"]


@given("a stand-in platform as a process")
def start_platform(context):
    context.url = url_of(start(context, STANDIN, "platform"))


@when('a process connects to it and calls "{script}"')
def run_client(context, script):
    client = start(
        context, "features.support.platform_client", context.url, script
    )
    context.output, context.errors = client.communicate(timeout=LIMIT_S)


@when('a process connects to a closed port and calls "{script}"')
def run_without_platform(context, script):
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        context.url = f"http://127.0.0.1:{unused.getsockname()[1]}"
        run_client(context, script)


@then('it prints "{results}"')
def check_output(context, results):
    assert context.output.strip() == results, (context.output, context.errors)


@when("a prompt with the crash mark is sent to an engine process that exits")
def crash_process(context):
    process = start(
        context,
        STANDIN,
        "engine",
        "--settings",
        '{"exit_on_crash": true, "print_ledger": true}',
    )
    mark = engines.EngineSettings().crash_mark
    body = json.dumps({"model": "bean-model", "prompt": mark}).encode()
    try:
        urllib.request.urlopen(url_of(process) + "/v1/completions", body)
    except OSError as error:
        context.error = error
    context.output, _ = process.communicate(timeout=LIMIT_S)
    context.status = process.returncode


@then("its status is {status:d} and it printed that the run crashed")
def check_crash(context, status):
    run = json.loads(context.output)["run"]
    assert (context.status, run["ended"]) == (status, "crashed"), run
    assert context.error


@when('the stand-in command is run with "{words}"')
def run_command(context, words):
    printed = io.StringIO()
    try:
        with contextlib.redirect_stderr(printed):
            standin_main.main(words.split())
    except SystemExit as end:
        context.status = end.code
    context.errors = printed.getvalue()


@then('the stand-in command ends with {status:d} and says "{message}"')
def check_command(context, status, message):
    assert context.status == status, context.errors
    assert message in context.errors, context.errors
