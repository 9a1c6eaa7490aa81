import dataclasses

from behave import given
from behave import then
from behave import when

from features.steps import gateway_load_steps
from features.support import gateway_world
from godwitloft import attempt as attempts
from godwitloft.gateway.streams import base_versions
from godwitloft.gateway.streams import stream_origins

SERVICE = "model"
BASE_VERSION = "v1"
# Resumable, and the route whose requests are more important.
ROUTE = "query"
IMPORTANT_ROUTE = "draft"


class Load(gateway_load_steps.Load):
    """Load with streams that began at gateways that are gone."""

    def __init__(self, versions, found_ms):
        super().__init__()
        self.found_ms = found_ms
        self.taken_up = []
        self.important = []
        self.world.gateway.update_upstreams(
            {
                f"u{number}": dataclasses.replace(
                    gateway_world.upstream(f"u{number}", SERVICE),
                    version=version,
                )
                for number, version in enumerate(versions)
            }
        )
        bases = self.world.gateway.bases
        bases.has_store = True
        base = base_versions.Base(BASE_VERSION, 1)
        reading = base_versions.Reading(self.now_ms, 0, self.now_ms)
        bases.learn({SERVICE: base}, reading)
        self.is_reading = False

    def ask(self):
        name = f"r{len(self.callers)}"
        caller = self.world.ask(name, ROUTE, left_ms=5000)
        self.callers.append((name, self.now_ms, caller))

    def ask_important(self):
        name = f"i{len(self.important)}"
        self.world.ask(name, IMPORTANT_ROUTE, left_ms=5000)
        self.important.append(name)

    def take_up(self, version):
        """Takes up a stream that another gateway has put on record."""
        name = f"t{len(self.taken_up)}"
        self.origins = stream_origins.Origin(SERVICE, version)
        resumes = b"Resumes: s-%s\r\nLast-Event-Id: 1\r\n" % name.encode()
        self.world.ask(name, ROUTE, left_ms=5000, extra=resumes)
        self.taken_up.append(name)

    def play(self, sent):
        if gateway_world.DIALECT.last_event not in sent.headers:
            super().play(sent)
            return
        name = sent.headers[gateway_world.DIALECT.request_id].decode()

        def begin():
            if not sent.cancelled:
                sent.head(200)
                self.begun[name] = self.now_ms
                sent.callbacks.on_data(b"id: 2\ndata: y\n\n")

        def end():
            if not sent.cancelled:
                sent.callbacks.on_data(b"id: 3\ndata: z\n\n")
                sent.end(attempts.End.COMPLETE)

        later = self.world.reactor.callLater
        later(gateway_load_steps.FIRST_DATA_MS / 1000, begin)
        later(gateway_load_steps.RUN_MS / 1000, end)

    def save(self):
        """Puts on record at once where streams begin."""
        origins = self.world.gateway.origins
        if origins.needs_saving():
            origins.confirm_saved(origins.take_unsaved(10))

    def step(self):
        super().step()
        self.save()
        continuations = self.world.gateway.continuations
        if self.is_reading or not continuations.needs_lookup():
            return
        self.is_reading = True
        asked_ms = self.now_ms
        origins = {
            stream_origins.short_id(f"s-{name}"): self.origins
            for name in self.taken_up
        }

        def read():
            self.is_reading = False
            continuations.on_lookup(origins, asked_ms)

        self.world.reactor.callLater(self.found_ms / 1000, read)

    def sent_at(self, name):
        """Returns the position of a request among those sent."""
        return [
            sent.headers[gateway_world.DIALECT.request_id].decode()
            for sent in self.world.sent
        ].index(name)


@given(
    'a gateway with engines of versions "{versions}", where the store tells'
    " after {found_ms:d} ms where streams began"
)
def world(context, versions, found_ms):
    context.load = Load(versions.split(), found_ms)


@when(
    "callers send {load:g} times their capacity for 12 s, and take"
    ' {count:d} streams of version "{version}" up again each second'
)
def overload(context, load, count, version):
    per_s = load * gateway_load_steps.SLOTS
    for _ in range(12 * count):
        context.load.run(per_s, 1000 // count)
        context.load.take_up(version)
    context.load.run(per_s, 2500)


@when(
    "{new:d} new requests come, and {count:d} streams of version"
    ' "{version}" are taken up again at once'
)
def start(context, new, count, version):
    for _ in range(new):
        context.load.ask()
    for _ in range(count):
        context.load.take_up(version)


@when("{duration_ms:d} ms pass at the engines")
def passing(context, duration_ms):
    context.load.run(0, duration_ms)


@when("{count:d} more important requests come {later_ms:d} ms later")
def important(context, count, later_ms):
    context.load.run(0, later_ms)
    for _ in range(count):
        context.load.ask_important()
    context.load.run(0, 3000)


@then("at least {share:g} of the streams that were taken up go on")
def check_taken_up(context, share):
    load = context.load
    found = sum(name in load.begun for name in load.taken_up)
    assert found >= share * len(load.taken_up), (found, len(load.taken_up))


@then("new requests were served as well")
def check_new(context):
    load = context.load
    rest = sum(name in load.begun for name, _asked_ms, _ in load.callers)
    assert rest >= len(load.taken_up), (rest, len(load.taken_up))


@then("these are sent before {after:d} of the {count:d} streams")
def check_important(context, after, count):
    load = context.load
    last = max(map(load.sent_at, load.important))
    earlier = [
        name
        for name in load.taken_up
        if name in load.begun and load.sent_at(name) < last
    ]
    assert len(earlier) <= count - after, earlier
