from behave import given
from behave import then
from behave import when

from features.support import stream_fleet
from godwitloft import clock as clocks
from godwitloft.gateway.streams import stream_origins

ORIGIN = stream_origins.Origin("model", "v1")


class Several:
    """Stands for the versions of services."""

    def __init__(self):
        self.several = False

    def are_several(self, _service):
        return self.several


@given("a gateway that remembers streams for {minutes:d} minutes")
def gateway(context, minutes):
    context.now_ms = 1_000_000
    clock = clocks.Clock(lambda: context.now_ms, lambda: context.now_ms)
    context.several = Several()
    context.origins = stream_origins.StreamOrigins(
        clock,
        context.several,
        lambda _service, _version: False,
        lambda: 1,
        lambda: minutes * 60_000,
    )


@when("1 stream begins each {interval_s:d} s for {minutes:d} minutes")
def begin(context, interval_s, minutes):
    context.names = []
    for number in range(minutes * 60 // interval_s):
        context.now_ms += interval_s * 1000
        context.names.append(stream_origins.short_id(str(number)))
        context.origins.record(str(number), ORIGIN)


@when("a second version is listed")
def list_second(context):
    context.several.several = True


@when("no stream begins for {minutes:d} minutes")
def wait(context, minutes):
    context.now_ms += minutes * 60_000


@then("a write removes no row and saves no segment")
def check_nothing_written(context):
    assert context.origins.take_old_segments() == []
    assert context.origins.take_unsaved(10) == []


@then(
    "all streams are saved after {count:d} writes of at most {most:d} segments"
)
def check_saved(context, count, most):
    context.writes = []
    while context.origins.needs_saving():
        segments = context.origins.take_unsaved(most)
        assert 0 < len(segments) <= most
        names = [name for segment in segments for name in segment.origins]
        context.writes.append(names)
        context.now_ms += 1
        context.origins.saved_ms = 0
    assert len(context.writes) == count, len(context.writes)
    saved = {name for names in context.writes for name in names}
    assert saved == set(context.names)


@then("the first of these writes has the newest streams")
def check_newest(context):
    assert context.names[-1] in context.writes[0]


@when("{count:d} callers ask for the rest of streams that nobody knows")
def ask_unknown(context, count):
    fleet = context.streams
    (member,) = fleet.members.values()
    context.callers = []
    for number in range(count):
        caller = stream_fleet.Caller(member.world)
        caller.stream(f"a{number}", f"nobody{number}")
        context.callers.append(caller)


@then("at most {most:d} of them wait, and the others are refused as not run")
def check_bound(context, most):
    waiting = [caller for caller in context.callers if not caller.received]
    assert len(waiting) == most, len(waiting)
    refused = [caller for caller in context.callers if caller.received]
    assert all(caller.status == 503 for caller in refused)
