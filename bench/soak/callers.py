"""Callers of a soak test: sends requests and records the responses."""

import dataclasses
import http.client
import random
import socket
import threading
import time

from bench.soak import deployment
from bench.soak import program
from bench.soak import site
from godwitloft.standins import lakeshore_words as words

REQUEST_TIMEOUT_S = 7
PAUSE_RANGE_S = (0.0, 0.12)
KEEP_ALIVE_SHARE = 0.7
DISCONNECT_SHARE = 0.05
LONG_STREAM_SHARE = 0.1
BALANCER_INTERVAL_S = 0.5
FAILED_PROBES_LIMIT = 2
READ_BYTES = 4096
PROMPT_TOKENS = 5
# Share of model requests that have the part that crashes runners, while there
# is one.
CRASH_SHARE = 0.2
SHARED_PARTS = ("aa0", "aa1", "aa2")
# Route, HTTP method and relative frequency.
MAX_TAKE_UPS = 10
TAKE_UP_PAUSE_S = 0.3
REQUEST_MIX = (
    ("stream", "POST", 3),
    ("once", "POST", 3),
    ("lookup", "GET", 4),
    ("post", "POST", 4),
    (site.EXTRA_ROUTE, "GET", 2),
)
# Streams on routes of their own, some of which take 4 s.
LONG_ROUTE_SHARE = 0.12
LONG_ROUTE_EVENTS = ((3, 40), (90, 190))
SLOW_READER_SHARE = 0.1
SLOW_READ_PAUSE_S = 0.15
KEY_MIX = (("key-large", 6), ("key-small", 3), ("key-guest", 2), ("key-no", 1))


@dataclasses.dataclass
class RequestRecord:
    """One request and what its caller observed.

    :param id: of the request
    :param route: name of its route
    :param key: API key that was sent
    :param entry: name of the entry
    :param events: number of stream events, 0 if the route is not a stream
    :param sent_ms: wall time
    :param ended_ms: wall time at which the response ended
    :param status: HTTP status, 0 when the connection ended without one
    :param body: bytes received
    :param is_complete: whether the response was read to its end
    :param disconnected_ms: wall time at which the caller closed the
        connection early, 0 if it did not
    :param error: connection error, empty if there was none
    :param resumes: id of the request whose stream it takes up again, empty for
        none
    :param first_event: number of the first event that it asks for
    :param is_slow: whether its caller pauses after each read
    """

    id: str
    route: str
    key: str
    entry: str
    events: int
    sent_ms: int
    ended_ms: int = 0
    status: int = 0
    body: bytes = b""
    is_complete: bool = False
    disconnected_ms: int = 0
    error: str = ""
    resumes: str = ""
    first_event: int = 1
    is_slow: bool = False

    def expected(self, last_event: int | None = None) -> bytes:
        """Returns the body of a correct successful response.

        :param last_event: number of the event that it ends with, None for
            the last one of the stream
        """
        if not self.events:
            return f"answer to {self.id}\n".encode()
        if last_event is None:
            last_event = self.events
        return "".join(
            f"id: {number}\ndata: x{number} of {self.id}\n\n"
            for number in range(self.first_event, last_event + 1)
        ).encode()

    def next_event(self) -> int:
        """Returns the number of the first event that it hasn't received."""
        return self.first_event + self.body.count(b"\n\n")

    def broke_off(self) -> bool:
        """Returns whether it is a stream that may be taken up again."""
        return (
            self.route in site.RESUMABLE_ROUTES
            and self.status == 200
            and not self.is_complete
            and not self.disconnected_ms
            and 1 < self.next_event() <= self.events
        )


