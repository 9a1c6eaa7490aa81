import json

from behave import given
from behave import then
from behave import when

from godwitloft import settings

KINDS = {"entry": settings.EntrySettings, "agent": settings.AgentSettings}
COMMON = {"instance": "first-1", "availability_zone": "z"}
AGENT = {
    "pool": "p",
    "upstream": {"name": "u", "url": "http://127.0.0.1:8000"},
}


@given("valid {kind} settings")
def make_settings(context, kind):
    context.settings_kind = KINDS[kind]
    context.settings_value = dict(COMMON)
    if kind == "agent":
        context.settings_value.update(json.loads(json.dumps(AGENT)))


@when("the setting {key} is {value}")
def set_setting(context, key, value):
    *path, last = key.split(".")
    parent = context.settings_value
    for name in path:
        parent = parent.setdefault(name, {})
    parent[last] = json.loads(value)


@then('the settings are refused with "{message}"')
def check_settings_error(context, message):
    content = json.dumps(context.settings_value).encode()
    try:
        settings.parse(content, context.settings_kind, "f.json")
    except settings.SettingsError as error:
        assert str(error) == message, str(error)
    else:
        raise AssertionError("the settings were accepted")


@then("the settings load with {count:d} characters of instance")
def check_settings_load(context, count):
    content = json.dumps(context.settings_value).encode()
    loaded = settings.parse(content, context.settings_kind, "f.json")
    assert len(loaded.instance) == count
