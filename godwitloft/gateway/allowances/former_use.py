"""Keeps what gateways had used before their present processes started.

A gateway saves its use of the teams' allowances now and then. What it used
after that, only its peers know if it is killed, from its announcements. So a
gateway that starts asks them, and grants nothing until each one has answered
or had time to. Its peers go on counting what they knew until then.

They also tell it what they know of others that are gone or starting. Besides,
it counts what its peers had saved, until they announce themselves.
"""

import dataclasses
import math
import typing

from godwitloft import clock as clocks
from godwitloft.gateway.allowances import allowance
from godwitloft.links.generated.datagrams import ttypes

MAX_OTHERS_TOLD = 20

# Peers answer at once, and are asked again with each announcement.
LISTEN_MS = 700

# Tokens used by each team in consecutive intervals, the latest first.
Usage = dict[str, tuple[float, ...]]


class OwnFormerUse:
    """What peers tell of this gateway's use before it started.

    :param clock: source of the time
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        # Whether it isn't known yet; peers are told so.
        self.is_asking = True
        # Whether this process was cut off and asks what the others have used;
        # what it has used itself, it knows.
        self.knows_itself = False
        # None before the others are known who are to be asked.
        self.listen_until_ms: int | None = None
        self.answered: set[str] = set()
        # Whether a peer knew the process before.
        self.is_told = False
        # Tokens by team, by the peer that knew most.
        self.told: dict[str, float] = {}

    def ask(self) -> None:
        """Starts to wait for peers' answers, when all peers are known."""
        self.listen_until_ms = self.clock.monotonic_ms() + LISTEN_MS

    def ask_again(self) -> None:
        """Asks what others have used while this process was cut off."""
        self.is_asking = True
        self.knows_itself = True
        self.answered.clear()
        self.ask()

    def learn(
        self, peer: str, told: typing.Iterable[ttypes.TeamDemand] | None
    ) -> None:
        """Records a peer's answer.

        :param peer: name of its instance
        :param told: tokens by team, None if it didn't know this gateway
        """
        self.answered.add(peer)
        if told is None or self.knows_itself:
            return
        self.is_told = True
        for team, tokens in decode_committed(told).items():
            self.told[team] = max(self.told.get(team, 0.0), tokens)

    def is_complete(self, peers: typing.Collection[str]) -> bool:
        """Returns whether all peers have answered or had time to.

        :param peers: names of the other gateways
        """
        if self.listen_until_ms is None:
            return False
        if self.clock.monotonic_ms() >= self.listen_until_ms:
            return True
        return self.answered.issuperset(peers)


@dataclasses.dataclass(frozen=True)
class FormerUse:
    """What a peer had committed before it was started again.

    :param committed: tokens, by team
    :param until_ms: when the last of it is out of the window of the limit
    """

    committed: typing.Mapping[str, float]
    until_ms: int


class PeerFormerUses:
    """What was known of peers before they were started again.

    :param clock: source of the time
    :param length_ms: how long a use counts
    """

    def __init__(self, clock: clocks.Clock, length_ms: int) -> None:
        self.clock = clock
        self.length_ms = length_ms
        self.uses: dict[str, FormerUse] = {}

    def keep(
        self,
        name: str,
        committed: typing.Mapping[str, float],
        received_ms: int,
    ) -> None:
        """Keeps what a peer had committed, as far as it is the most known.

        :param name: name of its instance
        :param committed: tokens, by team
        :param received_ms: when it last announced them
        """
        until_ms = received_ms + self.length_ms
        known = self.uses.get(name)
        if known is not None and self.clock.monotonic_ms() < known.until_ms:
            until_ms = max(until_ms, known.until_ms)
            teams = known.committed.keys() | committed.keys()
            committed = {
                team: max(
                    known.committed.get(team, 0.0), committed.get(team, 0.0)
                )
                for team in teams
            }
        self.uses[name] = FormerUse(committed, until_ms)

    def forget(self, name: str) -> None:
        """Drops what a peer had committed, as it now counts that itself.

        :param name: name of its instance
        """
        self.uses.pop(name, None)

    def drop_expired(self) -> None:
        """Drops what has left the window."""
        now_ms = self.clock.monotonic_ms()
        for name, use in list(self.uses.items()):
            if now_ms >= use.until_ms:
                del self.uses[name]

    def committed(self, name: str, team: str, now_ms: int) -> float:
        """Returns what still counts of a peer's use before its start.

        :param name: name of its instance
        :param team: name of the team
        :param now_ms: the current time
        :return: tokens
        """
        use = self.uses.get(name)
        if use is None or now_ms >= use.until_ms:
            return 0.0
        return use.committed.get(team, 0.0)

    def to_tell(self, name: str) -> list[ttypes.TeamDemand] | None:
        """Returns what to tell a peer of its use before its start.

        :param name: name of its instance
        :return: committed tokens by team, None if this gateway didn't know it
        """
        use = self.uses.get(name)
        if use is None:
            return None
        if self.clock.monotonic_ms() >= use.until_ms:
            return []
        return encode_committed(use.committed)


def encode_committed(
    committed: typing.Mapping[str, float],
) -> list[ttypes.TeamDemand]:
    """Returns committed tokens as they are sent.

    :param committed: tokens, by team
    """
    return [
        ttypes.TeamDemand(team=team, tokens_per_s=0, committed=math.ceil(use))
        for team, use in committed.items()
    ]


def decode_committed(
    sent: typing.Iterable[ttypes.TeamDemand],
) -> dict[str, float]:
    """Returns committed tokens by team.

    :param sent: as :func:`encode_committed` returns them, from a peer
    """
    return {use.team: max(0, use.committed) for use in sent}


class SavedUses:
    """What peers had saved, until they announce their use themselves.

    Without it, a gateway that starts would use its equal share of a limit
    that the others have already used up.

    :param clock: source of the time
    :param length_ms: how long a use counts
    """

    def __init__(self, clock: clocks.Clock, length_ms: int) -> None:
        self.clock = clock
        self.length_ms = length_ms
        self.windows: dict[str, dict[str, allowance.Window]] = {}

    def add(self, name: str, used: Usage, age_ms: int) -> None:
        """Adds what a peer had saved.

        :param name: name of its instance
        :param used: tokens by age, by team
        :param age_ms: how long ago it was saved
        """
        now_ms = self.clock.monotonic_ms()
        windows = self.windows[name] = {}
        for team, sums in used.items():
            window = windows[team] = allowance.Window(self.length_ms)
            window.restore(sums, now_ms, age_ms)

    def forget(self, name: str) -> None:
        """Drops what a peer had saved.

        :param name: name of its instance
        """
        self.windows.pop(name, None)

    def drop_expired(self) -> None:
        """Drops what has left the window."""
        now_ms = self.clock.monotonic_ms()
        for name, windows in list(self.windows.items()):
            if not any(window.total(now_ms) for window in windows.values()):
                del self.windows[name]

    def committed(self, name: str, team: str, now_ms: int) -> float:
        """Returns what still counts of what a peer had saved.

        :param name: name of its instance
        :param team: name of the team
        :param now_ms: the current time
        :return: tokens
        """
        window = self.windows.get(name, {}).get(team)
        return window.total(now_ms) if window is not None else 0.0
