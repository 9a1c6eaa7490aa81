"""The task that talks HTTP to an agent's upstream.

Each request has a connection of its own: on a kept one, a request that an
upstream closed on could not be told from one that it began to run. A
connection that was never made is the only proof that nothing ran.
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
    """Reads the body of one answer.

    :param run_id: id of the run
    :param stream: whether the answer must end with the stream's end mark
    :param on_data: told each part
    :param on_end: told once how the body ended
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
        """Passes a part on.

        :param data: the part
        """
        self.tail = (self.tail + data)[-2 * len(STREAM_END) :]
        self.on_data(data)

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Tells how the body ended.

        :param reason: as twisted knows it
        """
        if not reason.check(client.ResponseDone):
            self.on_end(upstreams.End.CRASHED, "connection_lost")
        elif self.stream and STREAM_END not in self.tail:
            self.on_end(upstreams.End.FAILED, "stream_cut")
        else:
            self.on_end(upstreams.End.COMPLETED, "")


class HttpUpstream:
    """Owns the connections to one upstream.

    :param reactor: the twisted reactor
    :param url: where the upstream answers, without a final slash
    :param is_model: whether it is a model engine
    """

    def __init__(self, reactor: typing.Any, url: str, is_model: bool) -> None:
        self.reactor = reactor
        self.url = url.rstrip("/")
        self.is_model = is_model
        self.agent = client.Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S)
        self.requests: dict[str, defer.Deferred[typing.Any]] = {}
        self.readers: dict[str, ResponseReader] = {}
        self.cancelled: set[str] = set()
        self.dispatcher: dispatchers.Dispatcher | None = None

    def operations(self) -> upstreams.Upstream:
        """Returns what the dispatcher needs.

        :return: functions of this task
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

        :param dispatch: what the entry sent
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
        """Reads the body after the head of an answer.

        :param dispatch: what the entry sent
        :param response: treq's response
        """
        run_id = dispatch.request_id
        self.requests.pop(run_id, None)
        status = int(response.code)
        content_type = response.headers.getRawHeaders("content-type", [""])[0]
        dispatcher = self.dispatcher
        assert dispatcher is not None
        ok_stream = dispatch.stream and status == http.OK and self.is_model

        def on_data(data: bytes) -> None:
            tokens = data.count(EVENT_START) if ok_stream else 0
            dispatcher.upstream_data(
                run_id, data, tokens, status, content_type
            )

        def on_end(end: upstreams.End, reason: str) -> None:
            self.readers.pop(run_id, None)
            if end is upstreams.End.COMPLETED:
                end, reason = self.classify_response(dispatch, status)
            self.report_end(run_id, end, reason, status, content_type)

        reader = ResponseReader(run_id, ok_stream, on_data, on_end)
        self.readers[run_id] = reader
        response.deliverBody(reader)
        if run_id in self.cancelled:
            self.cancel(run_id)

    def classify_response(
        self, dispatch: ttypes.Dispatch, status: int
    ) -> tuple[upstreams.End, str]:
        """Tells what a whole answer with some status is worth.

        :param dispatch: what the entry sent
        :param status: HTTP status
        :return: how the run ended, and why
        """
        if self.is_model and status >= SERVER_ERROR:
            return upstreams.End.FAILED, f"upstream_status_{status}"
        if dispatch.idempotent and status in RETRYABLE_STATUSES:
            return upstreams.End.FAILED, f"upstream_status_{status}"
        return upstreams.End.COMPLETED, ""

    def on_request_failed(self, run_id: str, problem: failure.Failure) -> None:
        """Handles a request that got no head of an answer.

        :param run_id: id of the run
        :param problem: why
        """
        self.requests.pop(run_id, None)
        if problem.check(*CONNECT_ERRORS):
            self.report_end(
                run_id, upstreams.End.NEVER_STARTED, "upstream_unreachable"
            )
        else:
            self.report_end(run_id, upstreams.End.CRASHED, "connection_lost")

    def on_internal_error(self, run_id: str, problem: failure.Failure) -> None:
        """Handles an error of this task itself.

        :param run_id: id of the run
        :param problem: what was raised
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
        """Tells the dispatcher that a run is over.

        :param run_id: id of the run
        :param end: how it ended
        :param reason: why, when it did not complete
        :param status: HTTP status, 0 when there was no answer
        :param content_type: of the answer
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
        """Closes the connection of a run, which ends it on the upstream.

        :param run_id: id of the run; one that isn't open is ignored
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
        """Stops or goes on reading an answer.

        :param run_id: id of the run
        :param paused: whether to stop
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
        """Orders the upstream to suspend or resume a run.

        :param verb: ``suspend`` or ``resume``
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
