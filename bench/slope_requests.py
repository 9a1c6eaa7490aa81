"""Measures requests, bids and tokens at request manager and dispatcher."""

import functools
import hashlib
import random
import typing

from bench import slope_fit
from godwitloft import clock as clocks
from godwitloft import metrics
from godwitloft import settings as settings_module
from godwitloft import trace
from godwitloft.agent import dispatcher as dispatchers
from godwitloft.agent import upstream as upstreams
from godwitloft.entry import call as calls
from godwitloft.entry import request as requests
from godwitloft.entry import request_manager as request_managers
from godwitloft.entry import step_recorder
from godwitloft.links import codec
from godwitloft.links.generated.messages import ttypes
from godwitloft.runtime import daemon

Sent = list[tuple[str, str, typing.Any]]

BODY = b"x" * 2000
PREFIX_KEYS = tuple(range(1 << 60, (1 << 60) + 8))
TOKEN = b'data: {"choices":[{"index":0,"text":" word"}]}\n\n'
CHUNKS_PER_MESSAGE = 8
BIDS_PER_REQUEST = 16


def repeat(
    action: typing.Callable[[], None], count: int
) -> typing.Callable[[], None]:
    """Returns a call that repeats an action.

    :param action: the action
    :param count: number of repetitions
    :return: the call
    """

    def run() -> None:
        for _ in range(count):
            action()

    return run


def make_call(number: int) -> calls.Call:
    """Returns a call of a model.

    :param number: makes the body's fingerprint unique
    :return: the call
    """
    return calls.Call(
        team=f"team-{number % 50}",
        team_weight=1,
        tier="gold",
        tier_rank=0,
        service="m",
        pools=("p",),
        method="POST",
        path="/v1/completions",
        headers={"content-type": "application/json"},
        body=BODY + str(number).encode(),
        stream=True,
        is_model=True,
        idempotent=False,
        timeout_ms=60_000,
        prompt_tokens=400,
        output_tokens=200,
        prefix_keys=PREFIX_KEYS,
        fingerprint=f"{number:032x}",
    )


def hello(role: str, name: str) -> ttypes.Hello:
    """Returns the hello of a peer.

    :param role: ``entry`` or ``agent``
    :param name: its instance
    :return: the message
    """
    return ttypes.Hello(1, role, name, f"{name}-1", "zone", 0, "p", name)


@functools.cache
def instruments() -> metrics.Instruments:
    """Returns the metric instruments of a daemon.

    :return: the same instruments at each call
    """
    return metrics.prometheus()[0]


def no_trace(clock: clocks.Clock) -> trace.Recorder:
    """Returns the recorder of a daemon that writes no trace.

    :param clock: the clock
    :return: the recorder
    """
    return daemon.make_recorder(
        settings_module.TraceStream.NONE, clock, "bench", "bench-1"
    )


def make_manager(agents: int) -> tuple[request_managers.RequestManager, Sent]:
    """Returns a request manager with linked agents, and its messages.

    :param agents: number of agents
    :return: the request manager and the list that collects its messages
    """
    clock = clocks.system_clock()
    sent: Sent = []

    def send(peer: str, name: str, body: codec.Body) -> bool:
        sent.append((peer, name, body))
        return True

    manager = request_managers.RequestManager(
        clock=clock,
        incarnation="entry-1",
        send=send,
        recorder=step_recorder.StepRecorder(clock, no_trace(clock)),
        instruments=instruments(),
        settings=request_managers.RequestManagerSettings(
            max_waiting=1_000_000
        ),
        generation=lambda: 1,
        rng=random.Random(1),
    )
    for number in range(agents):
        manager.peer_up(hello("agent", f"agent-{number}"))
    return manager, sent


def accept_many(
    manager: request_managers.RequestManager, count: int
) -> list[str]:
    """Makes a request manager accept requests.

    :param manager: the request manager
    :param count: number of requests
    :return: their ids
    """
    return [
        manager.accept(make_call(number), lambda _answer: None)
        for number in range(count)
    ]


