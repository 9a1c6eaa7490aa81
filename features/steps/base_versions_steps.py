import re

from behave import given
from behave import then
from behave import when

from godwitloft import clock as clocks
from godwitloft.gateway import model
from godwitloft.gateway.streams import base_versions

SERVICE = "model"
STEP_MS = 500
V1 = base_versions.Base("v1", 1)


class Bases:
    """Base versions on a clock and a list that the test moves."""

    def __init__(self, life_s):
        self.now_ms = self.listed_ms = 1_000_000
        clock = clocks.Clock(lambda: self.now_ms, lambda: self.now_ms)
        self.bases = base_versions.BaseVersions(
            clock, lambda: self.listed_ms, lambda: life_s * 1000
        )
        self.bases.has_store = True

    def list(self, names):
        self.listed_ms = self.now_ms
        self.bases.update(
            model.Upstream(
                name, SERVICE, "127.0.0.1", 9, "a", 4, False, 1, name
            )
            for name in names
        )

    def reading(self):
        return base_versions.Reading(self.now_ms, 0, self.now_ms)

    def read(self):
        self.now_ms += 1
        self.bases.learn({SERVICE: V1}, self.reading())

    def to_store(self):
        if self.bases.needs_reading():
            self.now_ms += 1
            self.bases.learn(
                {SERVICE: self.bases.bases[SERVICE]}, self.reading()
            )
        return self.bases.to_store()


@given(
    "base versions of a service whose streams live {life_s:d} s,"
    ' "v1" among them'
)
def bases(context, life_s):
    context.bases = Bases(life_s)
    context.bases.list(["v1"])
    context.bases.read()


def pass_with(context, duration_s, names):
    """Lets time pass while versions are listed, None for no list at all."""
    for _ in range(int(duration_s) * 1000 // STEP_MS):
        context.bases.now_ms += STEP_MS
        if names is not None:
            context.bases.list(names)


@when("time passes: {text}")
def passing(context, text):
    spans = r'(\d+) s (?:with "([^"]*)"|(with nothing)|without)'
    for duration_s, names, nothing in re.findall(spans, text):
        listed = names.split(",") if names else None
        pass_with(context, duration_s, [] if nothing else listed)


@then('the base version to store is "{version}"')
def check_to_store(context, version):
    found = context.bases.to_store().get(SERVICE)
    if version == "-":
        assert found is None, found
    else:
        assert found is not None
        assert found.version == version and found.number == 2, found


@then('a stream at "v1" needs a record: {needs}')
def check_needs_record(context, needs):
    found = context.bases.bases.needs_record(SERVICE, "v1")
    assert found == (needs == "yes")


@when("the stored base versions are read")
def read(context):
    context.bases.read()


@when("those that are to be stored are stored")
def store(context):
    context.bases.now_ms += 1
    context.bases.bases.record_stored(context.bases.bases.to_store())


@when("the store is restored from a copy")
def restore(context):
    context.bases.bases.mark_restored()


@when('it is stored, and the store comes back with "v1"')
def store_and_restore(context):
    bases = context.bases.bases
    bases.record_stored(context.bases.to_store())
    assert bases.version_of(SERVICE) == "v2"
    bases.mark_restored()
    context.bases.read()


@then('all gateways take "{version}" for the base version')
def check_agree(context, version):
    found = {
        member.gateway.bases.version_of(SERVICE)
        for member in context.streams.members.values()
    }
    assert found == {version}, found


@when("each write of the store takes {delay_ms:d} ms")
def delay_writes(context, delay_ms):
    for member in context.streams.members.values():
        member.client.write_ms = delay_ms


@when("writes of the store fail")
def fail_writes(context):
    for member in context.streams.members.values():
        member.client.writes_fail = True


@when('writes of the store fail, and the engines of "{version}" have left')
def fail_and_leave(context, version):
    context.streams.leave(version)
    context.streams.advance(3000)
    fail_writes(context)


@when("a caller asks for a stream")
def ask(context):
    context.streams.begin_one(1)


@then("the caller has no event")
def check_no_event(context):
    (stream,) = context.streams.streams
    assert b"data:" not in stream.caller.received, stream.caller.received


@then('the caller has an event of "{version}"')
def check_event(context, version):
    (stream,) = context.streams.streams
    received = stream.caller.received
    assert b"data: " + version.encode() in received, received
    assert received.count(b"data:") == 1, received


@when("a restore of the store has removed all base versions")
def remove_bases(context):
    rows = context.streams.first.rows
    context.services = [
        key for table, key in rows.rows if table == "base_versions"
    ]
    assert context.services
    for service in context.services:
        rows.put("base_versions", service, None)
    context.refused = 0
    are_as_expected = rows.are_as_expected

    def count(expected):
        is_met = are_as_expected(expected)
        context.refused += not is_met
        return is_met

    rows.are_as_expected = count
    rows.timeline += 1


@then("each base version is stored, after at most {most:d} calls for it")
def check_stored_again(context, most):
    rows = context.streams.first.rows.rows
    for service in context.services:
        assert ("base_versions", service) in rows, service
    assert context.refused <= most, context.refused
