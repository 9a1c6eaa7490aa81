"""The row in which a gateway keeps its lease and what must outlive it."""

import base64
import dataclasses
import json

from godwitloft.gateway.allowances import sharing
from godwitloft.gateway.crashes import crash_reports
from godwitloft.gateway.streams import service_versions
from godwitloft.platform import json_fields
from godwitloft.platform import rows
from godwitloft.platform import settings


@dataclasses.dataclass(frozen=True)
class LeaseRow:
    """The content of a gateway's row.

    :param host: its IP address
    :param renewed_ms: when it renewed its lease, on the store's clock, in
        milliseconds
    :param usage: its usage of the teams' allowances
    :param blames: what is blamed for crashes of upstreams
    :param versions: software versions at which its streams may have begun
    :param timeline: number of the store's timeline in which it was written,
        None if the store doesn't tell it
    :param restored_ms: when the restore with which that timeline began was
        noticed, on the store's clock; 0 if none was
    """

    host: str
    renewed_ms: int
    usage: sharing.Usage
    blames: tuple[crash_reports.BlameReport, ...] = ()
    versions: service_versions.Saved = service_versions.Saved()
    timeline: int | None = None
    restored_ms: int = 0


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
        "blames": [encode_blame(blame) for blame in row.blames],
        "versions": encode_absences(row.versions),
        "new_versions": [
            {"service": version.service, "version": version.version}
            for version in row.versions.new
        ],
        "restored_ms": row.restored_ms,
    }
    if row.timeline is not None:
        content["timeline"] = row.timeline
    return base64.b64encode(json.dumps(content).encode()).decode()


def decode(name: str, value: object) -> LeaseRow:
    """Decodes a gateway's row.

    :param name: table and key, for error messages
    :param value: JSON in base64
    :return: its content
    :raises RowError: if it is invalid
    """
    fields = rows.decode_content(name, value)
    usage = json_fields.Fields(name, "used", fields.value.get("used", {}))
    host = fields.text("host")
    if not settings.is_ip_number(host):
        raise fields.wrong("host", host, "is not an IP number")
    return LeaseRow(
        host,
        int(fields.number("renewed_ms")),
        {team: usage.numbers(team) for team in usage.value},
        tuple(decode_blame(entry) for entry in fields.objects("blames")),
        decode_versions(fields),
        fields.whole("timeline") if "timeline" in fields.value else None,
        fields.whole("restored_ms", default=0),
    )


def encode_absences(
    versions: service_versions.Saved,
) -> dict[str, dict[str, int]]:
    """Returns versions as they are saved.

    :param versions: the versions
    :return: how long each was not listed, by service and version
    """
    found: dict[str, dict[str, int]] = {}
    for version, absent_ms in versions.absences.items():
        found.setdefault(version.service, {})[version.version] = absent_ms
    return found


def decode_versions(fields: json_fields.Fields) -> service_versions.Saved:
    """Decodes versions.

    :param fields: the content of the row
    :return: the versions; none if the row has none
    """
    services = json_fields.Fields(
        fields.row, "versions", fields.value.get("versions", {})
    )
    absences = {}
    for service, value in services.value.items():
        versions = json_fields.Fields(fields.row, f"versions.{service}", value)
        for version in versions.value:
            key = service_versions.ServiceVersion(service, version)
            absences[key] = int(versions.number(version))
    new = frozenset(
        service_versions.ServiceVersion(
            entry.text("service"), entry.text("version")
        )
        for entry in fields.objects("new_versions")
    )
    return service_versions.Saved(absences, new)


def encode_blame(blame: crash_reports.BlameReport) -> dict[str, object]:
    """Returns a blame as it is saved.

    :param blame: the blame
    :return: a JSON object
    """
    return {
        "cause": blame.cause,
        "crashes": [
            {"id": crash.id, "age_ms": crash.age_ms} for crash in blame.crashes
        ],
        "trials": blame.trials,
        "trial_age_ms": blame.trial_age_ms,
    }


def decode_blame(fields: json_fields.Fields) -> crash_reports.BlameReport:
    """Decodes a blame.

    :param fields: its JSON object
    :return: the blame
    :raises RowError: if it is invalid
    """
    cause = fields.text("cause")
    return crash_reports.BlameReport(
        cause,
        tuple(
            crash_reports.CrashReport(
                crash.text("id"), int(crash.number("age_ms")), (cause,)
            )
            for crash in fields.objects("crashes")
        ),
        int(fields.number("trials")),
        int(fields.number("trial_age_ms")),
    )
