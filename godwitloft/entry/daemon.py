"""Assembles an entry from its tasks."""

import random
import typing

from twisted.internet import task

from godwitloft import clock as clocks
from godwitloft import daemon
from godwitloft import events
from godwitloft import metrics
from godwitloft import settings as settings_module
from godwitloft import waiting
from godwitloft.entry import caller_http
from godwitloft.entry import desk as desks
from godwitloft.links import codec
from godwitloft.links import hub as hubs
from godwitloft.links.generated.messages import ttypes
from godwitloft.objects import lookup
from godwitloft.objects import parse
from godwitloft.objects import types

TICK_INTERVAL_S = 0.02


class EntryDaemon:
    """One entry: its links, its desk and its callers' HTTP.

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
        settings: settings_module.EntrySettings,
        clock: clocks.Clock,
        instruments: metrics.Instruments,
        render_metrics: typing.Callable[[], bytes] = bytes,
        objects: types.ObjectSet | None = None,
    ) -> None:
        self.reactor = reactor
        self.settings = settings
        self.clock = clock
        self.instruments = instruments
        self.render_metrics = render_metrics
        self.incarnation = daemon.new_incarnation(settings.instance)
        self.generation = 0
        self.objects = lookup.build(
            objects or parse.from_files(settings.objects)
        )
        self.desk = desks.Desk(
            clock=clock,
            incarnation=self.incarnation,
            send=self.send,
            recorder=daemon.make_recorder(
                settings.trace_stream,
                clock,
                settings.instance,
                self.incarnation,
            ),
            instruments=instruments,
            settings=desks.DeskSettings(
                max_waiting=settings.limits.queue_requests,
                max_waiting_bytes=settings.limits.queue_bytes,
            ),
            generation=lambda: self.generation,
        )
        self.hub = hubs.Hub(
            reactor,
            clock,
            self.hello,
            hubs.HubHandlers(
                peer_up=self.desk.peer_up,
                peer_down=lambda hello, _why: self.desk.peer_down(
                    hello.instance
                ),
                received=self.desk.receive,
                writable=lambda _instance, _can_write: None,
                heartbeat=self.heartbeat,
                accepts=lambda hello: hello.role == "agent",
            ),
            random.Random(self.incarnation),
        )
        self.ticker = task.LoopingCall(daemon.contain(self.desk.tick, "desk"))
        self.ticker.clock = reactor
        self.caller_port: typing.Any = None

    def send(self, instance: str, name: str, body: codec.Body) -> bool:
        """Sends a message of the desk.

        :param instance: name of the peer
        :param name: name of the message
        :param body: its body
        :return: False when there is no link to the peer
        """
        return self.hub.send(instance, **{name: body})

    def hello(self) -> ttypes.Hello:
        """Returns what this entry says first on a link.

        :return: the message
        """
        return ttypes.Hello(
            protocol_version=codec.PROTOCOL_VERSION,
            role="entry",
            instance=self.settings.instance,
            incarnation=self.incarnation,
            availability_zone=self.settings.availability_zone,
            generation=self.generation,
            draining=self.desk.draining,
        )

    def heartbeat(self) -> ttypes.Heartbeat:
        """Returns what this entry says at each heartbeat.

        :return: the message
        """
        return ttypes.Heartbeat(
            generation=self.generation, draining=self.desk.draining
        )

    def start(self) -> int:
        """Listens for callers and links to the agents.

        :return: the port that callers reach it on
        """
        links = self.settings.link_listen
        self.hub.start(links.address, links.port)
        self.hub.want(
            hubs.Address(peer.instance, peer.address, peer.port)
            for peer in self.settings.peers
            if peer.role is settings_module.PeerRole.AGENT
        )
        self.ticker.start(TICK_INTERVAL_S, False)
        port = caller_http.CallerPort(
            objects=lambda: self.objects,
            accept=caller_http.accept_at(self.desk),
            cancel=self.desk.cancel,
            pause=self.desk.pause,
            ready=lambda: bool(self.desk.agents) and not self.desk.draining,
            instruments=self.instruments,
        )
        site = caller_http.site(port, self.settings.limits.body_bytes)
        listen = self.settings.caller_listen
        self.caller_port = self.reactor.listenTCP(
            listen.port, site, interface=listen.address
        )
        number = int(self.caller_port.getHost().port)
        events.log(
            events.STARTED,
            instance=self.settings.instance,
            incarnation=self.incarnation,
            caller_port=number,
        )
        return number

    def drain(self, done: typing.Callable[[], None]) -> None:
        """Refuses new requests and finishes those it has.

        :param done: called once nothing is left or the limit is over
        """
        events.log(events.DRAINING, instance=self.settings.instance)
        self.desk.drain()
        for instance in tuple(self.hub.peers):
            self.hub.send(instance, farewell=ttypes.Farewell("leaving"))
        if self.caller_port is not None:
            self.caller_port.stopListening()
        waiting.until(
            self.reactor,
            lambda: not self.desk.requests,
            self.settings.drain_limit_ms,
            lambda _in_time: done(),
        )

    def stop(self) -> None:
        """Closes everything at once."""
        if self.ticker.running:
            self.ticker.stop()
        if self.caller_port is not None:
            self.caller_port.stopListening()
        self.hub.stop()
        events.log(events.STOPPED, instance=self.settings.instance)
