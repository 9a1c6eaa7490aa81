"""Keeps a gateway's roll-outs up to date with the store, and writes steps.

Orders come with the operators' configuration, whose table is read anyway. The
table of roll-outs is read once where there may be any, and followed by the
pollers only while a roll-out is under way. Steps are written under the
condition that the row is unchanged, so that two gateways can't both take one.
"""

import dataclasses
import functools
import typing

from twisted.internet import defer

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway import config_state as config_states
from godwitloft.gateway import model
from godwitloft.gateway.peers import peer_confirmation as peer_confirmations
from godwitloft.platform import json_fields
from godwitloft.platform import rollout_rows
from godwitloft.platform import store as stores
from godwitloft.rollouts import types

OPERATOR_TABLE = "op"
TABLE = "rollouts"
STATUS_TABLE = "status"
CHECK_INTERVAL_MS = 50
MIN_READ_INTERVAL_MS = 100
# How often orders are checked against configuration and upstreams.
RECHECK_INTERVAL_MS = 500
# How long a poller waits before it reports an error that the one before it
# should have reported.
REPORT_TURN_MS = 2_000


class HeldRollouts(peer_confirmations.KnownRollouts, typing.Protocol):
    """The roll-outs of a gateway (``gateway.rollouts.Rollouts``)."""

    def on_rows(
        self,
        orders: typing.Mapping[str, types.Order],
        rollouts: typing.Mapping[str, types.Saved],
        asked_ms: int,
    ) -> None:
        """Takes over all rows, as they were read from the store.

        :param orders: valid orders, by service
        :param rollouts: by service
        :param asked_ms: when the reading began
        """

    def due_step(self, store_now_ms: int) -> types.Step | None:
        """Returns a step that this gateway should write now.

        :param store_now_ms: the current time on the store's clock
        :return: the step, None if none is due or another gateway takes it
        """

    def on_step_written(self, step: types.Step, row_version: int) -> None:
        """Takes over a step that was written.

        :param step: what :meth:`due_step` has returned
        :param row_version: version of the row since then
        """


@dataclasses.dataclass(frozen=True)
class OrderError:
    """What is wrong with an order.

    :param row_version: version of its row
    :param text: names row and field
    """

    row_version: int
    text: str


class OperatorRows:
    """The rows of orders as they were last read."""

    def __init__(self) -> None:
        self.rows: dict[str, stores.Row] = {}
        # When they were last known to be current, None if they never were.
        self.current_ms: int | None = None

    def update(
        self,
        found: typing.Iterable[stores.Row],
        is_whole: bool,
        asked_ms: int,
    ) -> None:
        """Takes over rows of the operators' table.

        :param found: all rows, or those that have changed
        :param is_whole: whether they are all
        :param asked_ms: when they were asked for
        """
        if is_whole:
            self.rows.clear()
        for row in found:
            service = rollout_rows.service_of(row.key)
            if service is None:
                continue
            if row.value is None:
                self.rows.pop(service, None)
            else:
                self.rows[service] = row
        self.current_ms = asked_ms


class SavedRows:
    """The rows of roll-outs as they were last read."""

    def __init__(self) -> None:
        self.rows: dict[str, stores.Row] = {}
        self.current_ms: int | None = None
        # Where to go on waiting for changes, None to read the whole table.
        self.position: stores.Position | None = None

    def update(
        self, result: stores.ReadResult, is_whole: bool, asked_ms: int
    ) -> None:
        """Takes over rows, unless newer ones were read meanwhile.

        :param result: all rows, or those that have changed
        :param is_whole: whether they are all
        :param asked_ms: when they were asked for
        """
        position = self.position
        if position is not None and (
            result.position.timeline == position.timeline
            and result.position.version < position.version
        ):
            return
        if is_whole:
            self.rows.clear()
        for row in result.rows:
            if row.value is None:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = row
        self.position = result.position
        self.current_ms = asked_ms


