from behave import given
from behave import then
from behave import when

from godwitloft import clock as clocks
from godwitloft import metrics
from godwitloft import settings
from godwitloft import trace
from godwitloft.agent import dispatcher
from godwitloft.agent import upstream
from godwitloft.links.generated.messages import ttypes

TICK_MS = 5


def bid(run_id, deadline_ms, output_tokens):
    return ttypes.Bid(
        run_id,
        0,
        "t",
        1,
        "m",
        deadline_ms,
        1,
        output_tokens,
        [],
        "f",
        False,
        0,
        0,
    )


@given("a dispatcher whose one place is taken, with check_finish {check}")
def full_dispatcher(context, check):
    context.manual_clock = clocks.ManualClock()
    context.sent = []

    def send(_peer, name, body):
        context.sent.append((name, body))
        return True

    policy = settings.AgentPolicy(check_finish=check == "true")
    context.dispatcher = dispatcher.Dispatcher(
        context.manual_clock.clock(),
        send,
        upstream.Upstream(*[lambda *_arguments: None] * 5),
        trace.NullRecorder(),
        metrics.discard(),
        dispatcher.DispatcherSettings(policy=policy, max_running=1),
    )
    context.dispatcher.peer_up(ttypes.Hello(1, "entry", "e", "e", "a", 0))
    context.dispatcher.receive("e", "bid", bid("e-1", 60_000, 9))
    dispatch = ttypes.Dispatch(
        "e-1", "POST", "/", {}, b"", True, 60_000, False, 0
    )
    context.dispatcher.receive("e", "dispatch", dispatch)


@when("a bid comes that can't finish in time")
def late_bid(context):
    context.dispatcher.receive("e", "bid", bid("e-2", 3_000, 1_000_000))


@when("{duration_ms:d} ms pass at the dispatcher")
def pass_time(context, duration_ms):
    for _ in range(duration_ms // TICK_MS):
        context.manual_clock.advance(TICK_MS)
        context.dispatcher.tick()


@then("its entry is told {told}")
def check_told(context, told):
    reasons = [body.reason for name, body in context.sent if name == "skip"]
    expected = [] if told == "nothing" else [told]
    assert reasons == expected, context.sent
