"""Builds the platform that a process's settings name, with its guard."""

import dataclasses
import typing

from godwitloft import clock as clocks
from godwitloft import metrics
from godwitloft import settings
from godwitloft.store import guard
from godwitloft.store import http
from godwitloft.store import memory
from godwitloft.store import port

REASON_PREFIX = "platform_"
# With the defaults timeout of 2 s: 3 s for an attempt, 10 s for a call.
ATTEMPT_SHARE = 1.5
CALL_SHARE = 5


def connect(
    platform_settings: settings.Platform,
    reactor: typing.Any,
    instruments: metrics.Instruments,
    live_processes: typing.Callable[[], int] = lambda: 1,
    store: memory.Store | None = None,
) -> port.Platform:
    """Returns the guarded platform of a process.

    :param platform_settings: where the platform is
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

    if platform_settings.kind is settings.PlatformKind.HTTP:
        url = platform_settings.url.rstrip("/")
        adapter = http.platform(url, reactor, platform_settings.timeout_ms)
    else:
        memory_store = store or embedded_store(reactor)
        adapter = memory.platform(
            memory_store, reactor, timeout_ms=platform_settings.timeout_ms
        )
    return guard.Guard(
        adapter,
        reactor,
        bounds(platform_settings),
        live_processes,
        on_retry=count_retry,
        on_refusal=count_refusal,
    ).platform()


def bounds(platform_settings: settings.Platform) -> guard.GuardSettings:
    """Returns the bounds on the calls of a process.

    :param platform_settings: where the platform is and how long to wait for it
    :return: no rates for a platform in memory, which only this process
        uses; limits in time that leave the adapter its timeout
    """
    defaults = guard.GuardSettings(
        attempt_limit_ms=platform_settings.timeout_ms * ATTEMPT_SHARE,
        call_limit_ms=platform_settings.timeout_ms * CALL_SHARE,
    )
    if platform_settings.kind is settings.PlatformKind.HTTP:
        return defaults
    return dataclasses.replace(
        defaults, fleet_reads_per_s=0, fleet_writes_per_s=0
    )


def embedded_store(reactor: typing.Any) -> memory.Store:
    """Returns a store in memory that takes any number of calls.

    :param reactor: gives its time
    :return: an empty store
    """
    return memory.Store(
        clocks.reactor_clock(reactor),
        memory.StoreSettings(reads_per_s=0, writes_per_s=0),
    )
