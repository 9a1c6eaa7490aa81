import dataclasses
import http.client
import io
import json
import pathlib
import signal
import subprocess
import sys
import tempfile

from behave import given
from behave import then
from behave import when
from twisted.internet import task
from twisted.internet import testing

from bench.soak import callers
from bench.soak import deployment
from bench.soak import history as histories
from bench.soak import plan
from bench.soak import program as programs
from bench.soak import relay
from bench.soak import soak
from bench.soak import verdict

ROOT = pathlib.Path(__file__).parents[2]
START_AND_END_S = 60
SECONDS = 60
LONG_SPAN_MS = 6_000
LEAVE_MS = 6_000
NEXT_STOP_MS = {"at once": 0, "in turn": 8_000}
SIZE = plan.Size(entries=3, agents=3, runners=4)
# A program that does not handle any signal.
WAIT_FOR_SIGNAL = "import signal; signal.pause()"


@when("the plans of seed {seed:d} are drawn twice")
def draw(context, seed):
    context.plans = [plan.draw(seed, SECONDS, SIZE) for _ in range(2)]


@then("they are equal, in order of time, and end with a time without faults")
def check_plans(context):
    first, second = context.plans
    assert first == second and first
    times = [fault.at_ms for fault in first]
    assert times == sorted(times)
    last_ms = SECONDS * 1000 - plan.FAULT_FREE_END_MS
    assert all(fault.at_ms + fault.duration_ms <= last_ms for fault in first)


@then("the plans of seeds {first:d} to {last:d} together contain every kind")
def check_kinds(context, first, last):
    found = {
        fault.kind
        for seed in range(first, last + 1)
        for draw_plan in (plan.draw, plan.draw_beside_rollouts)
        for fault in draw_plan(seed, SECONDS, SIZE)
    }
    assert found == set(plan.KINDS), set(plan.KINDS) - found


def plans(first, last):
    for seed in range(first, last + 1):
        yield plan.draw(seed, SECONDS, SIZE)


@then(
    'in the plans of seeds {first:d} to {last:d} each "{kind}" kills all'
    " gateways {gap_ms:d} ms apart"
)
def check_kills(context, first, last, kind, gap_ms):
    last_ms = SECONDS * 1000 - plan.FAULT_FREE_END_MS
    all_targets = set(range(SIZE.entries))
    checked = 0
    for faults in plans(first, last):
        found = [fault for fault in faults if fault.kind == kind]
        for fault in found:
            checked += 1
            assert any(
                all_targets
                == {
                    item.target
                    for item in found
                    if item.at_ms in span and item.duration_ms
                }
                or span[-1] >= last_ms
                for span in spans_with(fault.at_ms, gap_ms)
            ), fault
    assert checked >= SIZE.entries


def spans_with(at_ms, gap_ms):
    """Returns the times of the kills of which one may be at a given time."""
    numbers = range(SIZE.entries)
    return [
        [at_ms + (number - own) * gap_ms for number in numbers]
        for own in numbers
    ]


@then(
    "in the plans of seeds {first:d} to {last:d} each drain gets its further"
    " signals after {shortest:d} to {longest:d} ms"
)
def check_signals(context, first, last, shortest, longest):
    for faults in plans(first, last):
        drains = [item for item in faults if item.kind == "terminate_twice"]
        signals = [item for item in faults if item.kind in plan.DRAIN_KINDS]
        seconds = [item for item in signals if item.kind == "terminate_again"]
        assert len(seconds) == len(drains)
        for fault in signals:
            assert any(
                fault.target == drain.target
                and shortest <= fault.at_ms - drain.at_ms <= longest
                and fault.at_ms < drain.at_ms + drain.duration_ms
                for drain in drains
            ), fault


@then(
    "the plans of seeds {first:d} to {last:d} with restarts only have the"
    " restarts of the whole ones"
)
def check_restarts_only(context, first, last):
    kinds = (
        plan.RESTART_KINDS
        | plan.STOP_KINDS
        | plan.TWICE_KINDS
        | plan.DRAIN_KINDS
        | plan.UNFRAMED_KINDS
    )
    for seed in range(first, last + 1):
        whole = plan.draw(seed, SECONDS, SIZE)
        restarts = plan.draw(seed, SECONDS, SIZE, restarts_only=True)
        expected = [fault for fault in whole if fault.kind in kinds]
        assert expected and list(restarts) == expected, seed


