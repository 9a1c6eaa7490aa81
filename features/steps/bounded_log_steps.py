import collections
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

    def write(self, count, size=10, event=None, **fields):
        for _ in range(count):
            self.written += 1
            record = logging.LogRecord(
                "x", logging.INFO, "x", 1, "x" * size, (), None
            )
            record.event = event
            record.fields = {"number": self.written, **fields}
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


def find_event(code):
    (event,) = (
        event
        for event in vars(events).values()
        if isinstance(event, events.Event) and event.code == code
    )
    return event


@when("{count:d} lines of {what} are written within a second")
def write_event(context, count, what):
    code, _, field = what.partition(" with ")
    name, _, value = field.partition("=")
    fields = {name: int(value)} if field else {}
    context.log.write(count, event=find_event(code), **fields)


@when("{count:d} lines of {size:d} bytes of {code} are written")
def write_sized_event(context, count, size, code):
    context.log.write(count, size, find_event(code))


@when("the log is flushed")
def flush(context):
    context.log.handler.flush()


@then("its last line is {code} with {count:d} dropped lines")
def check_last(context, code, count):
    last = context.log.read()[-1]
    assert (last["event"], last["dropped"]) == (code, count), last


@then(
    "the log tells of dropped lines: {sampled:d} sampled, {normal:d} normal,"
    " {essential:d} essential"
)
def check_dropped_of(context, sampled, normal, essential):
    told = collections.Counter()
    for line in context.lines + context.log.read():
        told.update(line.get("dropped_of", {}))
        in_all = sum(line.get("dropped_of", {}).values())
        assert line.get("dropped", 0) == in_all, line
    expected = {"sampled": sampled, "normal": normal, "essential": essential}
    assert told == expected, told


@when("the log is read until nothing is pending")
def read_pending(context):
    context.lines = context.log.read()
    while context.log.handler.pending:
        context.log.handler.write_pending()
        context.lines += context.log.read()
    context.log.now_s += 1
    context.log.write(1)
    context.lines += context.log.read()


@then("{count:d} lines of {code} are among them")
def check_among(context, count, code):
    found = [line["event"] for line in context.lines]
    assert found.count(code) == count, found.count(code)


@then("at most {limit:d} bytes are pending")
def check_pending(context, limit):
    assert 0 < len(context.log.handler.pending) <= limit


@then(
    "{first:d} lines of {code} and {second:d} of {other} arrive, and {third:d}"
    " of failures"
)
def check_failures(context, first, code, second, other, third):
    lines = context.lines = context.log.read()
    found = [
        "failure" if line.get("runs") else line["event"] for line in lines
    ]
    counts = (found.count(code), found.count(other))
    assert counts == (first, second), counts
    assert len(lines) - sum(counts) == third, len(lines)


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
