"""Client of the operators' HTTP API of an entry.

Every call is idempotent: reads change nothing, a second drain has no further
effect, and a publish carries an id under which it is accepted at most once.
A call whose answer is lost is therefore retried at the next entry.
"""

import dataclasses
import typing
import urllib.parse

from twisted.internet import defer
from twisted.internet import error as internet_errors
from twisted.internet import task
from twisted.python import failure
from twisted.web import client as web_client
from twisted.web import http

from godwitloft import decode
from godwitloft.coordination import publish
from godwitloft.objects import canonical
from godwitloft.objects import errors as objects_errors
from godwitloft.objects import parse
from godwitloft.objects import types
from godwitloft.operators import operator_port
from godwitloft.ui import errors
from godwitloft.ui import session as sessions

MAX_ANSWER_BYTES = 64 * 1024 * 1024
FIRST_PROGRESS_AFTER_S = 1
PROGRESS_INTERVAL_S = 5
PUBLISH_STATUS_CODES = (http.OK, http.CONFLICT, 422)

NOT_SENT_ERRORS = (internet_errors.ConnectError, web_client.RequestNotSent)
UNREACHABLE_ERRORS = (
    internet_errors.ConnectError,
    internet_errors.ConnectionClosed,
    internet_errors.TimeoutError,
    web_client.RequestNotSent,
    web_client.ResponseFailed,
    web_client.RequestTransmissionFailed,
    defer.TimeoutError,
    OSError,
)
EXIT_CODES: typing.Mapping[int, errors.ExitCode] = {
    http.NOT_FOUND: errors.ExitCode.PROBLEMS,
    422: errors.ExitCode.PROBLEMS,
    http.CONFLICT: errors.ExitCode.CONFLICT,
}


@dataclasses.dataclass(frozen=True)
class Connection:
    """Entries that a command calls, and its token.

    :param servers: URLs of entries, tried in order
    :param token: bearer token
    :param timeout_s: timeout of each call in seconds
    """

    servers: tuple[str, ...]
    token: str
    timeout_s: int


@dataclasses.dataclass(frozen=True)
class Call:
    """A call of the API.

    :param method: HTTP method
    :param path: below ``/operator/``
    :param kind: data class of the answer
    :param query: query parameters
    :param body: data class of the body, or None
    :param answer_statuses: HTTP status codes whose body is of that class
    """

    method: str
    path: str
    kind: typing.Any
    query: typing.Mapping[str, int] = dataclasses.field(default_factory=dict)
    body: object = None
    answer_statuses: tuple[int, ...] = (http.OK,)


class NoAnswer(errors.CommandError):
    """No entry answered the call.

    :param message: human-readable reason
    :param may_have_applied: whether an entry may have carried out the call
    """

    def __init__(self, message: str, may_have_applied: bool) -> None:
        self.may_have_applied = may_have_applied
        super().__init__(message, errors.ExitCode.UNREACHABLE)


async def read_snapshot(
    connection: Connection, session: sessions.Session, generation: int = 0
) -> tuple[publish.Head, types.ObjectSet]:
    """Reads one generation of the configuration.

    :param connection: entries to call, and the token
    :param session: client, clock, streams and environment to use
    :param generation: generation to read; 0: the accepted one
    :return: its head and its objects
    """
    answer = await send(
        connection,
        session,
        Call(
            "GET",
            "snapshot",
            operator_port.SnapshotAnswer,
            query={"generation": generation},
        ),
    )
    where = f"generation {answer.head.generation}"
    try:
        return answer.head, parse.from_value(answer.objects, where)
    except objects_errors.ObjectsError as error:
        raise errors.CommandError(
            f"the entry's answer: {error}", errors.ExitCode.UNREACHABLE
        ) from error


async def send_publish(
    connection: Connection,
    session: sessions.Session,
    objects: types.ObjectSet,
    base_generation: int,
    reason: str,
    publish_id: str,
) -> operator_port.PublishAnswer:
    """Publishes a whole set.

    :param connection: entries to call, and the token
    :param session: client, clock, streams and environment to use
    :param objects: the set
    :param base_generation: generation that the set is based on
    :param reason: why, for the history
    :param publish_id: unique to this publish, also when it is retried
    :return: the result
    """
    body = operator_port.PublishBody(
        objects=canonical.to_plain(objects),
        base_generation=base_generation,
        reason=reason,
        publish_id=publish_id,
    )
    call = Call(
        "POST",
        "publish",
        operator_port.PublishAnswer,
        body=body,
        answer_statuses=PUBLISH_STATUS_CODES,
    )
    try:
        return await send(connection, session, call)
    except NoAnswer as error:
        if not error.may_have_applied:
            raise
        raise errors.CommandError(
            f"{error}\nIt may have been accepted. Run the command again with"
            f" --publish-id {publish_id}; it is not accepted twice.",
            error.code,
        ) from error


