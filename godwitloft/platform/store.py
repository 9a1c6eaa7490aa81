"""Calls the platform's store, and what else the platform serves."""

import dataclasses
import json
import typing
import urllib.parse

from twisted.internet import defer

from godwitloft import clock as clocks
from godwitloft import errors
from godwitloft.gateway import attempt as attempts
from godwitloft.gateway import http_server
from godwitloft.gateway import model

CALL_TIMEOUT_MS = 1_000
HTTP_OK = 200


class StoreError(errors.GodwitloftError):
    """A call got no useful answer.

    :param call: what was called
    :param status: HTTP status, 0 if there was none
    :param reason: what happened
    """

    def __init__(self, call: str, status: int, reason: str) -> None:
        self.call = call
        self.status = status
        self.reason = reason
        super().__init__(f"call {call}: {reason}")


class HistoryLostError(StoreError):
    """The store no longer knows what changed since some version."""


class ConditionError(StoreError):
    """A row did not have the version that a change expected."""


@dataclasses.dataclass(frozen=True)
class Row:
    """One row as the store returns it.

    :param key: of the row
    :param value: base64 text, None if the row was removed
    :param version: of its last change
    """

    key: str
    value: object
    version: int


@dataclasses.dataclass(frozen=True)
class ReadResult:
    """What a reading call returns.

    :param rows: in the store's order
    :param version: newest version of the whole store
    :param now_ms: the store's steady clock
    :param has_more: whether there are further rows
    """

    rows: tuple[Row, ...]
    version: int
    now_ms: int
    has_more: bool


class Call:
    """One call and its answer.

    :param name: for errors
    :param result: gets the decoded body
    """

    def __init__(
        self, name: str, result: "defer.Deferred[typing.Any]"
    ) -> None:
        self.name = name
        self.result = result
        self.status = 0
        self.parts: list[bytes] = []

    def on_head(self, status: int, _headers: list[http_server.Header]) -> None:
        """Keeps the status.

        :param status: HTTP status
        """
        self.status = status

    def on_end(self, end: attempts.End, reason: str) -> None:
        """Ends the call.

        :param end: how its attempt ended
        :param reason: why
        """
        if end is not attempts.End.COMPLETE:
            self.fail(StoreError(self.name, 0, reason))
            return
        if self.status == 410:
            self.fail(HistoryLostError(self.name, 410, "history is gone"))
            return
        if self.status == 412:
            self.fail(ConditionError(self.name, 412, "another version"))
            return
        if self.status != HTTP_OK:
            reason = f"status {self.status}"
            self.fail(StoreError(self.name, self.status, reason))
            return
        try:
            body = json.loads(b"".join(self.parts) or b"{}")
        except ValueError as problem:
            self.fail(StoreError(self.name, HTTP_OK, str(problem)))
            return
        if not self.result.called:
            self.result.callback(body)

    def fail(self, problem: StoreError) -> None:
        """Ends the call with an error.

        :param problem: what happened
        """
        if not self.result.called:
            self.result.errback(problem)


class Client:
    """Calls one server of the platform; each call has its own connection.

    :param reactor: the twisted reactor
    :param host: IP number of the server
    :param port: TCP port
    :param own_host: address to connect from
    """

    def __init__(
        self, reactor: typing.Any, host: str, port: int, own_host: str
    ) -> None:
        self.reactor = reactor
        self.own_host = own_host
        self.server = model.Upstream("", "", host, port, "", 1, False, 0)

    def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> "defer.Deferred[typing.Any]":
        """Makes one call.

        :param method: HTTP method
        :param target: path and query
        :param body: JSON, if any
        :param timeout_ms: longest time to the end of the answer
        :return: the decoded body; fails with :class:`StoreError`
        """
        result: defer.Deferred[typing.Any] = defer.Deferred()
        call = Call(f"{method} {target.partition('?')[0]}", result)
        server = self.server
        headers = [
            (b"host", f"{server.host}:{server.port}".encode()),
            (b"connection", b"close"),
        ]
        if body:
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", b"%d" % len(body)))
        attempt = attempts.start(
            self.reactor,
            server,
            attempts.Outgoing(method.encode(), target.encode(), headers, body),
            attempts.AttemptCallbacks(
                call.on_head, call.parts.append, call.on_end
            ),
            self.own_host,
        )

        def time_out() -> None:
            attempt.end(attempts.End.BROKEN, "timeout")

        timer = self.reactor.callLater(timeout_ms / clocks.MS_PER_S, time_out)

        def stop_timer(outcome: typing.Any) -> typing.Any:
            if timer.active():
                timer.cancel()
            return outcome

        return result.addBoth(stop_timer)


class Store:
    """The rows of the store.

    :param client: calls the store
    """

    def __init__(self, client: Client) -> None:
        self.client = client

    def read(
        self, table: str, after_key: str = ""
    ) -> "defer.Deferred[ReadResult]":
        """Reads the rows of a table.

        :param table: its name
        :param after_key: last key that is known, empty for the first page
        :return: up to 500 rows
        """
        query = {"table": table, "part": ""}
        if after_key:
            query["from"] = after_key + "\0"
        target = "/rows-get?" + urllib.parse.urlencode(query)
        return self.client.call("GET", target).addCallback(decode_rows)

    def wait_for_changes(
        self, table: str, after: int, wait_ms: int
    ) -> "defer.Deferred[ReadResult]":
        """Waits for rows of a table to change.

        :param table: its name
        :param after: version that is known
        :param wait_ms: how long to wait for a change
        :return: the changed rows, none if nothing changed in that time
        """
        query = {"table": table, "after": after, "wait-ms": wait_ms}
        target = "/rows-feed?" + urllib.parse.urlencode(query)
        return self.client.call(
            "GET", target, timeout_ms=wait_ms + CALL_TIMEOUT_MS
        ).addCallback(decode_rows)

    def put(
        self, table: str, key: str, value: str
    ) -> "defer.Deferred[typing.Any]":
        """Writes one row, whatever is there.

        :param table: its name
        :param key: of the row
        :param value: base64 text
        :return: fires when the store has acknowledged it
        """
        row = {"table": table, "part": "", "key": key, "value": value}
        return self.transact({"expected": [], "set-keys": [row], "remove": []})

    def remove(self, table: str, key: str) -> "defer.Deferred[typing.Any]":
        """Removes one row, whatever is there.

        :param table: its name
        :param key: of the row
        :return: fires when the store has acknowledged it
        """
        row = {"table": table, "part": "", "key": key}
        return self.transact({"expected": [], "set-keys": [], "remove": [row]})

    def transact(
        self, transaction: dict[str, typing.Any]
    ) -> "defer.Deferred[typing.Any]":
        """Applies a transaction.

        :param transaction: as the store wants them
        :return: the decoded answer
        """
        return self.client.call(
            "POST", "/rows-tx", json.dumps(transaction).encode()
        )


def decode_rows(body: typing.Any) -> ReadResult:
    """Decodes the answer of a reading call.

    :param body: decoded JSON
    :return: the rows
    """
    try:
        rows = tuple(
            Row(
                key=str(row["key"]),
                value=None if row.get("removed") else row.get("value"),
                version=int(row.get("ver", 0)),
            )
            for row in body["rows"]
        )
        return ReadResult(
            rows=rows,
            version=int(body["ver"]),
            now_ms=int(body.get("now-ms", 0)),
            has_more=bool(body.get("has-more", False)),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as problem:
        raise StoreError(
            "read", HTTP_OK, f"unreadable rows: {problem!r}"
        ) from problem
