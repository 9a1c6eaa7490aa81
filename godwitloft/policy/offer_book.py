"""Holds an agent's offers in an index that is updated on every change.

A choice examines only the first offers of the index, so its cost hardly
grows with the number of offers.
"""

import itertools
import typing

import sortedcontainers

from godwitloft.policy import selection
from godwitloft.policy import shed
from godwitloft.policy import types
from godwitloft.policy import usage as team_usage

SWEEP_LIMIT = 64


class TierIndex:
    """The offers of one tier.

    :param tier_rank: 0 is the most important tier
    """

    def __init__(self, tier_rank: int) -> None:
        self.tier_rank = tier_rank
        self.ready: dict[str, sortedcontainers.SortedDict] = {}
        self.teams = sortedcontainers.SortedList()
        self.team_keys: dict[str, tuple[float, str]] = {}
        self.held = sortedcontainers.SortedDict()

    def add_ready(self, offer: types.Offer, virtual_ms: float) -> None:
        """Adds an offer that may start.

        :param offer: the offer
        :param virtual_ms: its team's virtual time
        """
        offers = self.ready.get(offer.team)
        if offers is None:
            offers = sortedcontainers.SortedDict()
            self.ready[offer.team] = offers
            self.move_team(offer.team, virtual_ms)
        offers[(offer.deadline_ms, offer.request_id)] = offer

    def add_held(self, offer: types.Offer) -> None:
        """Adds an offer that may not start yet.

        :param offer: the offer
        """
        self.held[(offer.hold_until_ms, offer.request_id)] = offer

    def remove(self, offer: types.Offer) -> None:
        """Removes an offer, whether ready or held.

        :param offer: the offer
        """
        self.held.pop((offer.hold_until_ms, offer.request_id), None)
        offers = self.ready.get(offer.team)
        if offers is None:
            return
        offers.pop((offer.deadline_ms, offer.request_id), None)
        if not offers:
            del self.ready[offer.team]
            self.teams.remove(self.team_keys.pop(offer.team))

    def move_team(self, team: str, virtual_ms: float) -> None:
        """Moves a team to its new place after its virtual time changed.

        :param team: name of the team
        :param virtual_ms: its virtual time
        """
        if team not in self.ready:
            return
        old = self.team_keys.get(team)
        if old is not None:
            self.teams.remove(old)
        self.team_keys[team] = (virtual_ms, team)
        self.teams.add((virtual_ms, team))

    def in_order(self) -> typing.Iterator[types.Offer]:
        """Yields the offers that may start, in the order of choice.

        :return: an iterator; the index must not change while it is used
        """
        for _, team in self.teams:
            yield from self.ready[team].values()

    def due_held(self, now_ms: int) -> list[types.Offer]:
        """Returns the held offers that have become ready.

        :param now_ms: the current time
        :return: the offers, which stay in the held index
        """
        due = []
        for (hold_until_ms, _), offer in self.held.items():
            if hold_until_ms > now_ms:
                break
            due.append(offer)
        return due


