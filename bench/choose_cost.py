"""Measures the processor time of one choice over many offers.

Run it with ``python -m bench.choose_cost``; it prints one line of JSON for
each number of offers.
"""

import json
import random
import time
import typing

from godwitloft.policy import learnt_speeds
from godwitloft.policy import offer_book
from godwitloft.policy import running_limits
from godwitloft.policy import selection
from godwitloft.policy import types

SIZES = (10, 100, 1000, 10_000)
ROUNDS = 300
SEED = 1


def make_offer(rng: random.Random, name: str) -> types.Offer:
    """Returns a random offer.

    :param rng: source of randomness
    :param name: id of the request
    :return: an offer of one of 4 tiers and 50 teams
    """
    return types.Offer(
        request_id=name,
        entry="entry",
        tier_rank=rng.randrange(4),
        team=f"team-{rng.randrange(50)}",
        team_weight=1,
        service="model",
        deadline_ms=rng.randrange(60_000, 90_000),
        prompt_tokens=rng.randrange(20, 5000),
        output_tokens=200,
        prefix_keys=(),
        fingerprint=name,
    )


def cost_us(action: typing.Callable[[], object], rounds: int) -> float:
    """Returns the processor time of a call.

    :param action: the call
    :param rounds: number of calls
    :return: microseconds per call
    """
    started_ns = time.process_time_ns()
    for _ in range(rounds):
        action()
    return (time.process_time_ns() - started_ns) / rounds / 1000


def measure(size: int) -> dict[str, float]:
    """Measures the choices over a number of offers.

    :param size: offers in the book
    :return: microseconds by kind of call
    """
    rng = random.Random(SEED)
    offers = [make_offer(rng, f"offer-{index}") for index in range(size)]
    book = offer_book.OfferBook()
    for offer in offers:
        book.add(offer)
    running = [
        types.Running(f"run-{index}", 1, "team-1", index, 0, 100, "f")
        for index in range(16)
    ]
    speeds = learnt_speeds.Speeds(4.0, (20.0,) * learnt_speeds.BATCH_BUCKETS)
    caps = running_limits.ConcurrencyLimits(
        max_running=32, max_unprefilled_tokens=10_000
    )
    view = types.UpstreamView(speeds, caps, resumable=True)
    usage = book.usage.usage()

    def start_next() -> None:
        pull = book.choose(running, view, 0).pull
        if pull is not None:
            book.start(pull.request_id, 10.0)
            book.add(pull)

    return {
        "offers": size,
        "choose_us": cost_us(lambda: book.choose(running, view, 0), ROUNDS),
        "choose_start_add_us": cost_us(start_next, ROUNDS),
        "sweep_64_us": cost_us(lambda: book.sweep(running, view, 0), ROUNDS),
        "sort_all_us": cost_us(
            lambda: selection.choose(offers, running, view, usage, 0),
            max(3, ROUNDS // size),
        ),
    }


if __name__ == "__main__":
    for offers_held in SIZES:
        print(json.dumps(measure(offers_held)))
