"""Assembles an entry from its parts."""

import random
import typing

from twisted.internet import task
from twisted.internet import threads

from godwitloft import events
from godwitloft import settings as settings_module
from godwitloft import trace
from godwitloft.coordination import claims
from godwitloft.coordination import publish
from godwitloft.coordination import write_budget
from godwitloft.entry import caller_http
from godwitloft.entry import keyed_calls
from godwitloft.entry import request_manager as request_managers
from godwitloft.entry import step_recorder as step_recorders
from godwitloft.entry import team_limits
from godwitloft.links.generated.messages import ttypes
from godwitloft.objects import lookup
from godwitloft.operators import operator_http
from godwitloft.operators import operator_port
from godwitloft.operators import operator_service
from godwitloft.runtime import daemon
from godwitloft.runtime import draining
from godwitloft.runtime import node as nodes
from godwitloft.runtime import status_http

TICK_INTERVAL_S = 0.02
CLAIM_WRITES_PER_S = 50.0
CLAIM_WRITES_BURST = 50


class EntryDaemon:
    """One entry: its node, request manager and HTTP interfaces.

    :param settings: checked settings
    :param dependencies: reactor, clock, metrics and platform to use
    """

    def __init__(
        self,
        settings: settings_module.EntrySettings,
        dependencies: nodes.Dependencies,
    ) -> None:
        self.settings = settings
        self.dependencies = dependencies
        self.reactor = dependencies.reactor
        self.instruments = dependencies.instruments
        self.node = nodes.Node(
            "entry",
            settings,
            nodes.with_file_objects(settings, dependencies),
            nodes.NodeHandlers(
                peer_up=self.peer_up,
                peer_down=self.peer_down,
                received=self.received,
                objects_changed=self.in_force,
                drain=self.drain_and_exit,
                peer_draining=self.peer_draining,
                hello=lambda _hello: None,
                heartbeat=self.fill_heartbeat,
            ),
        )
        self.step_recorder = step_recorders.StepRecorder(
            dependencies.clock,
            daemon.make_recorder(
                settings.trace_stream,
                dependencies.clock,
                settings.instance,
                self.node.incarnation,
            ),
        )
        self.request_manager = request_managers.RequestManager(
            clock=dependencies.clock,
            incarnation=self.node.incarnation,
            send=self.node.send,
            recorder=self.step_recorder,
            instruments=dependencies.instruments,
            settings=request_managers.RequestManagerSettings(
                max_waiting=settings.limits.queue_requests,
                max_waiting_bytes=settings.limits.queue_bytes,
                hold_off=settings.policy.hold_off,
                availability_zone=settings.availability_zone,
            ),
            generation=lambda: self.node.generation,
            limits=team_limits.TeamLimits(
                lambda name: self.node.objects.teams.get(name)
            ),
        )
        self.keyed_calls = keyed_calls.KeyedCalls(
            self.request_manager, self.make_claims, self.reactor
        )
        self.ticker = task.LoopingCall(
            daemon.contain(self.request_manager.tick, "desk")
        )
        self.ticker.clock = self.reactor
        self.ports: list[typing.Any] = []
        self.caller_port: typing.Any = None
        self.on_drained: typing.Callable[[], None] = lambda: None

    def make_claims(self, ask: claims.AskAgent) -> claims.Claims:
        """Returns this entry's access to claims in the platform's table.

        :param ask: queries an agent for the state of a run
        :return: the claims
        """
        budget = write_budget.WriteBudget(
            self.reactor, lambda: CLAIM_WRITES_PER_S, CLAIM_WRITES_BURST
        )
        return claims.Claims(self.node.platform, self.reactor, budget, ask)

    # Node

    def peer_up(self, hello: ttypes.Hello) -> None:
        """Adds an agent to the request manager.

        :param hello: the agent's first message
        """
        self.request_manager.peer_up(hello)

    def peer_down(self, instance: str) -> None:
        """Handles the loss of the link to an agent.

        :param instance: name of the agent's instance
        """
        self.request_manager.peer_down(instance)
        self.keyed_calls.on_agent_down(instance)

    def peer_draining(self, instance: str) -> None:
        """Handles an agent that the platform lists as draining.

        :param instance: name of the agent's instance
        """
        self.request_manager.on_farewell(
            instance, ttypes.Farewell("listed as leaving")
        )

    def received(self, peer: str, name: str, body: typing.Any) -> None:
        """Passes an agent's message to the request manager.

        Query answers go to the keyed calls as well.

        :param peer: name of the agent's instance
        :param name: name of the message
        :param body: its body
        """
        if name == "query_answer":
            self.keyed_calls.on_query_answer(peer, body)
        self.request_manager.receive(peer, name, body)

    def in_force(self, _objects: lookup.Lookup) -> None:
        """Records in the trace that a configuration came into force."""
        self.step_recorder.record(
            trace.Kind.GENERATION,
            generation=self.node.generation,
            snapshot_hash=self.node.feed.current.snapshot_hash,
        )

    def fill_heartbeat(self, heartbeat: ttypes.Heartbeat) -> None:
        """Adds the number of running requests to a heartbeat.

        :param heartbeat: the message
        """
        heartbeat.running = len(self.request_manager.requests) - len(
            self.request_manager.bidding.waiting
        )

    # Interfaces

    def start(self) -> int:
        """Listens for callers and operators and links to the agents.

        :return: the port number that callers connect to
        """
        link_port = self.node.start()
        self.ticker.start(TICK_INTERVAL_S, False)
        self.step_recorder.record(trace.Kind.PROCESS_STARTED, role="entry")
        port = caller_http.CallerPort(
            objects=lambda: self.node.objects,
            accept=self.keyed_calls.accept,
            cancel=self.keyed_calls.cancel,
            pause=self.keyed_calls.pause,
            ready=self.ready,
            configured=lambda: self.node.configured,
            instruments=self.instruments,
        )
        site = caller_http.site(port, self.settings.limits)
        self.caller_port = self.listen(self.settings.caller_listen, site)
        if self.settings.operator_listen is not None:
            self.listen(
                self.settings.operator_listen,
                operator_http.site(self.operator_api()),
            )
        metrics_port = status_http.listen(
            self.reactor,
            self.settings.metrics_listen,
            self.dependencies.render_metrics,
            self.ready,
        )
        if metrics_port is not None:
            self.ports.append(metrics_port)
        port_number = int(self.caller_port.getHost().port)
        events.log(
            events.STARTED,
            instance=self.settings.instance,
            incarnation=self.node.incarnation,
            caller_port=port_number,
            link_port=link_port,
            other_ports=[
                listener.getHost().port for listener in self.ports[1:]
            ],
        )
        return port_number

    def listen(
        self, address: settings_module.Listen, site: typing.Any
    ) -> typing.Any:
        """Listens for HTTP.

        :param address: address and port to listen on
        :param site: a factory of HTTP connections
        :return: the listening port
        """
        port = self.reactor.listenTCP(
            address.port, site, interface=address.address
        )
        self.ports.append(port)
        return port

    def ready(self) -> bool:
        """Returns whether callers should be routed to this entry.

        :return: whether it is configured, has a link to an agent and isn't
            draining
        """
        return (
            self.node.configured
            and bool(self.request_manager.agents.views)
            and not self.request_manager.draining
        )

    def operator_api(self) -> operator_http.Api:
        """Creates the operators' interface.

        :return: the shared state of its handlers
        """
        publisher = publish.Publisher(
            self.node.platform,
            self.dependencies.clock,
            self.reactor,
            operator_service.FORMAT,
            random.Random(self.node.incarnation),
            threads.deferToThread,
        )
        port = operator_service.create_port(
            publisher, self.status, self.explain, self.drain_instance
        )
        return operator_http.create_api(
            self.with_local_update(port),
            self.settings.operator_tokens,
            self.instruments,
            threads.deferToThread,
        )

    def with_local_update(
        self, port: operator_port.OperatorPort
    ) -> operator_port.OperatorPort:
        """Returns a port whose publications take effect here at once.

        :param port: publishes to the platform
        :return: a port that also updates this entry's feed with each
            accepted publication
        """

        async def publish_here(request: publish.Request) -> publish.Outcome:
            outcome = await port.publish(request)
            if isinstance(outcome, publish.Published):
                self.node.feed.on_published(outcome.head, outcome.content)
            return outcome

        return operator_port.OperatorPort(
            publish=publish_here,
            head=port.head,
            snapshot=port.snapshot,
            history=port.history,
            status=port.status,
            explain=port.explain,
            drain=port.drain,
        )

    async def status(self) -> operator_port.Status:
        """Returns the state of every known daemon.

        :return: the state
        """
        waiting_count = len(self.request_manager.bidding.waiting)
        running = len(self.request_manager.requests) - waiting_count
        return await self.node.gather_status(running, waiting_count)

    async def explain(
        self, request_id: str
    ) -> operator_port.Explanation | None:
        """Returns the recorded steps of a request.

        :param request_id: id that its caller received
        :return: its steps, or None when they aren't kept here
        """
        return self.step_recorder.explain(request_id)

    async def drain_instance(
        self, instance: str, author: str, reason: str
    ) -> bool:
        """Requests that an instance drains.

        :param instance: its name
        :param author: the operator who requested it
        :param reason: why
        :return: whether the instance is known
        """
        return self.node.request_drain(instance, author, reason)

    # Shutdown

    def drain_and_exit(self, reason: str) -> None:
        """Drains the entry and ends the process, as after a signal.

        :param reason: why
        """
        if not self.request_manager.draining:
            events.log(events.LEAVING, reason=reason)
            self.drain(self.on_drained)

    def is_draining(self) -> bool:
        """Returns whether it drains, by a signal or an operator's order."""
        return self.request_manager.draining

    def drain(self, done: typing.Callable[[], None]) -> None:
        """Refuses new requests and finishes the accepted ones.

        :param done: called when all requests have ended or the time limit
            is reached
        """
        draining.begin(
            self.node, self.step_recorder, self.request_manager.drain
        )
        if self.caller_port is not None:
            self.caller_port.stopListening()
        draining.finish(
            self.reactor,
            draining.RemainingWork(
                is_finished=lambda: not self.request_manager.requests,
                count_unfinished=lambda: len(self.request_manager.requests),
            ),
            self.settings.drain_limit_ms,
            self.step_recorder,
            done,
        )

    def stop(self) -> None:
        """Closes all listeners and links without draining."""
        if self.ticker.running:
            self.ticker.stop()
        for port in self.ports:
            port.stopListening()
        self.node.stop()
        events.log(events.STOPPED, instance=self.settings.instance)
