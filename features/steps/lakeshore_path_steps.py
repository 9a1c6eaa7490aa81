import base64
import dataclasses
import json
import pathlib
import re
import signal
import socket
import threading
import time

from behave import given
from behave import then
from behave import when

from features.support import lakeshore
from godwitloft.standins import lakeshore_words as words

SERVED_ONCE = 1
SIGNAL_GAP_S = 0.3


def unescape(escaped):
    return escaped.replace("\\n", "\n")


@given("a stand-in Lakeshore platform with a configuration")
def start_platform(context):
    context.world = lakeshore.World(context)
    context.world.control(config=lakeshore.config())


@given("an entry on it that is ready")
def start_entry(context):
    context.world.start_entry()
    lakeshore.wait_until(context.world.is_ready, "the entry being ready")


def handles_signals(process):
    """Returns whether a process catches SIGTERM and ignores SIGHUP by now.

    Ignoring SIGHUP may be inherited from the parent, as under nohup, so only
    a caught SIGTERM shows that the program has set its handlers.
    """
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    masks = dict(line.split(":", 1) for line in status.splitlines())
    caught = int(masks["SigCgt"], 16)
    ignored = int(masks["SigIgn"], 16)
    return bool(
        caught & 1 << (signal.SIGTERM - 1)
        and ignored & 1 << (signal.SIGHUP - 1)
    )


@when("the entry is restarted and gets {name} while it starts")
def signal_early(context, name):
    world = context.world
    world.entry.kill()
    world.entry.communicate()
    world.start_entry()
    process = world.entry
    lakeshore.wait_until(lambda: handles_signals(process), "its handlers")
    process.send_signal(signal.Signals[name])


@then("it becomes ready")
def check_ready(context):
    lakeshore.wait_until(context.world.is_ready, "the entry being ready")


@then("it ends with status {status:d}")
def check_early_end(context, status):
    output, _ = context.world.entry.communicate(timeout=lakeshore.TIMEOUT_S)
    assert context.world.entry.returncode == status, output
    assert "GL1001" not in output, output


@given("every runner's next request is answered with {how}")
def refuse_next(context, how):
    names = context.world.fetch("ledger")
    change = {name: {how: 1} for name in names}
    context.world.control(runners=change)


@given("the next stream is cut after {count:d} events")
def cut_next(context, count):
    change_next(context, {"cut_after": [count]})


@given(
    "the next stream has no length and ends with its runner's process, back"
    " after {down_ms:d} ms"
)
def die_next(context, down_ms):
    change_next(context, {"die_unframed": 1, "crash_down_ms": down_ms})


@given("that runner says that it is leaving")
def say_leaving(context):
    context.world.control(runners={"i-model-0": {"says_leaving": True}})


UNFRAMED = {
    "breaks off": "close_unframed",
    "breaks off inside an event": "break_unframed",
    "sends all": "whole_unframed",
}


@given("the next stream has neither a length nor chunks and its runner {what}")
def unframed_next(context, what):
    change_next(context, {UNFRAMED[what]: 1})


def change_next(context, change):
    # Only the first runner is changed, so the second one is taken off the list
    # until the entry has noticed.
    world = context.world
    world.control(runners={"i-model-0": change})
    world.control(runners={"i-model-1": {"gone": True}})
    time.sleep(2)
    world.control(runners={"i-model-1": {"gone": False}})


@when('request "{request_id}" asks "{path}"')
def ask(context, request_id, path):
    ask_with_key(context, request_id, path, "key-a")


@when('request "{request_id}" asks "{path}" to go on after event {number:d}')
def ask_to_go_on(context, request_id, path, number):
    ask_with_key(context, request_id, path, "key-a", Last_Event_Id=str(number))


@when('a caller with key "{key}" sends request "{request_id}" for "{path}"')
def ask_with_named_key(context, key, request_id, path):
    ask_with_key(context, request_id, path, key)


def ask_with_key(context, request_id, path, key, **headers):
    context.request_id = request_id
    method = "POST" if path.startswith(("/post", "/once")) else "GET"
    context.answer = context.world.send_request(
        method,
        path,
        request_id,
        key,
        Godwitloft_Token_Counts="5,3",
        Godwitloft_Hold="mine",
        Godwitloft_Tenant="somebody",
        **headers,
    )


@when('a caller without a key sends request "{request_id}" for "{path}"')
def ask_without_key(context, request_id, path):
    ask_with_key(context, request_id, path, "")


@then('it gets {status:d} with "{answer}" and a runner\'s seal')
def check_answer(context, status, answer):
    found, headers, body, whole = context.answer
    assert (found, body, whole) == (status, unescape(answer), True), (
        context.answer
    )
    run = context.world.find_runs(context.request_id)[0]
    expected = f"seal-{run['runner']}"
    assert headers["godwitloft-response-seal"] == expected, headers
    assert headers["godwitloft-request-id"] == context.request_id


