"""The tables in which gateways keep where their streams began."""

import base64
import json
import typing

from twisted.internet import defer

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway.streams import base_versions
from godwitloft.gateway.streams import continuations as continuation_module
from godwitloft.gateway.streams import stream_origins
from godwitloft.platform import json_fields
from godwitloft.platform import owned_rows
from godwitloft.platform import rows
from godwitloft.platform import store as stores

TABLE = "streams"
# Has a row for each service, with its base version.
BASE_TABLE = "base_versions"
# Of the 100 entries of one transaction of the store, in which a row that is
# written takes two, as its version is expected.
MAX_ROWS_SET = 25
MAX_ROWS_REMOVED = 50
CHECK_INTERVAL_MS = 50


class StreamTable:
    """Saves and reads origins of streams and base versions of services.

    :param clock: source of the time
    :param store: the store
    :param continuations: requests that wait for saved origins, and the origins
        to be saved
    :param owner: begins the keys of this process's rows, new at each start
    :param decode_row: decodes a row, or logs why it can't and returns None
    """

    def __init__(
        self,
        clock: clocks.Clock,
        store: stores.Store,
        continuations: continuation_module.Continuations,
        owner: str,
        decode_row: typing.Callable[..., typing.Any],
    ) -> None:
        self.clock = clock
        self.store = store
        self.continuations = continuations
        self.origins = continuations.origins
        self.bases = continuations.bases
        self.bases.has_store = True
        self.owner = owner
        self.owned_rows = owned_rows.OwnedRows(store, TABLE)
        self.decode_row = decode_row
        self.was_read = False
        # The store's clock minus this process's.
        self.store_clock_offset_ms = 0
        # Keys of rows whose streams can't be taken up any more.
        self.old_keys: list[str] = []
        # Versions of the rows of base versions, by service.
        self.base_row_versions: dict[str, int] = {}

    def needs_reading(self) -> bool:
        """Returns whether to read, or to set a base version."""
        return (
            not self.was_read
            or self.continuations.needs_lookup()
            or self.bases.needs_reading()
            or bool(self.bases.to_store())
        )

    def read(self) -> "defer.Deferred[int]":
        """Reads both tables, or sets base versions.

        :return: fires with the delay before the next call, in milliseconds
        """
        to_store = self.bases.to_store()
        if to_store and not self.continuations.needs_lookup():
            return self.set_bases(to_store)
        return self.look_up()

    @defer.inlineCallbacks
    def look_up(self) -> typing.Generator[typing.Any, typing.Any, int]:
        """Reads all rows and passes on what is in them.

        :return: the delay before the next call, in milliseconds
        """
        asked_ms = self.clock.monotonic_ms()
        try:
            yield self.read_bases(asked_ms)
            result = yield self.store.read_all(TABLE)
        except stores.StoreError:
            self.continuations.on_lookup_failed()
            raise
        self.was_read = True
        self.store_clock_offset_ms = result.now_ms - self.clock.monotonic_ms()
        life_ms = self.origins.stream_life_ms()
        found: dict[str, stream_origins.Origin] = {}
        for row in result.rows:
            segment = self.decode_row(TABLE, row, decode)
            if segment is None:
                continue
            saved_ms, origins = segment
            if result.now_ms - saved_ms > life_ms:
                self.old_keys.append(row.key)
            else:
                found.update(origins)
        self.continuations.on_lookup(found, asked_ms)
        return CHECK_INTERVAL_MS

    @defer.inlineCallbacks
    def read_bases(
        self, asked_ms: int
    ) -> typing.Generator[typing.Any, typing.Any, None]:
        """Reads the base versions of all services.

        :param asked_ms: the current time
        """
        result = yield self.store.read_all(BASE_TABLE)
        found: dict[str, base_versions.Base] = {}
        self.base_row_versions = {row.key: row.version for row in result.rows}
        for row in result.rows:
            base = self.decode_row(BASE_TABLE, row, decode_base)
            if base is not None:
                found[row.key] = base
        self.bases.learn(
            found,
            base_versions.Reading(
                asked_ms, result.position.timeline or 0, result.now_ms
            ),
        )

    @defer.inlineCallbacks
    def set_bases(
        self, bases: dict[str, base_versions.Base]
    ) -> typing.Generator[typing.Any, typing.Any, int]:
        """Writes base versions, unless another gateway was first.

        :param bases: by service
        :return: the delay before the next call, in milliseconds
        """
        chosen = dict(list(bases.items())[:MAX_ROWS_SET])
        names = [
            {"table": BASE_TABLE, "part": "", "key": service}
            for service in chosen
        ]
        transaction = {
            "expected": [
                name | {"ver": self.base_row_versions.get(name["key"], 0)}
                for name in names
            ],
            "set-keys": [
                name | {"value": encode_base(chosen[name["key"]])}
                for name in names
            ],
            "remove": [],
        }
        # Whether it has succeeded or not, the rows' versions are read again.
        self.bases.mark_unread()
        try:
            yield self.store.transact(transaction)
        except stores.ConditionError:
            return 0
        self.bases.record_stored(chosen)
        for service, base in chosen.items():
            events.log(
                events.BASE_VERSION_SET,
                service=service,
                upstream_version=base.version,
                number=base.number,
            )
        return 0

    def needs_writing(self) -> bool:
        """Returns whether streams must be saved, or old rows removed."""
        return bool(self.old_keys) or self.origins.needs_saving()

    @defer.inlineCallbacks
    def write(self) -> typing.Generator[typing.Any, typing.Any, int]:
        """Saves what is not saved, and removes what is no longer needed.

        :return: the delay before the next call, in milliseconds
        """
        now_ms = self.clock.monotonic_ms() + self.store_clock_offset_ms
        old_segments = self.origins.take_old_segments()
        keys = [*self.old_keys, *map(self.key, old_segments)]
        old = list(dict.fromkeys(keys))
        removed = old[:MAX_ROWS_REMOVED]
        self.old_keys = old[MAX_ROWS_REMOVED:]
        segments = self.origins.take_unsaved(MAX_ROWS_SET)
        values = {
            self.key(segment.number): encode(segment, now_ms)
            for segment in segments
        }
        try:
            yield self.owned_rows.write(lambda: values, removed)
        except stores.StoreError as error:
            self.origins.mark_failed(error.may_be_performed())
            self.old_keys.extend(removed)
            raise
        self.origins.confirm_saved(segments)
        return CHECK_INTERVAL_MS

    def key(self, segment: int) -> str:
        """Returns the key of a segment's row.

        :param segment: number of the segment
        """
        return f"{self.owner}.{segment}"


