"""Names what may crash upstreams, and what gateways tell each other of it."""

import dataclasses
import typing

REQUEST_PREFIX = "request:"
PART_PREFIX = "part:"
# Whole requests are more specific than any part of their prompts.
REQUEST_POSITION = 1_000


@dataclasses.dataclass(frozen=True)
class CrashReport:
    """A crash of an upstream, as told to others.

    :param id: its id, the same at all gateways
    :param age_ms: time since then
    :param causes: what may have caused it, parts in their order in the prompts
    """

    id: str
    age_ms: int
    causes: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class SoundReport:
    """A proof that a cause is sound, as told to others.

    :param cause: the request or part
    :param age_ms: time since then
    """

    cause: str
    age_ms: int


@dataclasses.dataclass(frozen=True)
class BlameReport:
    """A blame, as told to others and saved.

    What is saved has causes with too few crashes for a blame as well.

    :param cause: the request or part
    :param crashes: its last crashes, at most as many as are needed for a
        blame, without other causes
    :param trials: how many trials of it were started
    :param trial_age_ms: time since the last one
    """

    cause: str
    crashes: tuple[CrashReport, ...]
    trials: int = 0
    trial_age_ms: int = 0


def request_cause(fingerprint: bytes) -> str:
    """Returns a whole request as a cause of crashes.

    :param fingerprint: fingerprint of the request
    """
    return REQUEST_PREFIX + fingerprint.hex()


def part_causes(parts: typing.Iterable[str]) -> tuple[str, ...]:
    """Returns parts of a prompt as causes of crashes.

    :param parts: their ids
    """
    return tuple(PART_PREFIX + part for part in parts)


def is_request(cause: str) -> bool:
    """Returns whether a cause is a whole request, not a part of prompts.

    :param cause: a cause of crashes
    """
    return cause.startswith(REQUEST_PREFIX)


def positions(causes: typing.Sequence[str]) -> dict[str, int]:
    """Returns how specific each cause in a request is.

    :param causes: parts in their order in the prompt, and the whole
    """
    found: dict[str, int] = {}
    for index, cause in enumerate(causes):
        position = REQUEST_POSITION if is_request(cause) else index
        found[cause] = max(position, found.get(cause, 0))
    return found


def merge_positions(
    merged: dict[str, int], added: typing.Mapping[str, int]
) -> None:
    """Adds the causes of one request to those of a crash.

    :param merged: how specific each cause is, which is changed
    :param added: the same of one request
    """
    for cause, position in added.items():
        merged[cause] = max(position, merged.get(cause, 0))
