"""A small stand-in of the platform's store, in the script's own process.

It holds rows, answers ``/rows-get``, ``/rows-feed`` and ``/rows-tx`` as
PROTOCOL.md says, and is never disturbed.
"""

import asyncio
import base64
import json
import time
import typing
import urllib.parse

import http1

Row = dict[str, typing.Any]
ANSWER_S = 0.004


class Store:
    """Rows by table, part and key.

    It may come back from an earlier copy of itself, as RULES-NEWS.md says of
    a drill: versions go back then, and ``Store-Era`` rises.
    """

    def __init__(self) -> None:
        self.era = 1
        self.away = False
        self.rows: dict[tuple[str, str, str], Row] = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.address = ""

    async def start(self, host: str) -> None:
        """Starts to listen.

        :param host: IP address
        """
        server = await http1.serve(host, 0, self.on_request)
        port = server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def put(self, table: str, key: str, content: object) -> float:
        """Writes a row as the operator or a runner does.

        :param table: name of the table
        :param key: key of the row
        :param content: JSON value, or bytes to store as they are
        :return: monotonic time of the acknowledgement, in seconds
        """
        raw = content if isinstance(content, bytes) else dump(content)
        value = base64.b64encode(raw).decode()
        self.apply([{"table": table, "key": key, "value": value}], [])
        return time.monotonic()

    def remove(self, table: str, key: str) -> None:
        """Removes a row.

        :param table: name of the table
        :param key: key of the row
        """
        self.apply([], [{"table": table, "key": key}])

    def apply(self, written: list[Row], removed: list[Row]) -> None:
        """Executes a transaction.

        :param written: rows to set
        :param removed: rows to remove
        """
        self.version += 1
        for row in written:
            name = (row["table"], row.get("part", ""), row["key"])
            self.rows[name] = dict(row, part=name[1], ver=self.version)
        for row in removed:
            name = (row["table"], row.get("part", ""), row["key"])
            if name in self.rows:
                self.rows[name] = {
                    "table": name[0],
                    "part": name[1],
                    "key": name[2],
                    "removed": True,
                    "ver": self.version,
                }
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self) -> tuple[dict[tuple[str, str, str], Row], int]:
        """Returns a copy of all rows, and the version."""
        return dict(self.rows), self.version

    async def drill(
        self,
        copy: tuple[dict[tuple[str, str, str], Row], int],
        away_s: float,
    ) -> None:
        """Is away for a moment, and comes back from a copy.

        :param copy: what :meth:`copy` returned
        :param away_s: how long it is away, in seconds
        """
        self.away = True
        self.changed.set()
        self.changed = asyncio.Event()
        await asyncio.sleep(away_s)
        self.rows, self.version = dict(copy[0]), copy[1]
        self.era += 1
        self.away = False

    def answer(self, rows: list[Row]) -> Row:
        """Returns the body of an answer with rows.

        :param rows: the rows
        """
        now_ms = int(time.monotonic() * 1000)
        return {
            "rows": rows,
            "has-more": False,
            "ver": self.version,
            "now-ms": now_ms,
        }

    async def on_request(
        self, request: http1.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Answers a call.

        :param request: the call
        :param writer: its connection
        """
        path, _mark, text = request.target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        await asyncio.sleep(ANSWER_S)
        era = self.era
        if self.away:
            status, body = 503, {}
        elif path == "/rows-get":
            status, body = self.get(query)
        elif path == "/rows-feed":
            status, body = await self.feed(query)
        elif path == "/rows-tx":
            status, body = self.transact(json.loads(request.body))
        else:
            status, body = 404, {}
        if self.away or era != self.era:
            # A call that waits as the store goes away is not answered.
            status, body = 503, {}
        headers = {"Store-Era": str(self.era)}
        http1.answer(writer, status, headers, dump(body))

    def get(self, query: dict[str, str]) -> tuple[int, Row]:
        """Answers ``/rows-get``.

        :param query: its parameters
        :return: status and body
        """
        table, part = query["table"], query.get("part", "")
        rows = [
            row
            for name, row in sorted(self.rows.items())
            if name[:2] == (table, part)
            and not row.get("removed")
            and name[2] >= query.get("from", "")
        ]
        return 200, self.answer(rows)

    async def feed(self, query: dict[str, str]) -> tuple[int, Row]:
        """Answers ``/rows-feed`` once a row has changed.

        :param query: its parameters
        :return: status and body
        """
        after = int(query["after"])
        end_s = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while True:
            rows = [
                row
                for name, row in self.rows.items()
                if name[0] == query["table"] and row["ver"] > after
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                rows.sort(key=lambda row: row["ver"])
                return 200, self.answer(rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                continue

    def transact(self, body: Row) -> tuple[int, Row]:
        """Answers ``/rows-tx``.

        :param body: the transaction
        :return: status and body
        """
        for row in body.get("expected", []):
            name = (row["table"], row.get("part", ""), row["key"])
            held = self.rows.get(name, {})
            version = 0 if held.get("removed") else held.get("ver", 0)
            if version != row["ver"]:
                return 412, self.answer([held] if version else [])
        protected = ("op", "servers")
        entries = [*body.get("set-keys", []), *body.get("remove", [])]
        if any(row["table"] in protected for row in entries):
            return 403, {}
        self.apply(body.get("set-keys", []), body.get("remove", []))
        return 200, {"ver": self.version, "now-ms": int(time.monotonic())}


def dump(value: object) -> bytes:
    """Encodes JSON.

    :param value: any JSON value
    """
    return json.dumps(value).encode()
