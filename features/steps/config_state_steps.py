from behave import given
from behave import then
from behave import when

from features.support import gateway_world
from godwitloft import clock as clocks
from godwitloft.gateway import config_state


class State:
    """A configuration state on a clock that the test moves."""

    def __init__(self):
        self.now_ms = 1_000_000
        clock = clocks.Clock(lambda: self.now_ms, lambda: self.now_ms)
        self.state = config_state.ConfigState(clock, 4_000)

    def read(self, version):
        self.now_ms += 10
        self.state.configure(gateway_world.configuration(version))
        self.state.confirm_stored(self.now_ms, version)


@given(
    "a gateway that has had configuration {version:d} confirmed for"
    " {age_ms:d} ms"
)
def confirmed(context, version, age_ms):
    context.state = State()
    context.state.read(version)
    context.state.now_ms += age_ms
    context.state.read(version)


@when("a peer tells that it has configuration {version:d}")
def tell(context, version):
    context.state.now_ms += 10
    context.state.state.note_version(version)


@when("the store is read and holds configuration {version:d}")
def read(context, version):
    context.state.read(version)


@when(
    "the store was read {ago_ms:d} ms before and held configuration"
    " {version:d}"
)
def read_before(context, ago_ms, version):
    state = context.state
    state.state.confirm_stored(state.now_ms - ago_ms, version)


@then("the configuration is confirmed: {confirmed}")
def check(context, confirmed):
    state = context.state
    found = state.state.is_confirmation_fresh(state.now_ms)
    assert found == (confirmed == "yes")
