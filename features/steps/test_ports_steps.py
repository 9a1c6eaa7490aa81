import socket

from behave import given
from behave import then
from behave import when

from features.support import lakeshore

KINDS = {"TCP": socket.SOCK_STREAM, "UDP": socket.SOCK_DGRAM}
EPHEMERAL_PORTS = range(32768, 61000)


def hold(context, port, kind):
    """Holds a port until the scenario ends, unless another process has it."""
    holder = socket.socket(type=kind)
    context.add_cleanup(holder.close)
    try:
        holder.bind(("127.0.0.1", port))
    except OSError:
        return False
    return True


@when(
    "each {nth:d}rd port is held as {kind}, and {count:d} free ones are found"
)
def find_free(context, nth, kind, count):
    context.held = {
        port
        for port in EPHEMERAL_PORTS[::nth]
        if hold(context, port, KINDS[kind])
    }
    context.found = lakeshore.free_ports(count)
    context.found.extend(lakeshore.free_port_range())


@then("none of them is held")
def check_free(context):
    assert context.held
    assert context.held.isdisjoint(context.found)


@given("an entry whose port for datagrams is held")
def start_with_held_port(context):
    context.world = lakeshore.World(context)
    context.world.control(config=lakeshore.config())
    ports = lakeshore.free_port_range()
    assert hold(context, ports[0], socket.SOCK_DGRAM)
    context.held_port = ports[0]
    context.world.start_entry(ports)


@when("it is waited for")
def wait(context):
    try:
        lakeshore.wait_until(context.world.is_ready, "the entry being ready")
    except AssertionError as report:
        context.report = str(report)


@then("the report names that port")
def check_report(context):
    assert f":{context.held_port}" in context.report, context.report
