import dataclasses
import itertools
import json
import random
from unittest import mock

from behave import given
from behave import then
from behave import when
import gated_process
import heap_clock
import scripted_store
from twisted.internet import defer

from godwitloft.coordination import lease
from godwitloft.coordination import orders
from godwitloft.coordination import pause
from godwitloft.coordination import permits
from godwitloft.store import port

MAX_ORDER_MS = 5_000
NAME = "u1"


@dataclasses.dataclass(frozen=True)
class Accepted:
    start: float
    end: float
    holder: object
    order: orders.Order


class Upstream:
    """Executes orders and records them."""

    def __init__(self, reactor, checks, store):
        self.reactor = reactor
        self.checks = checks
        self.store = store
        self.highest = 0
        self.state = "none"
        self.accepted = []
        self.outside = 0
        self.outlasting = 0
        self.refused = 0
        self.lost_answers = 0
        self.failing = 0
        self.duration_s = 0.5

    def send(self, holder, order):
        row = json.loads(self.store.rows[lease.TABLE, NAME].value)
        owns = row["epoch"] == order.epoch and not row["released"]
        self.outside += not owns
        # The lease began, at the latest, when its row was written.
        lease_end_s = self.store.written_s + row["duration_ms"] / 1000
        ends_s = self.reactor.seconds() + self.duration_s
        self.outlasting += owns and ends_s > lease_end_s
        if self.checks and order.epoch < self.highest:
            self.refused += 1
            return defer.succeed(orders.Answer.STALE_EPOCH)
        self.highest = max(self.highest, order.epoch)
        start = self.reactor.seconds()
        end = start + self.duration_s
        self.accepted.append(Accepted(start, end, holder, order))
        if end - start > MAX_ORDER_MS / 1000:
            return defer.Deferred()
        answered = defer.Deferred()
        self.reactor.callLater(end - start, self.finish, order, answered)
        return answered

    def finish(self, order, answered):
        if self.failing:
            self.failing -= 1
            answered.callback(orders.Answer.REFUSED)
            return
        self.state = order.target
        if self.lost_answers:
            self.lost_answers -= 1
        else:
            answered.callback(orders.Answer.DONE)

    def read(self):
        return defer.succeed(self.state)


class Agent:
    def __init__(self, world, name, drift=0.0):
        self.world = world
        self.process = gated_process.Process(world.reactor, drift)
        clock = self.process.clock()
        rng = random.Random(f"{name}{world.rng.random()}")
        latency = world.latency
        platform = world.store.platform()
        self.broken = {}
        self.store_latency_s = 0.0
        remote = port.Platform(
            **{
                field.name: self.faulty(
                    self.process.remote(
                        getattr(platform, field.name),
                        lambda: latency() + self.store_latency_s,
                    ),
                    field.name,
                )
                for field in dataclasses.fields(port.Platform)
            }
        )
        takeover_delay_ms = 0 if world.upstream.checks else MAX_ORDER_MS
        self.lease = lease.Lease(
            remote,
            clock,
            self.process,
            NAME,
            name,
            rng,
            lease.LeaseSettings(takeover_delay_ms=takeover_delay_ms),
        )
        self.watch = pause.PauseDetector(
            clock, self.process, lambda _: self.lease.invalidate()
        )
        self.watch.start()
        self.permit = lambda: defer.succeed(None)
        callbacks = orders.OrdersCallbacks(
            self.process.remote(
                lambda order: world.upstream.send(self, order), latency
            ),
            self.process.remote(world.upstream.read, world.read_latency),
            lambda state, target: True,
            lambda: self.permit(),
            self.watch.check,
        )
        self.orders = orders.Orders(
            self.lease, clock, self.process, callbacks, rng, MAX_ORDER_MS
        )

    def faulty(self, function, name):
        def call(*args):
            kind = self.broken.get(name, lambda: None)()
            if kind == "down":
                return defer.fail(port.StoreUnavailable("cut off"))
            answered = function(*args)
            if kind == "lost":
                answered.addCallback(self.lose)
            return answered

        return call

    def lose(self, answer):
        raise port.AnswerLost("lost by the test")


