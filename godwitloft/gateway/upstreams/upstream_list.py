"""Decides which upstreams are alive after the list was unavailable.

An upstream can't renew its registration while the list is unavailable, so the
registration may expire although the upstream is alive. Such an upstream is
listed again soon after the list is available again; one that is still missing
then has ended. One that was listed after the outage and is missing later has
ended as well.

A store that was restored from a copy lists upstreams that had ended by then,
until their registrations expire, and earlier lives of others. One that had
ended counts as alive only if it is still listed when the registration of an
ended one would have expired; of two lives the later one counts.
"""

import dataclasses
import typing

from godwitloft.gateway import model

RETURN_TIMEOUT_MS = 1_900
# Longer than the age of a copy from which a store is restored.
ENDED_KEPT_MS = 120_000


@dataclasses.dataclass(frozen=True)
class Ended:
    """An upstream that is no longer listed.

    :param born_ms: start of its process
    :param at_ms: when it was found missing
    """

    born_ms: int
    at_ms: int


class UpstreamList:
    """The last list of upstreams, and those that may be listed again.

    :param expiry_ms: time after which a silent upstream's registration expires
    """

    def __init__(self, expiry_ms: int) -> None:
        self.expiry_ms = expiry_ms
        self.last_listed: dict[str, model.Upstream] = {}
        self.lapsed: dict[str, model.Upstream] = {}
        self.just_returned = False
        self.returned_ms = 0
        # When the lapsed upstreams were last known to be listed, None if no
        # proof can show that there was no outage.
        self.listed_ms: int | None = None
        # Upstreams that are no longer listed, by id.
        self.ended: dict[str, Ended] = {}
        # Upstreams as they were listed before the store was restored.
        self.before_restore: dict[str, model.Upstream] = {}
        # Until when the copy may list upstreams that have ended, None if it
        # doesn't.
        self.copied_until_ms: int | None = None
        # Whether upstreams were left out of the last list for that.
        self.left_out = False

    def mark_returned(self, now_ms: int, listed_ms: int | None = None) -> None:
        """Records that the next list is the first one after an outage.

        :param now_ms: the current time
        :param listed_ms: when the list before the outage was last known to be
            current, None if no proof can show that there was no outage
        """
        if not self.lapsed and not self.just_returned:
            self.listed_ms = listed_ms
        elif self.listed_ms is not None and listed_ms is not None:
            self.listed_ms = min(self.listed_ms, listed_ms)
        else:
            self.listed_ms = None
        self.just_returned = True
        self.returned_ms = now_ms
        if self.copied_until_ms is not None:
            # Registrations may not have expired during the outage.
            self.copied_until_ms = now_ms + self.expiry_ms

    def mark_restored(self, now_ms: int) -> None:
        """Records that the next list is the first one after a restore.

        :param now_ms: the current time
        """
        self.mark_returned(now_ms)
        self.copied_until_ms = now_ms + self.expiry_ms
        self.before_restore |= self.last_listed

    def needs_update(self, now_ms: int) -> bool:
        """Returns whether the list must be read even if it is unchanged.

        :param now_ms: the current time
        :return: whether a lapsed upstream may be listed again, or one that was
            left out counts as alive now
        """
        if self.lapsed:
            return True
        copied_until_ms = self.copied_until_ms
        if copied_until_ms is None:
            return False
        return self.left_out and now_ms > copied_until_ms

    def has_lapsed(self) -> bool:
        """Returns whether a lapsed upstream may still be listed again.

        :return: whether there is one
        """
        return bool(self.lapsed)

    def is_outage_disproved(
        self, was_up_since: typing.Callable[[int], bool]
    ) -> bool:
        """Returns whether the lapsed upstreams left while the store was up.

        :param was_up_since: returns whether the store was up since a time
        :return: whether their rows are missing for good
        """
        return self.listed_ms is not None and was_up_since(self.listed_ms)

    def update(
        self,
        listed: dict[str, model.Upstream],
        now_ms: int,
        outage_disproved: bool = False,
    ) -> dict[str, model.Upstream]:
        """Replaces the list and returns the upstreams assumed to be alive.

        :param listed: upstreams now on the list, by id
        :param now_ms: the current time
        :param outage_disproved: whether it has turned out that the store was
            up all the time
        :return: these, and those that may still be listed again
        """
        listed = self.without_copied(listed, now_ms)
        if self.just_returned:
            self.just_returned = False
            self.lapsed = {
                name: upstream
                for name, upstream in {
                    **self.lapsed,
                    **self.last_listed,
                }.items()
                if not upstream.leaving
            }
        before = {**self.lapsed, **self.last_listed}
        is_over = now_ms - self.returned_ms > RETURN_TIMEOUT_MS
        if is_over or outage_disproved:
            self.lapsed = {}
        for name in listed:
            self.lapsed.pop(name, None)
        self.last_listed = dict(listed)
        alive = {**self.lapsed, **listed}
        self.record_ended(before, alive, now_ms)
        return alive

    def without_copied(
        self, listed: dict[str, model.Upstream], now_ms: int
    ) -> dict[str, model.Upstream]:
        """Returns the list without what only a copy of the store says.

        :param listed: upstreams on the list, by id
        :param now_ms: the current time
        :return: the list without upstreams that had ended, and with the latest
            known life of the others
        """
        self.left_out = False
        if self.copied_until_ms is None:
            return listed
        if now_ms > self.copied_until_ms:
            self.copied_until_ms = None
            self.before_restore.clear()
            return listed
        believed = {}
        for name, upstream in listed.items():
            ended = self.ended.get(name)
            if ended is not None and upstream.born_ms <= ended.born_ms:
                self.left_out = True
                continue
            known = self.before_restore.get(name, upstream)
            is_earlier_life = upstream.born_ms < known.born_ms
            believed[name] = known if is_earlier_life else upstream
        return believed

    def record_ended(
        self,
        before: dict[str, model.Upstream],
        alive: dict[str, model.Upstream],
        now_ms: int,
    ) -> None:
        """Records which upstreams have ended.

        :param before: upstreams that were alive so far
        :param alive: upstreams that are alive now
        :param now_ms: the current time
        """
        for name, ended in list(self.ended.items()):
            if name in alive or now_ms - ended.at_ms > ENDED_KEPT_MS:
                del self.ended[name]
        for name in before.keys() - alive.keys():
            self.ended[name] = Ended(before[name].born_ms, now_ms)
