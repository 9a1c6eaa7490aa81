import json

from behave import given
from behave import then
from behave import when
from twisted.internet import testing

from features.support import wire
from godwitloft import decode
from godwitloft.policy import prefix
from godwitloft.standins import answers
from godwitloft.standins import engine as engines
from godwitloft.standins import engine_control
from godwitloft.standins import engine_http
from godwitloft.standins import orders


def prompt_of(text):
    parts = [part.split("*") for part in text.split("+")]
    return " ".join(
        f"{name}{i}" for name, count in parts for i in range(int(count))
    )


def text_of(choice):
    message = choice.get("message") or choice.get("delta") or {}
    return choice.get("text", "") + message.get("content", "")


def text_in(body):
    if not body.startswith("data: "):
        value = json.loads(body)
        error = value.get("error")
        return error["message"] if error else text_of(value["choices"][0])
    events = [line[6:] for line in body.split("\n") if line]
    assert events.pop() == "[DONE]"
    return "".join(
        text_of(json.loads(event)["choices"][0]) for event in events
    )


@given("a stand-in engine with {settings}")
def start_engine(context, settings):
    settings = json.loads(settings.replace(", }", "}"))
    context.reactor = testing.MemoryReactorClock()
    context.engine = engines.Engine(
        decode.decode(engines.EngineSettings, settings, "settings"),
        context.reactor,
    )
    context.listener = engine_http.listen(context.engine, context.reactor)
    context.listener.start()
    context.factory = context.listener.wrapper


@given("a second stand-in engine with {settings}")
def start_second(context, settings):
    context.first = context.engine
    start_engine(context, settings)
    context.engine, context.second = context.first, context.engine
    context.reactor = context.engine.reactor


@when('the stand-in engine executes the script "{script}"')
def run_script(context, script):
    engine = context.engine
    start = context.reactor.seconds()
    runs = {}
    for line in script.split("; "):
        at, action, *rest = line.split()
        while context.reactor.seconds() - start < int(at) / 1000 - 1e-9:
            context.reactor.advance(0.001)
        if action == "run":
            name, prompt, tokens = rest
            runs[name] = engines.Run(
                name, prompt_of(prompt), int(tokens), lambda *_: 0, lambda _: 0
            )
            engine.submit(runs[name])
        elif action == "order":
            order = orders.Order(model=rest[0], fencing=int(rest[1]))
            engine.submit_order(order, lambda record: None)
        elif action == "control":
            control = json.loads("".join(rest))
            engine_control.apply(engine, engine_control.Control(**control))
        elif action != "look":
            getattr(engine, action)(runs[rest[0]])


@then('the engine\'s ledger is "{lines}"')
def check_ledger(context, lines):
    found = [
        f"{run.run_id} {run.ended or '-'} {run.prefilled_tokens} "
        f"{run.cached_tokens} {run.generated_tokens}"
        for run in context.engine.runs()
    ]
    assert "; ".join(found) == lines, found


@then('the engine\'s orders ended as "{states}" and it has loaded {loaded}')
def check_orders(context, states, loaded):
    book = context.engine.orders
    found = " ".join(record.state for record in book.records)
    assert (found, book.loaded.model) == (states, loaded), found


@then('the engine\'s cache events after {number:d} are "{events}"')
def check_events(context, number, events):
    engine = context.engine
    found = "; ".join(
        f"{event.number} {event.kind} {len(event.keys)}"
        for event in engine.cache.events_after(number, engine.now_ms())
    )
    assert (found or "-") == events, found


@then("the engine reports {running:d} running")
def check_load(context, running):
    assert context.engine.load().running == running, context.engine.load()


@when('"{body}" is posted to the engine\'s {path}')
def post(context, body, path):
    context.transport = wire.send(context.factory, "POST", path, body)
    context.reactor.pump([0.001] * 200)


@then('the engine answers {status:d} with the text "{text}"')
def check_answer(context, status, text):
    if text.startswith("answer of "):
        count, _, prompt = text[len("answer of ") :].partition(" to ")
        text = " ".join(answers.answer_words(prompt, int(count)))
    found_status, body = wire.parse_response(context.transport)
    assert (found_status, text_in(body)) == (status, text), body


@when('the cache of "{prompt}" is moved to the second engine')
def move_cache(context, prompt):
    body = json.dumps({"prompt": prompt_of(prompt)})
    source = engine_http.site(context.first, context.reactor)
    exported = wire.parse_response(
        wire.send(source, "POST", "/kv/export", body)
    )[1]
    status, _ = wire.parse_response(
        wire.send(context.factory, "POST", "/kv/import", exported)
    )
    assert status == 200
    context.engine = context.second
    context.reactor = context.second.reactor


@when("a caller asks for a long stream and closes its connection")
def close_early(context):
    body = json.dumps(
        {"model": "bean-model", "prompt": "a b", "max_tokens": 99}
        | {"stream": True}
    )
    transport = wire.send(
        context.factory,
        "POST",
        "/v1/completions",
        body,
        "X-Request-Id: gone\r\n",
    )
    context.reactor.pump([0.001] * 90)
    wire.disconnect(transport)
    context.reactor.pump([0.001] * 90)


@when("a prompt with the crash mark arrives while another run is active")
def crash_engine(context):
    transports = []
    for prompt in ("innocent", context.engine.settings.crash_mark):
        body = json.dumps(
            {"model": "bean-model", "prompt": prompt, "max_tokens": 99}
        )
        transports.append(
            wire.send(context.factory, "POST", "/v1/completions", body)
        )
        context.reactor.pump([0.001] * 50)
    context.transports = transports


@then("both connections are reset, and the port is closed for {down:d} ms")
def check_crash(context, down):
    assert not any(transport.connected for transport in context.transports)
    assert [transport.value() for transport in context.transports] == [
        b"",
        b"",
    ]
    opened = context.reactor.tcpServers
    assert len(opened) == 1 and context.listener.listening is None
    context.reactor.advance(down / 1000 - 0.051)
    assert len(opened) == 1
    context.reactor.advance(0.05)
    assert len(opened) == 2 and opened[0][0] == opened[1][0]


@then(
    'the prompts "{first}" and "{second}" share {shared:d} of {count:d} keys'
)
def check_block_keys(context, first, second, shared, count):
    keys = prefix.prefix_keys(prompt_of(first))
    second_keys = prefix.prefix_keys(prompt_of(second))
    equal = [key for key in keys if key in second_keys]
    assert (len(equal), len(keys)) == (shared, count)
    assert tuple(equal) == keys[:shared]
