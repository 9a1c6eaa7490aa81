"""Keeps upstreams whose registrations expired while the list was unavailable.

An upstream can't renew its registration while the list is unavailable, so the
registration may expire although the upstream is alive. Such an upstream is
listed again soon after the list is available again; one that is still missing
then has ended. One that was listed after the outage and is missing later has
ended as well.
"""

from godwitloft.gateway import model

RETURN_TIMEOUT_MS = 1_900


class UpstreamList:
    """The last list of upstreams, and those that may be listed again."""

    def __init__(self) -> None:
        self.last_listed: dict[str, model.Upstream] = {}
        self.lapsed: dict[str, model.Upstream] = {}
        self.just_returned = False
        self.returned_ms = 0

    def mark_returned(self, now_ms: int) -> None:
        """Records that the next list is the first one after an outage.

        :param now_ms: the current time
        """
        self.just_returned = True
        self.returned_ms = now_ms

    def has_lapsed(self) -> bool:
        """Returns whether a lapsed upstream may still be listed again.

        :return: whether there is one
        """
        return bool(self.lapsed)

    def update(
        self, listed: dict[str, model.Upstream], now_ms: int
    ) -> dict[str, model.Upstream]:
        """Replaces the list and returns the upstreams assumed to be alive.

        :param listed: upstreams now on the list, by id
        :param now_ms: the current time
        :return: these, and those that may still be listed again
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
