"""Roll-outs of the Lakeshore stand-in: new versions, and what becomes of them.

The operator's order starts runners of a new version beside those of the
former ones. When the status row says that the roll-out is completed, the
former ones stop at once; when it says that it was rolled back, the new ones
drain after a while.
"""

import base64
import dataclasses
import json
import time
import typing

from godwitloft.standins import http

MS_PER_S = 1000
POLL_S = 0.02
OPERATOR_TABLE = "op"
STATUS_TABLE = "status"
KEY_PREFIX = "rollout/"
# From the roll-back until the runners of the new version are draining, and
# from then until they end.
DRAIN_AFTER_MS = 2_000
END_AFTER_MS = 4_000
FAILS = "fails"
SLOW = "slow"
# What an answer takes at least at a runner that is several times slower.
MIN_SLOW_BASE_MS = 20
COMPLETED = "completed"
ROLLED_BACK = "rolled_back"


@dataclasses.dataclass(frozen=True)
class Defect:
    """How the answers of a bad version differ from those of a good one.

    :param kind: ``fails`` (status 500) or ``slow``
    :param share: of its answers
    :param after_ms: time from the start of the runner until it shows
    :param busy: number of requests that a runner must have, the new one
        included, for it to show
    :param route: prefix of the paths on which it shows, empty for all
    :param factor: how many times longer a slow answer takes
    """

    kind: str = FAILS
    share: float = 0.5
    after_ms: int = 0
    busy: int = 0
    route: str = ""
    factor: float = 5.0

    def shows(
        self, age_ms: float, running: int, path: str, drawn: float
    ) -> bool:
        """Returns whether an answer has it.

        :param age_ms: time since the start of the runner
        :param running: number of its requests, with this one
        :param path: requested path
        :param drawn: a random number from 0 to 1
        """
        return (
            age_ms >= self.after_ms
            and running >= self.busy
            and path.startswith(self.route)
            and drawn < self.share
        )

    def delay_ms(self, answer_ms: float) -> float:
        """Returns what a slow answer takes before its first byte.

        :param answer_ms: what a good one takes
        """
        return self.factor * max(answer_ms, MIN_SLOW_BASE_MS)


@dataclasses.dataclass
class Record:
    """What became of one order.

    :param service: name of the service
    :param to: the new version
    :param former: versions of the runners that served before
    :param duration_ms: time from the order to its limit
    :param defect: of the new version, None if it is good
    :param ordered_ms: wall time at which the store had the order, None if it
        doesn't have it yet
    :param states: each status since then, with its wall time
    :param ended_ms: wall time of the first status that ends it
    :param stopped: wall times at which runners stopped, by id
    """

    service: str
    to: str
    former: tuple[str, ...]
    duration_ms: int
    defect: Defect | None
    ordered_ms: int | None = None
    states: list[http.Json] = dataclasses.field(default_factory=list)
    ended_ms: int | None = None
    stopped: dict[str, int] = dataclasses.field(default_factory=dict)


