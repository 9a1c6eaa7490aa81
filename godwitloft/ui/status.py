"""``godwitloft status``: shows the configuration generation of each daemon."""

import dataclasses

import cappa

from godwitloft.operators import operator_port
from godwitloft.ui import client
from godwitloft.ui import errors
from godwitloft.ui import options
from godwitloft.ui import report
from godwitloft.ui import session as sessions


@cappa.command(
    name="status",
    help="Show the configuration generation of each daemon; exit code 1 while"
    " any is behind.",
)
@dataclasses.dataclass(kw_only=True)
class Status(options.ServerOptions):
    """Arguments of the command."""


async def run(command: Status, session: sessions.Session) -> report.Report:
    """Reads the state of the daemons.

    :param command: arguments of the command
    :param session: client, clock, streams and environment to use
    :return: the daemons known to the entry
    """
    status = await client.send(
        options.create_connection(command, session),
        session,
        client.Call("GET", "status", operator_port.Status),
    )
    head_generation = status.head_generation
    behind = sum(
        daemon.generation < head_generation for daemon in status.daemons
    )
    total = len(status.daemons)
    store = "" if status.store_reachable else "; the store is not reachable"
    return report.Report(
        status,
        (
            *_daemon_table(status.daemons),
            f"generation {head_generation} is in force on"
            f" {total - behind} of {total} daemons{store}",
        ),
        errors.ExitCode.PROBLEMS if behind else errors.ExitCode.OK,
    )


def _daemon_table(
    daemons: tuple[operator_port.Daemon, ...],
) -> tuple[str, ...]:
    return report.table(
        (
            "instance",
            "role",
            "availability zone",
            "pool",
            "generation",
            "running",
            "waiting",
            "heard",
            "state",
        ),
        (
            (
                daemon.instance,
                daemon.role,
                daemon.availability_zone,
                daemon.pool or "-",
                daemon.generation,
                daemon.running,
                daemon.waiting,
                f"{daemon.heard_ms_ago} ms ago",
                "draining" if daemon.draining else "serving",
            )
            for daemon in daemons
        ),
    )
