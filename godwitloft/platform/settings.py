"""Reads the settings file that the platform writes for each process."""

import dataclasses
import ipaddress
import math
import os
import pathlib
import tomllib
import typing

from godwitloft import errors
from godwitloft import whole_number
from godwitloft.gateway import options
from godwitloft.gateway import retry_budget
from godwitloft.gateway.allowances import allowance

PATH_VARIABLE = "GODWITLOFT_BOOT"
MS_PER_S = 1000
MAX_PORT = 65_535
# How much sooner than required a revoked key must stop working.
KEY_PROOF_MARGIN_MS = 600
# How long before SIGKILL the shutdown must be finished.
SHUTDOWN_MARGIN_MS = 600
# Part of it that may be used to send what was answered.
FLUSH_LIMIT_MS = 400
# The balancer checks readiness once per second and stops sending requests
# after two failed checks.
BALANCER_NOTICE_MS = 2_600
# A request accepted up to this long after SIGTERM may still be unfinished at
# SIGKILL. A later one must not be, so none is accepted later.
MAX_ACCEPT_MS = 2_800
# What the list of contracts has where operators may order roll-outs.
ROLLOUT_CONTRACT = "rollout"
DEFAULT_MEMORY_MB = 128
BYTES_PER_MB = 1_000_000
# Of the memory of a process, for bodies of requests: while a request is being
# sent there are three copies of its body.
BODY_MEMORY_SHARE = 0.15
DEFAULT_HEARTBEAT_MS = 1_200
# A registration expires three heartbeats after it was renewed, and was renewed
# at most one heartbeat before the store went away, with some tolerance.
OUTAGE_HEARTBEATS = 1.5


class SettingsError(errors.UserError):
    """The settings file is invalid.

    :param path: path of the file
    :param field: dotted name of the wrong field, empty for the whole file
    :param reason: what is wrong
    """

    def __init__(self, path: str, field: str, reason: str) -> None:
        location = f"{path}: field {field!r}" if field else path
        super().__init__(f"{location}: {reason}")


@dataclasses.dataclass(frozen=True)
class Address:
    """The address of a TCP listener.

    :param host: IP address
    :param port: TCP port
    """

    host: str
    port: int


@dataclasses.dataclass(frozen=True)
class Boot:
    """The settings of one process.

    :param instance: name of the instance
    :param host: its IP address
    :param zone: its availability zone
    :param front: address for callers, None if callers don't connect
    :param ready: address for the balancer's readiness checks, None for none
    :param store: address of the platform's store
    :param upstream: address of the upstream on the same machine, None if
        there is none
    :param first_port: first of the ports for messages between instances
    :param heartbeat_ms: interval at which upstreams announce themselves
    :param options: options of the gateway
    """

    instance: str
    host: str
    zone: str
    front: Address | None
    ready: Address | None
    store: Address
    upstream: Address | None
    first_port: int
    heartbeat_ms: int
    options: options.Options


def load(path: str | None = None) -> Boot:
    """Reads and checks the settings file.

    :param path: path of the file, by default the one in the environment
        variable ``GODWITLOFT_BOOT``
    :return: the settings
    :raises SettingsError: if they are invalid; names the file and the field
    """
    path = path or os.environ.get(PATH_VARIABLE, "")
    if not path:
        raise SettingsError(PATH_VARIABLE, "", "is not set")
    try:
        content = tomllib.loads(pathlib.Path(path).read_text())
    except (OSError, ValueError) as error:
        raise SettingsError(path, "", str(error)) from error
    return decode(Reader(path, content))


class Reader:
    """Typed access to the fields of the settings file.

    :param path: path of the file, for error messages
    :param content: the parsed file
    """

    def __init__(self, path: str, content: dict[str, typing.Any]) -> None:
        self.path = path
        self.content = content

    def find(self, field: str) -> object:
        """Returns the value of a field.

        :param field: dotted name of the field
        :return: its value, None if it is missing
        """
        value: object = self.content
        for part in field.split("."):
            if not isinstance(value, dict):
                return None
            value = value.get(part)
        return value

    def text(self, field: str) -> str:
        """Returns a required, non-empty string.

        :param field: dotted name of the field
        :return: its value
        :raises SettingsError: if it is missing or anything else
        """
        value = self.find(field)
        if not isinstance(value, str) or not value:
            raise SettingsError(self.path, field, f"{value!r} is not a string")
        return value

    def number(self, field: str, default: float | None = None) -> float:
        """Returns a number that isn't negative.

        :param field: dotted name of the field
        :param default: value if the field is missing; None: it is required
        :return: its value
        :raises SettingsError: if it is anything else
        """
        value = self.find(field)
        if value is None and default is not None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise SettingsError(self.path, field, f"{value!r} is not a number")
        if value < 0:
            raise SettingsError(self.path, field, f"{value!r} is negative")
        # TOML has infinities and NaN.
        if not math.isfinite(value):
            raise SettingsError(self.path, field, f"{value!r} is not finite")
        return value

    def address(self, field: str) -> Address | None:
        """Returns an address.

        :param field: dotted name of the field
        :return: the address, None if the field is missing or empty
        :raises SettingsError: if it is anything else
        """
        value = self.find(field)
        if value in (None, ""):
            return None
        address = parse_address(value)
        if address is None:
            raise SettingsError(self.path, field, f"{value!r} is not IP:PORT")
        return address


