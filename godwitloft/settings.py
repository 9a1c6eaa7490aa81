"""Settings of the daemons, loaded from a JSON file.

Defaults are defined in :mod:`godwitloft.defaults`. An unknown key or an
invalid value is refused with the file, the key and the reason. The reference
page docs/SETTINGS.md is generated from the docstrings below.
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
    """A settings file can't be read or holds an invalid value.

    :param file: name of the file
    :param key: dotted path of the key, empty for the whole file
    :param reason: what is wrong
    """

    def __init__(self, file: str, key: str, reason: str) -> None:
        self.file = file
        self.key = key
        self.reason = reason
        location = f"{file}: key {key!r}" if key else file
        super().__init__(f"{location}: {reason}")


class Role(enum.Enum):
    """Role of an operator; each role includes the permissions before it."""

    VIEWER = "viewer"
    PUBLISHER = "publisher"
    OPERATOR = "operator"


class PlatformKind(enum.Enum):
    """Which adapter connects to the platform."""

    MEMORY = "memory"
    HTTP = "http"


class PeerRole(enum.Enum):
    """Role of a peer."""

    ENTRY = "entry"
    AGENT = "agent"


class LogLevel(enum.Enum):
    """Minimum level of written log lines."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogStyle(enum.Enum):
    """Format of log lines."""

    JSON = "json"
    TEXT = "text"


class TraceStream(enum.Enum):
    """Stream that the trace is written to."""

    NONE = ""
    STDOUT = "stdout"
    STDERR = "stderr"


@dataclasses.dataclass(frozen=True)
class Listen:
    """Address and port on which a process accepts connections.

    :param address: IP address
    :param port: TCP port; 0: any free port, which is logged
    """

    address: str = defaults.LOOPBACK_ADDRESS
    port: int = dataclasses.field(
        default=defaults.ANY_FREE_PORT, metadata=PORT
    )


@dataclasses.dataclass(frozen=True)
class Token:
    """A bearer token of an operator.

    :param name: name of its holder; recorded with everything it publishes
    :param token_hash: SHA-256 of the token, hexadecimal
    :param role: ``viewer`` reads; ``publisher`` publishes and revises too;
        ``operator`` also drains instances
    """

    name: str = dataclasses.field(metadata=types.NAME)
    token_hash: str
    role: Role


@dataclasses.dataclass(frozen=True)
class Platform:
    """How to connect to the platform's services.

    :param kind: ``http``, or ``memory`` for a platform inside the process
        that is lost with it
    :param url: for ``http``: URL of the service, with an IP address
    :param timeout_ms: how long to wait for an answer; raise it if the
        platform is slow for long periods
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
    :param address: IP address
    :param port: TCP port for links
    :param availability_zone: availability zone it runs in
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
    """Files for mutual TLS on the links; all three are required.

    :param key_file: private key, PEM
    :param certificate_file: certificate of this instance, PEM
    :param authority_file: CA certificates for those of peers, PEM
    """

    key_file: str = dataclasses.field(metadata={"min": 1})
    certificate_file: str = dataclasses.field(metadata={"min": 1})
    authority_file: str = dataclasses.field(metadata={"min": 1})


@dataclasses.dataclass(frozen=True)
class Log:
    """Level and style of the log.

    :param level: ``debug``, ``info``, ``warning`` or ``error``
    :param style: ``json`` for one object per line, ``text`` for people
    """

    level: LogLevel = LogLevel(defaults.LOG_LEVEL)
    style: LogStyle = LogStyle(defaults.LOG_STYLE)


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits on what a process accepts and holds.

    :param header_bytes: size of all headers of one HTTP request
    :param body_bytes: size of the body of one HTTP request
    :param queue_requests: number of requests that wait in an entry
    :param queue_bytes: total body size of the requests that wait in an entry
    :param connections: number of open connections of callers
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
    """The upstream of an agent.

    :param name: unique in its pool
    :param url: URL of the upstream, with an IP address
    :param kind: ``model`` or ``plain``; the same as of its pool
    """

    name: str = dataclasses.field(metadata=types.NAME)
    url: str
    kind: types.ServiceKind = types.ServiceKind.MODEL


@dataclasses.dataclass(frozen=True, kw_only=True)
class CommonSettings:
    """Settings of every daemon.

    :param instance: unique name of this instance
    :param availability_zone: availability zone it runs in
    :param link_listen: address and port for links of other daemons
    :param platform: how to connect to the platform
    :param objects: files or directories of objects, used instead of a
        published configuration; only with a platform of kind ``memory``
    :param peers: peers to link to without the platform's instance list
    :param tls: files for mutual TLS on the links; null: plain TCP
    :param log: level and style of the log
    :param limits: limits on what it accepts and holds
    :param drain_limit_ms: how long it waits for requests in flight when it
        drains
    :param trace_stream: stream for the trace of requests: ``stdout``,
        ``stderr`` or empty for none
    :param metrics_listen: address and port for metrics and health; null:
        not served
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
    """Parts of an agent's policy that experiments can disable.

    :param tier_order: order requests by tier
    :param check_finish: skip requests that can't finish in time here
    :param learn_room: learn the concurrency limit from token times, instead
        of using the pool's limit alone
    :param look_ahead: start a lower tier's request with an earlier deadline
        first while the higher tiers still finish in time
    """

    tier_order: bool = True
    check_finish: bool = True
    learn_room: bool = True
    look_ahead: bool = True


