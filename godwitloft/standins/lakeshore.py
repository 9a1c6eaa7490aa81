"""A stand-in for the Lakeshore platform: its store and its runners.

It implements enough of the platform's protocol to test the adapter end to end
without the users' own test bench. Everything runs in one process; runners
write their rows directly into the store.
"""

import base64
import collections
import dataclasses
import json
import random
import time
import typing

from klein import Klein
from twisted.internet import defer
from twisted.internet import task
from twisted.web import server

from godwitloft.standins import http
from godwitloft.standins import lakeshore_lost_writes as lost_writes
from godwitloft.standins import lakeshore_rollouts as rollouts
from godwitloft.standins import lakeshore_words as words

MS_PER_S = 1000
EVENT_INTERVAL_MS = 20
# A silent runner's row is removed after this many heartbeat intervals.
SILENT_INTERVALS = 3
REPORT_PATH = b"/report"
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
RUNNER_TABLE = "servers"
SEAL = "Godwitloft-Response-Seal"
REQUEST_ID = "Godwitloft-Request-Id"
NOT_EXECUTED = "Godwitloft-Not-Executed"
TARGET = "Godwitloft-Target-Instance"
TENANT = "Godwitloft-Tenant"
TIMELINE = "Store-Era"
LEAVING = "Server-Leaving"
LIMIT = "Server-Limit"
PROMPT_PARTS = "Godwitloft-Prompt-Prefix"
# From the head of an answer to the crash of its runner.
CRASH_DELAY_S = 0.03
HEAD = (
    b"HTTP/1.1 200 OK\r\nGodwitloft-Request-Id: ID\r\n"
    b"Godwitloft-Response-Seal: seal\r\n"
)
# Beginnings of answers, and what then comes without end. ``ID`` stands for the
# id of the request.
ENDLESS: typing.Final[dict[str, tuple[bytes, bytes]]] = {
    "head": (b"HTTP/1.1 200 OK\r\n", b"x-more: yyyyyyyyyyyyyy\r\n"),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "body": (HEAD + b"\r\n", b"data: zzzzzzzzzz\n\n"),
    "failure": (
        HEAD.replace(b"200 OK", b"500 Failed") + b"\r\n",
        b"zzzzzzzzzzzzzzz\n",
    ),
    "event": (HEAD + b"\r\ndata: ", b"zzzzzzzzzzzzzzzz"),
}
ENDLESS_REPEATS = 4_000
ENDLESS_INTERVAL_S = 0.002
MAX_ENDLESS_BYTES = 200_000_000


@dataclasses.dataclass(frozen=True)
class LakeshoreSettings:
    """The number of runners.

    :param models: runners of the service ``model``, which streams
    :param desks: runners of the service ``desk``, a plain service
    """

    models: int = 2
    desks: int = 2