@then("each plan of seeds {first:d} to {last:d} has unframed answers for long")
def check_unframed(context, first, last):
    for faults in plans(first, last):
        spans = [item for item in faults if item.kind in plan.UNFRAMED_KINDS]
        assert max(item.duration_ms for item in spans) >= LONG_SPAN_MS


@then(
    'in the plans of seeds {first:d} to {last:d} each "{kind}" stops the'
    " gateways {how}"
)
def check_stops(context, first, last, kind, how):
    checked = 0
    for faults in plans(first, last):
        stops = [item for item in faults if item.kind == kind]
        for fault in stops:
            assert fault.duration_ms >= LEAVE_MS, fault
            later = [
                (item.at_ms - fault.at_ms, item.target == fault.target)
                for item in stops
                if item.at_ms >= fault.at_ms
            ]
            checked += any(
                is_next(after_ms - fault.duration_ms, same)
                if how == "again soon after their start"
                else not same and after_ms == NEXT_STOP_MS[how]
                for after_ms, same in later
            )
    assert checked >= SIZE.entries, checked


def is_next(after_start_ms, same):
    return same and 0 < after_start_ms <= plan.STOP_STARTED_MS[1]


@when('"{first}", "{second}" and "{third}" are injected into a gateway')
def inject_signals(context, first, second, third):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = pathlib.Path(folder.name)
    context.deployment = deployment.Deployment(path, SIZE, "agents")
    context.deployment.entries.append(
        programs.Program("entry-0", (), path / "boot", path / "log")
    )
    for kind in (first, second, third):
        context.deployment.inject(plan.Fault(0, kind, 0, 0))


@then("one fault with {count:d} further signals is recorded")
def check_one_recorded(context, count):
    (recorded,) = context.deployment.injected_faults
    assert len(recorded.again_ms) == count, recorded


def record_from(fields):
    record = callers.RequestRecord(
        id=fields["id"],
        route=fields["route"],
        key=fields["key"],
        entry=fields.get("entry", "entry-0"),
        events=int(fields.get("events", 0)),
        sent_ms=int(fields["sent"]),
        ended_ms=int(fields.get("ended", fields["sent"])),
        status=int(fields.get("status", 200)),
        is_complete=fields.get("whole", "yes") == "yes",
    )
    bodies = {
        "own": record.expected(),
        "other": b"answer to nobody\n",
        "first": record.expected(1),
        "second": record.expected(2),
        "half": record.expected(1)[:-3],
        "none": b"",
    }
    record.body = bodies[fields.get("body", "own")]
    return record


@given("requests that were answered")
def answered(context):
    context.records = [
        callers.RequestRecord(
            id="a",
            route="stream",
            key="k",
            entry="entry-0",
            events=3,
            sent_ms=1,
            status=int(row["status"]),
            body=row["body"].encode(),
        )
        for row in context.table
    ]


@then('the reasons of refusals are "{reasons}"')
def check_reasons(context, reasons):
    found = soak.refusal_reasons(context.records)
    text = ", ".join(f"{reason} {count}" for reason, count in found.items())
    assert text == reasons, text


def run_from(fields):
    return histories.Run(
        id=fields["id"],
        runner=fields.get("runner", "i-desk-0"),
        at_ms=int(fields["at"]),
        ended_ms=int(fields["ended"]) if "ended" in fields else None,
        team=fields.get("team"),
        key=fields.get("key"),
        path=fields["path"],
        born=int(fields.get("born", 0)),
        leaving=fields.get("leaving") == "yes",
        broke_off=fields.get("broke") == "yes",
        closed_after=int(fields["closed"]) if "closed" in fields else None,
    )


