"""Brings an upstream to its target state by orders, one at a time.

An order is sent only by the holder of the upstream's lease, only if its
longest duration fits in the remaining lease time, and only for the newest
known target. Before the first order for a generation, the generation is
announced in the lease's row, so that a later holder with an older
configuration waits for the newer one instead of reverting the upstream.
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
MAX_RECHECK_MS = 1_000


class OrderError(errors.GodwitloftError):
    """An order failed; it may have taken effect."""


class Answer(enum.Enum):
    """An upstream's answer to an order."""

    DONE = "done"
    STALE_EPOCH = "old fencing number"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to an upstream.

    :param epoch: fencing number of the lease
    :param generation: generation of the configuration that sets the target
    :param target: the target state, opaque to this module
    """

    epoch: int
    generation: int
    target: typing.Any


@dataclasses.dataclass(frozen=True)
class OrdersCallbacks:
    """Functions that the daemon provides to :class:`Orders`.

    :param send: sends an order; its Deferred fires with the answer or fails
    :param read_state: reads the upstream's state; fails if it can't be read
    :param needs_permit: takes ``(current state or None, target state)`` and
        returns whether weights have to be loaded
    :param take_permit: waits for a permit to load weights
    :param check_pause: returns whether this process was paused since the
        last check
    """

    send: typing.Callable[[Order], defer.Deferred[Answer]]
    read_state: typing.Callable[[], defer.Deferred[typing.Any]]
    needs_permit: typing.Callable[[typing.Any, typing.Any], bool]
    take_permit: typing.Callable[[], defer.Deferred[None]]
    check_pause: typing.Callable[[], bool] = lambda: False


class Orders:
    """Brings one upstream to its target state.

    :param lease: lease of the upstream; started and stopped here
    :param clock: only its monotonic time is read
    :param scheduler: for waits
    :param callbacks: functions of the daemon
    :param rng: for jitter
    :param max_order_ms: longest duration of an order, in milliseconds
    """

    def __init__(
        self,
        lease: leases.Lease,
        clock: clocks.Clock,
        scheduler: interfaces.IReactorTime,
        callbacks: OrdersCallbacks,
        rng: random.Random,
        max_order_ms: int,
    ) -> None:
        self.lease = lease
        self.clock = clock
        self.scheduler = scheduler
        self.callbacks = callbacks
        self.rng = rng
        self.max_order_ms = max_order_ms
        self.generation = 0
        self.target: typing.Any = None
        self.state: typing.Any = None
        self.is_state_known = False
        self.is_running = False
        self.has_permit = False
        self.wait_end: defer.Deferred[None] | None = None
        lease.on_change = self.wake

    def set_target(self, generation: int, target: typing.Any) -> None:
        """Sets the target state; ignores all but a newer generation.

        :param generation: generation of the configuration
        :param target: the target state, or None to send no orders
        """
        if generation <= self.generation:
            return
        self.generation = generation
        self.target = target
        self.wake()
        self._start()

    def set_state(self, state: typing.Any) -> None:
        """Sets the upstream's state, for example after it restarted.

        :param state: the reported state, or None if unknown
        """
        if self.is_running:
            return
        self.state = state
        self.is_state_known = state is not None
        self._start()

    def wake(self) -> None:
        """Ends the current wait, since a condition may have changed."""
        waiting = self.wait_end
        self.wait_end = None
        if waiting is not None:
            waiting.callback(None)

    @property
    def is_settled(self) -> bool:
        """Whether the upstream is known to be in its target state."""
        if self.target is None:
            return True
        return self.is_state_known and self.state == self.target

    def _start(self) -> None:
        if not self.is_running and not self.is_settled:
            self.is_running = True
            defer.ensureDeferred(self._run()).addErrback(self._on_failure)

    async def _run(self) -> None:
        attempt = 0
        while not self.is_settled:
            done = await self._reconcile()
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
        self.is_running = False

    async def _reconcile(self) -> bool:
        """Reads the state and sends at most one order."""
        if not await self._refresh_state():
            return False
        if self.is_settled:
            return True
        # The lease isn't held while waiting for a permit, which can take
        # long.
        if self.callbacks.needs_permit(self.state, self.target):
            if not self.has_permit:
                await self.callbacks.take_permit()
            self.has_permit = True
        await self._wait_until_allowed()
        # Another holder may have sent orders in the meantime.
        if not await self._refresh_state():
            return False
        if self.is_settled:
            return True
        return await self._send_if_allowed()

    async def _refresh_state(self) -> bool:
        try:
            self.state = await self.callbacks.read_state()
        except errors.GodwitloftError:
            self.is_state_known = False
            return False
        self.is_state_known = self.state is not None
        return True

    def _is_allowed(self) -> bool:
        lease = self.lease
        newest = lease.mark == self.generation
        return newest and lease.covers(self.max_order_ms)

    async def _wait_until_allowed(self) -> None:
        while not self._is_allowed():
            if self.lease.mark > self.generation:
                # Another holder knows a newer configuration. Until this
                # process has it too, that holder may have the lease.
                self.lease.stop()
            else:
                self.lease.start()
                self.lease.request_mark(self.generation)
            await self._wait(MAX_RECHECK_MS)

    async def _send_if_allowed(self) -> bool:
        self.callbacks.check_pause()
        if not self._is_allowed() or self.is_settled:
            return False
        order = Order(self.lease.epoch, self.generation, self.target)
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
            self.state = order.target
            self.is_state_known = True
            return True
        events.log(
            events.ORDER_FAILED, lease=self.lease.name, reason=answer.value
        )
        if answer is Answer.STALE_EPOCH:
            self.lease.abandon()
        return False

    async def _send(self, order: Order) -> Answer:
        """Sends an order and waits until it has certainly ended."""
        sent_ms = self.clock.monotonic_ms()
        sent = self.callbacks.send(order)
        timer = self.scheduler.callLater(
            self.max_order_ms / clocks.MS_PER_S, sent.cancel
        )
        try:
            return await sent
        except errors.GodwitloftError:
            # The order may still be running; nothing else may be sent until
            # its longest duration is over.
            elapsed_ms = self.clock.monotonic_ms() - sent_ms
            remaining_ms = self.max_order_ms - elapsed_ms
            await swap.sleep(self.scheduler, remaining_ms)
            raise
        except defer.CancelledError as error:
            raise OrderError("the order timed out") from error
        finally:
            if timer.active():
                timer.cancel()

    async def _wait(self, duration_ms: float) -> None:
        waiting: defer.Deferred[None] = defer.Deferred()
        self.wait_end = waiting
        timer = self.scheduler.callLater(
            duration_ms / clocks.MS_PER_S, self.wake
        )
        await waiting
        try:
            timer.cancel()
        except (internet_error.AlreadyCalled, internet_error.AlreadyCancelled):
            pass

    def _on_failure(self, problem: failure.Failure) -> None:
        self.is_running = False
        self.lease.stop()
        events.log(
            events.ORDERS_FAILED,
            lease=self.lease.name,
            reason=problem.getTraceback(),
        )