class OfferBook:
    """The offers that an agent holds, in the order of choice.

    :param usage: engine time charged to the teams on this upstream
    """

    def __init__(self, usage: team_usage.UsageLedger | None = None) -> None:
        self.usage = usage or team_usage.UsageLedger()
        self.offers: dict[str, types.Offer] = {}
        self.too_late_ids: set[str] = set()
        self.tiers = sortedcontainers.SortedDict()
        self.urgent = sortedcontainers.SortedDict()

    def __len__(self) -> int:
        return len(self.offers)

    def add(self, offer: types.Offer) -> None:
        """Adds an offer, replacing an earlier one of the same id.

        An offer that was marked as too late is considered again.

        :param offer: the offer
        """
        self.remove(offer.request_id)
        rank = offer.tier_rank
        self.offers[offer.request_id] = offer
        if rank not in self.tiers:
            self.tiers[rank] = TierIndex(rank)
        if offer.hold_until_ms > 0:
            self.tiers[rank].add_held(offer)
        else:
            self._add_ready(offer)
        if offer.urgent:
            self.urgent[(rank, offer.request_id)] = offer

    def remove(self, request_id: str) -> types.Offer | None:
        """Removes an offer.

        :param request_id: id of the request
        :return: the offer, or None when it isn't in the book
        """
        offer = self.offers.pop(request_id, None)
        if offer is None:
            return None
        if request_id in self.too_late_ids:
            self.too_late_ids.discard(request_id)
        else:
            self._unindex(offer)
        return offer

    def start(self, request_id: str, engine_ms: float) -> None:
        """Removes an offer that starts, and charges its team.

        :param request_id: id of the request
        :param engine_ms: engine time that it is expected to take
        """
        offer = self.offers[request_id]
        rank = offer.tier_rank
        virtual_ms = self.usage.start(
            rank, offer.team, offer.team_weight, engine_ms
        )
        self._move_team(rank, offer.team, virtual_ms)
        self.remove(request_id)

    def correct(
        self, tier_rank: int, team: str, weight: int, engine_ms: float
    ) -> None:
        """Charges a team for engine time in excess of the estimate.

        :param tier_rank: rank of the tier
        :param team: name of the team
        :param weight: the team's weight
        :param engine_ms: excess engine time; negative is refunded
        """
        virtual_ms = self.usage.correct(tier_rank, team, weight, engine_ms)
        self._move_team(tier_rank, team, virtual_ms)

    def choose(
        self,
        running: typing.Sequence[types.Running],
        view: types.UpstreamView,
        now_ms: int,
    ) -> selection.Choice:
        """Chooses what to do next; see :mod:`godwitloft.policy.selection`.

        Offers skipped as too late are marked: they stay in the book until
        they are removed, but are not considered again.

        :param running: requests that the upstream was given
        :param view: the upstream
        :param now_ms: the current time
        :return: the next action
        """
        self._release_held(now_ms)
        tiers = (
            selection.TierOffers(rank, tier.in_order(), tier.held.values())
            for rank, tier in self.tiers.items()
        )
        context = selection.SelectionContext(view, running, now_ms)
        choice = selection.decide(tiers, list(self.urgent.values()), context)
        self._mark_too_late(choice.skipped)
        return choice

    def sweep(
        self,
        running: typing.Sequence[types.Running],
        view: types.UpstreamView,
        now_ms: int,
        limit: int = SWEEP_LIMIT,
    ) -> tuple[selection.Skipped, ...]:
        """Finds offers that are too late but that choices don't reach.

        Removes offers marked as too late whose deadline has passed. Each
        call continues where the last one stopped, so that its cost is
        bounded and every offer is checked in turn.

        :param running: requests that the upstream was given
        :param view: the upstream
        :param now_ms: the current time
        :param limit: maximum number of offers to check
        :return: the offers newly marked as too late
        """
        context = selection.SelectionContext(view, running, now_ms)
        skips = []
        for offer in self._next_sweep_batch(limit):
            if offer.request_id in self.too_late_ids:
                if offer.deadline_ms <= now_ms:
                    self.remove(offer.request_id)
                continue
            skip = selection.check_too_late(offer, context)
            if skip is not None:
                skips.append(skip)
        self._mark_too_late(skips)
        return tuple(skips)

    def _next_sweep_batch(self, limit: int) -> list[types.Offer]:
        """Returns the next offers to check, least recently checked first.

        A dictionary keeps insertion order, so an offer that is moved to the
        end is checked again only after all others.
        """
        batch = []
        for request_id in tuple(itertools.islice(self.offers, limit)):
            offer = self.offers.pop(request_id)
            self.offers[request_id] = offer
            batch.append(offer)
        return batch

    def _release_held(self, now_ms: int) -> None:
        for tier in self.tiers.values():
            for offer in tier.due_held(now_ms):
                tier.remove(offer)
                self._add_ready(offer)

    def _add_ready(self, offer: types.Offer) -> None:
        tier = self.tiers[offer.tier_rank]
        if offer.team in tier.ready:
            virtual_ms = self.usage.usage().virtual_time_ms(
                tier.tier_rank, offer.team
            )
        else:
            virtual_ms = self.usage.activate(tier.tier_rank, offer.team)
        tier.add_ready(offer, virtual_ms)

    def _move_team(self, tier_rank: int, team: str, virtual_ms: float) -> None:
        tier = self.tiers.get(tier_rank)
        if tier is not None:
            tier.move_team(team, virtual_ms)

    def _mark_too_late(
        self, skipped: typing.Iterable[selection.Skipped]
    ) -> None:
        for skip in skipped:
            if skip.reason == shed.TOO_LATE:
                self._unindex(self.offers[skip.request_id])
                self.too_late_ids.add(skip.request_id)

    def _unindex(self, offer: types.Offer) -> None:
        rank = offer.tier_rank
        self.urgent.pop((rank, offer.request_id), None)
        tier = self.tiers[rank]
        tier.remove(offer)
        if not tier.ready and not tier.held:
            del self.tiers[rank]
        self.usage.forget_idle(self._has_ready)

    def _has_ready(self, tier_rank: int, team: str) -> bool:
        tier = self.tiers.get(tier_rank)
        return tier is not None and team in tier.ready
