"""Reads the ids of a stream's events, by which it goes on elsewhere.

An upstream that is asked to go on after an event may not heed that, so that
what it sends is compared with what the caller has.
"""

import re

from godwitloft import answer_end

ID_LINE = re.compile(rb"(?:^|(?<=[\r\n]))id:([^\r\n]*)[\r\n]")
ID_FIELD = re.compile(rb"(?:^|[\r\n])id:[ \t]*[^\s]")
DATA_FIELD = re.compile(rb"(?:^|[\r\n])data")


def event_ids(events: bytes) -> list[bytes]:
    """Returns the ids of events.

    :param events: complete events
    :return: the ids of those that have one that isn't empty, in their order
    """
    found = (value.strip() for value in ID_LINE.findall(events))
    return [value for value in found if value]


def events_with_data(events: bytes) -> list[bytes]:
    """Returns those of some events that have data: no comments.

    :param events: complete events
    :return: the events without the empty lines that end them
    """
    return [
        event
        for event in answer_end.EVENT_END.split(events)
        if DATA_FIELD.search(event)
    ]


def last_event_has_id(events: bytes) -> bool | None:
    """Returns whether the last of some events has an id.

    :param events: complete events
    :return: None if none of them has data
    """
    with_data = events_with_data(events)
    return ID_FIELD.search(with_data[-1]) is not None if with_data else None


def fits_behind(last: bytes, events: bytes) -> bool:
    """Returns whether the first events of an answer can follow an event.

    :param last: id of the earlier event
    :param events: complete events
    :return: whether the first id goes on after it; False if an event without
        an id comes first, since it may be one of before
    """
    with_data = events_with_data(events)
    if with_data and not ID_FIELD.search(with_data[0]):
        return False
    ids = event_ids(events)
    return not ids or goes_on_after(last, ids[0])


def goes_on_after(last: bytes, next_id: bytes) -> bool:
    """Returns whether an event can follow another one.

    :param last: id of the earlier event
    :param next_id: id of the later one
    :return: whether it is greater; only whether it is another one, if they
        aren't both whole numbers
    """
    if last.isdigit() and next_id.isdigit():
        return as_number(next_id) > as_number(last)
    return next_id != last


def as_number(digits: bytes) -> tuple[int, bytes]:
    """Returns a value that orders whole numbers of any length.

    :param digits: decimal digits
    :return: the number of digits without leading zeros, and these digits
    """
    significant = digits.lstrip(b"0")
    return len(significant), significant
