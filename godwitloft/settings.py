"""Settings of the daemons, loaded from a JSON file.

Defaults stand in :mod:`godwitloft.defaults`. A key that isn't known or
doesn't fit is refused with the file, the key and the reason. The reference
page docs/SETTINGS.md is generated from the doc comments below.
"""

import dataclasses
import enum
import ipaddress
import pathlib
import re
import typing
import urllib.parse

from godwitloft import decode
from godwitloft import defaults
from godwitloft import errors
from godwitloft.objects import types

MAX_FILE_BYTES = 1024 * 1024
MAX_PEERS = 20_000
MAX_TOKENS = 1000

HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
PORT: typing.Mapping[str, int] = {"min": 0, "max": 65_535}
PEER_PORT: typing.Mapping[str, int] = {"min": 1, "max": 65_535}
BYTES: typing.Mapping[str, int] = {"min": 1024, "max": 2**40}
COUNT: typing.Mapping[str, int] = {"min": 1, "max": 10_000_000}


class SettingsError(errors.UserError):
    """A settings file can't be read or holds a wrong value.

    :param file: name of the file
    :param key: dotted path of the key, empty for the whole file
    :param reason: what is wrong
    """

    def __init__(self, file: str, key: str, reason: str) -> None:
        self.file = file
        self.key = key
        self.reason = reason
        place = f"{file}: key {key!r}" if key else file
        super().__init__(f"{place}: {reason}")


class Role(enum.Enum):
    """What an operator may do; each role may do all of those before it."""

    VIEWER = "viewer"
    PUBLISHER = "publisher"
    OPERATOR = "operator"


class PlatformKind(enum.Enum):
    """Which adapter reaches the platform."""

    MEMORY = "memory"
    HTTP = "http"


class PeerRole(enum.Enum):
    """What a peer is."""

    ENTRY = "entry"
    AGENT = "agent"


