"""Builds the platform client that a process's settings describe."""

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
# Multiples of the adapter's timeout. With the default of 2 s an attempt may
# take 3 s and a call 10 s.
ATTEMPT_SHARE = 1.5
CALL_SHARE = 5


def connect(
    platform_settings: settings.Platform,
    reactor: typing.Any,
    instruments: metrics.Instruments,
    live_processes: typing.Callable[[], int] = lambda: 1,
    store: memory.Store | None = None,
) -> port.Platform:
    """Returns the platform of a process, wrapped in a guard.

    :param platform_settings: which platform, its URL and its timeout
    :param reactor: makes connections and gives timers
    :param instruments: count retries and refusals by reason
    :param live_processes: returns how many processes share the fleet's rates;
        the membership is a better source than the lagging instance list
    :param store: data of a platform in memory, so that the daemons of one
        process can share it; None: a new, empty store
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
    """Returns the limits on the calls of a process.

    :param platform_settings: which platform, and its timeout
    :return: the limits; no rate limits for a platform in memory, which only
        this process uses; the time limits are longer than the adapter's
        timeout
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
    """Returns a store in memory without rate limits.

    :param reactor: gives the time
    :return: an empty store
    """
    return memory.Store(
        clocks.reactor_clock(reactor),
        memory.StoreSettings(reads_per_s=0, writes_per_s=0),
    )