@then("its status is {status:d} from the entry")
def check_status(context, status):
    assert context.answer[0] == status, context.answer
    if status == 503:
        assert float(context.answer[1]["retry-after"]) > 0


@then('it ran once, for team "{team}", without the key')
def check_run(context, team):
    runs = context.world.find_runs(context.request_id)
    assert len(runs) == SERVED_ONCE, runs
    assert (runs[0]["team"], runs[0]["key"]) == (team, None), runs
    assert 0 < int(runs[0]["left_ms"]) <= 4000, runs


@then("the caller's values of reserved headers were not forwarded")
def check_reserved(context):
    assert context.world.find_runs(context.request_id)[0]["hold"] is None


@then("its request ran {count:d} times")
def check_runs(context, count):
    runs = context.world.find_runs(context.request_id)
    assert len(runs) == count, runs


@then('its answer is {whole} with "{answer}"')
def check_end(context, whole, answer):
    _status, _headers, body, ended = context.answer
    assert (body, ended) == (unescape(answer), whole == "whole"), (
        context.answer
    )


@then("its answer is whole and empty")
def check_empty(context):
    status, _headers, body, ended = context.answer
    assert (status, body, ended) == (200, "", True), context.answer


@when('runner "{name}" reports that it is draining')
def drain_runner(context, name):
    context.world.control(runners={name: {"state": "draining"}})


@when("{seconds:g} s pass")
def wait_seconds(context, seconds):
    time.sleep(seconds)


@when('{count:d} requests ask "{path}"')
def ask_many(context, count, path):
    context.request_ids = [f"m{number}" for number in range(count)]
    for request_id in context.request_ids:
        status = context.world.send_request("GET", path, request_id)[0]
        assert status == 200, status


@then('none of them ran on "{name}"')
def check_not_on(context, name):
    runs = [
        run
        for request_id in context.request_ids
        for run in context.world.find_runs(request_id)
    ]
    assert len(runs) == len(context.request_ids), runs
    assert all(run["runner"] != name for run in runs), runs


@when("a configuration without keys is published")
def publish_without_keys(context):
    context.world.control(config=lakeshore.config(version=9, keys=()))


@when("the store is unavailable for {seconds:g} s")
def make_store_unavailable(context, seconds):
    context.world.control(away_ms=seconds * 1000)
    time.sleep(0.5)


@when("the store loses its history")
def lose_history(context):
    context.world.control(forget=True)


@then("the entry is not ready")
def check_not_ready(context):
    assert context.world.get_ready_status() == 503


@when("invalid rows are written")
def write_invalid_rows(context):
    def encoded(value):
        return base64.b64encode(json.dumps(value).encode()).decode()

    context.world.control(
        rows=[
            ["servers", "i-bad-1", encoded({"service": "desk", "zone": "a"})],
            ["servers", "i-bad-2", "!!"],
            [
                "servers",
                "i-bad-3",
                encoded({"address": "1.2.3.4:5", "state": "tired"}),
            ],
        ]
    )


@when("an invalid configuration is published")
def publish_invalid(context):
    config = lakeshore.config(version=9)
    config["routes"][0]["kind"] = "now and then"
    context.world.control(config=config)


@when("the entry gets {names}")
def stop_entry(context, names):
    for number, name in enumerate(names.split()):
        if number:
            time.sleep(SIGNAL_GAP_S)
        context.world.entry.send_signal(signal.Signals[name])


@given("the entry is started again with {grace_s:d} s to end")
def start_with_grace(context, grace_s):
    world = context.world
    world.entry.kill()
    world.entry.communicate()
    world.bounds = dataclasses.replace(world.bounds, leave_s=grace_s)
    start_entry(context)


@when("a caller sends a request up to the middle of its {part}")
def send_first_part(context, part):
    headers = words.caller_headers(
        lakeshore.HOST, "p1", "key-a", lakeshore.TIMEOUT_MS
    )
    lines = [f"{name}: {value}" for name, value in headers.items()]
    lines = ["POST /lookup/x HTTP/1.1", *lines, "Content-Length: 4", "", ""]
    head = "\r\n".join(lines).encode()
    whole = head + b"body"
    middle = len(head) // 2 if part == "head" else len(whole) - 2
    context.socket = socket.create_connection(
        ("127.0.0.1", context.world.front), lakeshore.TIMEOUT_S
    )
    context.add_cleanup(context.socket.close)
    context.socket.sendall(whole[:middle])
    context.rest = whole[middle:]


@when("the caller sends the rest of it")
def send_second_part(context):
    context.socket.sendall(context.rest)


@then("the caller reads status {status:d}")
def read_status(context, status):
    received = context.socket.recv(1000)
    assert received.startswith(b"HTTP/1.1 %d" % status), received


@then("its log names the rows and fields")
def check_log(context):
    output, _ = context.world.entry.communicate(timeout=lakeshore.TIMEOUT_S)
    lines = [json.loads(line) for line in output.splitlines()]
    logged = {
        (line["row"], line["field"])
        for line in lines
        if line["event"] == "GL1504"
    }
    expected = {(row["row"], row["field"]) for row in context.table}
    assert expected <= logged, (expected, logged)


