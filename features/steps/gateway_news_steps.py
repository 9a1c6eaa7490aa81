from behave import given
from behave import step
from behave import then
from behave import when
from twisted.internet import task

from features.support import gateway_world
from godwitloft import clock as clocks
from godwitloft.gateway import config_state
from godwitloft.gateway.peers import peer_confirmation
from godwitloft.gateway.peers import store_contact
from godwitloft.links import datagrams

STEP_MS = 10
TICK_MS = 50
FOLLOW_INTERVAL_MS = 500
FEW_TIMES = 3


class Member:
    """A gateway that holds a configuration and a list of upstreams."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.config_state = config_state.ConfigState(fleet.clock, 4000)
        self.confirmation = peer_confirmation.PeerConfirmation(
            fleet.clock,
            self.send,
            name,
            1,
            self.config_state,
            lambda: {peer: peer for peer in fleet.members if peer != name},
            store_contact.StoreContact(outage_ms=1800),
        )
        self.asked_store_ms = -FOLLOW_INTERVAL_MS
        self.asked = 0
        self.stopped = False
        self.cut_off = False

    def send(self, data, where):
        self.fleet.send(self.name, data, where[0])

    def heard(self, sender, data):
        datagram = datagrams.decode(data)
        if datagram.question is not None:
            self.confirmation.on_question(datagram.question, sender)
        else:
            self.confirmation.on_answer(datagram.answer)

    def ask_store(self, now_ms):
        needs = (
            self.confirmation.needs_version() or self.confirmation.needs_list()
        )
        outdated = (
            self.confirmation.version_outdated
            or self.confirmation.list_outdated
        )
        waited = now_ms - self.asked_store_ms >= FOLLOW_INTERVAL_MS
        if not needs or not (waited or outdated):
            return
        self.asked += 1
        self.asked_store_ms = now_ms
        if self.cut_off or self.fleet.store_away:
            return
        self.config_state.configure(self.fleet.configuration)
        self.config_state.confirm(now_ms)
        self.confirmation.mark_version_read()
        self.confirmation.record_list(self.fleet.upstreams, now_ms)


class NewsFleet:
    """Gateways, a store and datagrams on a simulated clock."""

    def __init__(self, count):
        self.reactor = task.Clock()
        self.reactor.advance(1000)
        self.clock = clocks.reactor_clock(self.reactor)
        self.configuration = gateway_world.configuration(1)
        self.upstreams = {"u0": gateway_world.upstream("u0", "model")}
        self.delay_ms = 2
        self.parted = False
        self.store_away = False
        self.oldest_proof_ms = 0
        self.oldest_list_ms = 0
        self.youngest_excess_ms = 0
        self.store_at_ms = 0
        self.members = {}
        for number in range(count):
            name = f"g{number}"
            self.members[name] = Member(self, name)
        for member in self.members.values():
            member.ask_store(self.clock.monotonic_ms())
            member.asked = 0

    @property
    def live(self):
        return [
            member for member in self.members.values() if not member.stopped
        ]

    def pollers(self):
        first = next(iter(self.members.values()))
        return [self.members[name] for name in first.confirmation.pollers()]

    def send(self, sender, data, name):
        if not self.parted:
            delay_s = self.delay_ms / 1000
            self.reactor.callLater(delay_s, self.deliver, sender, data, name)

    def deliver(self, sender, data, name):
        member = self.members[name]
        if not member.stopped:
            member.heard(sender, data)

    def run(self, duration_ms):
        for _ in range(duration_ms // STEP_MS):
            self.reactor.advance(STEP_MS / 1000)
            now_ms = self.clock.monotonic_ms()
            if not self.store_away:
                self.store_at_ms = now_ms
            for member in self.live:
                member.ask_store(now_ms)
                if now_ms % TICK_MS == 0:
                    member.confirmation.ask_if_due()
                self.measure(member, now_ms)

    def measure(self, member, now_ms):
        age_ms = member.config_state.confirmation_age_ms(now_ms)
        self.oldest_proof_ms = max(self.oldest_proof_ms, age_ms)
        list_age_ms = now_ms - member.confirmation.held_list.at_ms
        self.oldest_list_ms = max(self.oldest_list_ms, list_age_ms)
        excess_ms = (now_ms - age_ms) - self.store_at_ms
        self.youngest_excess_ms = max(self.youngest_excess_ms, excess_ms)


@given("{count:d} gateways that exchange datagrams")
def fleet(context, count):
    context.fleet = NewsFleet(count)


@when("the gateways run for {seconds:d} s")
def pass_seconds(context, seconds):
    context.fleet.run(seconds * 1000)


@step("the gateways run for {duration:d} ms")
def pass_ms(context, duration):
    context.fleet.run(duration)


@step("another version is published")
def publish(context):
    context.fleet.configuration = gateway_world.configuration(2)


@step("an upstream is leaving")
def leaving(context):
    context.fleet.upstreams = {
        "u0": gateway_world.upstream("u0", "model", leaving=True)
    }


@step("nothing else happens")
def nothing(_context):
    pass


@step("the first poller stops")
def stop_one(context):
    context.fleet.pollers()[0].stopped = True


@step("both pollers stop")
def stop_both(context):
    for member in context.fleet.pollers():
        member.stopped = True


@step("the first poller can't reach the store")
def cut_off(context):
    context.fleet.pollers()[0].cut_off = True


@step("the gateways can't reach each other")
def parted(context):
    context.fleet.parted = True


@step("datagrams take {delay:d} ms from now on and the store is unavailable")
def delayed(context, delay):
    context.fleet.delay_ms = delay
    context.fleet.store_away = True


@then("{count:d} gateways kept polling the store")
def check_asked(context, count):
    asked = {
        member.name: member.asked for member in context.fleet.members.values()
    }
    often = [name for name, times in asked.items() if times > FEW_TIMES]
    assert len(often) == count, asked


@then("no confirmation was ever older than {most:d} ms")
def check_proof(context, most):
    assert context.fleet.oldest_proof_ms <= most, context.fleet.oldest_proof_ms


@then("no list was ever older than {most:d} ms")
def check_list(context, most):
    assert context.fleet.oldest_list_ms <= most, context.fleet.oldest_list_ms


@then("every gateway has the new version")
def check_learnt(context):
    fleet = context.fleet
    for member in fleet.members.values():
        version = member.config_state.router.configuration.version
        assert version == fleet.configuration.version, member.name
        digest = peer_confirmation.digest_of(fleet.upstreams)
        assert member.confirmation.held_list.digest == digest, member.name


@then("no confirmation appeared newer than it was")
def check_younger(context):
    assert context.fleet.youngest_excess_ms <= 0, (
        context.fleet.youngest_excess_ms
    )
