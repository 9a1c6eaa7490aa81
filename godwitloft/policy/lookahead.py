"""Starts short work of a lower tier first while higher tiers have time.

Strict tier order wastes engine time when the deadlines of a higher tier are
far away: work of a lower tier that is due soon becomes late meanwhile,
although both could have been finished. So an offer of a lower tier that is
due earlier may start first, provided that every known offer of a higher
tier would still finish within a part of the time to its deadline, with each
upstream doing its share of the work. The rest of that time allows for wrong
estimates and for upstreams that slow down.
"""

import dataclasses
import typing

from godwitloft.policy import estimate
from godwitloft.policy import offer_book
from godwitloft.policy import selection
from godwitloft.policy import types

USABLE_TIME_SHARE = 0.3
MAX_SPARE_AGE_MS = 50
MAX_CANDIDATES = 8


def work_ms(offer: types.Offer, view: types.UpstreamView) -> float:
    """Estimates the engine time of an offer on an upstream.

    :param offer: the offer
    :param view: the upstream
    :return: milliseconds
    """
    cached = view.cached_tokens(offer.prefix_keys)
    return estimate.engine_ms(
        max(0, offer.prompt_tokens - cached),
        offer.output_tokens,
        view.speeds,
        view.limits.max_running,
    )


def spare_ms(
    higher: typing.Iterable[types.Offer],
    view: types.UpstreamView,
    now_ms: int,
) -> float:
    """Returns the engine time that offers of higher tiers can spare.

    Each offer, together with all that are due before it, must be done
    within :data:`USABLE_TIME_SHARE` of the time to its deadline. This
    upstream does its share of the work among the agents of each offer.

    :param higher: offers of more important tiers, in any order
    :param view: the upstream
    :param now_ms: the current time
    :return: milliseconds; infinite without offers, negative when the offers
        already need more than the allowed time
    """
    spare = float("inf")
    needed_ms = 0.0
    for offer in sorted(higher, key=lambda item: item.deadline_ms):
        needed_ms += work_ms(offer, view) / max(1, offer.agents)
        allowed_ms = USABLE_TIME_SHARE * (offer.deadline_ms - now_ms)
        spare = min(spare, allowed_ms - needed_ms)
    return spare


@dataclasses.dataclass
class SpareTime:
    """Cached spare engine time of all tiers above a given tier.

    :param computed_ms: when it was computed
    :param spare_ms: spare engine time then, less that of the requests
        started early since
    """

    computed_ms: int
    spare_ms: float


class Lookahead:
    """Finds offers of lower tiers that may start first.

    Caches the spare time of the higher tiers.

    :param book: the offers of the upstream
    """

    def __init__(self, book: offer_book.OfferBook) -> None:
        self.book = book
        self.spare_times: dict[int, SpareTime] = {}

    def improve(
        self,
        choice: selection.Choice,
        running: typing.Sequence[types.Running],
        view: types.UpstreamView,
        now_ms: int,
    ) -> selection.Choice:
        """Lets an offer of a lower tier start before the chosen one.

        The offer replaces the pull of the choice, or fills an upstream for
        which the choice has none. A choice that resumes a request stays as
        it is, since a choice either resumes or pulls. So does one that
        suspends requests: they are suspended for the chosen offer only.
        While there are urgent offers nothing starts early, because an agent
        that skips one as ``higher_tier`` confirms that no work of a lower
        tier starts.

        :param choice: choice by strict tier order
        :param running: requests that the upstream was given
        :param view: the upstream
        :param now_ms: the current time
        :return: a choice with that offer, or the given one
        """
        blocked = choice.resume is not None or bool(choice.suspend)
        if blocked or self.book.urgent or not view.accepting:
            return choice
        context = selection.SelectionContext(view, running, now_ms)
        found = self.find_early_start(choice, context)
        if found is None:
            return choice
        offer, cost_ms = found
        for rank, spare in self.spare_times.items():
            if rank <= offer.tier_rank:
                spare.spare_ms -= cost_ms
        return dataclasses.replace(choice, pull=offer, recheck_at_ms=None)

    def find_early_start(
        self, choice: selection.Choice, context: selection.SelectionContext
    ) -> tuple[types.Offer, float] | None:
        """Finds an offer of a lower tier that may go first.

        Takes one candidate per tier, the first of its first
        :data:`MAX_CANDIDATES` offers that could start now, and returns the
        first candidate whose engine time the tiers above it can spare, by
        importance of the tiers.

        :param choice: choice by strict tier order
        :param context: the upstream and its load
        :return: the offer and its engine time, or None
        """
        ranks = list(self.book.tiers)
        if choice.pull is not None:
            due_ms = choice.pull.deadline_ms
            ranks = [rank for rank in ranks if rank > choice.pull.tier_rank]
        else:
            due_ms = None
            ranks = ranks[1:]
        for rank in ranks:
            offer = self.first_startable(rank, due_ms, context)
            if offer is None:
                continue
            cost_ms = work_ms(offer, context.view)
            if cost_ms <= self.spare_above_ms(rank, context):
                return offer, cost_ms
        return None

    def first_startable(
        self,
        rank: int,
        due_ms: int | None,
        context: selection.SelectionContext,
    ) -> types.Offer | None:
        """Returns the first offer of a tier that could start now.

        Looks at the first :data:`MAX_CANDIDATES` offers only.

        :param rank: rank of the tier
        :param due_ms: if given, the offer must be due before this time
        :param context: the upstream and its load
        :return: the offer, or None
        """
        for index, offer in enumerate(self.book.tiers[rank].in_order()):
            if index >= MAX_CANDIDATES:
                return None
            if due_ms is not None and offer.deadline_ms >= due_ms:
                continue
            if selection.must_wait_for_suspect(offer, context):
                continue
            if selection.can_start(offer, context.running, context):
                return offer
        return None

    def spare_above_ms(
        self, rank: int, context: selection.SelectionContext
    ) -> float:
        """Returns the engine time that all tiers above a tier can spare.

        :param rank: rank of the lower tier
        :param context: the upstream and its load
        :return: milliseconds, less than :data:`MAX_SPARE_AGE_MS` old
        """
        cached = self.spare_times.get(rank)
        if (
            cached is None
            or context.now_ms - cached.computed_ms >= MAX_SPARE_AGE_MS
        ):
            cached = SpareTime(
                context.now_ms, self.compute_spare_ms(rank, context)
            )
            self.spare_times[rank] = cached
        return cached.spare_ms

    def compute_spare_ms(
        self, rank: int, context: selection.SelectionContext
    ) -> float:
        """Computes the engine time that all tiers above a tier can spare.

        :param rank: rank of the lower tier
        :param context: the upstream and its load
        :return: milliseconds
        """
        higher = [
            offer
            for above, tier in self.book.tiers.items()
            if above < rank
            for offers in (tier.in_order(), tier.held.values())
            for offer in offers
        ]
        return spare_ms(higher, context.view, context.now_ms)