class HistoryRows:
    """History built from the rows of a table."""

    def __init__(self):
        self.records = []
        self.runs = []
        self.rejected = []
        self.injected_faults = []
        self.exits = []

    def add(self, what, fields):
        getattr(self, "add_" + what.replace(" ", "_").replace("-", "none"))(
            fields
        )

    def add_none(self, _fields):
        pass

    def add_request(self, fields):
        self.records.append(record_from(fields))

    def add_run(self, fields):
        self.runs.append(run_from(fields))

    def add_two_runs(self, fields):
        self.add_run(fields)
        at_ms = self.runs[-1].at_ms + 1
        again = {"runner": "i-model-1", "at_ms": at_ms, "closed_after": None}
        self.runs.append(dataclasses.replace(self.runs[-1], **again))

    def add_fault(self, fields):
        self.injected_faults.append(
            deployment.InjectedFault(
                fields["kind"],
                fields["target"],
                int(fields["start"]),
                int(fields["end"]),
                again_ms=[int(fields["again"])] if "again" in fields else [],
            )
        )

    def add_late(self, fields):
        sent = int(fields["sent"])
        self.add_request(fields | {"ended": sent + 20})
        self.add_run(
            fields
            | {
                "at": sent + 5,
                "ended": sent + 9,
                "path": f"/{fields['route']}/x",
                "key": None,
            }
        )

    def add_cut(self, fields):
        self.add_late(fields)
        self.records[-1].status = 0
        self.records[-1].is_complete = False
        self.records[-1].ended_ms += 500

    def add_cut_at(self, fields):
        """A stream whose runner was at work until a time, and then cut."""
        row = {"route": "single", "key": "key-large", "events": 100} | fields
        self.add_request(row | {"status": 200, "body": "first", "whole": "no"})
        run = {"at": row["sent"], "ended": row["worked"], "team": "large"}
        run["runner"] = row.get("runner", "i-model-0")
        self.add_run(fields | run | {"path": f"/{row['route']}/x"})

    def add_cut_unframed(self, fields):
        self.add_cut_at(fields | {"runner": "i-model-0"})
        for kind in ("whole_unframed", "answers_unframed"):
            self.injected_faults.append(
                deployment.InjectedFault(kind, "i-model-0", 6000, 20_000)
            )

    def add_cut_in_second_run(self, fields):
        self.add_cut_at(fields)
        self.runs.append(
            dataclasses.replace(
                self.runs[-1],
                at_ms=self.runs[-1].at_ms + 100,
                broke_off=False,
                closed_after=100,
            )
        )

    def add_cut_beside_a_restart(self, fields):
        self.add_cut_at(fields)
        self.injected_faults.append(
            deployment.InjectedFault("terminate", "entry-1", 1000, 10_500)
        )

    def add_cut_and_reset(self, fields):
        self.add_cut(fields)
        self.injected_faults.append(
            deployment.InjectedFault("reset", "i-desk-0", 7950, 7950)
        )

    def add_cut_beside_others(self, fields):
        self.add_cut(fields)
        for kind, target in (("reset", "i-desk-1"), ("kill_all", "entry-2")):
            self.injected_faults.append(
                deployment.InjectedFault(kind, target, 7950, 7950)
            )

    def add_cut_while_held(self, fields):
        self.add_cut_and_reset(fields)
        self.runs.pop()

    def add_cut_in_gateway_fault(self, fields):
        self.add_cut_while_held(fields)
        self.injected_faults.append(
            deployment.InjectedFault("pause", "entry-1", 7950, 8100)
        )

    def add_leaving(self, fields):
        row = {
            "id": "l",
            "route": "lookup",
            "key": "key-large",
            "team": "large",
            "sent": fields["at"],
            "born": fields["born"],
            "leaving": "yes",
        }
        self.add_late(row)

    def add_pause(self, fields):
        row = {"id": "p", "route": "lookup", "key": "key-large"}
        self.add_request(row | {"sent": fields["at"], "status": 503})
        self.rejected.append(
            histories.Run(
                id="p",
                runner="i-desk-1",
                at_ms=int(fields["at"]),
                pause_ms=int(fields["pause"]),
            )
        )

    def add_late_in_pause(self, fields):
        for number in range(int(fields["count"])):
            row = {
                "id": f"q{number}",
                "route": "lookup",
                "key": "key-large",
                "team": "large",
                "sent": fields["sent"],
                "runner": "i-desk-1",
            }
            self.add_late(row)

    def add_limited(self, fields):
        for number in range(int(fields["count"])):
            row = {
                "id": f"n{number}",
                "route": "lookup",
                "key": "key-large",
                "team": "large",
                "sent": int(fields["gap"]) * number,
                "runner": "i-desk-1",
            }
            self.add_late(row)
            limit_per_s = float(fields["per_s"])
            self.runs[-1] = dataclasses.replace(
                self.runs[-1], limit_per_s=limit_per_s
            )

    def add_crashes(self, fields):
        for number in range(int(fields["count"])):
            row = {
                "id": f"x{number}",
                "route": "lookup",
                "key": "key-large",
                "team": "large",
                "sent": int(fields["gap"]) * number,
                "runner": "i-desk-1",
            }
            self.add_late(row)
            self.runs[-1] = dataclasses.replace(
                self.runs[-1], born=number, crashes_on="bad0"
            )

    def add_many(self, fields):
        for number in range(int(fields["count"])):
            self.add_late(fields | {"id": f"m{number}", "sent": 10 * number})

    def add_repeats(self, fields):
        for number in range(int(fields["count"])):
            row = {
                "id": f"r{number}",
                "route": "lookup",
                "key": "key-large",
                "team": "large",
                "sent": 10 * number,
            }
            self.add_late(row)
            self.runs.append(self.runs[-1])

    def add_held(self, fields):
        for number in range(int(fields["count"])):
            row = {
                "id": f"h{number}",
                "route": "lookup",
                "key": "key-large",
                "sent": 0,
                "ended": 4800,
                "status": 504,
            }
            self.add_request(row)

    def add_disconnected(self, fields):
        for number in range(int(fields["count"])):
            row = {
                "id": f"l{number}",
                "route": "stream",
                "key": "key-large",
                "team": "large",
                "events": 50,
                "sent": 100,
            }
            self.add_late(row | {"runner": "i-model-0"})
            self.records[-1].disconnected_ms = 150
            run = self.runs.pop()
            ended = 150 + int(fields["ran_on"])
            self.runs.append(dataclasses.replace(run, ended_ms=ended))

    def add_joined(self, fields):
        for number in range(int(fields["count"])):
            row = {
                "id": f"j{number}",
                "route": "stream",
                "key": "key-large",
                "team": "large",
                "events": 3,
                "sent": 100,
                "body": "first",
                "whole": "no",
            }
            self.add_late(row | {"runner": "i-model-0"})
            began = self.runs.pop()
            self.runs.append(dataclasses.replace(began, version="v1"))
            again = row | {"id": f"j{number}-2", "sent": 300, "whole": "yes"}
            self.add_late(again | {"runner": "i-model-1"})
            went_on = self.runs.pop()
            self.runs.append(
                dataclasses.replace(
                    went_on, version=fields["version"], last_event="1"
                )
            )
            record = self.records[-1]
            record.resumes = row["id"]
            record.first_event = 2
            record.body = record.expected()

    def add_unserved(self, fields):
        for number in range(int(fields["count"])):
            self.add_request(
                {
                    "id": f"u{number}",
                    "route": "lookup",
                    "key": "key-large",
                    "sent": fields["sent"],
                    "status": 503,
                }
            )

    def add_ended(self, fields):
        self.exits.append(f"{fields['name']} ended with 1")


