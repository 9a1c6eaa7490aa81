"""Lets short work of a lower tier go first while a higher one has time.

Strict tier order wastes an engine's time when a higher tier's deadlines are
far away: work of a lower tier that is due soon becomes late meanwhile,
though both could have been finished. So a lower tier's offer that is due
earlier may start first, as long as every higher offer known here would
still finish within a part of the time it has left, each upstream doing its
share of the work. What is left of that time is for estimates that are
wrong and upstreams that slow down.
"""

import dataclasses
import typing

from godwitloft.policy import estimate
from godwitloft.policy import offer_book
from godwitloft.policy import selection
from godwitloft.policy import types

SLACK_SHARE = 0.3
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
    """Returns the engine time that higher offers can do without.

    The offers are taken in order of their deadlines. Each must be done,
    with all before it, within :data:`SLACK_SHARE` of the time to its
    deadline; of the work, this upstream does its share.

    :param higher: offers of more important tiers, in any order
    :param view: the upstream
    :param now_ms: the time
    :return: milliseconds; infinite without any offer, negative when the
        offers already need more than they may
    """
    spare = float("inf")
    needed_ms = 0.0
    for offer in sorted(higher, key=lambda item: item.deadline_ms):
        needed_ms += work_ms(offer, view) / max(1, offer.agents)
        allowed_ms = SLACK_SHARE * (offer.deadline_ms - now_ms)
        spare = min(spare, allowed_ms - needed_ms)
    return spare


@dataclasses.dataclass
class SpareTime:
    """What was worked out for the tiers above one.

    :param computed_ms: when
    :param spare_ms: engine time left at that time, less what has since
        been started
    """

    computed_ms: int
    spare_ms: float


class Lookahead:
    """Finds lower offers that may go first; remembers what it worked out.

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
        """Replaces a choice by a lower offer that may go first.

        :param choice: by strict order of tiers
        :param running: what was given to the upstream
        :param view: the upstream
        :param now_ms: the time
        :return: a choice with that offer, or the one given
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
        """Finds the best lower offer that may go first.

        :param choice: by strict order of tiers
        :param context: the upstream
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

        :param rank: of the tier
        :param due_ms: it must be due before this time, if given
        :param context: the upstream
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
        """Returns the engine time that the tiers above one can do without.

        :param rank: of the lower tier
        :param context: the upstream
        :return: milliseconds, at most :data:`REFRESH_MS` old
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
        """Works out the engine time that tiers above one can do without.

        :param rank: of the lower tier
        :param context: the upstream
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
