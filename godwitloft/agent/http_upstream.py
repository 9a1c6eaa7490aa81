"""HTTP client of an agent for its upstream.

Each request uses a new connection. If an upstream closes a reused connection,
the client can't know whether the upstream had started the request. A failed
connection attempt is the only proof that it did not run.
"""

import dataclasses
import functools
import re
import typing
import urllib.parse

import treq
from twisted.web import client
from twisted.web import http

from godwitloft import answer_end
from godwitloft import attempt as attempts
from godwitloft import clock as clocks
from godwitloft.agent import dispatcher as dispatchers
from godwitloft.agent import upstream as upstreams
from godwitloft.links.generated.messages import ttypes

CONNECT_TIMEOUT_MS = 2_000
REQUEST_ID_HEADER = "x-request-id"
DEFAULT_PORTS = {"http": 80, "https": 443}
STREAM_END = b"data: [DONE]"
# In the middle of a line, it is a part of a text.
STREAM_END_LINE = re.compile(rb"[\r\n]" + re.escape(STREAM_END))
EVENT_START = b"data: "
SERVER_ERROR = 500
RETRYABLE_STATUSES = frozenset((502, 503, 504))


@dataclasses.dataclass(frozen=True)
class Server:
    """Where an upstream is reached.

    :param host: name or IP address
    :param port: TCP port
    :param tls_name: name in its certificate, None for plain HTTP
    :param path: prefix of all paths, without a trailing slash
    """

    host: str
    port: int
    tls_name: str | None
    path: str


def parse_url(url: str) -> Server:
    """Decodes the base URL of an upstream.

    :param url: a URL that the settings have checked
    :return: the server
    """
    parts = urllib.parse.urlsplit(url.rstrip("/"))
    host = parts.hostname or ""
    port = parts.port or DEFAULT_PORTS[parts.scheme]
    tls_name = host if parts.scheme == "https" else None
    return Server(host, port, tls_name, parts.path)


class Response:
    """The response to one run, while it is received.

    :param dispatch: message of the entry
    :param is_model: whether the upstream is a model engine
    """

    def __init__(self, dispatch: ttypes.Dispatch, is_model: bool) -> None:
        self.dispatch = dispatch
        self.is_model = is_model
        self.status = 0
        self.content_type = ""
        self.is_token_stream = False
        self.body_end: answer_end.BodyEnd | None = None
        # Last bytes of the body, after the end of a line before it.
        self.tail = b"\n"

    def on_head(self, status: int, headers: list[attempts.Header]) -> None:
        """Stores the head.

        :param status: HTTP status
        :param headers: all headers, names in lower case
        """
        self.status = status
        content_type = dict(headers).get(b"content-type", b"")
        self.content_type = content_type.decode("latin-1")
        self.is_token_stream = (
            self.dispatch.stream and status == http.OK and self.is_model
        )
        framing = answer_end.framing(
            self.dispatch.method.encode(), status, headers
        )
        self.body_end = answer_end.BodyEnd(framing, self.is_token_stream)

    def on_data(self, data: bytes) -> int:
        """Records a part of the body.

        :param data: bytes of the part
        :return: number of tokens in it
        """
        if self.body_end is not None:
            self.body_end.feed(data)
        # A part may end inside the start of an event or the end marker.
        overlap = self.tail[-len(EVENT_START) + 1 :]
        self.tail = (self.tail + data)[-2 * len(STREAM_END) :]
        if not self.is_token_stream:
            return 0
        return (overlap + data).count(EVENT_START)

    def classify_end(
        self, end: attempts.End, reason: str
    ) -> tuple[upstreams.End, str]:
        """Determines how the run ended.

        :param end: how the attempt ended
        :param reason: reason of the attempt
        :return: how the run ended, and the reason if it did not complete
        """
        if end is attempts.End.NOT_SENT:
            if reason in (attempts.NOT_CONNECTED, attempts.NOT_REACHED):
                reason = "upstream_unreachable"
            return upstreams.End.NEVER_STARTED, reason
        is_marked = STREAM_END_LINE.search(self.tail) is not None
        defect = self.body_end.defect() if self.body_end is not None else ""
        if reason == attempts.SERVER_GONE:
            # A process may end in order after its last answer.
            is_whole = self.is_token_stream and is_marked and not defect
        else:
            is_whole = end is not attempts.End.BROKEN
        if not is_whole:
            return upstreams.End.CRASHED, "connection_lost"
        if self.is_token_stream and not is_marked:
            return upstreams.End.FAILED, "stream_cut"
        if defect:
            return upstreams.End.FAILED, defect
        return self.classify_status()

    def classify_status(self) -> tuple[upstreams.End, str]:
        """Determines by its status whether a complete response is a failure.

        Any server error of a model engine is a failure. That of another
        upstream is one only if the request is idempotent and the status
        permits a retry; otherwise the response goes to the caller.

        :return: how the run ended, and the reason if it failed
        """
        status = self.status
        if self.is_model and status >= SERVER_ERROR:
            return upstreams.End.FAILED, f"upstream_status_{status}"
        if self.dispatch.idempotent and status in RETRYABLE_STATUSES:
            return upstreams.End.FAILED, f"upstream_status_{status}"
        return upstreams.End.COMPLETED, ""


