import pathlib
import signal
import subprocess
import sys
import time

from behave import given
from behave import then
from behave import when

ROOT = pathlib.Path(__file__).parents[2]
END_S = 30


@given("a program that drains for a second{how}")
def start_ordered(context, how):
    start(context, *how.split()[-1:])


@given("a program that drains for a second")
def start_plain(context):
    start(context)


def start(context, *words):
    arguments = ["ordered"] if words else []
    context.program = subprocess.Popen(
        [sys.executable, "-m", "features.support.draining_program"]
        + arguments,
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    context.add_cleanup(end, context.program)
    context.lines = []
    read_until(context, "draining" if words else "ready")


def end(program):
    if program.poll() is None:
        program.kill()
    program.communicate(timeout=END_S)


def read_until(context, awaited):
    """Reads lines of the program up to one, or to its end."""
    for line in context.program.stdout:
        context.lines.append(line.strip())
        if line.strip() == awaited:
            return


@when('it gets "{names}" {gap_ms:d} ms apart')
def send(context, names, gap_ms):
    for name in names.split():
        context.program.send_signal(signal.Signals[name])
        time.sleep(gap_ms / 1000)


@when("it gets {name} as its interpreter ends")
def send_at_end(context, name):
    read_until(context, "ending")
    context.program.send_signal(signal.Signals[name])


@then("it has {drained} and ended with status {status:d}")
def check_end(context, drained, status):
    read_until(context, None)
    assert context.program.wait(END_S) == status, context.program.returncode
    assert ("drained" in context.lines) == (drained == "drained"), (
        context.lines
    )
    assert context.lines.count("stopped") == 1, context.lines


@then("it was asked to drain once")
def check_drains(context):
    assert context.lines.count("draining") == 1, context.lines
