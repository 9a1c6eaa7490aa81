import collections
import dataclasses
import json
import random

from behave import given
from behave import then
from behave import when
from twisted.internet import task

from bench import store_rush
from features.support import calls as port_calls
from godwitloft import clock as clocks
from godwitloft import decode
from godwitloft.store import faults
from godwitloft.store import guard as guards
from godwitloft.store import memory
from godwitloft.store import port

ACTIONS = {
    "ok": faults.Action.ANSWER,
    "late": faults.Action.ANSWER,
    "down": faults.Action.REFUSE,
    "lost": faults.Action.LOSE,
    "hang": faults.Action.HANG,
}


class ScriptedInjector:
    """A platform in memory and a fault injector with chosen outcomes."""

    faults = faults.Faults()

    def __init__(self, choose):
        self.choose = choose
        self.outcome = "ok"
        self.times = []
        self.reactor = task.Clock()
        self.reactor.advance(1000)
        self.store = memory.Store(
            clocks.reactor_clock(self.reactor),
            memory.StoreSettings(reads_per_s=0, writes_per_s=0),
        )
        self.effects = collections.Counter()
        self.write_row = self.store.write_row
        self.store.write_row = self.write_row_counted

    def decide(self, service, is_write):
        self.outcome = self.choose()
        self.times.append(self.reactor.seconds())
        return faults.Decision(ACTIONS[self.outcome], 0.0)

    def write_row_counted(self, table, key, value, version, time_to_live_ms):
        result = self.write_row(table, key, value, version, time_to_live_ms)
        self.effects[value] += isinstance(result, port.Swapped)
        return result

    def platform(self):
        inner = memory.platform(self.store, self.reactor, self)

        def read_row(table, key):
            row = inner.read_row(table, key)
            if self.outcome != "late":
                return row
            return row.addCallback(
                lambda found: task.deferLater(self.reactor, 1, lambda: found)
            )

        return dataclasses.replace(inner, read_row=read_row)


def make_guard(settings, live, choose):
    scripted = ScriptedInjector(choose)
    scripted.retries, scripted.refusals = [], []
    settings = decode.decode(guards.GuardSettings, settings, "settings")
    scripted.guard = guards.Guard(
        scripted.platform(),
        scripted.reactor,
        settings,
        lambda: live,
        random.Random(1),
        scripted.retries.append,
        scripted.refusals.append,
    )
    return scripted


@given("a guard with {settings} for {live:d} processes")
def start_guard(context, settings, live):
    context.outcomes = []
    context.guarded = make_guard(
        json.loads(settings.replace(", }", "}")),
        live,
        lambda: context.outcomes.pop(0) if context.outcomes else "ok",
    )


@when('outcomes are "{outcomes}" for "{calls}" until {until:d}')
def run_calls(context, outcomes, calls, until):
    context.outcomes.extend(outcomes.split())
    platform = context.guarded.guard.platform()
    clock = context.guarded.reactor
    start = clock.seconds()
    context.results = []

    def wait(end_ms):
        while clock.seconds() - start < end_ms / 1000 - 1e-9:
            clock.advance(0.001)

    for line in calls.split("; "):
        at, name, *words = line.split()
        wait(int(at))
        results = []
        port_calls.make_call(platform, name, *words).addBoth(results.append)
        context.results.append(results)
    wait(until)


@then(
    'the guarded calls end as "{results}" after {inner:d} calls with retries'
    ' "{retries}" and refusals "{refusals}"'
)
def check_calls(context, results, inner, retries, refusals):
    found = "; ".join(
        port_calls.format_result(*result) if result else "-"
        for result in context.results
    )
    guarded = context.guarded
    assert found == results, found
    assert len(guarded.times) == inner, guarded.times
    assert (" ".join(guarded.retries) or "-") == retries, guarded.retries
    assert (" ".join(guarded.refusals) or "-") == refusals, guarded.refusals


@then(
    "with seed {seed:d} no guarded write takes effect twice, no read returns"
    " data older than its call and no second has more calls than the share"
    " allows"
)
def check_random(context, seed):
    rng = random.Random(seed)
    outcomes = ["ok"] * 6 + ["late"] * 3 + ["down", "lost", "hang"]
    settings = {"fleet_reads_per_s": 40, "fleet_writes_per_s": 10}
    fixture = make_guard(
        settings | {"burst_s": 0, "min_burst": 1},
        2,
        lambda: rng.choice(outcomes),
    )
    platform = fixture.guard.platform()
    effects, results, made = fixture.effects, [], 0

    def version():
        row = fixture.store.read_row("t", "k")
        return row.version if row else 0

    def check_read(result, oldest):
        if isinstance(result, port.Row | None):
            found = result.version if result else 0
            assert oldest <= found <= version(), (oldest, found, version())
        results.append(result)

    for number in range(400):
        if rng.random() < 0.8:
            call = platform.read_row("t", "k")
            call.addBoth(check_read, version())
        else:
            value = str(number).encode()
            call = platform.write_row("t", "k", value, version(), None)
            call.addBoth(results.append)
        made += 1
        call.addErrback(lambda failure: results.append(failure))
        fixture.reactor.pump([0.01] * rng.randrange(12))
    fixture.reactor.pump([0.01] * 3000)
    failures = [
        result
        for result in results
        if hasattr(result, "check") and not result.check(port.PlatformError)
    ]
    assert not failures, failures
    assert len(results) == made, (len(results), made)
    assert max(effects.values()) == 1 and sum(effects.values()) > 3, effects
    times = fixture.times
    for index, time in enumerate(times):
        in_second = [later for later in times[index:] if later < time + 1]
        assert len(in_second) <= 20 + 5 + 2, len(in_second)


@when("{processes:d} guarded processes each make a {kind} at once")
def make_rush(context, processes, kind):
    context.rush = store_rush.rush(processes, kind == "write")


@then(
    "every call of the fleet is answered within {limit:d} ms with at most"
    " {refused:d} refusals by the rate limit"
)
def check_rush(context, limit, refused):
    rush = context.rush
    assert rush.failed == 0 and rush.last_ms <= limit, rush
    assert rush.refused <= refused, rush


@when(
    "{processes:d} guarded processes read every 2 s through an outage of 30 s"
)
def go_through_outage(context, processes):
    context.recovery = store_rush.outage(processes)


@then(
    "at most {down:d} calls per second reach it, at most {after:d} in any"
    " second after the outage, and all have answers within {limit:d} ms"
)
def check_recovery(context, down, after, limit):
    recovery = context.recovery
    assert recovery.calls_per_s <= down, recovery
    assert recovery.most_per_s <= after, recovery
    assert recovery.last_ms <= limit, recovery
