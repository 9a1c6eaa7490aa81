"""Runs an agent on the machine of an upstream."""

import dataclasses
import typing

from twisted.python import failure

from godwitloft import attempt as attempts
from godwitloft import clock as clocks
from godwitloft import events
from godwitloft import incarnation as incarnations
from godwitloft.gateway.placing import arbiter as arbiters
from godwitloft.gateway.upstreams import upstream_signs
from godwitloft.links import datagrams
from godwitloft.platform import headers as platform_headers
from godwitloft.platform import json_fields
from godwitloft.platform import life_check
from godwitloft.platform import rows
from godwitloft.platform import settings
from godwitloft.platform import store as stores

REPORT_INTERVAL_MS = 1_000
REPORT_TIMEOUT_MS = 1_000


@dataclasses.dataclass(frozen=True)
class Report:
    """What an upstream reports about itself.

    :param active_requests: requests that run or wait there
    :param born_ms: start of its process, 0 if it doesn't say
    """

    active_requests: int
    born_ms: int


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
        self.clock = clocks.boottime_clock()
        self.wall_ms = clocks.steady_wall(self.clock)
        self.next_report_ms = REPORT_INTERVAL_MS
        self.says_leaving = False
        self.born_ms = 0
        # Reports that have failed since the last one.
        self.failed_reports = 0
        self.client = stores.Client(
            reactor,
            upstream.host,
            upstream.port,
            boot.host,
            self.on_headers,
            life_check.MAX_REPORT_BYTES,
        )
        self.arbiter = arbiters.Arbiter(
            self.clock,
            self.call_later,
            self.send,
            incarnations.new_incarnation(boot.instance),
            lambda _upstream: boot.zone,
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
        datagrams.listen(self.reactor, boot.first_port, self.port, boot.host)
        self.request_report()
        events.log(events.STARTED, instance=boot.instance, zone=boot.zone)
        return boot.first_port

    def request_report(self) -> None:
        """Requests the number of active requests from the upstream."""
        if self.stopped:
            return
        self.next_report_ms = REPORT_INTERVAL_MS
        answer = self.client.call(
            "GET", life_check.REPORT_PATH, timeout_ms=REPORT_TIMEOUT_MS
        )
        answer.addCallback(decode_report)
        answer.addCallbacks(self.on_report, self.on_report_failed)
        answer.addErrback(log_internal_error)
        answer.addCallback(self.schedule_report)

    def on_headers(self, status: int, headers: list[attempts.Header]) -> None:
        """Handles what the upstream says about itself in any answer.

        :param status: HTTP status
        :param headers: all headers
        """
        signs = upstream_signs.read(
            status, headers, platform_headers.DIALECT, self.wall_ms()
        )
        pause_ms = signs.pause.duration_ms
        if signs.leaving and not self.says_leaving:
            events.log(events.UPSTREAM_LEAVING, source="report")
        if signs.pause.error:
            events.log(
                events.RETRY_AFTER_IGNORED,
                value=signs.retry_after,
                reason=signs.pause.error,
            )
        elif pause_ms:
            events.log(events.UPSTREAM_PAUSED, pause_ms=pause_ms)
        self.says_leaving = signs.leaving
        self.next_report_ms = max(self.next_report_ms, pause_ms)

    def on_report(self, report: Report) -> None:
        """Passes a report to the arbiter.

        :param report: the upstream's report
        """
        if self.failed_reports:
            events.log(events.REPORT_RECOVERED, failures=self.failed_reports)
        self.failed_reports = 0
        self.born_ms = report.born_ms
        self.arbiter.on_upstream_report(report.active_requests)
        self.arbiter.set_leaving(self.born_ms if self.says_leaving else None)

    def on_report_failed(self, problem: failure.Failure) -> None:
        """Goes on with the load that was last known.

        Only if no process answers at the upstream's address, nothing runs
        there.

        :param problem: the error of the call
        """
        problem.trap(stores.StoreError)
        reason = typing.cast(stores.StoreError, problem.value).reason
        if self.failed_reports == 0:
            events.log(events.REPORT_FAILED, reason=reason)
        self.failed_reports += 1
        if reason == attempts.NOT_CONNECTED:
            self.arbiter.on_upstream_report(0)
        self.arbiter.set_leaving(self.born_ms if self.says_leaving else None)

    def schedule_report(self, _result: object) -> None:
        """Schedules the next request of a report.

        :param _result: unused
        """
        self.call_later(self.next_report_ms, self.request_report)

    def is_draining(self) -> bool:
        """Returns whether it drains: never, since it ends at once."""
        return False

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


def decode_report(answer: stores.Answer) -> Report:
    """Decodes an upstream's report.

    :param answer: the upstream's answer
    :return: the report
    :raises StoreError: if a number is missing or invalid
    """
    report = json_fields.Fields(life_check.REPORT_PATH, "", answer.body)
    try:
        running = report.whole("running", rows.MAX_REQUESTS)
        waiting = report.whole("waiting", rows.MAX_REQUESTS)
        return Report(running + waiting, report.whole("born", default=0))
    except json_fields.RowError as error:
        raise stores.StoreError(
            life_check.REPORT_PATH, stores.HTTP_OK, f"invalid report: {error}"
        ) from error


def log_internal_error(problem: failure.Failure) -> None:
    """Logs an error of this module, so that reports go on.

    :param problem: the error
    """
    error = typing.cast(Exception, problem.value)
    events.log_error(events.INTERNAL_ERROR, error, task="report")


def build(
    reactor: typing.Any,
    boot: settings.Boot,
    _metrics_port: int | None = None,
    _grants_by: str = "",
) -> AgentDaemon:
    """Builds an agent from the platform's settings.

    :param reactor: the Twisted reactor
    :param boot: checked settings
    :param _metrics_port: unused, since an agent serves no metrics
    :param _grants_by: unused, since agents always grant
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
