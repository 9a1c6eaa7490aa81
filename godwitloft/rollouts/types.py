"""Orders for roll-outs, and how far each roll-out has come.

A roll-out moves the requests to a service from the upstreams of its former
versions to those of a new one. The state is a row in the store that any
gateway may replace by the next one, under the condition that it is unchanged.
"""

import dataclasses
import enum


class Phase(enum.Enum):
    """How far a roll-out has come; phases only follow each other."""

    JUDGING = "judging"
    MOVING = "moving"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def has_ended(self) -> bool:
        """Whether no other phase follows."""
        return self in (Phase.COMPLETED, Phase.ROLLED_BACK)


@dataclasses.dataclass(frozen=True)
class Order:
    """An operator's order to move a service's requests to a version.

    :param service: name of the service
    :param to: the new version of its upstreams' software
    :param duration_ms: time from the order in which the roll-out should end
    :param version: version of the order's row in the store
    """

    service: str
    to: str
    duration_ms: int
    version: int


@dataclasses.dataclass(frozen=True)
class Rollout:
    """A roll-out as it is saved.

    :param service: name of the service
    :param order_version: version of the order's row in the store
    :param to: the new version
    :param former: the versions that served when the order was first seen
    :param phase: how far it has come
    :param started_ms: when the order was first seen, on the store's clock
    :param duration_ms: time from then in which it should end
    :param reason: why the last step was taken, for operators
    :param bad_answers: bad answers of the new version known by then
    :param decider: name of the gateway that took the last step
    :param unused: new versions of roll-outs that this one has ended before
        they were known to be good; they get no request
    """

    service: str
    order_version: int
    to: str
    former: tuple[str, ...]
    phase: Phase
    started_ms: int
    duration_ms: int
    reason: str = ""
    bad_answers: int = 0
    decider: str = ""
    unused: tuple[str, ...] = ()

    @property
    def ends_ms(self) -> int:
        """When it should have ended, on the store's clock."""
        return self.started_ms + self.duration_ms


@dataclasses.dataclass(frozen=True)
class Step:
    """A change of a roll-out that is to be written.

    :param rollout: what it is from then on
    :param row_version: version of the row that it replaces, 0 for none
    """

    rollout: Rollout
    row_version: int


@dataclasses.dataclass(frozen=True)
class Saved:
    """A roll-out as it was read.

    :param rollout: the roll-out
    :param row_version: version of its row in the store
    """

    rollout: Rollout
    row_version: int
