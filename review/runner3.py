"""A runner for the scripts of cases, as a process of its own.

Paths that begin with ``/stream/`` get a stream of events, any others a plain
answer whose second half comes later.
"""

import argparse
import contextlib
import http.server
import json
import time
import typing

DIGITS = b"0123456789"
PREFIX = "Godwitloft-"


def parse_args() -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True, help="IP:PORT")
    parser.add_argument("--id", required=True, help="its id")
    parser.add_argument("--born", type=int, required=True, help="Unix ms")
    parser.add_argument("--record", required=True, help="path of the record")
    parser.add_argument("--version", default="v1", help="of its software")
    parser.add_argument("--events", type=int, default=5, help="of a stream")
    parser.add_argument(
        "--gap-ms", type=int, default=50, help="between two parts"
    )
    parser.add_argument(
        "--half-bytes", type=int, default=400, help="of a plain answer"
    )
    parser.add_argument(
        "--unframed",
        action="store_true",
        help="answers have neither a length nor chunks",
    )
    return parser.parse_args()


ARGS = parse_args()


class Handler(http.server.BaseHTTPRequestHandler):
    """One channel, for one request."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        """Answers a status check, a report or a request."""
        if self.path == "/report":
            self.reply(200, {"running": 0, "waiting": 0, "born": ARGS.born})
        elif self.path == "/health":
            self.reply(200, {})
        else:
            self.serve()

    def do_POST(self) -> None:
        """Answers a request."""
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        self.serve()

    def serve(self) -> None:
        """Runs a request, unless it is meant for another runner."""
        meant_for = self.headers.get(PREFIX + "Target-Instance", ARGS.id)
        if meant_for != ARGS.id:
            self.reply(421, {})
            return
        name = self.headers[PREFIX + "Request-Id"]
        self.record(f"runs {name} {self.path}")
        sent = 0
        with contextlib.suppress(ConnectionError):
            is_stream = self.path.startswith("/stream/")
            self.send_head(name, is_stream)
            for part in self.parts(is_stream):
                self.write(part)
                sent += 1
                self.record(f"sent {name} part {sent}")
            self.finish_body()
        self.record(f"ends {name} after {sent} parts")

    def parts(self, is_stream: bool) -> typing.Iterator[bytes]:
        """Returns the parts of an answer, with the pauses between them.

        :param is_stream: whether it is a stream of events
        """
        if not is_stream:
            half = DIGITS * (ARGS.half_bytes // len(DIGITS))
            yield half
            time.sleep(ARGS.gap_ms / 1000)
            yield half
            return
        done = int(self.headers.get("Last-Event-Id") or 0)
        for number in range(done + 1, ARGS.events + 1):
            last = "last" if number == ARGS.events else "more"
            text = f"id: {number}\ndata: {ARGS.version} {last}\n\n"
            yield text.encode()
            time.sleep(ARGS.gap_ms / 1000)

    def send_head(self, name: str, is_stream: bool) -> None:
        """Sends the head of an answer.

        :param name: id of the request
        :param is_stream: whether events follow
        """
        kind = "text/event-stream" if is_stream else "text/plain"
        self.send_response(200)
        self.send_header("Content-Type", kind)
        self.send_header(PREFIX + "Request-Id", name)
        self.send_header(PREFIX + "Response-Seal", "3e1b.07.5a2.600.0.c9f2")
        self.send_header("Connection", "close")
        if not ARGS.unframed:
            self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()

    def write(self, data: bytes) -> None:
        """Sends a part of a body.

        :param data: its bytes
        """
        if not ARGS.unframed:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self.wfile.write(data)

    def finish_body(self) -> None:
        """Ends the body; the channel is closed after that."""
        if not ARGS.unframed:
            self.wfile.write(b"0\r\n\r\n")
        self.close_connection = True

    def reply(self, status: int, body: dict[str, object]) -> None:
        """Sends a short answer.

        :param status: HTTP status
        :param body: a JSON object
        """
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.send_header(PREFIX + "Instance-Id", ARGS.id)
        self.send_header("Connection", "close")
        self.end_headers()
        self.wfile.write(data)

    def record(self, what: str) -> None:
        """Adds a line to the record.

        :param what: what was seen or done
        """
        with open(ARGS.record, "a") as output:
            who = f"runner {ARGS.id} {ARGS.version}"
            output.write(f"{time.time():.3f} {who} {what}\n")

    def log_message(self, *_arguments: object) -> None:
        """Logs nothing."""


class Server(http.server.ThreadingHTTPServer):
    """Serves each channel in a thread."""

    daemon_threads = True
    request_queue_size = 100


if __name__ == "__main__":
    host, port = ARGS.listen.split(":")
    Server((host, int(port)), Handler).serve_forever()