@given("the history of a soak test")
def set_history(context):
    rows = HistoryRows()
    for row in context.table:
        pairs = (pair.partition("=") for pair in row["fields"].split())
        rows.add(row["what"], {name: value for name, _, value in pairs})
    context.history = histories.History(
        records=rows.records,
        runs=rows.runs,
        rejected=rows.rejected,
        injected_faults=rows.injected_faults,
        unexpected_exits=rows.exits,
        end_ms=20_000,
    )


@when("the figures of the soak test are reported")
def report_figures(context):
    context.figures = soak.report(soak.Soak(), (), context.history)


@then('the figure "{name}" is {count:d}')
def check_figure(context, name, count):
    assert context.figures[name] == count, context.figures


@when("the history is checked")
def check_history(context):
    context.breaches = verdict.check_promises(context.history)


@then('only the promise "{promise}" is reported as broken')
def check_promise(context, promise):
    expected = [] if promise == "-" else [promise]
    assert list(context.breaches) == expected, context.breaches


@when(
    'a chunk is sent through a relay in each of the modes "{modes}" and then'
    " in mode pass"
)
def cross_relay(context, modes):
    reactor = task.Clock()
    tested = relay.Relay(reactor, ("127.0.0.1", 1))
    client, server = (
        relay.Connection(tested, True),
        relay.Connection(tested, False),
    )
    client.peer, server.peer = server, client
    client.transport = testing.StringTransport()
    server.transport = testing.StringTransport()
    tested.connections.update((client, server))
    context.connections = (client, server)
    context.chunks = b""
    for number, mode in enumerate(modes.split(",")):
        tested.set_mode(mode)
        chunk = b"%d" % number
        context.chunks += chunk
        client.dataReceived(chunk)
        server.dataReceived(chunk)
        reactor.advance(0.01)
    tested.set_mode(relay.PASS)
    reactor.pump([0.1] * 20)


