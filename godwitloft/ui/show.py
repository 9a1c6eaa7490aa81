"""``godwitloft show``: prints published objects."""

import dataclasses
import typing

import cappa

from godwitloft.objects import canonical
from godwitloft.objects import revise
from godwitloft.objects import types
from godwitloft.operators import operator_port
from godwitloft.ui import client
from godwitloft.ui import options
from godwitloft.ui import report
from godwitloft.ui import session as sessions


@cappa.command(name="show", help="Print published objects.")
@dataclasses.dataclass(kw_only=True)
class Show(options.ServerOptions):
    """Arguments of the command."""

    object: typing.Annotated[
        str,
        cappa.Arg(
            help="The object, for example team/brokers; default: all objects."
        ),
    ] = ""
    generation: typing.Annotated[
        int,
        cappa.Arg(long=True, help="Generation to show; 0: the accepted one."),
    ] = 0


async def run(command: Show, session: sessions.Session) -> report.Report:
    """Shows a generation or one of its objects.

    :param command: arguments of the command
    :param session: client, clock, streams and environment to use
    :return: the objects found
    """
    target = revise.parse_name(command.object) if command.object else None
    connection = options.create_connection(command, session)
    head, objects = await client.read_snapshot(
        connection, session, command.generation
    )
    if target is not None:
        member = revise.find(objects, target)
        return report.Report(member, tuple(revise.dump(member).splitlines()))
    answer = operator_port.SnapshotAnswer(head, canonical.to_plain(objects))
    return report.Report(
        answer, (*report.head_table([head]), *_format_objects(objects))
    )


def _format_objects(objects: types.ObjectSet) -> typing.Iterator[str]:
    def by_name(members: typing.Iterable[typing.Any]) -> list[typing.Any]:
        return sorted(members, key=lambda member: member.name)

    yield ""
    yield from report.table(
        ("tier", "rank", "timeout"),
        (
            (tier.name, tier.rank, f"{tier.timeout_ms} ms")
            for tier in sorted(objects.tiers, key=lambda tier: tier.rank)
        ),
    )
    yield ""
    yield from report.table(
        ("service", "kind", "tier", "pools"),
        (
            (
                service.name,
                service.kind.value,
                service.tier,
                " ".join(service.pools),
            )
            for service in by_name(objects.services)
        ),
    )
    yield ""
    yield from report.table(
        ("pool", "kind", "max running", "wanted"),
        (
            (
                pool.name,
                pool.kind.value,
                pool.max_running,
                _format_wanted(pool.wanted),
            )
            for pool in by_name(objects.pools)
        ),
    )
    yield ""
    yield from report.table(
        ("team", "weight", "keys", "tiers", "services"),
        (
            (
                team.name,
                team.weight,
                len(team.key_hashes),
                " ".join(team.tiers),
                " ".join(team.services) or "all",
            )
            for team in by_name(objects.teams)
        ),
    )


def _format_wanted(wanted: types.WantedState | None) -> str:
    if wanted is None:
        return "-"
    words = (wanted.model, wanted.version, wanted.adapter, wanted.role)
    return " ".join(word for word in words if word)
