"""Callers, and the configuration of the operator."""

import asyncio
import dataclasses
import itertools
import socket
import time
import typing

import http1

HOST = "review.example"
NUMBERS = itertools.count(1)


@dataclasses.dataclass
class Sent:
    """One attempt of a caller.

    :param id: its ``Godwitloft-Request-Id``
    :param at_s: monotonic time at which its last byte was sent, in seconds
    :param answer: what came
    :param ended_s: monotonic time of the end, in seconds
    """

    id: str
    at_s: float
    answer: http1.Answer
    ended_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Call:
    """What a caller sends.

    :param path: path, which selects the route
    :param method: HTTP method
    :param body: the whole body
    :param deadline_ms: how long the caller waits
    :param key: API key, empty for none
    :param tokens: prompt and output tokens, None for no header
    :param bytes_per_s: rate at which the caller reads, 0 for no bound
    """

    path: str
    method: str = "POST"
    body: bytes = b""
    deadline_ms: int = 4_000
    key: str = ""
    tokens: tuple[int, int] | None = None
    bytes_per_s: int = 0


def connect(address: tuple[str, int], slow: bool) -> socket.socket:
    """Opens a connection.

    :param address: host and port
    :param slow: whether the window and the segments are as small as on a
        usual network, and not as on a loopback interface
    """
    channel = socket.socket()
    if slow:
        channel.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1_448)
    channel.settimeout(1)
    channel.connect(address)
    channel.setblocking(False)
    return channel


async def send(address: tuple[str, int], call: Call) -> Sent:
    """Sends one request on a channel of its own and reads the answer.

    :param address: host and port of a gateway
    :param call: the request
    :return: what was sent and what came
    """
    name = f"{next(NUMBERS):016x}"
    sent = Sent(name, time.monotonic(), http1.Answer())
    headers = {
        "Host": HOST,
        "Godwitloft-Request-Id": name,
        "Godwitloft-Deadline-Ms": str(call.deadline_ms),
        "Content-Length": str(len(call.body)),
    }
    if call.key:
        headers["Authorization"] = f"Token {call.key}"
    if call.tokens is not None:
        prompt, output = call.tokens
        headers["Godwitloft-Token-Counts"] = f"{prompt},{output}"
        headers["Godwitloft-Model"] = "m"
        headers["Godwitloft-Prompt-Prefix"] = f"{name}:{call.tokens[0]}"
    limit = 8_192 if call.bytes_per_s else 65_536
    try:
        reader, writer = await asyncio.open_connection(
            sock=connect(address, bool(call.bytes_per_s)), limit=limit
        )
    except OSError:
        sent.ended_s = time.monotonic()
        return sent
    try:
        first = f"{call.method} {call.path} HTTP/1.1"
        writer.write(http1.head_bytes(first, headers) + call.body)
        await writer.drain()
        sent.at_s = time.monotonic()
        reading = http1.Reader(reader, sent.answer, call.bytes_per_s).read()
        await asyncio.wait_for(reading, call.deadline_ms / 1000)
    except (TimeoutError, OSError):
        pass
    finally:
        sent.ended_s = time.monotonic()
        writer.close()
    return sent


def route(
    name: str, kind: str, service: str, **more: typing.Any
) -> dict[str, typing.Any]:
    """Returns a route; its prefix is its name.

    :param name: name of the route
    :param kind: as PROTOCOL.md names it
    :param service: name of its service
    :param more: fields that replace the usual ones
    """
    usual = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 4_000,
        "target-latency-ms": 400,
        "priority": 0,
        "service": service,
        "max-attempts": 1,
        "public": False,
        "session-affinity": False,
        "resumable": False,
        "gap-aim-ms": 300,
    }
    return usual | more


def config(
    version: int,
    routes: list[dict[str, typing.Any]],
    services: list[dict[str, typing.Any]],
    tenants: list[dict[str, typing.Any]],
) -> dict[str, typing.Any]:
    """Returns the operator's config, with the limits of the sites.

    :param version: its version
    :param routes: all routes
    :param services: all services
    :param tenants: all tenants
    """
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": tenants,
    }


def plain_service(name: str) -> dict[str, typing.Any]:
    """Returns a plain service.

    :param name: its name
    """
    return {
        "name": name,
        "health-path": "/health",
        "max-connections": 100,
        "protocol": "h1",
        "tls": False,
    }


def engine_service(name: str) -> dict[str, typing.Any]:
    """Returns a service of model engines.

    :param name: its name
    """
    engine = {
        "slots": 11,
        "kv-capacity-tokens": 521_614,
        "kv-token-bytes": 18_432,
        "link-mbps": 130_000.0,
        "models": [{"name": "m"}],
    }
    return plain_service(name) | {"engine": engine}


def tenant(
    name: str, key: str, rate_per_s: int = 1_000_000
) -> dict[str, typing.Any]:
    """Returns a tenant.

    :param name: its name
    :param key: its key
    :param rate_per_s: its allowance; its burst is the same
    """
    return {
        "name": name,
        "api-keys": [key],
        "priority": 1,
        "unit": "tokens",
        "plain-tokens": 200,
        "rate-per-s": rate_per_s,
        "burst": rate_per_s,
    }
