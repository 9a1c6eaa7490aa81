import dataclasses
import json
import random

from behave import then
from behave import when
from treq import testing
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.internet import testing as twisted_testing

from features.support import calls
from features.support import wire
from godwitloft import clock as clocks
from godwitloft import decode
from godwitloft import settings
from godwitloft.standins import platform as standin
from godwitloft.store import connect
from godwitloft.store import faults
from godwitloft.store import guard
from godwitloft.store import http
from godwitloft.store import memory
from godwitloft.store import port


@dataclasses.dataclass
class AdapterFixture:
    """One adapter of a platform, with its clock and its faults."""

    port: port.Platform
    reactor: task.Clock
    injector: faults.Injector
    flush: object


def in_memory(timeout_ms=2000):
    reactor = task.Clock()
    reactor.advance(1000)
    injector = faults.Injector()
    store = memory.Store(clocks.reactor_clock(reactor))
    platform = memory.platform(store, reactor, injector, timeout_ms)
    return AdapterFixture(platform, reactor, injector, lambda: None)


def over_http(timeout_ms=2000):
    reactor = task.Clock()
    reactor.advance(1000)
    core = standin.Platform(standin.PlatformSettings(), reactor)
    stub = testing.StubTreq(standin.resource(core))
    platform = http.platform("http://store", reactor, timeout_ms, stub)
    return AdapterFixture(platform, reactor, core.injector, stub.flush)


MAX_STEPS = 480
STEP_S = 0.125
ADAPTERS = (in_memory, over_http)


def run_to_result(fixture, call):
    """Advances the clock until a call ends and returns its result."""
    results = []
    call.addBoth(results.append)
    for _ in range(MAX_STEPS):
        fixture.flush()
        if results:
            break
        fixture.reactor.advance(STEP_S)
        fixture.flush()
    [result] = results
    return result


def call(fixture, name, *words):
    return calls.format_result(
        run_to_result(fixture, calls.make_call(fixture.port, name, *words))
    )


@when('the script "{script}" runs on each adapter, each result is as stated')
def run_script(context, script):
    for adapter in ADAPTERS:
        fixture = adapter()
        for line in script.split("; "):
            words, _, expected = line.partition(" = ")
            name, *words = words.split()
            if name == "wait":
                fixture.reactor.advance(int(words[0]) / 1000)
                fixture.flush()
            elif name == "faults":
                found = decode.decode(faults.Faults, json.loads(*words), "f")
                fixture.injector.set(found)
            else:
                found = call(fixture, name, *words)
                assert found == expected, (adapter.__name__, line, found)


@when("{reads:d} reads and {writes:d} writes are made on a platform at once")
def make_calls(context, reads, writes):
    fixture = in_memory()
    lines = [("read", "k")] * reads + [("put", "o", "x")] * writes
    results = [call(fixture, *line) for line in lines]
    context.refused = results.count("limited")


@then("{refused:d} of them are refused by the rate limit")
def check_refused(context, refused):
    assert context.refused == refused, context.refused


@then(
    "after random calls with lost answers and outages both adapters hold the"
    " same rows as a plain dictionary"
)
def compare_with_dictionary(context):
    for adapter in ADAPTERS:
        for seed in range(3):
            compare_once(adapter(), random.Random(seed))


def compare_once(fixture, rng):
    rows = {}
    for _ in range(80):
        key = rng.choice("ab")
        version, value = rows.get(key, (0, None))
        expected = rng.choice([version, version, rng.randrange(9)])
        fault = rng.choice(["", "", "lose_answers", "outage"])
        if fault == "lose_answers":
            fixture.injector.set(faults.Faults(lose_answers=1))
        elif fault == "outage":
            fixture.injector.set(faults.Faults(outage=faults.Outage.REFUSE))
        new = str(rng.random())
        result = call(fixture, "write", key, new, str(expected))
        fixture.injector.set(faults.Faults())
        fixture.reactor.advance(1)
        row = run_to_result(
            fixture, calls.make_call(fixture.port, "read", key)
        )
        if fault == "outage":
            assert result == "unavailable"
        elif expected != version:
            assert result == "lost" or result.startswith("conflict")
        else:
            assert (result == "lost") == (fault == "lose_answers")
            assert row.version > version
            rows[key] = version, value = (row.version, new)
        found = (row.version, row.value.decode()) if row else (0, None)
        assert found == (version, value), (found, version, value)


class FailingClient:
    """An HTTP client whose requests all fail in the same way."""

    def __init__(self, reason):
        self.reason = reason

    def request(self, *arguments, **named):
        if not self.reason.isdigit():
            return defer.fail(getattr(error, self.reason)())
        return testing.StubTreq(
            testing.StringStubbingResource(
                lambda *_: (int(self.reason), {}, b"")
            )
        ).request(*arguments, **named)


@then("a {name} whose connection fails with {reason} ends as {outcome}")
def check_connection_failure(context, name, reason, outcome):
    platform = http.platform(
        "http://store", task.Clock(), requester=FailingClient(reason)
    )
    fixture = AdapterFixture(platform, task.Clock(), None, lambda: None)
    words = {"write": ("k", "a", "0"), "read": ("k",)}[name]
    found = call(fixture, name, *words)
    assert found == calls.ERRORS[getattr(port, outcome)], found


@then(
    "with a timeout of {timeout:d} ms and answers after {delay:d} ms, guarded"
    " calls end as {written} and {found}"
)
def check_timeout(context, timeout, delay, written, found):
    platform_settings = settings.Platform(
        settings.PlatformKind.HTTP, timeout_ms=timeout
    )
    for adapter in ADAPTERS:
        fixture = adapter(timeout)
        guarded = guard.Guard(
            fixture.port, fixture.reactor, connect.bounds(platform_settings)
        )
        fixture.port = guarded.platform()
        fixture.injector.set(faults.Faults(delay_ms=delay))
        results = [
            call(fixture, "write", "k", "a", "0"),
            call(fixture, "read", "k"),
        ]
        assert results == [written, found], (adapter.__name__, results)


RAW_ANSWERS = {
    "has a length": b"Content-Length: 1\r\n\r\na",
    "has a length and is cut": b"Content-Length: 2\r\n\r\na",
    "ends with its connection": b"\r\na",
}


@then("a {name} whose answer {how} ends as {outcome}")
def check_framing(context, name, how, outcome):
    reactor = twisted_testing.MemoryReactorClock()
    platform = http.platform("http://127.0.0.1:9", reactor)
    results = []
    if name == "read":
        answer = platform.read_row("t", "k")
    else:
        answer = platform.write_row("t", "k", b"a", 0, None)
    answer.addBoth(results.append)
    client_protocol = reactor.tcpClients[0][2].buildProtocol(None)
    transport = wire.connect(client_protocol, context)
    client_protocol.dataReceived(
        b'HTTP/1.1 200 OK\r\nETag: "1"\r\n' + RAW_ANSWERS[how]
    )
    if transport.connected:
        wire.close(transport)
    if outcome == "a value":
        assert "'a'" in repr(results[0]) or results[0].row.version == 1
    else:
        assert results[0].check(getattr(port, outcome)), results
