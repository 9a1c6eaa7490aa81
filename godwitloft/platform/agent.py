"""Builds the agent that runs beside an upstream."""

import json
import typing

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft import incarnation as incarnations
from godwitloft.gateway import arbiter as arbiters
from godwitloft.gateway import attempt as attempts
from godwitloft.gateway import front
from godwitloft.gateway import model
from godwitloft.links import datagrams
from godwitloft.platform import settings

REPORT_INTERVAL_MS = 1_000
REPORT_TIMEOUT_MS = 1_000
REPORT_PATH = b"/report"
HTTP_OK = 200


class AgentDaemon:
    """An arbiter with its socket and timers.

    :param reactor: the twisted reactor
    :param boot: checked settings
    :param upstream: where the upstream beside it answers
    """

    def __init__(
        self,
        reactor: typing.Any,
        boot: settings.Boot,
        upstream: settings.Address,
    ) -> None:
        self.reactor = reactor
        self.boot = boot
        self.on_left: typing.Callable[[], None] = _nothing
        self.stopped = False
        self.place = model.Upstream(
            "own", "", upstream.host, upstream.port, boot.zone, 1, False, 0
        )
        self.arbiter = arbiters.Arbiter(
            clocks.suspend_clock(),
            self.call_later,
            self.send,
            incarnations.new_incarnation(boot.instance),
            boot.zone,
        )
        self.port = datagrams.Port(self.arbiter.received)

    def call_later(
        self, delay_ms: int, work: typing.Callable[[], None]
    ) -> object:
        """Runs a function later.

        :param delay_ms: in how many milliseconds
        :param work: the function
        :return: the timer
        """
        return self.reactor.callLater(delay_ms / clocks.MS_PER_S, work)

    def send(self, data: bytes, address: datagrams.Address) -> None:
        """Sends a datagram.

        :param data: its bytes
        :param address: IP number and port
        """
        self.port.send(data, address)

    def start(self) -> int:
        """Listens and begins to ask the upstream.

        :return: the port
        """
        boot = self.boot
        self.reactor.listenUDP(boot.first_port, self.port, interface=boot.host)
        self.ask()
        events.log(events.STARTED, instance=boot.instance, zone=boot.zone)
        return boot.first_port

    def ask(self) -> None:
        """Asks the upstream beside it how much it has to do."""
        if self.stopped:
            return
        parts: list[bytes] = []
        statuses: list[int] = []

        def on_head(status: int, _headers: list[front.Header]) -> None:
            statuses.append(status)

        def on_end(end: attempts.End, _reason: str) -> None:
            if end is attempts.End.COMPLETE and statuses == [HTTP_OK]:
                self.arbiter.report(read_busy(b"".join(parts)))
            else:
                # A crashed upstream runs nothing.
                self.arbiter.report(0)
            if timer.active():
                timer.cancel()
            self.call_later(REPORT_INTERVAL_MS, self.ask)

        place = self.place
        attempt = attempts.start(
            self.reactor,
            place,
            attempts.Outgoing(
                b"GET",
                REPORT_PATH,
                [
                    (b"host", f"{place.host}:{place.port}".encode()),
                    (b"connection", b"close"),
                ],
                b"",
            ),
            attempts.AttemptOwner(on_head, parts.append, on_end),
            self.boot.host,
        )
        timer = self.reactor.callLater(
            REPORT_TIMEOUT_MS / clocks.MS_PER_S,
            lambda: attempt.end(attempts.End.BROKEN, "timeout"),
        )

    def drain(self, done: typing.Callable[[], None]) -> None:
        """Ends at once: gateways go on without an agent.

        :param done: called when the process may end
        """
        events.log(events.DRAINING, instance=self.boot.instance)
        done()

    def stop(self) -> None:
        """Stops asking."""
        self.stopped = True
        events.log(events.STOPPED, instance=self.boot.instance)


def read_busy(body: bytes) -> int:
    """Returns how many requests an upstream says it has.

    :param body: of its report
    :return: running and waiting ones, 0 if it can't be read
    """
    try:
        report = json.loads(body)
        return int(report["running"]) + int(report["waiting"])
    except (KeyError, TypeError, ValueError) as problem:
        events.log(
            events.ROW_SKIPPED, row="report", field="", reason=repr(problem)
        )
        return 0


def build(
    reactor: typing.Any,
    boot: settings.Boot,
    _metrics_port: int | None = None,
) -> AgentDaemon:
    """Builds an agent from the platform's settings.

    :param reactor: the twisted reactor
    :param boot: checked settings
    :param _metrics_port: an agent serves no metrics
    :return: the agent
    """
    if boot.upstream is None:
        raise settings.SettingsError(
            settings.PATH_VARIABLE, "app", "is missing"
        )
    return AgentDaemon(reactor, boot, boot.upstream)


def _nothing() -> None:
    pass
