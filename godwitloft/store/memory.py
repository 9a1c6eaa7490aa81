"""A platform in memory: the embedded default, and the stand-in's core.

:class:`Store` holds the data and returns results at once. :func:`platform`
makes a port of it and adds delays and failures as a fault injector decides.
"""

import dataclasses
import typing

from twisted.internet import defer
from twisted.internet import interfaces

from godwitloft import clock as clocks
from godwitloft.store import faults
from godwitloft.store import port
from godwitloft.store import rate_limit

MS_PER_S = 1000
DEFAULT_TIMEOUT_MS = 2000
MAX_LIST_LAG_MS = 120_000


@dataclasses.dataclass(frozen=True)
class StoreSettings:
    """Rate limits of the platform; 0: no limit.

    :param reads_per_s: reads per second of tables, objects and lists together
    :param writes_per_s: writes per second
    :param weights_per_s: loads per second that the weight store permits
    """

    reads_per_s: float = 2000.0
    writes_per_s: float = 300.0
    weights_per_s: float = 2.0


@dataclasses.dataclass(frozen=True)
class StoredRow:
    """A row and its expiry.

    :param row: the row
    :param expires_ms: when it expires, None for never
    """

    row: port.Row
    expires_ms: float | None


@dataclasses.dataclass(frozen=True)
class Announcement:
    """One state of an instance as the instance announced it.

    :param instance: the instance
    :param since_ms: when it was first announced
    :param expires_ms: when the list drops it unless it is announced again
    """

    instance: port.Instance
    since_ms: float
    expires_ms: float


class Store:
    """Tables, objects, instances and weights in memory.

    :param clock: gives the time
    :param settings: rate limits
    """

    def __init__(
        self, clock: clocks.Clock, settings: StoreSettings = StoreSettings()
    ) -> None:
        self.clock = clock
        self.reads = rate_limit.RateLimit(lambda: settings.reads_per_s)
        self.writes = rate_limit.RateLimit(lambda: settings.writes_per_s)
        self.weights = rate_limit.RateLimit(lambda: settings.weights_per_s)
        self.last_version = 0
        self.tables: dict[str, dict[str, StoredRow]] = {}
        self.objects: dict[str, bytes] = {}
        self.announcements: dict[str, list[Announcement]] = {}
        self.read_count = 0
        self.write_count = 0

    def read_row(self, table: str, key: str) -> port.Row | None:
        """Returns a row.

        :param table: name of the table
        :param key: key within it
        :return: the row, None if there is none
        :raises RateLimited: if there are too many reads
        """
        self._count_read()
        return self._row(table, key)

    def write_row(
        self,
        table: str,
        key: str,
        value: bytes,
        version: int,
        time_to_live_ms: int | None,
    ) -> port.Swapped | port.Conflict:
        """Writes a row if it has the expected version.

        :param table: name of the table
        :param key: key within it
        :param value: its new content
        :param version: the expected version, 0 if no row is expected
        :param time_to_live_ms: milliseconds until it expires, None for never
        :return: the new row, or the current row with another version
        :raises RateLimited: if there are too many writes
        :raises InvalidCall: if the content is too long
        """
        self._count_write()
        if len(value) > port.MAX_ROW_BYTES:
            raise port.InvalidCall(
                f"row {key!r} of table {table!r} has {len(value)} bytes, more"
                f" than {port.MAX_ROW_BYTES}"
            )
        current = self._row(table, key)
        if (current.version if current else 0) != version:
            return port.Conflict(current)
        self.last_version += 1
        row = port.Row(key, value, self.last_version)
        expires_ms = None
        if time_to_live_ms is not None:
            expires_ms = self.clock.monotonic_ms() + time_to_live_ms
        self.tables.setdefault(table, {})[key] = StoredRow(row, expires_ms)
        return port.Swapped(row)

    def delete_row(
        self, table: str, key: str, version: int
    ) -> port.Swapped | port.Conflict:
        """Deletes a row if it has the expected version.

        :param table: name of the table
        :param key: key within it
        :param version: the expected version
        :return: the deleted row, or the current row with another version
        :raises RateLimited: if there are too many writes
        """
        self._count_write()
        current = self._row(table, key)
        if current is None or current.version != version:
            return port.Conflict(current)
        del self.tables[table][key]
        return port.Swapped(current)

    def list_rows(self, table: str, prefix: str) -> tuple[port.Row, ...]:
        """Returns the rows whose keys have a prefix.

        :param table: name of the table
        :param prefix: the prefix
        :return: the rows, ordered by key
        :raises RateLimited: if there are too many reads
        """
        self._count_read()
        keys = sorted(
            key for key in self.tables.get(table, {}) if key.startswith(prefix)
        )
        rows = [self._row(table, key) for key in keys]
        return tuple(row for row in rows if row is not None)

    def read_object(self, name: str) -> bytes | None:
        """Returns an object.

        :param name: its name
        :return: its content, None if there is none
        :raises RateLimited: if there are too many reads
        """
        self._count_read()
        return self.objects.get(name)

    def write_object(self, name: str, content: bytes) -> None:
        """Stores an object, which can't be changed afterwards.

        :param name: its name
        :param content: its content
        :raises RateLimited: if there are too many writes
        :raises InvalidCall: if it is too long, or if an object of this name
            has a different content
        """
        self._count_write()
        if len(content) > port.MAX_OBJECT_BYTES:
            raise port.InvalidCall(
                f"object {name!r} has {len(content)} bytes, more than"
                f" {port.MAX_OBJECT_BYTES}"
            )
        if self.objects.setdefault(name, content) != content:
            raise port.InvalidCall(f"object {name!r} has another content")

    def announce_instance(
        self, instance: port.Instance, time_to_live_ms: int
    ) -> None:
        """Puts an instance on the list until the time to live has passed.

        :param instance: the instance
        :param time_to_live_ms: how long the list shows it, in milliseconds
        :raises RateLimited: if there are too many writes
        """
        self._count_write()
        now_ms = self.clock.monotonic_ms()
        history = self.announcements.setdefault(instance.name, [])
        since_ms: float = now_ms
        if history and history[-1].instance == instance:
            if history[-1].expires_ms >= now_ms:
                since_ms = history.pop().since_ms
        history.append(
            Announcement(instance, since_ms, now_ms + time_to_live_ms)
        )

    def list_instances(self, lag_ms: float = 0.0) -> tuple[port.Instance, ...]:
        """Returns the instances as the list showed them some time ago.

        :param lag_ms: how long ago, at most ``MAX_LIST_LAG_MS``
        :return: the instances, ordered by name
        :raises RateLimited: if there are too many reads
        """
        self._count_read()
        now_ms = self.clock.monotonic_ms()
        as_of_ms = now_ms - lag_ms
        instances = []
        for name in sorted(self.announcements):
            history = self.announcements[name]
            while (
                len(history) > 1
                and history[1].since_ms <= now_ms - MAX_LIST_LAG_MS
            ):
                history.pop(0)
            visible = [
                entry for entry in history if entry.since_ms <= as_of_ms
            ]
            if visible and as_of_ms < visible[-1].expires_ms:
                instances.append(visible[-1].instance)
        return tuple(instances)

    def read_weights(self, name: str) -> None:
        """Takes a permit to load weights.

        :param name: name of the weights
        :raises RateLimited: if there are too many loads
        """
        if not self.weights.take(self.clock.monotonic_ms()):
            raise port.RateLimited(f"weights {name!r}: too many loads")

    def _row(self, table: str, key: str) -> port.Row | None:
        stored = self.tables.get(table, {}).get(key)
        if stored is None:
            return None
        expires_ms = stored.expires_ms
        if expires_ms is not None and expires_ms <= self.clock.monotonic_ms():
            del self.tables[table][key]
            return None
        return stored.row

    def _count_read(self) -> None:
        if not self.reads.take(self.clock.monotonic_ms()):
            raise port.RateLimited("too many reads")
        self.read_count += 1

    def _count_write(self) -> None:
        if not self.writes.take(self.clock.monotonic_ms()):
            raise port.RateLimited("too many writes")
        self.write_count += 1


