import pathlib
import subprocess
import sys
import tempfile

from behave import then
from behave import when

from godwitloft.gateway import options
from godwitloft.platform import settings

ROOT = pathlib.Path(__file__).parents[2]
BASE = {
    "node-name": '"edge-1"',
    "ip": '"10.0.0.1"',
    "zone": '"a"',
    "internal-port-range": "[7600, 7615]",
}
STORE = '[platform]\naddress = "10.0.0.9:80"\n'


def settings_text(change):
    """Returns a valid settings file with one change."""
    text = change.replace("\\n", "\n")
    top = dict(BASE)
    tables = ""
    if text.startswith("["):
        tables = text + "\n"
    elif text:
        name, _, value = text.partition(" = ")
        top[name or "="] = value
    lines = [f"{name} = {value}" for name, value in top.items()]
    if "[platform]" not in tables:
        tables += STORE
    return "\n".join(lines) + "\n" + tables


@when('the platform\'s settings have "{change}"')
def load(context, change):
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "boot.toml"
        if change != "missing file":
            path.write_text(settings_text(change))
        try:
            context.boot = settings.load(str(path))
            context.error = None
        except settings.SettingsError as error:
            context.error = str(error)


@then('they are refused with "{message}"')
def check_error(context, message):
    assert context.error is not None, context.boot
    assert message in context.error, context.error


@then("the proof that a key is valid may be {limit_ms:d} ms old")
def check_proof(context, limit_ms):
    assert context.error is None, context.error
    assert context.boot.options.key_proof_ms == limit_ms


@then("the process has {limit_ms:d} ms to shut down")
def check_leave(context, limit_ms):
    assert context.boot.options.drain_limit_ms == limit_ms


@then(
    "a bad version may get {share:g} of all requests and {slack:d} more, for"
    " {limit_ms:d} ms"
)
def check_rollout_bounds(context, share, slack, limit_ms):
    assert context.error is None, context.error
    bounds = context.boot.options.rollouts
    assert bounds == options.RolloutBounds(share, slack, limit_ms), bounds


@when('the platform\'s program is started with "{words}"')
def start(context, words):
    context.process = subprocess.run(
        [sys.executable, "-m", "godwitloft.platform.main", *words.split()],
        cwd=ROOT,
        env={"PATH": "/usr/bin:/bin"},
        capture_output=True,
        text=True,
        timeout=60,
    )


@then('it exits with status {status:d} and prints "{message}"')
def check_end(context, status, message):
    assert context.process.returncode == status, context.process
    assert message in context.process.stderr, context.process
    assert "Traceback" not in context.process.stderr, context.process


@then("it accepts requests for the first {limit_ms:d} ms of that time")
def check_last_request(context, limit_ms):
    assert context.boot.options.last_accept_ms == limit_ms
