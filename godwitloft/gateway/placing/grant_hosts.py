"""Chooses the gateway that grants an upstream's slots.

Where no agent runs beside an upstream, one of the gateways takes its place.
All gateways choose the same one without any agreement, by a hash over those
that were heard lately; a change of one gateway moves only the upstreams that
it grants.
"""

from godwitloft import clock as clocks
from godwitloft.gateway.allowances import gateway_list
from godwitloft.gateway.allowances import sharing as sharings
from godwitloft.links import datagrams

# A gateway that was silent for this many intervals of announcements no longer
# grants. Grants outlive it by about as long.
SILENT_INTERVALS = 3
# How often it is checked which gateways were heard.
CHECK_INTERVAL_MS = 100
MAX_CHOICES = 2_000


class GrantHosts:
    """Addresses of the gateways that grant slots, by upstream.

    :param clock: source of the time
    :param sharing: the other gateways
    :param own: address of this gateway
    """

    def __init__(
        self,
        clock: clocks.Clock,
        sharing: sharings.Sharing,
        own: datagrams.Address,
    ) -> None:
        self.clock = clock
        self.sharing = sharing
        self.own = own
        self.checked_ms: int | None = None
        self.heard: list[str] = []
        self.choices: dict[str, datagrams.Address] = {}

    def address(self, upstream: str) -> datagrams.Address:
        """Returns the address to which wants for an upstream are sent.

        :param upstream: identity of the upstream
        """
        self.check()
        found = self.choices.get(upstream)
        if found is None:
            if len(self.choices) >= MAX_CHOICES:
                self.choices.clear()
            found = self.choices[upstream] = self.choose(upstream)
        return found

    def choose(self, upstream: str) -> datagrams.Address:
        """Returns the address of the gateway with the highest hash.

        :param upstream: identity of the upstream
        """
        own = self.sharing.instance
        name = max(
            [own, *self.heard],
            key=lambda name: gateway_list.order(upstream, name),
        )
        if name == own:
            return self.own
        return self.sharing.hosts[name], self.own[1]

    def check(self) -> None:
        """Finds out which gateways were heard lately, if that is due."""
        now_ms = self.clock.monotonic_ms()
        if (
            self.checked_ms is not None
            and now_ms - self.checked_ms < CHECK_INTERVAL_MS
        ):
            return
        self.checked_ms = now_ms
        silent_ms = SILENT_INTERVALS * self.sharing.announce_interval_ms()
        heard = [
            name
            for name in self.sharing.hosts
            if self.sharing.others.was_heard(name, now_ms - silent_ms)
        ]
        if heard != self.heard:
            self.heard = heard
            self.choices.clear()