def manager_bids(agents: int) -> typing.Callable[[], object]:
    """Prepares the acceptance of one request after another.

    :param agents: number of agents that get a bid for each request
    :return: call that accepts 200 requests
    """
    manager, _sent = make_manager(agents)
    return lambda: accept_many(manager, 200)


def manager_cycle(count: int) -> typing.Callable[[], object]:
    """Prepares requests that are accepted, bid, run and answered.

    :param count: number of requests
    :return: call that handles all of them, one after another
    """
    manager, _sent = make_manager(BIDS_PER_REQUEST)
    digest = empty_digest()

    def run() -> None:
        for number in range(count):
            run_id = manager.accept(make_call(number), lambda _answer: None)
            manager.receive("agent-0", "pull", ttypes.Pull(run_id))
            manager.receive("agent-0", "started", ttypes.Started(run_id))
            manager.receive(
                "agent-0", "ended", ended_message(run_id, 0, digest)
            )
        assert not manager.requests

    return run


def ended_message(run_id: str, count: int, digest: str) -> ttypes.Ended:
    """Returns the end message of a completed run.

    :param run_id: id of the run
    :param count: number of chunks of its answer
    :param digest: digest of its answer
    :return: the message
    """
    return ttypes.Ended(
        run_id, "completed", count, digest, 200, "", 400, 200, "text/plain"
    )


def empty_digest() -> str:
    """Returns the digest of an answer without chunks.

    :return: hexadecimal
    """
    return hashlib.blake2b(digest_size=requests.DIGEST_BYTES).hexdigest()


def manager_tokens(count: int) -> typing.Callable[[], object]:
    """Prepares a request manager that receives chunks of one token each.

    :param count: number of chunks; each message holds eight
    :return: call that receives all of them
    """
    manager, _sent = make_manager(1)
    run_id = manager.accept(make_call(1), lambda _answer: None)
    manager.receive("agent-0", "pull", ttypes.Pull(run_id))
    messages = [
        chunks_message(run_id, first)
        for first in range(0, count, CHUNKS_PER_MESSAGE)
    ]

    def run() -> None:
        for message in messages:
            manager.receive("agent-0", "chunks", message)
        assert manager.requests[run_id].next_sequence == count

    return run


def chunks_message(run_id: str, first: int) -> ttypes.Chunks:
    """Returns a message with eight chunks of one token each.

    :param run_id: id of the run
    :param first: sequence number of the first chunk
    :return: the message
    """
    return ttypes.Chunks(
        [
            ttypes.Chunk(run_id, first + index, TOKEN, 1)
            for index in range(CHUNKS_PER_MESSAGE)
        ]
    )


def manager_waiting(count: int) -> typing.Callable[[], object]:
    """Prepares requests that wait at a request manager, with 16 bids each.

    :param count: number of requests
    :return: call that accepts them and returns the request manager
    """
    manager, sent = make_manager(BIDS_PER_REQUEST)

    def run() -> object:
        for number in range(count):
            manager.accept(make_call(number), lambda _answer: None)
            sent.clear()
        return manager

    return run


def manager_tick(count: int) -> typing.Callable[[], object]:
    """Prepares the periodic work of a request manager with requests.

    :param count: number of open requests
    :return: call of one hundred ticks
    """
    manager, _sent = make_manager(1)
    accept_many(manager, count)
    return repeat(manager.tick, 100)


def make_dispatcher(
    max_running: int,
) -> tuple[dispatchers.Dispatcher, Sent]:
    """Returns a dispatcher with one entry, and its messages.

    :param max_running: concurrent runs on its upstream
    :return: the dispatcher and the list that collects its messages
    """
    clock = clocks.system_clock()
    sent: Sent = []

    def send(peer: str, name: str, body: codec.Body) -> bool:
        sent.append((peer, name, body))
        return True

    def ignore(*_arguments: object) -> None:
        pass

    dispatcher = dispatchers.Dispatcher(
        clock=clock,
        send=send,
        upstream=upstreams.Upstream(ignore, ignore, ignore, ignore, ignore),
        recorder=no_trace(clock),
        instruments=instruments(),
        settings=dispatchers.DispatcherSettings(
            max_running=max_running,
            policy=settings_module.AgentPolicy(learn_room=False),
        ),
    )
    dispatcher.peer_up(hello("entry", "entry"))
    return dispatcher, sent


