"""A small stand-in of a runner: a plain service or a model engine.

It follows PROTOCOL.md: it registers itself, runs what names it, answers 421
to the rest, and goes on for some seconds after it has reported ``draining``.
"""

import asyncio
import json
import time
import typing

import http1
import store as stores

HEARTBEAT_S = 1.2
QUEUE = 66


class Run(typing.NamedTuple):
    """A request that a runner began to work on.

    :param id: the caller's id of the attempt
    :param runner: id of the runner
    :param at_s: monotonic time, in seconds
    :param tenant: name of the tenant
    :param resumed: value of ``Last-Event-Id``, empty for none
    """

    id: str
    runner: str
    at_s: float
    tenant: str
    resumed: str


class Runner:
    """One runner.

    :param store: the store that it registers with
    :param name: its id
    :param service: name of its service
    :param host: IP address
    :param runs: gets all requests that it begins to work on
    """

    def __init__(
        self,
        store: stores.Store,
        name: str,
        service: str,
        host: str,
        runs: list[Run],
    ) -> None:
        self.store = store
        self.name = name
        self.service = service
        self.host = host
        self.runs = runs
        self.slots = 11
        self.work_s = 0.06
        self.body_bytes = 800
        # Number of events of a stream and the pause between two; 0: no stream.
        self.events = 0
        self.event_gap_s = 0.03
        self.version = "v1"
        self.state = "ready"
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self.port = 0
        self.running = 0
        self.free = asyncio.Semaphore(self.slots)
        self.server: asyncio.base_events.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.beat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to listen and registers."""
        self.free = asyncio.Semaphore(self.slots)
        self.server = await http1.serve(self.host, self.port, self.on_request)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat = asyncio.ensure_future(self.report())

    @property
    def address(self) -> str:
        """Its address and port."""
        return f"{self.host}:{self.port}"

    def register(self) -> float:
        """Writes its row.

        :return: monotonic time of the acknowledgement, in seconds
        """
        self.sequence += 1
        row = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        return self.store.put("servers", self.name, row)

    async def report(self) -> None:
        """Renews its row at each heartbeat."""
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self) -> None:
        """Ends at once and breaks off all that it runs."""
        if self.beat is not None:
            self.beat.cancel()
        if self.server is not None:
            self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        self.writers.clear()

    def leave(self) -> None:
        """Ends after it has left: its row is gone too."""
        self.crash()
        self.store.remove("servers", self.name)

    async def on_request(
        self, request: http1.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Answers one request.

        :param request: the request
        :param writer: its connection
        """
        own = {"Godwitloft-Instance-Id": self.name}
        if request.target == "/health":
            status = 200 if self.state == "ready" else 503
            http1.answer(writer, status, own, b"")
            return
        if request.target == "/report":
            http1.answer(writer, 200, own, self.load())
            return
        if request.headers.get("godwitloft-target-instance") != self.name:
            http1.answer(writer, 421, own, b"")
            return
        own["Godwitloft-Request-Id"] = request.headers["godwitloft-request-id"]
        if self.running >= self.slots + QUEUE:
            not_run = own | {"Godwitloft-Not-Executed": "1"}
            http1.answer(writer, 503, not_run, b"")
            return
        self.writers.add(writer)
        self.running += 1
        try:
            async with self.free:
                await self.work(request, writer, own)
        finally:
            self.running -= 1
            self.writers.discard(writer)

    def load(self) -> bytes:
        """Returns the body of ``/report``."""
        running = min(self.running, self.slots)
        content = {
            "stage": "both",
            "running": running,
            "waiting": self.running - running,
            "kv-used": 0,
            "kv-total": 521_614,
            "born": self.born_ms,
        }
        return json.dumps(content).encode()

    async def work(
        self,
        request: http1.Request,
        writer: asyncio.StreamWriter,
        own: http1.Headers,
    ) -> None:
        """Runs one request.

        :param request: the request
        :param writer: its connection
        :param own: headers of all its answers
        """
        resumed = request.headers.get("last-event-id", "")
        self.runs.append(
            Run(
                request.headers["godwitloft-request-id"],
                self.name,
                time.monotonic(),
                request.headers.get("godwitloft-tenant", ""),
                resumed,
            )
        )
        own = own | {"Godwitloft-Response-Seal": f"seal-{self.name}"}
        await asyncio.sleep(self.work_s)
        if self.events:
            await self.stream(writer, own, int(resumed or 0))
        else:
            http1.answer(writer, 200, own, b"x" * self.body_bytes)
            await writer.drain()

    async def stream(
        self, writer: asyncio.StreamWriter, own: http1.Headers, last: int
    ) -> None:
        """Writes a stream of events.

        :param writer: the connection
        :param own: headers of the answer
        :param last: id of the last event that the caller has
        """
        headers = own | {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "Connection": "close",
        }
        writer.write(http1.head_bytes("HTTP/1.1 200 OK", headers))
        for number in range(last + 1, self.events + 1):
            event = f"id: {number}\ndata: {'y' * 40}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if writer.transport.is_closing():
                return
            await asyncio.sleep(self.event_gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
