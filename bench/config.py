"""Measures how fast a configuration is in force everywhere, and its cost.

The feeds and links of many daemons run in this one process, over real TCP
connections on the loopback interface, with an in-memory platform whose calls
take a few milliseconds. One process does the work of all daemons, so that
the measured times are longer than with one instance for each daemon.
"""

import collections
import random
import time
import typing

from twisted.internet import defer
from twisted.internet import reactor as twisted_reactor

from bench import burst
from godwitloft import clock as clocks
from godwitloft.coordination import feed as feeds
from godwitloft.coordination import publish
from godwitloft.coordination import subset
from godwitloft.coordination import swap
from godwitloft.links import codec
from godwitloft.links import hub as hubs
from godwitloft.links.generated.messages import ttypes
from godwitloft.objects import canonical
from godwitloft.objects import check
from godwitloft.objects import types
from godwitloft.store import faults
from godwitloft.store import memory
from godwitloft.store import port

HOST = "127.0.0.1"
ZONES = 4
ENTRY_SHARE = 6
TEAMS = 200
STORE_DELAY_MS = 5.0
OUTAGE_MS = 3_000
PUBLISH_INTERVAL_MS = 500
START_TIMEOUT_MS = 120_000
APPLY_TIMEOUT_MS = 30_000
POLL_INTERVAL_MS = 10

reactor: typing.Any = twisted_reactor


class Daemon:
    """The feed and the hub of a daemon, without its other parts.

    :param instance: name, role and zone
    :param fleet: state that all daemons share
    """

    def __init__(self, instance: port.Instance, fleet: "Fleet") -> None:
        self.instance = instance
        self.fleet = fleet
        self.rng = random.Random(f"{fleet.seed}{instance.name}")
        self.generation = 0
        self.feed = feeds.Feed(
            fleet.platform,
            reactor,
            feeds.FeedCallbacks(
                send=self.send,
                apply=self.apply,
                fleet_size=lambda: len(fleet.daemons),
            ),
            self.rng,
        )
        self.hub = hubs.Hub(
            reactor,
            fleet.clock,
            self.hello,
            hubs.HubHandlers(
                peer_up=lambda hello: self.feed.peer_up(
                    hello.instance, hello.generation
                ),
                peer_down=lambda hello, _: self.feed.peer_down(hello.instance),
                received=self.received,
                writable=lambda *_: None,
                heartbeat=lambda: ttypes.Heartbeat(
                    generation=self.feed.advertised_generation
                ),
                accepts=lambda hello: hello.role != instance.role,
            ),
            self.rng,
        )
        self.port = 0

    def hello(self) -> ttypes.Hello:
        """Returns the hello message of the daemon."""
        return ttypes.Hello(
            protocol_version=codec.PROTOCOL_VERSION,
            role=self.instance.role,
            instance=self.instance.name,
            incarnation="1",
            availability_zone=self.instance.availability_zone,
            generation=self.feed.advertised_generation,
        )

    def send(self, peer: str, field: str, body: typing.Any) -> None:
        """Sends a message of the feed."""
        self.hub.send(peer, **{field: body})

    def received(self, peer: str, name: str, body: typing.Any) -> None:
        """Passes a message to the feed."""
        if name == "heartbeat":
            self.feed.on_peer_generation(peer, body.generation)
        elif name == "generation_news":
            self.feed.on_generation_news(peer, body)
        elif name == "snapshot_wanted":
            self.feed.on_snapshot_wanted(peer, body)
        elif name == "snapshot":
            self.feed.on_snapshot(peer, body)

    def apply(self, configuration: feeds.Configuration) -> None:
        """Records when a configuration came into force."""
        if configuration.generation < self.generation:
            self.fleet.reverts += 1
        self.generation = configuration.generation
        self.fleet.in_force[configuration.generation] += 1
        self.fleet.last_in_force_s = time.monotonic()


