"""Answers of upstreams, byte by byte, in each framing."""

# Longer than any request of the simulated callers waits.
SILENCE_MS = 5_100


def event(number):
    return f"id: {number}\ndata: x{number}\n\n".encode()


def events(first, last):
    return b"".join(event(number) for number in range(first, last + 1))


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


BODY = events(1, 3)
MIDWAY = len(events(1, 2))
CHUNKED = b"transfer-encoding: chunked"


def length_header(body):
    return b"content-length: %d" % len(body)


def complete_answer(sent, framing, body=BODY):
    """Returns an answer with all that its framing asks for."""
    if framing == "length":
        return sent.answer_head(length_header(body)) + body
    if framing == "chunks":
        return sent.answer_head(CHUNKED) + chunk(body) + b"0\r\n\r\n"
    if framing == "status 204":
        return sent.answer_head(status=b"204 No Content")
    version = b"1.0" if framing == "HTTP/1.0" else b"1.1"
    return sent.answer_head(version=version) + body


def first_part(sent, framing):
    """Returns an answer up to the end of its second event."""
    if framing == "length":
        return sent.answer_head(length_header(BODY)) + BODY[:MIDWAY]
    if framing == "chunks":
        return sent.answer_head(CHUNKED) + chunk(BODY[:MIDWAY])
    return complete_answer(sent, framing, BODY[:MIDWAY])


def close_if_open(sent):
    if sent.transport.connected:
        sent.close()


def is_whole(received):
    head, _, body = received.partition(b"\r\n\r\n")
    if b" 204 " in head:
        return not body and b"content-length" not in head.lower()
    if b"transfer-encoding: chunked" in head.lower():
        return body.endswith(b"\r\n0\r\n\r\n") or body == b"0\r\n\r\n"
    return b"content-length: %d" % len(body) in head.lower()
