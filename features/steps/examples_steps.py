import json
import pathlib

from behave import given
from behave import then

from godwitloft import settings
from godwitloft.objects import check
from godwitloft.objects import lookup
from godwitloft.objects import parse

KINDS = {"entry": settings.EntrySettings, "agent": settings.AgentSettings}


@given("the example deployment {name}")
def load_example(context, name):
    context.root = pathlib.Path("examples") / name
    context.objects = parse.from_files([str(context.root / "objects")])
    context.instances = json.loads(
        (context.root / "instances.json").read_text()
    )
    context.settings = {
        instance["instance"]: settings.load(
            str(context.root / "settings" / f"{instance['instance']}.json"),
            KINDS[instance["role"]],
        )
        for instance in context.instances
    }


@then("its objects pass the check")
def check_example(context):
    assert check.check(context.objects) == ()


@then("it has {teams:d} teams and the services {services}")
def check_services(context, teams, services):
    assert len(context.objects.teams) == teams
    found = lookup.build(context.objects)
    counts = []
    for name, pools in found.pools_of_service.items():
        names = {pool.name for pool in pools}
        members = [i for i in context.instances if i.get("pool") in names]
        counts.append(f"{name} {len(members)}")
    assert ", ".join(sorted(counts)) == services, counts


@then("its instances cover the availability zones {zones}")
def check_zones(context, zones):
    for role in KINDS:
        found = {
            instance["availability_zone"]
            for instance in context.instances
            if instance["role"] == role
        }
        assert found == set(zones.split()), found


@then("each of its instances has settings that agree with the list")
def check_instances(context):
    files = list((context.root / "settings").glob("*.json"))
    assert len(files) == len(context.instances)
    kinds = {pool.name: pool.kind for pool in context.objects.pools}
    for instance in context.instances:
        loaded = context.settings[instance["instance"]]
        assert loaded.instance == instance["instance"]
        assert loaded.availability_zone == instance["availability_zone"]
        assert loaded.link_listen.address == instance["address"]
        assert loaded.link_listen.port == instance["port"]
        if instance["role"] == "agent":
            assert loaded.pool == instance["pool"]
            assert loaded.upstream.kind is kinds[instance["pool"]]


@then("no two of its processes share a port")
def check_ports(context):
    ports = []
    for loaded in context.settings.values():
        for name in ("caller", "link", "operator", "metrics"):
            listen = getattr(loaded, f"{name}_listen", None)
            if listen is not None:
                ports.append(listen.port)
    assert len(ports) == len(set(ports))


@then("{call} is non-idempotent there and {other} is idempotent")
def check_calls(context, call, other):
    found = lookup.build(context.objects)
    for text, idempotent in ((call, False), (other, True)):
        method, service, path = text.split()
        rule = lookup.call_rule(found.services[service], method, path)
        assert rule.idempotent is idempotent, text
