"""Faults of the platform that tests and demos inject."""

import dataclasses
import enum
import random

from godwitloft.store import port


class Outage(enum.Enum):
    """How calls fail while the platform is down."""

    NONE = "none"
    REFUSE = "refuse"
    HANG = "hang"


class Action(enum.Enum):
    """What happens with one call.

    ``LOSE``: it takes effect, but its answer is lost.
    """

    ANSWER = "answer"
    REFUSE = "refuse"
    HANG = "hang"
    LOSE = "lose"


@dataclasses.dataclass(frozen=True)
class Faults:
    """The faults of a platform; by default none.

    :param services: services that have the faults; empty: all of them
    :param outage: ``none``, ``refuse`` (calls fail at once) or ``hang``
        (calls are neither carried out nor answered)
    :param delay_ms: how long a call takes; it takes effect at the end
    :param lose_answers: how many of the next writes take effect but lose
        their answer
    :param lose_share: share of all writes that take effect but lose their
        answer
    :param fail_share: share of all calls that fail without effect
    :param list_lag_ms: age of the state that the instance list shows
    """

    services: tuple[port.Service, ...] = ()
    outage: Outage = Outage.NONE
    delay_ms: float = 0.0
    lose_answers: int = 0
    lose_share: float = 0.0
    fail_share: float = 0.0
    list_lag_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class Decision:
    """What happens with one call, and how long it takes.

    :param action: what happens
    :param delay_ms: how long the call takes
    """

    action: Action
    delay_ms: float


class Injector:
    """Decides what happens with each call.

    :param faults: the faults at the start
    :param seed: seed of the random choice of calls that fail
    """

    def __init__(self, faults: Faults = Faults(), seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.faults = faults
        self.answers_to_lose = faults.lose_answers

    def set(self, faults: Faults) -> None:
        """Replaces the faults from the next call on.

        :param faults: the new faults
        """
        self.faults = faults
        self.answers_to_lose = faults.lose_answers

    def decide(self, service: port.Service, is_write: bool) -> Decision:
        """Decides what happens with the next call.

        :param service: the service that is called
        :param is_write: whether the call changes anything
        :return: the decision
        """
        if self.faults.services and service not in self.faults.services:
            return Decision(Action.ANSWER, 0.0)
        return Decision(self._action(is_write), self.faults.delay_ms)

    def _action(self, is_write: bool) -> Action:
        faults = self.faults
        if faults.outage is Outage.REFUSE:
            return Action.REFUSE
        if faults.outage is Outage.HANG:
            return Action.HANG
        if self._hits(faults.fail_share):
            return Action.REFUSE
        if not is_write:
            return Action.ANSWER
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            return Action.LOSE
        if self._hits(faults.lose_share):
            return Action.LOSE
        return Action.ANSWER

    def _hits(self, share: float) -> bool:
        return share > 0 and self.random.random() < share
