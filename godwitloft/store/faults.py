"""Faults of a platform, injected on purpose in tests and demos."""

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
    """What is to happen with one call."""

    ANSWER = "answer"
    REFUSE = "refuse"
    HANG = "hang"
    LOSE = "lose"


@dataclasses.dataclass(frozen=True)
class Faults:
    """What is wrong with a platform; by default nothing.

    :param services: which of the platform's services it is wrong with;
        empty: all of them
    :param outage: ``none``, ``refuse`` (calls fail at once) or ``hang``
        (calls are neither carried out nor answered)
    :param delay_ms: how long a call takes; its effect comes at the end
    :param lose_answers: how many of the next writes take effect and lose
        their answer
    :param lose_share: share of all writes that do
    :param fail_share: share of all calls that fail without effect
    :param list_lag_ms: age of what the instance list shows
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
    """What happens with one call.

    :param action: what
    :param delay_ms: how long it takes
    """

    action: Action
    delay_ms: float


class Injector:
    """Decides what happens with each call.

    :param faults: what is wrong at the start
    :param seed: decides which calls the shares hit
    """

    def __init__(self, faults: Faults = Faults(), seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.faults = faults
        self.answers_to_lose = faults.lose_answers

    def set(self, faults: Faults) -> None:
        """Changes what is wrong, from the next call on.

        :param faults: everything that is wrong from now on
        """
        self.faults = faults
        self.answers_to_lose = faults.lose_answers

    def decide(self, service: port.Service, is_write: bool) -> Decision:
        """Returns what happens with the next call.

        :param service: the service called
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
