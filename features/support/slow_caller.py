"""A caller whose connection takes no more than it has read.

Twisted's transport keeps the rest, and tells its producer where that is too
much, as this one does.
"""

from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from features.support import gateway_world


class SlowTransport(testing.StringTransport):
    """Passes on only what its caller has taken."""

    def __init__(self):
        super().__init__()
        self.unsent = bytearray()
        self.taken_bytes = 0
        self.bufferSize = 0
        self.paused = False

    @property
    def dataBuffer(self):
        return self.unsent

    def setTcpNoDelay(self, _on):
        pass

    def write(self, data):
        self.unsent += data
        self.pass_on()
        if len(self.unsent) > self.bufferSize and self.producer is not None:
            self.paused = True
            self.producer.pauseProducing()

    def take(self, count):
        """The caller reads so many bytes more."""
        self.taken_bytes += count
        self.pass_on()

    def pass_on(self):
        count = min(self.taken_bytes, len(self.unsent))
        self.taken_bytes -= count
        self.io.write(bytes(self.unsent[:count]))
        del self.unsent[:count]
        if self.unsent:
            return
        if self.paused and self.producer is not None:
            self.paused = False
            self.producer.resumeProducing()
        if self.disconnecting:
            self.end()

    def loseConnection(self):
        self.disconnecting = True
        if not self.unsent:
            self.end()

    abortConnection = loseConnection

    def end(self):
        if self.connected:
            self.connected = False
            done = failure.Failure(error.ConnectionDone())
            self.protocol.connectionLost(done)


class SlowCaller(gateway_world.Caller):
    """A caller that reads nothing until it is told to."""

    def __init__(self, factory):
        self.protocol = factory.buildProtocol(gateway_world.CALLER)
        self.transport = SlowTransport()
        self.transport.protocol = self.protocol
        self.protocol.makeConnection(self.transport)

    def read_all(self):
        self.transport.take(1 << 40)
