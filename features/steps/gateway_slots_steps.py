import collections
import random

from behave import given
from behave import step
from behave import then
from behave import when
from twisted.internet import task

from features.support import gateway_world
from godwitloft import clock as clocks
from godwitloft.gateway.allowances import share_factor
from godwitloft.gateway.allowances import sharing
from godwitloft.gateway.placing import arbiter
from godwitloft.gateway.placing import grant_hosts
from godwitloft.gateway.placing import placement
from godwitloft.gateway.placing import slot_client
from godwitloft.gateway.placing import slots
from godwitloft.gateway.upstreams import fleet
from godwitloft.links import datagrams
from godwitloft.links.generated.datagrams import ttypes

RUN_MS = 100
STEP_MS = 1
SLOTS = 8
URGENT_PART = 4


@when(
    "{count:d} slots, {unclaimed:d} of them used without a claim, are"
    ' allocated by demand to "{claims}"'
)
def deal_by_demand(context, count, unclaimed, claims):
    deal(context, count, unclaimed, claims, by_demand=True)


@when(
    "{count:d} slots, {unclaimed:d} of them used without a claim, are"
    ' allocated to "{claims}"'
)
def deal(context, count, unclaimed, claims, by_demand=False):
    parsed = []
    for number, claim in enumerate(claims.split()):
        running, _, waiting = claim.removeprefix("near:").partition("/")
        parsed.append(
            slots.Claim(
                f"g{number}",
                int(running),
                tuple(
                    int(waiting_count) for waiting_count in waiting.split(",")
                ),
                slots.spare_order(
                    "u", f"g{number}", claim.startswith("near:")
                ),
            )
        )
    context.starts = slots.allocate(count, unclaimed, parsed, by_demand)


@when(
    "{count:d} slots, {unclaimed:d} of them used without a claim, are"
    ' allocated to ""'
)
def deal_nobody(context, count, unclaimed):
    context.starts = slots.allocate(count, unclaimed, [])


@then('the gateways may start "{starts}"')
def check_starts(context, starts):
    wanted = [int(number) for number in starts.split()]
    assert list(context.starts.values()) == wanted, context.starts


def claim_of(upstream, gateway, running):
    """Returns the claim of a gateway in another availability zone."""
    place = slots.spare_order(upstream, gateway, same_zone=False)
    return slots.Claim(gateway, running, (0,), place)


@then(
    "{change:d} grants change when any of {count:d} idle gateways starts one"
)
def check_stable(context, change, count):
    def dealt(busy):
        claims = [
            claim_of("u", f"g{number}", int(number == busy))
            for number in range(count)
        ]
        return slots.allocate(SLOTS, 0, claims)

    idle = dealt(None)
    assert sum(idle.values()) == SLOTS
    for busy in range(count):
        after = dealt(busy)
        changed = [name for name in idle if idle[name] != after[name]]
        assert len(changed) == change, changed


@then("two upstreams prefer different ones of {count:d} gateways")
def check_spread(context, count):
    first, second = (
        {name for name, starts in found.items() if starts}
        for found in (
            slots.allocate(
                SLOTS,
                0,
                [claim_of(upstream, f"g{n}", 0) for n in range(count)],
            )
            for upstream in "uv"
        )
    )
    assert len(first) == len(second) == SLOTS and first != second


@then('the gateways may start ""')
def check_no_starts(context):
    assert context.starts == {}


