"""Interface between the dispatcher and the client of its upstream."""

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
    """Operations of an upstream.

    Results are reported by calls of the dispatcher's ``upstream_data`` and
    ``upstream_ended``.

    :param start: sends a request
    :param cancel: cancels a run by its id
    :param suspend: suspends a run by its id
    :param resume: resumes a run by its id
    :param pause_reading: ``(run id, paused)``: pauses or continues reading
        a response
    """

    start: typing.Callable[[ttypes.Dispatch], None]
    cancel: typing.Callable[[str], None]
    suspend: typing.Callable[[str], None]
    resume: typing.Callable[[str], None]
    pause_reading: typing.Callable[[str, bool], None]
