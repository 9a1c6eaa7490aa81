"""Runs several entries on one stand-in platform, under load."""

import base64
import dataclasses
import http.client
import itertools
import json
import os
import pathlib
import subprocess
import sys
import threading
import time

from bench.soak import program
from features.support import lakeshore
from godwitloft.standins import lakeshore_words as words

FIRST_HOST = 20
CALLERS = 8
PAUSE_S = 0.025
ROUTES = (("lookup", "GET"), ("post", "POST"), ("once", "POST"))
POLL_S = 0.01
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_MS = 5_000


@dataclasses.dataclass
class Entry:
    """One entry."""

    name: str
    front: str
    ready: str
    process: subprocess.Popen
    killed_ms: int | None = None

    def kill(self):
        self.killed_ms = now_ms()
        self.process.kill()
        self.process.wait()


@dataclasses.dataclass
class Request:
    """One request and what its caller saw."""

    id: str
    entry: Entry
    route: str
    sent_ms: int
    status: int = 0
    body: bytes = b""


def now_ms():
    return int(time.time() * 1000)


class Fleet(lakeshore.World):
    """Entries, their platform, and callers."""

    def __init__(self, context, count):
        super().__init__(context)
        self.bounds = dataclasses.replace(
            lakeshore.BOUNDS,
            exposure_share=EXPOSURE_SHARE,
            exposure_slack=EXPOSURE_SLACK,
            rollback_ms=ROLLBACK_MS,
        )
        self.control(config=lakeshore.config())
        ports = lakeshore.free_port_range()
        self.entries = [self.start(number, ports) for number in range(count)]
        for entry in self.entries:
            self.wait_until_ready(entry)
        self.requests = []
        self.numbers = itertools.count()
        self.ended = threading.Event()
        self.threads = [
            threading.Thread(target=self.call_often, args=(number,))
            for number in range(CALLERS)
        ]
        context.add_cleanup(self.stop_callers)
        for thread in self.threads:
            thread.start()

    def start(self, number, ports):
        host = f"127.0.0.{FIRST_HOST + number}"
        front, ready = (f"{host}:{program.free_port(host)}" for _ in "ab")
        name = f"edge-a-{number}"
        machine = words.Machine(name, host, ports, front=front, ready=ready)
        directory = pathlib.Path(self.directory.name)
        boot = directory / f"{name}.toml"
        boot.write_text(words.boot(machine, self.store, self.bounds))
        with (directory / f"{name}.log").open("wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "deploy.start", "entry"],
                cwd=lakeshore.ROOT,
                env=dict(os.environ, GODWITLOFT_BOOT=str(boot)),
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        entry = Entry(name, front, ready, process)
        self.context.add_cleanup(entry.kill)
        return entry

    def wait_until_ready(self, entry):
        def is_ready():
            connection = http.client.HTTPConnection(entry.ready, timeout=1)
            try:
                connection.request("GET", "/ready")
                return connection.getresponse().status == 200
            except OSError:
                return False

        lakeshore.wait_until(is_ready, f"readiness of {entry.name}")

    def live(self):
        return [entry for entry in self.entries if entry.killed_ms is None]

    def call_often(self, number):
        while not self.ended.wait(PAUSE_S):
            count = next(self.numbers)
            entries = self.live()
            route, method = ROUTES[count % len(ROUTES)]
            request = Request(
                f"q{count}",
                entries[(count // len(ROUTES)) % len(entries)],
                route,
                now_ms(),
            )
            self.requests.append(request)
            self.call(request, method)

    def call(self, request, method):
        connection = http.client.HTTPConnection(
            request.entry.front, timeout=lakeshore.TIMEOUT_S
        )
        headers = words.caller_headers(
            lakeshore.HOST, request.id, "key-a", lakeshore.TIMEOUT_MS
        )
        try:
            connection.request(method, f"/{request.route}/x", headers=headers)
            response = connection.getresponse()
            request.body, is_whole = lakeshore.read_body(response)
            request.status = response.status if is_whole else 0
        except (http.client.HTTPException, OSError):
            request.status = 0
        connection.close()

    def stop_callers(self):
        self.ended.set()
        for thread in self.threads:
            thread.join()

    def rollout(self, service):
        """Returns the row of a service's roll-out, None without one."""
        for row in self.fetch("rows-get?table=rollouts")["rows"]:
            if row["key"] == service:
                return json.loads(base64.b64decode(row["value"]))
        return None

    def wait_for_phase(self, service, phases):
        """Waits until a roll-out is in one of some phases; returns its row."""
        deadline = time.monotonic() + lakeshore.TIMEOUT_S
        while time.monotonic() < deadline:
            row = self.rollout(service)
            if row is not None and row["phase"] in phases:
                return row
            time.sleep(POLL_S)
        raise AssertionError(f"{self.rollout(service)} is not in {phases}")

    def entry_named(self, name):
        return next(entry for entry in self.entries if entry.name == name)

    def logs(self, event):
        """Returns the lines of an event in the logs of all entries."""
        directory = pathlib.Path(self.directory.name)
        found = []
        for entry in self.entries:
            for line in (directory / f"{entry.name}.log").open():
                try:
                    fields = json.loads(line)
                except ValueError:
                    continue
                if fields.get("code", fields.get("event")) == event:
                    found.append((entry.name, fields))
        return found