async def send(
    connection: Connection, session: sessions.Session, call: Call
) -> typing.Any:
    """Sends a call to the first entry that answers.

    :param connection: entries to call, and the token
    :param session: client, clock, streams and environment to use
    :param call: what to send
    :return: the decoded answer
    :raises errors.CommandError: when the call is refused or no entry answers
    """
    failures = []
    may_have_applied = False
    for server in connection.servers:
        progress = _ProgressReporter(session, f"waiting for {server}")
        try:
            return await _send_to(server, connection, session, call)
        except NoAnswer as error:
            failures.append(f"{server}: {error}")
            may_have_applied = may_have_applied or error.may_have_applied
        finally:
            progress.stop()
    raise NoAnswer("; ".join(failures), may_have_applied)


async def _send_to(
    server: str,
    connection: Connection,
    session: sessions.Session,
    call: Call,
) -> typing.Any:
    headers = {"Authorization": f"Bearer {connection.token}"}
    data = None
    if call.body is not None:
        headers["Content-Type"] = "application/json"
        data = canonical.encode_value(call.body).encode("ascii")

    async def exchange() -> tuple[int, bytes]:
        response = await session.http.request(
            call.method,
            f"{server}/operator/{call.path}",
            params=dict(call.query),
            headers=headers,
            data=data,
        )
        return response.code, await _read_body(session, response)

    answer = defer.ensureDeferred(exchange())
    answer.addTimeout(
        connection.timeout_s, session.scheduler, _make_timeout_failure
    )
    try:
        status, content = await answer
    except UNREACHABLE_ERRORS as error:
        reason = str(error) or type(error).__name__
        not_sent = isinstance(error, NOT_SENT_ERRORS)
        raise NoAnswer(reason, not not_sent) from error
    return _decode(call, status, content)


def _make_timeout_failure(
    _result: object, timeout_s: float
) -> failure.Failure:
    # Replaces the client's own errors for a cancelled call.
    return failure.Failure(defer.TimeoutError(f"no answer in {timeout_s:g} s"))


async def _read_body(session: sessions.Session, response: typing.Any) -> bytes:
    content = bytearray()

    def append(data: bytes) -> None:
        # One byte above the limit suffices to detect that it is too long.
        content.extend(data[: MAX_ANSWER_BYTES + 1 - len(content)])

    await session.http.collect(response, append)
    return bytes(content)


def _decode(call: Call, status: int, content: bytes) -> typing.Any:
    try:
        value = decode.parse_json(content, "answer", MAX_ANSWER_BYTES)
        refused = isinstance(value, dict) and "error" in value
        if status in call.answer_statuses and not refused:
            return decode.decode(call.kind, value, "answer")
        answer = decode.decode(operator_port.RefusalAnswer, value, "answer")
    except decode.DecodeError as error:
        raise NoAnswer(f"HTTP status {status}: {error}", True) from error
    refusal = answer.error
    if status >= http.INTERNAL_SERVER_ERROR:
        raise NoAnswer(
            f"{refusal.reason}: {refusal.message}",
            status != http.SERVICE_UNAVAILABLE,
        )
    raise errors.CommandError(
        f"{refusal.reason}: {refusal.message}",
        EXIT_CODES.get(status, errors.ExitCode.USAGE),
    )


def quote(name: str) -> str:
    """Encodes a name for use in a URL path.

    :param name: of an instance or a request
    :return: the name with unsafe characters encoded
    """
    return urllib.parse.quote(name, safe="")


class _ProgressReporter:
    # Prints what a command waits for: after a second, then periodically.

    def __init__(self, session: sessions.Session, message: str) -> None:
        self.session = session
        self.message = message
        self.elapsed_s = 0
        self.loop = task.LoopingCall(self.print_progress)
        self.loop.clock = session.scheduler
        self.delayed_start = session.scheduler.callLater(
            FIRST_PROGRESS_AFTER_S, self.loop.start, PROGRESS_INTERVAL_S
        )

    def print_progress(self) -> None:
        self.elapsed_s += (
            PROGRESS_INTERVAL_S if self.elapsed_s else FIRST_PROGRESS_AFTER_S
        )
        self.session.print_message(f"{self.message}: {self.elapsed_s} s")

    def stop(self) -> None:
        if self.delayed_start.active():
            self.delayed_start.cancel()
        if self.loop.running:
            self.loop.stop()
