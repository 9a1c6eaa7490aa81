"""Keeps what other gateways use of the teams' allowances, as far as known."""

import heapq
import typing

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway.allowances import former_use
from godwitloft.gateway.allowances import gateway_list
from godwitloft.gateway.allowances import peers
from godwitloft.links.generated.datagrams import ttypes

# A gateway that was not heard for so many intervals may be gone.
GONE_INTERVALS = 1.5
MAX_NAMES_LOGGED = 20


class PeerUse:
    """Usage and demand of the teams at the other gateways.

    :param clock: source of the time
    :param others: the other gateways, and what they announced
    :param length_ms: how long a use counts
    """

    def __init__(
        self,
        clock: clocks.Clock,
        others: gateway_list.GatewayList,
        length_ms: int,
    ) -> None:
        self.clock = clock
        self.others = others
        self.length_ms = length_ms
        self.former = former_use.PeerFormerUses(clock, length_ms)
        self.saved = former_use.SavedUses(clock, length_ms)

    def drop_expired(self) -> None:
        """Drops what has left the window."""
        self.former.drop_expired()
        self.saved.drop_expired()

    def demand(self, team: str, now_ms: int) -> tuple[float, int]:
        """Returns a team's demand at the other gateways.

        :param team: name of the team
        :param now_ms: the current time
        :return: tokens per second at those that were heard lately, and how
            many those are
        """
        asked = 0.0
        heard = 0
        since_ms = now_ms - gateway_list.PEER_TIMEOUT_MS
        for name in self.others.hosts:
            peer = self.others.peers.get(name)
            if peer is not None and peer.received_ms >= since_ms:
                asked += peer.demands.get(team, 0.0)
                heard += 1
        return asked, heard

    def committed(
        self, team: str, equal_share: float, silent_ms: int, now_ms: int
    ) -> float:
        """Returns what the other gateways have committed.

        :param team: name of the team
        :param equal_share: counts at the least for each one that is listed
            and was not heard lately
        :param silent_ms: time after which one that wasn't heard may be gone
        :param now_ms: the current time
        :return: tokens
        """
        committed = 0.0
        since_ms = self.complete_since_ms(silent_ms, now_ms)
        unsure = self.unheard()
        for name, peer in self.others.peers.items():
            if peer.received_ms < since_ms or peer.is_starting:
                unsure.add(name)
            else:
                committed += peer.committed.get(team, 0.0)
        for name in unsure:
            known = self.committed_by(name, team, now_ms)
            is_listed = name in self.others.hosts
            if is_listed and not self.others.was_heard(name, since_ms):
                known = max(known, equal_share)
            committed += known
        return committed

    def complete_since_ms(self, silent_ms: int, now_ms: int) -> int:
        """Returns since when a peer must have been heard to be believed.

        Where none was heard for a while, this gateway may be cut off, and
        nobody knows what it uses.

        :param silent_ms: time after which one that wasn't heard may be gone
        :param now_ms: the current time
        :return: the time since which its announced use is taken for complete
        """
        if self.others.hears_any(now_ms - silent_ms):
            return now_ms - gateway_list.PEER_TIMEOUT_MS
        return now_ms - silent_ms

    def unheard(self) -> set[str]:
        """Returns the gateways that are known and were never heard."""
        known = self.others.hosts.keys() | self.saved.windows.keys()
        known |= self.former.uses.keys()
        return known - self.others.peers.keys()

    def committed_by(self, name: str, team: str, now_ms: int) -> float:
        """Returns what another gateway has committed, as far as known.

        :param name: name of its instance
        :param team: name of the team
        :param now_ms: the current time
        :return: tokens; those that it last announced, until its use must have
            left the window
        """
        peer = self.others.peers.get(name)
        committed = 0.0
        if peer is not None:
            if now_ms - peer.received_ms < self.length_ms:
                committed = peer.committed.get(team, 0.0)
            if not peer.is_starting:
                return committed
        return max(
            committed,
            self.former.committed(name, team, now_ms),
            self.saved.committed(name, team, now_ms),
        )

    def receive(self, sharing: ttypes.Sharing) -> None:
        """Stores a peer's announcement.

        :param sharing: the received datagram
        """
        name = sharing.gateway
        now_ms = self.clock.monotonic_ms()
        previous = self.others.peers.get(name)
        if not sharing.starting:
            self.former.forget(name)
            self.saved.forget(name)
        elif previous is not None and not previous.is_starting:
            self.keep_former(name, previous)
            previous = None
        self.others.peers[name] = peers.receive(
            sharing, previous, now_ms, now_ms - self.length_ms
        )

    def keep_former(self, name: str, previous: peers.Peer) -> None:
        """Goes on counting what a peer had used before it was started again.

        :param name: name of its instance
        :param previous: its state before
        """
        self.former.keep(name, previous.committed, previous.received_ms)
        events.log(
            events.PEER_RESTARTED,
            gateway=name,
            heard_ms_ago=self.clock.monotonic_ms() - previous.received_ms,
            committed=largest(previous.committed),
        )

    def learn_former(self, others: typing.Iterable[ttypes.FormerUse]) -> None:
        """Learns what a peer knows of gateways that are gone or starting.

        :param others: as the peer told it
        """
        now_ms = self.clock.monotonic_ms()
        for other in others:
            peer = self.others.peers.get(other.gateway)
            if peer is None or peer.is_starting:
                self.former.keep(
                    other.gateway,
                    former_use.decode_committed(other.committed),
                    now_ms - max(0, other.age_ms),
                )

    def former_to_tell(
        self, receiver: str, silent_ms: int
    ) -> list[ttypes.FormerUse]:
        """Returns what is known of gateways that are gone or starting.

        :param receiver: name of the gateway that is told
        :param silent_ms: time after which one that wasn't heard may be gone
        :return: those that announced themselves within the window
        """
        now_ms = self.clock.monotonic_ms()
        found = []
        for name, peer in self.others.peers.items():
            age_ms = now_ms - peer.received_ms
            if name == receiver or age_ms >= self.length_ms:
                continue
            former = None
            if peer.is_starting:
                former = self.former.to_tell(name)
            elif age_ms > silent_ms:
                former = former_use.encode_committed(peer.committed)
            if former:
                found.append(ttypes.FormerUse(name, age_ms, former))
        return found[: former_use.MAX_OTHERS_TOLD]


def largest(tokens: typing.Mapping[str, float]) -> dict[str, int]:
    """Returns the largest amounts, for the log.

    :param tokens: by team, of which there may be thousands
    :return: at most :data:`MAX_NAMES_LOGGED` of them, the largest first
    """
    names = heapq.nlargest(
        MAX_NAMES_LOGGED, tokens, key=lambda name: tokens[name]
    )
    return {name: round(tokens[name]) for name in names}
