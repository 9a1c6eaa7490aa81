import concurrent.futures
import datetime
import hashlib
import http.client
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time

from behave import given
from behave import then
from behave import when
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid
import openai

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
    return logged_line(process, key)[key]


def start_engine(context, decode_ms=2):
    process = start(
        context,
        "godwitloft.standins.main",
        "engine",
        "--settings",
        json.dumps({"model": "m", "decode_ms": decode_ms}),
    )
    return json.loads(process.stdout.readline())["listening"]


def start_agent(context, number, engine, objects, more=()):
    settings = {
        "instance": f"agent-{number}",
        "availability_zone": "a",
        "pool": "p",
        "upstream": {"name": f"e{number}", "url": f"http://{engine}"},
        "objects": [objects],
        **dict(more),
    }
    path = write_json(context, f"agent-{number}.json", settings)
    process = start(
        context, "godwitloft.agent.main", "serve", "--settings", path
    )
    return logged(process, "link_port")


@given("1 entry and {count:d} engines with their agents run as processes")
def start_path(context, count):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.path_dir = directory.name
    objects = write_json(context, "objects.json", OBJECTS)
    context.engines = [start_engine(context) for _ in range(count)]
    peers = [
        peer(number, start_agent(context, number, engine, objects))
        for number, engine in enumerate(context.engines)
    ]
    start_entry(context, objects, peers)
    wait_until_ready(context.port)


def peer(number, port):
    return {
        "instance": f"agent-{number}",
        "role": "agent",
        "address": "127.0.0.1",
        "port": port,
        "availability_zone": "a",
        "pool": "p",
    }


def start_entry(context, objects, peers, more=()):
    settings = {
        "instance": "entry",
        "availability_zone": "a",
        "objects": [objects],
        "peers": peers,
        **dict(more),
    }
    path = write_json(context, "entry.json", settings)
    context.entry = start(
        context, "godwitloft.entry.main", "serve", "--settings", path
    )
    context.port = logged(context.entry, "caller_port")


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


@when("{count:d} completions are requested at once")
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
    return "".join(json.loads(event)["choices"][0]["text"] for event in events)


@then("every answer is complete and belongs to its request")
def check_answers(context):
    for number, (status, content) in enumerate(context.answers):
        assert status == 200, (status, content)
        words = answers.answer_words(f"question {number}", 5)
        text = text_of(content, number % 2 == 1)
        assert text.split() == list(words), (text, words)


@then("each of these requests ran on exactly one engine")
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


OPERATOR_TOKEN = "path-operator"
SLOW_PROMPT = "slow question"
SLOW_TOKENS = 60


def operator_settings():
    token_hash = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
    return {
        "operator_listen": {},
        "operator_tokens": [
            {"name": "op", "token_hash": token_hash, "role": "operator"}
        ],
    }


@given("a platform, {count:d} engines with agents and 2 entries as processes")
def start_deployment(context, count):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.path_dir = directory.name
    platform = start(
        context,
        "godwitloft.standins.main",
        "platform",
    )
    where = json.loads(platform.stdout.readline())["listening"]
    common = {
        "availability_zone": "a",
        "platform": {"kind": "http", "url": f"http://{where}"},
    }
    context.engines = [start_engine(context, 20) for _ in range(count)]
    context.agents = {}
    for number, engine in enumerate(context.engines):
        settings = common | {
            "instance": f"agent-{number}",
            "pool": "p",
            "upstream": {"name": f"e{number}", "url": f"http://{engine}"},
        }
        path = write_json(context, f"agent-{number}.json", settings)
        context.agents[f"agent-{number}"] = start(
            context, "godwitloft.agent.main", "serve", "--settings", path
        )
    context.entries = []
    context.ports = []
    for number in range(2):
        settings = common | operator_settings()
        settings["instance"] = f"entry-{number}"
        path = write_json(context, f"entry-{number}.json", settings)
        entry = start(
            context, "godwitloft.entry.main", "serve", "--settings", path
        )
        started = logged_line(entry, "caller_port")
        context.entries.append(entry)
        context.ports.append(started["caller_port"])
        context.operator_port = started["other_ports"][0]
    token = pathlib.Path(context.path_dir) / "token"
    token.write_text(OPERATOR_TOKEN, encoding="utf-8")
    context.token_file = str(token)


