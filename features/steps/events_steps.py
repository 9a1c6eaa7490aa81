import logging
import pathlib

from behave import then

from godwitloft import events

CATALOGUE = pathlib.Path(__file__).parents[2] / "docs" / "EVENTS.md"
COLUMNS = 5


def events_in_code():
    values = vars(events).values()
    return [value for value in values if isinstance(value, events.Event)]


@then(
    "docs/EVENTS.md lists each event of the code once with its level and"
    " message, and no other"
)
def check_catalogue(context):
    text = CATALOGUE.read_text(encoding="utf-8")
    rows = [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in text.splitlines()
        if line.startswith("| GL")
    ]
    wrong = [row for row in rows if len(row) != COLUMNS or "" in row]
    assert not wrong, wrong
    listed = [(code, level, message) for code, level, message, *_ in rows]
    coded = sorted(
        (event.code, logging.getLevelName(event.level).lower(), event.text)
        for event in events_in_code()
    )
    missing = [event for event in coded if event not in listed]
    unknown = [event for event in listed if event not in coded]
    assert listed == coded, f"not listed: {missing}; not in code: {unknown}"


@then("the event numbers in the code are unique")
def check_numbers(context):
    numbers = [event.number for event in events_in_code()]
    assert len(numbers) == len(set(numbers)), sorted(numbers)
