"""Callers of a soak: what they send and what they see."""

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

ASK_LIMIT_S = 7
PAUSE_S = (0.0, 0.12)
KEPT_SHARE = 0.7
LEAVING_SHARE = 0.05
LONG_STREAM_SHARE = 0.1
BALANCER_INTERVAL_S = 0.5
MISSES_TO_LEAVE = 2
READ_BYTES = 4096
PROMPT_TOKENS = 5
# What is asked for, and how often.
MIX = (
    ("stream", "POST", 3),
    ("once", "POST", 3),
    ("lookup", "GET", 4),
    ("post", "POST", 4),
    (site.EXTRA_ROUTE, "GET", 2),
)
KEY_MIX = (("key-large", 6), ("key-small", 3), ("key-guest", 2), ("key-no", 1))


@dataclasses.dataclass
class Told:
    """One request, and what its caller has seen.

    :param id: of the request
    :param route: name of its route
    :param key: that it came with
    :param entry: name of the entry
    :param events: length of the stream, 0 if it is none
    :param sent_ms: wall time
    :param ended_ms: wall time of the answer's end
    :param status: HTTP status, 0 when the connection ended without one
    :param body: what came
    :param is_whole: whether the answer looked complete
    :param left_ms: wall time at which the caller left, 0 if it stayed
    :param problem: error of the connection, empty if there was none
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
    is_whole: bool = False
    left_ms: int = 0
    problem: str = ""

    def expected(self) -> bytes:
        """Returns the only right body of a success."""
        if not self.events:
            return f"answer to {self.id}\n".encode()
        return "".join(
            f"id: {number}\ndata: x{number} of {self.id}\n\n"
            for number in range(1, self.events + 1)
        ).encode()


class Balancer:
    """Tells which entries take new callers.

    :param world: whose entries
    """

    def __init__(self, world: deployment.Deployment) -> None:
        self.world = world
        self.misses = {entry.name: 0 for entry in world.entries}
        self.stopped = threading.Event()

    def run(self) -> None:
        """Asks all entries again and again."""
        while not self.stopped.wait(BALANCER_INTERVAL_S):
            for entry in self.world.entries:
                if self.world.is_ready(entry):
                    self.misses[entry.name] = 0
                else:
                    self.misses[entry.name] += 1

    def open_entries(self) -> list[program.Program]:
        """Returns the entries that take new callers."""
        return [
            entry
            for entry in self.world.entries
            if self.misses[entry.name] < MISSES_TO_LEAVE
        ]


class Caller:
    """One thread that asks, one request after the other.

    :param number: makes its requests' ids
    :param seed: decides what it asks
    :param balancer: tells where to
    """

    def __init__(self, number: int, seed: int, balancer: Balancer) -> None:
        self.number = number
        self.rng = random.Random(f"{seed}/{number}")
        self.balancer = balancer
        self.told: list[Told] = []
        self.stopped = threading.Event()
        self.connection: http.client.HTTPConnection | None = None
        self.entry_name = ""

    def run(self) -> None:
        """Asks until it is stopped."""
        while not self.stopped.wait(self.rng.uniform(*PAUSE_S)):
            if not self.connect():
                continue
            told, method = self.draw()
            self.told.append(told)
            self.ask(told, method)
            if not told.is_whole or self.rng.random() > KEPT_SHARE:
                self.close()
        self.close()

    def connect(self) -> bool:
        """Takes the kept connection or a new one.

        :return: whether there is one
        """
        if self.connection is not None:
            return True
        entries = self.balancer.open_entries()
        if not entries:
            return False
        entry = self.rng.choice(entries)
        self.entry_name = entry.name
        connection = http.client.HTTPConnection(
            entry.address, timeout=ASK_LIMIT_S
        )
        try:
            connection.connect()
        except OSError:
            return False
        self.connection = connection
        return True

    def draw(self) -> tuple[Told, str]:
        """Draws the next request.

        :return: the request and its HTTP method
        """
        rng = self.rng
        names = [one[0] for one in MIX]
        weights = [one[2] for one in MIX]
        (route,) = rng.choices(names, weights)
        method = next(one[1] for one in MIX if one[0] == route)
        keys = [one[0] for one in KEY_MIX]
        (key,) = rng.choices(keys, [one[1] for one in KEY_MIX])
        events = 0
        if route in ("stream", "once"):
            events = rng.randint(2, 8)
            if rng.random() < LONG_STREAM_SHARE:
                events = rng.randint(40, 90)
        return (
            Told(
                id=f"c{self.number}-{len(self.told)}",
                route=route,
                key=key,
                entry=self.entry_name,
                events=events,
                sent_ms=deployment.now_ms(),
            ),
            method,
        )

    def ask(self, told: Told, method: str) -> None:
        """Sends a request and reads its answer.

        :param told: the request; takes what is seen
        :param method: HTTP method
        """
        connection = self.connection
        if connection is None:
            return
        headers = words.caller_headers(
            site.HOST_NAME,
            told.id,
            told.key,
            site.TIMEOUT_MS,
            (PROMPT_TOKENS, told.events) if told.events else None,
        )
        leaves = self.rng.random() < LEAVING_SHARE
        try:
            connection.request(method, f"/{told.route}/x", headers=headers)
            answer = connection.getresponse()
            told.status = answer.status
            self.read(told, answer, leaves)
        except (http.client.HTTPException, OSError) as problem:
            told.problem = repr(problem)
        told.ended_ms = deployment.now_ms()

    def read(
        self, told: Told, answer: http.client.HTTPResponse, leaves: bool
    ) -> None:
        """Reads an answer to its end, or leaves early.

        :param told: takes what is seen
        :param answer: of the entry
        :param leaves: whether the caller leaves after the first part
        """
        while part := answer.read1(READ_BYTES):
            told.body += part
            if leaves and told.events:
                told.left_ms = deployment.now_ms()
                self.close()
                return
        # Only this lets the connection be used again.
        answer.close()
        told.is_whole = True

    def close(self) -> None:
        """Closes the connection, if there is one."""
        if self.connection is None:
            return
        if self.connection.sock is not None:
            # A stream that is being read keeps the socket open otherwise.
            try:
                self.connection.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.connection.close()
        self.connection = None


class Crowd:
    """All callers and the balancer before the entries.

    :param world: whom they ask
    :param count: how many callers
    :param seed: decides what they ask
    """

    def __init__(
        self, world: deployment.Deployment, count: int, seed: int
    ) -> None:
        self.balancer = Balancer(world)
        self.callers = [
            Caller(number, seed, self.balancer) for number in range(count)
        ]
        works = [self.balancer.run, *(one.run for one in self.callers)]
        self.threads = [threading.Thread(target=work) for work in works]

    def start(self) -> None:
        """Starts all threads."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> list[Told]:
        """Stops all threads.

        :return: all requests
        """
        for caller in self.callers:
            caller.stopped.set()
        self.balancer.stopped.set()
        end = time.monotonic() + 2 * ASK_LIMIT_S
        for thread in self.threads:
            thread.join(max(0.0, end - time.monotonic()))
        return [told for caller in self.callers for told in caller.told]