class Fleet:
    """The daemons, the platform and the measurements.

    :param count: number of daemons
    :param seed: of the random number generators
    """

    def __init__(self, count: int, seed: int) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.clock = clocks.system_clock()
        self.store = memory.Store(self.clock)
        self.injector = faults.Injector(
            faults.Faults(delay_ms=STORE_DELAY_MS), seed
        )
        self.platform = memory.platform(self.store, reactor, self.injector)
        self.reverts = 0
        self.in_force: collections.Counter[int] = collections.Counter()
        self.last_in_force_s = 0.0
        self.daemons: dict[str, Daemon] = {}
        self.publisher = publish.Publisher(
            self.platform,
            self.clock,
            reactor,
            publish.Format(
                canonical.encode,
                canonical.decode,
                check.check,
                types.ObjectSet(),
            ),
            self.rng,
        )
        entries = max(2, count // ENTRY_SHARE)
        for number in range(count):
            role = "entry" if number < entries else "agent"
            instance = port.Instance(
                f"{role}-{number}", role, HOST, 0, f"zone-{number % ZONES}"
            )
            self.daemons[instance.name] = Daemon(instance, self)

    def start(self) -> None:
        """Starts all daemons; the entry of each pair opens the connection."""
        for daemon in self.daemons.values():
            daemon.port = daemon.hub.start(HOST, 0)
        for name, peers in self.agents_by_entry().items():
            addresses = [
                hubs.Address(peer, HOST, self.daemons[peer].port)
                for peer in sorted(peers)
            ]
            self.daemons[name].hub.set_addresses(addresses)
        for daemon in self.daemons.values():
            daemon.feed.start()

    def agents_by_entry(self) -> dict[str, set[str]]:
        """Returns the agents that each entry is connected to."""
        instances = [daemon.instance for daemon in self.daemons.values()]
        entries = [item for item in instances if item.role == "entry"]
        agents = [item for item in instances if item.role == "agent"]
        found = {
            entry.name: set(subset.agents_for(entry, agents, len(entries)))
            for entry in entries
        }
        for agent in agents:
            for name in subset.entries_for(agent, entries):
                found[name].add(agent.name)
        return found

    def stop(self) -> None:
        """Stops all daemons."""
        for daemon in self.daemons.values():
            daemon.feed.stop()
            daemon.hub.stop()

    async def publish(self, number: int, base: int, has_outage: bool) -> float:
        """Publishes once and waits until all daemons have applied it.

        :param number: makes the objects differ from those of other publishes
        :param base: generation in force
        :param has_outage: whether the store fails once it has accepted
        :return: milliseconds from acceptance until the last daemon applied it
        """
        teams = tuple(
            types.Team(
                f"team-{index:04d}",
                (f"{index:064x}",),
                ("gold",),
                weight=1 + (number if index == number % TEAMS else 0),
            )
            for index in range(TEAMS)
        )
        objects = types.ObjectSet(tiers=(types.Tier("gold", 0),), teams=teams)
        outcome = await self.publisher.publish(
            publish.Request(objects, base, "bench", "", f"publish-{number}")
        )
        accepted_s = time.monotonic()
        assert isinstance(outcome, publish.Published), type(outcome)
        outage = faults.Outage.REFUSE if has_outage else faults.Outage.NONE
        self.injector.set(
            faults.Faults(outage=outage, delay_ms=STORE_DELAY_MS)
        )
        publishing = self.rng.choice(sorted(self.daemons))
        self.daemons[publishing].feed.on_published(
            outcome.head, outcome.content
        )
        generation = outcome.head.generation
        await self.wait_until(
            lambda: self.in_force[generation] == len(self.daemons),
            APPLY_TIMEOUT_MS,
        )
        propagation_ms = (self.last_in_force_s - accepted_s) * clocks.MS_PER_S
        if has_outage:
            await swap.sleep(reactor, OUTAGE_MS)
            self.injector.set(faults.Faults(delay_ms=STORE_DELAY_MS))
        return propagation_ms

    async def wait_until(
        self, condition: typing.Callable[[], bool], timeout_ms: int
    ) -> None:
        """Polls a condition until it is true.

        :param condition: the condition
        :param timeout_ms: how long to wait at most
        :raises TimeoutError: when it is not true in time
        """
        end_s = time.monotonic() + timeout_ms / clocks.MS_PER_S
        while not condition():
            if time.monotonic() > end_s:
                raise TimeoutError(f"condition not met after {timeout_ms} ms")
            await swap.sleep(reactor, POLL_INTERVAL_MS)

    def sent_bytes(self) -> int:
        """Counts the bytes that all daemons have sent."""
        all_hubs = [daemon.hub for daemon in self.daemons.values()]
        return sum(hub.bytes_sent + hub.control_bytes_sent for hub in all_hubs)


async def measure(fleet: Fleet, publishes: int, has_outage: bool) -> object:
    """Publishes several times and returns the figures.

    :param fleet: a running fleet
    :param publishes: number of publishes
    :param has_outage: whether the store fails after each acceptance
    :return: the figures
    """
    count = len(fleet.daemons)
    start_s = time.monotonic()
    start_cpu_s = time.process_time()
    start_reads = fleet.store.read_count
    start_writes = fleet.store.write_count
    start_bytes = fleet.sent_bytes()
    durations_ms = []
    for _ in range(publishes):
        base = max(fleet.in_force, default=0)
        number = base + 1
        durations_ms.append(await fleet.publish(number, base, has_outage))
        await swap.sleep(reactor, PUBLISH_INTERVAL_MS)
    seconds = time.monotonic() - start_s
    durations_ms.sort()
    return {
        "publishes": publishes,
        "seconds": round(seconds, 2),
        "accept_to_everywhere_ms": {
            "p50": round(durations_ms[len(durations_ms) // 2], 1),
            "p99": round(durations_ms[int(len(durations_ms) * 0.99)], 1),
            "max": round(durations_ms[-1], 1),
        },
        "reverts": fleet.reverts,
        "store_reads_per_s": round(
            (fleet.store.read_count - start_reads) / seconds, 1
        ),
        "store_writes_per_s": round(
            (fleet.store.write_count - start_writes) / seconds, 1
        ),
        "control_bytes_per_s_per_daemon": round(
            (fleet.sent_bytes() - start_bytes) / seconds / count
        ),
        "control_cpu_share_per_daemon": round(
            (time.process_time() - start_cpu_s) / seconds / count, 5
        ),
    }


async def experiment(daemons: int, seed: int, publishes: int) -> object:
    """Runs a fleet with the store healthy, then with outages.

    :param daemons: number of daemons
    :param seed: of the random number generators
    :param publishes: number of publishes with a healthy store; a quarter of
        it, at least 3, with outages
    :return: the figures
    """
    fleet = Fleet(daemons, seed)
    fleet.start()
    try:
        await fleet.wait_until(
            lambda: all(
                daemon.feed.ready and daemon.hub.peers
                for daemon in fleet.daemons.values()
            ),
            START_TIMEOUT_MS,
        )
        await fleet.publish(1, 0, has_outage=False)
        return {
            "daemons": daemons,
            "seed": seed,
            "processes": 1,
            "links": sum(
                len(agents) for agents in fleet.agents_by_entry().values()
            ),
            "healthy": await measure(fleet, publishes, has_outage=False),
            "outage": await measure(
                fleet, max(3, publishes // 4), has_outage=True
            ),
        }
    finally:
        fleet.stop()


def run(daemons: int, seed: int, publishes: int, path: str) -> None:
    """Runs the experiment and writes its figures.

    :param daemons: number of daemons
    :param seed: of the random number generators
    :param publishes: number of publishes with a healthy store
    :param path: file for the figures, empty for none
    """
    errors: list[BaseException] = []

    def on_done(result: typing.Any) -> None:
        if hasattr(result, "value"):
            errors.append(result.value)
        else:
            burst.write(path, result)
        reactor.stop()

    def start_experiment() -> None:
        work = defer.ensureDeferred(experiment(daemons, seed, publishes))
        work.addBoth(on_done)

    reactor.callWhenRunning(start_experiment)
    reactor.run()
    if errors:
        raise errors[0]
