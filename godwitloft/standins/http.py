"""HTTP helpers shared by the stand-ins."""

import dataclasses
import json
import typing

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import interfaces
from twisted.protocols import policies

REQUEST_ID_HEADER = "X-Request-Id"

Json = dict[str, typing.Any]

CLOSE_DELAY_S = 0.005


def read_json(request: typing.Any) -> Json | None:
    """Returns the JSON object in a request's body.

    :param request: a request whose body has arrived
    :return: the object, or None when the body is not a JSON object
    """
    try:
        body = json.loads(request.content.read())
    except ValueError:
        return None
    return body if isinstance(body, dict) else None


def reply(request: typing.Any, body: object, status: int = 200) -> bytes:
    """Prepares a JSON response.

    :param request: the request to answer
    :param body: a value that JSON can represent
    :param status: HTTP status
    :return: the body of the response
    """
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    return json.dumps(body).encode()


def refuse(request: typing.Any, status: int, message: str) -> bytes:
    """Prepares an OpenAI-style error response.

    :param request: the request to refuse
    :param status: HTTP status
    :param message: the reason
    :return: the body of the response
    """
    return reply(request, {"error": {"message": message}}, status)


def number_argument(request: typing.Any, name: str) -> int:
    """Returns an integer argument of the query.

    :param request: the request
    :param name: name of the argument
    :return: its value, 0 when it is missing or not a number
    """
    text = request.args.get(name.encode(), [b""])[0]
    return int(text) if text.isdigit() else 0


@dataclasses.dataclass(eq=False)
class Listener:
    """A listening port that can be closed temporarily, as in a crash.

    :param reactor: opens ports and provides timers
    :param factory: creates the protocols of connections
    :param address: IP address
    :param port: TCP port; 0 selects a free one, which is kept when the port
        is reopened
    """

    reactor: typing.Any
    factory: interfaces.IProtocolFactory
    address: str
    port: int

    def __post_init__(self) -> None:
        self.wrapper = policies.WrappingFactory(self.factory)
        self.listening: interfaces.IListeningPort | None = None
        self.stopped = False

    def start(self) -> defer.Deferred[str]:
        """Opens the port.

        :return: the address as ``ADDRESS:PORT``
        """
        endpoint = endpoints.TCP4ServerEndpoint(
            self.reactor, self.port, interface=self.address
        )

        def on_listening(listening: interfaces.IListeningPort) -> str:
            self.listening = listening
            host = typing.cast(typing.Any, listening.getHost())
            self.port = host.port
            return f"{host.host}:{host.port}"

        return endpoint.listen(self.wrapper).addCallback(on_listening)

    def drop_connections(self, closed_cleanly: typing.Any = None) -> None:
        """Resets every connection.

        :param closed_cleanly: transport of one that is closed and not reset,
            None for none
        """
        kept_peer = closed_cleanly.getPeer() if closed_cleanly else None
        for protocol in list(self.wrapper.protocols):
            if protocol.getPeer() == kept_peer:
                # The port closes in the reactor's next turn.
                self.reactor.callLater(
                    CLOSE_DELAY_S, closed_cleanly.loseConnection
                )
            else:
                protocol.transport.abortConnection()

    def close_for(
        self, duration_s: float, closed_cleanly: typing.Any = None
    ) -> None:
        """Resets every connection and refuses new ones temporarily.

        :param duration_s: seconds until the port is reopened
        :param closed_cleanly: transport of a connection that is closed after
            the port and not reset, None for none
        """
        self._close(closed_cleanly)
        self.reactor.callLater(duration_s, self._reopen)

    def stop(self) -> defer.Deferred[None]:
        """Closes the port and all connections permanently.

        :return: fires when the port is closed
        """
        self.stopped = True
        return self._close()

    def _close(
        self, closed_cleanly: typing.Any = None
    ) -> defer.Deferred[None]:
        self.drop_connections(closed_cleanly)
        listening, self.listening = self.listening, None
        closing = listening.stopListening() if listening else None
        return closing or defer.succeed(None)

    def _reopen(self) -> None:
        if not self.stopped and self.listening is None:
            self.start()