@then("all chunks arrive in order")
def check_order(context):
    for connection in context.connections:
        assert connection.transport.value() == context.chunks, (
            connection.transport.value()
        )


class AnsweredSocket:
    """Socket on which a response has come, and then the end."""

    def __init__(self, content):
        self.content = content

    def makefile(self, _mode):
        return io.BytesIO(self.content)


@when("a caller reads {sent:d} bytes of a response of {length:d} bytes")
def read_response(context, sent, length):
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"
    content = head.encode() + b"x" * sent
    response = http.client.HTTPResponse(AnsweredSocket(content))
    response.begin()
    fields = {"id": "a", "route": "lookup", "key": "k", "sent": 1}
    context.record = record_from(fields | {"whole": "no"})
    try:
        callers.Caller(0, 0, None).read(context.record, response, False)
    except http.client.IncompleteRead as error:
        assert error.expected == length - sent, error


@then("the response counts as {judged}")
def check_whole(context, judged):
    assert context.record.is_complete == (judged == "whole")


def run(seed, seconds, mistakes, *options):
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "bench",
            "soak",
            f"--seed={seed}",
            f"--seconds={seconds}",
            f"--mistakes={mistakes}",
            *options,
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=seconds + START_AND_END_S,
    )
    assert done.stdout, done.stderr
    return json.loads(done.stdout)


@when("a soak test of seed {seed:d} runs for {seconds:d} s")
def run_soak(context, seed, seconds):
    context.figures = run(seed, seconds, "{}")


@when("a soak test of seed {seed:d} with restarts only runs for {seconds:d} s")
def run_restarts(context, seed, seconds):
    context.figures = run(seed, seconds, "{}", "--restarts-only")


@then(
    "it reports no breach and at least {count:d} whole unframed answers at"
    " stops"
)
def check_stops_met(context, count):
    figures = context.figures
    assert not figures["breaches"], figures
    assert figures["unframed at stops"] >= count, figures


@when("a soak test of seed {seed:d} runs for {seconds:d} s and keeps its logs")
def run_and_keep(context, seed, seconds):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.kept = pathlib.Path(folder.name) / "kept"
    context.figures = run(seed, seconds, "{}", f"--keep={context.kept}")


@then("the logs of {entries:d} gateways and the history are there")
def check_kept(context, entries):
    logs = list(context.kept.glob("entry-*.log"))
    assert len(logs) == entries and all(path.read_text() for path in logs)
    kept = json.loads((context.kept / "history.json").read_text())
    assert len(kept["records"]) == context.figures["requests"]
    assert len(kept["runs"]) == context.figures["runs"]


@when(
    "a soak test of seed {seed:d} runs for {seconds:d} s with the runner"
    " options {mistake}"
)
def run_planted(context, seed, seconds, mistake):
    context.figures = run(seed, seconds, mistake)


@then("it reports no breach and at least {count:d} successful requests")
def check_soak(context, count):
    figures = context.figures
    assert not figures["breaches"], figures
    assert figures["statuses"].get("200", 0) >= count, figures


@then('it reports "{promise}"')
def check_reported(context, promise):
    assert promise in context.figures["breaches"], context.figures


def heed_hangup():
    # Ignoring SIGHUP is inherited, as under nohup.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


@given("a program of the soak test that {what}")
def start_program(context, what):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    log = pathlib.Path(folder.name) / "log"
    log.write_text("a line\n" if what == "has logged" else "")
    child = subprocess.Popen(
        [sys.executable, "-c", WAIT_FOR_SIGNAL],
        preexec_fn=heed_hangup,
    )
    context.add_cleanup(child.wait)
    context.program = programs.Program("entry-0", (), log, log)
    context.program.child = child


@when("{count:d} free ports are chosen")
def choose_ports(context, count):
    context.ports = [programs.free_port("127.0.0.11") for _ in range(count)]


@then("none is one that connections get")
def check_ports(context):
    path = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
    first, last = map(int, path.read_text().split())
    assert not [port for port in context.ports if first <= port <= last]


@when("it gets {name}")
def send_signal(context, name):
    child = context.program.child
    context.program.signal(signal.Signals[name])
    child.wait()


@then("its end is {judged}")
def check_judged(context, judged):
    found = context.program.unexpected_exit()
    assert bool(found) == (judged == "unexpected"), found
