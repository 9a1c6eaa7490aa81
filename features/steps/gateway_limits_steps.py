import random

from behave import given
from behave import step
from behave import then
from behave import when
from twisted.internet import task

from godwitloft import clock as clocks
from godwitloft.gateway import model
from godwitloft.gateway import retry_budget
from godwitloft.gateway.allowances import allowance
from godwitloft.gateway.allowances import sharing
from godwitloft.links import datagrams

TOLERANCE = allowance.Tolerance(window_ms=8000, share=0.1, tokens=1000.0)
TEAM = model.Team("team", ("key",), None, 1000.0, 1000.0, 50, True)
REQUEST_TOKENS = 50.0
DELAY_S = 0.005
STEP_MS = 10
LEASE_MS = 2000
TELL_CHECK_MS = 50
LARGE_SECONDS = 20
LARGE_TOLERANCE = allowance.Tolerance(8000, 0.1, 140_000.0)
LARGE_TEAM = model.Team("team", ("key",), None, 36_000.0, 36_000.0, 50, True)
LARGEST_TEAM = model.Team(
    "team", ("key",), None, 180_000.0, 180_000.0, 50, True
)
# Mean tokens of a kind of request, and sigma of their lognormal distribution.
LARGE_SIZES = ((628, 0.4), (1800, 0.4), (6610, 0.6))


