"""Decodes the rows that operators and upstreams write.

Other processes write these rows, so they may hold anything. An invalid row
raises :class:`RowError`, which names the wrong field, and leaves what is in
force unchanged.
"""

import base64
import binascii
import typing

from godwitloft import decode
from godwitloft import errors
from godwitloft.gateway import model
from godwitloft.platform import settings

# The platform's names for the kinds of requests.
KINDS: typing.Final = {
    "idempotent": model.Kind.IDEMPOTENT,
    "non_idempotent": model.Kind.NON_IDEMPOTENT,
    "streaming": model.Kind.STREAM,
}
STATES: typing.Final = {"ready": False, "draining": True}
DEFAULT_RANK = 1_000
DEFAULT_TIMEOUT_MS = 60_000
DEFAULT_TARGET_MS = 1_000
# The largest whole number that all readers of JSON read alike (RFC 8259).
MAX_NUMBER = 2**53 - 1
MAX_SLOTS = 1_000_000
# An engine runs and queues no more requests.
MAX_REQUESTS = 1_000_000


class RowError(errors.GodwitloftError):
    """A row is invalid.

    :param row: table and key of the row
    :param field: dotted name of the wrong field, empty for the whole row
    :param reason: what is wrong with it
    """

    def __init__(self, row: str, field: str, reason: str) -> None:
        self.row = row
        self.field = field
        self.reason = reason
        super().__init__(f"row {row}: field {field!r}: {reason}")


