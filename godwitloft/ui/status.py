"""``godwitloft status``: tells which daemon is at which generation."""

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
    help="Tell which daemon is at which generation; exit code 1 while one is"
    " behind.",
)
@dataclasses.dataclass(kw_only=True)
class Status(options.ServerOptions):
    """Arguments of the command."""


async def run(command: Status, session: sessions.Session) -> report.Report:
    """Reads the state of the daemons.

    :param command: its arguments
    :param session: the world around it
    :return: the daemons that the entry knows
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
