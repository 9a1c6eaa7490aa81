"""What an agent asks of its upstream, and what it hears from it."""

import dataclasses
import enum
import typing

from godwitloft.links.generated.messages import ttypes


class End(enum.Enum):
    """How a run ended on the upstream."""

    COMPLETED = "completed"
    FAILED = "failed"
    NEVER_STARTED = "never_started"
    CRASHED = "crashed"


@dataclasses.dataclass(frozen=True)
class Upstream:
    """The upstream as functions; the answers come to the dispatcher.

    :param start: gives it a request
    :param cancel: ends a run by its id
    :param suspend: pauses a run by its id
    :param resume: goes on with a run by its id
    :param pause_reading: ``(run id, paused)``: stops reading an answer
    """

    start: typing.Callable[[ttypes.Dispatch], None]
    cancel: typing.Callable[[str], None]
    suspend: typing.Callable[[str], None]
    resume: typing.Callable[[str], None]
    pause_reading: typing.Callable[[str, bool], None]
