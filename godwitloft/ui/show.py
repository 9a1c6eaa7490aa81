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
class Show(options.Online):
    """Arguments of the command."""

    object: typing.Annotated[
        str, cappa.Arg(help="For example team/brokers; none: all objects.")
    ] = ""
    generation: typing.Annotated[
        int,
        cappa.Arg(long=True, help="Which generation; 0: the accepted one."),
    ] = 0


async def run(command: Show, session: sessions.Session) -> report.Report:
    """Shows a generation or one of its objects.

    :param command: its arguments
    :param session: the world around it
    :return: the objects
    """
    target = revise.parse_name(command.object) if command.object else None
    connection = options.connect(command, session)
    head, objects = await client.read_snapshot(
        connection, session, command.generation
    )
    if target is not None:
        found = revise.find(objects, target)
        return report.Report(found, tuple(revise.dump(found).splitlines()))
    answer = operator_port.SnapshotAnswer(head, canonical.to_plain(objects))
    return report.Report(answer, (*report.head_table([head]), *_all(objects)))


def _all(objects: types.ObjectSet) -> typing.Iterator[str]:
    def by_name(members: typing.Iterable[typing.Any]) -> list[typing.Any]:
        return sorted(members, key=lambda one: one.name)

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
            (one.name, one.kind.value, one.tier, " ".join(one.pools))
            for one in by_name(objects.services)
        ),
    )
    yield ""
    yield from report.table(
        ("pool", "kind", "max running", "wanted"),
        (
            (one.name, one.kind.value, one.max_running, _wanted(one.wanted))
            for one in by_name(objects.pools)
        ),
    )
    yield ""
    yield from report.table(
        ("team", "weight", "keys", "tiers", "services"),
        (
            (
                one.name,
                one.weight,
                len(one.key_hashes),
                " ".join(one.tiers),
                " ".join(one.services) or "all",
            )
            for one in by_name(objects.teams)
        ),
    )


def _wanted(wanted: types.WantedState | None) -> str:
    if wanted is None:
        return "-"
    words = (wanted.model, wanted.version, wanted.adapter, wanted.role)
    return " ".join(word for word in words if word)
