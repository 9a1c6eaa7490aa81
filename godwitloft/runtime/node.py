"""The part that entries and agents share: links, configuration, peers.

A node owns the hub, the configuration feed and the discovery of one daemon,
and passes on only the messages about requests to its daemon.
"""

import dataclasses
import random
import typing

from twisted.internet import defer

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft import incarnation as incarnations
from godwitloft import metrics
from godwitloft import settings as settings_module
from godwitloft.coordination import feed as feeds
from godwitloft.links import codec
from godwitloft.links import hub as hubs
from godwitloft.links import tls
from godwitloft.links.generated.messages import ttypes
from godwitloft.objects import canonical
from godwitloft.objects import incremental
from godwitloft.objects import lookup
from godwitloft.objects import parse
from godwitloft.objects import types
from godwitloft.operators import operator_port
from godwitloft.runtime import discovery
from godwitloft.store import connect
from godwitloft.store import port

GENERATION_TIMEOUT_MS = 2_000
STATUS_TIMEOUT_MS = 1_000


@dataclasses.dataclass(frozen=True)
class NodeHandlers:
    """Callbacks of a node into its daemon.

    :param peer_up: called when a link to a peer is up
    :param peer_down: called with a peer's name when its link is lost
    :param received: called with ``(instance, field name, body)`` of a
        message about requests
    :param objects_changed: called with the new objects in force
    :param drain: called with the reason when the instance is to drain
    :param peer_draining: called with the name of a linked peer that the
        platform is removing
    :param hello: fills the daemon-specific fields of a hello
    :param heartbeat: fills the daemon-specific fields of a heartbeat
    """

    peer_up: typing.Callable[[ttypes.Hello], None]
    peer_down: typing.Callable[[str], None]
    received: typing.Callable[[str, str, codec.Body], None]
    objects_changed: typing.Callable[[lookup.Lookup], None]
    drain: typing.Callable[[str], None]
    peer_draining: typing.Callable[[str], None]
    hello: typing.Callable[[ttypes.Hello], None]
    heartbeat: typing.Callable[[ttypes.Heartbeat], None]


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Dependencies of a daemon; tests and embedders pass their own.

    :param reactor: the twisted reactor
    :param clock: source of the time
    :param instruments: metrics of the daemon
    :param render_metrics: returns the metrics as Prometheus text
    :param platform: used instead of the one named in the settings
    :param objects: fixed objects, used instead of a published configuration
    """

    reactor: typing.Any
    clock: clocks.Clock
    instruments: metrics.Instruments
    render_metrics: typing.Callable[[], bytes] = bytes
    platform: port.Platform | None = None
    objects: types.ObjectSet | None = None


@dataclasses.dataclass(frozen=True)
class PeerInfo:
    """State of a peer as of its last hello or heartbeat.

    :param hello: its hello
    :param generation: generation of its configuration
    :param draining: whether it accepts no new work
    :param running: number of requests that run there
    :param last_received_ms: monotonic time of the last hello or heartbeat
    """

    hello: ttypes.Hello
    generation: int
    draining: bool
    running: int
    last_received_ms: int


class Node:
    """The links, the configuration and the peers of one daemon.

    :param role: ``entry`` or ``agent``
    :param settings: checked settings
    :param dependencies: reactor, clock and other dependencies
    :param handlers: callbacks into the daemon
    """

    def __init__(
        self,
        role: str,
        settings: settings_module.CommonSettings,
        dependencies: Dependencies,
        handlers: NodeHandlers,
    ) -> None:
        self.role = role
        self.settings = settings
        self.dependencies = dependencies
        self.clock = dependencies.clock
        self.handlers = handlers
        self.incarnation = incarnations.new_incarnation(settings.instance)
        self.rng = random.Random(self.incarnation)
        self.objects = lookup.build(types.ObjectSet())
        self.objects_hash = ""
        self.fixed_objects = dependencies.objects
        self.draining = False
        self.link_port = 0
        self.peers: dict[str, PeerInfo] = {}
        self.instances: tuple[port.Instance, ...] = ()
        self.status_number = 0
        self.status_answers: dict[int, list[ttypes.PeerState]] = {}
        self.platform = dependencies.platform or connect.connect(
            settings.platform,
            dependencies.reactor,
            dependencies.instruments,
            live_processes=lambda: max(1, self.fleet_size()),
        )
        self.hub = self.make_hub()
        self.feed = feeds.Feed(
            self.platform,
            dependencies.reactor,
            feeds.FeedCallbacks(
                send=self.send, apply=self.apply, fleet_size=self.fleet_size
            ),
            self.rng,
        )
        self.discovery = discovery.Discovery(
            self.platform,
            dependencies.reactor,
            discovery.DiscoveryCallbacks(
                own_instance=self.own_instance,
                list_read=self.instances_changed,
            ),
            self.rng,
        )
        self.message_handlers: dict[
            str, typing.Callable[[str, codec.Body], None]
        ] = {
            "generation_news": self.feed.on_generation_news,
            "snapshot_wanted": self.feed.on_snapshot_wanted,
            "snapshot": self.feed.on_snapshot,
            "drain": self.on_drain,
            "status_wanted": self.on_status_wanted,
            "peer_states": self.on_peer_states,
        }

    def make_hub(self) -> hubs.Hub:
        """Returns the hub of this node.

        :return: a hub, not yet started
        """
        return hubs.Hub(
            self.dependencies.reactor,
            self.clock,
            self.hello,
            hubs.HubHandlers(
                peer_up=self.peer_up,
                peer_down=lambda hello, _why: self.peer_down(hello.instance),
                received=self.received,
                writable=lambda _instance, _can_write: None,
                heartbeat=self.heartbeat,
                accepts=lambda hello: hello.role != self.role,
            ),
            self.rng,
            tls.load(self.settings.tls),
        )

    # Start and stop

    def start(self) -> int:
        """Starts listening for peers and following the configuration.

        :return: the port that peers connect to
        """
        listen = self.settings.link_listen
        self.link_port = self.hub.start(listen.address, listen.port)
        if self.fixed_objects is not None:
            self.use_objects(lookup.build(self.fixed_objects))
        else:
            self.feed.start()
        if self.settings.peers:
            self.dial_agents(self.static_instances())
        else:
            self.discovery.start()
        return self.link_port

    def stop(self) -> None:
        """Closes every link and stops all timers."""
        self.feed.stop()
        self.discovery.stop()
        self.hub.stop()

    def send_farewell(self, reason: str) -> None:
        """Announces to every peer that this instance accepts no new work.

        :param reason: why
        """
        self.draining = True
        frame = codec.encode(farewell=ttypes.Farewell(reason))
        for instance in tuple(self.hub.peers):
            self.hub.send_frame(instance, frame)

    # Configuration

    @property
    def generation(self) -> int:
        """Generation of the configuration in force."""
        return self.feed.current.generation

    @property
    def configured(self) -> bool:
        """Whether objects are in force, so that requests can be accepted."""
        if self.fixed_objects is not None:
            return True
        return self.feed.ready and self.generation > 0

    def apply(self, configuration: feeds.Configuration) -> None:
        """Applies a configuration.

        :param configuration: validated by its publisher
        """
        changes = configuration.changes
        current_hash = self.feed.current.snapshot_hash
        if (
            changes is not None
            and current_hash
            and current_hash == self.objects_hash
        ):
            objects = incremental.update(self.objects, changes)
        else:
            objects = lookup.build(canonical.decode(configuration.content))
        self.objects_hash = configuration.snapshot_hash
        self.use_objects(objects)

    def use_objects(self, objects: lookup.Lookup) -> None:
        """Puts a set of objects in force.

        :param objects: a validated set
        """
        self.objects = objects
        self.handlers.objects_changed(self.objects)

    # Links

    def send(self, instance: str, name: str, body: codec.Body) -> bool:
        """Sends a message to a peer.

        :param instance: name of the peer
        :param name: name of the message
        :param body: its body
        :return: False when there is no link to the peer
        """
        return self.hub.send(instance, **{name: body})

    def hello(self) -> ttypes.Hello:
        """Returns the hello message of this daemon.

        :return: the message
        """
        hello = ttypes.Hello(
            protocol_version=codec.PROTOCOL_VERSION,
            role=self.role,
            instance=self.settings.instance,
            incarnation=self.incarnation,
            availability_zone=self.settings.availability_zone,
            generation=self.feed.advertised_generation,
            draining=self.draining,
        )
        self.handlers.hello(hello)
        return hello

    def heartbeat(self) -> ttypes.Heartbeat:
        """Returns the current heartbeat message of this daemon.

        :return: the message
        """
        heartbeat = ttypes.Heartbeat(
            generation=self.feed.advertised_generation,
            draining=self.draining,
        )
        self.handlers.heartbeat(heartbeat)
        return heartbeat

    def peer_up(self, hello: ttypes.Hello) -> None:
        """Records a new peer.

        :param hello: its hello message
        """
        self.peers[hello.instance] = PeerInfo(
            hello=hello,
            generation=hello.generation,
            draining=bool(hello.draining),
            running=0,
            last_received_ms=self.clock.monotonic_ms(),
        )
        self.feed.peer_up(hello.instance, hello.generation)
        self.handlers.peer_up(hello)

    def peer_down(self, instance: str) -> None:
        """Removes a peer whose link is lost.

        :param instance: name of the peer
        """
        self.peers.pop(instance, None)
        self.feed.peer_down(instance)
        self.handlers.peer_down(instance)

    def received(self, peer: str, name: str, body: codec.Body) -> None:
        """Handles one message, or passes it on to the daemon.

        :param peer: name of the peer
        :param name: name of the message
        :param body: its body
        """
        if name == "heartbeat":
            self.on_heartbeat(peer, body)
        handler = self.message_handlers.get(name)
        if handler is not None:
            handler(peer, body)
        elif name == "bid" and body.generation > self.generation:
            self.deliver_at_generation(peer, name, body)
        else:
            self.handlers.received(peer, name, body)

    def deliver_at_generation(
        self, peer: str, name: str, body: codec.Body
    ) -> None:
        """Delivers a message once its generation is in force here.

        If the generation can't be fetched in time, the message is delivered
        anyway: dropping a bid would keep its request from this upstream.

        :param peer: name of the peer
        :param name: name of the message
        :param body: its body, with a generation
        """
        self.feed.on_peer_generation(peer, body.generation)
        waiting = self.feed.wait_for_generation(
            body.generation, GENERATION_TIMEOUT_MS
        )
        waiting.addErrback(lambda problem: problem.trap(feeds.FeedError))
        waiting.addCallback(
            lambda _result: self.handlers.received(peer, name, body)
        )

    def on_heartbeat(self, peer: str, body: ttypes.Heartbeat) -> None:
        """Records the state that a peer reports.

        :param peer: name of the peer
        :param body: the message
        """
        info = self.peers.get(peer)
        if info is None:
            return
        self.peers[peer] = dataclasses.replace(
            info,
            generation=body.generation,
            draining=bool(body.draining),
            running=body.running or 0,
            last_received_ms=self.clock.monotonic_ms(),
        )
        self.feed.on_peer_generation(peer, body.generation)

    # Peers

    def fleet_size(self) -> int:
        """Returns the number of known daemons.

        :return: at least the number of linked peers plus this daemon
        """
        return max(len(self.instances), len(self.peers) + 1)

    def own_instance(self) -> port.Instance:
        """Returns the item of this process for the instance list.

        :return: the item
        """
        pool = getattr(self.settings, "pool", "")
        return port.Instance(
            name=self.settings.instance,
            role=self.role,
            address=self.settings.link_listen.address,
            port=self.link_port,
            availability_zone=self.settings.availability_zone,
            pool=pool,
            leaving=self.draining,
        )

    def static_instances(self) -> tuple[port.Instance, ...]:
        """Returns the peers named in the settings.

        :return: the peers in the form of the instance list
        """
        return tuple(
            port.Instance(
                name=peer.instance,
                role=peer.role.value,
                address=peer.address,
                port=peer.port,
                availability_zone=peer.availability_zone,
                pool=peer.pool,
            )
            for peer in self.settings.peers
        )

    def instances_changed(self, instances: tuple[port.Instance, ...]) -> None:
        """Handles a new instance list.

        :param instances: as listed by the platform
        """
        self.instances = instances
        for instance in instances:
            if instance.leaving and instance.name == self.settings.instance:
                self.handlers.drain("the platform removes the instance")
            elif instance.leaving and instance.name in self.peers:
                self.handlers.peer_draining(instance.name)
        self.dial_agents(instances)

    def dial_agents(self, instances: tuple[port.Instance, ...]) -> None:
        """Makes an entry dial all agents; agents don't dial.

        :param instances: the known instances
        """
        if self.role != "entry":
            return
        self.hub.set_addresses(
            hubs.Address(instance.name, instance.address, instance.port)
            for instance in instances
            if instance.role == "agent" and not instance.leaving
        )

    # Operators

    def on_drain(self, peer: str, body: ttypes.Drain) -> None:
        """Drains this instance, or relays the message to the one it names.

        :param peer: sender of the message
        :param body: the message
        """
        if body.instance == self.settings.instance:
            events.log(events.DRAINING, author=body.author, reason=body.reason)
            self.handlers.drain(f"{body.author}: {body.reason}")
        elif not body.relayed and body.instance in self.peers:
            relayed = ttypes.Drain(
                body.instance, body.author, body.reason, True
            )
            self.send(body.instance, "drain", relayed)

    def request_drain(self, instance: str, author: str, reason: str) -> bool:
        """Asks an instance to drain, through all peers if it isn't linked.

        :param instance: its name
        :param author: who requested it
        :param reason: why
        :return: whether the instance is known
        """
        body = ttypes.Drain(instance, author, reason, False)
        if instance == self.settings.instance or instance in self.peers:
            if instance == self.settings.instance:
                self.on_drain(instance, body)
            else:
                self.send(instance, "drain", body)
            return True
        for peer in tuple(self.peers):
            self.send(peer, "drain", body)
        return any(listed.name == instance for listed in self.instances)

    def on_status_wanted(self, peer: str, body: ttypes.StatusWanted) -> None:
        """Sends a peer the last known states of the other peers.

        :param peer: peer that asked
        :param body: the message
        """
        states = [
            self.peer_state(info)
            for name, info in self.peers.items()
            if name != peer
        ]
        self.send(peer, "peer_states", ttypes.PeerStates(body.number, states))

    def peer_state(self, info: PeerInfo) -> ttypes.PeerState:
        """Returns the last known state of a peer in message form.

        :param info: state of the peer
        :return: part of a ``PeerStates`` message
        """
        return ttypes.PeerState(
            instance=info.hello.instance,
            role=info.hello.role,
            availability_zone=info.hello.availability_zone,
            generation=info.generation,
            draining=info.draining,
            heard_ms_ago=self.clock.monotonic_ms() - info.last_received_ms,
        )

    def on_peer_states(self, _peer: str, body: ttypes.PeerStates) -> None:
        """Collects the states that a peer reports of its peers.

        :param body: the message
        """
        answers = self.status_answers.get(body.number)
        if answers is not None:
            answers.extend(body.peers)

    async def gather_status(
        self, running: int, waiting: int
    ) -> operator_port.Status:
        """Returns the state of every known daemon.

        Asks all peers and waits a fixed time for the states that they report.

        :param running: number of requests that run through this daemon
        :param waiting: number of requests that wait here
        :return: one item for each known daemon
        """
        self.status_number += 1
        number = self.status_number
        self.status_answers[number] = []
        for peer in tuple(self.peers):
            self.send(peer, "status_wanted", ttypes.StatusWanted(number))
        if self.peers:
            await self.sleep(STATUS_TIMEOUT_MS)
        states = self.status_answers.pop(number)
        return operator_port.Status(
            head_generation=max(self.feed.newest_generation, self.generation),
            store_reachable=self.discovery.reachable,
            daemons=tuple(
                sorted(
                    self.known_daemons(states, running, waiting),
                    key=lambda daemon: daemon.instance,
                )
            ),
        )

    def sleep(self, duration_ms: int) -> defer.Deferred[None]:
        """Waits for a duration.

        :param duration_ms: time to wait
        :return: fires afterwards
        """
        done: defer.Deferred[None] = defer.Deferred()
        self.dependencies.reactor.callLater(
            duration_ms / clocks.MS_PER_S, done.callback, None
        )
        return done

    def known_daemons(
        self,
        states: typing.Iterable[ttypes.PeerState],
        running: int,
        waiting: int,
    ) -> typing.Iterable[operator_port.Daemon]:
        """Returns one item for each known daemon.

        :param states: states that peers reported of their peers
        :param running: number of requests that run through this daemon
        :param waiting: number of requests that wait here
        :return: in no particular order
        """
        daemons: dict[str, operator_port.Daemon] = {}
        for state in states:
            older = daemons.get(state.instance)
            if older is None or older.heard_ms_ago > state.heard_ms_ago:
                daemons[state.instance] = operator_port.Daemon(
                    instance=state.instance,
                    role=state.role,
                    availability_zone=state.availability_zone,
                    generation=state.generation,
                    heard_ms_ago=state.heard_ms_ago,
                    draining=state.draining,
                )
        for name, info in self.peers.items():
            daemons[name] = operator_port.Daemon(
                instance=name,
                role=info.hello.role,
                availability_zone=info.hello.availability_zone,
                generation=info.generation,
                heard_ms_ago=self.clock.monotonic_ms() - info.last_received_ms,
                draining=info.draining,
                running=info.running,
                pool=info.hello.pool or "",
            )
        daemons[self.settings.instance] = operator_port.Daemon(
            instance=self.settings.instance,
            role=self.role,
            availability_zone=self.settings.availability_zone,
            generation=self.generation,
            draining=self.draining,
            running=running,
            waiting=waiting,
        )
        return daemons.values()


def with_file_objects(
    settings: settings_module.CommonSettings,
    dependencies: Dependencies,
) -> Dependencies:
    """Adds the objects of the files named in the settings.

    :param settings: may name files of objects
    :param dependencies: dependencies to extend
    :return: unchanged if the settings name no files or objects are set
    """
    if not settings.objects or dependencies.objects is not None:
        return dependencies
    return dataclasses.replace(
        dependencies, objects=parse.from_files(settings.objects)
    )
