"""Turns the wanted state of an upstream into orders, one at a time.

An order is sent only by the holder of the upstream's lease, only when its
longest time fits in what is left of the lease, and only for the newest
wanted state known. Before the first order for a generation, the generation
is announced in the lease's row: a later holder whose configuration is older
waits for its configuration instead of taking the upstream back.
"""

import dataclasses
import enum
import random
import typing

from twisted.internet import defer
from twisted.internet import error as internet_error
from twisted.internet import interfaces
from twisted.python import failure

from godwitloft import clock as clocks
from godwitloft import errors
from godwitloft import events
from godwitloft.coordination import lease as leases
from godwitloft.coordination import swap

FIRST_BACKOFF_MS = 200
LONGEST_BACKOFF_MS = 30_000
LONGEST_LOOK_MS = 1_000


class OrderError(errors.GodwitloftError):
    """An order failed; whether it took effect isn't known."""


class Answer(enum.Enum):
    """What an upstream says to an order."""

    DONE = "done"
    OLD_NUMBER = "old fencing number"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to an upstream.

    :param epoch: fencing number of the lease
    :param generation: of the configuration that wants the state
    :param wanted: the state, opaque to this module
    """

    epoch: int
    generation: int
    wanted: typing.Any


@dataclasses.dataclass(frozen=True)
class OrdersOwner:
    """What the orders ask of the daemon that owns them.

    :param send: sends an order; its Deferred gives the answer, or fails
    :param read_state: reads what the upstream has; fails when it can't
    :param needs_permit: ``(state now or None, wanted state)``: whether
        weights have to be loaded
    :param take_permit: waits for a permit to load weights
    :param was_paused: whether this process was paused since the last look
    """

    send: typing.Callable[[Order], defer.Deferred[Answer]]
    read_state: typing.Callable[[], defer.Deferred[typing.Any]]
    needs_permit: typing.Callable[[typing.Any, typing.Any], bool]
    take_permit: typing.Callable[[], defer.Deferred[None]]
    was_paused: typing.Callable[[], bool] = lambda: False


class Orders:
    """Brings one upstream to its wanted state.

    :param lease: of the upstream; started and stopped here
    :param clock: only its monotonic time is read
    :param scheduler: for waits
    :param owner: functions of the daemon
    :param rng: for jitter
    :param max_order_ms: the longest that an order may take
    """

    def __init__(
        self,
        lease: leases.Lease,
        clock: clocks.Clock,
        scheduler: interfaces.IReactorTime,
        owner: OrdersOwner,
        rng: random.Random,
        max_order_ms: int,
    ) -> None:
        self.lease = lease
        self.clock = clock
        self.scheduler = scheduler
        self.owner = owner
        self.rng = rng
        self.max_order_ms = max_order_ms
        self.generation = 0
        self.wanted: typing.Any = None
        self.state: typing.Any = None
        self.is_state_known = False
        self.working = False
        self.has_permit = False
        self.changed: defer.Deferred[None] | None = None
        lease.on_change = self.wake

    def want(self, generation: int, wanted: typing.Any) -> None:
        """Sets the wanted state; an older generation changes nothing.

        :param generation: of the configuration
        :param wanted: the state, or None for no orders
        """
        if generation <= self.generation:
            return
        self.generation = generation
        self.wanted = wanted
        self.wake()
        self._begin()

    def state_is(self, state: typing.Any) -> None:
        """Notes what the upstream has, for example after it restarted.

        :param state: what it reports, or None when that isn't known
        """
        if self.working:
            return
        self.state = state
        self.is_state_known = state is not None
        self._begin()

    def wake(self) -> None:
        """Ends a wait, as something has changed."""
        waiting = self.changed
        self.changed = None
        if waiting is not None:
            waiting.callback(None)

    @property
    def is_settled(self) -> bool:
        """Whether the upstream is known to have what is wanted."""
        if self.wanted is None:
            return True
        return self.is_state_known and self.state == self.wanted

    def _begin(self) -> None:
        if not self.working and not self.is_settled:
            self.working = True
            defer.ensureDeferred(self._work()).addErrback(self._failed)

    async def _work(self) -> None:
        attempt = 0
        while not self.is_settled:
            done = await self._round()
            attempt = 0 if done else attempt + 1
            if not done and not self.is_settled:
                await self._wait(
                    swap.backoff_ms(
                        attempt,
                        FIRST_BACKOFF_MS,
                        LONGEST_BACKOFF_MS,
                        self.rng.random(),
                    )
                )
        self.lease.stop()
        self.working = False

    async def _round(self) -> bool:
        """Reads the state and sends at most one order."""
        if not await self._learn_state():
            return False
        if self.is_settled:
            return True
        # Waiting for a permit can take long; the lease isn't held for it.
        if self.owner.needs_permit(self.state, self.wanted):
            if not self.has_permit:
                await self.owner.take_permit()
            self.has_permit = True
        await self._until_allowed()
        # Another holder may have given orders in the meantime.
        if not await self._learn_state():
            return False
        if self.is_settled:
            return True
        return await self._send_if_allowed()

    async def _learn_state(self) -> bool:
        try:
            self.state = await self.owner.read_state()
        except errors.GodwitloftError:
            self.is_state_known = False
            return False
        self.is_state_known = self.state is not None
        return True

    def _is_allowed(self) -> bool:
        lease = self.lease
        newest = lease.mark == self.generation
        return newest and lease.may_order(self.max_order_ms)

    async def _until_allowed(self) -> None:
        while not self._is_allowed():
            if self.lease.mark > self.generation:
                # Another holder knows a newer configuration; until it is
                # here as well, that holder may go on.
                self.lease.stop()
            else:
                self.lease.start()
                self.lease.announce(self.generation)
            await self._wait(LONGEST_LOOK_MS)

    async def _send_if_allowed(self) -> bool:
        self.owner.was_paused()
        if not self._is_allowed() or self.is_settled:
            return False
        order = Order(self.lease.epoch, self.generation, self.wanted)
        events.log(
            events.ORDER_SENT,
            lease=self.lease.name,
            epoch=order.epoch,
            generation=order.generation,
        )
        self.is_state_known = False
        self.has_permit = False
        try:
            answer = await self._send(order)
        except errors.GodwitloftError as error:
            events.log(
                events.ORDER_FAILED, lease=self.lease.name, reason=str(error)
            )
            return False
        if answer is Answer.DONE:
            self.state = order.wanted
            self.is_state_known = True
            return True
        events.log(
            events.ORDER_FAILED, lease=self.lease.name, reason=answer.value
        )
        if answer is Answer.OLD_NUMBER:
            self.lease.lose()
        return False

    async def _send(self, order: Order) -> Answer:
        """Sends an order; after its longest time it has surely ended."""
        sent_ms = self.clock.monotonic_ms()
        sent = self.owner.send(order)
        timer = self.scheduler.callLater(
            self.max_order_ms / clocks.MS_PER_S, sent.cancel
        )
        try:
            return await sent
        except errors.GodwitloftError:
            # It may still be running: nothing else may be sent before.
            spent_ms = self.clock.monotonic_ms() - sent_ms
            left_ms = self.max_order_ms - spent_ms
            await swap.sleep(self.scheduler, left_ms)
            raise
        except defer.CancelledError as error:
            raise OrderError("no answer in time") from error
        finally:
            if timer.active():
                timer.cancel()

    async def _wait(self, duration_ms: float) -> None:
        waiting: defer.Deferred[None] = defer.Deferred()
        self.changed = waiting
        timer = self.scheduler.callLater(
            duration_ms / clocks.MS_PER_S, self.wake
        )
        await waiting
        try:
            timer.cancel()
        except (internet_error.AlreadyCalled, internet_error.AlreadyCancelled):
            pass

    def _failed(self, problem: failure.Failure) -> None:
        self.working = False
        self.lease.stop()
        events.log(
            events.ORDERS_FAILED,
            lease=self.lease.name,
            reason=problem.getTraceback(),
        )
