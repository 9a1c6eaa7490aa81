import json
import pathlib

from behave import given
from behave import then
from behave import when

from godwitloft import clock
from godwitloft import trace


@given("a trace recorder of instance {instance} at {now:d} ms")
def make_recorder(context, instance, now):
    context.lines = []
    manual = clock.ManualClock(now).clock()
    context.recorder = trace.Recorder(
        manual, instance, "inc", context.lines.append
    )


@when("it records {kind} for {request_id} with {keys:d} prefix keys")
def record_large(context, kind, request_id, keys):
    context.recorder.record(
        trace.Kind(kind), request_id, prefix_keys=[1 << 40] * keys, team="t"
    )


@when("it records {kind} for {request_id} with {{{fields}}}")
def record(context, kind, request_id, fields):
    context.recorder.record(
        trace.Kind(kind), request_id, **json.loads(f"{{{fields}}}")
    )


@then(
    "trace line {number:d} is {kind} of {request_id}"
    " at {now:d} ms with {fields}"
)
def check_line(context, number, kind, request_id, now, fields):
    found = trace.parse(context.lines[number - 1])
    expected = trace.Record(
        trace.Kind(kind),
        request_id,
        "e1",
        "inc",
        number,
        now,
        now,
        json.loads(fields),
    )
    assert found == expected, found


@then("trace line 1 has at most {size:d} bytes and names {name} as truncated")
def check_bounded(context, size, name):
    assert len(context.lines[0]) <= size
    fields = trace.parse(context.lines[0]).fields
    assert fields == {"team": "t", "truncated": [name]}, fields


@then("parsing the trace line {line} fails")
def check_bad_line(context, line):
    try:
        trace.parse(line)
    except trace.TraceError:
        return
    raise AssertionError("the line was accepted")


@then("the null recorder writes nothing")
def check_null(context):
    lines = []
    recorder = trace.NullRecorder()
    recorder.write = lines.append
    recorder.record(trace.Kind.TOLD, "r1", outcome="completed")
    assert not lines


@then("docs/TRACE.md has a row for each trace kind")
def check_trace_page(context):
    lines = pathlib.Path("docs/TRACE.md").read_text().splitlines()
    cells = [
        line.split("|")[1].strip() for line in lines if line.startswith("|")
    ]
    assert cells[2:] == [kind.value for kind in trace.Kind], cells
