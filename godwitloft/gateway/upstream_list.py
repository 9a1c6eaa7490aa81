"""Keeps upstreams whose announcements lapsed while their list was away.

An upstream can't renew its announcement at a list that is away, so it may
lapse although the upstream is sound. It announces itself again soon after
the list's return; one that is still missing then has gone. One that was
listed after the return and is missing later has gone as well.
"""

from godwitloft.gateway import model

RETURN_TIMEOUT_MS = 1_900


class UpstreamList:
    """The last list of upstreams, and those that may come back to it."""

    def __init__(self) -> None:
        self.last_listed: dict[str, model.Upstream] = {}
        self.lapsed: dict[str, model.Upstream] = {}
        self.just_returned = False
        self.returned_ms = 0

    def mark_returned(self, now_ms: int) -> None:
        """Notes that the next list is the first one after an absence.

        :param now_ms: the time
        """
        self.just_returned = True
        self.returned_ms = now_ms

    def has_lapsed(self) -> bool:
        """Tells whether a lapsed upstream may still come back.

        :return: whether there is one
        """
        return bool(self.lapsed)

    def update(
        self, listed: dict[str, model.Upstream], now_ms: int
    ) -> dict[str, model.Upstream]:
        """Returns the upstreams that are taken as alive.

        :param listed: what the list holds now, by id
        :param now_ms: the time
        :return: these, and those that may still come back
        """
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
        if now_ms - self.returned_ms > RETURN_TIMEOUT_MS:
            self.lapsed = {}
        for name in listed:
            self.lapsed.pop(name, None)
        self.last_listed = dict(listed)
        return {**self.lapsed, **listed}