@dataclasses.dataclass(frozen=True)
class EntryPolicy:
    """Parts of an entry's policy that experiments can disable.

    :param hold_off: hold a request briefly on agents without its prompt's
        prefix in the cache
    """

    hold_off: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntrySettings(CommonSettings):
    """Settings of ``godwitloft-entry``, besides the common ones.

    :param caller_listen: address and port for callers
    :param operator_listen: address and port for operators; null: not served
    :param operator_tokens: bearer tokens of operators
    :param policy: parts of the policy; all are enabled by default
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
    :param upstream: the upstream that it serves
    :param policy: parts of the policy; all are enabled by default
    """

    pool: str = dataclasses.field(metadata=types.NAME)
    upstream: Upstream
    policy: AgentPolicy = AgentPolicy()


Settings = typing.TypeVar("Settings", bound=CommonSettings)


def load(path: str, kind: type[Settings]) -> Settings:
    """Reads settings from a file.

    :param path: name of a JSON file
    :param kind: :class:`EntrySettings` or :class:`AgentSettings`
    :return: the validated settings
    :raises SettingsError: with the file, the key and the reason
    """
    try:
        with pathlib.Path(path).open("rb") as stream:
            content = stream.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        reason = error.strerror or str(error)
        raise SettingsError(path, "", reason) from error
    return parse(content, kind, path)


def parse(content: bytes, kind: type[Settings], file: str) -> Settings:
    """Decodes and validates the content of a settings file.

    :param content: JSON in UTF-8
    :param kind: :class:`EntrySettings` or :class:`AgentSettings`
    :param file: name of the file, for the error
    :return: the validated settings
    :raises SettingsError: with the file, the key and the reason
    """
    try:
        value = decode.parse_json(content, file, MAX_FILE_BYTES)
        settings = decode.decode(kind, value, file)
    except decode.DecodeError as error:
        raise SettingsError(file, error.key, error.reason) from error
    for key, reason in _find_invalid(settings):
        raise SettingsError(file, key, reason)
    return typing.cast(Settings, settings)


InvalidKeys = typing.Iterator[tuple[str, str]]


def _find_invalid(settings: CommonSettings) -> InvalidKeys:
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


def _check_address(key: str, address: str) -> InvalidKeys:
    try:
        ipaddress.ip_address(address)
    except ValueError:
        yield f"{key}.address", f"{decode.show(address)} is not an IP address"


def _check_url(key: str, url: str) -> InvalidKeys:
    shown = decode.show(url)
    try:
        parts = urllib.parse.urlsplit(url)
        ipaddress.ip_address(parts.hostname or "")
        port = parts.port
    except ValueError:
        yield key, f"{shown} is not a URL with an IP address"
        return
    if parts.scheme not in ("http", "https"):
        yield key, f"{shown} starts with neither http:// nor https://"
    if port == 0:
        yield key, f"{shown} has no usable port"
    if parts.username or parts.query or parts.fragment:
        yield key, f"{shown} may contain only an address, a port and a path"


def _check_platform(platform: Platform) -> InvalidKeys:
    if platform.kind is PlatformKind.HTTP:
        yield from _check_url("platform.url", platform.url)
    elif platform.url:
        yield "platform.url", "is only for a platform of kind 'http'"


def _check_peers(peers: tuple[Peer, ...]) -> InvalidKeys:
    seen = set()
    for index, peer in enumerate(peers):
        key = f"peers[{index}]"
        yield from _check_address(key, peer.address)
        if peer.instance in seen:
            yield f"{key}.instance", f"{peer.instance!r} is a duplicate"
        if peer.role is PeerRole.AGENT and not peer.pool:
            yield f"{key}.pool", "is missing; an agent has a pool"
        if peer.role is PeerRole.ENTRY and peer.pool:
            yield f"{key}.pool", "is set for an entry; only agents have one"
        seen.add(peer.instance)


def _check_entry(settings: EntrySettings) -> InvalidKeys:
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
            yield key, "is a duplicate"
        seen.add(token.token_hash)


def _check_agent(settings: AgentSettings) -> InvalidKeys:
    yield from _check_url("upstream.url", settings.upstream.url)