class Balancer:
    """Polls readiness and tells which entries accept new connections.

    :param system: deployment whose entries are polled
    """

    def __init__(self, system: deployment.Deployment) -> None:
        self.system = system
        self.failed_probes = {entry.name: 0 for entry in system.entries}
        self.stop_requested = threading.Event()

    def run(self) -> None:
        """Polls all entries until it is stopped."""
        while not self.stop_requested.wait(BALANCER_INTERVAL_S):
            for entry in self.system.entries:
                if self.system.is_ready(entry):
                    self.failed_probes[entry.name] = 0
                else:
                    self.failed_probes[entry.name] += 1

    def ready_entries(self) -> list[program.Program]:
        """Returns the entries that accept new connections."""
        return [
            entry
            for entry in self.system.entries
            if self.failed_probes[entry.name] < FAILED_PROBES_LIMIT
        ]


class Caller:
    """A thread that sends requests one after another.

    :param number: part of the ids of its requests
    :param seed: seed of the random requests
    :param balancer: provides the ready entries
    """

    def __init__(self, number: int, seed: int, balancer: Balancer) -> None:
        self.number = number
        self.rng = random.Random(f"{seed}/{number}")
        # Apart, so that the other requests of a seed stay what they were.
        self.parts_rng = random.Random(f"{seed}/{number} parts")
        self.long_rng = random.Random(f"{seed}/{number} long")
        self.balancer = balancer
        self.records: list[RequestRecord] = []
        self.stop_requested = threading.Event()
        self.connection: http.client.HTTPConnection | None = None
        self.entry_name = ""

    def run(self) -> None:
        """Sends requests until it is stopped."""
        while not self.stop_requested.wait(self.draw_pause_s()):
            if not self.connect(self.rng):
                continue
            record, method = self.draw_request()
            self.records.append(record)
            self.send(record, method)
            self.take_up(record)
            if not record.is_complete or self.rng.random() > KEEP_ALIVE_SHARE:
                self.close()
        self.close()

    def draw_pause_s(self) -> float:
        """Draws the time to the next request; there is none in a burst."""
        pause_s = self.rng.uniform(*PAUSE_RANGE_S)
        return 0.0 if self.balancer.system.has_burst else pause_s

    def connect(self, rng: random.Random) -> bool:
        """Reuses the open connection or opens a new one.

        :param rng: chooses the entry
        :return: whether a connection is open
        """
        if self.connection is not None:
            return True
        entries = self.balancer.ready_entries()
        if not entries:
            return False
        entry = rng.choice(entries)
        self.entry_name = entry.name
        connection = http.client.HTTPConnection(
            entry.address, timeout=REQUEST_TIMEOUT_S
        )
        try:
            connection.connect()
        except OSError:
            return False
        self.connection = connection
        return True

    def draw_request(self) -> tuple[RequestRecord, str]:
        """Draws the next request at random.

        :return: the request and its HTTP method
        """
        rng = self.rng
        names = [row[0] for row in REQUEST_MIX]
        weights = [row[2] for row in REQUEST_MIX]
        (route,) = rng.choices(names, weights)
        method = next(row[1] for row in REQUEST_MIX if row[0] == route)
        keys = [row[0] for row in KEY_MIX]
        (key,) = rng.choices(keys, [row[1] for row in KEY_MIX])
        events = 0
        if route in ("stream", "once"):
            events = rng.randint(2, 8)
            if rng.random() < LONG_STREAM_SHARE:
                events = rng.randint(40, 90)
        if self.long_rng.random() < LONG_ROUTE_SHARE:
            method = "POST"
            route = self.long_rng.choice(site.LONG_ROUTES)
            events = self.long_rng.randint(
                *self.long_rng.choice(LONG_ROUTE_EVENTS)
            )
        return (
            RequestRecord(
                id=f"c{self.number}-{len(self.records)}",
                route=route,
                key=key,
                entry=self.entry_name,
                events=events,
                sent_ms=deployment.now_ms(),
                is_slow=self.long_rng.random() < SLOW_READER_SHARE,
            ),
            method,
        )

    def take_up(self, broken: RequestRecord) -> None:
        """Takes a stream up again that broke off, until it ends.

        :param broken: a request that has ended
        """
        next_event = broken.next_event()
        for _ in range(MAX_TAKE_UPS if broken.broke_off() else 0):
            self.close()
            if self.stop_requested.wait(TAKE_UP_PAUSE_S):
                return
            if not self.connect(self.parts_rng):
                continue
            record = dataclasses.replace(
                broken,
                id=f"c{self.number}-{len(self.records)}",
                entry=self.entry_name,
                sent_ms=deployment.now_ms(),
                ended_ms=0,
                status=0,
                body=b"",
                error="",
                resumes=broken.id,
                first_event=next_event,
            )
            self.records.append(record)
            self.send(record, "POST")
            next_event = record.next_event()
            if record.is_complete and record.status == 200:
                return
            if record.status == 200 and not record.broke_off():
                return

    def send(self, record: RequestRecord, method: str) -> None:
        """Sends a request and reads its response.

        :param record: the request; receives the result
        :param method: HTTP method
        """
        connection = self.connection
        if connection is None:
            return
        headers = words.caller_headers(
            site.HOST_NAME,
            record.id,
            record.key,
            site.timeout_ms(record.route),
            (PROMPT_TOKENS, record.events) if record.events else None,
            self.draw_parts(record.id) if record.events else (),
        )
        disconnects = False
        if record.resumes:
            headers["Resumes"] = record.resumes
            headers["Last-Event-Id"] = str(record.first_event - 1)
        else:
            disconnects = self.rng.random() < DISCONNECT_SHARE
        try:
            connection.request(method, f"/{record.route}/x", headers=headers)
            response = connection.getresponse()
            record.status = response.status
            self.read(record, response, disconnects)
        except (http.client.HTTPException, OSError) as error:
            record.error = repr(error)
        record.ended_ms = deployment.now_ms()

    def draw_parts(self, request_id: str) -> tuple[str, ...]:
        """Draws the parts of a prompt.

        :param request_id: of the request, whose last part is its own
        :return: their ids
        """
        parts = [self.parts_rng.choice(SHARED_PARTS)]
        crash_part = self.balancer.system.crash_part
        if crash_part and self.parts_rng.random() < CRASH_SHARE:
            parts.append(crash_part)
        return (*parts, request_id)

    def read(
        self,
        record: RequestRecord,
        response: http.client.HTTPResponse,
        disconnects: bool,
    ) -> None:
        """Reads a response to its end, or closes the connection early.

        :param record: receives the result
        :param response: from the entry
        :param disconnects: whether to close a stream after the first chunk
        """
        while chunk := response.read1(READ_BYTES):
            record.body += chunk
            if record.is_slow:
                time.sleep(SLOW_READ_PAUSE_S)
            if disconnects and record.events:
                record.disconnected_ms = deployment.now_ms()
                self.close()
                return
        if response.length:
            # Unlike read(), read1() takes such an end for that of the body.
            raise http.client.IncompleteRead(b"", response.length)
        # http.client reuses a connection only after the response is closed.
        response.close()
        record.is_complete = True

    def close(self) -> None:
        """Closes the connection, if there is one."""
        if self.connection is None:
            return
        if self.connection.sock is not None:
            # Without shutdown, an unread response keeps the socket open.
            try:
                self.connection.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.connection.close()
        self.connection = None


class CallerPool:
    """All callers, and the balancer in front of the entries.

    :param system: deployment that receives the requests
    :param count: number of callers
    :param seed: seed of the random requests
    """

    def __init__(
        self, system: deployment.Deployment, count: int, seed: int
    ) -> None:
        self.balancer = Balancer(system)
        self.callers = [
            Caller(number, seed, self.balancer) for number in range(count)
        ]
        targets = [self.balancer.run, *(caller.run for caller in self.callers)]
        self.threads = [threading.Thread(target=target) for target in targets]

    def start(self) -> None:
        """Starts all threads."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> list[RequestRecord]:
        """Stops all threads.

        :return: records of all requests
        """
        for caller in self.callers:
            caller.stop_requested.set()
        self.balancer.stop_requested.set()
        end = time.monotonic() + 2 * REQUEST_TIMEOUT_S
        for thread in self.threads:
            thread.join(max(0.0, end - time.monotonic()))
        return [record for caller in self.callers for record in caller.records]