class Simulation:
    def __init__(self, checks=True, seed=1):
        self.rng = random.Random(seed)
        self.reactor = heap_clock.HeapClock()
        self.store = scripted_store.Store()
        self.store.written_s = 0.0
        self.store.choose = self.note_write
        self.upstream = Upstream(self.reactor, checks, self.store)
        self.agents = {}
        self.slowest_read_s = 0.01
        self.double_holds = 0

    def note_write(self, name, args):
        if name == "write_row":
            self.store.written_s = self.reactor.seconds()
        return "ok"

    def latency(self):
        return 0.002 + self.rng.random() * 0.01

    def read_latency(self):
        return self.rng.choice((0.01, self.slowest_read_s))

    def add(self, name, drift=0.0):
        self.agents[name] = Agent(self, name, drift)
        return self.agents[name]

    def run(self, seconds):
        end = self.reactor.seconds() + seconds
        while self.reactor.seconds() < end:
            self.reactor.advance(0.1)
            holders = [
                agent
                for agent in self.agents.values()
                if agent.lease.is_held
                and not agent.process.is_dead
                and not agent.process.is_paused
            ]
            self.double_holds += len(holders) > 1


@given(
    'an agent "{name}" that holds the lease of an upstream at epoch {epoch:d}'
)
def agent_holds(context, name, epoch):
    context.simulation = Simulation()
    agent = context.simulation.add(name)
    agent.lease.start()
    context.simulation.run(7)
    assert agent.lease.is_held and agent.lease.epoch == epoch


def cut_off(agent):
    for name in ("read_row", "write_row"):
        agent.broken[name] = lambda: "down"


def lose_answers(agent):
    state = {"count": 0}

    def kind():
        state["count"] += 1
        return "lost" if state["count"] % 2 else None

    agent.broken["write_row"] = kind


def read_stale(agent):
    agent.world.store.choose = lambda name, args: (
        "stale" if name == "read_row" else "ok"
    )


EVENTS = {
    "working": lambda agent: None,
    "done": lambda agent: agent.lease.stop(),
    "dead": lambda agent: setattr(agent.process, "is_dead", True),
    "paused for 60 s": lambda agent: agent.process.pause(60),
    "paused for 5 s": lambda agent: agent.process.pause(5),
    "suspended with its clock for 60 s": lambda agent: agent.process.pause(
        60, hides_time=True
    ),
    "cut off from the store": cut_off,
    "losing every second answer": lose_answers,
    "reading stale rows": read_stale,
}


@when('lease holder "{name}" is {event}')
def happen(context, name, event):
    EVENTS[event](context.simulation.agents[name])


@when('agent "{name}" requests the lease for {seconds:d} seconds')
def request_lease(context, name, seconds):
    context.simulation.add(name).lease.start()
    context.simulation.run(seconds)


@then('"{name}" holds the lease at epoch {epoch:d}')
def check_holder(context, name, epoch):
    holders = {
        key: agent.lease.epoch
        for key, agent in context.simulation.agents.items()
        if agent.lease.is_held and not agent.process.is_dead
    }
    assert holders == ({name: epoch} if epoch else {}), holders


@then("no two agents ever held it at once")
def check_one_holder(context):
    assert context.simulation.double_holds == 0


@given("an upstream that {checks} the fencing number")
def make_upstream(context, checks):
    context.simulation = Simulation(checks == "checks")


@given(
    'an agent "{name}" with target "{state}" from configuration {generation:d}'
)
def set_agent_target(context, name, generation, state):
    context.agent = context.simulation.add(name)
    context.first = lambda: context.agent.orders.set_target(generation, state)


def set_target_later(agent, generation, state):
    agent.world.reactor.callLater(
        5, agent.orders.set_target, generation, state
    )


