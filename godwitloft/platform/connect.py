"""Builds the platform that a process's settings name, with its guard."""

import typing

from godwitloft import clock as clocks
from godwitloft import metrics
from godwitloft import settings
from godwitloft.platform import guard
from godwitloft.platform import http
from godwitloft.platform import memory
from godwitloft.platform import port

REASON_PREFIX = "platform_"


def connect(
    place: settings.Platform,
    reactor: typing.Any,
    instruments: metrics.Instruments,
    live_processes: typing.Callable[[], int] = lambda: 1,
    store: memory.Store | None = None,
) -> port.Platform:
    """Returns the guarded platform of a process.

    :param place: where the platform is
    :param reactor: makes connections and gives timers
    :param instruments: count retries and refusals, with the reason
    :param live_processes: how many processes share the fleet's rates; ask
        the membership, which knows better than the list
    :param store: for a platform in memory: what holds its data, so that
        the daemons of one process can share it; None: a new one
    :return: the port
    """

    def count_retry(reason: str) -> None:
        instruments.retries.add(1, {"reason": REASON_PREFIX + reason})

    def count_refusal(reason: str) -> None:
        instruments.refusals.add(1, {"reason": REASON_PREFIX + reason})

    if place.kind is settings.PlatformKind.HTTP:
        inner = http.platform(place.url.rstrip("/"), reactor)
        bounds = guard.GuardSettings()
    else:
        held = store or embedded_store(reactor)
        inner = memory.platform(held, reactor)
        bounds = guard.GuardSettings(fleet_reads_per_s=0, fleet_writes_per_s=0)
    return guard.Guard(
        inner,
        reactor,
        bounds,
        live_processes,
        on_retry=count_retry,
        on_refusal=count_refusal,
    ).platform()


def embedded_store(reactor: typing.Any) -> memory.Store:
    """Returns a store in memory that takes any number of calls.

    :param reactor: gives its time
    :return: an empty store
    """
    return memory.Store(
        clocks.reactor_clock(reactor),
        memory.StoreSettings(reads_per_s=0, writes_per_s=0),
    )
