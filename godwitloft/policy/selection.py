"""Selects the next request that an upstream starts, resumes or suspends.

Tiers are served in strict order. Within a tier, suspended work goes first,
then the team furthest below its share, then the earliest deadline; only
offers that this upstream can finish in time are considered.
:class:`godwitloft.policy.offer_book.OfferBook` makes the same choice from
an index.
"""

import dataclasses
import typing

from godwitloft.policy import concurrency
from godwitloft.policy import estimate
from godwitloft.policy import shed
from godwitloft.policy import types
from godwitloft.policy import usage as team_usage

SUSPEND_SLACK_MS = 500


@dataclasses.dataclass(frozen=True)
class Skipped:
    """An offer that this upstream doesn't take, and the reason.

    ``too_late``
        It would miss its deadline even without the work of lower tiers.
        It no longer blocks lower tiers.
    ``higher_tier``
        It is urgent, there is no room, and no work of a lower tier runs
        here or will start while the bid is valid.
    ``unstoppable``
        Like ``higher_tier``, except that work of a lower tier runs that
        can't be suspended.
    ``isolated``
        It is urgent and a suspect, and another suspect is on this upstream,
        running or suspended.
    ``not_accepting``
        It is urgent, and this upstream accepts no work.

    :param request_id: id of the request
    :param reason: one of the above
    :param finish_in_ms: estimated time to its end without the work of lower
        tiers
    """

    request_id: str
    reason: str
    finish_in_ms: int


@dataclasses.dataclass(frozen=True)
class Choice:
    """The next action of an agent.

    :param pull: the offer to request from its entry, or None
    :param suspend: ids of running requests to suspend once the pull is
        granted, lowest tier and newest first
    :param resume: id of a suspended request to resume, or None
    :param skipped: offers whose entries are notified that they are skipped
    :param recheck_at_ms: when a held offer becomes ready, or None
    """

    pull: types.Offer | None = None
    suspend: tuple[str, ...] = ()
    resume: str | None = None
    skipped: tuple[Skipped, ...] = ()
    recheck_at_ms: int | None = None


@dataclasses.dataclass(frozen=True)
class TierOffers:
    """The offers of one tier, in the order in which they are considered.

    :param tier_rank: 0 is the most important tier
    :param ready: offers that may start, by team usage and deadline
    :param held: offers that may not start yet, by the time they become
        ready
    """

    tier_rank: int
    ready: typing.Iterable[types.Offer]
    held: typing.Iterable[types.Offer]


@dataclasses.dataclass(frozen=True)
class SelectionContext:
    """The upstream that a choice is made for, and its load.

    :param view: the upstream
    :param running: requests that it was given
    :param now_ms: the current time
    """

    view: types.UpstreamView
    running: typing.Sequence[types.Running]
    now_ms: int


def finish_without_lower_ms(
    offer: types.Offer,
    view: types.UpstreamView,
    running: typing.Sequence[types.Running],
) -> int:
    """Estimates the end of a request without the work of lower tiers.

    :param offer: the request
    :param view: the upstream
    :param running: requests on the upstream
    :return: milliseconds from now to the last token
    """
    kept = [
        request for request in running if request.tier_rank <= offer.tier_rank
    ]
    return estimate.finish_in_ms(offer, view, kept)


def meets_deadline(
    offer: types.Offer,
    finish_ms: int,
    view: types.UpstreamView,
    now_ms: int,
) -> bool:
    """Checks an estimate plus the safety margin against a deadline.

    :param offer: the request
    :param finish_ms: estimated milliseconds to its end
    :param view: the upstream, for its safety margin
    :param now_ms: the current time
    :return: whether the request would end by its deadline
    """
    return now_ms + finish_ms * (1 + view.safety_margin) <= offer.deadline_ms


def check_too_late(
    offer: types.Offer, context: SelectionContext
) -> Skipped | None:
    """Checks whether an upstream can still finish a request in time.

    :param offer: the request
    :param context: the upstream and its load
    :return: the reason to skip it, or None when it can be in time
    """
    finish_ms = finish_without_lower_ms(offer, context.view, context.running)
    if meets_deadline(offer, finish_ms, context.view, context.now_ms):
        return None
    return Skipped(offer.request_id, shed.TOO_LATE, finish_ms)


def must_wait_for_suspect(
    offer: types.Offer, context: SelectionContext
) -> bool:
    """Returns whether a suspect must wait for another suspect to end.

    Such an offer doesn't block other work: it doesn't wait for room, so
    starting other requests doesn't delay it.

    :param offer: the request
    :param context: the upstream and its load
    :return: whether it is a suspect and another one is on the upstream
    """
    return offer.isolate and any(
        request.isolate for request in context.running
    )