@when("a stream of {count:d} events is under way")
def long_stream(context, count):
    context.count = count

    def run():
        context.streamed = context.world.send_request(
            "POST", "/once/x", "s1", Godwitloft_Token_Counts=f"5,{count}"
        )

    context.thread = threading.Thread(target=run)
    context.thread.start()
    lakeshore.wait_until(
        lambda: context.world.find_runs("s1"), "the stream's start"
    )


@then("the stream is complete")
def check_stream(context):
    context.thread.join(lakeshore.TIMEOUT_S)
    status, _headers, body, whole = context.streamed
    assert (status, whole) == (200, True), context.streamed
    assert body.count("data:") == context.count, body


@then("the entry ends with status {status:d}")
def check_entry_status(context, status):
    assert context.world.entry.wait(lakeshore.TIMEOUT_S) == status


@then("the metrics contain")
def check_metrics(context):
    # Removes the labels that the exporter adds for the library's scope.
    text = re.sub(r'otel_scope_\w+="\w*",?', "", context.world.metrics())
    samples = text.replace(",}", "}").replace("{}", "").splitlines()
    for row in context.table:
        assert row["sample"] in samples, samples


@given('runners that crash on the part "{part}" of prompts')
def crash_on(context, part):
    names = context.world.fetch("ledger")
    change = {name: {"crash_part": part} for name in names}
    context.world.control(runners=change)


@when(
    '{bad:d} requests with the part "{bad_parts}" and {sound:d} with'
    ' "{sound_parts}" are sent in turn'
)
def send_in_turn(context, bad, bad_parts, sound, sound_parts):
    assert bad == sound
    context.statuses = {"bad": [], "sound": []}
    for number in range(bad):
        for kind, parts in (("bad", bad_parts), ("sound", sound_parts)):
            request_id = f"{kind}{number}"
            entries = [f"{part}:60" for part in parts.split(",")]
            status, *_ = context.world.send_request(
                "POST",
                f"/once/{request_id}",
                request_id,
                Godwitloft_Token_Counts="5,3",
                Godwitloft_Prompt_Prefix=",".join([*entries, request_id]),
            )
            context.statuses[kind].append(status)
        time.sleep(0.1)


@then('at most {most:d} with the part "{part}" have reached runners')
def check_reached(context, most, part):
    ledger = context.world.fetch("ledger")
    reached = [
        run["id"]
        for runs in ledger.values()
        for run in runs
        if part in (run["parts"] or "")
    ]
    assert 0 < len(reached) <= most, reached


@then('the last {count:d} with "{parts}" were served')
def check_served(context, count, parts):
    statuses = context.statuses["sound"]
    assert statuses[-count:] == [200] * count, (parts, statuses)


@then(
    'the last {count:d} with the part "{part}" and all others after the first'
    " {status:d} got {status:d}, except those that reached runners"
)
def check_refused(context, count, part, status):
    statuses = context.statuses["bad"]
    assert status in statuses[: -count + 1], (part, statuses)
    ledger = context.world.fetch("ledger")
    reached = {run["id"] for runs in ledger.values() for run in runs}
    wrong = {
        number: got
        for number, got in enumerate(statuses)
        if number >= statuses.index(status)
        and got != status
        and f"bad{number}" not in reached
    }
    assert not wrong, (part, wrong, statuses)


def peak_memory_mb(process):
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines())
    return int(fields["VmHWM"].split()[0]) / 1024


@given("runners whose next answer has a {what} without end")
def endless(context, what):
    names = context.world.fetch("ledger")
    change = {name: {"endless": [what]} for name in names}
    context.world.control(runners=change)


@when('a caller who {reader} asks "{path}" for {duration_s:d} s')
def ask_for_a_while(context, reader, path, duration_s):
    world = context.world
    context.before_mb = peak_memory_mb(world.entry)
    headers = words.caller_headers(
        lakeshore.HOST, "e1", "key-a", lakeshore.TIMEOUT_MS, (5, 3)
    )
    method = "GET" if path.startswith("/lookup") else "POST"
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append("Content-Length: 0")
    with socket.create_connection(("127.0.0.1", world.front)) as caller:
        caller.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
        caller.settimeout(0.1)
        end = time.monotonic() + duration_s
        while time.monotonic() < end:
            if reader == "reads nothing":
                time.sleep(0.1)
                continue
            try:
                if not caller.recv(65536):
                    break
            except TimeoutError:
                continue


@then("the memory of the entry has grown by less than {most:d} MB")
def check_memory(context, most):
    grown = peak_memory_mb(context.world.entry) - context.before_mb
    assert grown < most, grown


@then('a request for "{path}" gets {status:d}')
def check_next(context, path, status):
    change = {name: {"endless": []} for name in context.world.fetch("ledger")}
    context.world.control(runners=change)
    found, *_ = context.world.send_request("GET", path, "after")
    assert found == status, found
