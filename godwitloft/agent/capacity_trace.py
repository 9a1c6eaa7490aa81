"""Writes to the trace what an upstream is seen to do, for replays."""

import dataclasses

from godwitloft import trace
from godwitloft.policy import estimate
from godwitloft.policy import types

MAX_UNRECORDED_CHANGE = 0.25


@dataclasses.dataclass(frozen=True)
class Capacity:
    """What a replay needs to know of an upstream.

    :param prefill_tokens_per_ms: prompt tokens prefilled a millisecond
    :param decode_ms_per_token: of one request alone
    :param max_running: requests that may run at once
    :param max_unprefilled_tokens: prompt tokens that may wait for prefill
    :param kv_tokens: tokens that its memory holds, 0 if not known
    :param resumable: whether it can suspend and resume
    """

    prefill_tokens_per_ms: float
    decode_ms_per_token: float
    max_running: int
    max_unprefilled_tokens: int
    kv_tokens: int
    resumable: bool


class CapacityTrace:
    """Writes the capacity of one upstream when it has changed much.

    :param recorder: where the trace goes
    :param pool: pool of the upstream
    """

    def __init__(self, recorder: trace.Recorder, pool: str) -> None:
        self.recorder = recorder
        self.pool = pool
        self.last_recorded: Capacity | None = None

    def observe(self, view: types.UpstreamView) -> None:
        """Looks at an upstream; to be called at a fixed interval.

        :param view: the upstream as the policy sees it
        """
        capacity = capacity_of(view)
        if self.last_recorded is None or differs(self.last_recorded, capacity):
            self.last_recorded = capacity
            self.recorder.record(
                trace.Kind.CAPACITY,
                pools=[self.pool],
                **dataclasses.asdict(capacity),
            )


def capacity_of(view: types.UpstreamView) -> Capacity:
    """Takes the capacity out of what the policy sees.

    :param view: an upstream
    :return: its capacity
    """
    return Capacity(
        prefill_tokens_per_ms=view.speeds.prefill_tokens_per_ms,
        decode_ms_per_token=estimate.decode_ms_per_token(view.speeds, 1),
        max_running=view.limits.max_running,
        max_unprefilled_tokens=view.limits.max_unprefilled_tokens,
        kv_tokens=view.limits.kv_tokens,
        resumable=view.resumable,
    )


def differs(old: Capacity, new: Capacity) -> bool:
    """Tells whether a capacity has changed much.

    :param old: as it was written
    :param new: as it is
    :return: whether a value has changed by more than a quarter
    """
    pairs = zip(
        dataclasses.astuple(old), dataclasses.astuple(new), strict=True
    )
    return any(abs(a - b) > MAX_UNRECORDED_CHANGE * abs(a) for a, b in pairs)
