"""Builds the agent that runs beside an upstream."""

import typing

from twisted.python import failure

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft import incarnation as incarnations
from godwitloft.gateway import arbiter as arbiters
from godwitloft.links import datagrams
from godwitloft.platform import settings
from godwitloft.platform import store as stores

REPORT_INTERVAL_MS = 1_000
REPORT_TIMEOUT_MS = 1_000
REPORT_PATH = "/report"


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
        self.on_drained: typing.Callable[[], None] = _nothing
        self.stopped = False
        self.client = stores.Client(
            reactor, upstream.host, upstream.port, boot.host
        )
        self.arbiter = arbiters.Arbiter(
            clocks.boottime_clock(),
            self.call_later,
            self.send,
            incarnations.new_incarnation(boot.instance),
            boot.zone,
        )
        self.port = datagrams.Port(self.arbiter.on_datagram)

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
        report = self.client.call(
            "GET", REPORT_PATH, timeout_ms=REPORT_TIMEOUT_MS
        )
        report.addCallbacks(read_busy, no_report)
        report.addCallback(self.take_report)

    def take_report(self, busy: int) -> None:
        """Passes a report on, and asks again after a while.

        :param busy: requests that the upstream has
        """
        self.arbiter.on_upstream_report(busy)
        self.call_later(REPORT_INTERVAL_MS, self.ask)

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


def read_busy(report: typing.Any) -> int:
    """Returns how many requests an upstream says it has.

    :param report: decoded JSON
    :return: running and waiting ones, 0 if it can't be read
    """
    try:
        return int(report["running"]) + int(report["waiting"])
    except (KeyError, TypeError, ValueError) as problem:
        events.log(
            events.ROW_SKIPPED, row="report", field="", reason=repr(problem)
        )
        return 0


def no_report(_problem: failure.Failure) -> int:
    """Returns how many requests an upstream has that tells nothing.

    :param _problem: why there is no report
    :return: 0: a crashed upstream runs nothing
    """
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
