import dataclasses
import itertools
import random

from behave import then
from behave import when
from twisted.internet import defer
from twisted.internet import task

from godwitloft import clock as clocks
from godwitloft.runtime import discovery
from godwitloft.store import memory
from godwitloft.store import port

OWN = port.Instance("entry-1", "entry", "127.0.0.1", 1, "riga-a")
SECONDS = 2000


@when("a process of a fleet of {fleet:d} announces itself for 2000 s")
def announce(context, fleet):
    clock = task.Clock()
    store = memory.Store(clocks.reactor_clock(clock))
    context.fleet = fleet
    context.announcements = []

    def record(instance, time_to_live_ms):
        context.announcements.append((clock.seconds(), time_to_live_ms))
        return defer.succeed(None)

    platform = dataclasses.replace(
        memory.platform(store, clock),
        announce_instance=record,
        list_instances=lambda: defer.succeed((OWN,) * fleet),
    )
    callbacks = discovery.DiscoveryCallbacks(
        lambda: OWN, lambda instances: None
    )
    process = discovery.Discovery(platform, clock, callbacks, random.Random(1))
    process.start()
    clock.pump([1.0] * SECONDS)
    process.stop()


@then(
    "the fleet makes at most {writes:d} announcements a second and each"
    " outlives the next two"
)
def check_announcements(context, writes):
    announcements = context.announcements
    # The first one is sent before the size of the fleet is known.
    assert context.fleet * (len(announcements) - 1) / SECONDS <= writes, len(
        announcements
    )
    assert len(announcements) > 5, announcements
    for (time, life_ms), _, (after, _) in itertools.islice(
        zip(announcements, announcements[1:], announcements[2:], strict=False),
        1,
        None,
    ):
        assert time + life_ms / 1000 > after, (time, life_ms, after)
