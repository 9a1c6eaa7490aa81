"""Fits straight lines to costs measured at several sizes."""

import dataclasses
import gc
import math
import time
import tracemalloc
import typing

NS_PER_US = 1000


@dataclasses.dataclass(frozen=True)
class Slope:
    """Marginal cost of something: a line fitted to measured costs.

    :param name: what was measured
    :param per: what the size counts
    :param unit: unit of the cost
    :param sizes: measured sizes
    :param costs: total cost at each size
    :param slope: cost per unit of size, by least squares
    :param error: standard error of the slope
    :param base: fitted cost at size 0
    """

    name: str
    per: str
    unit: str
    sizes: tuple[int, ...]
    costs: tuple[float, ...]
    slope: float
    error: float
    base: float


def fit(
    name: str,
    per: str,
    unit: str,
    points: typing.Sequence[tuple[int, float]],
) -> Slope:
    """Fits a line by least squares.

    :param name: what was measured
    :param per: what the size counts
    :param unit: unit of the cost
    :param points: size and cost; at least three
    :return: the fitted line
    :raises ValueError: when there are too few points for a standard error
    """
    count = len(points)
    if count < 3:
        raise ValueError(f"{name!r} has {count} points, not 3 or more")
    mean_size = sum(size for size, _ in points) / count
    mean_cost = sum(cost for _, cost in points) / count
    size_deviation = sum((size - mean_size) ** 2 for size, _ in points)
    slope = (
        sum((size - mean_size) * (cost - mean_cost) for size, cost in points)
        / size_deviation
    )
    base = mean_cost - slope * mean_size
    residual = sum((cost - base - slope * size) ** 2 for size, cost in points)
    return Slope(
        name=name,
        per=per,
        unit=unit,
        sizes=tuple(size for size, _ in points),
        costs=tuple(round(cost, 3) for _, cost in points),
        slope=round_digits(slope),
        error=round_digits(math.sqrt(residual / (count - 2) / size_deviation)),
        base=round_digits(base),
    )


def round_digits(value: float, digits: int = 4) -> float:
    """Rounds to significant digits.

    :param value: any number
    :param digits: how many to keep
    :return: the rounded number
    """
    return float(f"{value:.{digits}g}")


def now_ns() -> int:
    """Returns the processor time of this process.

    :return: nanoseconds, user and system
    """
    return time.process_time_ns()


def time_us(action: typing.Callable[[], object]) -> float:
    """Returns the processor time of a call, without garbage collection.

    :param action: the call
    :return: microseconds, user and system
    """
    gc.collect()
    gc.disable()
    try:
        started_ns = now_ns()
        action()
        return (now_ns() - started_ns) / NS_PER_US
    finally:
        gc.enable()


def allocated_bytes(action: typing.Callable[[], object]) -> int:
    """Returns the bytes that Python's allocator still holds after a call.

    :param action: the call; its result is kept alive until the measurement
    :return: bytes
    """
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = action()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
        del kept
    finally:
        tracemalloc.stop()
    return after - before


def time_slope(
    name: str,
    per: str,
    sizes: typing.Sequence[int],
    prepare: typing.Callable[[int], typing.Callable[[], object]],
    rounds: int = 3,
) -> Slope:
    """Measures processor time at several sizes.

    The minimum of several rounds is used, since other processes can only
    increase the measured time.

    :param name: what is measured
    :param per: what the size counts
    :param sizes: sizes to measure
    :param prepare: builds the data for a size and returns the call to measure
    :param rounds: number of measurements of each size
    :return: the fitted line, in microseconds
    """
    points = [
        (size, min(time_us(prepare(size)) for _ in range(rounds)))
        for size in sizes
    ]
    return fit(name, per, "us", points)


def memory_slope(
    name: str,
    per: str,
    sizes: typing.Sequence[int],
    prepare: typing.Callable[[int], typing.Callable[[], object]],
) -> Slope:
    """Measures memory at several sizes.

    :param name: what is measured
    :param per: what the size counts
    :param sizes: sizes to measure
    :param prepare: builds the data for a size and returns the call to measure
    :return: the fitted line, in bytes
    """
    points = [(size, float(allocated_bytes(prepare(size)))) for size in sizes]
    return fit(name, per, "bytes", points)
