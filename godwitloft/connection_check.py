"""Finds out whether a server accepts connections, without a request."""

import typing

from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure

from godwitloft import clock as clocks

CONNECT_TIMEOUT_MS = 300


class CheckFactory(protocol.ClientFactory):
    """Closes a connection as soon as it is made.

    :param on_checked: called with the result
    """

    noisy = False

    def __init__(
        self, on_checked: typing.Callable[[bool | None], None]
    ) -> None:
        self.on_checked = on_checked

    def buildProtocol(self, addr: object) -> None:
        """Reports that the server accepts connections, and closes this one.

        :param addr: address of the server
        :return: None, so that twisted closes the connection
        """
        self.on_checked(True)

    def clientConnectionFailed(
        self, connector: object, reason: failure.Failure
    ) -> None:
        """Reports a refusal; another failure proves nothing.

        :param connector: twisted's connector
        :param reason: twisted's reason
        """
        is_refused = reason.check(error.ConnectionRefusedError) is not None
        self.on_checked(False if is_refused else None)


def start(
    reactor: typing.Any,
    address: tuple[str, int],
    on_checked: typing.Callable[[bool | None], None],
    own_host: str = "",
) -> None:
    """Checks whether a server accepts connections.

    :param reactor: the twisted reactor
    :param address: host and TCP port of the server
    :param on_checked: called once with True if it does, False if it refuses,
        None if that can't be told, as when the network is cut
    :param own_host: local address to connect from, empty for any
    """
    reactor.connectTCP(
        *address,
        CheckFactory(on_checked),
        timeout=CONNECT_TIMEOUT_MS / clocks.MS_PER_S,
        bindAddress=(own_host, 0) if own_host else None,
    )