def choose(
    offers: typing.Iterable[types.Offer],
    running: typing.Sequence[types.Running],
    view: types.UpstreamView,
    usage: team_usage.TeamUsage,
    now_ms: int,
) -> Choice:
    """Chooses what to do next by sorting all offers.

    :param offers: offers of all entries
    :param running: requests that the upstream was given
    :param view: the upstream
    :param usage: engine time charged to the teams
    :param now_ms: the current time
    :return: the next action
    """
    all_offers = list(offers)
    tiers = []
    for rank in sorted({offer.tier_rank for offer in all_offers}):
        tier_offers = [
            offer for offer in all_offers if offer.tier_rank == rank
        ]
        ready = [
            offer for offer in tier_offers if offer.hold_until_ms <= now_ms
        ]
        held = [offer for offer in tier_offers if offer.hold_until_ms > now_ms]
        ready.sort(
            key=lambda offer: (
                usage.virtual_time_ms(offer.tier_rank, offer.team),
                offer.team,
                offer.deadline_ms,
                offer.request_id,
            )
        )
        held.sort(key=lambda offer: (offer.hold_until_ms, offer.request_id))
        tiers.append(TierOffers(rank, ready, held))
    urgent = [offer for offer in all_offers if offer.urgent]
    urgent.sort(key=lambda offer: (offer.tier_rank, offer.request_id))
    return decide(tiers, urgent, SelectionContext(view, running, now_ms))


def decide(
    tiers: typing.Iterable[TierOffers],
    urgent: typing.Sequence[types.Offer],
    context: SelectionContext,
) -> Choice:
    """Chooses what to do next from offers that are already sorted.

    :param tiers: the tiers that have offers, most important first
    :param urgent: the urgent offers among them, by tier rank
    :param context: the upstream and its load
    :return: the next action
    """
    if not context.view.accepting:
        return Choice(skipped=_skip_urgent(urgent, set(), context))
    skipped: list[Skipped] = []
    choice = _choose_across_tiers(tiers, urgent, context, skipped)
    if choice.pull is None and choice.resume is None:
        late_ids = {skip.request_id for skip in skipped}
        skipped.extend(_skip_urgent(urgent, late_ids, context))
    return dataclasses.replace(choice, skipped=tuple(skipped))


def _choose_across_tiers(
    tiers: typing.Iterable[TierOffers],
    urgent: typing.Sequence[types.Offer],
    context: SelectionContext,
    skipped: list[Skipped],
) -> Choice:
    """Chooses in the most important tier that has work to start."""
    suspended = shed.resumption_order(context.running)
    for tier in tiers:
        if suspended and suspended[0].tier_rank <= tier.tier_rank:
            return _resume_if_possible(suspended[0], context)
        choice = _choose_in_tier(tier, urgent, context, skipped)
        if choice is not None:
            return choice
    if suspended:
        return _resume_if_possible(suspended[0], context)
    return Choice()


def _resume_if_possible(
    request: types.Running, context: SelectionContext
) -> Choice:
    if (
        len(concurrency.active_requests(context.running))
        < context.view.limits.max_running
    ):
        return Choice(resume=request.request_id)
    return Choice()


def _choose_in_tier(
    tier: TierOffers,
    urgent: typing.Sequence[types.Offer],
    context: SelectionContext,
    skipped: list[Skipped],
) -> Choice | None:
    """Returns the next action for a tier, or None to try the next tier."""
    blocked = False
    for offer in tier.ready:
        skip = check_too_late(offer, context)
        if skip is not None:
            skipped.append(skip)
            continue
        if must_wait_for_suspect(offer, context):
            continue
        choice = _plan_start(offer, urgent, context)
        if choice is not None:
            return choice
        blocked = True
        if not concurrency.fits(offer, context.view, context.running):
            return Choice()
    for offer in tier.held:
        skip = check_too_late(offer, context)
        if skip is not None:
            skipped.append(skip)
        elif not must_wait_for_suspect(offer, context):
            return Choice(recheck_at_ms=offer.hold_until_ms)
    return Choice() if blocked else None


