import re
import subprocess
import sys

from behave import then
from behave import when

OPTION = re.compile(r"^ +\[--(?P<name>[a-z-]+)[^\]]*\] +(?P<text>.*)$")


@when('the help of the experiment "{command}" is printed')
def print_help(context, command):
    context.help = subprocess.run(
        [sys.executable, "-m", "bench", command, "--help"],
        capture_output=True,
        check=True,
        text=True,
    ).stdout


@then("each option has an explanation")
def check_options(context):
    options = [
        match
        for line in context.help.splitlines()
        if (match := OPTION.match(line))
    ]
    assert options, context.help
    for option in options:
        assert not option["text"].startswith("(Default"), option[0]


@then("it contains no markup")
def check_markup(context):
    assert ":param" not in context.help, context.help
    assert "``" not in context.help, context.help
