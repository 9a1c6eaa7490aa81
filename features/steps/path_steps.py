import concurrent.futures
import hashlib
import http.client
import json
import pathlib
import subprocess
import sys
import tempfile
import time

from behave import given
from behave import then
from behave import when

from godwitloft.standins import answers

ROOT = pathlib.Path(__file__).parents[2]
START_LIMIT_S = 30
KEY = "path-key"
OBJECTS = {
    "tiers": [{"name": "gold", "rank": 0}],
    "services": [
        {"name": "m", "kind": "model", "pools": ["p"], "tier": "gold"}
    ],
    "teams": [
        {
            "name": "team",
            "key_hashes": [hashlib.sha256(KEY.encode()).hexdigest()],
            "tiers": ["gold"],
        }
    ],
    "pools": [{"name": "p", "kind": "model", "max_running": 2}],
}


def start(context, *words):
    process = subprocess.Popen(
        [sys.executable, "-m", *words],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(stop, process)
    return process


def stop(process):
    process.terminate()
    try:
        process.communicate(timeout=START_LIMIT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.communicate()


def write_json(context, name, value):
    path = pathlib.Path(context.path_dir) / name
    path.write_text(json.dumps(value), encoding="utf-8")
    return str(path)


def logged(process, key):
    for line in process.stderr:
        fields = json.loads(line)
        if key in fields:
            return fields[key]
    raise AssertionError(f"the process ended without logging {key}")


def start_engine(context):
    process = start(
        context,
        "godwitloft.standins.main",
        "engine",
        "--settings",
        json.dumps({"model": "m", "decode_ms": 2}),
    )
    return json.loads(process.stdout.readline())["listening"]


def start_agent(context, number, engine, objects):
    settings = {
        "instance": f"agent-{number}",
        "availability_zone": "a",
        "pool": "p",
        "upstream": {"name": f"e{number}", "url": f"http://{engine}"},
        "objects": [objects],
    }
    path = write_json(context, f"agent-{number}.json", settings)
    process = start(
        context, "godwitloft.agent.main", "serve", "--settings", path
    )
    return logged(process, "link_port")


@given("a path of 1 entry and {count:d} engines as processes")
def start_path(context, count):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.path_dir = directory.name
    objects = write_json(context, "objects.json", OBJECTS)
    context.engines = [start_engine(context) for _ in range(count)]
    peers = [
        {
            "instance": f"agent-{number}",
            "role": "agent",
            "address": "127.0.0.1",
            "port": start_agent(context, number, engine, objects),
            "availability_zone": "a",
            "pool": "p",
        }
        for number, engine in enumerate(context.engines)
    ]
    settings = {
        "instance": "entry",
        "availability_zone": "a",
        "objects": [objects],
        "peers": peers,
    }
    path = write_json(context, "entry.json", settings)
    entry = start(
        context, "godwitloft.entry.main", "serve", "--settings", path
    )
    context.port = logged(entry, "caller_port")
    wait_until_ready(context.port)


def wait_until_ready(port):
    for _ in range(START_LIMIT_S * 10):
        if fetch(port, "GET", "/health/ready")[0] == 200:
            return
        time.sleep(0.1)
    raise AssertionError("the entry did not become ready")


def fetch(port, method, path, body=None):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
    headers = {"Authorization": f"Bearer {KEY}"}
    connection.request(method, path, body, headers)
    response = connection.getresponse()
    content = response.read()
    connection.close()
    return response.status, content


def complete(port, number):
    body = {
        "model": "m",
        "prompt": f"question {number}",
        "max_tokens": 5,
        "stream": number % 2 == 1,
    }
    return fetch(port, "POST", "/v1/completions", json.dumps(body))


@when("{count:d} completions are asked for at once")
def ask(context, count):
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        context.answers = list(
            pool.map(lambda n: complete(context.port, n), range(count))
        )


def text_of(content, stream):
    if not stream:
        return json.loads(content)["choices"][0]["text"]
    events = [
        line.removeprefix("data: ")
        for line in content.decode().split("\n\n")
        if line
    ]
    assert events.pop() == "[DONE]"
    return "".join(json.loads(one)["choices"][0]["text"] for one in events)


@then("every path answer is whole and the caller's own")
def check_answers(context):
    for number, (status, content) in enumerate(context.answers):
        assert status == 200, (status, content)
        words = answers.answer_words(f"question {number}", 5)
        text = text_of(content, number % 2 == 1)
        assert text.split() == list(words), (text, words)


@then("each path request ran on exactly one engine")
def check_ledgers(context):
    ran = []
    for engine in context.engines:
        port = int(engine.rpartition(":")[2])
        status, content = fetch(port, "GET", "/ledger")
        assert status == 200, status
        ran.extend(row["run_id"] for row in json.loads(content)["runs"])
    assert len(ran) == len(set(ran)) == len(context.answers), ran


@when("the demo is run")
def run_demo(context):
    context.demo = subprocess.run(
        [sys.executable, "-m", "godwitloft.standalone", "demo"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )


@then("the demo exits with {status:d} and prints {count:d} answers")
def check_demo(context, status, count):
    assert context.demo.returncode == status, context.demo.stderr
    lines = [
        line for line in context.demo.stdout.splitlines() if " 200 " in line
    ]
    assert len(lines) == count, context.demo.stdout
