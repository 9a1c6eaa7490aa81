"""Measures the processor time of a gateway by kind of work.

Run it with ``python -m features.support.gateway_cost``; it prints one line for
each number of gateways and upstreams. Connections are simulated.
"""

import functools
import time

from twisted.internet import task

from features.support import gateway_world
from godwitloft import clock as clocks
from godwitloft.gateway.placing import arbiter
from godwitloft.links import datagrams
from godwitloft.links.generated.datagrams import ttypes

FLEETS = ((4, 9), (28, 26), (108, 44), (300, 120))
TEAMS = 5
ROUNDS = 400
SLOTS = 9
# Requests that wait while all slots are taken.
WAITING = 20
TOKENS = b"Godwitloft-Token-Counts: 600,40\r\n"
ADDRESS = ("127.0.0.1", 1)


def cost_us(action, rounds=ROUNDS):
    """Returns the processor time of a call in microseconds."""
    started_ns = time.process_time_ns()
    for _ in range(rounds):
        action()
    return (time.process_time_ns() - started_ns) / rounds / 1000


def make_world(gateways, upstreams):
    """Returns a gateway beside others, before engines."""
    world = gateway_world.World(("model",) * upstreams)
    world.gateway.update_upstreams(
        {
            name: gateway_world.upstream(name, "model", SLOTS)
            for name in world.upstreams
        }
    )
    hosts = {f"g{number}": f"10.0.0.{number}" for number in range(1, gateways)}
    world.gateway.update_gateways(hosts)
    world.send_datagram = discard
    world.sharing.announcer.send = discard
    world.gateway.dependencies.slot_client.send = discard
    return world


def discard(_data, _where):
    """Sends nothing."""


def announcement(world, number):
    """Returns a peer's announcement as it is received."""
    demands = [ttypes.TeamDemand(f"team{t}", 900, 5000) for t in range(TEAMS)]
    return datagrams.encode(
        sharing=ttypes.Sharing(
            gateway=f"g{number}",
            demands=demands,
            crashing=[],
            version=1,
            timeline=1,
            store_seen_age_ms=300,
            store_up_ms=9000,
        )
    )


def grant(world):
    """Returns an agent's grant of no further start."""
    return datagrams.encode(
        grant=ttypes.SlotGrant(
            upstream="u0",
            agent="a0",
            gateway=world.gateway.dependencies.slot_client.incarnation,
            sequence=10**6,
            start_limit=0,
            unread_elsewhere=5000,
        )
    )


class AgentWorld:
    """An agent of one upstream that gateways tell of their requests."""

    def __init__(self, gateways):
        reactor = task.Clock()
        self.clock = clocks.reactor_clock(reactor)
        self.sequence = 0
        self.sent = 0
        self.arbiter = arbiter.Arbiter(
            self.clock, call_now, self.count, "agent", lambda _upstream: "a"
        )
        reactor.advance(arbiter.STARTUP_LISTEN_MS / clocks.MS_PER_S)
        for number in range(gateways):
            self.tell(number, 0)
        self.sent = 0

    def count(self, _data, _address):
        """Counts a sent grant."""
        self.sent += 1

    def tell(self, number, running):
        """Tells the agent of one gateway's requests."""
        self.sequence += 1
        want = ttypes.SlotWant(
            upstream="u",
            gateway=f"g{number}",
            sequence=self.sequence,
            started=running,
            running=running,
            slots=SLOTS,
            waiting=[],
            unread=0,
            zone="ab"[number % 2],
        )
        self.arbiter.on_datagram(ttypes.Datagram(want=want), ADDRESS)


def call_now(_delay_ms, callback):
    """Calls a function at once."""
    callback()


def measure(gateways, upstreams):
    """Returns microseconds by kind of work."""
    world = make_world(gateways, upstreams)
    gateway = world.gateway
    port = datagrams.Port(gateway.on_datagram)
    costs = {}

    def pass_time(tick=True):
        world.reactor.advance(gateway_world.TICK_MS / 1000)
        world.confirm()
        if tick:
            gateway.tick()

    told = announcement(world, 1)
    costs["time"] = cost_us(functools.partial(pass_time, False))
    costs["tick at rest"] = cost_us(pass_time) - costs.pop("time")
    costs["announcement"] = cost_us(
        lambda: port.datagramReceived(told, ADDRESS)
    )
    now_ms = world.clock.monotonic_ms
    costs["announcing"] = cost_us(
        lambda: world.sharing.announce(now_ms()), 100
    )
    granted = grant(world)
    costs["grant"] = cost_us(lambda: port.datagramReceived(granted, ADDRESS))

    def ask(number):
        return world.ask(f"r{number}", "draft", left_ms=60_000, extra=TOKENS)

    numbers = iter(range(10**6))
    costs["request placed"] = cost_us(
        lambda: ask(next(numbers)), 2 * upstreams
    )
    sent = world.sent[0]
    sent.head(200)
    event = b"id: 1\ndata: x\n\n"
    costs["event"] = cost_us(lambda: sent.callbacks.on_data(event))
    while gateway.unfinished() == len(gateway.running):
        ask(next(numbers))
    for _ in range(WAITING):
        ask(next(numbers))
    costs["tick with waiting"] = cost_us(gateway.tick, 100)
    costs["grant with waiting"] = cost_us(
        lambda: gateway.schedule("model"), 100
    )
    agent = AgentWorld(gateways)
    costs["want at an agent"] = cost_us(lambda: agent.tell(0, 0))
    return {what: round(cost) for what, cost in costs.items()}


if __name__ == "__main__":
    for gateways, upstreams in FLEETS:
        print(gateways, upstreams, measure(gateways, upstreams), flush=True)
