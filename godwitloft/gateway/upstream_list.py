"""Decides which upstreams are alive after the list was unavailable.

An upstream can't renew its registration while the list is unavailable, so the
registration may expire although the upstream is alive. Such an upstream is
listed again soon after the list is available again; one that is still missing
then has ended. One that was listed after the outage and is missing later has
ended as well.

A store that was restored from a copy lists upstreams that had ended by then,
until their registrations expire, and earlier states of the others. A row from
the copy counts only once it has been written again: until then an upstream
that had been missing stays so, and one that was listed stays as it was.
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
    """The last list of upstreams, and those that may be listed again."""

    def __init__(self) -> None:
        self.last_listed: dict[str, model.Upstream] = {}
        self.lapsed: dict[str, model.Upstream] = {}
        self.just_returned = False
        self.returned_ms = 0
        # Upstreams that are no longer listed, by id.
        self.ended: dict[str, Ended] = {}
        # Those of them that had ended before the store was restored.
        self.ended_before_restore: dict[str, Ended] = {}
        # Upstreams as they were listed before the store was restored, until
        # their rows are written again.
        self.before_restore: dict[str, model.Upstream] = {}
        # The store's version when the list was first read after a restore.
        self.restored_version: int | None = None

    def mark_returned(self, now_ms: int) -> None:
        """Records that the next list is the first one after an outage.

        :param now_ms: the current time
        """
        self.just_returned = True
        self.returned_ms = now_ms

    def mark_restored(self, now_ms: int) -> None:
        """Records that the next list is the first one after a restore.

        :param now_ms: the current time
        """
        self.mark_returned(now_ms)
        self.restored_version = None
        self.before_restore |= self.last_listed
        self.ended_before_restore |= {
            name: Ended(ended.born_ms, now_ms)
            for name, ended in self.ended.items()
            if now_ms - ended.at_ms <= ENDED_KEPT_MS
        }

    def has_lapsed(self) -> bool:
        """Returns whether a lapsed upstream may still be listed again.

        :return: whether there is one
        """
        return bool(self.lapsed)

    def update(
        self,
        listed: dict[str, model.Upstream],
        now_ms: int,
        versions: typing.Mapping[str, int] | None = None,
        store_version: int = 0,
    ) -> dict[str, model.Upstream]:
        """Replaces the list and returns the upstreams assumed to be alive.

        :param listed: upstreams now on the list, by id
        :param now_ms: the current time
        :param versions: version of each upstream's row, by id
        :param store_version: version of the store when the list was read
        :return: these, and those that may still be listed again
        """
        if now_ms - self.returned_ms > ENDED_KEPT_MS:
            self.ended_before_restore.clear()
            self.before_restore.clear()
        listed = self.without_copied(listed, versions or {}, store_version)
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
        if now_ms - self.returned_ms > RETURN_TIMEOUT_MS:
            self.lapsed = {}
        for name in listed:
            self.lapsed.pop(name, None)
        self.last_listed = dict(listed)
        alive = {**self.lapsed, **listed}
        self.record_ended(before, alive, now_ms)
        return alive

    def without_copied(
        self,
        listed: dict[str, model.Upstream],
        versions: typing.Mapping[str, int],
        store_version: int,
    ) -> dict[str, model.Upstream]:
        """Returns the list without what only a copy of the store says.

        :param listed: upstreams on the list, by id
        :param versions: version of each upstream's row, by id
        :param store_version: version of the store when the list was read
        :return: those whose rows were written again; others as they were
            before the restore, unless they had ended
        """
        if not self.ended_before_restore and not self.before_restore:
            return listed
        if self.restored_version is None:
            self.restored_version = store_version
        believed = {}
        for name, upstream in listed.items():
            if versions.get(name, 0) > self.restored_version:
                self.ended_before_restore.pop(name, None)
                self.before_restore.pop(name, None)
            ended = self.ended_before_restore.get(name)
            if ended is None or ended.born_ms != upstream.born_ms:
                believed[name] = self.before_restore.get(name, upstream)
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