class Rows:
    """The rows of the store and the history of their changes.

    :param reactor: provides time and timers
    """

    def __init__(self, reactor: typing.Any) -> None:
        self.reactor = reactor
        self.rows: dict[tuple[str, str], tuple[str, int]] = {}
        self.history: list[tuple[int, str, str, str | None]] = []
        self.version = 1
        self.oldest_version = 0
        self.away_until = 0.0
        # Rises when the store comes back from an older copy.
        self.timeline = 0
        # The newest values that operators have ever written, by key.
        self.operators_values: dict[str, str] = {}
        # Versions of configurations that wait for the store to take calls, and
        # the times of day at which others were acknowledged.
        self.unacknowledged: list[int] = []
        self.acknowledged_ms: dict[str, int] = {}
        # Time, version, table, key and value of every write.
        self.writes: list[tuple[float, int, str, str, str | None]] = []

    def now_ms(self) -> int:
        """Returns the store's monotonic time in milliseconds."""
        return int(self.reactor.seconds() * MS_PER_S)

    def put(self, table: str, key: str, value: str | None) -> None:
        """Writes or removes a row.

        :param table: name of the table
        :param key: key of the row
        :param value: base64 text, None to remove the row
        """
        self.version += 1
        self.apply(table, key, value)

    def apply(self, table: str, key: str, value: str | None) -> None:
        """Changes a row at the current version.

        :param table: name of the table
        :param key: key of the row
        :param value: base64 text, None to remove the row
        """
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (value, self.version)
        self.history.append((self.version, table, key, value))
        if table == OPERATOR_TABLE and value is not None:
            self.operators_values[key] = value
        at_s = self.reactor.seconds()
        self.writes.append((at_s, self.version, table, key, value))

    def transact(self, change: http.Json) -> bool:
        """Makes all changes of a transaction, at one version, or none.

        :param change: body of the call
        :return: whether the rows had the versions that it expects
        """
        if not self.are_as_expected(change.get("expected", [])):
            return False
        self.version += 1
        for row in change.get("set-keys", []):
            self.apply(row["table"], row["key"], row["value"])
        for row in change.get("remove", []):
            self.apply(row["table"], row["key"], None)
        return True

    def are_as_expected(self, expected: list[http.Json]) -> bool:
        """Returns whether rows have the versions that a call expects.

        :param expected: table, key and version of each; version 0: no row
        """
        return all(
            self.rows.get((row["table"], row["key"]), ("", 0))[1] == row["ver"]
            for row in expected
        )

    def drill(self, away_ms: int, copy_age_ms: int, operator_ms: int) -> None:
        """Takes the store away and brings it back from an older copy.

        :param away_ms: how long it refuses all calls
        :param copy_age_ms: age of the copy when the store goes away
        :param operator_ms: how long after its return the operators write
            again what they had written
        """
        now_s = self.reactor.seconds()
        away_s = away_ms / MS_PER_S
        self.away_until = max(self.away_until, now_s + away_s)
        copied_s = now_s - copy_age_ms / MS_PER_S
        self.reactor.callLater(away_s, self.restore_copy, copied_s)
        self.reactor.callLater(
            away_s + operator_ms / MS_PER_S, self.repeat_operators_rows
        )

    def restore_copy(self, copied_s: float) -> None:
        """Forgets all writes since a copy was made, versions included.

        :param copied_s: when the copy was made
        """
        self.writes = [write for write in self.writes if write[0] <= copied_s]
        self.rows.clear()
        self.version = 1
        for _at_s, version, table, key, value in self.writes:
            self.version = version
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (value, version)
        self.history = [
            change for change in self.history if change[0] <= self.version
        ]
        self.oldest_version = min(self.oldest_version, self.version)
        self.timeline += 1

    def write_configuration(self, configuration: http.Json) -> None:
        """Writes the operators' configuration once the store takes calls.

        :param configuration: its content
        """
        self.operators_values[CONFIGURATION_KEY] = encode(configuration)
        self.unacknowledged.append(configuration["version"])
        self.write_when_back()

    def write_when_back(self) -> None:
        """Writes what operators have not got an acknowledgement for."""
        if not self.unacknowledged:
            return
        if self.is_away():
            wait_s = self.away_until - self.reactor.seconds()
            self.reactor.callLater(wait_s + 0.001, self.write_when_back)
            return
        value = self.operators_values[CONFIGURATION_KEY]
        self.put(OPERATOR_TABLE, CONFIGURATION_KEY, value)
        now_ms = int(time.time() * MS_PER_S)
        for version in self.unacknowledged:
            self.acknowledged_ms[str(version)] = now_ms
        self.unacknowledged.clear()

    def repeat_operators_rows(self) -> None:
        """Writes the newest values of operators' rows again if lost."""
        for key, value in self.operators_values.items():
            found = self.rows.get((OPERATOR_TABLE, key))
            if found is None or found[0] != value:
                self.put(OPERATOR_TABLE, key, value)

    def put_json(self, table: str, key: str, value: object) -> None:
        """Writes a row with a JSON value.

        :param table: name of the table
        :param key: key of the row
        :param value: a value that JSON can represent
        """
        self.put(table, key, encode(value))

    def read(self, table: str, first: str = "", end: str = "") -> http.Json:
        """Returns the rows of a table.

        :param table: name of the table
        :param first: the first key, empty for the first of the table
        :param end: the first key that isn't included, empty for no end
        :return: the body of the response
        """
        rows = [
            {
                "table": table,
                "part": "",
                "key": key,
                "value": value,
                "ver": version,
            }
            for (name, key), (value, version) in sorted(self.rows.items())
            if name == table and first <= key and (not end or key < end)
        ]
        return self.answer(rows)

    def changes(self, table: str, after: int) -> http.Json:
        """Returns the rows of a table that changed after a version.

        :param table: name of the table
        :param after: the newest version that the reader knows
        :return: the body of the response
        """
        rows: list[http.Json] = []
        for version, name, key, value in self.history:
            if version > after and name == table:
                row: http.Json = {"key": key, "ver": version}
                row.update(
                    {"removed": True} if value is None else {"value": value}
                )
                rows.append(row)
        return self.answer(rows)

    def answer(self, rows: list[http.Json]) -> http.Json:
        """Returns the body of the response to a read.

        :param rows: the rows found
        :return: the rows with the store's version and time
        """
        return {
            "rows": rows,
            "has-more": False,
            "ver": self.version,
            "now-ms": self.now_ms(),
        }

    def is_away(self) -> bool:
        """Returns whether the store refuses calls."""
        return self.reactor.seconds() < self.away_until