ORDER_FAULTS = {
    "nothing happens": lambda agent: None,
    'the upstream already has "m1"': lambda agent: setattr(
        agent.world.upstream, "state", "m1"
    ),
    'configuration 4 wants "m2"': lambda agent: set_target_later(
        agent, 4, "m2"
    ),
    'an older configuration 2 wants "m0"': lambda agent: set_target_later(
        agent, 2, "m0"
    ),
    "the store is down": cut_off,
    "no permit is given": lambda agent: setattr(
        agent, "permit", defer.Deferred
    ),
    "the first answer is lost": lambda agent: setattr(
        agent.world.upstream, "lost_answers", 1
    ),
    "the order takes longer than it may": lambda agent: setattr(
        agent.world.upstream, "duration_s", 60
    ),
}


@when("orders are sent while {fault} for {seconds:d} seconds")
def order_with(context, fault, seconds):
    ORDER_FAULTS[fault](context.agent)
    context.first()
    context.simulation.run(seconds)


@then('the upstream has "{state}" after {count:d} order')
def check_state(context, state, count):
    upstream = context.simulation.upstream
    assert upstream.state == state, upstream.state
    assert len(upstream.accepted) == count, upstream.accepted


@then("no order was sent outside the lease")
def check_outside(context):
    simulations = getattr(context, "simulations", None) or [context.simulation]
    assert [simulation.upstream.outside for simulation in simulations] == [
        0
    ] * len(simulations)


@then("the lease was released if the work is done")
def check_released(context):
    agent = context.agent
    if agent.orders.is_settled:
        assert not agent.lease.is_held
        row = context.simulation.store.rows.get((lease.TABLE, NAME))
        assert row is None or json.loads(row.value)["released"]


def run_simulation(seed, checks):
    simulation = Simulation(checks, seed)
    simulation.slowest_read_s = 2.0
    rng = random.Random(seed)
    names = ("a", "b", "c")
    for name in names:
        simulation.add(name, rng.uniform(-0.01, 0.01))
    newest = 0
    for _ in range(25):
        agent = simulation.agents[rng.choice(names)]
        action = rng.choice(
            ("want", "want", "pause", "pause", "restart", "store")
        )
        simulation.upstream.failing = rng.choice((0, 5))
        simulation.upstream.duration_s = rng.uniform(0.1, 4.9)
        if action == "want":
            newest += 1
            for name in rng.sample(names, rng.randint(1, 3)):
                simulation.agents[name].orders.set_target(newest, f"m{newest}")
        elif action == "pause" and not agent.process.is_paused:
            agent.process.pause(rng.uniform(1, 60), rng.random() < 0.3)
        elif action == "restart":
            agent.process.is_dead = True
            name = rng.choice(names)
            dead, simulation.agents[name] = simulation.agents[name], None
            dead.process.is_dead = True
            simulation.add(name, rng.uniform(-0.01, 0.01))
        elif action == "store":
            kinds = rng.choices(("down", "lost", None), k=7)
            agent.broken["write_row"] = iter(kinds * 100).__next__
        simulation.reactor.advance(rng.choice((1, 5, 20)) * rng.random())
    for index, name in enumerate(names):
        simulation.agents[name].broken.clear()
        if simulation.agents[name].process.is_dead:
            simulation.add(name)
        simulation.reactor.callLater(
            index * 2,
            simulation.agents[name].orders.set_target,
            newest + 1,
            "last",
        )
    simulation.upstream.duration_s = 1
    simulation.upstream.failing = 0
    simulation.reactor.advance(150)
    return simulation


@when("{count:d} seeded runs of 3 agents order an upstream that {checks}")
def run_simulations(context, count, checks):
    context.simulations = [
        run_simulation(seed, checks == "checks") for seed in range(count)
    ]


@when(
    "a holder of an upstream that {checks} is paused or cut off at 20 moments"
)
def run_disruptions(context, checks):
    context.simulations = list(disruptions(checks == "checks"))
    assert len(context.simulations) == 120


@then("no order outlasted the lease")
def check_outlasting(context):
    assert not [
        simulation
        for simulation in context.simulations
        if simulation.upstream.outlasting
    ]


