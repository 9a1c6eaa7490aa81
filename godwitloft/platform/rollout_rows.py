"""Decodes and encodes the rows of roll-outs.

Operators write their orders by hand, so that each of their fields may hold
anything.
"""

import base64
import json
import math
import typing

from godwitloft.platform import json_fields
from godwitloft.platform import rows
from godwitloft.rollouts import types

# Keys of orders and of statuses begin with it and end with the service.
KEY_PREFIX = "rollout/"
MS_PER_S = 1000
# A longer time can't be told in a datagram or added to a time of the store.
MAX_DURATION_MS = 2**52
PHASES: typing.Final = {phase.value: phase for phase in types.Phase}
STATES: typing.Final = {
    types.Phase.JUDGING: "running",
    types.Phase.MOVING: "running",
    types.Phase.COMPLETED: "completed",
    types.Phase.ROLLED_BACK: "rolled_back",
}


def service_of(key: str) -> str | None:
    """Returns the service that an order or a status is about.

    :param key: key of a row
    :return: name of the service, None for other rows
    """
    if not key.startswith(KEY_PREFIX):
        return None
    return key.removeprefix(KEY_PREFIX)


def decode_order(
    service: str, version: int, row: str, value: object
) -> types.Order:
    """Decodes an operator's order.

    :param service: name of the service by the row's key
    :param version: version of the row
    :param row: table and key, for error messages
    :param value: JSON in base64
    :return: the order
    :raises RowError: if it is invalid
    """
    fields = rows.decode_content(row, value)
    name = fields.text("service")
    if name != service:
        raise fields.wrong("service", name, "differs from the row's key")
    target = fields.text("to")
    duration_s = fields.number("duration-s")
    if not duration_s:
        raise fields.wrong("duration-s", duration_s, "is not above 0")
    duration_ms = math.ceil(duration_s * MS_PER_S)
    return types.Order(
        service, target, min(duration_ms, MAX_DURATION_MS), version
    )


def check_order(
    order: types.Order,
    row: str,
    services: typing.Container[str],
    versions: typing.Collection[str],
) -> None:
    """Checks an order against the services and their upstreams.

    :param order: an order for which no roll-out has begun
    :param row: table and key, for error messages
    :param services: names of all services
    :param versions: of the upstreams of the order's service
    :raises RowError: if the order can't be carried out
    """
    if order.service not in services:
        reason = f"{order.service!r} is not a service"
        raise json_fields.RowError(row, "service", reason)
    if versions and all(version == order.to for version in versions):
        reason = f"all upstreams have version {order.to!r} already"
        raise json_fields.RowError(row, "to", reason)


def decode_rollout(service: str, row: str, value: object) -> types.Rollout:
    """Decodes a saved roll-out.

    :param service: key of the row
    :param row: table and key, for error messages
    :param value: JSON in base64
    :return: the roll-out
    :raises RowError: if it is invalid
    """
    fields = rows.decode_content(row, value)
    return types.Rollout(
        service=service,
        order_version=fields.whole("order"),
        to=fields.text("to"),
        former=fields.texts("from"),
        phase=fields.choice("phase", PHASES),
        started_ms=fields.whole("started_ms"),
        duration_ms=fields.whole("duration_ms"),
        reason=optional_text(fields, "reason"),
        bad_answers=fields.whole("bad", default=0),
        decider=optional_text(fields, "decider"),
        unused=fields.texts("unused"),
    )


def optional_text(fields: json_fields.Fields, name: str) -> str:
    """Returns a string that operators read and nothing depends on.

    :param fields: JSON object of a row
    :param name: name of the field
    :return: its value, empty if it is missing
    :raises RowError: if it is anything else
    """
    value = fields.value.get(name, "")
    if not isinstance(value, str):
        raise fields.wrong(name, value, "is not a string")
    return value


def encode_rollout(rollout: types.Rollout) -> str:
    """Encodes a roll-out.

    :param rollout: the roll-out
    :return: JSON in base64
    """
    return encode(
        {
            "order": rollout.order_version,
            "to": rollout.to,
            "from": list(rollout.former),
            "phase": rollout.phase.value,
            "started_ms": rollout.started_ms,
            "duration_ms": rollout.duration_ms,
            "reason": rollout.reason,
            "bad": rollout.bad_answers,
            "decider": rollout.decider,
            "unused": list(rollout.unused),
        }
    )


def encode_status(rollout: types.Rollout | None, error: str = "") -> str:
    """Encodes what operators are told of a service.

    :param rollout: the roll-out that is in force, None for none
    :param error: what is wrong with the order, empty for nothing
    :return: JSON in base64
    """
    content: dict[str, object] = {}
    if rollout is not None:
        content = {"state": STATES[rollout.phase], "to": rollout.to}
    if error:
        content["error"] = error
    return encode(content)


def encode(content: object) -> str:
    """Encodes a row's value.

    :param content: a value that JSON can represent
    :return: JSON in base64
    """
    return base64.b64encode(json.dumps(content).encode()).decode()
