import pathlib

from behave import then
from behave import when

from godwitloft import clock
from godwitloft import replay
from godwitloft import trace
from godwitloft.agent import capacity_trace
from godwitloft.policy import learnt_speeds
from godwitloft.policy import running_limits
from godwitloft.policy import types

TRACES = pathlib.Path("features/traces")


def read(name):
    return (TRACES / f"{name}.jsonl").read_text().splitlines()


@when("the trace file {name} is replayed")
def replay_file(context, name):
    context.name = name
    context.outcomes = replay.replay(read(name))


@when(
    "the trace file {name} is replayed with at most {count:d} waiting requests"
)
def replay_bounded(context, name, count):
    context.outcomes = replay.replay(
        read(name), replay.Limits(max_requests=count)
    )


@then("its outcomes match its outcomes file")
def check_stated(context):
    stated = (TRACES / f"{context.name}.outcomes").read_text().splitlines()
    found = sorted(outcome.comparison_line() for outcome in context.outcomes)
    assert found == stated, found


@then('the ranks of the shed requests are "{ranks}"')
@then('the ranks of the shed requests are ""')
def check_shed(context, ranks=""):
    shed = [
        outcome for outcome in context.outcomes if outcome.detail == "shed"
    ]
    assert len(context.outcomes) == 12
    found = sorted(str(outcome.tier_rank) for outcome in shed)
    assert found == ranks.split(), found


@when("the trace line {line} is replayed")
def replay_line(context, line):
    context.error = None
    try:
        replay.replay([line])
    except replay.ReplayError as error:
        context.error = error


@then('replaying fails with "{message}"')
def check_replay_error(context, message):
    assert str(context.error) == message, str(context.error)


@when("an agent's upstream prefills 4, 4.5, 6 and 1 tokens per ms")
def observe_capacity(context):
    context.lines = []
    recorder = trace.Recorder(
        clock.ManualClock(0).clock(), "a1", "a1-1", context.lines.append
    )
    capacity = capacity_trace.CapacityTrace(recorder, "p")
    for speed in (4.0, 4.5, 6.0, 1.0):
        speeds = learnt_speeds.Speeds(prefill_tokens_per_ms=speed)
        capacity.observe(
            types.UpstreamView(speeds, running_limits.ConcurrencyLimits())
        )


@then("its capacity records have 4, 6 and 1 tokens per ms and can be replayed")
def check_capacity(context):
    speeds = [
        trace.parse(line).fields["prefill_tokens_per_ms"]
        for line in context.lines
    ]
    assert speeds == [4.0, 6.0, 1.0], speeds
    request = read("burst")[-1]
    outcomes = replay.replay([*context.lines, request])
    assert [outcome.outcome for outcome in outcomes] == ["timely"], outcomes