def old_after_new(simulation):
    epochs = [record.order.epoch for record in simulation.upstream.accepted]
    return epochs != sorted(epochs)


def overlaps(simulation):
    accepted = simulation.upstream.accepted
    return any(
        earlier.end > later.start and earlier.holder is not later.holder
        for earlier, later in zip(accepted, accepted[1:], strict=False)
    )


def same_number(simulation):
    holders = {}
    for record in simulation.upstream.accepted:
        holders.setdefault(record.order.epoch, set()).add(record.holder)
    return any(len(found) > 1 for found in holders.values())


def old_state(simulation):
    generations = [
        record.order.generation for record in simulation.upstream.accepted
    ]
    return generations != sorted(generations)


def run_disruption(checks, at, length=0, hides=False, slow=0.0):
    """Pauses or cuts off a holder at one moment of its work."""
    simulation = Simulation(checks)
    simulation.slowest_read_s = 2.0
    simulation.upstream.failing = 1000
    simulation.upstream.duration_s = 4.9
    first, second = simulation.add("a"), simulation.add("b")
    first.store_latency_s = slow
    first.orders.set_target(1, "m1")
    # With a slow store, the lease is acquired later.
    simulation.reactor.advance(15 if slow else 1)
    second.orders.set_target(2, "m2")
    simulation.reactor.advance(at)
    if length:
        first.process.pause(length, hides)
    else:
        cut_off(first)
    with mock.patch.object(orders, "LONGEST_BACKOFF_MS", 500):
        simulation.reactor.advance(70)
    return simulation


def disruptions(checks):
    """Yields a run for each moment of a grid."""
    for step in range(20):
        for length in (25, 60):
            for hides in (False, True):
                yield run_disruption(checks, step / 2, length, hides)
        yield run_disruption(checks, step)
        yield run_disruption(checks, step, slow=3.0)


VIOLATIONS = {
    "outlasting": lambda simulation: simulation.upstream.outlasting > 0,
    "overlap": overlaps,
    "same number": same_number,
    "outside": lambda simulation: simulation.upstream.outside > 0,
    "old state": old_state,
}


def may_order_while_held(self, duration_ms):
    return self.is_held and self.clock.monotonic_ms() >= self.blocked_until_ms


def allowed_for_old(self):
    return self.lease.covers(self.max_order_ms)


def count_from_answer(real):
    async def renew(self):
        wait_ms = await real(self)
        if self.epoch and self.expires_ms:
            now_ms = self.clock.monotonic_ms()
            self.expires_ms = now_ms + self.settings.duration_ms
        return wait_ms

    return renew


def same_epoch(real):
    def write(self, epoch, mark, released):
        self.epoch = self.epoch and 1
        return real(self, 1, mark, released)

    return write


Lease = lease.Lease
MUTANTS = {
    "a lease is taken over at once": (Lease, "_takeover_ms", lambda *_: 0),
    "the fencing number stays the same": (
        Lease,
        "_write",
        same_epoch(Lease._write),
    ),
    "an order may outlast the lease": (
        Lease,
        "covers",
        may_order_while_held,
    ),
    "the clock isn't read before sending": (
        Lease,
        "remaining_ms",
        lambda self: 10**9 if self.epoch else 0,
    ),
    "a pause is not noticed": (Lease, "invalidate", lambda self: None),
    "an older configuration may order": (
        orders.Orders,
        "_is_allowed",
        allowed_for_old,
    ),
    "a renewal counts from its answer": (
        Lease,
        "_renew",
        count_from_answer(Lease._renew),
    ),
}


@when('seeded runs order an upstream that {checks} with the mutant "{mutant}"')
def run_mutant(context, checks, mutant):
    context.mutant = mutant
    is_checking = checks == "checks"
    seeded = (run_simulation(seed, is_checking) for seed in range(100))
    context.simulations = itertools.chain(disruptions(is_checking), seeded)


