"""Writes of which the answer was lost are performed seconds later."""

import asyncio
import os
import pathlib
import random
import re
import signal
import sys
import time

from rig import bed as beds

# TROUBLE=0 leaves the disruption out.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# In a release, the new runners start before the old ones leave.
OLD_RUNNERS = 2
NEW_RUNNERS = 5
SLOTS = 28
EVENTS = 150
GAP_MS = 70
DEADLINE_MS = 12_000
PER_S = 16
TRAFFIC_S = 12.0
# Until all gateways use the new version.
SETTLE_S = 8.0
# The disturbance of the store: kind platform_lost, how late.
LOST_FROM_S = 3.0
LOST_FOR_S = 4.5
LOST_SHARE = 0.35
LATE_S = (1.0, 6.0)
# Once all late writes have been performed.
KILL_S = LOST_FROM_S + LOST_FOR_S + LATE_S[1] + 0.3
MAX_JOINED = 2
WORK = {"events": EVENTS, "gap_ms": GAP_MS}
TOKENS = {"Godwitloft_Model": "m", "Godwitloft_Token_Counts": "500,500"}
EVENT = re.compile(rb"id: (\d+)\ndata: \S+ \d+ (\S+)\n\n")
CONFIG = {
    "routes": [
        {
            "name": "loan",
            "host": beds.HOST,
            "prefix": "/s/",
            "kind": "streaming",
            "timeout-ms": DEADLINE_MS,
            "target-latency-ms": 400,
            "priority": 1,
            "service": "model",
            "max-attempts": 2,
            "public": False,
            "session-affinity": True,
            "resumable": True,
            "gap-aim-ms": 300,
        },
    ],
    "services": [
        {
            "name": "model",
            "health-path": "/health",
            "max-connections": 360,
            "engine": {"slots": SLOTS, "kv-capacity-tokens": 500_000},
        },
    ],
    "tenants": [{"name": "team", "api-keys": [beds.KEY]}],
}


async def start_runner(bed: beds.Bed, number: int, version: str) -> None:
    """Starts a runner.

    :param bed: the store and the programs
    :param number: of the runner
    :param version: of its software
    """
    options = ("--version", version, "--slots", str(SLOTS))
    await bed.start(
        bed.runner(f"model-{number}", "model", 20 + number, *options)
    )


async def read_stream(
    bed: beds.Bed, first: str, second: str
) -> list[tuple[int, str]]:
    """Reads a stream, and goes on at another entry if it breaks off.

    :param bed: the entries
    :param first: name of the entry
    :param second: name of the entry for the second try
    :return: number and software version of each event
    """
    end = time.monotonic() + DEADLINE_MS / beds.MS_PER_S
    answer = await bed.call(
        bed.fronts[first], "/s/1", WORK, DEADLINE_MS, **TOKENS
    )
    events = EVENT.findall(answer.body)
    left_ms = int((end - time.monotonic()) * beds.MS_PER_S)
    if answer.status == 200 and not answer.complete and events and left_ms > 0:
        again = await bed.call(
            bed.fronts[second],
            "/s/1",
            WORK,
            left_ms,
            **TOKENS,
            Last_Event_Id=events[-1][0].decode(),
            Resumes=answer.id,
        )
        events += EVENT.findall(again.body)
        bed.record(
            what="taken_up",
            first=answer.id,
            again=again.id,
            versions=sorted({version.decode() for _, version in events}),
        )
    return [(int(number), version.decode()) for number, version in events]


async def idle() -> None:
    """Does nothing."""


async def play(bed: beds.Bed) -> list[str]:
    """Plays the case.

    :param bed: the store and the programs
    :return: how the rule was broken
    """
    await bed.configure(1, **CONFIG)
    for number in range(OLD_RUNNERS):
        await start_runner(bed, number, "v1")
    for name, host in (("entry-0", 10), ("entry-1", 11)):
        await bed.start(bed.entry(name, host))
    for name in ("entry-0", "entry-1"):
        await bed.wait_ready(name)
    await asyncio.sleep(1.0)
    for number in range(NEW_RUNNERS):
        await start_runner(bed, OLD_RUNNERS + number, "v2")
    await asyncio.sleep(SETTLE_S)
    started = time.monotonic()
    rng = random.Random()
    if HAS_TROUBLE and os.environ.get("LOST", "1") != "0":
        bed.store.lose_writes(
            LOST_SHARE, started + LOST_FROM_S, LOST_FOR_S, LATE_S, rng
        )
    calls = []

    async def kill() -> None:
        await asyncio.sleep(KILL_S)
        bed.record(what="kill", program="entry-0")
        bed.programs["entry-0"].signal(signal.SIGKILL)

    killing = asyncio.create_task(kill() if HAS_TROUBLE else idle())
    for number in range(int(PER_S * TRAFFIC_S)):
        delay_s = started + number / PER_S - time.monotonic()
        await asyncio.sleep(max(0.0, delay_s))
        names = ("entry-0", "entry-1")
        if number % 2:
            names = ("entry-1", "entry-0")
        calls.append(asyncio.create_task(read_stream(bed, *names)))
    streams = await asyncio.gather(*calls)
    await killing
    broken = []
    for stream in streams:
        versions = sorted({version for _, version in stream})
        if len(versions) > 1:
            changes = [
                number
                for (_, before), (number, version) in zip(
                    stream, stream[1:], strict=False
                )
                if before != version
            ]
            broken.append(f"one stream of {versions}, changes at {changes}")
    return broken if len(broken) > MAX_JOINED else []


if __name__ == "__main__":
    sys.exit(beds.run(pathlib.Path(__file__).parent, play))
