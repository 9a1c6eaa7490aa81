import json
import pathlib
import select
import subprocess
import sys
import time

from behave import given
from behave import then
from behave import when

ROOT = pathlib.Path(__file__).parents[2]
END_S = 30


@given("a program that logs {lines:d} lines and ends by {end}")
def start_logging(context, lines, end):
    context.program = subprocess.Popen(
        [sys.executable, "-m", "features.support.logging_program"]
        + [str(lines), end],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    context.add_cleanup(stop, context.program)


def stop(program):
    if program.poll() is None:
        program.kill()
    program.wait(END_S)
    if not program.stdout.closed:
        program.stdout.close()


def wait_for_lines(program):
    """Waits until there is something to read, and reads nothing."""
    readable, _, _ = select.select([program.stdout], [], [], END_S)
    assert readable


@when("its log is read from {delay_ms:d} ms after they were written")
def read_late(context, delay_ms):
    wait_for_lines(context.program)
    time.sleep(delay_ms / 1000)
    context.output = context.program.stdout.read()


@when("its log is not read")
def read_nothing(context):
    wait_for_lines(context.program)
    context.written_s = time.monotonic()


@when("its log's reader closes the pipe")
def close_pipe(context):
    wait_for_lines(context.program)
    context.program.stdout.close()


@then("all of its {count:d} lines have arrived")
def check_arrived(context, count):
    lines = [json.loads(line) for line in context.output.splitlines()]
    found = [
        line["number"]
        for line in lines
        if line["event"] == "GL1206" and "number" in line
    ]
    assert found == list(range(count)), (len(found), lines[-1])


@then("it ends within {limit_ms:d} ms after its first line")
def check_ends(context, limit_ms):
    context.program.wait(END_S)
    took_ms = (time.monotonic() - context.written_s) * 1000
    assert took_ms < limit_ms, took_ms


@then("the program that logs ends with status {status:d}")
def check_log_status(context, status):
    assert context.program.wait(END_S) == status
