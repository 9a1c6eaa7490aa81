"""Assembles an agent from its tasks."""

import random
import typing

from twisted.internet import task

from godwitloft import clock as clocks
from godwitloft import daemon
from godwitloft import events
from godwitloft import metrics
from godwitloft import settings as settings_module
from godwitloft import trace
from godwitloft import waiting
from godwitloft.agent import dispatcher as dispatchers
from godwitloft.agent import http_upstream
from godwitloft.links import codec
from godwitloft.links import hub as hubs
from godwitloft.links.generated.messages import ttypes
from godwitloft.objects import lookup
from godwitloft.objects import parse
from godwitloft.objects import types


class AgentDaemon:
    """One agent: its links, its dispatcher and its upstream.

    :param reactor: the twisted reactor
    :param settings: checked settings
    :param clock: tells the time
    :param instruments: what is counted
    :param render_metrics: returns the counts as Prometheus text
    :param objects: in force at the start, instead of those that the
        settings name
    """

    def __init__(
        self,
        reactor: typing.Any,
        settings: settings_module.AgentSettings,
        clock: clocks.Clock,
        instruments: metrics.Instruments,
        render_metrics: typing.Callable[[], bytes] = bytes,
        objects: types.ObjectSet | None = None,
    ) -> None:
        self.reactor = reactor
        self.settings = settings
        self.clock = clock
        self.render_metrics = render_metrics
        self.incarnation = daemon.new_incarnation(settings.instance)
        self.generation = 0
        self.objects = lookup.build(
            objects or parse.from_files(settings.objects)
        )
        is_model = settings.upstream.kind is types.ServiceKind.MODEL
        self.upstream = http_upstream.HttpUpstream(
            reactor, settings.upstream.url, is_model
        )
        self.recorder = daemon.make_recorder(
            settings.trace_stream,
            clock,
            settings.instance,
            self.incarnation,
        )
        self.dispatcher = dispatchers.Dispatcher(
            clock=clock,
            send=self.send,
            upstream=self.upstream.port(),
            recorder=self.recorder,
            instruments=instruments,
            settings=dispatchers.DispatcherSettings(
                max_running=self.max_running(),
                is_model=is_model,
                resumable=self.resumable(),
            ),
        )
        self.upstream.dispatcher = self.dispatcher
        self.hub = hubs.Hub(
            reactor,
            clock,
            self.hello,
            hubs.HubHandlers(
                peer_up=self.dispatcher.peer_up,
                peer_down=lambda hello, _why: self.dispatcher.peer_down(
                    hello.instance
                ),
                received=self.dispatcher.receive,
                writable=lambda _instance, _can_write: None,
                heartbeat=self.heartbeat,
                accepts=lambda hello: hello.role == "entry",
            ),
            random.Random(self.incarnation),
        )
        self.ticker = task.LoopingCall(
            daemon.contain(self.dispatcher.tick, "dispatcher")
        )
        self.ticker.clock = reactor

    def max_running(self) -> int:
        """Returns the bound that the pool object sets.

        :return: requests at once on the upstream
        """
        pool = self.objects.pools.get(self.settings.pool)
        return pool.max_running if pool is not None else 1

    def resumable(self) -> bool:
        """Returns what the pool object says of suspending runs.

        :return: whether the upstream can suspend and resume a run
        """
        pool = self.objects.pools.get(self.settings.pool)
        return pool is not None and pool.resumable

    def send(self, instance: str, name: str, body: codec.Body) -> bool:
        """Sends a message of the dispatcher.

        :param instance: name of the peer
        :param name: name of the message
        :param body: its body
        :return: False when there is no link to the peer
        """
        return self.hub.send(instance, **{name: body})

    def hello(self) -> ttypes.Hello:
        """Returns what this agent says first on a link.

        :return: the message
        """
        return ttypes.Hello(
            protocol_version=codec.PROTOCOL_VERSION,
            role="agent",
            instance=self.settings.instance,
            incarnation=self.incarnation,
            availability_zone=self.settings.availability_zone,
            generation=self.generation,
            pool=self.settings.pool,
            upstream=self.settings.upstream.name,
            draining=self.dispatcher.draining,
        )

    def heartbeat(self) -> ttypes.Heartbeat:
        """Returns what this agent says at each heartbeat.

        :return: the message
        """
        return ttypes.Heartbeat(
            generation=self.generation,
            running=len(self.dispatcher.runs),
            draining=self.dispatcher.draining,
        )

    def start(self) -> int:
        """Listens for entries.

        :return: the port that entries reach it on
        """
        self.recorder.record(
            trace.Kind.PROCESS_STARTED,
            role="agent",
            generation=self.generation,
            pool=self.settings.pool,
            resumable=self.resumable(),
        )
        listen = self.settings.link_listen
        number = self.hub.start(listen.address, listen.port)
        self.ticker.start(http_upstream.TICK_INTERVAL_S, False)
        events.log(
            events.STARTED,
            instance=self.settings.instance,
            incarnation=self.incarnation,
            link_port=number,
        )
        return number

    def drain(self, done: typing.Callable[[], None]) -> None:
        """Pulls nothing more and finishes what runs.

        :param done: called once nothing is left or the limit is over
        """
        events.log(events.DRAINING, instance=self.settings.instance)
        self.dispatcher.drain()
        for instance in tuple(self.hub.peers):
            self.hub.send(instance, farewell=ttypes.Farewell("leaving"))
        waiting.until(
            self.reactor,
            lambda: self.dispatcher.idle,
            self.settings.drain_limit_ms,
            lambda _in_time: done(),
        )

    def stop(self) -> None:
        """Closes everything at once."""
        if self.ticker.running:
            self.ticker.stop()
        self.hub.stop()
        events.log(events.STOPPED, instance=self.settings.instance)