class Runner:
    """One runner of a service.

    :param number: part of its id
    :param service: name of its service
    :param rows: rows of the store in which it registers
    :param reactor: provides timers
    """

    def __init__(
        self, number: int, service: str, rows: Rows, reactor: typing.Any
    ) -> None:
        self.id = f"i-{service}-{number}"
        self.service = service
        self.rows = rows
        self.reactor = reactor
        self.address = ""
        # Of its software.
        self.version = "v1"
        self.state = "ready"
        self.gone = False
        # Heartbeat intervals since the store has heard from it.
        self.silent_intervals = SILENT_INTERVALS
        self.refuse = 0
        self.misdirect = 0
        self.lose_answers = 0
        self.cut_after: list[int] = []
        self.born = int(time.time() * MS_PER_S)
        self.says_leaving = False
        self.pause_until = 0.0
        # Requests a second that it takes, None for no limit.
        self.limit_per_s: float | None = None
        # Streams that have no framing and break off inside an event.
        self.break_unframed = 0
        # Part of prompts on which it crashes as soon as it begins to answer,
        # empty for none, and how long it is down then.
        self.crash_part = ""
        self.crash_down_ms = 1_500
        # Number of streams, without a length, that end with its process after
        # their first event.
        self.die_unframed = 0
        # Number of streams, without a length or chunks, whose connection is
        # closed after their first event, and after their last one.
        self.close_unframed = 0
        self.whole_unframed = 0
        # One of so many whole answers has neither a length nor chunks; 0 for
        # none.
        self.unframed_every = 0
        self.answers = 0
        # What its answers take before the first byte.
        self.answer_ms = 0
        # What is wrong with its version, None for nothing.
        self.defect: rollouts.Defect | None = None
        self.rng = random.Random(self.id)
        # Whether its process has ended for good.
        self.stopped = False
        self.listener: http.Listener | None = None
        # What the next answers have without end: a key of ENDLESS.
        self.endless: list[str] = []
        self.running = 0
        self.ledger: list[http.Json] = []
        self.turned_away: list[http.Json] = []
        # Faults that tests inject to verify that they are detected.
        self.runs_twice = False
        self.denies_runs = 0
        self.answers_wrong = 0

    def send_heartbeat(self) -> None:
        """Keeps its row in the store, at every heartbeat interval.

        An unchanged row isn't written again. That of a runner that is gone is
        removed, and if a restore brings it back, after three intervals.
        """
        if self.gone or self.stopped:
            self.remove_row()
        elif not self.rows.is_away():
            self.silent_intervals = SILENT_INTERVALS
            self.write_row()
        self.reactor.callLater(
            words.HEARTBEAT_MS / MS_PER_S, self.send_heartbeat
        )

    def remove_row(self) -> None:
        """Removes its row, or waits until the store would do so."""
        self.silent_intervals += 1
        is_present = (RUNNER_TABLE, self.id) in self.rows.rows
        if is_present and self.silent_intervals > SILENT_INTERVALS:
            self.rows.put(RUNNER_TABLE, self.id, None)
            self.silent_intervals = 0

    def write_row(self) -> None:
        """Writes its row if it has changed or the store has lost it."""
        content = {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": self.version,
            "slots": words.ENGINE_SLOTS,
            "state": self.state,
            "sequence": 1,
            "born": self.born,
        }
        found = self.rows.rows.get((RUNNER_TABLE, self.id))
        if found is None or found[0] != encode(content):
            self.rows.put_json(RUNNER_TABLE, self.id, content)

    def run(self, request: typing.Any) -> typing.Any:
        """Answers one request.

        :param request: request sent by the gateway
        :return: the body, or a Deferred that fires with it
        """
        if self.says_leaving:
            request.setHeader(LEAVING, "1")
        if self.limit_per_s is not None:
            request.setHeader(LIMIT, f"{self.limit_per_s:g}")
        if request.path == REPORT_PATH:
            report = {
                "running": self.running,
                "waiting": 0,
                "born": self.born,
            }
            return http.reply(request, report)
        header = request.getHeader
        request_id = header(REQUEST_ID) or ""
        arrival: http.Json = {
            "id": request_id,
            "at_ms": int(time.time() * MS_PER_S),
            "born": self.born,
            "limit": self.limit_per_s,
        }
        target = header(TARGET)
        is_foreign = target not in (None, self.id)
        if is_foreign or self.misdirect > 0:
            if not is_foreign:
                self.misdirect -= 1
            self.turned_away.append(arrival)
            return http.reply(request, {}, 421)
        pause_s = self.pause_until - self.reactor.seconds()
        if pause_s > 0:
            arrival["pause_ms"] = int(pause_s * MS_PER_S)
            self.turned_away.append(arrival)
            request.setHeader(NOT_EXECUTED, "1")
            request.setHeader("Retry-After", f"{pause_s:.3f}")
            return http.reply(request, {}, 503)
        if self.refuse > 0:
            self.refuse -= 1
            self.turned_away.append(arrival)
            request.setHeader(NOT_EXECUTED, "1")
            return http.reply(request, {}, 503)
        run: http.Json = arrival | {
            "path": request.uri.decode(),
            "team": header(TENANT),
            "key": header("Authorization"),
            "hold": header("Godwitloft-Hold"),
            "last": header("Last-Event-Id"),
            "left_ms": header("Godwitloft-Deadline-Ms"),
            "parts": header(PROMPT_PARTS),
            "version": self.version,
            "crashes_on": "",
            "ended_ms": None,
            "leaving": self.says_leaving,
            # Whether it closed the connection before the end of its answer.
            "broke_off": False,
            # Event after which it closed the connection of an answer that has
            # neither a length nor chunks.
            "closed_after": None,
            # How the defect of its version showed, empty if it didn't.
            "bad": "",
        }
        self.ledger.append(run)
        if self.runs_twice:
            self.ledger.append(run)
        if self.denies_runs > 0:
            self.denies_runs -= 1
            request.setHeader(NOT_EXECUTED, "1")
            return http.reply(request, {}, 503)
        self.watch_run(request, run)
        request.setHeader(REQUEST_ID, request_id)
        request.setHeader(SEAL, f"seal-{self.id}")
        if self.endless:
            return self.send_without_end(request, self.endless.pop(0))
        if self.has_crash_part(header(PROMPT_PARTS) or ""):
            run["crashes_on"] = self.crash_part
            run["broke_off"] = True
            return self.crash(request)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            run["broke_off"] = True
            request.transport.abortConnection()
            return defer.Deferred()
        delay_ms: float = self.answer_ms
        if self.has_defect(request):
            assert self.defect is not None
            run["bad"] = self.defect.kind
            if self.defect.kind == rollouts.FAILS:
                return http.reply(request, {}, 500)
            delay_ms = self.defect.delay_ms(self.answer_ms)
        if not delay_ms:
            return self.answer(request, run)
        return task.deferLater(
            self.reactor, delay_ms / MS_PER_S, self.answer_late, request, run
        )

    def answer_late(self, request: typing.Any, run: http.Json) -> typing.Any:
        """Answers a request unless its caller has gone meanwhile.

        :param request: request sent by the gateway
        :param run: the run's entry in the ledger
        :return: the body, or a Deferred that fires with it
        """
        if request._disconnected:
            return b""
        return self.answer(request, run)

    def has_defect(self, request: typing.Any) -> bool:
        """Returns whether the defect of its version shows in an answer.

        :param request: request sent by the gateway
        """
        if self.defect is None:
            return False
        age_ms = int(time.time() * MS_PER_S) - self.born
        path = request.path.decode()
        drawn = self.rng.random()
        return self.defect.shows(age_ms, self.running, path, drawn)

    def answer(self, request: typing.Any, run: http.Json) -> typing.Any:
        """Answers a request that it runs.

        :param request: request sent by the gateway
        :param run: the run's entry in the ledger
        :return: the body, or a Deferred that fires with it
        """
        if self.service != "model":
            if self.answers_wrong > 0:
                self.answers_wrong -= 1
                return b"answer to nobody\n"
            text = f"answer to {run['id']}\n".encode()
            if self.leaves_unframed():
                request.transport.write(bare_head(request) + text)
                request.transport.loseConnection()
                return defer.Deferred()
            return text
        return self.stream(request, run)

    def leaves_unframed(self) -> bool:
        """Counts an answer; returns whether it has no length or chunks."""
        self.answers += 1
        every = self.unframed_every
        return bool(every) and self.answers % every == 0

    def has_crash_part(self, parts: str) -> bool:
        """Returns whether it crashes on a prompt.

        :param parts: parts of the prompt as the caller stated them
        :return: whether a part other than the last crashes it
        """
        ids = [entry.partition(":")[0] for entry in parts.split(",")[:-1]]
        return bool(self.crash_part) and self.crash_part in ids

    def crash(self, request: typing.Any) -> typing.Any:
        """Sends the head of an answer and crashes; comes back after a while.

        :param request: request sent by the gateway
        :return: a Deferred that never fires
        """
        request.setHeader("Transfer-Encoding", "chunked")
        request.transport.write(bare_head(request))
        self.reactor.callLater(CRASH_DELAY_S, self.go_down)
        return defer.Deferred()

    def stop(self) -> None:
        """Ends its process at once, with all that it runs."""
        self.stopped = True
        if self.listener is not None:
            self.listener.stop()

    def go_down(self, closed_cleanly: typing.Any = None) -> None:
        """Drops all connections and refuses new ones for a while.

        :param closed_cleanly: transport of a connection that is closed after
            the port and not reset, None for none
        """
        listener = self.listener
        if listener is None or listener.listening is None:
            return
        down_s = self.crash_down_ms / MS_PER_S
        listener.close_for(down_s, closed_cleanly)
        self.reactor.callLater(down_s, self.start_new_life)

    def start_new_life(self) -> None:
        """Begins a new life under the same id."""
        self.born = int(time.time() * MS_PER_S)

    def send_without_end(self, request: typing.Any, what: str) -> typing.Any:
        """Sends bytes until the connection is closed.

        :param request: request sent by the gateway
        :param what: key of :data:`ENDLESS`
        :return: a Deferred that never fires
        """
        beginning, part = ENDLESS[what]
        transport = request.transport
        transport.write(
            beginning.replace(
                b"ID", (request.getHeader(REQUEST_ID) or "").encode()
            )
        )
        sent_bytes = 0

        def send() -> None:
            nonlocal sent_bytes
            if request._disconnected or sent_bytes > MAX_ENDLESS_BYTES:
                return
            transport.write(part * ENDLESS_REPEATS)
            sent_bytes += len(part) * ENDLESS_REPEATS
            self.reactor.callLater(ENDLESS_INTERVAL_S, send)

        send()
        return defer.Deferred()

    def watch_run(self, request: typing.Any, run: http.Json) -> None:
        """Records the end of a run.

        :param request: request sent by the gateway
        :param run: the run's entry in the ledger
        """
        self.running += 1

        def on_end(_reason: typing.Any) -> None:
            self.running -= 1
            run["ended_ms"] = int(time.time() * MS_PER_S)

        request.notifyFinish().addBoth(on_end)

    def stream(self, request: typing.Any, run: http.Json) -> typing.Any:
        """Streams numbered events.

        :param request: request sent by the gateway
        :param run: the run's entry in the ledger
        :return: a Deferred that fires at the end
        """
        request.setHeader("Content-Type", "text/event-stream")
        first = int(request.getHeader("Last-Event-Id") or 0) + 1
        counts = request.getHeader("Godwitloft-Token-Counts") or "0,3"
        last = int(counts.split(",")[1])
        cut_after = self.cut_after.pop(0) if self.cut_after else -1
        request_id = request.getHeader(REQUEST_ID) or ""
        if self.break_unframed > 0:
            self.break_unframed -= 1
            run["broke_off"] = True
            return self.break_off_unframed(request, request_id, first, last)
        if self.close_unframed > 0 and first <= last:
            self.close_unframed -= 1
            run["broke_off"] = first < last
            return self.send_unframed(request, run, first, first)
        if self.whole_unframed > 0:
            self.whole_unframed -= 1
            return self.send_unframed(request, run, first, last)
        if self.die_unframed > 0 and first <= last:
            self.die_unframed -= 1
            run["broke_off"] = True
            return self.die_between_events(request, request_id, first)
        if cut_after < 0 and self.leaves_unframed():
            return self.send_unframed(request, run, first, last)
        finished: defer.Deferred[bytes] = defer.Deferred()

        def event(number: int) -> None:
            if request._disconnected:
                return
            if number - first == cut_after:
                run["broke_off"] = True
                request.transport.abortConnection()
            elif number > last:
                finished.callback(b"")
            else:
                text = f"id: {number}\ndata: x{number} of {request_id}\n\n"
                request.write(text.encode())
                self.reactor.callLater(
                    EVENT_INTERVAL_MS / MS_PER_S, event, number + 1
                )

        event(first)
        return finished

    def break_off_unframed(
        self, request: typing.Any, request_id: str, first: int, last: int
    ) -> typing.Any:
        """Sends an event and half of the next, and closes the connection.

        The answer has neither a length nor chunks, so that its end looks like
        that of a whole one.

        :param request: request sent by the gateway
        :param request_id: its id
        :param first: number of the first event
        :param last: number of the last event; none after it is begun
        :return: a Deferred that never fires
        """
        event = f"id: {first}\ndata: x{first} of {request_id}\n\n"
        cut = f"id: {first + 1}\ndata: x"
        if first >= last:
            event = ""
            cut = f"id: {first}\ndata: x" if first == last else ""
        request.transport.write(bare_head(request))
        request.transport.write(f"{event}{cut}".encode())
        request.transport.loseConnection()
        return defer.Deferred()

    def send_unframed(
        self, request: typing.Any, run: http.Json, first: int, last: int
    ) -> typing.Any:
        """Sends events without a length or chunks, and closes the connection.

        Nothing shows whether the last of them is the last of the stream.

        :param request: request sent by the gateway
        :param run: the run's entry in the ledger
        :param first: number of the first event
        :param last: number of the last event that is sent
        :return: a Deferred that never fires
        """
        request.transport.write(bare_head(request))

        def event(number: int) -> None:
            if request._disconnected:
                return
            text = f"id: {number}\ndata: x{number} of {run['id']}\n\n"
            if number <= last:
                request.transport.write(text.encode())
            if number >= last:
                run["closed_after"] = last
                request.transport.loseConnection()
                return
            self.reactor.callLater(
                EVENT_INTERVAL_MS / MS_PER_S, event, number + 1
            )

        event(first)
        return defer.Deferred()

    def die_between_events(
        self, request: typing.Any, request_id: str, first: int
    ) -> typing.Any:
        """Sends an event, and closes the connection and the port.

        That is what the kernel does for a process that is killed. Nothing in
        the answer shows that it isn't whole.

        :param request: request sent by the gateway
        :param request_id: its id
        :param first: number of the event
        :return: a Deferred that never fires
        """
        text = f"id: {first}\ndata: x{first} of {request_id}\n\n"
        request.transport.write(bare_head(request))
        request.transport.write(text.encode())

        self.reactor.callLater(CRASH_DELAY_S, self.go_down, request.transport)
        return defer.Deferred()

    def control(self, change: http.Json) -> None:
        """Changes the behaviour of the runner.

        :param change: names of attributes and their new values; ``pause_ms``
            asks for a pause from now on
        """
        for name, value in change.items():
            if name == "pause_ms":
                pause_s = value / MS_PER_S
                self.pause_until = self.reactor.seconds() + pause_s
            else:
                setattr(self, name, value)


