"""Decides when a gateway that starts, or was cut off, grants allowances.

It asks the others what was used, restores what was saved, and grants nothing
until each one has answered or had time to.
"""

import typing

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway.allowances import allowance
from godwitloft.gateway.allowances import former_use
from godwitloft.gateway.allowances import gateway_list
from godwitloft.gateway.allowances import own_use
from godwitloft.gateway.allowances import peer_use as peer_uses
from godwitloft.links.generated.datagrams import ttypes

# For how long a gateway that starts announces itself also to those whose
# leases are over: they may serve without the store, which knows both.
INTRODUCTION_MS = 3_000


class GrantStart:
    """What is known of the time before this gateway may grant.

    :param clock: source of the time
    :param own: usage at this gateway
    :param others: the other gateways
    :param peer_use: usage at the other gateways
    :param announce_soon: called when peers must be told
    :param drop_reserved: called when reserved tokens may be used elsewhere
    """

    def __init__(
        self,
        clock: clocks.Clock,
        own: own_use.OwnUse,
        others: gateway_list.GatewayList,
        peer_use: peer_uses.PeerUse,
        announce_soon: typing.Callable[[], None],
        drop_reserved: typing.Callable[[], None],
    ) -> None:
        self.clock = clock
        self.own = own
        self.others = others
        self.peer_use = peer_use
        self.announce_soon = announce_soon
        self.drop_reserved = drop_reserved
        self.questions = former_use.OwnFormerUse(clock)
        self.restored = False
        self.started_ms = clock.monotonic_ms()
        # Whether neither this instance nor another has run before.
        self.is_first = True
        # When the store or another gateway was last heard.
        self.contact_ms = clock.monotonic_ms()
        # IP numbers of all gateways that had a row at the start, by instance.
        self.saved_hosts: dict[str, str] = {}
        self.introduced_until_ms = 0

    def is_starting(self) -> bool:
        """Returns whether peers may still tell what was used before the start.

        :return: whether to wait for them; never without peers
        """
        if self.questions.is_asking:
            if self.questions.is_complete(self.others.hosts.keys()):
                self.end_start()
        return self.questions.is_asking

    def is_ready(self) -> bool:
        """Returns whether it is known what this gateway and its peers know.

        :return: whether allowances can be granted
        """
        return self.restored and not self.is_starting()

    def restore(self, used: former_use.Usage | None, age_ms: int) -> None:
        """Restores the usage saved before this process was restarted.

        :param used: as :meth:`usage` returned it, None if nothing is saved:
            this instance is new, or a restore of the store has cut it back
        :param age_ms: how long ago it was saved
        """
        if used is None:
            events.log(events.USE_LOST)
        else:
            self.is_first = False
        self.own.restore(used or {}, age_ms)
        now_ms = self.clock.monotonic_ms()
        events.log(
            events.USE_RESTORED,
            age_ms=age_ms if used is not None else None,
            used={
                team: round(tokens)
                for team, tokens in self.own.largest_uses(now_ms)
            },
            of_peers=sorted(self.peer_use.saved.windows)[
                : peer_uses.MAX_NAMES_LOGGED
            ],
        )

    def restore_newer(self, used: former_use.Usage, age_ms: int) -> None:
        """Counts what the process before had saved beyond :meth:`restore`.

        :param used: as it was saved later
        :param age_ms: how long ago it was saved
        """
        counted_ms = self.own.tolerance.counted_ms
        counted = {
            team: allowance.still_counted(sums, age_ms, counted_ms)
            for team, sums in used.items()
        }
        self.own.add_told(counted, self.clock.monotonic_ms())

    def restore_peer(
        self, name: str, host: str, used: former_use.Usage, age_ms: int
    ) -> None:
        """Restores another gateway's saved usage until it announces itself.

        :param name: name of its instance
        :param host: its IP number, whether or not its lease is over
        :param used: tokens by age, by team
        :param age_ms: how long ago the other gateway saved its usage
        """
        self.saved_hosts[name] = host
        self.is_first = False
        is_recent = age_ms < self.own.tolerance.counted_ms
        if is_recent and name not in self.others.peers:
            self.peer_use.saved.add(name, used, age_ms)
            self.own.before_start.add_other(used, age_ms)

    def join(self) -> None:
        """Joins the other gateways: asks what this one had used before.

        Called once, when the usage is restored and each other gateway is
        known here, or knows this one.
        """
        self.restored = True
        self.is_first = self.is_first and not self.others.hosts
        self.announce_soon()
        now_ms = self.clock.monotonic_ms()
        self.introduced_until_ms = now_ms + INTRODUCTION_MS
        self.questions.ask()
        # Without others, there is nobody to wait for.
        self.is_starting()

    def end_start(self) -> None:
        """Counts what peers have told, or else what is estimated."""
        own = self.questions
        own.is_asking = False
        if own.is_told:
            self.own.before_start.own = {}
        self.announce_soon()
        events.log(
            events.GRANTS_BEGIN,
            listed=sorted(self.others.hosts)[: peer_uses.MAX_NAMES_LOGGED],
            answered=sorted(own.answered)[: peer_uses.MAX_NAMES_LOGGED],
            told=peer_uses.largest(own.told),
            estimated=not (own.is_told or own.knows_itself),
        )

    def record_contact(self) -> None:
        """Asks what others have used if this gateway was cut off until now.

        Meanwhile its lease may have ended, so that the others have used its
        share. To be called before anything is done with what was heard.
        """
        now_ms = self.clock.monotonic_ms()
        silent_ms = now_ms - self.contact_ms
        self.contact_ms = now_ms
        if (
            silent_ms < gateway_list.PEER_TIMEOUT_MS
            or not self.restored
            or not self.others.hosts
        ):
            return
        if not self.questions.is_asking:
            self.questions.ask_again()
            self.drop_reserved()
            self.announce_soon()
            events.log(
                events.CUT_OFF,
                silent_ms=silent_ms,
                listed=sorted(self.others.hosts)[: peer_uses.MAX_NAMES_LOGGED],
            )

    def learn_former(self, sharing: ttypes.Sharing) -> None:
        """Learns what a peer knows of this gateway's use before its start.

        :param sharing: the peer's answer
        """
        if not self.questions.is_asking:
            return
        self.questions.learn(sharing.gateway, sharing.former)
        self.peer_use.learn_former(sharing.others or ())
        if self.questions.knows_itself:
            return
        told = former_use.decode_committed(sharing.former or ())
        self.own.add_told(told, self.clock.monotonic_ms())
        if sharing.former:
            events.log(
                events.USE_TOLD,
                gateway=sharing.gateway,
                teams=sorted(peer_uses.largest(told)),
            )

    def receivers(self) -> dict[str, str]:
        """Returns whom to send announcements.

        :return: IP numbers by instance; at the start also of gateways whose
            leases are over
        """
        if not self.saved_hosts:
            return self.others.hosts
        now_ms = self.clock.monotonic_ms()
        if self.restored and now_ms >= self.introduced_until_ms:
            self.saved_hosts = {}
        return self.saved_hosts | self.others.hosts
