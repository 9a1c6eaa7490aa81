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
    :param blamed_parts: what it knows about the parts of prompts that are
        blamed for crashes
    """

    host: str
    renewed_ms: int
    usage: sharing.Usage
    blamed_parts: tuple[part_crashes.PartReport, ...] = ()


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
        "crashing_parts": {
            report.part: report.crash_ages_ms for report in row.blamed_parts
        },
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
        decode_blamed_parts(name, fields),
    )


def decode_blamed_parts(
    name: str, fields: rows.Fields
) -> tuple[part_crashes.PartReport, ...]:
    """Decodes what a gateway's row says about crashing parts of prompts.

    :param name: table and key, for error messages
    :param fields: the row
    :return: one report for each part
    :raises RowError: if it is invalid
    """
    path = "crashing_parts"
    parts = rows.Fields(name, path, fields.value.get(path, {}))
    reports = []
    for part, crashes in parts.value.items():
        ages = rows.Fields(name, f"{path}.{part}", crashes)
        reports.append(
            part_crashes.PartReport(
                part,
                {
                    upstream: int(ages.number(upstream))
                    for upstream in ages.value
                },
            )
        )
    return tuple(reports)