def logged_line(process, key):
    for line in process.stderr:
        fields = json.loads(line)
        if key in fields:
            return fields
    raise AssertionError(f"the process ended without logging {key}")


def operate(context, *words):
    return subprocess.run(
        [
            sys.executable,
            "-m",
            "godwitloft.ui.main",
            *words,
            "--server",
            f"http://127.0.0.1:{context.operator_port}",
            "--token-file",
            context.token_file,
            "--json",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=START_LIMIT_S,
    )


@given("the operator publishes the path objects")
@when("the operator publishes the path objects")
def publish_objects(context):
    path = write_json(context, "objects.json", OBJECTS)
    done = operate(context, "publish", path, "--reason", "first")
    assert done.returncode == 0, done.stderr


@when('the operator revises "{name}" with "{change}"')
def revise_object(context, name, change):
    kind, _, object_name = name.partition(" ")
    words = (
        "revise",
        f"{kind}/{object_name}",
        "--set",
        change,
        "--reason",
        "more",
    )
    done = operate(context, *words)
    assert done.returncode == 0, done.stderr + done.stdout


@when('the operator drains "{instance}"')
def drain_instance(context, instance):
    done = operate(context, "drain", instance, "--reason", "replaced")
    assert done.returncode == 0, done.stderr + done.stdout


def status_of_daemons(context):
    """Returns the daemons' generations and checks the exit code."""
    done = operate(context, "status")
    assert done.returncode in (0, 1), done.stderr
    answer = json.loads(done.stdout)
    head = answer["head_generation"]
    generations = {
        daemon["instance"]: daemon["generation"]
        for daemon in answer["daemons"]
    }
    behind = any(generation < head for generation in generations.values())
    assert done.returncode == int(behind), done.stdout
    return generations


@when('"{instance}" is paused for {pause_ms:d} ms')
def pause_agent(context, instance, pause_ms):
    agent = context.agents[instance]
    agent.send_signal(signal.SIGSTOP)
    resume = threading.Timer(
        pause_ms / 1000, agent.send_signal, (signal.SIGCONT,)
    )
    resume.start()
    context.add_cleanup(resume.join)


@given("every daemon of the deployment reaches generation {generation:d}")
@then("every daemon of the deployment reaches generation {generation:d}")
def check_generation(context, generation):
    expected = {"agent-0", "agent-1", "entry-0", "entry-1"}
    for _ in range(START_LIMIT_S):
        generations = status_of_daemons(context)
        if generations == dict.fromkeys(expected, generation):
            return
        time.sleep(0.2)
    raise AssertionError(generations)


@then("a completion through each entry is answered")
def check_entries(context):
    for number, port in enumerate(context.ports):
        wait_until_ready(port)
        status, content = complete(port, 2 * number)
        assert status == 200, content


def ask_slowly(port):
    body = {"model": "m", "prompt": SLOW_PROMPT, "max_tokens": SLOW_TOKENS}
    return fetch(port, "POST", "/v1/completions", json.dumps(body))


def running_on(engine):
    port = int(engine.rpartition(":")[2])
    return json.loads(fetch(port, "GET", "/ledger")[1])["runs"]


@given("{count:d} slow completions are running through the entries")
def start_slow(context, count):
    pool = concurrent.futures.ThreadPoolExecutor(count)
    context.add_cleanup(pool.shutdown)
    for port in context.ports:
        wait_until_ready(port)
    context.slow = [
        pool.submit(ask_slowly, context.ports[number % 2])
        for number in range(count)
    ]
    for _ in range(START_LIMIT_S * 20):
        runs = [running_on(engine) for engine in context.engines]
        if all(runs) and sum(map(len, runs)) >= count:
            return
        time.sleep(0.05)
    raise AssertionError(f"not all slow completions run: {runs}")


@then("every slow completion is whole")
def check_slow(context):
    words = answers.answer_words(SLOW_PROMPT, SLOW_TOKENS)
    for future in context.slow:
        status, content = future.result(START_LIMIT_S)
        assert status == 200, content
        assert text_of(content, False).split() == list(words)


@then('the agent "{instance}" ends by itself with status {status:d}')
def check_agent_end(context, instance, status):
    exit_status = context.agents[instance].wait(START_LIMIT_S)
    assert exit_status == status, exit_status


@when("entry {number:d} gets SIGTERM")
def stop_entry(context, number):
    context.entries[number].terminate()


@then("entry {number:d} ends by itself with status {status:d}")
def check_entry_end(context, number, status):
    exit_status = context.entries[number].wait(START_LIMIT_S)
    assert exit_status == status, exit_status


@then("the completions that follow run on the other engine only")
def check_other_engine(context):
    before = len(running_on(context.engines[0]))
    for number in range(6):
        assert complete(context.ports[number % 2], number)[0] == 200
    assert len(running_on(context.engines[0])) == before


@then('a completion is refused with {status:d} "{reason}" as not run')
def check_refused(context, status, reason):
    response_status, content = complete(context.ports[0], 0)
    error = json.loads(content)["error"]
    assert (response_status, error["reason"]) == (status, reason), content
    assert error["not_run"] is True, content


DAY = datetime.timedelta(days=1)
LINK_STATES = {"GL1101": "up", "GL1103": "refused", "GL1104": "failed"}


def subject(name):
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])


