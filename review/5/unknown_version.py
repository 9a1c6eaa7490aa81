"""Streams of a gateway that fails as a new version appears can't go on.

Streams run at one gateway, all at runners of version v1. The first runner of
version v2 registers, and a moment later that gateway's machine freezes. Its
callers give up after the gap that PROTOCOL.md names, and take their streams
up again at the other gateway. Checked is LOST: the share of these streams
that goes on, against the share of new streams that begin.
"""

import asyncio
import dataclasses
import pathlib
import re
import signal

import callers
import fleet
import http1
import runner as runners
import store as stores

SERVICE = "lm-pool"
STREAMS = 16
MIN_STREAMS = 12
EVENTS = 140
EVENT_GAP_S = 0.05
# Eight times the pause of 300 ms that the route allows.
GIVE_UP_GAP_S = 2.4
DEADLINE_S = 12.0
RUN_BEFORE_S = 1.0
FREEZE_AFTER_S = 0.1
FREEZE_S = 4.0
EVENT_ID = re.compile(rb"id: (\d+)\n")


@dataclasses.dataclass
class Take:
    """One attempt of a caller at a stream.

    :param id: its ``Godwitloft-Request-Id``
    :param status: HTTP status, 0 if no head came
    :param last: id of the last event that came, empty for none
    :param ended: whether the end of the stream came
    """

    id: str
    status: int = 0
    last: str = ""
    ended: bool = False


async def take(
    entry: fleet.Program, before: Take | None, limit_s: float
) -> Take:
    """Sends a request for a stream and reads it until a gap.

    :param entry: the gateway
    :param before: the attempt whose stream is taken up, None for a new one
    :param limit_s: what is left of the caller's time limit, in seconds
    :return: what came
    """
    got = Take(f"{next(callers.NUMBERS):016x}")
    headers = {
        "Host": callers.HOST,
        "Godwitloft-Request-Id": got.id,
        "Godwitloft-Deadline-Ms": str(int(limit_s * 1000)),
        "Godwitloft-Model": "m",
        "Godwitloft-Token-Counts": "600,300",
        "Godwitloft-Prompt-Prefix": f"{got.id}:600",
        "Authorization": "Token key-a",
        "Content-Length": "0",
    }
    if before is not None:
        headers |= {"Resumes": before.id, "Last-Event-Id": before.last}
    try:
        channel = callers.connect(entry.front, slow=False)
        reader, writer = await asyncio.open_connection(sock=channel)
    except OSError:
        return got
    data = b""
    try:
        first = "POST /loan-query/1 HTTP/1.1"
        writer.write(http1.head_bytes(first, headers))
        while not data.endswith(b"\r\n0\r\n\r\n"):
            part = await asyncio.wait_for(reader.read(65_536), GIVE_UP_GAP_S)
            if not part:
                break
            data += part
            if data.startswith(b"HTTP/1.1 5") and b"}}" in data:
                break
    except (TimeoutError, OSError):
        pass
    finally:
        writer.close()
    got.status = int(data[9:12] or b"0")
    ids = EVENT_ID.findall(data)
    got.last = ids[-1].decode() if ids else ""
    got.ended = data.endswith(b"\r\n0\r\n\r\n")
    return got