def make_bid(number: int) -> ttypes.Bid:
    """Returns the bid of a call.

    :param number: number of the request
    :return: the message
    """
    return ttypes.Bid(
        request_id=f"entry-1-{number}",
        tier_rank=0,
        team=f"team-{number % 50}",
        team_weight=1,
        service_name="m",
        deadline_in_ms=600_000,
        prompt_tokens=40,
        output_tokens=200,
        prefix_keys=list(PREFIX_KEYS),
        fingerprint=f"{number:032x}",
        urgent=False,
        hold_ms=0,
        generation=1,
        isolate=False,
        agents=BIDS_PER_REQUEST,
    )


def make_dispatch(run_id: str) -> ttypes.Dispatch:
    """Returns the dispatch of a run.

    :param run_id: id of the run
    :return: the message
    """
    return ttypes.Dispatch(
        run_id, "POST", "/v1/completions", {}, BODY, True, 600_000, False, 1
    )


def start_runs(dispatcher: dispatchers.Dispatcher, count: int) -> None:
    """Makes a dispatcher pull and start runs.

    :param dispatcher: the dispatcher
    :param count: number of runs
    """
    for number in range(count):
        dispatcher.receive("entry", "bid", make_bid(number))
        run_id = f"entry-1-{number}"
        dispatcher.receive("entry", "dispatch", make_dispatch(run_id))
        dispatcher.upstream_data(run_id, TOKEN, 1, 200, "")
    assert len(dispatcher.runs) == count, len(dispatcher.runs)


def dispatcher_bids(count: int) -> typing.Callable[[], object]:
    """Prepares bids at an upstream that is full.

    :param count: number of bids
    :return: call that receives all of them
    """
    dispatcher, _sent = make_dispatcher(8)
    start_runs(dispatcher, 8)
    bids = [make_bid(1000 + number) for number in range(count)]

    def run() -> None:
        for bid in bids:
            dispatcher.receive("entry", "bid", bid)

    return run


def dispatcher_lost_bids(count: int) -> typing.Callable[[], object]:
    """Prepares bids at a full upstream that other agents then pull.

    :param count: number of bids
    :return: call that receives each of them and its withdrawal
    """
    dispatcher, _sent = make_dispatcher(8)
    start_runs(dispatcher, 8)

    def run() -> None:
        for number in range(1000, 1000 + count):
            bid = make_bid(number)
            dispatcher.receive("entry", "bid", bid)
            withdraw = ttypes.Withdraw(bid.request_id)
            dispatcher.receive("entry", "withdraw", withdraw)

    return run


def dispatcher_full_bids(running: int) -> typing.Callable[[], object]:
    """Prepares bids at an upstream that is full of running requests.

    :param running: number of running requests
    :return: call that receives 100 bids, each with its withdrawal
    """
    dispatcher, _sent = make_dispatcher(running)
    start_runs(dispatcher, running)

    def run() -> None:
        for number in range(1000, 1100):
            bid = make_bid(number)
            dispatcher.receive("entry", "bid", bid)
            withdraw = ttypes.Withdraw(bid.request_id)
            dispatcher.receive("entry", "withdraw", withdraw)

    return run


def dispatcher_cycle(count: int) -> typing.Callable[[], object]:
    """Prepares whole runs at an upstream that runs one at a time.

    :param count: number of runs
    :return: call that handles all of them, one after another
    """
    dispatcher, _sent = make_dispatcher(8)

    def run() -> None:
        for number in range(count):
            complete_run(dispatcher, number)
        assert not dispatcher.runs

    return run


