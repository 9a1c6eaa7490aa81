"""Measures marginal costs for docs/CAPACITY.md.

Only processor time and memory are measured, since wall-clock time depends on
what else runs.
"""

import dataclasses
import json
import os
import pathlib
import platform
import typing

from bench import slope_fit
from bench import slope_fleet
from bench import slope_links
from bench import slope_objects
from bench import slope_requests
from bench import slope_rest


@dataclasses.dataclass(frozen=True)
class Measured:
    """All measurements from which the page is computed.

    :param python: version of the interpreter
    :param processors: number of processors
    :param slopes: by name
    :param frame_bytes: size on a link by kind of message
    :param rest_kb: resident memory that each step adds, by role
    """

    python: str
    processors: int
    slopes: typing.Mapping[str, slope_fit.Slope]
    frame_bytes: typing.Mapping[str, int]
    rest_kb: typing.Mapping[str, typing.Mapping[str, float]]


def measure() -> Measured:
    """Measures all slopes; takes one to two minutes.

    :return: the figures
    """
    # The links come last: they run the reactor, which cannot be restarted.
    slopes = [
        *slope_requests.measure(),
        *slope_objects.measure(),
        *slope_fleet.measure(),
        *slope_links.measure(),
    ]
    return Measured(
        python=platform.python_version(),
        processors=os.cpu_count() or 1,
        slopes={slope.name: slope for slope in slopes},
        frame_bytes=slope_links.frame_bytes(),
        rest_kb={
            role: slope_rest.measure_role(role) for role in slope_rest.ROLES
        },
    )


def write(path: str, measured: Measured) -> None:
    """Writes the figures.

    :param path: name of the file
    :param measured: the figures
    """
    text = json.dumps(dataclasses.asdict(measured), indent=1)
    pathlib.Path(path).write_text(text + "\n", encoding="utf-8")


def read(path: pathlib.Path) -> Measured:
    """Reads the figures.

    :param path: the file
    :return: the figures
    """
    value = json.loads(path.read_text(encoding="utf-8"))
    slopes = {
        name: slope_fit.Slope(
            **{
                **slope,
                "sizes": tuple(slope["sizes"]),
                "costs": tuple(slope["costs"]),
            }
        )
        for name, slope in value.pop("slopes").items()
    }
    return Measured(slopes=slopes, **value)
