"""Reads from the head of an answer what its upstream says about itself.

An upstream may say that it is leaving, and name a limit, in any answer, and
one that refuses a request with 503 may ask for a pause with ``Retry-After``.
All concern the upstream and not the request, and count whatever becomes of the
answer.
"""

import dataclasses
import email.utils
import math

from godwitloft import attempt as attempts
from godwitloft import clock as clocks
from godwitloft.gateway.callers import dialect as dialects

PAUSE_STATUS = 503
RETRY_AFTER = b"retry-after"
DATE = b"date"
IS_LEAVING = b"1"
# A longer pause is taken as this long: the upstream's clock may be wrong, and
# its process will have been replaced by then.
MAX_PAUSE_MS = 3_600_000


@dataclasses.dataclass(frozen=True)
class Pause:
    """The value of ``Retry-After``.

    :param duration_ms: how long the upstream wants no requests, 0 for no
        pause
    :param error: why the value can't be used, empty if it can
    """

    duration_ms: int
    error: str = ""


NO_PAUSE = Pause(0)


@dataclasses.dataclass(frozen=True)
class Limit:
    """The limit that an upstream names.

    :param per_s: requests a second that it takes at most, infinite if it names
        none
    :param value: as received
    :param error: why the value can't be used, empty if it can
    """

    per_s: float
    value: str = ""
    error: str = ""


NO_LIMIT = Limit(math.inf)


@dataclasses.dataclass(frozen=True)
class Signs:
    """What the head of an answer says about its upstream.

    :param leaving: whether it takes no new requests
    :param pause: how long it wants none
    :param retry_after: the value of ``Retry-After`` as received
    :param limit: how many requests a second it takes
    """

    leaving: bool
    pause: Pause
    retry_after: str = ""
    limit: Limit = NO_LIMIT


def read(
    status: int,
    headers: list[attempts.Header],
    dialect: dialects.Dialect,
    wall_ms: int,
) -> Signs:
    """Reads the signs in the head of an answer.

    :param status: HTTP status
    :param headers: all headers, names in lower case
    :param dialect: names of the headers
    :param wall_ms: the time of day, in Unix milliseconds, for an answer
        without ``Date``
    :return: the signs
    """
    leaving = False
    values = []
    limit = NO_LIMIT
    answered_wall_ms = wall_ms
    for name, value in headers:
        if name == dialect.leaving and value.strip() == IS_LEAVING:
            leaving = True
        elif name == RETRY_AFTER and status == PAUSE_STATUS:
            values.append(value.decode("latin-1").strip())
        elif name == dialect.limit:
            limit = parse_limit(value.decode("latin-1").strip())
        elif name == DATE:
            answered_wall_ms = read_date(value.decode("latin-1"), wall_ms)
    if not values:
        return Signs(leaving, NO_PAUSE, limit=limit)
    pauses = [parse_retry_after(value, answered_wall_ms) for value in values]
    longest = max(pauses, key=lambda pause: pause.duration_ms)
    return Signs(leaving, longest, ", ".join(values), limit)


def parse_limit(value: str) -> Limit:
    """Decodes the limit that an upstream names.

    :param value: requests a second, whole or decimal
    :return: the limit; an infinite one with an error if the value is negative
        or can't be read
    """
    try:
        per_s = float(value)
    except ValueError:
        return Limit(math.inf, value, "is not a number")
    if not math.isfinite(per_s):
        return Limit(math.inf, value, "is not a number")
    if per_s < 0:
        return Limit(math.inf, value, "is negative")
    return Limit(per_s, value)


def parse_retry_after(value: str, wall_ms: int) -> Pause:
    """Decodes the value of ``Retry-After``.

    :param value: seconds, whole or decimal, or an HTTP date
    :param wall_ms: the time of day, in Unix milliseconds
    :return: the pause, at most :data:`MAX_PAUSE_MS`; none with an error if the
        value is negative or can't be read
    """
    try:
        duration_ms = float(value) * clocks.MS_PER_S
    except ValueError:
        return parse_retry_date(value, wall_ms)
    if math.isnan(duration_ms):
        return Pause(0, "is not a number")
    if duration_ms < 0:
        return Pause(0, "is negative")
    return Pause(math.ceil(min(duration_ms, MAX_PAUSE_MS)))


def read_date(value: str, wall_ms: int) -> int:
    """Returns the time of day at which an upstream answered.

    A date in the same answer is compared with it, since the clocks of the
    upstream and of this machine may differ.

    :param value: value of ``Date``
    :param wall_ms: this machine's time of day, in Unix milliseconds
    :return: Unix milliseconds, this machine's if the date can't be read
    """
    try:
        date = email.utils.parsedate_to_datetime(value)
        return int(date.timestamp() * clocks.MS_PER_S)
    except (ValueError, TypeError, OverflowError):
        return wall_ms


def parse_retry_date(value: str, wall_ms: int) -> Pause:
    """Decodes an HTTP date in ``Retry-After``.

    :param value: the date
    :param wall_ms: the time of day, in Unix milliseconds
    :return: the time until then, none if it has passed
    """
    try:
        date = email.utils.parsedate_to_datetime(value)
        date_ms = date.timestamp() * clocks.MS_PER_S
    except (ValueError, TypeError, OverflowError):
        return Pause(0, "is neither a number of seconds nor a date")
    return Pause(math.ceil(min(max(0.0, date_ms - wall_ms), MAX_PAUSE_MS)))
