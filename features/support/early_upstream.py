"""An upstream that answers before it has read the request."""

import base64
import contextlib
import json
import socket
import struct
import threading
import time

SENT_BYTES = 3_000
PART = b"id: 1\ndata: x1\n\n"
RESET = struct.pack("ii", 1, 0)
ACCEPT_TIMEOUT_S = 20
FRAMINGS = {
    "no length": b"",
    "HTTP/1.0": b"",
    "a length": b"Content-Length: %d\r\n" % (2 * SENT_BYTES),
    "chunks": b"Transfer-Encoding: chunked\r\n",
}


class EarlyUpstream:
    """Answers each request as soon as it has its head.

    It reads no more of the request after that.

    :param framing: how the end of its body is marked, a key of FRAMINGS
    :param after_ms: when it ends the connection
    :param end: ``resets``, ``closes for writing`` or ``answers whole``
    :param status: status of the answer
    """

    def __init__(self, framing, after_ms, end, status=b"200 OK"):
        self.framing = framing
        self.after_ms = after_ms
        self.end = end
        self.status = status
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(ACCEPT_TIMEOUT_S)
        self.port = self.listener.getsockname()[1]
        self.answered = 0
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def row(self, service):
        """Returns the row in which it registers."""
        content = {
            "service": service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "a",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "sequence": 1,
        }
        value = base64.b64encode(json.dumps(content).encode()).decode()
        return ["servers", f"i-{service}", value]

    def stop(self):
        self.listener.close()
        self.thread.join()

    def run(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(
                    target=self.serve, args=(connection,), daemon=True
                ).start()

    def serve(self, connection):
        with contextlib.suppress(OSError), connection:
            connection.settimeout(ACCEPT_TIMEOUT_S)
            head = b""
            while b"\r\n\r\n" not in head:
                data = connection.recv(1024)
                if not data:
                    return
                head += data
            if b"post" not in head.split(b"\r\n")[0].lower():
                return
            self.answered += 1
            connection.sendall(self.answer(head))
            time.sleep(self.after_ms / 1000)
            self.finish(connection)

    def answer(self, head):
        version = b"1.0" if self.framing == "HTTP/1.0" else b"1.1"
        found = dict(
            line.lower().split(b": ", 1)
            for line in head.split(b"\r\n")[1:]
            if b": " in line
        )
        body = PART * (SENT_BYTES // len(PART))
        if self.framing == "chunks":
            body = b"%x\r\n%s\r\n" % (len(body), body)
        return b"HTTP/%s %s\r\n%sGodwitloft-Request-Id: %s\r\n%s\r\n%s" % (
            version,
            self.status,
            FRAMINGS[self.framing],
            found[b"godwitloft-request-id"],
            b"Godwitloft-Response-Seal: seal\r\n",
            body,
        )

    def finish(self, connection):
        if self.end == "resets":
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            return
        connection.shutdown(socket.SHUT_WR)
        if self.end == "answers whole":
            while connection.recv(65536):
                pass
        else:
            # Closing with unread bytes resets the connection.
            time.sleep(0.02)


def upload(address, head, size, seconds, kept):
    """Sends a request with a body over some time.

    Returns the first line of the answer and whether it ended as complete.
    With ``kept``, the connection has served a request before.
    """
    with socket.create_connection(address, timeout=ACCEPT_TIMEOUT_S) as caller:
        if kept:
            caller.sendall(head(0, kept=True))
            read_answer(caller)
        caller.sendall(head(size, kept=False))
        part = b"u" * (size // 20)
        for _ in range(20):
            caller.sendall(part)
            time.sleep(seconds / 20)
        return read_answer(caller)


def read_answer(caller):
    """Reads one answer; returns its first line and whether it is whole."""
    data = b""
    with contextlib.suppress(OSError):
        while not is_whole(data):
            more = caller.recv(65536)
            if not more:
                break
            data += more
    return data.split(b"\r\n")[0].decode(), is_whole(data)


def is_whole(data):
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return False
    if b"chunked" in head.lower():
        return body.endswith(b"0\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.split(b":")[1])
    return False