def platform(
    store: Store,
    reactor: interfaces.IReactorTime,
    injector: faults.Injector | None = None,
    timeout_ms: float = DEFAULT_TIMEOUT_MS,
) -> port.Platform:
    """Returns a port that calls a store in memory.

    A call that takes longer than the timeout fails for its caller, but a
    slow write still takes effect later, as on a real store.

    :param store: holds the data
    :param reactor: gives timers for slow calls
    :param injector: decides on faults; None: there are none
    :param timeout_ms: how long a caller waits for a result
    :return: the port
    """
    fault_injector = injector or faults.Injector()

    def reader(
        service: port.Service, operation: typing.Callable[..., typing.Any]
    ) -> typing.Callable[..., defer.Deferred[typing.Any]]:
        return lambda *arguments: call(service, False, operation, arguments)

    def writer(
        service: port.Service, operation: typing.Callable[..., typing.Any]
    ) -> typing.Callable[..., defer.Deferred[typing.Any]]:
        return lambda *arguments: call(service, True, operation, arguments)

    def list_instances() -> tuple[port.Instance, ...]:
        return store.list_instances(fault_injector.faults.list_lag_ms)

    def call(
        service: port.Service,
        is_write: bool,
        operation: typing.Callable[..., typing.Any],
        arguments: tuple[typing.Any, ...],
    ) -> defer.Deferred[typing.Any]:
        name = operation.__name__
        decision = fault_injector.decide(service, is_write)
        error_type = port.AnswerLost if is_write else port.StoreUnavailable
        if decision.action is faults.Action.REFUSE:
            return defer.fail(port.StoreUnavailable(f"{name}: refused"))
        answer: defer.Deferred[typing.Any] = defer.Deferred()

        def fail(reason: str) -> None:
            if not answer.called:
                answer.errback(error_type(f"{name}: {reason}"))

        def run() -> None:
            result = defer.execute(operation, *arguments)
            if answer.called:
                result.addErrback(lambda _: None)
            elif decision.action is faults.Action.LOSE:
                result.addErrback(lambda _: None)
                fail("the answer was lost")
            else:
                result.chainDeferred(answer)

        hangs = decision.action is faults.Action.HANG
        if hangs or decision.delay_ms > timeout_ms:
            reactor.callLater(timeout_ms / MS_PER_S, fail, "timed out")
        if not hangs and decision.delay_ms > 0:
            reactor.callLater(decision.delay_ms / MS_PER_S, run)
        elif not hangs:
            run()
        return answer

    return port.Platform(
        read_row=reader(port.Service.TABLES, store.read_row),
        write_row=writer(port.Service.TABLES, store.write_row),
        delete_row=writer(port.Service.TABLES, store.delete_row),
        list_rows=reader(port.Service.TABLES, store.list_rows),
        read_object=reader(port.Service.OBJECTS, store.read_object),
        write_object=writer(port.Service.OBJECTS, store.write_object),
        list_instances=reader(port.Service.INSTANCES, list_instances),
        read_weights=writer(port.Service.WEIGHTS, store.read_weights),
        announce_instance=writer(
            port.Service.INSTANCES, store.announce_instance
        ),
    )