class Fleet:
    """Gateways that exchange datagrams."""

    def __init__(self, count, team=TEAM, tolerance=TOLERANCE):
        self.team = team
        self.tolerance = tolerance
        self.reactor = task.Clock()
        self.reactor.advance(1000)
        self.clock = clocks.reactor_clock(self.reactor)
        self.names = [f"g{number}" for number in range(count)]
        self.members = {}
        self.rows = {}
        self.parted = False
        self.delay_s = DELAY_S
        # Delays of gateways that differ from it.
        self.delays_s = {}
        # Gateways of a release that neither asks nor answers how long
        # datagrams take.
        self.older = set()
        self.sent_bytes = 0
        self.sent_datagrams = 0
        self.away = None
        self.allowed = []
        self.asked = 0.0
        for name in self.names:
            self.make(name).start.restore({}, 0)
        # They have known each other for long.
        for member in self.members.values():
            member.start.join()
        for name in self.names:
            self.connect(name)

    def make(self, name):
        def send(data, where):
            self.sent_bytes += len(data)
            self.sent_datagrams += 1
            if not self.parted:
                delay_s = self.delays_s.get(where[0], self.delay_s)
                self.reactor.callLater(
                    delay_s, self.deliver, data, where, name
                )

        member = sharing.Sharing(self.clock, send, name, 1, self.tolerance)
        self.members[name] = member
        return member

    def connect(self, name):
        self.members[name].update_gateways(
            {peer: peer for peer in self.names if peer != name}
        )

    def restart(self, name):
        used, at_ms = self.rows[name]
        age_ms = self.clock.monotonic_ms() - at_ms
        self.make(name).start.restore(used, age_ms)
        self.connect(name)
        self.members[name].start.join()

    def restart_large(self, name):
        """Restarts a gateway from the rows, as the adapter does."""
        now_ms = self.clock.monotonic_ms()
        for peer, member in self.members.items():
            if peer != name:
                self.rows[peer] = (member.own.usage(), now_ms)
        member = self.make(name)
        for peer, (used, at_ms) in self.rows.items():
            if peer != name:
                member.start.restore_peer(peer, peer, used, now_ms - at_ms)
        used, at_ms = self.rows[name]
        member.start.restore(used, now_ms - at_ms)
        self.connect(name)
        member.start.join()

    def deliver(self, data, where, sender):
        datagram = datagrams.decode(data)
        if self.older & {where[0], sender}:
            datagram.sharing.asked_ms = None
            datagram.sharing.answer_ms = None
        self.members[where[0]].on_announcement(datagram.sharing, sender)

    def run(self, per_s, spread, duration_ms, event):
        weights = (
            [float(weight) for weight in spread.split(",")]
            if (spread != "wander")
            else None
        )
        due = 0.0
        for at_ms in range(0, duration_ms, STEP_MS):
            self.reactor.advance(STEP_MS / 1000)
            event(at_ms)
            if at_ms % TELL_CHECK_MS == 0:
                for member in self.members.values():
                    member.announce_if_due()
            if at_ms % LEASE_MS == 0:
                now_ms = self.clock.monotonic_ms()
                for name, member in self.members.items():
                    self.rows[name] = (member.own.usage(), now_ms)
            due += per_s * STEP_MS / 1000 / REQUEST_TOKENS
            while due >= 1:
                due -= 1
                self.ask(self.pick(weights, at_ms))

    def pick(self, weights, at_ms):
        if weights is None:
            return self.names[at_ms // 3000 % len(self.names)]
        point = self.asked / REQUEST_TOKENS * 0.618034 % 1 * sum(weights)
        for name, weight in zip(self.names, weights, strict=True):
            point -= weight
            if point < 0:
                return name
        return self.names[0]

    def ask(self, name, tokens=REQUEST_TOKENS):
        self.asked += tokens
        if self.members[name].take(self.team, tokens) is not None:
            now_ms = self.clock.monotonic_ms()
            self.allowed.append((now_ms, tokens))

    def run_large(self, rng, parts, sizes=LARGE_SIZES):
        """Requests a multiple of the team's rate in each second."""
        due = 0.0
        for number in range(len(parts) * 1000 // STEP_MS):
            self.reactor.advance(STEP_MS / 1000)
            if number * STEP_MS % TELL_CHECK_MS == 0:
                for member in self.members.values():
                    member.announce_if_due()
            part = parts[number * STEP_MS // 1000]
            due += part * self.team.tokens_per_s * STEP_MS / 1000
            while due > 0:
                mean, spread = rng.choice(sizes)
                size = min(14_600, mean * rng.lognormvariate(0, spread))
                due -= size
                open_names = [name for name in self.names if name != self.away]
                self.ask(rng.choice(open_names), size)


def most_in_window(uses, window_ms):
    """Returns the largest sum of uses in any window of that length."""
    most = 0.0
    total = 0.0
    first = 0
    for at_ms, amount in uses:
        total += amount
        while uses[first][0] <= at_ms - window_ms:
            total -= uses[first][1]
            first += 1
        most = max(most, total)
    return most


@given("{count:d} gateways that share an allowance")
def fleet(context, count):
    context.fleet = Fleet(count)


@given(
    "{count:d} gateways that share an allowance and read datagrams after"
    " {delay_ms:d} ms"
)
def late_fleet(context, count, delay_ms):
    context.fleet = Fleet(count)
    context.fleet.delay_s = delay_ms / 1000


@given('gateways that share an allowance, each with its delay: "{delays}"')
def unevenly_late_fleet(context, delays):
    delays_ms = [int(delay) for delay in delays.split(",")]
    context.fleet = Fleet(len(delays_ms))
    context.fleet.delays_s = {
        name: delay_ms / 1000
        for name, delay_ms in zip(context.fleet.names, delays_ms, strict=True)
    }


@given("{count:d} of them are of an older release")
def with_older(context, count):
    context.fleet.older = set(context.fleet.names[:count])


@given("they read datagrams after {delay_ms:d} ms")
def late(context, delay_ms):
    context.fleet.delay_s = delay_ms / 1000


@given(
    "{count:d} gateways that share the allowance of a team with large requests"
)
def large_fleet(context, count):
    context.fleet = Fleet(count, LARGE_TEAM, LARGE_TOLERANCE)


@when(
    "it requests {part:g} times its rate, and {surge:g} times from 10 s on,"
    " seed {seed:d}"
)
def ask_large(context, part, surge, seed):
    fleet = context.fleet
    fleet.run_large(random.Random(seed), [part] * (LARGE_SECONDS // 2))
    context.first = (fleet.asked, sum(tokens for _, tokens in fleet.allowed))
    fleet.run_large(random.Random(seed + 100), [surge] * (LARGE_SECONDS // 2))


@when(
    "it requests {part:g} times its rate in requests of {tokens:d} tokens for"
    " {seconds:d} s"
)
def ask_small(context, part, tokens, seconds):
    rng = random.Random(1)
    context.fleet.run_large(rng, [part] * seconds, ((tokens, 0.0),))
    context.seconds = seconds


@then("each gateway sent at most {most:g} announcements per second")
def check_announcements(context, most):
    fleet = context.fleet
    peers = len(fleet.names) - 1
    per_s = fleet.sent_datagrams / len(fleet.names) / peers / context.seconds
    assert per_s <= most, per_s


@when("the first uses all of it and the second refuses 20000 tokens")
def refuse_at_second(context):
    fleet = context.fleet
    first, second = fleet.members["g0"], fleet.members["g1"]
    while first.take(fleet.team, REQUEST_TOKENS) is not None:
        pass
    for _ in range(3):
        fleet.reactor.advance(1)
        for member in (first, second):
            member.announce_if_due()
        fleet.reactor.advance(2 * DELAY_S)
    assert second.take(fleet.team, 20_000.0) is None
    fleet.reactor.advance(1)
    second.announce_if_due()
    fleet.reactor.advance(2 * DELAY_S)


@given(
    "{count:d} gateways that share an allowance without an absolute tolerance"
)
def strict_fleet(context, count):
    context.fleet = Fleet(count, TEAM, allowance.Tolerance(8000, 0.1, 0.0))
    context.fleet.run(0, "1" + ",0" * (count - 1), 3000, lambda _at_ms: None)


@when("one of them receives {count:d} requests at once")
def ask_at_once(context, count):
    for _ in range(count):
        context.fleet.ask("g0")


@then("all {count:d} were allowed")
def check_all_allowed(context, count):
    assert len(context.fleet.allowed) == count, len(context.fleet.allowed)


@then("their shares of the allowance add up to at most one")
def check_part(context):
    fleet = context.fleet
    parts = [member.fraction(fleet.team) for member in fleet.members.values()]
    assert sum(parts) <= 1.001, parts


@then("each gateway sent at most {most:d} bytes per second")
def check_sent_bytes(context, most):
    fleet = context.fleet
    mean = fleet.sent_bytes / len(fleet.names) / LARGE_SECONDS
    assert mean <= most, mean


@given("{count:d} gateways that share the allowance of a large team")
def large_team_fleet(context, count):
    context.fleet = Fleet(count, LARGEST_TEAM, LARGE_TOLERANCE)


@when(
    "it requests {load:g} times its rate while the gateways restart in turn,"
    " seed {seed:d}"
)
def ask_with_restarts(context, load, seed):
    fleet = context.fleet
    rng = random.Random(seed)
    fleet.run_large(rng, [load] * 9)
    for name in fleet.names:
        now_ms = fleet.clock.monotonic_ms()
        fleet.rows[name] = (fleet.members[name].own.usage(), now_ms)
        fleet.away = name
        fleet.run_large(rng, [load])
        fleet.away = None
        fleet.restart_large(name)
        fleet.run_large(rng, [load])


@then(
    "at least {least:g} of the tokens requested in the first 10 s were allowed"
)
def check_first(context, least):
    asked, allowed = context.first
    assert allowed >= least * asked, allowed / asked


@when(
    "{per_s:d} tokens per second are requested for 20 s, distributed as"
    ' "{spread}"'
)
def remember_load(context, per_s, spread):
    context.load = (per_s, spread)


@step("{what} at 5 s")
def with_event(context, what):
    fleet = context.fleet

    def event(at_ms):
        if at_ms != 5000:
            return
        if what == "they are disconnected":
            fleet.parted = True
        elif what == "all restart":
            for name in fleet.names:
                fleet.restart(name)
        elif what == "one restarts":
            fleet.restart(fleet.names[0])
        else:
            raise AssertionError(what)

    fleet.run(*context.load, 20_000, event)


@step("nothing happens")
def without_event(context):
    context.fleet.run(*context.load, 20_000, lambda _at_ms: None)


@then("at most {limit:d} tokens were used in any 8 s")
def check_limit(context, limit):
    most = most_in_window(context.fleet.allowed, TOLERANCE.window_ms)
    assert most <= limit, most


@then("at least {least:g} of all requested tokens were allowed")
def check_least(context, least):
    allowed = sum(tokens for _at_ms, tokens in context.fleet.allowed)
    share = allowed / context.fleet.asked
    assert share >= least, share


@given(
    "a retry budget of {ratio:g} and {extra:d} extra in 10 s, for {count:d}"
    " gateways"
)
def budgets(context, ratio, extra, count):
    settings = retry_budget.BudgetSettings(10_000, ratio, extra)
    context.budgets = [
        retry_budget.RetryBudget(settings) for _ in range(count)
    ]


@when("{per_s:d} requests per second arrive for 15 s and each needs a retry")
def repeats(context, per_s):
    context.firsts, context.repeats = [], []
    for number in range(per_s * 15):
        now_ms = 1_000_000 + number * 1000 // per_s
        budget = context.budgets[number % len(context.budgets)]
        budget.record_first(now_ms)
        context.firsts.append((now_ms, 1))
        if budget.take(now_ms, len(context.budgets), None):
            context.repeats.append((now_ms, 1))


@then(
    "the retries in any 10 s were at most {ratio:g} of the requests plus"
    " {extra:d}"
)
def check_budget(context, ratio, extra):
    most = most_in_window(context.repeats, 10_000)
    firsts = most_in_window(context.firsts, 10_000)
    assert most <= ratio * firsts + extra, (most, firsts)


@then("at least {least:d} retries were allowed")
def check_repeats(context, least):
    assert len(context.repeats) >= least, len(context.repeats)


@given("a window of {length_s:d} s in which {tokens:d} tokens were used")
def window(context, length_s, tokens):
    context.now_ms = 0
    context.window = allowance.Window(length_s * 1000)
    context.first_use = context.window.add(tokens, 0)


@when("{passed_s:d} s pass and {tokens:d} tokens are used")
def use_later(context, passed_s, tokens):
    context.now_ms += passed_s * 1000
    context.window.total(context.now_ms)
    context.window.add(tokens, context.now_ms)


@when("the first use is {what}")
def take_back_first(context, what):
    tokens = context.first_use.tokens
    context.window.take_back(context.first_use)
    if what == "moved to now":
        context.window.add(tokens, context.now_ms)


@then("the window holds {tokens:d} tokens")
def check_window(context, tokens):
    found = context.window.total(context.now_ms)
    assert found == tokens, found
