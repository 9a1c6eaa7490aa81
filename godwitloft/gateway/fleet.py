"""State of each upstream, from the list and from the gateway's requests."""

import dataclasses

from godwitloft.gateway import model
from godwitloft.gateway import placement

UNREACHABLE_PAUSE_MS = 500
MAX_PAUSE_MS = 4_000
FAILURES_BEFORE_PAUSE = 3
NEW_VALUE_WEIGHT = 0.2
REFERENCE_SLOWNESS = 1.0
MIN_SLOWNESS = 0.2
MAX_SLOWNESS = 20.0


class UpstreamState:
    """State of one upstream at this gateway.

    :param upstream: its entry in the list
    """

    def __init__(self, upstream: model.Upstream) -> None:
        self.upstream = upstream
        self.running = 0
        self.pending_prompt_tokens = 0
        self.pending_prompt_tokens_elsewhere = 0
        self.failures = 0
        self.paused_until_ms = 0
        self.slowness = REFERENCE_SLOWNESS
        self.started = 0
        self.start_limit = 0
        self.granted_until_ms = 0
        self.grant_sequence = 0
        self.last_want: object = None
        self.last_want_ms = 0

    def record_success(self, first_data_ms: float, prompt_tokens: int) -> None:
        """Records a successful answer.

        :param first_data_ms: time from sending to the first data
        :param prompt_tokens: prompt tokens to be processed before, including
            those of other requests
        """
        self.failures = 0
        self.paused_until_ms = 0
        reference_ms = placement.reference_first_data_ms(prompt_tokens)
        slowness = first_data_ms / reference_ms
        bounded = min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))
        self.slowness += NEW_VALUE_WEIGHT * (bounded - self.slowness)

    def mark_leaving(self) -> None:
        """Excludes the upstream from new requests, whatever the list says."""
        self.upstream = dataclasses.replace(self.upstream, leaving=True)

    def record_failure(self, now_ms: int, unreachable: bool) -> None:
        """Records a failure and pauses after several in a row.

        :param now_ms: the current time
        :param unreachable: whether the connection failed, which pauses the
            upstream at once
        """
        self.failures += 1
        if not unreachable and self.failures < FAILURES_BEFORE_PAUSE:
            return
        doublings = min(self.failures, 4) - 1
        pause_ms = min(MAX_PAUSE_MS, UNREACHABLE_PAUSE_MS << doublings)
        self.paused_until_ms = now_ms + pause_ms


@dataclasses.dataclass(frozen=True)
class FleetChange:
    """Differences between a new list and the previous one.

    :param added: ids of new upstreams
    :param leaving: ids of upstreams that must get no new requests from now on
    :param removed: ids of upstreams that are no longer on the list
    """

    added: tuple[str, ...]
    leaving: tuple[str, ...]
    removed: tuple[str, ...]


class Fleet:
    """States of all upstreams, by id."""

    def __init__(self) -> None:
        self.states: dict[str, UpstreamState] = {}
        self.listed: dict[str, UpstreamState] = {}
        self.has_list = False

    def update(self, upstreams: dict[str, model.Upstream]) -> FleetChange:
        """Replaces the list of upstreams.

        An upstream that is leaving stays so until its process is replaced,
        even if an outdated copy of the list says otherwise.

        :param upstreams: upstreams by id
        :return: differences from the previous list
        """
        self.has_list = True
        added = []
        leaving = []
        for upstream_id, upstream in upstreams.items():
            state = self.states.get(upstream_id)
            if state is None or state.upstream.born_ms != upstream.born_ms:
                state = self.states[upstream_id] = UpstreamState(upstream)
                added.append(upstream_id)
            was_leaving = state.upstream.leaving
            if was_leaving and not upstream.leaving:
                upstream = dataclasses.replace(upstream, leaving=True)
            state.upstream = upstream
            if upstream.leaving and not was_leaving:
                leaving.append(upstream_id)
        removed = [name for name in self.listed if name not in upstreams]
        self.listed = {name: self.states[name] for name in upstreams}
        for name in list(self.states):
            if name not in self.listed and not self.states[name].running:
                del self.states[name]
        return FleetChange(tuple(added), tuple(leaving), tuple(removed))

    def usable(self, service: str) -> list[UpstreamState]:
        """Returns the upstreams of a service that may get new requests.

        :param service: name of the service
        :return: states of upstreams on the list
        """
        return [
            state
            for state in self.listed.values()
            if state.upstream.service == service and not state.upstream.leaving
        ]
