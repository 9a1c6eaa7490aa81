"""Orders that tell a stand-in engine what to load."""

import dataclasses
import typing

from twisted.internet import interfaces

MS_PER_S = 1000

RUNNING = "running"
APPLIED = "applied"
SUPERSEDED = "superseded"
REFUSED = "refused"


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to load a model or adapter or to change the role.

    :param model: name of the model
    :param version: version of the weights
    :param adapter: name of an adapter, or empty
    :param role: ``serve``, ``prefill`` or ``decode``
    :param fencing: fencing number of the sender
    """

    model: str
    version: str = ""
    adapter: str = ""
    role: str = "serve"
    fencing: int = 0


@dataclasses.dataclass(frozen=True)
class OrderRecord:
    """An order and its state.

    :param order: the order
    :param arrived_ms: time of arrival
    :param state: ``running``, ``applied``, ``superseded`` or ``refused``
    """

    order: Order
    arrived_ms: float
    state: str


class OrderBook:
    """Executes orders; several may be in progress at a time.

    With the fencing check, an order with a lower number than an earlier one
    is refused, and one that is superseded by a higher number while in
    progress isn't applied. Without the check, the order that ends last wins.

    :param loaded: what is loaded at the start
    :param checks_fencing: whether fencing numbers are checked
    :param order_ms: duration of an order
    :param reactor: provides time and timers
    """

    def __init__(
        self,
        loaded: Order,
        checks_fencing: bool,
        order_ms: float,
        reactor: interfaces.IReactorTime,
    ) -> None:
        self.loaded = loaded
        self.checks_fencing = checks_fencing
        self.order_ms = order_ms
        self.reactor = reactor
        self.highest_fencing = 0
        self.records: list[OrderRecord] = []
        self.loading = 0

    def submit(
        self, order: Order, on_done: typing.Callable[[OrderRecord], None]
    ) -> None:
        """Starts an order, or refuses it immediately.

        :param order: what to load
        :param on_done: called once with the result
        """
        number = len(self.records)
        record = OrderRecord(order, self.reactor.seconds() * MS_PER_S, "")
        self.records.append(record)
        if self.checks_fencing and order.fencing < self.highest_fencing:
            on_done(self._set(number, REFUSED))
            return
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        self._set(number, RUNNING)
        self.loading += 1
        self.reactor.callLater(
            self.order_ms / MS_PER_S, self._finish, number, on_done
        )

    def _finish(
        self, number: int, on_done: typing.Callable[[OrderRecord], None]
    ) -> None:
        self.loading -= 1
        order = self.records[number].order
        if self.checks_fencing and order.fencing < self.highest_fencing:
            on_done(self._set(number, SUPERSEDED))
            return
        self.loaded = order
        on_done(self._set(number, APPLIED))

    def _set(self, number: int, state: str) -> OrderRecord:
        record = dataclasses.replace(self.records[number], state=state)
        self.records[number] = record
        return record