class HttpUpstream:
    """Sends requests to one upstream and manages their connections.

    :param reactor: the Twisted reactor
    :param url: base URL of the upstream; a trailing slash is removed
    :param is_model: whether the upstream is a model engine
    """

    def __init__(self, reactor: typing.Any, url: str, is_model: bool) -> None:
        self.reactor = reactor
        self.url = url.rstrip("/")
        self.server = parse_url(url)
        self.is_model = is_model
        self.agent = client.Agent(
            reactor, connectTimeout=CONNECT_TIMEOUT_MS / clocks.MS_PER_S
        )
        # Attempts that have not ended, by run id.
        self.attempts: dict[str, attempts.Attempt] = {}
        self.dispatcher: dispatchers.Dispatcher | None = None

    def operations(self) -> upstreams.Upstream:
        """Returns the operations that the dispatcher calls.

        :return: methods of this object
        """
        return upstreams.Upstream(
            start=self.start,
            cancel=self.cancel,
            suspend=functools.partial(self.post_command, "suspend"),
            resume=functools.partial(self.post_command, "resume"),
            pause_reading=self.pause_reading,
        )

    def start(self, dispatch: ttypes.Dispatch) -> None:
        """Sends a request to the upstream.

        :param dispatch: message of the entry
        """
        run_id = dispatch.request_id
        response = Response(dispatch, self.is_model)

        def on_data(data: bytes) -> None:
            tokens = response.on_data(data)
            assert self.dispatcher is not None
            self.dispatcher.upstream_data(
                run_id, data, tokens, response.status, response.content_type
            )

        def on_end(end: attempts.End, reason: str) -> None:
            self.attempts.pop(run_id, None)
            self.report_end(response, *response.classify_end(end, reason))

        server = self.server
        self.attempts[run_id] = attempts.start(
            self.reactor,
            (server.host, server.port),
            self.outgoing(dispatch),
            attempts.AttemptCallbacks(response.on_head, on_data, on_end),
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            tls_name=server.tls_name,
        )

    def outgoing(self, dispatch: ttypes.Dispatch) -> attempts.Outgoing:
        """Returns a request as it is sent to the upstream.

        :param dispatch: message of the entry
        :return: head and body
        """
        server = self.server
        headers = {
            name.lower(): value for name, value in dispatch.headers.items()
        }
        headers[REQUEST_ID_HEADER] = dispatch.request_id
        headers["host"] = f"{server.host}:{server.port}"
        headers["connection"] = "close"
        headers.pop("transfer-encoding", None)
        headers["content-length"] = str(len(dispatch.body))
        return attempts.Outgoing(
            method=dispatch.method.encode("latin-1"),
            target=(server.path + dispatch.path).encode("latin-1"),
            headers=[
                (name.encode("latin-1"), value.encode("latin-1"))
                for name, value in headers.items()
            ],
            body=dispatch.body,
        )

    def report_end(
        self, response: Response, end: upstreams.End, reason: str
    ) -> None:
        """Reports the end of a run to the dispatcher.

        :param response: what was received
        :param end: how the run ended
        :param reason: reason, if it did not complete
        """
        assert self.dispatcher is not None
        self.dispatcher.upstream_ended(
            response.dispatch.request_id,
            end,
            reason,
            status=response.status,
            content_type=response.content_type,
        )

    def cancel(self, run_id: str) -> None:
        """Cancels a run by closing its connection.

        A run whose request was not sent yet never starts.

        :param run_id: id of the run; ignored if it has ended
        """
        attempt = self.attempts.pop(run_id, None)
        if attempt is None:
            return
        attempt.cancel()
        end = upstreams.End.FAILED
        if not attempt.sent:
            end = upstreams.End.NEVER_STARTED
        assert self.dispatcher is not None
        self.dispatcher.upstream_ended(run_id, end, "cancelled")

    def pause_reading(self, run_id: str, paused: bool) -> None:
        """Pauses or continues reading a response.

        :param run_id: id of the run
        :param paused: True to pause, False to continue
        """
        attempt = self.attempts.get(run_id)
        if attempt is not None:
            attempt.pause_reading(paused)

    def post_command(self, command: str, run_id: str) -> None:
        """Asks the upstream to suspend or resume a run; ignores failures.

        :param command: ``suspend`` or ``resume``
        :param run_id: id of the run
        """
        request = treq.post(
            f"{self.url}/runs/{run_id}/{command}",
            agent=self.agent,
            timeout=CONNECT_TIMEOUT_MS / clocks.MS_PER_S,
        )
        request.addCallback(treq.content)
        request.addErrback(lambda _problem: None)


TICK_INTERVAL_MS = dispatchers.FLUSH_INTERVAL_MS
TICK_INTERVAL_S = TICK_INTERVAL_MS / clocks.MS_PER_S
