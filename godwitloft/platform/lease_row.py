"""The row in which a gateway keeps its lease and what must outlive it."""

import base64
import dataclasses
import json

from godwitloft.gateway import part_crashes
from godwitloft.gateway import sharing
from godwitloft.platform import rows


@dataclasses.dataclass(frozen=True)
class LeaseRow:
    """The content of a gateway's row.

    :param host: its IP address
    :param renewed_ms: when it renewed its lease, on the store's clock, in
        milliseconds
    :param usage: its usage of the teams' allowances
    :param crashes: crashes of upstreams for which parts of prompts are blamed
    """

    host: str
    renewed_ms: int
    usage: sharing.Usage
    crashes: tuple[part_crashes.CrashReport, ...] = ()


def encode(row: LeaseRow) -> str:
    """Encodes a gateway's row.

    :param row: its content
    :return: JSON in base64
    """
    usage = {
        team: [round(tokens) for tokens in sums]
        for team, sums in row.usage.items()
        if sum(sums) >= 1
    }
    content = {
        "renewed_ms": row.renewed_ms,
        "host": row.host,
        "used": usage,
        "crashes": [dataclasses.asdict(crash) for crash in row.crashes],
    }
    return base64.b64encode(json.dumps(content).encode()).decode()


def decode(name: str, value: object) -> LeaseRow:
    """Decodes a gateway's row.

    :param name: table and key, for error messages
    :param value: JSON in base64
    :return: its content
    :raises RowError: if it is invalid
    """
    fields = rows.decode_content(name, value)
    usage = rows.Fields(name, "used", fields.value.get("used", {}))
    return LeaseRow(
        fields.text("host"),
        int(fields.number("renewed_ms")),
        {team: usage.numbers(team) for team in usage.value},
        tuple(decode_crash(entry) for entry in fields.objects("crashes")),
    )


def decode_crash(fields: rows.Fields) -> part_crashes.CrashReport:
    """Decodes a crash of an upstream.

    :param fields: its JSON object
    :return: the crash
    :raises RowError: if it is invalid
    """
    parts = fields.items("parts")
    if not all(isinstance(part, str) for part in parts):
        raise fields.error("parts", "has entries that are not strings")
    return part_crashes.CrashReport(
        fields.text("id"), int(fields.number("age_ms")), tuple(parts)
    )
