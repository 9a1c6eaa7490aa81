"""Runs an entry and a stand-in platform as processes."""

import contextlib
import http.client
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

from godwitloft.standins import lakeshore_words as words

ROOT = pathlib.Path(__file__).parents[2]
TIMEOUT_S = 30
HOST = "service.example"

ROUTES = (
    words.Route("stream", "streaming", "model", resumable=True),
    words.Route("once", "streaming", "model"),
    words.Route("lookup", "idempotent", "desk"),
    words.Route("post", "non_idempotent", "desk"),
    words.Route("open", "idempotent", "desk", public=True),
)
TIMEOUT_MS = 4000
BOUNDS = words.Bounds(
    leave_s=3, revoke_ms=3000, allowance_window_s=8, retry_extra=20
)


def config(version=1, keys=("key-a",)):
    """Returns the content of the operators' row."""
    teams = [words.Team("team-a", tuple(keys))]
    return words.configuration(version, HOST, ROUTES, teams, TIMEOUT_MS)


KINDS = (socket.SOCK_STREAM, socket.SOCK_DGRAM)


def free_ports(count):
    """Returns ports that are free for TCP and for UDP."""
    found = []
    with contextlib.ExitStack() as sockets:
        while len(found) < count:
            listener = sockets.enter_context(socket.socket())
            listener.bind(("127.0.0.1", 0))
            port = listener.getsockname()[1]
            if is_free(port, socket.SOCK_DGRAM):
                found.append(port)
    return found


def free_port_range():
    """Returns the first and last of two ports that are free for both."""
    while True:
        first = free_ports(1)[0]
        ports = (first, first + 1)
        if all(is_free(port, kind) for port in ports for kind in KINDS):
            return ports


def is_free(port, kind):
    """Returns whether no process holds a port."""
    with socket.socket(type=kind) as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class World:
    """A stand-in platform and an entry that runs on it."""

    def __init__(self, context):
        self.context = context
        self.directory = tempfile.TemporaryDirectory()
        context.add_cleanup(self.directory.cleanup)
        self.platform = self.spawn(
            "godwitloft.standins.main", "lakeshore", boot=None
        )
        line = self.platform.stdout.readline()
        self.store = json.loads(line)["listening"]
        self.entry = None
        self.front = 0
        self.ready = 0
        self.logs = []
        self.bounds = BOUNDS

    def spawn(self, *words, boot):
        environment = dict(os.environ)
        if boot is not None:
            environment["GODWITLOFT_BOOT"] = str(boot)
        process = subprocess.Popen(
            [sys.executable, "-m", *words],
            cwd=ROOT,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )

        def stop():
            if process.poll() is None:
                process.kill()
            process.communicate(timeout=TIMEOUT_S)

        self.context.add_cleanup(stop)
        return process

    def start_entry(self, ports=None):
        self.front, self.ready, self.metrics_port = free_ports(3)
        boot = pathlib.Path(self.directory.name) / "boot.toml"
        machine = words.Machine(
            "edge-a-1",
            "127.0.0.1",
            ports or free_port_range(),
            front=f"127.0.0.1:{self.front}",
            ready=f"127.0.0.1:{self.ready}",
        )
        boot.write_text(words.boot(machine, self.store, self.bounds))
        self.entry = self.spawn(
            "deploy.start",
            "entry",
            "--metrics-port",
            str(self.metrics_port),
            boot=boot,
        )

    def control(self, **change):
        body = json.dumps(change).encode()
        request = urllib.request.Request(
            f"http://{self.store}/control", body, method="POST"
        )
        urllib.request.urlopen(request, timeout=TIMEOUT_S).read()

    def fetch(self, path):
        url = f"http://{self.store}/{path}"
        with urllib.request.urlopen(url, timeout=TIMEOUT_S) as response:
            return json.loads(response.read())

    def find_runs(self, request_id):
        """Returns all runs of one request, each with its runner."""
        return [
            dict(run, runner=name)
            for name, runs in self.fetch("ledger").items()
            for run in runs
            if run["id"] == request_id
        ]

    def metrics(self):
        url = f"http://127.0.0.1:{self.metrics_port}/metrics"
        with urllib.request.urlopen(url, timeout=TIMEOUT_S) as response:
            return response.read().decode()

    def is_ready(self):
        if self.entry.poll() is not None:
            output = self.entry.communicate(timeout=TIMEOUT_S)[0]
            raise AssertionError(f"the entry has ended: {output[-1000:]}")
        try:
            return self.get_ready_status() == 200
        except OSError:
            return False

    def get_ready_status(self):
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.ready, timeout=TIMEOUT_S
        )
        connection.request("GET", "/ready")
        return connection.getresponse().status

    def send_request(self, method, path, request_id, key="key-a", **headers):
        """Sends one request.

        Returns status, headers, body and whether the body was complete.
        """
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.front, timeout=TIMEOUT_S
        )
        sent = words.caller_headers(HOST, request_id, key, TIMEOUT_MS)
        sent.update(
            {name.replace("_", "-"): value for name, value in headers.items()}
        )
        connection.request(method, path, headers=sent)
        response = connection.getresponse()
        body, is_complete = read_body(response)
        headers_by_name = {
            name.lower(): value for name, value in response.getheaders()
        }
        return response.status, headers_by_name, body.decode(), is_complete


def read_body(response):
    """Returns the received part of a body and whether it was complete."""
    body = b""
    try:
        while part := response.read1(1024):
            body += part
    except (http.client.HTTPException, OSError):
        return body, False
    return body, True


def wait_until(condition, description):
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError(f"{description} did not happen in {TIMEOUT_S} s")