@then("the runs of leases show {violation}")
def check_mutant(context, violation):
    # The runs are made here, until one shows the violation.
    with mock.patch.object(*MUTANTS[context.mutant]):
        assert any(
            VIOLATIONS[violation](simulation)
            for simulation in context.simulations
        )


@then("no order of an old holder was accepted after one of a newer holder")
def check_order(context):
    assert (
        sum(
            len(simulation.upstream.accepted)
            for simulation in context.simulations
        )
        > 100
    )
    assert not [
        simulation
        for simulation in context.simulations
        if old_after_new(simulation)
    ]
    assert not [
        simulation
        for simulation in context.simulations
        if same_number(simulation)
    ]
    assert not [
        simulation
        for simulation in context.simulations
        if old_state(simulation)
    ]


@then("no two holders' orders overlapped")
def check_overlap(context):
    # Pauses that hide time from the monotonic clock are noticed only by the
    # wall clock; those runs count as well.
    assert not [
        simulation
        for simulation in context.simulations
        if overlaps(simulation)
    ]


@then("every run ends in the newest target state")
def check_last(context):
    states = [simulation.upstream.state for simulation in context.simulations]
    assert set(states) == {"last"}, states


def bucket_faults(simulation, fault):
    rng = simulation.rng
    store = simulation.store
    if fault == "lost and late answers":
        store.choose = lambda name, args: rng.choice(
            ("ok", "ok", "lost", "dropped")
        )
    elif fault == "the store down":
        store.is_down = True
    elif fault == "stale reads":
        store.choose = lambda name, args: rng.choice(("ok", "stale"))


@given(
    "{takers:d} takers of a bucket of {rate:d} a second that holds"
    " {capacity:d}"
)
def make_takers(context, takers, rate, capacity):
    context.simulation = Simulation()
    context.settings = permits.BucketSettings(rate, capacity, 2)
    context.takers = takers


@when("they take all they can for {seconds:d} seconds with {fault}")
def take_all(context, seconds, fault):
    simulation = context.simulation
    bucket_faults(simulation, fault)
    context.granted = 0
    drift = 0.01 if fault == "clocks that run fast" else 0.0

    def count(_, bucket):
        context.granted += 1
        simulation.reactor.callLater(0, take, bucket)

    def take(bucket):
        bucket.take().addCallback(count, bucket)

    for index in range(context.takers):
        process = gated_process.Process(simulation.reactor, drift)
        platform = simulation.store.platform()
        remote = dataclasses.replace(
            platform,
            read_row=process.remote(platform.read_row, simulation.latency),
            write_row=process.remote(platform.write_row, simulation.latency),
        )
        take(
            permits.Bucket(
                remote,
                process.clock(),
                process,
                "weights",
                random.Random(index),
                context.settings,
            )
        )
    simulation.reactor.advance(seconds)


def credit_all(self, row):
    self.row = row
    self.is_row_known = True


async def swap_blindly(*args, **kwargs):
    try:
        return await real_swap(*args, **kwargs)
    except port.AnswerLost:
        return port.Swapped(port.Row(args[2], args[3], 0))


real_swap = permits.swap.compare_and_swap
BUCKET_MUTANTS = {
    "time before the row was seen is credited": (
        permits.Bucket,
        "_note_row",
        credit_all,
    ),
    "a lost answer counts as a grant": (
        permits.swap,
        "compare_and_swap",
        swap_blindly,
    ),
    "the bucket may hold more than its capacity": (
        permits.Bucket,
        "_available",
        lambda self: 10.0,
    ),
}


@when('they take with lost answers and the mutant "{mutant}"')
def take_with_mutant(context, mutant):
    with mock.patch.object(*BUCKET_MUTANTS[mutant]):
        take_all(context, 60, "lost and late answers")


@then("more than {count:d} permits were granted")
def check_too_many(context, count):
    assert context.granted > count, context.granted


@then("between {least:d} and {most:d} permits were granted")
def check_granted(context, least, most):
    assert least <= context.granted <= most, context.granted
