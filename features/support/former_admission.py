"""Admission as it was before retries were promised turns, to compare with."""

import types

from godwitloft.gateway import refusals
from godwitloft.gateway.placing import admission as admissions
from godwitloft.gateway.placing import placement
from godwitloft.policy import retry_hint

LEAST_SHARE = 0.7


def restore(gateway):
    """Gives a gateway the hints and the estimate of the former release.

    :param gateway: the gateway
    """
    admission = gateway.admission
    for name, method in (
        ("hint", hint),
        ("is_overloaded", is_overloaded),
        ("recognise_return", lambda *_request: False),
        ("find_hopeless", lambda *_queue: frozenset()),
    ):
        setattr(admission, name, types.MethodType(method, admission))
    admission.load_of("model").team_shares.record_arrival = within_share


def within_share(_team, _scarce, _now_ms):
    """Keeps no team to its share."""
    return False


def hint(self, request, _queue, now_ms):
    """Draws a hint from 0.7 to 1 of the longest one."""
    left_ms = request.facts.caller_deadline_ms - now_ms
    latest_ms = refusals.bounded_retry_after_ms(left_ms / 3)
    share = self.rng.uniform(LEAST_SHARE, 1.0)
    return retry_hint.Hint(latest_ms * share, False, None, 0)


def is_overloaded(self, request, queue, now_ms):
    """Compares the waiting requests of its rank with the rate."""
    rank = request.standing
    load = self.load_of(request.facts.service)
    if not load.was_overloaded(rank, now_ms):
        return False
    ahead = sum(
        other.standing <= rank
        and not admissions.ordering.is_late(other, now_ms)
        for other in queue
    )
    rate_per_s = load.per_s(now_ms, lambda start: start.rank >= rank)
    queue_ahead = placement.Queue(ahead + 1, rate_per_s)
    wait_ms = placement.expected_wait_ms(queue_ahead)
    return now_ms + wait_ms > request.start_by_ms
