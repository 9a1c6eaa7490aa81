"""Implements the operators' port with a publisher and the entry's state."""

import typing

from godwitloft.coordination import publish
from godwitloft.objects import canonical
from godwitloft.objects import check
from godwitloft.objects import types
from godwitloft.operators import operator_port
from godwitloft.store import port as platform_port

FORMAT = publish.Format(
    encode=canonical.encode,
    decode=canonical.decode,
    check=check.check,
    empty=types.ObjectSet(),
)


def create_port(
    publisher: publish.Publisher,
    status: typing.Callable[[], typing.Awaitable[operator_port.Status]],
    explain: typing.Callable[
        [str], typing.Awaitable[operator_port.Explanation | None]
    ],
    drain: typing.Callable[[str, str, str], typing.Awaitable[bool]],
) -> operator_port.OperatorPort:
    """Creates the port that the operators' HTTP API calls.

    :param publisher: publishes and reads configurations
    :param status: returns the state of the daemons
    :param explain: ``(request id)`` to its explanation, or None when unknown
    :param drain: ``(instance, author, reason)`` to whether the instance is
        known
    :return: the port
    """

    async def read_snapshot(head: publish.Head) -> bytes:
        name = publish.snapshot_name(head.snapshot_hash)
        content = await publisher.platform.read_object(name)
        if content is None:
            raise platform_port.StoreUnavailable(f"object {name!r} is missing")
        return content

    return operator_port.OperatorPort(
        publish=publisher.publish,
        head=publisher.read_head,
        snapshot=read_snapshot,
        history=publisher.history,
        status=status,
        explain=explain,
        drain=drain,
    )