class LogLevel(enum.Enum):
    """The least important log line that is written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogStyle(enum.Enum):
    """How log lines look."""

    JSON = "json"
    TEXT = "text"


class TraceStream(enum.Enum):
    """Where the trace goes."""

    NONE = ""
    STDOUT = "stdout"
    STDERR = "stderr"


@dataclasses.dataclass(frozen=True)
class Listen:
    """Where a process accepts connections.

    :param address: IP number
    :param port: TCP port; 0: any free one, which the log tells
    """

    address: str = defaults.LOOPBACK_ADDRESS
    port: int = dataclasses.field(
        default=defaults.ANY_FREE_PORT, metadata=PORT
    )


@dataclasses.dataclass(frozen=True)
class Token:
    """A bearer token of an operator.

    :param name: who holds it; kept with all that it publishes
    :param token_hash: SHA-256 of the token, hexadecimal
    :param role: ``viewer`` reads; ``publisher`` publishes and revises too;
        ``operator`` also drains instances
    """

    name: str = dataclasses.field(metadata=types.NAME)
    token_hash: str
    role: Role


@dataclasses.dataclass(frozen=True)
class Platform:
    """How the platform's services are reached.

    :param kind: ``http``, or ``memory`` for a platform inside the process
        that is lost with it
    :param url: for ``http``: address of the service, with an IP number
    :param timeout_ms: how long to wait for an answer; raise it when the
        platform is slow for long stretches
    """

    kind: PlatformKind = PlatformKind.MEMORY
    url: str = ""
    timeout_ms: int = dataclasses.field(
        default=2000, metadata={"min": 100, "max": 60_000}
    )


@dataclasses.dataclass(frozen=True)
class Peer:
    """A peer to link to without the platform's instance list.

    :param instance: unique name of the instance
    :param role: ``entry`` or ``agent``
    :param address: IP number
    :param port: TCP port of its links
    :param availability_zone: where it is
    :param pool: for agents: the pool of their upstream
    """

    instance: str = dataclasses.field(metadata=types.NAME)
    role: PeerRole
    address: str
    port: int = dataclasses.field(metadata=PEER_PORT)
    availability_zone: str = dataclasses.field(metadata=types.NAME)
    pool: str = dataclasses.field(
        default="", metadata={"max": types.MAX_NAME_LENGTH}
    )


@dataclasses.dataclass(frozen=True)
class Tls:
    """Files for mutual TLS on the links; all three are needed.

    :param key_file: private key, PEM
    :param certificate_file: certificate of this instance, PEM
    :param authority_file: certificates that sign those of peers, PEM
    """

    key_file: str = dataclasses.field(metadata={"min": 1})
    certificate_file: str = dataclasses.field(metadata={"min": 1})
    authority_file: str = dataclasses.field(metadata={"min": 1})


@dataclasses.dataclass(frozen=True)
class Log:
    """What is logged and how.

    :param level: ``debug``, ``info``, ``warning`` or ``error``
    :param style: ``json`` for one object a line, ``text`` for people
    """

    level: LogLevel = LogLevel(defaults.LOG_LEVEL)
    style: LogStyle = LogStyle(defaults.LOG_STYLE)


@dataclasses.dataclass(frozen=True)
class Limits:
    """Bounds on what a process accepts and holds.

    :param header_bytes: all headers of one HTTP request
    :param body_bytes: the body of one HTTP request
    :param queue_requests: requests that wait in an entry
    :param queue_bytes: bodies of the requests that wait in an entry
    :param connections: open connections of callers
    """

    header_bytes: int = dataclasses.field(
        default=defaults.HEADER_BYTES, metadata=BYTES
    )
    body_bytes: int = dataclasses.field(
        default=defaults.BODY_BYTES, metadata=BYTES
    )
    queue_requests: int = dataclasses.field(
        default=defaults.QUEUE_REQUESTS, metadata=COUNT
    )
    queue_bytes: int = dataclasses.field(
        default=defaults.QUEUE_BYTES, metadata=BYTES
    )
    connections: int = dataclasses.field(
        default=defaults.CONNECTIONS, metadata=COUNT
    )


@dataclasses.dataclass(frozen=True)
class Upstream:
    """The upstream beside an agent.

    :param name: unique in its pool
    :param url: where it answers, with an IP number
    :param kind: ``model`` or ``plain``; the same as its pool's
    """

    name: str = dataclasses.field(metadata=types.NAME)
    url: str
    kind: types.ServiceKind = types.ServiceKind.MODEL


@dataclasses.dataclass(frozen=True, kw_only=True)
class CommonSettings:
    """What every daemon is told.

    :param instance: unique name of this instance
    :param availability_zone: where it is
    :param link_listen: where other daemons reach it
    :param platform: how the platform is reached
    :param objects: files or directories of objects in force at the start;
        only with a platform of kind ``memory``
    :param peers: peers to link to without the platform's instance list
    :param tls: files for mutual TLS on the links; null: plain TCP
    :param log: what is logged and how
    :param limits: bounds on what it accepts and holds
    :param drain_limit_ms: how long it waits, when it leaves, for requests
        in flight
    :param trace_stream: where the trace of requests goes: ``stdout``,
        ``stderr`` or empty for none
    :param metrics_listen: where its metrics and health are read; null:
        nowhere
    """

    instance: str = dataclasses.field(metadata=types.NAME)
    availability_zone: str = dataclasses.field(metadata=types.NAME)
    link_listen: Listen = Listen()
    platform: Platform = Platform()
    objects: tuple[str, ...] = ()
    peers: tuple[Peer, ...] = dataclasses.field(
        default=(), metadata={"max": MAX_PEERS}
    )
    tls: Tls | None = None
    log: Log = Log()
    limits: Limits = Limits()
    drain_limit_ms: int = dataclasses.field(
        default=defaults.DRAIN_LIMIT_MS, metadata=types.DURATION_MS
    )
    trace_stream: TraceStream = TraceStream.NONE
    metrics_listen: Listen | None = None


@dataclasses.dataclass(frozen=True)
class AgentPolicy:
    """Parts of an agent's policy that experiments switch off.

    :param tier_order: look at a request's tier at all
    :param check_finish: leave out what can't end in time here
    :param learn_room: learn how much may run from token times, in place of
        the pool's bound alone
    :param look_ahead: let a lower tier's request that is due sooner go
        first while the higher tiers have time to spare
    """

    tier_order: bool = True
    check_finish: bool = True
    learn_room: bool = True
    look_ahead: bool = True


@dataclasses.dataclass(frozen=True)
class EntryPolicy:
    """Parts of an entry's policy that experiments switch off.

    :param hold_off: let agents without a prompt's prefix wait a little
    """

    hold_off: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntrySettings(CommonSettings):
    """Settings of ``godwitloft-entry``, besides the common ones.

    :param caller_listen: where callers reach it
    :param operator_listen: where operators reach it; null: nowhere
    :param operator_tokens: bearer tokens of operators
    :param policy: parts of the policy, all on unless an experiment says so
    """

    caller_listen: Listen = Listen()
    operator_listen: Listen | None = None
    operator_tokens: tuple[Token, ...] = dataclasses.field(
        default=(), metadata={"max": MAX_TOKENS}
    )
    policy: EntryPolicy = EntryPolicy()


@dataclasses.dataclass(frozen=True, kw_only=True)
class AgentSettings(CommonSettings):
    """Settings of ``godwitloft-agent``, besides the common ones.

    :param pool: name of the pool that its upstream belongs to
    :param upstream: the upstream beside it
    :param policy: parts of the policy, all on unless an experiment says so
    """

    pool: str = dataclasses.field(metadata=types.NAME)
    upstream: Upstream
    policy: AgentPolicy = AgentPolicy()


Settings = typing.TypeVar("Settings", bound=CommonSettings)


def load(path: str, kind: type[Settings]) -> Settings:
    """Reads settings from a file.

    :param path: name of a JSON file
    :param kind: :class:`EntrySettings` or :class:`AgentSettings`
    :return: the settings, checked
    :raises SettingsError: naming the file, the key and the reason
    """
    try:
        with pathlib.Path(path).open("rb") as stream:
            content = stream.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        reason = error.strerror or str(error)
        raise SettingsError(path, "", reason) from error
    return parse(content, kind, path)


def parse(content: bytes, kind: type[Settings], file: str) -> Settings:
    """Decodes and checks the text of a settings file.

    :param content: JSON in UTF-8
    :param kind: :class:`EntrySettings` or :class:`AgentSettings`
    :param file: name of the file, for the error
    :return: the settings, checked
    :raises SettingsError: naming the file, the key and the reason
    """
    try:
        value = decode.parse_json(content, file, MAX_FILE_BYTES)
        settings = decode.decode(kind, value, file)
    except decode.DecodeError as error:
        raise SettingsError(file, error.key, error.reason) from error
    for key, reason in _find_mistakes(settings):
        raise SettingsError(file, key, reason)
    return typing.cast(Settings, settings)


Mistakes = typing.Iterator[tuple[str, str]]


def _find_mistakes(settings: CommonSettings) -> Mistakes:
    yield from _check_address("link_listen", settings.link_listen.address)
    yield from _check_platform(settings.platform)
    yield from _check_peers(settings.peers)
    if settings.metrics_listen is not None:
        yield from _check_address(
            "metrics_listen", settings.metrics_listen.address
        )
    if settings.objects and settings.platform.kind is PlatformKind.HTTP:
        yield "objects", "is only for a platform of kind 'memory'"
    if isinstance(settings, EntrySettings):
        yield from _check_entry(settings)
    if isinstance(settings, AgentSettings):
        yield from _check_agent(settings)


def _check_address(key: str, address: str) -> Mistakes:
    try:
        ipaddress.ip_address(address)
    except ValueError:
        yield f"{key}.address", f"{decode.show(address)} is no IP number"


def _check_url(key: str, url: str) -> Mistakes:
    shown = decode.show(url)
    try:
        parts = urllib.parse.urlsplit(url)
        ipaddress.ip_address(parts.hostname or "")
        port = parts.port
    except ValueError:
        yield key, f"{shown} is no URL with an IP number"
        return
    if parts.scheme not in ("http", "https"):
        yield key, f"{shown} begins neither with http:// nor https://"
    if port == 0:
        yield key, f"{shown} has no usable port"
    if parts.username or parts.query or parts.fragment:
        yield key, f"{shown} may hold only an address, a port and a path"


def _check_platform(platform: Platform) -> Mistakes:
    if platform.kind is PlatformKind.HTTP:
        yield from _check_url("platform.url", platform.url)
    elif platform.url:
        yield "platform.url", "is only for a platform of kind 'http'"


def _check_peers(peers: tuple[Peer, ...]) -> Mistakes:
    seen = set()
    for index, peer in enumerate(peers):
        key = f"peers[{index}]"
        yield from _check_address(key, peer.address)
        if peer.instance in seen:
            yield f"{key}.instance", f"{peer.instance!r} stands there twice"
        if peer.role is PeerRole.AGENT and not peer.pool:
            yield f"{key}.pool", "is missing; an agent has a pool"
        if peer.role is PeerRole.ENTRY and peer.pool:
            yield f"{key}.pool", "stands on an entry; only agents have one"
        seen.add(peer.instance)


def _check_entry(settings: EntrySettings) -> Mistakes:
    yield from _check_address("caller_listen", settings.caller_listen.address)
    if settings.operator_listen is not None:
        yield from _check_address(
            "operator_listen", settings.operator_listen.address
        )
    seen = set()
    for index, token in enumerate(settings.operator_tokens):
        key = f"operator_tokens[{index}].token_hash"
        if not HASH_PATTERN.fullmatch(token.token_hash):
            yield key, "is not 64 lower-case hexadecimal digits"
        if token.token_hash in seen:
            yield key, "stands there twice"
        seen.add(token.token_hash)


def _check_agent(settings: AgentSettings) -> Mistakes:
    yield from _check_url("upstream.url", settings.upstream.url)
