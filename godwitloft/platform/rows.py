"""Decodes the rows that operators and upstreams write.

Other processes write these rows, so they may hold anything. An invalid row
raises :class:`json_fields.RowError`, which names the wrong field, and leaves
what is in force unchanged.
"""

import base64
import binascii
import typing

from godwitloft import decode
from godwitloft.gateway import model
from godwitloft.platform import json_fields
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
MAX_SLOTS = 1_000_000
# An engine runs and queues no more requests.
MAX_REQUESTS = 1_000_000


def decode_content(row: str, value: object) -> json_fields.Fields:
    """Decodes the value of a row.

    :param row: table and key, for error messages
    :param value: JSON in base64
    :return: the JSON object
    :raises RowError: if it is invalid
    """
    if not isinstance(value, str):
        raise json_fields.RowError(row, "", "has no value")
    try:
        decoded = decode.load_json(base64.b64decode(value, validate=True))
    except (binascii.Error, ValueError) as error:
        raise json_fields.RowError(row, "", f"is not JSON: {error}") from error
    return json_fields.Fields(row, "", decoded)


def decode_configuration(row: str, value: object) -> model.Configuration:
    """Decodes the row that holds the operators' configuration.

    :param row: table and key, for error messages
    :param value: JSON in base64
    :return: the configuration
    :raises RowError: if it is invalid
    """
    fields = decode_content(row, value)
    limits = json_fields.Fields(row, "limits", fields.value.get("limits", {}))
    services = [decode_service(entry) for entry in fields.objects("services")]
    return model.Configuration(
        version=int(fields.number("version")),
        routes=tuple(
            decode_route(entry) for entry in fields.objects("routes")
        ),
        services={service.name: service for service in services},
        teams=tuple(decode_team(entry) for entry in fields.objects("tenants")),
        limits=decode_limits(limits),
    )


def decode_limits(fields: json_fields.Fields) -> model.CallerLimits:
    """Decodes the limits on callers.

    :param fields: their JSON object
    :return: the limits
    :raises RowError: if one is invalid
    """
    return model.CallerLimits(
        header_bytes=int(fields.number("max-header-bytes", 16_384)),
        body_bytes=int(fields.number("max-body-bytes", 4_194_304)),
        header_timeout_ms=int(fields.number("header-timeout-ms", 3_000)),
        idle_timeout_ms=int(fields.number("idle-timeout-ms", 15_000)),
    )


def decode_route(fields: json_fields.Fields) -> model.Route:
    """Decodes one route.

    :param fields: its JSON object
    :return: the route
    :raises RowError: if it is invalid
    """
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
        kind=fields.choice("kind", KINDS),
        targets=targets,
        rank=int(fields.number("priority", DEFAULT_RANK)),
        timeout_ms=int(timeout_ms),
        target_ms=int(fields.number("target-latency-ms", DEFAULT_TARGET_MS)),
        max_attempts=int(fields.number("max-attempts", 1)),
        public=fields.flag("public"),
        resumable=fields.flag("resumable"),
        max_gap_ms=int(fields.number("gap-aim-ms", 0)),
    )


def decode_service(fields: json_fields.Fields) -> model.Service:
    """Decodes one service.

    :param fields: its JSON object
    :return: the service
    :raises RowError: if it is invalid
    """
    engine = fields.value.get("engine")
    tokens = 0
    if engine is not None:
        engine_fields = json_fields.Fields(
            fields.row, f"{fields.path}.engine", engine
        )
        tokens = int(engine_fields.number("kv-capacity-tokens", 0))
    return model.Service(
        name=fields.text("name"),
        max_connections=int(fields.number("max-connections", 0)),
        is_engine=engine is not None,
        memory_tokens=tokens,
    )


def decode_team(fields: json_fields.Fields) -> model.Team:
    """Decodes one team.

    :param fields: its JSON object
    :return: the team
    :raises RowError: if it is invalid
    """
    rank = fields.value.get("priority")
    return model.Team(
        name=fields.text("name"),
        keys=fields.texts("api-keys"),
        rank=None if rank is None else int(fields.number("priority")),
        tokens_per_s=fields.number("rate-per-s", 0),
        burst_tokens=fields.number("burst", 0),
        default_tokens=int(fields.number("plain-tokens", 0)),
        counts_tokens=counts_tokens(fields),
    )


def counts_tokens(fields: json_fields.Fields) -> bool:
    """Returns whether an allowance counts tokens, and not requests.

    :param fields: JSON object of a team
    :return: False also for a unit that isn't known here
    :raises RowError: if the unit is no string
    """
    unit = fields.value.get("unit", "")
    if not isinstance(unit, str):
        raise fields.wrong("unit", unit, "is not a string")
    return unit == "tokens"


def decode_upstream(key: str, row: str, value: object) -> model.Upstream:
    """Decodes the row that an upstream writes about itself.

    :param key: key of the row, which is the upstream's id
    :param row: table and key, for error messages
    :param value: JSON in base64
    :return: the upstream
    :raises RowError: if it is invalid
    """
    if not key or not key.isascii() or not key.isprintable():
        raise json_fields.RowError(
            row, "", "its key can't be sent in a header"
        )
    fields = decode_content(row, value)
    address = settings.parse_address(fields.value.get("address"))
    if address is None:
        raise fields.error("address", "is not IP:PORT")
    is_leaving = fields.choice("state", STATES)
    return model.Upstream(
        id=key,
        service=fields.text("service"),
        host=address.host,
        port=address.port,
        zone=fields.text("zone"),
        slots=max(1, fields.whole("slots", MAX_SLOTS)),
        leaving=is_leaving,
        born_ms=fields.whole("born", default=0),
        version=fields.text("version"),
    )
