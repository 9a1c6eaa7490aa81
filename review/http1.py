"""HTTP/1.1 for small servers and clients, on asyncio streams."""

import asyncio
import dataclasses
import typing

Headers = dict[str, str]
MAX_HEAD_BYTES = 65_536


@dataclasses.dataclass(frozen=True)
class Request:
    """A whole request.

    :param method: HTTP method
    :param target: path and query
    :param headers: values by name in lower case
    :param body: the whole body
    """

    method: str
    target: str
    headers: Headers
    body: bytes


Handler = typing.Callable[
    [Request, asyncio.StreamWriter], typing.Awaitable[None]
]


def parse_head(head: bytes) -> tuple[str, Headers]:
    """Returns the first line and the headers of a message.

    :param head: the head with its empty line
    """
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.lower(): value.strip() for name, _c, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads one request.

    :param reader: the connection
    :return: the request, None if the connection ended before
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, headers = parse_head(head)
        size = int(headers.get("content-length", "0"))
        body = await reader.readexactly(size)
    except (OSError, asyncio.IncompleteReadError):
        return None
    method, target, _version = first.split(" ")
    return Request(method, target, headers, body)


def head_bytes(first: str, headers: Headers) -> bytes:
    """Returns the head of a message.

    :param first: request line or status line
    :param headers: values by name
    """
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer(
    writer: asyncio.StreamWriter, status: int, headers: Headers, body: bytes
) -> None:
    """Writes a whole answer that ends its connection.

    :param writer: the connection
    :param status: HTTP status
    :param headers: headers without those of the framing
    :param body: the whole body
    """
    framing = {"Content-Length": str(len(body)), "Connection": "close"}
    writer.write(head_bytes(f"HTTP/1.1 {status} X", headers | framing) + body)


async def serve(
    host: str, port: int, handler: Handler
) -> asyncio.base_events.Server:
    """Serves one request on each connection.

    :param host: IP address
    :param port: TCP port, 0 for a free one
    :param handler: answers a request
    :return: the server
    """

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            request = await read_request(reader)
            if request is not None:
                await handler(request, writer)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    return await asyncio.start_server(
        on_connection, host, port, limit=MAX_HEAD_BYTES, backlog=1024
    )


@dataclasses.dataclass
class Answer:
    """What a client got.

    :param status: HTTP status, 0 if no head came
    :param headers: values by name in lower case
    :param body: what came of the body
    :param complete: whether the framing says that the body is whole
    """

    status: int = 0
    headers: Headers = dataclasses.field(default_factory=dict)
    body: bytearray = dataclasses.field(default_factory=bytearray)
    complete: bool = False


class Reader:
    """Reads an answer, at most at a certain rate.

    :param stream: the connection
    :param answer: gets what is read
    :param bytes_per_s: reading rate, 0 for no bound
    """

    def __init__(
        self,
        stream: asyncio.StreamReader,
        answer: Answer,
        bytes_per_s: int = 0,
    ) -> None:
        self.stream = stream
        self.answer = answer
        self.bytes_per_s = bytes_per_s

    async def read(self) -> None:
        """Reads the answer to its end, or until the connection ends."""
        try:
            head = await self.stream.readuntil(b"\r\n\r\n")
            first, self.answer.headers = parse_head(head)
            self.answer.status = int(first.split(" ")[1])
            if "content-length" in self.answer.headers:
                size = int(self.answer.headers["content-length"])
                await self.take(size)
            else:
                await self.read_chunks()
            self.answer.complete = True
        except (OSError, asyncio.IncompleteReadError):
            pass

    async def read_chunks(self) -> None:
        """Reads a body in chunks."""
        while True:
            line = await self.stream.readuntil(b"\r\n")
            size = int(line, 16)
            await self.take(size)
            await self.stream.readexactly(2)
            if size == 0:
                return

    async def take(self, size: int) -> None:
        """Reads a number of bytes of the body.

        :param size: the number
        """
        step = 8_192 if self.bytes_per_s else 65_536
        while size > 0:
            data = await self.stream.read(min(step, size))
            if not data:
                raise asyncio.IncompleteReadError(b"", size)
            self.answer.body += data
            size -= len(data)
            if self.bytes_per_s:
                await asyncio.sleep(len(data) / self.bytes_per_s)