def complete_run(dispatcher: dispatchers.Dispatcher, number: int) -> None:
    """Completes one run: bid, pull, dispatch, one token, end.

    :param dispatcher: a dispatcher below its concurrency limit
    :param number: number of the request
    """
    run_id = f"entry-1-{number}"
    dispatcher.receive("entry", "bid", make_bid(number))
    dispatcher.receive("entry", "dispatch", make_dispatch(run_id))
    dispatcher.upstream_data(run_id, TOKEN, 1, 200, "")
    dispatcher.upstream_ended(run_id, upstreams.End.COMPLETED, "", 400, 200)
    dispatcher.receive("entry", "ack", ttypes.Ack(run_id, 1, True))


def dispatcher_running(running: int) -> typing.Callable[[], object]:
    """Prepares runs at an upstream that runs many others.

    :param running: number of other runs
    :return: call that completes 100 runs, one after another
    """
    dispatcher, _sent = make_dispatcher(running + 8)
    start_runs(dispatcher, running)

    def run() -> None:
        for number in range(1000, 1100):
            complete_run(dispatcher, number)
        assert len(dispatcher.runs) == running

    return run


def dispatcher_tick(running: int) -> typing.Callable[[], object]:
    """Prepares the periodic work of a dispatcher that has runs.

    :param running: number of runs
    :return: call of one hundred ticks
    """
    dispatcher, _sent = make_dispatcher(running + 8)
    start_runs(dispatcher, running)
    return repeat(dispatcher.tick, 100)


def dispatcher_tokens(count: int) -> typing.Callable[[], object]:
    """Prepares tokens of eight runs that are sent in shared messages.

    :param count: number of tokens; a message is sent after one of each run
    :return: call that handles all of them
    """
    dispatcher, _sent = make_dispatcher(CHUNKS_PER_MESSAGE + 8)
    start_runs(dispatcher, CHUNKS_PER_MESSAGE)
    names = tuple(dispatcher.runs)

    def run() -> None:
        for number in range(count // CHUNKS_PER_MESSAGE):
            # Avoids the wait between flushes.
            dispatcher.last_flush_ms = dispatcher.clock.monotonic_ms()
            for run_id in names:
                dispatcher.upstream_data(run_id, TOKEN, 1, 200, "")
            dispatcher.flush()
            for run_id in names:
                if number % request_managers.ACK_INTERVAL_CHUNKS == 0:
                    acknowledge(dispatcher, run_id)

    return run


def acknowledge(dispatcher: dispatchers.Dispatcher, run_id: str) -> None:
    """Acknowledges all chunks of a run, so that the dispatcher drops them.

    :param dispatcher: the dispatcher
    :param run_id: id of the run
    """
    sequence = dispatcher.runs[run_id].next_sequence
    dispatcher.receive("entry", "ack", ttypes.Ack(run_id, sequence, False))


def measure() -> list[slope_fit.Slope]:
    """Measures all slopes of this module.

    :return: the slopes
    """
    time_slope = slope_fit.time_slope
    counts = (200, 400, 800)
    return [
        time_slope(
            "desk_bid", "agent, for 200 requests", (4, 8, 16), manager_bids
        ),
        time_slope("desk_request", "request", counts, manager_cycle),
        time_slope("desk_token", "token", (1600, 3200, 6400), manager_tokens),
        time_slope(
            "desk_tick", "open request, 100 ticks", counts, manager_tick
        ),
        slope_fit.memory_slope(
            "desk_waiting", "waiting request", counts, manager_waiting
        ),
        time_slope("dispatcher_bid", "bid", counts, dispatcher_bids),
        time_slope("dispatcher_lost_bid", "bid", counts, dispatcher_lost_bids),
        time_slope(
            "dispatcher_full_bid",
            "running request, for 100 bids",
            (16, 64, 128, 256),
            dispatcher_full_bids,
            2,
        ),
        time_slope("dispatcher_request", "request", counts, dispatcher_cycle),
        time_slope(
            "dispatcher_running",
            "running request, for 100 requests",
            (16, 64, 128, 256),
            dispatcher_running,
            2,
        ),
        time_slope(
            "dispatcher_tick",
            "running request, 100 ticks",
            (16, 64, 128, 256),
            dispatcher_tick,
        ),
        time_slope(
            "dispatcher_token", "token", (1600, 3200, 6400), dispatcher_tokens
        ),
    ]
