import logging
import pathlib

from behave import then

from godwitloft import events

CATALOGUE = pathlib.Path(__file__).parents[2] / "docs" / "EVENTS.md"
COLUMNS = 5


def in_code():
    found = vars(events).values()
    return [one for one in found if isinstance(one, events.Event)]


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
        (one.code, logging.getLevelName(one.level).lower(), one.text)
        for one in in_code()
    )
    missing = [one for one in coded if one not in listed]
    unknown = [one for one in listed if one not in coded]
    assert listed == coded, f"not listed: {missing}; not in code: {unknown}"


@then("the numbers of the events in the code differ")
def check_numbers(context):
    numbers = [one.number for one in in_code()]
    assert len(numbers) == len(set(numbers)), sorted(numbers)
