"""A runner's 503 that promises nothing reaches callers as a promise.

For some seconds a runner fails a part of its requests while its status check
is good: it runs them and then answers 503 without ``Godwitloft-Not-Executed``.
Callers retry after a promise, as PROTOCOL.md says. Checked is REFUSED: a
request that isn't idempotent is answered 503 and has run.
"""

import asyncio
import pathlib

from common import callers
from common import fleet
from common import http1
from common import runner as runners
from common import store as stores

SERVICE = "registry-app"
RUNNERS = 3
FAIL_SHARE = 0.45
GREY_S = 4.0
TRAFFIC_S = 8.0
GREY_AFTER_S = 2.0
REQUESTS_PER_S = 20
PROMISES = (408, 421, 429, 503)


class GreyRunner(runners.Runner):
    """A runner that may fail requests after it has run them."""

    grey = False
    count = 0

    async def work(
        self,
        request: http1.Request,
        writer: asyncio.StreamWriter,
        own: http1.Headers,
    ) -> None:
        """Runs one request, and fails a part of them.

        :param request: the request
        :param writer: its connection
        :param own: headers of all its answers
        """
        self.count += 1
        failing = self.count * FAIL_SHARE % 1 < FAIL_SHARE
        if not self.grey or not failing:
            await super().work(request, writer, own)
            return
        name = request.headers["godwitloft-request-id"]
        now_s = asyncio.get_running_loop().time()
        self.runs.append(runners.Run(name, self.name, now_s, "", ""))
        await asyncio.sleep(self.work_s)
        sealed = own | {"Godwitloft-Response-Seal": f"seal-{self.name}"}
        http1.answer(writer, 503, sealed, b"the database went away")


class Order:
    """One order of a caller: an attempt, and a retry after a promise.

    :param entry: the gateway that gets the first attempt
    :param other: the gateway that gets the retry
    """

    def __init__(self, entry: fleet.Program, other: fleet.Program) -> None:
        self.entries = (entry, other)
        self.attempts: list[callers.Sent] = []

    async def run(self) -> None:
        """Sends the order until it is served, twice at most."""
        call = callers.Call("/release-confirm/1", key="key-a")
        for entry in self.entries:
            sent = await callers.send(entry.front, call)
            self.attempts.append(sent)
            if sent.answer.status not in PROMISES:
                return
            await asyncio.sleep(0.3)


async def case(
    folder: pathlib.Path, record: fleet.Record, programs: list[fleet.Program]
) -> bool:
    """Runs the case.

    :param folder: for files
    :param record: the record
    :param programs: gets all processes
    :return: whether the rule was broken
    """
    network = fleet.Network()
    store = stores.Store()
    await store.start(network.host(1))
    runs: list[runners.Run] = []
    desks = [
        GreyRunner(store, f"i-{n}", SERVICE, network.host(100 + n), runs)
        for n in range(RUNNERS)
    ]
    for desk in desks:
        desk.slots = 6
        await desk.start()
    routes = [callers.route("release-confirm", "non_idempotent", SERVICE)]
    services = [callers.plain_service(SERVICE)]
    tenants = [callers.tenant("tenant-a", "key-a")]
    store.put("op", "config", callers.config(7, routes, services, tenants))
    for n in range(2):
        host = network.host(10 + n)
        programs.append(
            fleet.Program(folder, "entry", f"edge-{n}", host, store.address)
        )
    for program in programs:
        program.start()
    for program in programs:
        await program.wait_ready()
    await asyncio.sleep(4)  # in touch, contact-ms is 3,000
    orders = [
        Order(programs[n % 2], programs[(n + 1) % 2])
        for n in range(int(TRAFFIC_S * REQUESTS_PER_S))
    ]
    failing = asyncio.ensure_future(be_grey(desks, record))
    tasks = []
    for order in orders:
        tasks.append(asyncio.ensure_future(order.run()))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks, failing)
    return judge(record, orders, runs)


async def be_grey(desks: list[GreyRunner], record: fleet.Record) -> None:
    """Lets one runner fail requests for a while.

    :param desks: the runners
    :param record: the record
    """
    await asyncio.sleep(GREY_AFTER_S)
    if not fleet.with_trouble():
        return
    desks[0].grey = True
    record.say(f"{desks[0].name} fails {FAIL_SHARE:.2f} of its requests")
    await asyncio.sleep(GREY_S)
    desks[0].grey = False
    record.say(f"{desks[0].name} is sound again")


def judge(
    record: fleet.Record, orders: list[Order], runs: list[runners.Run]
) -> bool:
    """Counts promises that were false.

    :param record: the record
    :param orders: all orders
    :param runs: what ran
    :return: whether the rule was broken
    """
    ran = {run.id: run.runner for run in runs}
    false = 0
    twice = 0
    for number, order in enumerate(orders):
        for sent in order.attempts:
            status = sent.answer.status
            false += status in PROMISES and sent.id in ran
            record.note(
                f"order {number} request {sent.id} status={status}"
                f" ran at {ran.get(sent.id, 'none')}"
            )
        twice += sum(sent.id in ran for sent in order.attempts) > 1
    record.say(
        f"REFUSED: {false} requests were answered with a promise and had run;"
        f" {twice} of {len(orders)} orders ran twice"
    )
    return false > 0


if __name__ == "__main__":
    fleet.run(__file__, case)
