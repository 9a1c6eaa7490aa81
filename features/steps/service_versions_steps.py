import re

from behave import given
from behave import then
from behave import when

from godwitloft import clock as clocks
from godwitloft.gateway import model
from godwitloft.gateway import service_versions
from godwitloft.gateway import store_contact

V1 = service_versions.ServiceVersion("model", "v1")
OTHER = model.Upstream("d", "desk", "127.0.0.1", 9, "a", 4, False, 1, "v1")


class Versions:
    """Versions on a clock that the test moves."""

    def __init__(self, life_s):
        self.now_ms = 1_000_000
        self.life_ms = life_s * 1000
        self.restored = True
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
    context.versions.versions.restore({V1: absent_s * 1000}, saved_s * 1000)


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
