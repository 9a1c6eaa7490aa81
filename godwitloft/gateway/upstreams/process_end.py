"""Judges whether the process that got a request has ended since.

A process that is killed closes its connections and its port. So does one that
leaves in order: it may close its port before its last answers have ended. By
the time an answer's end is read, another process may have its port.
"""

import typing

from godwitloft import attempt as attempts
from godwitloft.gateway import model
from godwitloft.gateway import request as requests
from godwitloft.gateway.upstreams import fleet as fleets

# The connections of a process that is killed end within this time.
SAME_END_MS = 200


def has_died(
    state: fleets.UpstreamState,
    fleet: fleets.Fleet,
    running: typing.Iterable[requests.Request],
    now_ms: int,
) -> bool:
    """Returns whether an upstream whose port is closed must have died.

    :param state: the upstream, which has just closed an answer's connection
    :param fleet: the list of upstreams
    :param running: the requests that run, at any upstream
    :param now_ms: the current time
    :return: False if another answer of it goes on, or if it was leaving and
        has broken no other one off
    """
    if now_ms - state.last_broken_ms <= SAME_END_MS:
        return True
    if any(is_broken_off(request, state) for request in running):
        return True
    if any(is_sending_to(request, state, now_ms) for request in running):
        return False
    if state.upstream.id not in fleet.listed:
        return False
    # One that was replaced gets no new requests either, and hasn't said so.
    return state.is_replaced or not state.upstream.leaving


def is_replaced(
    state: fleets.UpstreamState, fleet: fleets.Fleet, sent_wall_ms: int
) -> bool:
    """Returns whether the list shows another process in an upstream's place.

    It has the same id, or the address: those of upstreams that are gone are
    used again.

    :param state: the upstream to which a request was sent
    :param fleet: the list of upstreams
    :param sent_wall_ms: when that was, in Unix milliseconds
    :return: False if the other process had started before: one with its id
        has got the request itself
    """
    former = state.upstream
    if not former.born_ms:
        return False
    return any(
        other.upstream.born_ms > max(former.born_ms, sent_wall_ms)
        for other in fleet.states.values()
        if other.upstream.id == former.id
        or has_same_address(other.upstream, former)
    )


def has_same_address(one: model.Upstream, other: model.Upstream) -> bool:
    """Returns whether two upstreams listen, or have listened, at one port.

    :param one: an upstream
    :param other: another one
    """
    return (one.host, one.port) == (other.host, other.port)


def is_broken_off(
    request: requests.Request, state: fleets.UpstreamState
) -> bool:
    """Returns whether an upstream has broken a request's answer off.

    :param request: a request that runs, or whose end is being checked
    :param state: the upstream
    """
    attempt = request.attempt
    if request.upstream_state is not state or attempt is None:
        return False
    answer = request.answer
    if not attempt.is_closed or answer is None or answer.body_end is None:
        return False
    return bool(answer.body_end.defect())


def is_sending_to(
    request: requests.Request, state: fleets.UpstreamState, now_ms: int
) -> bool:
    """Returns whether an upstream is still sending a request's answer.

    An open connection shows nothing by itself: its end may not be read yet, or
    not be read at all, as the caller reads too slowly. Data shows it that has
    come since the other answer was closed.

    :param request: a request that runs
    :param state: the upstream
    :param now_ms: the current time
    """
    attempt = request.attempt
    return (
        request.upstream_state is state
        and request.state is requests.State.ANSWERING
        and not request.congested
        and attempt is not None
        and not attempt.is_closed
        and now_ms - request.last_data_ms < attempts.END_CHECK_DELAY_MS
    )