class Rollouts:
    """The orders of an operator, and the runners that they concern.

    :param rows: rows of the store
    :param runners: all runners by id; new ones are added
    :param reactor: provides time and timers
    :param start_runner: creates and starts a runner of a service, given its
        version
    """

    def __init__(
        self,
        rows: typing.Any,
        runners: dict[str, typing.Any],
        reactor: typing.Any,
        start_runner: typing.Callable[[str, str], typing.Any],
    ) -> None:
        self.rows = rows
        self.runners = runners
        self.reactor = reactor
        self.start_runner = start_runner
        self.records: list[Record] = []

    def begin(
        self,
        service: str,
        to: str,
        duration_s: float,
        count: int = 1,
        defect: http.Json | None = None,
        order_after_ms: int = 0,
        start_after_ms: int = 0,
        answer_ms: int = 0,
    ) -> None:
        """Orders a roll-out and starts the runners of the new version.

        :param service: name of the service
        :param to: the new version
        :param duration_s: ``duration-s`` of the order
        :param count: number of new runners
        :param defect: fields of :class:`Defect`, None for a good version
        :param order_after_ms: when the order is written, from now on
        :param start_after_ms: when the runners start, from now on
        :param answer_ms: what answers of the new runners take
        """
        record = Record(
            service,
            to,
            tuple(
                sorted(
                    {
                        runner.version
                        for runner in self.runners.values()
                        if runner.service == service
                        and not runner.stopped
                        and runner.version != to
                    }
                )
            ),
            int(duration_s * MS_PER_S),
            Defect(**defect) if defect is not None else None,
        )
        self.records.append(record)
        content = {"service": service, "to": to, "duration-s": duration_s}
        self.reactor.callLater(
            order_after_ms / MS_PER_S, self.write_order, record, content
        )

        def start() -> None:
            for _ in range(count):
                runner = self.start_runner(service, to)
                runner.defect = record.defect
                runner.answer_ms = answer_ms

        self.reactor.callLater(start_after_ms / MS_PER_S, start)

    def write_order(self, record: Record, content: http.Json) -> None:
        """Writes the order's row once the store takes calls.

        :param record: of the order
        :param content: of its row
        """
        if self.rows.is_away():
            wait_s = self.rows.away_until - self.reactor.seconds() + 0.001
            self.reactor.callLater(wait_s, self.write_order, record, content)
            return
        self.rows.put_json(
            OPERATOR_TABLE, KEY_PREFIX + record.service, content
        )
        record.ordered_ms = wall_ms()
        self.poll(record)

    def poll(self, record: Record) -> None:
        """Follows the status row of an order until the next order's.

        :param record: of the order
        """
        latest = [
            other
            for other in self.records
            if other.service == record.service and other.ordered_ms is not None
        ][-1]
        if latest is not record:
            return
        key = (STATUS_TABLE, KEY_PREFIX + record.service)
        value, _version = self.rows.rows.get(key, ("", 0))
        status = json.loads(base64.b64decode(value)) if value else {}
        last = record.states[-1]["status"] if record.states else None
        is_own = status.get("to") == record.to or "error" in status
        if is_own and status != last:
            record.states.append({"at_ms": wall_ms(), "status": status})
            self.on_state(record, status.get("state", ""))
        self.reactor.callLater(POLL_S, self.poll, record)

    def on_state(self, record: Record, state: str) -> None:
        """Stops runners at the first state that ends a roll-out.

        :param record: of the order
        :param state: its state
        """
        if record.ended_ms is not None:
            return
        if state not in (COMPLETED, ROLLED_BACK):
            return
        record.ended_ms = wall_ms()
        if state == COMPLETED:
            for runner in self.runners_of(record, record.former):
                self.stop(record, runner)
            return
        for runner in self.runners_of(record, (record.to,)):
            self.reactor.callLater(
                DRAIN_AFTER_MS / MS_PER_S,
                runner.control,
                {"state": "draining"},
            )
            self.reactor.callLater(
                (DRAIN_AFTER_MS + END_AFTER_MS) / MS_PER_S,
                self.stop,
                record,
                runner,
            )

    def runners_of(
        self, record: Record, versions: typing.Container[str]
    ) -> list[typing.Any]:
        """Returns the live runners of some versions.

        :param record: of an order for their service
        :param versions: their versions
        """
        return [
            runner
            for runner in self.runners.values()
            if runner.service == record.service
            and runner.version in versions
            and not runner.stopped
        ]

    def stop(self, record: Record, runner: typing.Any) -> None:
        """Ends a runner at once, with all its requests.

        :param record: of the order that ends it
        :param runner: the runner
        """
        record.stopped[runner.id] = wall_ms()
        runner.stop()

    def report(self) -> list[http.Json]:
        """Returns what became of each order, in order of time."""
        return [dataclasses.asdict(record) for record in self.records]


def wall_ms() -> int:
    """Returns the time of day in milliseconds."""
    return int(time.time() * MS_PER_S)