class Lakeshore:
    """A stand-in Lakeshore platform with its store and runners.

    :param settings: the number of runners
    :param reactor: provides time and timers
    """

    def __init__(
        self, settings: LakeshoreSettings, reactor: typing.Any
    ) -> None:
        self.reactor = reactor
        self.rows = Rows(reactor)
        self.calls: collections.Counter[str] = collections.Counter()
        counts = (("model", settings.models), ("desk", settings.desks))
        self.runners = {
            runner.id: runner
            for service, count in counts
            for runner in (
                Runner(number, service, self.rows, reactor)
                for number in range(count)
            )
        }
        self.lost_writes = lost_writes.LostWrites(reactor, self.rows.transact)
        # Where new runners listen.
        self.address = "127.0.0.1"
        self.rollouts = rollouts.Rollouts(
            self.rows, self.runners, reactor, self.start_runner
        )

    def start_runner(self, service: str, version: str) -> Runner:
        """Starts a further runner.

        :param service: name of its service
        :param version: of its software
        :return: the runner
        """
        number = sum(
            runner.service == service for runner in self.runners.values()
        )
        runner = Runner(number, service, self.rows, self.reactor)
        runner.version = version
        self.runners[runner.id] = runner
        _start_runner(runner, self.reactor, self.address)
        return runner

    def control(self, change: http.Json) -> None:
        """Changes the store or runners.

        :param change: ``config``, ``rows``, ``away_ms``, ``drill``,
            ``forget``, ``lose_writes_ms``, ``runners`` and ``rollout``, each
            optional
        """
        if "config" in change:
            self.rows.write_configuration(change["config"])
        for table, key, value in change.get("rows", []):
            self.rows.put(table, key, value)
        if "away_ms" in change:
            away_s = change["away_ms"] / MS_PER_S
            self.rows.away_until = self.reactor.seconds() + away_s
        if "lose_writes_ms" in change:
            self.lost_writes.begin(change["lose_writes_ms"])
        if "drill" in change:
            self.rows.drill(**change["drill"])
        if change.get("forget"):
            self.rows.history.clear()
            self.rows.version += 1
            self.rows.oldest_version = self.rows.version
        for name, attributes in change.get("runners", {}).items():
            self.runners[name].control(attributes)
        if "rollout" in change:
            self.rollouts.begin(**change["rollout"])

    def ledger(self) -> http.Json:
        """Returns the runs of every runner.

        :return: lists by runner id
        """
        return {name: runner.ledger for name, runner in self.runners.items()}

    def turned_away(self) -> http.Json:
        """Returns the requests that reached a runner and were not run.

        :return: lists by runner id
        """
        return {
            name: runner.turned_away for name, runner in self.runners.items()
        }

    def addresses(self) -> http.Json:
        """Returns the addresses of the runners.

        :return: addresses by runner id
        """
        return {name: runner.address for name, runner in self.runners.items()}


