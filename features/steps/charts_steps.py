import json
import pathlib

from behave import given
from behave import then
from behave import when

from godwitloft import charts
from godwitloft.charts import tables


@when('the chart {name} is fed "{inputs}"')
@when('the chart {name} is fed ""')
def feed_chart(context, name, inputs=""):
    context.position = charts.load(name).start()
    for input_name in inputs.split():
        context.position.feed(input_name)


@then("the chart position is in state {state}")
def check_state(context, state):
    assert context.position.state == state, context.position.state


@then('feeding the chart position {name} fails with "{message}"')
def check_refused(context, name, message):
    before = context.position.state
    assert not context.position.allows(name)
    try:
        context.position.feed(name)
    except charts.InputNotAllowed as error:
        assert str(error) == message, str(error)
    else:
        raise AssertionError("accepted")
    assert context.position.state == before


@given("the chart door with states open and shut")
def set_door_chart(context):
    context.door = {
        "name": "door",
        "doc": "A door.",
        "initial": "open",
        "inputs": {"close": "someone closes it"},
        "states": {
            "open": {"doc": "Open.", "on": {"close": "shut"}},
            "shut": {"doc": "Shut.", "final": True},
        },
    }
    charts.parse("door", json.dumps(context.door))


@when("its {path} is set to {value}")
def change_door(context, path, value):
    *parents, key = path.split(".")
    target = context.door
    for parent in parents:
        target = target[parent]
    target[key] = json.loads(value)


@then('loading the chart fails with "{message}"')
def check_chart_error(context, message):
    try:
        charts.parse("door", json.dumps(context.door))
    except charts.ChartError as error:
        assert str(error) == message, str(error)
    else:
        raise AssertionError("accepted")


@then("docs/CHARTS.md has the tables of all charts")
def check_page(context):
    files = {
        file.stem for file in pathlib.Path("godwitloft/charts").glob("*.json")
    }
    assert set(tables.NAMES) == files
    assert pathlib.Path("docs/CHARTS.md").read_text() == tables.page()
