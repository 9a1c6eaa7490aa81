"""Keeps what gateways had used before a restart and don't know any more.

A gateway saves its use of the teams' allowances in the store. If a restore of
the store cuts that back and the gateway is restarted, only its peers remember:
they go on counting it, and tell the gateway when it announces that its use is
lost. A gateway that starts therefore listens for a moment before it grants
allowances or is ready.
"""

import dataclasses
import typing

from godwitloft import clock as clocks
from godwitloft.links.generated.datagrams import ttypes

# Announcements of peers reach a gateway within an interval, early ones sooner.
LISTEN_MS = 700
# Own name among the uses.
OWN = ""


@dataclasses.dataclass(frozen=True)
class FormerUse:
    """What a gateway had committed before it was restarted.

    :param committed: tokens, by team
    :param until_ms: when the last of it is out of the window of the limit
    """

    committed: typing.Mapping[str, float]
    until_ms: int


class FormerUses:
    """Use before restarts, of peers and of this gateway.

    :param clock: source of the time
    :param window_ms: length of the window of the limits
    """

    def __init__(self, clock: clocks.Clock, window_ms: int) -> None:
        self.clock = clock
        self.window_ms = window_ms
        self.uses: dict[str, FormerUse] = {}
        self.heard_peer = False
        self.listen_until_ms = 0
        self.own_is_lost = False

    def start_listening(self, own_is_lost: bool) -> None:
        """Starts to listen to peers, when this process has started.

        :param own_is_lost: whether nothing is saved: this instance is new, or
            a restore of the store has cut it back
        """
        self.own_is_lost = own_is_lost
        self.listen_until_ms = self.clock.monotonic_ms() + LISTEN_MS

    def is_listening(self) -> bool:
        """Returns whether peers still have time to speak."""
        return self.clock.monotonic_ms() < self.listen_until_ms

    def is_own_unknown(self) -> bool:
        """Returns whether peers may still tell what this gateway had used."""
        return self.own_is_lost and self.is_listening()

    def has_settled(self) -> bool:
        """Returns whether a peer has spoken, or none did in time.

        :return: whether what peers know is known here
        """
        if not self.is_listening():
            return True
        return self.heard_peer and not self.own_is_lost

    def keep(
        self,
        name: str,
        committed: typing.Mapping[str, float],
        received_ms: int,
    ) -> list[ttypes.TeamDemand]:
        """Keeps what a peer had committed before its restart.

        :param name: name of its instance
        :param committed: tokens, by team
        :param received_ms: when it last announced them
        :return: what to tell the peer
        """
        self.uses[name] = FormerUse(committed, received_ms + self.window_ms)
        return [
            ttypes.TeamDemand(team=team, tokens_per_s=0, committed=tokens)
            for team, tokens in committed.items()
        ]

    def learn_own(self, told: typing.Iterable[ttypes.TeamDemand]) -> None:
        """Counts what a peer says that this gateway had committed.

        :param told: tokens by team; of several peers' words the largest count
        """
        known = self.uses.get(OWN)
        committed = dict(known.committed) if known is not None else {}
        for use in told:
            committed[use.team] = max(
                committed.get(use.team, 0.0), use.committed
            )
        until_ms = self.clock.monotonic_ms() + self.window_ms
        self.uses[OWN] = FormerUse(committed, until_ms)

    def committed(self, team: str, now_ms: int) -> float:
        """Returns what still counts of a team's use before restarts.

        :param team: name of the team
        :param now_ms: the current time
        :return: tokens
        """
        return sum(
            use.committed.get(team, 0.0)
            for use in self.uses.values()
            if now_ms < use.until_ms
        )
