import dataclasses
import re

from behave import given
from behave import then
from behave import when

from features.support import gateway_world
from godwitloft import clock as clocks
from godwitloft.gateway import model
from godwitloft.gateway.callers import routing
from godwitloft.gateway.peers import store_contact
from godwitloft.gateway.streams import service_versions
from godwitloft.gateway.streams import stream_life

V1 = service_versions.ServiceVersion("model", "v1")
OTHER = model.Upstream("d", "desk", "127.0.0.1", 9, "a", 4, False, 1, "v1")


class Versions:
    """Versions on a clock that the test moves."""

    def __init__(self, life_s):
        self.now_ms = 1_000_000
        self.life_ms = life_s * 1000
        self.restored = True
        self.listed = ()
        clock = clocks.Clock(lambda: self.now_ms, lambda: self.now_ms)
        self.contact = store_contact.StoreContact(1800)
        self.versions = service_versions.ServiceVersions(
            clock,
            self.contact,
            lambda: self.now_ms,
            lambda: True,
            lambda: self.restored,
            lambda: self.life_ms,
        )

    def list(self, *names):
        self.listed = names
        upstreams = [OTHER]
        for name in names:
            upstreams.append(
                model.Upstream(
                    name, "model", "127.0.0.1", 9, "a", 4, False, 1, name
                )
            )
        self.contact.record(self.now_ms)
        self.versions.update(upstreams)

    def advance(self, duration_ms, *names):
        for _ in range(duration_ms // 500):
            self.now_ms += 500
            self.list(*names)


@given("versions of a service whose streams live {life_s:d} s")
def versions(context, life_s):
    context.versions = Versions(life_s)


def restore(context, text):
    absent_s, saved_s = map(int, re.findall(r"(\d+) s", text))
    saved = service_versions.Saved({V1: absent_s * 1000})
    context.versions.versions.restore(saved, saved_s * 1000)


@when('a gateway is restored from "v1" {first} and then {second}')
def restore_both(context, first, second):
    restore(context, first)
    restore(context, second)


@when("{duration_s:d} s pass without it")
def passing(context, duration_s):
    context.versions.advance(duration_s * 1000)


@then('streams may hold "{names}"')
def check_possible(context, names):
    found = context.versions.versions.possible("model")
    expected = set() if names == "-" else set(names.split(","))
    assert found == expected, found


def key(name):
    return service_versions.ServiceVersion("model", name)


@given('"{name}" is listed and used')
def listed_and_used(context, name):
    world = context.versions
    world.list(name)
    save(context)
    check_begin(context, name)


@when(
    '"{name}" is listed too and saved, and the store is restored from a copy'
)
def saved_and_restored(context, name):
    world = context.versions
    world.list("v1", name)
    save(context)
    world.versions.mark_unsaved()


@when('{duration_s:g} s pass with "{names}" listed')
def passing_listed(context, duration_s, names):
    context.versions.advance(int(duration_s * 1000), *names.split(","))


@when('a gateway starts where "{used}" was used and "{other}" was {how}')
def start(context, used, other, how):
    seen = {key(other)} if how == "seen" else set()
    saved = service_versions.Saved(
        {key(used): 0, key(other): 0}, frozenset(seen)
    )
    context.versions.versions.restore(saved, 100)


@when('"{names}" are listed')
def listed(context, names):
    context.versions.list(*names.split(","))


@when("the versions are saved")
def save(context):
    world = context.versions
    world.versions.mark_saved()
    world.versions.record_saved(world.now_ms)


@then('streams may begin at "{names}"')
def check_begin(context, names):
    versions = context.versions.versions
    versions.use_new()
    found = {
        name
        for name in context.versions.listed
        if versions.may_begin_at(
            model.Upstream(
                "u", "model", "127.0.0.1", 9, "a", 4, False, 1, name
            )
        )
    }
    assert found == set(names.split(",")), found


@then("it is to be saved soon")
def check_unsaved(context):
    assert context.versions.versions.unsaved


def set_timeout(context, timeout_s):
    whole = gateway_world.configuration()
    routes = tuple(
        dataclasses.replace(route, timeout_ms=timeout_s * 1000)
        for route in whole.routes
    )
    context.router = routing.Router(dataclasses.replace(whole, routes=routes))


@given("routes of streams with a time-out of {timeout_s:d} s")
def routes_of_streams(context, timeout_s):
    context.now_ms = 1_000_000
    clock = clocks.Clock(lambda: context.now_ms, lambda: context.now_ms)
    context.life = stream_life.StreamLife(clock, lambda: context.router)
    set_timeout(context, timeout_s)


@when("their time-out is changed to {timeout_s:d} s")
def change_timeout(context, timeout_s):
    set_timeout(context, timeout_s)
    context.life.longest_ms()


@when("{duration_s:d} s pass since then")
def pass_time(context, duration_s):
    context.now_ms += duration_s * 1000


@then("streams are remembered for {life_s:d} s")
def check_life(context, life_s):
    assert context.life.longest_ms() == life_s * 1000
