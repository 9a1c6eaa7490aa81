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
    """A bounded log into a pipe, on a driven time."""

    def __init__(self, context):
        self.reader, writer = os.pipe()
        os.set_blocking(self.reader, False)
        context.add_cleanup(os.close, self.reader)
        context.add_cleanup(os.close, writer)
        self.now_s = 100.0
        self.handler = bounded_log.BoundedHandler(writer, lambda: self.now_s)
        self.handler.setFormatter(events.JsonFormatter())
        self.written = 0
        self.rest = b""
        self.is_read = False

    def write(self, count, size=10, event=None):
        for _ in range(count):
            self.written += 1
            record = logging.LogRecord(
                "x", logging.INFO, "x", 1, "x" * size, (), None
            )
            record.event = event
            record.fields = {"number": self.written}
            self.handler.emit(record)
            if self.is_read:
                self.take()

    def take(self):
        try:
            while True:
                self.rest += os.read(self.reader, 65536)
        except BlockingIOError:
            return

    def read(self):
        self.take()
        *lines, self.rest = self.rest.split(b"\n")
        return [json.loads(line) for line in lines]


@given("a bounded log that is read")
def read_log(context):
    context.log = Log(context)
    context.log.is_read = True


@given("a bounded log that nobody reads")
def unread_log(context):
    context.log = Log(context)


@when("{count:d} lines are written within a second")
def write(context, count):
    context.log.write(count)


@when("{count:d} lines of {code} are written within a second")
def write_event(context, count, code):
    (event,) = (
        one
        for one in vars(events).values()
        if isinstance(one, events.Event) and one.code == code
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
def one_more(context):
    context.log.now_s += 1
    context.log.write(1)


@then("it tells that {count:d} were dropped")
def check_dropped(context, count):
    lines = context.log.read()
    assert [line["dropped"] for line in lines] == [count], lines


@when("lines of {size:d} bytes are written for {seconds:d} s at the bound")
def write_long(context, size, seconds):
    started = time.monotonic()
    for _ in range(seconds):
        context.log.write(bounded_log.MAX_LINES_PER_S, size)
        context.log.now_s += 1
    context.took_s = time.monotonic() - started


@then("that took under {limit:d} s")
def check_time(context, limit):
    assert context.took_s < limit, context.took_s


@when("the log is read to its end and one more line is written")
def read_on(context):
    context.lines = context.log.read()
    context.log.write(1)
    context.lines += context.log.read()
    context.log.write(1)
    context.lines += context.log.read()


@then("every line that arrived is whole")
def check_whole(context):
    numbers = [line["number"] for line in context.lines]
    assert numbers == sorted(set(numbers)), numbers


@then("it tells how many were dropped")
def check_told(context):
    told = sum(line.get("dropped", 0) for line in context.lines)
    assert told + len(context.lines) == context.log.written, (
        told,
        len(context.lines),
        context.log.written,
    )