class RolloutWatch:
    """Reads orders and roll-outs, and writes steps and errors.

    :param clock: a clock that also runs while the machine is suspended
    :param store: the store
    :param rollouts: the roll-outs of this gateway
    :param confirmation: which gateways poll, and whether what this one holds
        is current
    :param decode_row: decodes a row, or logs why it can't and returns None
    :param configuration: returns the configuration in force, None without one
    :param upstreams: returns all listed upstreams, None before any list
    :param poll_ms: how long a poll for changes waits
    :param has_read_gateways: returns whether the rows of gateways were read,
        which show whether the store was restored before this start
    """

    def __init__(
        self,
        clock: clocks.Clock,
        store: stores.Store,
        rollouts: HeldRollouts,
        confirmation: peer_confirmations.PeerConfirmation,
        decode_row: typing.Callable[..., typing.Any],
        configuration: typing.Callable[[], model.Configuration | None],
        upstreams: typing.Callable[[], typing.Iterable[model.Upstream] | None],
        poll_ms: int,
        has_read_gateways: typing.Callable[[], bool],
    ) -> None:
        self.has_read_gateways = has_read_gateways
        self.clock = clock
        self.store = store
        self.rollouts = rollouts
        self.confirmation = confirmation
        self.decode_row = decode_row
        self.configuration = configuration
        self.upstreams = upstreams
        self.poll_ms = poll_ms
        self.ordered = OperatorRows()
        self.saved = SavedRows()
        # Decoded: valid orders, roll-outs, and errors, by service.
        self.orders: dict[str, types.Order] = {}
        self.errors: dict[str, OrderError] = {}
        self.held: dict[str, types.Saved] = {}
        # Whether orders wait for what they are checked against.
        self.is_unchecked = False
        self.checked_ms = 0
        # Errors that were logged and when, and those that the status row
        # tells, by service.
        self.logged: dict[str, OrderError] = {}
        self.logged_ms: dict[str, int] = {}
        self.reported: dict[str, OrderError] = {}
        # Services of which a status may still be written, as its write got no
        # answer.
        self.unanswered: set[str] = set()
        # Tables to be read as a peer has newer rows.
        self.wants_orders = False
        self.wants_saved = False
        # Whether a write may have changed the rows of roll-outs.
        self.must_read = False
        # What was read before this time may not be what the operators want:
        # the store has been restored, and they have yet to write again.
        self.settled_ms = 0
        self.store_clock_offset_ms = 0

    # Reading.

    def on_restored(self) -> None:
        """Reads everything again: versions count only within a timeline."""
        self.settled_ms = self.clock.monotonic_ms() + config_states.SETTLE_MS
        self.ordered.current_ms = None
        self.saved = SavedRows()
        self.reported.clear()

    def mark_restored_before(self, age_ms: int) -> None:
        """Records that the store was restored before this process started.

        :param age_ms: how long ago that was noticed
        """
        now_ms = self.clock.monotonic_ms()
        self.settled_ms = now_ms - age_ms + config_states.START_SETTLE_MS

    def on_operator_rows(
        self, result: stores.ReadResult, is_whole: bool, asked_ms: int
    ) -> None:
        """Takes over orders that were read with the configuration.

        Nothing that is wrong with them or with roll-outs may stop the
        configuration from being read.

        :param result: all rows of the operators' table, or those changed
        :param is_whole: whether they are all
        :param asked_ms: when they were asked for
        """
        self.set_store_clock(result.now_ms)
        self.ordered.update(result.rows, is_whole, asked_ms)
        self.wants_orders = False
        if self.ordered.rows:
            self.rollouts.in_use = True
        try:
            self.publish()
        except Exception as error:
            events.log_error(events.INTERNAL_ERROR, error, task="orders")

    def set_store_clock(self, now_ms: int) -> None:
        """Takes the store's time from an answer.

        :param now_ms: the time of the answer on the store's clock
        """
        self.store_clock_offset_ms = now_ms - self.clock.monotonic_ms()

    def store_now_ms(self) -> int:
        """Returns the current time on the store's clock."""
        return self.clock.monotonic_ms() + self.store_clock_offset_ms

    def note_outdated(self) -> None:
        """Has both tables read if a peer has newer rows.

        Pollers wait for changes of the tables anyway.
        """
        if self.wants_orders or self.wants_saved:
            return
        if self.rollouts.rows.outdated and not self.confirmation.is_poller():
            self.wants_orders = self.wants_saved = True

    def needs_orders(self) -> bool:
        """Returns whether the operators' table must be read for orders."""
        self.note_outdated()
        if self.wants_orders:
            return True
        return self.rollouts.in_use and (
            self.ordered.current_ms is None or self.confirmation.needs_rows()
        )

    def is_under_way(self) -> bool:
        """Returns whether the rows of roll-outs may change.

        :return: whether an order has not been carried out, or a roll-out
            whose order is gone has not ended
        """
        return any(
            not held.rollout.phase.has_ended for held in self.held.values()
        ) or not all(map(self.has_begun, self.orders.values()))

    def needs_reading(self) -> bool:
        """Returns whether the rows of roll-outs must be read."""
        self.note_outdated()
        if not self.has_read_gateways():
            return False
        if self.wants_saved:
            return True
        if not self.rollouts.in_use:
            return False
        if self.must_read or self.saved.current_ms is None:
            return True
        if self.is_under_way():
            return self.confirmation.needs_rows()
        return self.rollouts.rows.outdated

    @defer.inlineCallbacks
    def read(self) -> typing.Generator[typing.Any, typing.Any, int]:
        """Reads the rows of roll-outs, or waits for them to change.

        :return: the delay before the next call, in milliseconds
        """
        asked_ms = self.clock.monotonic_ms()
        position = self.saved.position
        is_needed_now = self.must_read or self.wants_saved
        if position is None or is_needed_now or not self.is_under_way():
            yield self.read_all()
            return MIN_READ_INTERVAL_MS
        try:
            result = yield self.store.wait_for_changes(
                TABLE, position, self.poll_ms
            )
        except stores.HistoryLostError:
            self.saved.position = None
            raise
        self.take_over(result, is_whole=False, asked_ms=asked_ms)
        return 0

    @defer.inlineCallbacks
    def read_all(self) -> typing.Generator[typing.Any, typing.Any, None]:
        """Reads all rows of roll-outs."""
        asked_ms = self.clock.monotonic_ms()
        result = yield self.store.read_all(TABLE)
        self.must_read = self.wants_saved = False
        self.take_over(result, is_whole=True, asked_ms=asked_ms)

    def take_over(
        self, result: stores.ReadResult, is_whole: bool, asked_ms: int
    ) -> None:
        """Decodes rows of roll-outs and passes them on.

        :param result: all rows, or those that have changed
        :param is_whole: whether they are all
        :param asked_ms: when they were asked for
        """
        self.set_store_clock(result.now_ms)
        self.saved.update(result, is_whole, asked_ms)
        self.held = {}
        for service, row in self.saved.rows.items():
            rollout = self.decode_row(
                TABLE,
                row,
                functools.partial(rollout_rows.decode_rollout, service),
            )
            if rollout is not None:
                self.held[service] = types.Saved(rollout, row.version)
        self.publish()

    # Passing on.

    def publish(self) -> None:
        """Passes orders and roll-outs on, once both were read.

        Orders that were read too early after a restore of the store are not:
        some may be missing that the operators have yet to write again.
        """
        ordered_ms, saved_ms = self.ordered.current_ms, self.saved.current_ms
        if ordered_ms is None or saved_ms is None:
            return
        if ordered_ms < self.settled_ms or not self.check_orders():
            return
        if self.is_under_way():
            # Peers may have confirmed both since they were read.
            confirmed_ms = self.rollouts.rows.current_ms or 0
            ordered_ms = max(ordered_ms, confirmed_ms)
            ordered_ms = min(ordered_ms, max(saved_ms, confirmed_ms))
        self.rollouts.on_rows(self.orders, self.held, ordered_ms)

    def check_orders(self) -> bool:
        """Decodes all orders, and checks those that have not begun.

        :return: False if what they are checked against isn't known yet
        """
        self.checked_ms = self.clock.monotonic_ms()
        orders: dict[str, types.Order] = {}
        errors: dict[str, OrderError] = {}
        for service, row in self.ordered.rows.items():
            name = f"{OPERATOR_TABLE}/{row.key}"
            try:
                order = rollout_rows.decode_order(
                    service, row.version, name, row.value
                )
                if not self.has_begun(order):
                    is_checked = self.check_new(order, name)
                    if not is_checked:
                        self.is_unchecked = True
                        return False
                orders[service] = order
            except json_fields.RowError as error:
                errors[service] = OrderError(row.version, str(error))
                self.log_once(service, errors[service], error)
        self.orders, self.errors = orders, errors
        self.is_unchecked = False
        return True

    def has_begun(self, order: types.Order) -> bool:
        """Returns whether a roll-out for an order was saved.

        :param order: the order
        """
        held = self.held.get(order.service)
        return held is not None and held.rollout.to == order.to

    def check_new(self, order: types.Order, name: str) -> bool:
        """Checks an order against configuration and upstreams.

        :param order: an order for which no roll-out has begun
        :param name: table and key of its row
        :return: False if these aren't known yet
        :raises RowError: if the order can't be carried out
        """
        configuration, upstreams = self.configuration(), self.upstreams()
        if configuration is None or upstreams is None:
            return False
        versions = [
            upstream.version
            for upstream in upstreams
            if upstream.service == order.service
        ]
        rollout_rows.check_order(order, name, configuration.services, versions)
        return True

    def log_once(
        self, service: str, found: OrderError, error: json_fields.RowError
    ) -> None:
        """Logs an error once for each version of its row.

        :param service: name of the service
        :param found: the error with the version of its row
        :param error: names row and field
        """
        if self.logged.get(service) == found:
            return
        self.logged[service] = found
        self.logged_ms[service] = self.clock.monotonic_ms()
        events.log(
            events.ROW_SKIPPED,
            row=error.row,
            version=found.row_version,
            field=error.field,
            reason=error.reason,
        )

    def recheck(self) -> None:
        """Checks orders again that depend on configuration and upstreams."""
        now_ms = self.clock.monotonic_ms()
        if now_ms - self.checked_ms < RECHECK_INTERVAL_MS:
            return
        has_begun = all(map(self.has_begun, self.orders.values()))
        if has_begun and not self.errors and not self.is_unchecked:
            return
        before = self.is_unchecked, self.orders, self.errors
        if self.check_orders():
            if before != (False, self.orders, self.errors):
                self.publish()

    # Writing.

    def needs_writing(self) -> bool:
        """Returns whether a step or an error must be written."""
        if not self.rollouts.in_use or self.saved.current_ms is None:
            return False
        self.recheck()
        if self.must_read:
            return False
        return (
            self.rollouts.due_step(self.store_now_ms()) is not None
            or self.service_to_report() is not None
        )

    @defer.inlineCallbacks
    def write(self) -> typing.Generator[typing.Any, typing.Any, int]:
        """Writes a step or an error.

        :return: the delay before the next check, in milliseconds
        """
        step = self.rollouts.due_step(self.store_now_ms())
        service = self.service_to_report()
        if step is not None:
            yield self.write_step(step)
        elif service is not None:
            yield self.report(service)
        return CHECK_INTERVAL_MS

    @defer.inlineCallbacks
    def write_step(
        self, step: types.Step
    ) -> typing.Generator[typing.Any, typing.Any, None]:
        """Writes a step and what operators are told of it.

        The rows are read before the next one, whatever the answer: they show
        whether this gateway or another one has taken the step, and have the
        new version of the row, which an answer need not have.

        :param step: the step
        """
        service = step.rollout.service
        expected = step.row_version
        if not expected and service not in self.held:
            # An invalid row holds nothing, and is replaced.
            expected = self.row_version(service)
        timeline = self.store.timeline.current
        try:
            answer = yield self.store.transact(
                transaction(
                    service,
                    expected,
                    self.status(service, step.rollout),
                    rollout_rows.encode_rollout(step.rollout),
                )
            )
        except stores.StoreError as error:
            self.must_read = True
            if not isinstance(error, stores.ConditionError):
                raise
        else:
            self.must_read = True
            version = answer.body.get("ver")
            is_same = timeline == self.store.timeline.current
            if is_same and isinstance(version, int):
                self.rollouts.on_step_written(step, version)
        yield self.read_all()

    def row_version(self, service: str) -> int:
        """Returns the version of the row of a roll-out, valid or not.

        :param service: name of the service
        :return: the version, 0 for no row
        """
        row = self.saved.rows.get(service)
        return row.version if row is not None else 0

    def status(self, service: str, rollout: types.Rollout | None) -> str:
        """Returns the value of a status row.

        :param service: name of the service
        :param rollout: its roll-out, None for none
        """
        found = self.errors.get(service)
        return rollout_rows.encode_status(rollout, found.text if found else "")

    def service_to_report(self) -> str | None:
        """Returns a service whose status row tells another error than it has.

        The pollers report errors, as only they surely know them: the first
        one at once, and the others in turn if it doesn't.

        :return: name of the service, None if there is none
        """
        pollers = self.confirmation.pollers()
        if self.confirmation.instance not in pollers:
            return None
        turn_ms = pollers.index(self.confirmation.instance) * REPORT_TURN_MS
        now_ms = self.clock.monotonic_ms()
        for service, found in self.errors.items():
            is_due = now_ms - self.logged_ms[service] >= turn_ms
            if is_due and self.reported.get(service) != found:
                return service
        for service in (*self.reported, *self.unanswered):
            if service not in self.errors:
                return service
        return None

    @defer.inlineCallbacks
    def report(
        self, service: str
    ) -> typing.Generator[typing.Any, typing.Any, None]:
        """Writes an error or its end into the status row, if it lacks that.

        :param service: name of the service
        """
        found, held = self.errors.get(service), self.held.get(service)
        if found is None and held is None:
            # The first step of the order will tell.
            self.reported.pop(service, None)
            self.unanswered.discard(service)
            return
        status = self.status(service, held.rollout if held else None)
        result = yield self.store.read_all(STATUS_TABLE)
        key = rollout_rows.KEY_PREFIX + service
        rows = {row.key: row for row in result.rows}
        row = rows.get(key)
        is_same = row is not None and row.value == status
        if not is_same or service in self.unanswered:
            yield self.write_status(service, status, row.version if row else 0)
        if service in self.unanswered:
            return
        if found is not None:
            self.reported[service] = found
        else:
            self.reported.pop(service, None)

    @defer.inlineCallbacks
    def write_status(
        self, service: str, status: str, status_version: int
    ) -> typing.Generator[typing.Any, typing.Any, None]:
        """Writes a status row, unless it or the roll-out has changed.

        A status whose write got no answer is written again, whatever the row
        says: until then the former write may still be performed.

        :param service: name of the service
        :param status: value of the status row
        :param status_version: version that the status row must have
        """
        self.unanswered.add(service)
        try:
            yield self.store.transact(
                transaction(
                    service,
                    self.row_version(service),
                    status,
                    None,
                    status_version,
                )
            )
        except stores.ConditionError:
            yield self.read_all()
        else:
            self.unanswered.discard(service)


def transaction(
    service: str,
    expected: int,
    status: str,
    rollout: str | None,
    status_version: int | None = None,
) -> dict[str, typing.Any]:
    """Returns a transaction that writes what operators are told.

    :param service: name of the service
    :param expected: version that the row of its roll-out must have
    :param status: value of the status row
    :param rollout: value of the row of its roll-out, None to keep it
    :param status_version: version that the status row must have, None for any
    """
    row = {"table": TABLE, "part": "", "key": service}
    status_row = {
        "table": STATUS_TABLE,
        "part": "",
        "key": rollout_rows.KEY_PREFIX + service,
        "value": status,
    }
    conditions = [row | {"ver": expected}]
    if status_version is not None:
        status_name = {name: status_row[name] for name in row}
        conditions.append(status_name | {"ver": status_version})
    rows = [status_row]
    if rollout is not None:
        rows.insert(0, row | {"value": rollout})
    return {
        "expected": conditions,
        "set-keys": rows,
        "remove": [],
    }
