"""Composes announcements to the other gateways, and sends them."""

import dataclasses
import heapq
import typing

from godwitloft import clock as clocks
from godwitloft.gateway.allowances import grant_start
from godwitloft.gateway.allowances import unseen
from godwitloft.gateway.peers import peer_status
from godwitloft.links import datagrams
from godwitloft.links.generated.datagrams import ttypes

MAX_TEAMS_ANNOUNCED = 20


@dataclasses.dataclass(frozen=True)
class RoomDemand:
    """This gateway's demand for services.

    :param refresh: takes the present demand for the announced one, called
        before it is sent to all others
    :param to_send: returns the announced demand, None if none is announced
    """

    refresh: typing.Callable[[], None]
    to_send: typing.Callable[[], list[ttypes.ServiceDemand] | None]


class Announcer:
    """Sends announcements, and learns how long they take.

    :param clock: source of the time
    :param send: sends a datagram to an address
    :param instance: name of this gateway
    :param port: UDP port on which gateways listen
    :param start: knows to whom to send, and whether this gateway still asks
    """

    def __init__(
        self,
        clock: clocks.Clock,
        send: typing.Callable[[bytes, datagrams.Address], None],
        instance: str,
        port: int,
        start: grant_start.GrantStart,
    ) -> None:
        self.clock = clock
        self.send = send
        self.instance = instance
        self.port = port
        self.start = start
        # When each team was last in a regular announcement.
        self.announced_ms: dict[str, int] = {}
        self.round_trips = unseen.RoundTrips(clock.monotonic_ms())
        self.own_status: typing.Callable[[], peer_status.PeerStatus] = (
            peer_status.PeerStatus
        )
        # Set by a gateway that announces its demand for services.
        self.room_demand = RoomDemand(_nothing, _none)

    def choose_teams(
        self,
        active: dict[str, float],
        unannounced: typing.Iterable[str],
    ) -> list[str]:
        """Chooses the teams of a regular announcement.

        :param active: tokens used, by team
        :param unannounced: teams with use that peers don't know
        :return: all, or those that used most, those whose turn it is, and
            those with unannounced use
        """
        if len(active) <= MAX_TEAMS_ANNOUNCED:
            return list(active)
        count = MAX_TEAMS_ANNOUNCED // 2
        largest = heapq.nlargest(count, active, key=active.__getitem__)
        waiting = heapq.nsmallest(
            count,
            active.keys() - set(largest),
            key=lambda name: self.announced_ms.get(name, 0),
        )
        return list(dict.fromkeys([*largest, *waiting, *unannounced]))

    def send_to_all(
        self,
        team_demands: list[ttypes.TeamDemand],
        partial: bool,
    ) -> None:
        """Sends a datagram to all peers.

        :param team_demands: demands and committed tokens of teams
        :param partial: whether teams that are missing are unchanged
        """
        self.room_demand.refresh()
        sharing = self.message(team_demands, partial)
        data = datagrams.encode(sharing=sharing)
        now_ms = self.clock.monotonic_ms()
        asked = self.round_trips.peer_to_ask(self.start.others.hosts)
        for name, host in self.start.receivers().items():
            answer_ms = self.round_trips.answer(name, now_ms)
            if name == asked or answer_ms is not None:
                sharing.asked_ms = now_ms if name == asked else None
                sharing.answer_ms = answer_ms
                own_data = datagrams.encode(sharing=sharing)
                self.send(own_data, (host, self.port))
            else:
                self.send(data, (host, self.port))

    def message(
        self, team_demands: list[ttypes.TeamDemand], partial: bool
    ) -> ttypes.Sharing:
        """Returns an announcement to be sent.

        :param team_demands: demands and committed tokens of teams
        :param partial: whether teams that are missing are unchanged
        :return: what to encode
        """
        sharing = ttypes.Sharing(
            gateway=self.instance,
            demands=team_demands,
            crashing=[],
            partial=partial or None,
            starting=self.start.questions.is_asking or None,
        )
        sharing.room_demands = self.room_demand.to_send()
        peer_status.encode(self.own_status(), sharing)
        return sharing

    def send_to(self, message: ttypes.Sharing, host: str) -> None:
        """Sends an announcement to one peer.

        :param message: what to encode
        :param host: IP number of the peer
        """
        self.send(datagrams.encode(sharing=message), (host, self.port))

    def learn_times(self, message: ttypes.Sharing) -> None:
        """Learns from a peer's announcement how long they take.

        :param message: the received datagram
        """
        now_ms = self.clock.monotonic_ms()
        if message.asked_ms is not None:
            self.round_trips.hold(message.gateway, message.asked_ms, now_ms)
        if message.answer_ms is not None:
            self.round_trips.learn(message.answer_ms, now_ms)


def _nothing() -> None:
    pass


def _none() -> None:
    return None