async def use(entry: fleet.Program, other: fleet.Program) -> list[Take]:
    """Plays a caller that takes a broken stream up again, once.

    :param entry: the gateway of the first attempt
    :param other: the gateway of the second one
    :return: its attempts
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + DEADLINE_S
    first = await take(entry, None, DEADLINE_S)
    if first.ended or not first.last:
        return [first]
    return [first, await take(other, first, end_s - loop.time())]


async def freeze(program: fleet.Program, record: fleet.Record) -> None:
    """Freezes a machine for a while.

    :param program: its process
    :param record: the record
    """
    program.signal(signal.SIGSTOP)
    record.say(f"{program.name} is frozen")
    await asyncio.sleep(FREEZE_S)
    program.signal(signal.SIGCONT)
    record.say(f"{program.name} goes on")


async def start(
    folder: pathlib.Path,
    programs: list[fleet.Program],
    store: stores.Store,
) -> list[runners.Runner]:
    """Starts four runners with agents, and two gateways.

    :param folder: for files
    :param programs: gets all processes, the gateways first
    :param store: the store
    :return: four runners of version v1, and one of v2 that is not started
    """
    network = fleet.Network()
    await store.start(network.host(1))
    runs: list[runners.Run] = []
    engines = [
        runners.Runner(store, f"i-{n}", SERVICE, network.host(100 + n), runs)
        for n in range(5)
    ]
    engines[-1].version = "v2"
    for engine in engines:
        engine.events = EVENTS
        engine.event_gap_s = EVENT_GAP_S
    for engine in engines[:-1]:
        await engine.start()
    more = {"resumable": True, "max-attempts": 2, "timeout-ms": 12_000}
    routes = [callers.route("loan-query", "streaming", SERVICE, **more)]
    tenants = [callers.tenant("tenant-a", "key-a")]
    services = [callers.engine_service(SERVICE)]
    store.put("op", "config", callers.config(7, routes, services, tenants))
    for n in range(2):
        host = network.host(10 + n)
        programs.append(
            fleet.Program(folder, "entry", f"edge-{n}", host, store.address)
        )
    for n, engine in enumerate(engines[:-1]):
        programs.append(
            fleet.Program(
                folder,
                "agent",
                f"side-{n}",
                engine.host,
                store.address,
                engine.address,
            )
        )
    for program in programs:
        program.start()
    for program in programs[:2]:
        await program.wait_ready()
    await asyncio.sleep(5)  # in touch, contact-ms is 3,000
    return engines


async def case(
    folder: pathlib.Path, record: fleet.Record, programs: list[fleet.Program]
) -> bool:
    """Runs the case.

    :param folder: for files
    :param record: the record
    :param programs: gets all processes
    :return: whether the rule was broken
    """
    store = stores.Store()
    engines = await start(folder, programs, store)
    first, second = programs[:2]
    using = [
        asyncio.ensure_future(use(first, second)) for _number in range(STREAMS)
    ]
    await asyncio.sleep(RUN_BEFORE_S)
    await engines[-1].start()
    record.say("the first runner of version v2 has registered")
    await asyncio.sleep(FREEZE_AFTER_S)
    tasks = []
    if fleet.with_trouble():
        tasks.append(asyncio.ensure_future(freeze(first, record)))
    await asyncio.sleep(GIVE_UP_GAP_S)
    new = [
        asyncio.ensure_future(take(second, None, DEADLINE_S))
        for _number in range(STREAMS)
    ]
    old_takes = await asyncio.gather(*using)
    new_takes = await asyncio.gather(*new)
    await asyncio.gather(*tasks)
    return judge(record, old_takes, new_takes)


def judge(
    record: fleet.Record, old: list[list[Take]], new: list[Take]
) -> bool:
    """Compares the shares of streams that go on and that begin.

    :param record: the record
    :param old: attempts at each stream of the first gateway
    :param new: attempts at new streams
    :return: whether the rule was broken
    """
    for takes in old:
        for number, got in enumerate(takes):
            record.note(
                f"stream {takes[0].id} attempt {number + 1}"
                f" status={got.status} last event={got.last or 'none'}"
                f" ended={got.ended}"
            )
    taken_up = [takes[1] for takes in old if len(takes) > 1]
    gone_on = sum(bool(got.last) for got in taken_up)
    begun = sum(bool(got.last) for got in new) / len(new)
    record.say(
        f"LOST: {gone_on} of {len(taken_up)} streams that were taken up went"
        f" on; new streams that began: {begun:.2f}"
    )
    if len(taken_up) < MIN_STREAMS:
        return False
    return gone_on / len(taken_up) < begun / 2


if __name__ == "__main__":
    fleet.run(__file__, case)
