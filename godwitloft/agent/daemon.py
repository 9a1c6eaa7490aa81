"""Assembles the agent daemon from its components."""

import typing

from twisted.internet import task

from godwitloft import events
from godwitloft import settings as settings_module
from godwitloft import trace
from godwitloft.agent import capacity_trace
from godwitloft.agent import dispatcher as dispatchers
from godwitloft.agent import http_upstream
from godwitloft.links.generated.messages import ttypes
from godwitloft.objects import lookup
from godwitloft.objects import types
from godwitloft.runtime import daemon
from godwitloft.runtime import draining
from godwitloft.runtime import node as nodes
from godwitloft.runtime import status_http


class AgentDaemon:
    """The agent daemon: its node, dispatcher and upstream client.

    :param settings: validated settings
    :param dependencies: reactor, clock and other dependencies
    """

    def __init__(
        self,
        settings: settings_module.AgentSettings,
        dependencies: nodes.Dependencies,
    ) -> None:
        self.settings = settings
        self.dependencies = dependencies
        self.reactor = dependencies.reactor
        is_model = settings.upstream.kind is types.ServiceKind.MODEL
        self.upstream = http_upstream.HttpUpstream(
            self.reactor, settings.upstream.url, is_model
        )
        self.node = nodes.Node(
            "agent",
            settings,
            nodes.with_file_objects(settings, dependencies),
            nodes.NodeHandlers(
                peer_up=self.peer_up,
                peer_down=self.peer_down,
                received=self.received,
                objects_changed=self.apply_objects,
                drain=self.drain_and_exit,
                peer_draining=lambda _instance: None,
                hello=self.fill_hello,
                heartbeat=self.fill_heartbeat,
            ),
        )
        self.recorder = daemon.make_recorder(
            settings.trace_stream,
            dependencies.clock,
            settings.instance,
            self.node.incarnation,
        )
        self.capacity = capacity_trace.CapacityTrace(
            self.recorder, settings.pool
        )
        self.dispatcher = dispatchers.Dispatcher(
            clock=dependencies.clock,
            send=self.node.send,
            upstream=self.upstream.operations(),
            recorder=self.recorder,
            instruments=dependencies.instruments,
            settings=dispatchers.DispatcherSettings(
                is_model=is_model, policy=settings.policy
            ),
        )
        self.upstream.dispatcher = self.dispatcher
        self.ticker = task.LoopingCall(
            daemon.contain(self.dispatcher.tick, "dispatcher")
        )
        self.ticker.clock = self.reactor
        self.metrics_port: typing.Any = None
        self.on_drained: typing.Callable[[], None] = lambda: None

    # Node

    def peer_up(self, hello: ttypes.Hello) -> None:
        """Registers a connected entry with the dispatcher.

        :param hello: message of the entry
        """
        self.dispatcher.peer_up(hello)

    def peer_down(self, instance: str) -> None:
        """Informs the dispatcher of a lost link to an entry.

        :param instance: name of the entry's instance
        """
        self.dispatcher.peer_down(instance)

    def received(self, peer: str, name: str, body: typing.Any) -> None:
        """Forwards a message to the dispatcher.

        :param peer: name of the entry's instance
        :param name: name of the message
        :param body: body of the message
        """
        self.dispatcher.receive(peer, name, body)

    def apply_objects(self, objects: lookup.Lookup) -> None:
        """Applies the pool object of this upstream and records the generation.

        :param objects: the objects in force
        """
        pool = objects.pools.get(self.settings.pool)
        if pool is not None:
            self.dispatcher.configure(pool.max_running, pool.resumable)
        self.recorder.record(
            trace.Kind.GENERATION,
            generation=self.node.generation,
            snapshot_hash=self.node.feed.current.snapshot_hash,
        )

    def fill_hello(self, hello: ttypes.Hello) -> None:
        """Adds the pool and the name of the upstream to a hello message.

        :param hello: the message to fill
        """
        hello.pool = self.settings.pool
        hello.upstream = self.settings.upstream.name

    def fill_heartbeat(self, heartbeat: ttypes.Heartbeat) -> None:
        """Adds the load and the speeds of the upstream to a heartbeat.

        Also records the capacity, since heartbeats have a fixed interval.

        :param heartbeat: the message to fill
        """
        self.dispatcher.fill_heartbeat(heartbeat)
        now_ms = self.dependencies.clock.monotonic_ms()
        self.capacity.observe(self.dispatcher.state.view(now_ms))

    # Start and shutdown

    def start(self) -> int:
        """Starts the daemon and listens for entries.

        :return: the port that entries connect to
        """
        link_port = self.node.start()
        self.recorder.record(
            trace.Kind.PROCESS_STARTED,
            role="agent",
            generation=self.node.generation,
            pool=self.settings.pool,
            resumable=self.dispatcher.settings.resumable,
        )
        self.ticker.start(http_upstream.TICK_INTERVAL_S, False)
        self.metrics_port = status_http.listen(
            self.reactor,
            self.settings.metrics_listen,
            self.dependencies.render_metrics,
            lambda: not self.dispatcher.draining,
        )
        events.log(
            events.STARTED,
            instance=self.settings.instance,
            incarnation=self.node.incarnation,
            link_port=link_port,
        )
        return link_port

    def drain_and_exit(self, reason: str) -> None:
        """Drains the agent and then ends the process, as after a signal.

        :param reason: reason for the log
        """
        if not self.dispatcher.draining:
            events.log(events.LEAVING, reason=reason)
            self.drain(self.on_drained)

    def is_draining(self) -> bool:
        """Returns whether it drains, by a signal or an operator's order."""
        return self.dispatcher.draining

    def drain(self, done: typing.Callable[[], None]) -> None:
        """Stops pulling requests and waits for the runs to finish.

        :param done: called when all runs are finished or after the time limit
        """
        draining.begin(self.node, self.recorder, self.dispatcher.drain)
        draining.finish(
            self.reactor,
            draining.RemainingWork(
                is_finished=lambda: self.dispatcher.idle,
                count_unfinished=self.dispatcher.count_unfinished,
            ),
            self.settings.drain_limit_ms,
            self.recorder,
            done,
        )

    def stop(self) -> None:
        """Stops the daemon immediately, without draining."""
        if self.ticker.running:
            self.ticker.stop()
        if self.metrics_port is not None:
            self.metrics_port.stopListening()
        self.node.stop()
        events.log(events.STOPPED, instance=self.settings.instance)