class Gateway:
    """Waiting and running requests of one gateway."""

    def __init__(self, world, number):
        self.world = world
        self.name = f"g{number}"
        self.fleet = fleet.Fleet()
        self.fleet.update({"u": world.upstream}, 0)
        self.state = self.fleet.listed["u"]
        self.waiting = []
        self.client = slot_client.SlotClient(
            world.clock, world.to_agent(number), self.name, 1, "a"
        )

    def allowed(self):
        now_ms = self.world.clock.monotonic_ms()
        if now_ms < self.state.granted_until_ms:
            granted = self.state.start_limit - self.state.started
            return self.state.running + granted
        return placement.allowed_without_agent(
            SLOTS,
            self.fleet.service_slots["u"],
            placement.Part(
                self.world.count,
                int(self.name[1:]),
                share_factor.MIN_FACTOR,
            ),
        )

    def schedule(self):
        now_ms = self.world.clock.monotonic_ms()
        self.waiting.sort()
        while self.waiting and self.state.running < self.allowed():
            urgency, since_ms = self.waiting.pop(0)
            self.world.waits[urgency].append(now_ms - since_ms)
            self.state.running += 1
            self.state.started += 1
            run_ms = self.world.rng.uniform(0.5, 1.5) * RUN_MS
            self.world.reactor.callLater(run_ms / 1000, self.ended)
        counts = [0, 0]
        for urgency, _since_ms in self.waiting:
            counts[urgency] += 1
        self.client.refresh([self.state], tuple(counts))

    def ended(self):
        self.state.running -= 1
        self.schedule()


class World:
    """Gateways and one upstream with an agent."""

    def __init__(self, count):
        self.reactor = task.Clock()
        self.reactor.advance(1000)
        self.clock = clocks.reactor_clock(self.reactor)
        self.rng = random.Random(7)
        self.count = count
        self.lost = 0.0
        self.agent_alive = True
        self.waits = {0: [], 1: []}
        self.most = 0
        self.used = 0
        self.steps = 0
        self.upstream = gateway_world.upstream("u", "model", slots=SLOTS)
        self.start_agent()
        self.gateways = [Gateway(self, number) for number in range(count)]
        self.run(0.0, 1000)
        self.most = self.used = self.steps = 0

    def start_agent(self, listens_anew=False):
        self.agent = arbiter.Arbiter(
            self.clock,
            lambda delay_ms, work: self.reactor.callLater(
                delay_ms / 1000, work
            ),
            self.to_gateway,
            "agent",
            lambda _upstream: "a",
            listens_anew,
        )

    def to_agent(self, number):
        def send(data, _where):
            if self.agent_alive and self.rng.random() >= self.lost:
                self.reactor.callLater(
                    0.001,
                    lambda: self.agent.on_datagram(
                        datagrams.decode(data), ("", number)
                    ),
                )

        return send

    def to_gateway(self, data, where):
        if not self.agent_alive or self.rng.random() < self.lost:
            return
        gateway = self.gateways[where[1]]

        def take():
            grant = datagrams.decode(data).grant
            if gateway.client.on_grant(grant, gateway.fleet):
                gateway.schedule()

        self.reactor.callLater(0.001, take)

    def run(self, load, duration_ms):
        due = 0.0
        for _ in range(0, duration_ms, STEP_MS):
            due += load * SLOTS * STEP_MS / RUN_MS
            while due >= 1:
                due -= 1
                number = int(self.count * self.rng.random() ** 2)
                urgent = self.rng.randrange(URGENT_PART) == 0
                now_ms = self.clock.monotonic_ms()
                gateway = self.gateways[number]
                gateway.waiting.append((0 if urgent else 1, now_ms))
                gateway.schedule()
            self.reactor.advance(STEP_MS / 1000)
            if self.clock.monotonic_ms() % 25 == 0:
                for gateway in self.gateways:
                    gateway.schedule()
            running = sum(gateway.state.running for gateway in self.gateways)
            self.most = max(self.most, running)
            self.used += min(running, SLOTS)
            self.steps += 1


@given("{count:d} gateways and the agent of an upstream of 8 slots")
def world(context, count):
    context.slots_world = World(count)


@given("{lost:g} of all datagrams are lost")
def losses(context, lost):
    context.slots_world.lost = lost


@when("they receive {load:g} times its capacity for 5 s")
def run_load(context, load):
    context.slots_world.run(load, 5000)


