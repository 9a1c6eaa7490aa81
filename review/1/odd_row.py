"""A row of another writer stops all gateways from reading the list.

While requests come, a row with a ``state`` of another type appears among the
rows of the runners. Then one runner leaves as PROTOCOL.md says, and at the
end all processes are killed and start again. Two rules are checked: DRAIN
after the runner's leaving, RECOVER after the final fault.
"""

import asyncio
import pathlib
import signal
import time

import callers
import fleet
import runner as runners
import store as stores

SERVICE = "registry-app"
DRAIN_S = 2.0
# A runner goes on a little longer than that, then exits.
LINGER_S = 1.0
RECOVER_S = 12.0
REQUESTS_PER_S = 60
SERVED_BEFORE_S = 6.0
JUDGED_S = 5.0
MIN_RECOVERED = 0.25
ODD_ROW = {
    "service": SERVICE,
    "address": "127.0.0.1:9",
    "zone": "zone-a",
    "version": "v1",
    "slots": 6,
    "state": ["ready"],
    "sequence": 1,
    "born": 1,
}


class Traffic:
    """Requests at a steady rate.

    :param entries: the gateways, in turn
    """

    def __init__(self, entries: list[fleet.Program]) -> None:
        self.entries = entries
        self.tasks: list[asyncio.Task[callers.Sent]] = []

    async def run(self, seconds: float) -> list[callers.Sent]:
        """Sends requests for some time and waits for their ends.

        :param seconds: how long
        :return: all that were sent
        """
        tasks = []
        for number in range(int(seconds * REQUESTS_PER_S)):
            entry = self.entries[number % len(self.entries)]
            call = callers.Call("/release-confirm/1", key="key-a")
            tasks.append(asyncio.ensure_future(self.send(entry, call)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        return list(await asyncio.gather(*tasks))

    async def send(
        self, entry: fleet.Program, call: callers.Call
    ) -> callers.Sent:
        """Sends one request.

        :param entry: a gateway
        :param call: the request
        """
        return await callers.send(entry.front, call)


def note_all(record: fleet.Record, sent: list[callers.Sent]) -> None:
    """Writes what was sent and answered.

    :param record: the record
    :param sent: the requests
    """
    for request in sent:
        status = request.answer.status
        record.note(
            f"request {request.id} status={status}"
            f" complete={request.answer.complete}"
            f" took_ms={(request.ended_s - request.at_s) * 1000:.0f}"
        )


def served(sent: list[callers.Sent]) -> int:
    """Returns how many requests were served.

    :param sent: the requests
    """
    return sum(
        request.answer.status == 200 and request.answer.complete
        for request in sent
    )


async def case(
    folder: pathlib.Path, record: fleet.Record, programs: list[fleet.Program]
) -> bool:
    """Runs the case.

    :param folder: for files
    :param record: the record
    :param programs: gets all processes
    :return: whether a rule was broken
    """
    network = fleet.Network()
    store = stores.Store()
    await store.start(network.host(1))
    runs: list[runners.Run] = []
    fleet_of_runners = [
        runners.Runner(store, f"i-{n}", SERVICE, network.host(100 + n), runs)
        for n in range(3)
    ]
    for runner in fleet_of_runners:
        runner.slots = 6
        await runner.start()
    routes = [callers.route("release-confirm", "non_idempotent", SERVICE)]
    services = [callers.plain_service(SERVICE)]
    tenants = [callers.tenant("tenant-a", "key-a")]
    store.put("op", "config", callers.config(7, routes, services, tenants))
    for n in range(2):
        programs.append(
            fleet.Program(
                folder,
                "entry",
                f"edge-{n}",
                network.host(10 + n),
                store.address,
            )
        )
    for program in programs:
        program.start()
    for program in programs:
        await program.wait_ready()
    await asyncio.sleep(4)  # in touch, contact-ms is 3,000
    record.say("all processes are ready")
    if fleet.with_trouble():
        store.put("servers", "i-of-another-writer", ODD_ROW)
        record.say("the row of another writer was written")
    await asyncio.sleep(2)
    traffic = Traffic(programs)
    before = asyncio.ensure_future(traffic.run(SERVED_BEFORE_S))
    await asyncio.sleep(1)
    leaving = fleet_of_runners[0]
    leaving.state = "draining"
    acked_s = leaving.register()
    record.say(f"{leaving.name} is draining, acknowledged")
    await asyncio.sleep(DRAIN_S + LINGER_S)
    leaving.leave()
    record.say(f"{leaving.name} has exited")
    sent = await before
    note_all(record, sent)
    late = count_late(record, sent, runs, leaving.name, acked_s)
    share = served(sent) / len(sent)
    record.say(
        f"DRAIN: {late} requests that were sent later than {DRAIN_S} s after"
        f" the acknowledgement began at {leaving.name} or were lost with it"
    )
    record.say(f"before the final fault: {served(sent)} of {len(sent)} served")
    recovered = await final_fault(record, programs, traffic)
    return late > 0 or (share >= MIN_RECOVERED > recovered)


def count_late(
    record: fleet.Record,
    sent: list[callers.Sent],
    runs: list[runners.Run],
    leaving: str,
    acked_s: float,
) -> int:
    """Counts requests that reached the runner too late.

    :param record: the record
    :param sent: what was sent
    :param runs: what ran
    :param leaving: id of the runner that left
    :param acked_s: when its leaving was acknowledged
    :return: requests sent after the bound that ran there
    """
    at_s = {request.id: request.at_s for request in sent}
    late = [
        run
        for run in runs
        if run.runner == leaving and at_s.get(run.id, 0.0) > acked_s + DRAIN_S
    ]
    for run in late:
        record.note(
            f"run {run.id} at {leaving}, sent"
            f" {at_s[run.id] - acked_s:.3f} s after the acknowledgement"
        )
    lost = [
        request
        for request in sent
        if request.answer.status not in (200, 503, 429)
    ]
    record.say(f"answered with neither success nor a promise: {len(lost)}")
    return len(late)


async def final_fault(
    record: fleet.Record, programs: list[fleet.Program], traffic: Traffic
) -> float:
    """Kills all gateways, and starts them again after a short delay.

    :param record: the record
    :param programs: the gateways
    :param traffic: sends requests
    :return: share that is served later than ``recover-s``
    """
    for program in programs:
        program.signal(signal.SIGKILL)
    await asyncio.sleep(0.8)
    for program in programs:
        program.start()
    back_s = time.monotonic()
    record.say("all processes were killed and are back")
    await asyncio.sleep(RECOVER_S)
    for program in programs:
        record.say(f"{program.name} ready: {await program.is_ready()}")
    sent = await traffic.run(JUDGED_S)
    note_all(record, sent)
    record.say(
        f"RECOVER: {served(sent)} of {len(sent)} served that were sent"
        f" {RECOVER_S} s or more after they were back"
        f" ({time.monotonic() - back_s:.0f} s)"
    )
    return served(sent) / len(sent)


if __name__ == "__main__":
    fleet.run(__file__, case)
