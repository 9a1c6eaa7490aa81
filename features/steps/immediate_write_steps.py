from behave import given
from behave import then
from behave import when
from twisted.internet import error

from godwitloft import immediate_write


class Transport:
    """A connection as Twisted keeps it."""

    TLS = False
    connected = True
    dataBuffer = b""

    def __init__(self, unsent, takes):
        self.disconnecting = unsent == "closing"
        self.TLS = unsent == "TLS"
        self.takes = takes
        self.sent = b""
        known = ("-", "closing", "TLS")
        self._tempDataBuffer = [] if unsent in known else [unsent.encode()]

    def writeSomeData(self, data):
        if self.takes == "lost":
            return error.ConnectionLost()
        self.sent += data[: int(self.takes)]
        return min(len(data), int(self.takes))

    def write(self, data):
        self._tempDataBuffer.append(data)

    @property
    def waiting(self):
        return b"".join(self._tempDataBuffer)


class OtherTransport:
    """A transport that can only be written to."""

    def __init__(self):
        self.sent = self.waiting = b""

    def write(self, data):
        self.waiting += data


@given('a connection with "{unsent}" unsent, whose socket takes {takes} bytes')
def connection(context, unsent, takes):
    if unsent == "other":
        context.transport = OtherTransport()
    else:
        context.transport = Transport(unsent, takes)


@when('"{text}" is written to it')
def write(context, text):
    immediate_write.write(context.transport, text.encode())


@then('"{sent}" was sent at once and "{left}" waits')
def check(context, sent, left):
    transport = context.transport
    assert transport.sent.decode() == sent.replace("-", ""), transport.sent
    assert transport.waiting.decode() == left.replace("-", "")