def listen(
    lakeshore: Lakeshore,
    reactor: typing.Any,
    address: str = "127.0.0.1",
    port: int = 0,
) -> http.Listener:
    """Starts the runners and prepares the port of the store.

    :param lakeshore: the stand-in to serve
    :param reactor: the Twisted reactor
    :param address: IP address of the store and the runners
    :param port: TCP port of the store, 0 for a free one
    :return: the listener of the store; call its ``start``
    """
    lakeshore.address = address
    for runner in lakeshore.runners.values():
        _start_runner(runner, reactor, address)
    site = server.Site(_store_app(lakeshore).resource())
    return http.Listener(reactor, site, address, port)


def _start_runner(runner: Runner, reactor: typing.Any, address: str) -> None:
    app = Klein()

    @app.route("/", branch=True)
    def run(request: typing.Any) -> typing.Any:
        return runner.run(request)

    site = server.Site(app.resource())
    listener = http.Listener(reactor, site, address, 0)

    runner.listener = listener

    def register(where: str) -> None:
        runner.address = where
        runner.send_heartbeat()

    listener.start().addCallback(register)


def _store_app(lakeshore: Lakeshore) -> Klein:
    app = Klein()
    rows = lakeshore.rows

    def text(request: typing.Any, name: bytes) -> str:
        return str(request.args.get(name, [b""])[0].decode())

    def reply(
        request: typing.Any, body: http.Json, status: int = 200
    ) -> bytes:
        request.setHeader(TIMELINE, str(rows.timeline))
        return http.reply(request, body, status)

    @app.route("/rows-get")
    def get(request: typing.Any) -> bytes:
        lakeshore.calls["get"] += 1
        if rows.is_away():
            return reply(request, {}, 503)
        names = (b"table", b"from", b"to")
        return reply(
            request, rows.read(*(text(request, name) for name in names))
        )

    @app.route("/rows-feed")
    @defer.inlineCallbacks
    def feed(
        request: typing.Any,
    ) -> typing.Generator[typing.Any, typing.Any, bytes]:
        lakeshore.calls["feed"] += 1
        table = text(request, b"table")
        after = http.number_argument(request, "after")
        wait_s = http.number_argument(request, "wait-ms") / MS_PER_S
        end = lakeshore.reactor.seconds() + wait_s
        while True:
            if rows.is_away():
                return reply(request, {}, 503)
            if not rows.oldest_version <= after <= rows.version:
                return reply(request, {}, 410)
            changes = rows.changes(table, after)
            if changes["rows"] or lakeshore.reactor.seconds() >= end:
                return reply(request, changes)
            yield _sleep(lakeshore.reactor, EVENT_INTERVAL_MS / MS_PER_S)

    @app.route("/rows-tx", methods=["POST"])
    def change(request: typing.Any) -> "bytes | defer.Deferred[bytes]":
        lakeshore.calls["tx"] += 1
        if rows.is_away():
            return reply(request, {}, 503)
        body = http.read_json(request) or {}
        lost = lakeshore.lost_writes.take(body)
        if lost is not None:
            lakeshore.calls["tx_lost"] += 1
            return lost
        if not rows.transact(body):
            return reply(request, {}, 412)
        return reply(request, rows.answer([]))

    @app.route("/control", methods=["POST"])
    def control(request: typing.Any) -> bytes:
        lakeshore.control(http.read_json(request) or {})
        return http.reply(request, {})

    @app.route("/ledger")
    def ledger(request: typing.Any) -> bytes:
        return http.reply(request, lakeshore.ledger())

    @app.route("/turned-away")
    def turned_away(request: typing.Any) -> bytes:
        return http.reply(request, lakeshore.turned_away())

    @app.route("/acknowledged")
    def acknowledged(request: typing.Any) -> bytes:
        return http.reply(request, rows.acknowledged_ms)

    @app.route("/rollouts")
    def ordered(request: typing.Any) -> bytes:
        return http.reply(request, lakeshore.rollouts.report())

    @app.route("/addresses")
    def addresses(request: typing.Any) -> bytes:
        return http.reply(request, lakeshore.addresses())

    @app.route("/calls")
    def calls(request: typing.Any) -> bytes:
        return http.reply(request, dict(lakeshore.calls))

    return app


def bare_head(request: typing.Any) -> bytes:
    """Returns the head of an answer that the HTTP library doesn't frame.

    It has what the runner says of itself, like that of any other answer.

    :param request: with the header fields of its answer
    """
    fields = [
        b"%s: %s\r\n" % (name, value)
        for name, values in request.responseHeaders.getAllRawHeaders()
        for value in values
    ]
    return b"HTTP/1.1 200 OK\r\n%s\r\n" % b"".join(fields)


def _sleep(reactor: typing.Any, seconds: float) -> "defer.Deferred[None]":
    woken: defer.Deferred[None] = defer.Deferred()
    reactor.callLater(seconds, woken.callback, None)
    return woken


def encode(value: object) -> str:
    """Returns the text of a row's value.

    :param value: a value that JSON can represent
    :return: JSON in base64
    """
    return base64.b64encode(json.dumps(value).encode()).decode()