def _plan_start(
    offer: types.Offer,
    urgent: typing.Sequence[types.Offer],
    context: SelectionContext,
) -> Choice | None:
    """Returns a choice that starts an offer now, or None if impossible.

    Suspends as few requests of lower tiers as needed.
    """
    if can_start(offer, context.running, context):
        return Choice(pull=offer)
    if not context.view.resumable:
        return None
    rank_threshold = _suspend_threshold(offer, urgent, context)
    if rank_threshold is None:
        return None
    remaining = list(context.running)
    suspend = []
    for victim in shed.suspension_order(context.running, rank_threshold):
        remaining[remaining.index(victim)] = dataclasses.replace(
            victim, suspended=True
        )
        suspend.append(victim.request_id)
        if can_start(offer, remaining, context):
            return Choice(pull=offer, suspend=tuple(suspend))
    return None


def can_start(
    offer: types.Offer,
    running: typing.Sequence[types.Running],
    context: SelectionContext,
) -> bool:
    """Returns whether an offer could start now and end in time.

    :param offer: the request
    :param running: requests that would run beside it
    :param context: the upstream and the time
    :return: whether it meets its deadline, fits within every limit and makes
        no running request of its own or a higher tier late
    """
    finish_ms = estimate.finish_in_ms(offer, context.view, running)
    return (
        meets_deadline(offer, finish_ms, context.view, context.now_ms)
        and concurrency.fits(offer, context.view, running)
        and not _delays_past_deadline(offer, running, context)
    )


def _delays_past_deadline(
    offer: types.Offer,
    running: typing.Sequence[types.Running],
    context: SelectionContext,
) -> bool:
    """Returns whether the offer's prefill would make a request late.

    Considers only requests of its own and higher tiers, and only those that
    would be in time without it.
    """
    active = concurrency.active_requests(running)
    per_token = estimate.decode_ms_per_token(
        context.view.speeds, len(active) + 1
    )
    cached = context.view.cached_tokens(offer.prefix_keys)
    own_tokens = max(0, offer.prompt_tokens - cached)
    own_ms = own_tokens / context.view.speeds.prefill_tokens_per_ms
    ahead_tokens = 0
    for request in active:
        ahead_tokens += request.remaining_prompt_tokens
        if not request.deadline_ms or request.tier_rank > offer.tier_rank:
            continue
        ahead_ms = ahead_tokens / context.view.speeds.prefill_tokens_per_ms
        ends_ms = (
            context.now_ms
            + ahead_ms
            + request.remaining_output_tokens * per_token
        )
        if ends_ms <= request.deadline_ms < ends_ms + own_ms:
            return True
    return False


def _suspend_threshold(
    offer: types.Offer,
    urgent: typing.Sequence[types.Offer],
    context: SelectionContext,
) -> int | None:
    """Returns the rank above which work may be suspended for an offer.

    Work of a higher rank is less important. None: no work may be suspended.

    An offer that isn't urgent also gets the room of work that a later
    urgent offer may suspend, since it precedes that offer. An offer with
    little slack before its deadline counts as urgent.
    """
    finish_ms = finish_without_lower_ms(offer, context.view, context.running)
    slack_ms = offer.deadline_ms - context.now_ms - finish_ms
    if offer.urgent or slack_ms < SUSPEND_SLACK_MS:
        return offer.tier_rank
    for other in urgent:
        if other.tier_rank >= offer.tier_rank and not check_too_late(
            other, context
        ):
            return other.tier_rank
    return None


def _skip_urgent(
    urgent: typing.Sequence[types.Offer],
    late_ids: typing.Collection[str],
    context: SelectionContext,
) -> tuple[Skipped, ...]:
    """Returns the urgent offers that won't start now, with reasons."""
    skips = []
    for offer in urgent:
        if offer.request_id in late_ids:
            continue
        skip = _skip_reason(offer, context)
        if skip is not None:
            skips.append(skip)
    return tuple(skips)


def _skip_reason(
    offer: types.Offer, context: SelectionContext
) -> Skipped | None:
    finish_ms = finish_without_lower_ms(offer, context.view, context.running)
    if not context.view.accepting:
        return Skipped(offer.request_id, shed.NOT_ACCEPTING, finish_ms)
    skip = check_too_late(offer, context)
    if skip is not None:
        return skip
    if must_wait_for_suspect(offer, context):
        return Skipped(offer.request_id, shed.ISOLATED, finish_ms)
    lower = [
        request
        for request in context.running
        if request.tier_rank > offer.tier_rank
        and (request.suspension_pending or not request.suspended)
    ]
    if not lower:
        if can_start(offer, context.running, context):
            return None
        return Skipped(offer.request_id, shed.HIGHER_TIER, finish_ms)
    if context.view.resumable:
        return None
    return Skipped(offer.request_id, shed.UNSTOPPABLE, finish_ms)
