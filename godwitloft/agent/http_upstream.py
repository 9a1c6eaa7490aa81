"""HTTP client of an agent for its upstream.

Each request uses a new connection. If an upstream closes a reused connection,
the client can't know whether the upstream had started the request. A failed
connection attempt is the only proof that it did not run.
"""

import functools
import typing

import treq
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client
from twisted.web import http

from godwitloft import clock as clocks
from godwitloft.agent import dispatcher as dispatchers
from godwitloft.agent import upstream as upstreams
from godwitloft.links.generated.messages import ttypes

CONNECT_TIMEOUT_S = 2
REQUEST_ID_HEADER = "X-Request-Id"
STREAM_END = b"data: [DONE]"
EVENT_START = b"data: "
SERVER_ERROR = 500
RETRYABLE_STATUSES = frozenset((502, 503, 504))

CONNECT_ERRORS = (
    error.ConnectError,
    error.ConnectingCancelledError,
    error.NoRouteError,
)


class ResponseReader(protocol.Protocol):
    """Reads the body of a response.

    :param run_id: id of the run
    :param stream: whether the body must end with the end marker of a stream
    :param on_data: called with each part of the body
    :param on_end: called once with how the body ended, and the reason
    """

    def __init__(
        self,
        run_id: str,
        stream: bool,
        on_data: typing.Callable[[bytes], None],
        on_end: typing.Callable[[upstreams.End, str], None],
    ) -> None:
        self.run_id = run_id
        self.stream = stream
        self.on_data = on_data
        self.on_end = on_end
        self.tail = b""

    def dataReceived(self, data: bytes) -> None:
        """Forwards a part of the body.

        :param data: bytes of the part
        """
        # The end marker may be split between parts, and line breaks follow it.
        self.tail = (self.tail + data)[-2 * len(STREAM_END) :]
        self.on_data(data)

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Reports how the body ended.

        :param reason: Twisted's reason for the end of the body
        """
        if not reason.check(client.ResponseDone):
            self.on_end(upstreams.End.CRASHED, "connection_lost")
        elif self.stream and STREAM_END not in self.tail:
            self.on_end(upstreams.End.FAILED, "stream_cut")
        else:
            self.on_end(upstreams.End.COMPLETED, "")


class HttpUpstream:
    """Sends requests to one upstream and manages their connections.

    :param reactor: the Twisted reactor
    :param url: base URL of the upstream; a trailing slash is removed
    :param is_model: whether the upstream is a model engine
    """

    def __init__(self, reactor: typing.Any, url: str, is_model: bool) -> None:
        self.reactor = reactor
        self.url = url.rstrip("/")
        self.is_model = is_model
        self.agent = client.Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S)
        # Requests without response headers yet, by run id.
        self.requests: dict[str, defer.Deferred[typing.Any]] = {}
        self.readers: dict[str, ResponseReader] = {}
        self.cancelled: set[str] = set()
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
        headers = dict(dispatch.headers)
        headers[REQUEST_ID_HEADER] = run_id
        request = treq.request(
            dispatch.method,
            self.url + dispatch.path,
            headers=headers,
            data=dispatch.body or None,
            agent=self.agent,
            unbuffered=True,
            allow_redirects=False,
            browser_like_redirects=False,
        )
        self.requests[run_id] = request
        request.addCallbacks(
            lambda response: self.on_response(dispatch, response),
            lambda problem: self.on_request_failed(run_id, problem),
        )
        request.addErrback(
            lambda problem: self.on_internal_error(run_id, problem)
        )

    def on_response(
        self, dispatch: ttypes.Dispatch, response: typing.Any
    ) -> None:
        """Reads the body of a response whose headers have arrived.

        :param dispatch: message of the entry
        :param response: response object of treq
        """
        run_id = dispatch.request_id
        self.requests.pop(run_id, None)
        status = int(response.code)
        content_type = response.headers.getRawHeaders("content-type", [""])[0]
        dispatcher = self.dispatcher
        assert dispatcher is not None
        is_token_stream = (
            dispatch.stream and status == http.OK and self.is_model
        )

        def on_data(data: bytes) -> None:
            tokens = data.count(EVENT_START) if is_token_stream else 0
            dispatcher.upstream_data(
                run_id, data, tokens, status, content_type
            )

        def on_end(end: upstreams.End, reason: str) -> None:
            self.readers.pop(run_id, None)
            if end is upstreams.End.COMPLETED:
                end, reason = self.classify_response(dispatch, status)
            self.report_end(run_id, end, reason, status, content_type)

        reader = ResponseReader(run_id, is_token_stream, on_data, on_end)
        self.readers[run_id] = reader
        response.deliverBody(reader)
        if run_id in self.cancelled:
            self.cancel(run_id)

    def classify_response(
        self, dispatch: ttypes.Dispatch, status: int
    ) -> tuple[upstreams.End, str]:
        """Determines by its status whether a complete response is a failure.

        Any server error of a model engine is a failure. That of another
        upstream is one only if the request is idempotent and the status
        permits a retry; otherwise the response goes to the caller.

        :param dispatch: message of the entry
        :param status: HTTP status
        :return: how the run ended, and the reason if it failed
        """
        if self.is_model and status >= SERVER_ERROR:
            return upstreams.End.FAILED, f"upstream_status_{status}"
        if dispatch.idempotent and status in RETRYABLE_STATUSES:
            return upstreams.End.FAILED, f"upstream_status_{status}"
        return upstreams.End.COMPLETED, ""

    def on_request_failed(self, run_id: str, problem: failure.Failure) -> None:
        """Handles a request that failed before response headers arrived.

        :param run_id: id of the run
        :param problem: the failure
        """
        self.requests.pop(run_id, None)
        if problem.check(*CONNECT_ERRORS):
            self.report_end(
                run_id, upstreams.End.NEVER_STARTED, "upstream_unreachable"
            )
        else:
            self.report_end(run_id, upstreams.End.CRASHED, "connection_lost")

    def on_internal_error(self, run_id: str, problem: failure.Failure) -> None:
        """Handles an exception raised by this module's own callbacks.

        :param run_id: id of the run
        :param problem: the failure
        """
        self.report_end(run_id, upstreams.End.FAILED, repr(problem.value))

    def report_end(
        self,
        run_id: str,
        end: upstreams.End,
        reason: str,
        status: int = 0,
        content_type: str = "",
    ) -> None:
        """Reports the end of a run to the dispatcher.

        A cancelled run counts as failed, unless it never started.

        :param run_id: id of the run
        :param end: how it ended
        :param reason: reason, if it did not complete
        :param status: HTTP status, 0 if there was no response
        :param content_type: content type of the response
        """
        if run_id in self.cancelled:
            self.cancelled.discard(run_id)
            if end is not upstreams.End.NEVER_STARTED:
                end, reason = upstreams.End.FAILED, "cancelled"
        assert self.dispatcher is not None
        self.dispatcher.upstream_ended(
            run_id, end, reason, status=status, content_type=content_type
        )

    def cancel(self, run_id: str) -> None:
        """Cancels a run by closing its connection.

        :param run_id: id of the run; ignored if it has neither a request nor
            a response in progress
        """
        reader = self.readers.get(run_id)
        request = self.requests.get(run_id)
        if reader is None and request is None:
            return
        self.cancelled.add(run_id)
        if request is not None:
            request.cancel()
        elif reader is not None and reader.transport is not None:
            typing.cast(typing.Any, reader.transport).loseConnection()

    def pause_reading(self, run_id: str, paused: bool) -> None:
        """Pauses or continues reading a response.

        :param run_id: id of the run
        :param paused: True to pause, False to continue
        """
        reader = self.readers.get(run_id)
        if reader is None or reader.transport is None:
            return
        transport = typing.cast(typing.Any, reader.transport)
        if paused:
            transport.pauseProducing()
        else:
            transport.resumeProducing()

    def post_command(self, command: str, run_id: str) -> None:
        """Asks the upstream to suspend or resume a run; ignores failures.

        :param command: ``suspend`` or ``resume``
        :param run_id: id of the run
        """
        request = treq.post(
            f"{self.url}/runs/{run_id}/{command}",
            agent=self.agent,
            timeout=CONNECT_TIMEOUT_S,
        )
        request.addCallback(treq.content)
        request.addErrback(lambda _problem: None)


TICK_INTERVAL_MS = dispatchers.FLUSH_INTERVAL_MS
TICK_INTERVAL_S = TICK_INTERVAL_MS / clocks.MS_PER_S
