"""Chooses the offer that an upstream starts next.

Tier strictly, then the team furthest below its weight, then the earliest
deadline, among the offers that this upstream can finish in time.
"""

import dataclasses
import typing

from godwitloft.policy import estimate
from godwitloft.policy import room
from godwitloft.policy import types
from godwitloft.policy import usage as team_usage

TOO_LATE = "too_late"
HIGHER_TIER = "higher_tier"
SUSPEND_SLACK_MS = 500


@dataclasses.dataclass(frozen=True)
class Skipped:
    """An offer that this upstream can't take.

    :param request_id: id of the request
    :param reason: ``too_late``: not in time, even were lower tiers not
        there; ``higher_tier``: it is urgent, and all that runs here is of
        its own or a higher tier
    :param finish_in_ms: estimate were lower tiers not there
    """

    request_id: str
    reason: str
    finish_in_ms: int


@dataclasses.dataclass(frozen=True)
class Choice:
    """What an agent does next.

    :param pull: the offer to ask for, or None
    :param suspend: ids of running requests to suspend once the pull is
        granted, lowest and newest first
    :param skipped: offers to tell their entries about
    :param look_again_ms: when a held offer becomes ready, or None
    """

    pull: types.Offer | None = None
    suspend: tuple[str, ...] = ()
    skipped: tuple[Skipped, ...] = ()
    look_again_ms: int | None = None


def finish_without_lower_ms(
    offer: types.Offer,
    view: types.UpstreamView,
    running: typing.Sequence[types.Running],
) -> int:
    """Estimates the end of a request were lower tiers' work not there.

    :param offer: the request
    :param view: the upstream
    :param running: what runs on it
    :return: milliseconds from now to the last token
    """
    kept = [one for one in running if one.tier_rank <= offer.tier_rank]
    return estimate.finish_in_ms(offer, view, kept)


def choose(
    offers: typing.Iterable[types.Offer],
    running: typing.Sequence[types.Running],
    view: types.UpstreamView,
    usage: team_usage.TeamUsage,
    now_ms: int,
) -> Choice:
    """Chooses the next offer by looking at all of them.

    :param offers: bids of all entries
    :param running: what runs on the upstream
    :param view: the upstream
    :param usage: what the teams were charged
    :param now_ms: the time
    :return: what to do next
    """
    if not view.accepting:
        return Choice()
    ordered = sorted(
        offers,
        key=lambda offer: (
            offer.tier_rank,
            usage.of(offer.tier_rank, offer.team),
            offer.team,
            offer.deadline_ms,
            offer.request_id,
        ),
    )
    skipped: list[Skipped] = []
    for offer in ordered:
        finish_ms = finish_without_lower_ms(offer, view, running)
        if now_ms + finish_ms > offer.deadline_ms:
            skipped.append(Skipped(offer.request_id, TOO_LATE, finish_ms))
            continue
        if offer.hold_until_ms > now_ms:
            return Choice(None, (), tuple(skipped), offer.hold_until_ms)
        if room.fits(offer, view, running):
            return Choice(offer, (), tuple(skipped))
        return Choice(None, (), tuple(skipped))
    return Choice(skipped=tuple(skipped))


class OfferBook:
    """The offers that an agent holds, in the order of choice."""

    def __init__(self, usage: team_usage.UsageLedger | None = None) -> None:
        self.usage = usage or team_usage.UsageLedger()
        self.offers: dict[str, types.Offer] = {}

    def add(self, offer: types.Offer) -> None:
        """Takes an offer in; replaces an earlier one of the same id.

        :param offer: the offer
        """
        self.offers[offer.request_id] = offer

    def remove(self, request_id: str) -> types.Offer | None:
        """Takes an offer out.

        :param request_id: id of the request
        :return: the offer, or None when it wasn't held
        """
        return self.offers.pop(request_id, None)

    def choose(
        self,
        running: typing.Sequence[types.Running],
        view: types.UpstreamView,
        now_ms: int,
    ) -> Choice:
        """Chooses the next offer; see :func:`choose`.

        :param running: what runs on the upstream
        :param view: the upstream
        :param now_ms: the time
        :return: what to do next; skipped offers stay in the book
        """
        return choose(
            self.offers.values(), running, view, self.usage.usage(), now_ms
        )
