import dataclasses
import json
import random

from behave import then
from behave import when
from treq import testing
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task

from godwitloft import clock as clocks
from godwitloft import decode
from godwitloft.platform import faults
from godwitloft.platform import http
from godwitloft.platform import memory
from godwitloft.platform import port
from godwitloft.standins import platform as standin

ERRORS = {
    port.RateLimited: "limited",
    port.StoreUnavailable: "unavailable",
    port.AnswerLost: "lost",
    port.InvalidCall: "invalid",
}
LONG = b"x" * (port.MAX_ROW_BYTES + 1)


@dataclasses.dataclass
class Reached:
    """A platform behind one adapter, with its time and its faults."""

    port: port.Platform
    reactor: task.Clock
    injector: faults.Injector
    flush: object


def in_memory():
    reactor = task.Clock()
    reactor.advance(1000)
    injector = faults.Injector()
    store = memory.Store(clocks.reactor_clock(reactor))
    platform = memory.platform(store, reactor, injector)
    return Reached(platform, reactor, injector, lambda: None)


def over_http():
    reactor = task.Clock()
    reactor.advance(1000)
    core = standin.Platform(standin.PlatformSettings(), reactor)
    stub = testing.StubTreq(standin.resource(core))
    platform = http.platform("http://store", reactor, requester=stub)
    return Reached(platform, reactor, core.injector, stub.flush)


ADAPTERS = (in_memory, over_http)


def ends(reached, call):
    """Returns how a call ends, driving time until it does."""
    results = []
    call.addBoth(results.append)
    for _ in range(5):
        reached.flush()
        if results:
            break
        reached.reactor.advance(1)
        reached.flush()
    [result] = results
    if hasattr(result, "value") and isinstance(result.value, Exception):
        kind = result.check(*ERRORS)
        return ERRORS.get(kind, repr(result))
    return result


def shown(result):
    if isinstance(result, str):
        return result
    if result is None:
        return "none"
    if isinstance(result, bytes):
        return result.decode()
    if isinstance(result, port.Row):
        return f"{result.value.decode()} {result.version}"
    if isinstance(result, port.Swapped):
        return f"swapped {result.row.version}"
    if isinstance(result, port.Conflict):
        return f"conflict {shown(result.row)}"
    names = [
        one.key if isinstance(one, port.Row) else one.name + "!" * one.leaving
        for one in result
    ]
    return " ".join(names) or "-"


def run(reached, name, *words):
    """Makes the call of one line of a script."""
    platform = reached.port
    if name == "read":
        return platform.read_row("t", *words)
    if name == "write":
        key, value, version, *life = words
        content = LONG if value == "long" else value.encode()
        life_ms = int(life[0]) if life else None
        return platform.write_row("t", key, content, int(version), life_ms)
    if name == "delete":
        return platform.delete_row("t", words[0], int(words[1]))
    if name == "list":
        return platform.list_rows("t", words[0].replace("-", ""))
    if name == "get":
        return platform.read_object(*words)
    if name == "put":
        return platform.write_object(words[0], words[1].encode())
    if name == "weights":
        return platform.read_weights(*words)
    if name == "instances":
        return platform.list_instances()
    instance = port.Instance(
        words[0], "entry", "127.0.0.1", 1, "riga-a", leaving=len(words) > 2
    )
    return platform.announce_instance(instance, int(words[1]))


@when('on a platform "{script}" is called, each result is as stated')
def run_script(context, script):
    for adapter in ADAPTERS:
        reached = adapter()
        for line in script.split("; "):
            words, _, expected = line.partition(" = ")
            name, *words = words.split()
            if name == "wait":
                reached.reactor.advance(int(words[0]) / 1000)
                reached.flush()
            elif name == "faults":
                found = decode.decode(faults.Faults, json.loads(*words), "f")
                reached.injector.set(found)
            else:
                found = shown(ends(reached, run(reached, name, *words)))
                found = (
                    found.replace("none", "ok") * (expected == "ok") or found
                )
                assert found == expected, (adapter.__name__, line, found)


@when("{reads:d} reads and {writes:d} writes are made on a platform at once")
def make_calls(context, reads, writes):
    reached = in_memory()
    calls = [("read", "k")] * reads + [("put", "o", "x")] * writes
    results = [ends(reached, run(reached, *call)) for call in calls]
    context.refused = results.count("limited")


@then("{refused:d} of them are refused for their rate")
def check_refused(context, refused):
    assert context.refused == refused, context.refused


@then(
    "random calls with lost answers and outages leave both adapters as a"
    " plain dictionary has it"
)
def compare_with_dictionary(context):
    for adapter in ADAPTERS:
        for seed in range(3):
            compare_once(adapter(), random.Random(seed))


def compare_once(reached, rng):
    rows = {}
    for _ in range(80):
        key = rng.choice("ab")
        version, value = rows.get(key, (0, None))
        expected = rng.choice([version, version, rng.randrange(9)])
        fault = rng.choice(["", "", "lose_answers", "outage"])
        if fault == "lose_answers":
            reached.injector.set(faults.Faults(lose_answers=1))
        elif fault == "outage":
            reached.injector.set(faults.Faults(outage=faults.Outage.REFUSE))
        new = str(rng.random())
        result = ends(reached, run(reached, "write", key, new, str(expected)))
        reached.injector.set(faults.Faults())
        reached.reactor.advance(1)
        row = ends(reached, run(reached, "read", key))
        if fault == "outage":
            assert result == "unavailable"
        elif expected != version:
            assert result == "lost" or isinstance(result, port.Conflict)
        else:
            assert (result == "lost") == (fault == "lose_answers")
            assert row.version > version
            rows[key] = version, value = (row.version, new)
        found = (row.version, row.value.decode()) if row else (0, None)
        assert found == (version, value), (found, version, value)


class Failing:
    """Sends requests that all fail in the same way."""

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


@then("a {call} whose connection fails with {reason} ends as {outcome}")
def check_connection_failure(context, call, reason, outcome):
    platform = http.platform(
        "http://store", task.Clock(), requester=Failing(reason)
    )
    reached = Reached(platform, task.Clock(), None, lambda: None)
    arguments = {"write": ("k", "a", "0"), "read": ("k",)}[call]
    found = ends(reached, run(reached, call, *arguments))
    assert found == ERRORS[getattr(port, outcome)], found
