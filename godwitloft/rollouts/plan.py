"""Decides which step of a roll-out is due."""

import dataclasses
import typing

from godwitloft.rollouts import judgement
from godwitloft.rollouts import types

# Part of the time after which a version that looks good gets all requests. A
# bad version may only be found later; streams that run at the former versions
# need time to end.
GOOD_SHARE = 0.65
# The same for one of which too little is known, if the requests that are
# expected until the end fit into what a bad version may get.
UNKNOWN_SHARE = 0.8
# Of what a bad version may get; the expected requests are an estimate.
EXPECTED_PART = 0.8
# Under all requests, a version is watched for this part of the time at least.
MIN_MOVING_SHARE = 0.1
# The last step is taken this long before the end, so that it is known in time.
LAST_STEP_MS = 500
# With so many answers of former versions, some of the new one are to be
# expected, if it can take requests at all.
MANY_ANSWERS = 200


@dataclasses.dataclass(frozen=True)
class Progress:
    """What is known of a roll-out besides the answers.

    :param has_upstreams: whether upstreams of the new version take requests
    :param confirmed: whether all gateways know that the requests move, and
        none has any left at the former versions
    :param left: number of requests left there, as far as it is known
    :param exposure_share: share of the service's requests that a bad version
        may get
    :param exposure_slack: requests that it may get in addition
    """

    has_upstreams: bool
    confirmed: bool = False
    left: int = 0
    exposure_share: float = 0.0
    exposure_slack: int = 0


def begins_anew(rollout: types.Rollout | None, order: types.Order) -> bool:
    """Returns whether an order begins a roll-out.

    :param rollout: the last one of its service, None for none
    :param order: an order
    :return: False if it only repeats the one that the roll-out follows
    """
    if rollout is None:
        return True
    if order.version == rollout.order_version:
        return False
    if order.to != rollout.to:
        return order.version > rollout.order_version
    return (
        rollout.phase is types.Phase.ROLLED_BACK
        and order.duration_ms != rollout.duration_ms
    )


def begin(
    order: types.Order,
    versions: typing.Collection[str],
    before: types.Rollout | None,
    store_now_ms: int,
) -> types.Rollout | None:
    """Returns the roll-out that an order begins.

    :param order: the order
    :param versions: all versions of the service's upstreams
    :param before: the last roll-out of its service, None for none
    :param store_now_ms: the current time on the store's clock
    :return: None while there is no other version
    """
    unused: set[str] = set()
    if before is not None:
        unused = {*before.unused, before.to}
        if before.phase is types.Phase.COMPLETED:
            unused = {*before.unused, *before.former}
    others = {*versions} - {order.to}
    # Where there is no other version, an unproven one serves.
    former = others - unused or others
    if not former:
        return None
    return types.Rollout(
        service=order.service,
        order_version=order.version,
        to=order.to,
        former=tuple(sorted(former)),
        unused=tuple(sorted(others - former)),
        phase=types.Phase.JUDGING,
        started_ms=store_now_ms,
        duration_ms=order.duration_ms,
        reason="ordered",
    )


def next_step(
    rollout: types.Rollout,
    verdict: judgement.Verdict,
    progress: Progress,
    store_now_ms: int,
) -> types.Rollout | None:
    """Returns what becomes of a roll-out now.

    :param rollout: a roll-out
    :param verdict: what the evidence says of its new version
    :param progress: what else is known
    :param store_now_ms: the current time on the store's clock
    :return: the roll-out in its next phase, None if it stays as it is
    """
    if rollout.phase.has_ended:
        return None
    if verdict.kind is judgement.Kind.BAD:
        return stepped(rollout, types.Phase.ROLLED_BACK, verdict)
    is_over = store_now_ms >= rollout.ends_ms - LAST_STEP_MS
    if rollout.phase is types.Phase.JUDGING:
        # Too late to watch it under all requests before the last step.
        is_unknown = verdict.kind is not judgement.Kind.GOOD_SO_FAR
        if not (is_over and is_unknown) and may_move(
            rollout, verdict, progress, store_now_ms
        ):
            return stepped(rollout, types.Phase.MOVING, verdict)
        if is_over:
            why = "not judged in time: " + verdict.reason
            if not progress.has_upstreams:
                why = "the new version has no upstreams"
            return stepped(rollout, types.Phase.ROLLED_BACK, verdict, why)
        return None
    since_ms = store_now_ms - rollout.started_ms
    watched = GOOD_SHARE + MIN_MOVING_SHARE
    # With all requests, a doubt is soon cleared or confirmed.
    is_good = verdict.kind is judgement.Kind.GOOD_SO_FAR
    is_watched = is_good and since_ms >= watched * rollout.duration_ms
    if is_over or (progress.confirmed and is_watched):
        why = f"{verdict.reason}; {progress.left} requests left"
        return stepped(rollout, types.Phase.COMPLETED, verdict, why)
    return None


def may_move(
    rollout: types.Rollout,
    verdict: judgement.Verdict,
    progress: Progress,
    store_now_ms: int,
) -> bool:
    """Returns whether all new requests may go to the new version.

    :param rollout: a roll-out in which it is judged
    :param verdict: what the evidence says, not that it is bad
    :param progress: what else is known
    :param store_now_ms: the current time on the store's clock
    """
    if not progress.has_upstreams or verdict.suspicious:
        return False
    since_ms = store_now_ms - rollout.started_ms
    if verdict.kind is judgement.Kind.GOOD_SO_FAR:
        return since_ms >= GOOD_SHARE * rollout.duration_ms
    inputs = verdict.inputs
    answers = inputs.get("answers", 0) + inputs.get("timed", 0)
    if not answers and inputs.get("former_answers", 0) > MANY_ANSWERS:
        return False
    if since_ms < UNKNOWN_SHARE * rollout.duration_ms:
        return False
    return may_be_bad(
        inputs.get("answers", 0),
        inputs.get("former_answers", 0),
        max(0, rollout.ends_ms - store_now_ms) / max(1, since_ms),
        progress,
    )


def may_be_bad(
    answers: int, former_answers: int, left_part: float, progress: Progress
) -> bool:
    """Returns whether a version may get all requests though it may be bad.

    :param answers: answers of the new version
    :param former_answers: answers of the former versions
    :param left_part: time left, relative to the time passed
    :param progress: what a bad version may get
    :return: whether the requests expected until the end fit into that
    """
    so_far = answers + former_answers
    expected = so_far * left_part
    permitted = (
        progress.exposure_share * (so_far + expected) + progress.exposure_slack
    )
    return answers + expected <= EXPECTED_PART * permitted


def stepped(
    rollout: types.Rollout,
    phase: types.Phase,
    verdict: judgement.Verdict,
    reason: str = "",
) -> types.Rollout:
    """Returns a roll-out in its next phase.

    :param rollout: the roll-out
    :param phase: the phase
    :param verdict: what the evidence says
    :param reason: why the step is taken, empty for the verdict's reason
    """
    return dataclasses.replace(
        rollout,
        phase=phase,
        reason=reason or verdict.reason,
        bad_answers=verdict.bad_answers,
    )
