"""Runs an agent on the machine of an upstream."""

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
    """An arbiter with its UDP socket and timers.

    :param reactor: the Twisted reactor
    :param boot: checked settings
    :param upstream: address of the upstream on the same machine
    """

    def __init__(
        self,
        reactor: typing.Any,
        boot: settings.Boot,
        upstream: settings.Address,
    ) -> None:
        self.reactor = reactor
        self.boot = boot
        self.on_drained: typing.Callable[[], None] = _do_nothing
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
        self, delay_ms: int, callback: typing.Callable[[], None]
    ) -> object:
        """Calls a function after a delay.

        :param delay_ms: the delay in milliseconds
        :param callback: the function
        :return: the timer
        """
        return self.reactor.callLater(delay_ms / clocks.MS_PER_S, callback)

    def send(self, data: bytes, address: datagrams.Address) -> None:
        """Sends a datagram.

        :param data: its content
        :param address: IP address and port of the receiver
        """
        self.port.send(data, address)

    def start(self) -> int:
        """Starts listening and requesting reports from the upstream.

        :return: the UDP port
        """
        boot = self.boot
        self.reactor.listenUDP(boot.first_port, self.port, interface=boot.host)
        self.request_report()
        events.log(events.STARTED, instance=boot.instance, zone=boot.zone)
        return boot.first_port

    def request_report(self) -> None:
        """Requests the number of active requests from the upstream."""
        if self.stopped:
            return
        report = self.client.call(
            "GET", REPORT_PATH, timeout_ms=REPORT_TIMEOUT_MS
        )
        active = report.addCallbacks(parse_active_requests, on_report_failed)
        active.addCallback(self.on_report)

    def on_report(self, active_requests: int) -> None:
        """Passes a report to the arbiter and schedules the next request.

        :param active_requests: running and waiting requests of the upstream
        """
        self.arbiter.on_upstream_report(active_requests)
        self.call_later(REPORT_INTERVAL_MS, self.request_report)

    def drain(self, done: typing.Callable[[], None]) -> None:
        """Ends at once, since gateways also work without an agent.

        :param done: called when the process may end
        """
        events.log(events.DRAINING, instance=self.boot.instance)
        done()

    def stop(self) -> None:
        """Stops requesting reports."""
        self.stopped = True
        events.log(events.STOPPED, instance=self.boot.instance)


def parse_active_requests(answer: stores.Answer) -> int:
    """Returns the number of active requests from an upstream's report.

    :param answer: the upstream's answer
    :return: running and waiting requests, 0 if the report is invalid
    """
    report = answer.body
    try:
        return int(report["running"]) + int(report["waiting"])
    except (KeyError, TypeError, ValueError) as error:
        events.log(
            events.ROW_SKIPPED, row="report", field="", reason=repr(error)
        )
        return 0


def on_report_failed(_failure: failure.Failure) -> int:
    """Returns the number of active requests if no report was received.

    :param _failure: unused, the error of the call
    :return: 0, since an upstream that crashed runs nothing
    """
    return 0


def build(
    reactor: typing.Any,
    boot: settings.Boot,
    _metrics_port: int | None = None,
) -> AgentDaemon:
    """Builds an agent from the platform's settings.

    :param reactor: the Twisted reactor
    :param boot: checked settings
    :param _metrics_port: unused, since an agent serves no metrics
    :return: the agent
    :raises SettingsError: if the settings name no upstream
    """
    if boot.upstream is None:
        raise settings.SettingsError(
            settings.PATH_VARIABLE, "app", "is missing"
        )
    return AgentDaemon(reactor, boot, boot.upstream)


def _do_nothing() -> None:
    pass
