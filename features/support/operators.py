"""The operators' API over an in-memory store, and commands run against it."""

import hashlib
import io
import itertools
import random
import re
import shlex
import subprocess

import scripted_store
from treq import testing
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task

from godwitloft import clock as clocks
from godwitloft import metrics
from godwitloft import settings
from godwitloft.coordination import publish
from godwitloft.operators import operator_http
from godwitloft.operators import operator_port
from godwitloft.operators import operator_service
from godwitloft.ui import main
from godwitloft.ui import session as sessions

START_WALL_MS = 1_777_876_200_000
SERVER = "http://127.0.0.1:21002"
MAX_FLUSHES = 200

STATUS = operator_port.Status(
    head_generation=4,
    store_reachable=True,
    daemons=(
        operator_port.Daemon(
            "agent-bean-runners-duluth-1",
            "agent",
            "duluth",
            4,
            heard_ms_ago=240,
            running=6,
            pool="bean-runners",
        ),
        operator_port.Daemon(
            "entry-duluth-1", "entry", "duluth", 4, waiting=41
        ),
        operator_port.Daemon(
            "entry-toledo-1", "entry", "toledo", 3, 310, draining=True
        ),
    ),
)
EXPLANATION = operator_port.Explanation(
    "entry-duluth-1.5f2c-17",
    "completed",
    "bean-model",
    "declarations",
    "customs-desk",
    (
        operator_port.Step(0, "accepted"),
        operator_port.Step(1, "offered", "10 agents of pool bean-runners"),
        operator_port.Step(
            212, "dispatched", "agent-bean-runners-duluth-1, generation 4"
        ),
        operator_port.Step(9120, "completed", "431 chunks"),
    ),
)


class Counter:
    def __init__(self):
        self.counts = {}

    def add(self, number, labels):
        reason = labels["reason"]
        self.counts[reason] = self.counts.get(reason, 0) + number


class OperatorApi:
    def __init__(self):
        self.store = scripted_store.Store()
        self.reactor = task.Clock()
        self.time = clocks.ManualClock()
        self.time.wall_offset_ms = START_WALL_MS - self.time.now_ms
        publisher = publish.Publisher(
            self.store.platform(),
            self.time.clock(),
            self.reactor,
            operator_service.FORMAT,
            random.Random(1),
        )
        self.drained = []
        self.status = STATUS
        port = operator_service.create_port(
            publisher, self.get_status, self.explain, self.drain
        )
        self.refusals = Counter()
        instruments = metrics.discard()
        object.__setattr__(instruments, "operator_refusals", self.refusals)
        tokens = [
            settings.Token(
                role.value,
                hashlib.sha256(f"example-{role.value}".encode()).hexdigest(),
                role,
            )
            for role in settings.Role
        ]
        self.api = operator_http.create_api(port, tokens, instruments)
        self.http = testing.StubTreq(operator_http.resource(self.api))
        self.ids = itertools.count(1)

    async def get_status(self):
        return self.status

    async def explain(self, request_id):
        found = request_id == EXPLANATION.request_id
        return EXPLANATION if found else None

    async def drain(self, instance, author, reason):
        self.drained.append((instance, author, reason))
        return any(
            instance == daemon.instance for daemon in self.status.daemons
        )

    def publish(self, objects):
        """Publishes the first generation."""
        request = publish.Request(objects, 0, "publisher", "first", "first")
        work = self.api.port.publish(request)
        outcome = self.wait(defer.ensureDeferred(work))
        assert outcome.head.generation == 1, outcome

    def wait(self, deferred):
        """Returns the result of a Deferred while advancing HTTP and time."""
        found = []
        deferred.addBoth(found.append)
        for _ in range(MAX_FLUSHES):
            if found:
                return found[0]
            self.http.flush()
            self.reactor.advance(0.5)
        raise AssertionError("the call did not finish")

    def run(self, text, token="example-publisher", server=SERVER):
        """Runs a command line; returns exit code, output and errors."""
        self.time.advance(60_000)
        words = shlex.split(text)
        assert words.pop(0) == "godwitloft", text
        output = io.StringIO()
        notes = io.StringIO()
        session = sessions.Session(
            self.http,
            self.reactor,
            notes,
            {"GODWITLOFT_SERVER": server, "GODWITLOFT_TOKEN": token},
            lambda: f"publish-{next(self.ids)}",
        )
        work = main.run(main.parse(words), session, output)
        code = self.wait(defer.ensureDeferred(work))
        if not isinstance(code, int):
            code.raiseException()
        return int(code), output.getvalue(), notes.getvalue()


def parse_examples(page):
    """Returns the commands of a page with their expected output.

    Each is a ``console`` block: ``$ command``, the output, and ``exit N``
    unless it is 0.
    """
    found = []
    for block in re.findall(r"```console\n(.*?)```", page, re.DOTALL):
        for part in re.split(r"^\$ ", block, flags=re.MULTILINE)[1:]:
            command, _, expected = part.partition("\n")
            while command.endswith("\\"):
                more, _, expected = expected.partition("\n")
                command = command[:-1] + more.removeprefix(">")
            found.append((command, expected))
    return found


def run_page(world, page):
    """Runs the commands of a page; yields expected and actual output."""
    token = "example-viewer"
    for command, expected in parse_examples(page):
        name, _, rest = command.partition(" ")
        if name == "export":
            token = rest.removeprefix("GODWITLOFT_TOKEN=")
            yield command, expected, ""
        elif name == "sed":
            subprocess.run(shlex.split(command), check=True)
            yield command, expected, ""
        else:
            code, output, notes = world.run(command, token)
            end = f"exit {code}\n" if code else ""
            yield command, expected, notes + output + end


class SingleHostClient:
    """A treq client that can reach only one host."""

    def __init__(self, http, host):
        self.http = http
        self.host = host
        self.flush = http.flush
        self.collect = http.collect

    def request(self, method, url, **options):
        if f"//{self.host}/" not in url:
            return defer.fail(error.ConnectionRefusedError())
        return self.http.request(method, url, **options)
