"""Starts real gateways at once and lets a team ask for more than its limit.

Prints the most tokens granted within the window of the limit.
"""

import argparse
import http.client
import itertools
import json
import pathlib
import tempfile
import threading
import time

from bench.soak import deployment
from bench.soak import plan
from bench.soak import site
from godwitloft.standins import lakeshore_words as words

CALLERS = 8
PAUSE_S = 0.02
KEY = "key-small"
ids = itertools.count()


def ask(address, end_s, granted):
    """Asks one gateway again and again, over one connection."""
    connection = http.client.HTTPConnection(address, timeout=5)
    while time.monotonic() < end_s:
        headers = words.caller_headers(
            site.HOST_NAME, f"r{next(ids)}", KEY, site.TIMEOUT_MS
        )
        connection.request("GET", "/lookup/x", headers=headers)
        answer = connection.getresponse()
        answer.read()
        if answer.status == 200:
            granted.append((time.monotonic(), words.PLAIN_TOKENS))
        time.sleep(PAUSE_S)


def most_in_window(granted):
    times = sorted(granted)
    return max(
        sum(
            tokens
            for at_s, tokens in times
            if from_s <= at_s < from_s + site.QUOTA_WINDOW_S
        )
        for from_s, _tokens in times
    )


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--gateways", type=int)
    parser.add_argument("--seconds", type=float)
    args = parser.parse_args()
    granted = []
    with tempfile.TemporaryDirectory() as directory:
        size = plan.Size(entries=args.gateways, agents=0, runners=4)
        tested = deployment.Deployment(pathlib.Path(directory), size, "agents")
        try:
            tested.start()
            end_s = time.monotonic() + args.seconds
            callers = [
                threading.Thread(
                    target=ask, args=(entry.address, end_s, granted)
                )
                for entry in tested.entries
                for _ in range(CALLERS // args.gateways)
            ]
            for caller in callers:
                caller.start()
            for caller in callers:
                caller.join()
        finally:
            tested.stop()
    limit = (
        site.SMALL_RATE_PER_S * site.QUOTA_WINDOW_S + site.SMALL_BURST
    ) * (1 + site.QUOTA_OVERAGE) + site.QUOTA_SLACK_TOKENS
    print(json.dumps({"most": most_in_window(granted), "limit": limit}))


if __name__ == "__main__":
    main()