@when("the agent dies and they receive {load:g} times its capacity for 5 s")
def agent_dies(context, load):
    context.slots_world.agent_alive = False
    context.slots_world.run(load, 5000)


@when("the agent is restarted after 2 s of {load:g} times its capacity")
def agent_restarts(context, load):
    context.slots_world.run(load, 2000)
    context.slots_world.start_agent()
    context.slots_world.run(load, 3000)


@then("at most {most:d} requests ran there concurrently")
def check_most(context, most):
    assert context.slots_world.most <= most, context.slots_world.most


@then("at least {least:g} of its slot time was used")
def check_used(context, least):
    world = context.slots_world
    share = world.used / (world.steps * SLOTS)
    assert share >= least, share


@step("no request waited over {limit_ms:d} ms")
def check_no_wait(context, limit_ms):
    waits = context.slots_world.waits
    longest = max(waits[0] + waits[1])
    assert longest <= limit_ms, longest


@step("urgent requests waited under {limit_ms:d} ms")
def check_urgent(context, limit_ms):
    waits = sorted(context.slots_world.waits[0])
    usual = waits[len(waits) * 95 // 100]
    assert usual < limit_ms, usual


@when(
    "another gateway takes its place after {dead_ms:d} ms of {load:g} times"
    " its capacity"
)
def gateway_takes_over(context, dead_ms, load):
    world = context.slots_world
    world.run(load, 1000)
    world.agent_alive = False
    world.run(load, dead_ms)
    world.start_agent(listens_anew=True)
    world.agent_alive = True
    world.run(load, 3000)


class Hearing:
    """Gateways that choose who grants."""

    def __init__(self, count):
        reactor = task.Clock()
        reactor.advance(1000)
        self.reactor = reactor
        self.clock = clocks.reactor_clock(reactor)
        self.addresses = {
            f"g{number}": f"h{number}" for number in range(count)
        }
        self.sharings = {
            name: sharing.Sharing(
                self.clock, self.ignore, name, 1, gateway_world.TOLERANCE
            )
            for name in self.addresses
        }
        self.hosts = {
            name: grant_hosts.GrantHosts(
                self.clock, self.sharings[name], (host, 1)
            )
            for name, host in self.addresses.items()
        }
        self.silent = set()
        self.hear()

    def ignore(self, _data, _where):
        pass

    def hear(self):
        for sender, host in self.addresses.items():
            announcement = ttypes.Sharing(
                gateway=sender, demands=[], crashing=[]
            )
            for receiver, peers in self.sharings.items():
                if sender not in (receiver, *self.silent):
                    peers.on_announcement(announcement, host)

    def choices(self, name):
        return [
            self.hosts[name].address(f"u{number}")[0] for number in range(100)
        ]


@given("{count:d} gateways that hear each other")
def hearing(context, count):
    context.hearing = Hearing(count)


@then("all of them choose the same gateway for each upstream")
def check_same_choice(context):
    hearing = context.hearing
    context.chosen = hearing.choices("g0")
    for name in hearing.addresses:
        assert hearing.choices(name) == context.chosen, name


@then("no gateway grants for more than {most:d} upstreams")
def check_spread_of_hosts(context, most):
    counts = collections.Counter(context.chosen)
    assert max(counts.values()) <= most, counts


@when("one of them has been silent for {silent_s:d} s")
def one_is_silent(context, silent_s):
    hearing = context.hearing
    last = f"g{len(hearing.addresses) - 1}"
    hearing.silent.add(last)
    context.lost_host = hearing.addresses[last]
    for _ in range(silent_s * 4):
        hearing.reactor.advance(0.25)
        hearing.hear()


@then("only the upstreams that it granted have another gateway")
def check_moved(context):
    hearing = context.hearing
    after = hearing.choices("g0")
    for before, now in zip(context.chosen, after, strict=True):
        if len(hearing.addresses) > 1 and before == context.lost_host:
            assert now != before
        else:
            assert now == before, (before, now)
