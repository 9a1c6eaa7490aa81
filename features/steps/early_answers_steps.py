from behave import given
from behave import then
from behave import when

from features.support import early_upstream
from features.support import lakeshore

UPLOAD_BYTES = 1_500_000
SERVICES = {"post": "raw", "once": "raw-engine"}


@given("an upstream that answers uploads early, with {framing}, and {end}")
def start_upstream(context, framing, end):
    answer_early(context, framing, end, b"200 OK")


@given("an upstream whose status line says {status}")
def start_odd_status(context, status):
    answer_early(context, "a length", "answers whole", status.encode())


def answer_early(context, framing, end, status):
    after_ms = 0
    if " after " in end:
        end, _, after = end.partition(" after ")
        after_ms = int(after.split()[0])
    context.uploads = early_upstream.EarlyUpstream(
        framing, after_ms, end, status
    )
    context.add_cleanup(context.uploads.stop)
    config = lakeshore.config(version=2)
    config["services"] += [
        {"name": "raw", "max-connections": 50},
        {"name": "raw-engine", "max-connections": 50, "engine": {"slots": 4}},
    ]
    for route in config["routes"]:
        route["service"] = SERVICES.get(route["name"][2:], route["service"])
    world = context.world
    world.control(config=config)
    world.control(rows=[context.uploads.row(name) for name in ("raw",)])
    world.control(rows=[context.uploads.row("raw-engine")])
    lakeshore.time.sleep(1.2)


@when("a caller uploads to /{route}/x on {channel} connection")
def upload(context, route, channel):
    numbers = iter(range(100))

    def head(size, kept):
        path = "/open/x" if kept else f"/{route}/x"
        return (
            f"POST {path} HTTP/1.1\r\nHost: {lakeshore.HOST}\r\n"
            f"Godwitloft-Request-Id: e{next(numbers)}\r\n"
            f"Godwitloft-Deadline-Ms: {lakeshore.TIMEOUT_MS}\r\n"
            f"Authorization: Token key-a\r\nContent-Length: {size}\r\n\r\n"
        ).encode()

    address = ("127.0.0.1", context.world.front)
    context.answer = early_upstream.upload(
        address, head, UPLOAD_BYTES, 0.3, channel == "a kept"
    )


@then("the caller gets no success that looks complete")
def check_no_success(context):
    line, is_whole = context.answer
    assert context.uploads.answered, "the upstream got no request"
    assert not (" 200" in line and is_whole), context.answer
    assert line, "the caller got nothing"


@then("the caller gets status {status}")
def check_status(context, status):
    line, is_whole = context.answer
    assert context.uploads.answered, "the upstream got no request"
    assert line.split()[1] == status, context.answer
    assert is_whole, context.answer
