"""Rows of the store that one process writes, in the order of its writes.

A write that gets no answer may be performed seconds later. So each one expects
the version that the row has had since the last one: once a newer write is
acknowledged, the store refuses all that were sent before it.
"""

import typing

from twisted.internet import defer

from godwitloft import events
from godwitloft.platform import store as stores

# Value in base64 of each row, by key.
Values = typing.Mapping[str, str]


class OwnedRows:
    """Rows of one table that only this process writes.

    :param store: the store
    :param table: name of the table
    :param on_found: called with each row that has another version than this
        process knew: a write without an answer was performed, or one of the
        process that had its keys before
    """

    def __init__(
        self,
        store: stores.Store,
        table: str,
        on_found: typing.Callable[[stores.Row], None] = lambda _row: None,
    ) -> None:
        self.store = store
        self.table = table
        self.on_found = on_found
        # As last known, by key; none for a row that doesn't exist.
        self.versions: dict[str, int] = {}

    def learn(self, found: typing.Iterable[stores.Row]) -> None:
        """Learns the versions of rows.

        :param found: rows of this process, or of the one before it
        """
        self.versions.update((row.key, row.version) for row in found)

    @defer.inlineCallbacks
    def write(
        self,
        values: typing.Callable[[], Values],
        removed: typing.Sequence[str] = (),
    ) -> typing.Generator[typing.Any, typing.Any, None]:
        """Writes and removes rows, all at once.

        :param values: returns what is written; called again once rows were
            found to have changed
        :param removed: keys of rows that nobody writes any more
        :return: fires when the store has acknowledged it; fails with
            :class:`StoreError`
        """
        try:
            yield self.try_write(values(), removed)
        except stores.ConditionError:
            yield self.read_versions(values())
            yield self.try_write(values(), removed)

    @defer.inlineCallbacks
    def try_write(
        self,
        values: Values,
        removed: typing.Sequence[str],
    ) -> typing.Generator[typing.Any, typing.Any, None]:
        """Writes and removes rows if they have the versions that are known.

        :param values: value in base64 of each row that is written, by key
        :param removed: keys of rows that nobody writes any more
        """
        expected = {key: self.versions.get(key, 0) for key in values}
        answer = yield self.store.transact(
            {
                "expected": [
                    self.entry(key) | {"ver": version}
                    for key, version in expected.items()
                ],
                "set-keys": [
                    self.entry(key) | {"value": value}
                    for key, value in values.items()
                ],
                "remove": [self.entry(key) for key in removed],
            }
        )
        for key in removed:
            self.versions.pop(key, None)
        # The newest version of the whole store. If another process has
        # written meanwhile, the rows' version is read before the next write.
        version = answer.body.get("ver")
        if isinstance(version, int):
            self.versions.update(dict.fromkeys(values, version))

    @defer.inlineCallbacks
    def read_versions(
        self, keys: typing.Iterable[str]
    ) -> typing.Generator[typing.Any, typing.Any, None]:
        """Reads the versions of rows.

        :param keys: at least one key of a row
        """
        known = {key: self.versions.get(key, 0) for key in keys}
        result = yield self.store.read_all(
            self.table, stores.KeyRange(min(known), max(known) + "\0")
        )
        found = [row for row in result.rows if row.key in known]
        for key in known:
            self.versions.pop(key, None)
        self.learn(found)
        changed = [
            key
            for key, version in known.items()
            if self.versions.get(key, 0) != version
        ]
        events.log(events.ROWS_CHANGED, table=self.table, rows=sorted(changed))
        for row in found:
            if row.key in changed:
                self.on_found(row)

    def entry(self, key: str) -> dict[str, typing.Any]:
        """Returns how a transaction names a row.

        :param key: key of the row
        """
        return {"table": self.table, "part": "", "key": key}