def make_certificate(name, issuer=None):
    """Returns a key and a certificate, of an authority without issuer."""
    key = ec.generate_private_key(ec.SECP256R1())
    issuer_key, issuer_name = issuer or (key, name)
    now = datetime.datetime.now(datetime.UTC)
    builder = (
        x509.CertificateBuilder()
        .subject_name(subject(name))
        .issuer_name(subject(issuer_name))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - DAY)
        .not_valid_after(now + DAY)
        .add_extension(x509.BasicConstraints(issuer is None, None), True)
    )
    return key, builder.sign(issuer_key, hashes.SHA256())


def write_tls(context, instance, name, authority):
    directory = pathlib.Path(context.path_dir)
    key, certificate = make_certificate(name, (authority[0], "authority"))
    files = {
        "key_file": key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        ),
        "certificate_file": certificate.public_bytes(
            serialization.Encoding.PEM
        ),
        "authority_file": authority[1].public_bytes(
            serialization.Encoding.PEM
        ),
    }
    settings = {}
    for what, content in files.items():
        path = directory / f"{instance}-{what}.pem"
        path.write_bytes(content)
        settings[what] = str(path)
    return settings


@given(
    "an entry and an agent with TLS, whose agent presents a certificate"
    ' for "{name}" of {which}'
)
def start_tls_path(context, name, which):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.path_dir = directory.name
    authority = make_certificate("authority")
    other = make_certificate("authority")
    used = authority if which == "the same authority" else other
    objects = write_json(context, "objects.json", OBJECTS)
    engine = start_engine(context)
    port = start_agent(
        context,
        0,
        engine,
        objects,
        {"tls": write_tls(context, "agent-0", name, used)},
    )
    start_entry(
        context,
        objects,
        [peer(0, port)],
        {"tls": write_tls(context, "entry", "entry", authority)},
    )


@when("the entry has tried to link to the agent")
def wait_for_link(context):
    for line in context.entry.stderr:
        event = json.loads(line)["event"]
        if event in LINK_STATES:
            context.link_state = LINK_STATES[event]
            return
    raise AssertionError("the entry ended")


@then('the link is "{state}"')
def check_link(context, state):
    assert context.link_state == state, context.link_state


@then('the OpenAI client lists the model "{name}"')
def list_models(context, name):
    context.client = openai.OpenAI(
        base_url=f"http://127.0.0.1:{context.port}/v1",
        api_key=KEY,
        max_retries=0,
    )
    models = [model.id for model in context.client.models.list()]
    assert models == [name], models


@then("its chat completions, whole and streamed, answer the caller's prompt")
def chat(context):
    expected = list(answers.answer_words("user: which lot", 6))
    call = {
        "model": "m",
        "messages": [{"role": "user", "content": "which lot"}],
        "max_tokens": 6,
    }
    create = context.client.chat.completions.create
    whole = create(**call).choices[0].message.content
    assert whole.split() == expected, whole
    parts = [
        part.choices[0].delta.content or ""
        for part in create(**call, stream=True)
    ]
    assert "".join(parts).split() == expected, parts
