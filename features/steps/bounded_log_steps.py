import json
import logging
import os
import time

from behave import given
from behave import then
from behave import when

from godwitloft import bounded_log
from godwitloft import events


class Log:
    """A bounded log into a pipe, with a simulated time."""

    def __init__(self, context):
        self.reader, writer = os.pipe()
        os.set_blocking(self.reader, False)
        context.add_cleanup(os.close, self.reader)
        context.add_cleanup(os.close, writer)
        self.now_s = 100.0
        self.handler = bounded_log.BoundedHandler(writer, lambda: self.now_s)
        self.handler.setFormatter(events.JsonFormatter())
        self.written = 0
        self.partial_line = b""
        self.has_reader = False

    def write(self, count, size=10, event=None):
        for _ in range(count):
            self.written += 1
            record = logging.LogRecord(
                "x", logging.INFO, "x", 1, "x" * size, (), None
            )
            record.event = event
            record.fields = {"number": self.written}
            self.handler.emit(record)
            if self.has_reader:
                self.read_available()

    def read_available(self):
        try:
            while True:
                self.partial_line += os.read(self.reader, 65536)
        except BlockingIOError:
            return

    def read(self):
        self.read_available()
        *lines, self.partial_line = self.partial_line.split(b"\n")
        return [json.loads(line) for line in lines]


@given("a bounded log with a reader")
def read_log(context):
    context.log = Log(context)
    context.log.has_reader = True


@given("a bounded log without a reader")
def unread_log(context):
    context.log = Log(context)


@when("{count:d} lines are written within a second")
def write(context, count):
    context.log.write(count)


@when("{count:d} lines of {code} are written within a second")
def write_event(context, count, code):
    (event,) = (
        event
        for event in vars(events).values()
        if isinstance(event, events.Event) and event.code == code
    )
    context.log.write(count, event=event)


@then("{first:d} lines of {code} and {second:d} of {other} arrive")
def check_event_lines(context, first, code, second, other):
    found = [line["event"] for line in context.log.read()]
    counts = (found.count(code), found.count(other))
    assert counts == (first, second), counts


@then("{count:d} lines arrive")
def check_lines(context, count):
    assert len(context.log.read()) == count


@when("a second passes and one more line is written")
def write_one_line(context):
    context.log.now_s += 1
    context.log.write(1)


@then("it reports {count:d} dropped lines")
def check_dropped(context, count):
    lines = context.log.read()
    assert [line["dropped"] for line in lines] == [count], lines


@when(
    "lines of {size:d} bytes are written for {seconds:d} s at the rate limit"
)
def write_long(context, size, seconds):
    started = time.monotonic()
    for _ in range(seconds):
        context.log.write(bounded_log.MAX_LINES_PER_S, size)
        context.log.now_s += 1
    context.took_s = time.monotonic() - started


@then("writing took under {limit:d} s")
def check_time(context, limit):
    assert context.took_s < limit, context.took_s


@when("the log is read to its end and one more line is written")
def read_on(context):
    context.lines = context.log.read()
    context.log.write(1)
    context.lines += context.log.read()
    context.log.write(1)
    context.lines += context.log.read()


@then("every received line is complete")
def check_whole(context):
    numbers = [line["number"] for line in context.lines]
    assert numbers == sorted(set(numbers)), numbers


@then("the log reports how many lines were dropped")
def check_dropped_total(context):
    dropped = sum(line.get("dropped", 0) for line in context.lines)
    assert dropped + len(context.lines) == context.log.written, (
        dropped,
        len(context.lines),
        context.log.written,
    )