class Fields:
    """Typed access to the fields of one JSON object.

    :param row: table and key of the row, for error messages
    :param path: dotted name of the object in the row, empty for the whole row
    :param value: the decoded JSON
    :raises RowError: if it isn't an object
    """

    def __init__(self, row: str, path: str, value: object) -> None:
        self.row = row
        self.path = path
        if not isinstance(value, dict):
            raise RowError(row, path, f"{value!r:.80} is not an object")
        self.value: dict[str, typing.Any] = value

    def error(self, name: str, reason: str) -> RowError:
        """Returns an error about a field, for the caller to raise.

        :param name: name of the field
        :param reason: what is wrong with it
        :return: the error
        """
        path = f"{self.path}.{name}" if self.path else name
        return RowError(self.row, path, reason)

    def text(self, name: str) -> str:
        """Returns a required, non-empty string.

        :param name: name of the field
        :return: its value
        :raises RowError: if it is missing or anything else
        """
        value = self.value.get(name)
        if not isinstance(value, str) or not value:
            raise self.error(name, f"{value!r:.80} is not a string")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Returns a number from 0 to :data:`MAX_NUMBER`.

        :param name: name of the field
        :param default: value if the field is missing; None: it is required
        :return: its value
        :raises RowError: if it is anything else
        """
        value = self.value.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.error(name, f"{value!r:.80} is not a number")
        if not 0 <= value <= MAX_NUMBER:
            raise self.error(name, f"{value!r:.80} is out of range")
        return value

    def whole(
        self, name: str, most: int = MAX_NUMBER, default: int | None = None
    ) -> int:
        """Returns a whole number that isn't negative.

        :param name: name of the field
        :param most: the largest number that is accepted
        :param default: value if the field is missing; None: it is required
        :return: its value
        :raises RowError: if it is anything else
        """
        value = self.number(name, default)
        if value != int(value) or value > most:
            reason = f"{value!r:.80} is not a whole number up to {most}"
            raise self.error(name, reason)
        return int(value)

    def flag(self, name: str) -> bool:
        """Returns a boolean, False if the field is missing.

        :param name: name of the field
        :return: its value
        :raises RowError: if it is anything else
        """
        value = self.value.get(name, False)
        if not isinstance(value, bool):
            raise self.error(name, f"{value!r:.80} is not true or false")
        return value

    def items(self, name: str) -> list[typing.Any]:
        """Returns a list, an empty one if the field is missing.

        :param name: name of the field
        :return: its value
        :raises RowError: if it is anything else
        """
        value = self.value.get(name, [])
        if not isinstance(value, list):
            raise self.error(name, f"{value!r:.80} is not a list")
        return value

    def numbers(self, name: str) -> tuple[float, ...]:
        """Returns a list of numbers, an empty one if the field is missing.

        :param name: name of the field
        :return: its value
        :raises RowError: if an entry isn't a finite number or is negative
        """
        values = {
            str(index): value for index, value in enumerate(self.items(name))
        }
        path = f"{self.path}.{name}" if self.path else name
        entries = Fields(self.row, path, values)
        return tuple(entries.number(index) for index in values)

    def objects(self, name: str) -> "list[Fields]":
        """Returns a list of objects, an empty one if the field is missing.

        :param name: name of the field
        :return: the objects
        :raises RowError: if an entry isn't an object
        """
        path = f"{self.path}.{name}" if self.path else name
        return [
            Fields(self.row, f"{path}[{index}]", value)
            for index, value in enumerate(self.items(name))
        ]


def decode_content(row: str, value: object) -> Fields:
    """Decodes the value of a row.

    :param row: table and key, for error messages
    :param value: JSON in base64
    :return: the JSON object
    :raises RowError: if it is invalid
    """
    if not isinstance(value, str):
        raise RowError(row, "", "has no value")
    try:
        decoded = decode.load_json(base64.b64decode(value, validate=True))
    except (binascii.Error, ValueError) as error:
        raise RowError(row, "", f"is not JSON: {error}") from error
    return Fields(row, "", decoded)


def decode_configuration(row: str, value: object) -> model.Configuration:
    """Decodes the row that holds the operators' configuration.

    :param row: table and key, for error messages
    :param value: JSON in base64
    :return: the configuration
    :raises RowError: if it is invalid
    """
    fields = decode_content(row, value)
    limits = Fields(row, "limits", fields.value.get("limits", {}))
    services = [decode_service(entry) for entry in fields.objects("services")]
    return model.Configuration(
        version=int(fields.number("version")),
        routes=tuple(
            decode_route(entry) for entry in fields.objects("routes")
        ),
        services={service.name: service for service in services},
        teams=tuple(decode_team(entry) for entry in fields.objects("tenants")),
        limits=model.CallerLimits(
            header_bytes=int(limits.number("max-header-bytes", 16_384)),
            body_bytes=int(limits.number("max-body-bytes", 4_194_304)),
            header_timeout_ms=int(limits.number("header-timeout-ms", 3_000)),
            idle_timeout_ms=int(limits.number("idle-timeout-ms", 15_000)),
        ),
    )


def decode_route(fields: Fields) -> model.Route:
    """Decodes one route.

    :param fields: its JSON object
    :return: the route
    :raises RowError: if it is invalid
    """
    kind = fields.value.get("kind")
    if kind not in KINDS:
        raise fields.error("kind", f"{kind!r:.80} is not a known kind")
    targets = tuple(
        model.Target(entry.text("service"), entry.number("weight"))
        for entry in fields.objects("split")
    )
    if not sum(target.weight for target in targets):
        targets = (model.Target(fields.text("service"), 1.0),)
    timeout_ms = fields.number("timeout-ms", DEFAULT_TIMEOUT_MS)
    return model.Route(
        name=fields.text("name"),
        host=fields.text("host").lower(),
        prefix=fields.text("prefix"),
        kind=KINDS[kind],
        targets=targets,
        rank=int(fields.number("priority", DEFAULT_RANK)),
        timeout_ms=int(timeout_ms),
        target_ms=int(fields.number("target-latency-ms", DEFAULT_TARGET_MS)),
        max_attempts=int(fields.number("max-attempts", 1)),
        public=fields.flag("public"),
        resumable=fields.flag("resumable"),
        max_gap_ms=int(fields.number("gap-aim-ms", 0)),
    )


def decode_service(fields: Fields) -> model.Service:
    """Decodes one service.

    :param fields: its JSON object
    :return: the service
    :raises RowError: if it is invalid
    """
    engine = fields.value.get("engine")
    tokens = 0
    if isinstance(engine, dict):
        engine_fields = Fields(fields.row, f"{fields.path}.engine", engine)
        tokens = int(engine_fields.number("kv-capacity-tokens", 0))
    return model.Service(
        name=fields.text("name"),
        max_connections=int(fields.number("max-connections", 0)),
        is_engine=isinstance(engine, dict),
        memory_tokens=tokens,
    )


def decode_team(fields: Fields) -> model.Team:
    """Decodes one team.

    :param fields: its JSON object
    :return: the team
    :raises RowError: if it is invalid
    """
    keys = fields.items("api-keys")
    if not all(isinstance(key, str) for key in keys):
        raise fields.error("api-keys", "has entries that are not strings")
    rank = fields.value.get("priority")
    return model.Team(
        name=fields.text("name"),
        keys=tuple(keys),
        rank=None if rank is None else int(fields.number("priority")),
        tokens_per_s=fields.number("rate-per-s", 0),
        burst_tokens=fields.number("burst", 0),
        default_tokens=int(fields.number("plain-tokens", 0)),
        counts_tokens=fields.value.get("unit") == "tokens",
    )


def decode_upstream(key: str, row: str, value: object) -> model.Upstream:
    """Decodes the row that an upstream writes about itself.

    :param key: key of the row, which is the upstream's id
    :param row: table and key, for error messages
    :param value: JSON in base64
    :return: the upstream
    :raises RowError: if it is invalid
    """
    if not key or not key.isascii() or not key.isprintable():
        raise RowError(row, "", "its key can't be sent in a header")
    fields = decode_content(row, value)
    address = settings.parse_address(fields.value.get("address"))
    if address is None:
        raise fields.error("address", "is not IP:PORT")
    state = fields.value.get("state")
    if state not in STATES:
        raise fields.error("state", f"{state!r:.80} is not a known state")
    return model.Upstream(
        id=key,
        service=fields.text("service"),
        host=address.host,
        port=address.port,
        zone=fields.text("zone"),
        slots=max(1, fields.whole("slots", MAX_SLOTS)),
        leaving=STATES[state],
        born_ms=fields.whole("born", default=0),
        version=fields.text("version"),
    )