def parse_address(value: object) -> Address | None:
    """Parses an address.

    :param value: text of the form ``IP:PORT``
    :return: the address, None if the value has another form
    """
    if not isinstance(value, str):
        return None
    host, _colon, port_text = value.rpartition(":")
    port = whole_number.parse(port_text, MAX_PORT)
    if not port:
        return None
    if not is_ip_number(host):
        return None
    return Address(host, port)


def is_ip_number(text: str) -> bool:
    """Returns whether a text is an IP number.

    :param text: any text
    """
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def decode(reader: Reader) -> Boot:
    """Translates the platform's fields to the settings of a process.

    :param reader: reads the settings file
    :return: the settings
    :raises SettingsError: if a field is missing or invalid
    """
    store = reader.address("platform.address")
    if store is None:
        raise SettingsError(reader.path, "platform.address", "is missing")
    ports = reader.find("internal-port-range")
    if not isinstance(ports, list) or not ports or type(ports[0]) is not int:
        raise SettingsError(
            reader.path, "internal-port-range", f"{ports!r} is not a range"
        )
    return Boot(
        instance=reader.text("node-name"),
        host=reader.text("ip"),
        zone=reader.text("zone"),
        front=reader.address("listen.front"),
        ready=reader.address("listen.ready"),
        store=store,
        upstream=reader.address("app"),
        first_port=ports[0],
        heartbeat_ms=decode_heartbeat(reader),
        options=decode_options(reader),
    )


def decode_heartbeat(reader: Reader) -> int:
    """Returns the interval at which upstreams renew their registrations.

    :param reader: reads the settings file
    :return: milliseconds
    :raises SettingsError: if it is no number
    """
    return int(reader.number("heartbeat-ms", DEFAULT_HEARTBEAT_MS))


def decode_max_held_bytes(reader: Reader) -> int:
    """Returns how many bytes of requests' bodies a process may hold.

    :param reader: reads the settings file
    :return: number of bytes
    :raises SettingsError: if the memory is no number
    """
    memory_mb = reader.number("limits.memory-mb", DEFAULT_MEMORY_MB)
    return int(BODY_MEMORY_SHARE * memory_mb * BYTES_PER_MB)


def decode_rollout_bounds(reader: Reader) -> options.RolloutBounds:
    """Translates the platform's bounds on roll-outs.

    :param reader: reads the settings file
    :return: the bounds; the platform leaves them out where no roll-outs are
        in use
    :raises SettingsError: if one of them is invalid
    """
    defaults = options.RolloutBounds()
    return options.RolloutBounds(
        exposure_share=reader.number(
            "bounds.exposure-share", defaults.exposure_share
        ),
        exposure_slack=int(
            reader.number("bounds.exposure-slack", defaults.exposure_slack)
        ),
        rollback_ms=int(
            reader.number("bounds.rollback-ms", defaults.rollback_ms)
        ),
    )


def has_rollouts(reader: Reader) -> bool:
    """Returns whether operators may order roll-outs.

    :param reader: reads the settings file
    :return: whether the platform says so
    """
    contracts = reader.find("contracts")
    return isinstance(contracts, list) and ROLLOUT_CONTRACT in contracts


def decode_options(reader: Reader) -> options.Options:
    """Translates the platform's bounds to the options of a gateway.

    :param reader: reads the settings file
    :return: the options
    :raises SettingsError: if a field is missing or invalid
    """
    key_proof_ms = 0
    if reader.find("bounds.strict-revocation") is True:
        revoke_ms = reader.number("bounds.revoke-ms")
        key_proof_ms = max(1, int(revoke_ms) - KEY_PROOF_MARGIN_MS)
    grace_ms = reader.number("bounds.grace-s", 8) * MS_PER_S
    drain_limit_ms = max(0, int(grace_ms) - SHUTDOWN_MARGIN_MS)
    return options.Options(
        instance=reader.text("node-name"),
        host=reader.text("ip"),
        zone=reader.text("zone"),
        key_proof_ms=key_proof_ms,
        drain_limit_ms=drain_limit_ms,
        flush_limit_ms=FLUSH_LIMIT_MS,
        balancer_notice_ms=min(BALANCER_NOTICE_MS, drain_limit_ms),
        last_accept_ms=int(min(MAX_ACCEPT_MS, grace_ms / 2)),
        retries=retry_budget.BudgetSettings(
            window_ms=int(
                reader.number("bounds.budget-window-s", 10) * MS_PER_S
            ),
            ratio=reader.number("bounds.retry-budget-ratio", 0.2),
            extra=reader.number("bounds.retry-budget-extra", 0),
        ),
        tolerance=allowance.Tolerance(
            window_ms=int(
                reader.number("bounds.quota-window-s", 8) * MS_PER_S
            ),
            share=reader.number("bounds.quota-overage", 0),
            tokens=reader.number("bounds.quota-slack", 0),
        ),
        max_held_bytes=decode_max_held_bytes(reader),
        store_outage_ms=int(decode_heartbeat(reader) * OUTAGE_HEARTBEATS),
        rollouts=decode_rollout_bounds(reader),
        has_rollouts=has_rollouts(reader),
    )
