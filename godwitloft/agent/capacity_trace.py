"""Records the observed capacity of an upstream in the trace, for replays."""

import dataclasses

from godwitloft import trace
from godwitloft.policy import estimate
from godwitloft.policy import types

MAX_UNRECORDED_CHANGE = 0.25


@dataclasses.dataclass(frozen=True)
class Capacity:
    """Capacity of an upstream, as a replay needs it.

    The fields are written to the trace under their names.

    :param prefill_tokens_per_ms: prefill speed in prompt tokens per ms
    :param decode_ms_per_token: decode time of a single request, in ms
    :param max_running: maximum number of concurrent requests
    :param max_unprefilled_tokens: maximum number of prompt tokens that wait
        for prefill
    :param kv_tokens: tokens that fit in its KV cache, 0 if unknown
    :param resumable: whether it can suspend and resume a run
    """

    prefill_tokens_per_ms: float
    decode_ms_per_token: float
    max_running: int
    max_unprefilled_tokens: int
    kv_tokens: int
    resumable: bool


class CapacityTrace:
    """Records the capacity of an upstream when it has changed significantly.

    :param recorder: writes the trace
    :param pool: pool of the upstream
    """

    def __init__(self, recorder: trace.Recorder, pool: str) -> None:
        self.recorder = recorder
        self.pool = pool
        self.last_recorded: Capacity | None = None

    def observe(self, view: types.UpstreamView) -> None:
        """Records the capacity if it differs from the last record.

        Has to be called at a fixed interval.

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
    """Extracts the capacity from a view of an upstream.

    :param view: the upstream as the policy sees it
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
    """Returns whether a capacity has changed significantly.

    :param old: the capacity last recorded
    :param new: the current capacity
    :return: whether any value has changed by more than a quarter
    """
    pairs = zip(
        dataclasses.astuple(old), dataclasses.astuple(new), strict=True
    )
    return any(abs(a - b) > MAX_UNRECORDED_CHANGE * abs(a) for a, b in pairs)