def encode(segment: stream_origins.Segment, now_ms: int) -> str:
    """Encodes a segment's row.

    :param segment: its content
    :param now_ms: time of the store's clock
    :return: JSON in base64
    """
    streams: dict[str, dict[str, list[str]]] = {}
    for name, origin in segment.origins.items():
        versions = streams.setdefault(origin.service, {})
        versions.setdefault(origin.version, []).append(name)
    content = {"saved_ms": now_ms, "streams": streams}
    text = json.dumps(content, separators=(",", ":"))
    return base64.b64encode(text.encode()).decode()


def decode(
    name: str, value: object
) -> tuple[int, dict[str, stream_origins.Origin]]:
    """Decodes a segment's row.

    :param name: table and key, for error messages
    :param value: JSON in base64
    :return: when it was saved, on the store's clock, and the origins by short
        id
    :raises RowError: if it is invalid
    """
    fields = rows.decode_content(name, value)
    found = {}
    streams = json_fields.Fields(name, "streams", fields.value.get("streams"))
    for service in streams.value:
        versions = json_fields.Fields(
            name, f"streams.{service}", streams.value[service]
        )
        for version in versions.value:
            origin = stream_origins.Origin(service, version)
            for stream in versions.texts(version):
                found[stream] = origin
    return int(fields.number("saved_ms")), found


def encode_base(base: base_versions.Base) -> str:
    """Encodes the row of a service's base version.

    :param base: its content
    :return: JSON in base64
    """
    content = {
        "version": base.version,
        "number": base.number,
        "timeline": base.timeline,
        "complete_from_ms": base.complete_from_ms,
    }
    return base64.b64encode(json.dumps(content).encode()).decode()


def decode_base(name: str, value: object) -> base_versions.Base:
    """Decodes the row of a service's base version.

    :param name: table and key, for error messages
    :param value: JSON in base64
    :return: its content
    :raises RowError: if it is invalid
    """
    fields = rows.decode_content(name, value)
    return base_versions.Base(
        fields.text("version"),
        fields.whole("number"),
        fields.whole("timeline", default=0),
        fields.whole("complete_from_ms", default=0),
    )
