"""All gateways lose power just after a tenant has used its allowance."""

import pathlib
import re
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig3  # noqa: E402

GATEWAYS = 2
# Of each gateway.
CLIENTS = 6
TOKENS = (6_000, 80)
# Of the tenant, in tokens.
RATE_PER_S = 20_000
BURST = 20_000
# Bounds of the site.
WINDOW_S = 8
OVERAGE = 0.1
SLACK = 140_000
MOST = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
# From the first request on.
POWER_LOST_S = 0.6
DOWN_S = 1.0
TRAFFIC_S = 8.5
ROUTE = {
    "prefix": "/stream/",
    "kind": "streaming",
    "timeout-ms": 12_000,
    "max-attempts": 1,
    "resumable": False,
}
LIMITS = {
    "unit": "tokens",
    "plain-tokens": 200,
    "rate-per-s": RATE_PER_S,
    "burst": BURST,
}


def used_at_most(rig: rig3.Rig) -> float:
    """Returns the most tokens that were sent and ran within one window.

    :param rig: the deployment
    """
    sent: dict[str, float] = {}
    runs = []
    for line in rig.record.path.read_text().splitlines():
        found = re.match(r"(\S+) client sends (\S+)", line)
        if found:
            sent[found[2]] = float(found[1])
        found = re.match(r"(\S+) runner \S+ \S+ runs (\S+)", line)
        if found:
            runs.append((sent[found[2]], float(found[1])))
    return max(
        sum(
            sum(TOKENS)
            for sent_s, run_s in runs
            if first_s <= sent_s and run_s <= first_s + WINDOW_S
        )
        for first_s, _ in runs
    )


def lose_power(rig: rig3.Rig) -> None:
    """Takes power from all gateways, and starts them again.

    :param rig: the deployment
    """
    rig.record.add("platform", "all gateways lose power")
    for child in rig.gateways.values():
        child.kill()
    for child in rig.gateways.values():
        child.wait()
    time.sleep(DOWN_S)
    starts = [
        threading.Thread(target=rig.start_gateway, args=(number,))
        for number in range(GATEWAYS)
    ]
    for start in starts:
        start.start()
    for start in starts:
        start.join()


def play(rig: rig3.Rig, trouble: bool) -> bool:
    """Plays the case.

    :param rig: the deployment
    :param trouble: whether the gateways lose power
    :return: whether the tenant has used more than its allowance
    """
    rig.configure([ROUTE], engine=True, limits=LIMITS)
    options = ("--events", "2", "--gap-ms", "20")
    for number in range(2):
        rig.start_runner(number, *options)
    hosts = [rig.start_gateway(number) for number in range(GATEWAYS)]
    time.sleep(5)
    end_s = time.monotonic() + TRAFFIC_S

    def ask(host: str) -> None:
        while time.monotonic() < end_s:
            try:
                channel = rig.connect(host)
            except OSError:
                time.sleep(0.1)
                continue
            channel.ask("POST", "/stream/a", 12_000, TOKENS)
            channel.connection.close()
            time.sleep(0.02)

    clients = [
        threading.Thread(target=ask, args=(host,))
        for host in hosts
        for _ in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    time.sleep(POWER_LOST_S)
    if trouble:
        lose_power(rig)
    for client in clients:
        client.join()
    used = used_at_most(rig)
    rig.record.add("case", f"{used:.0f} tokens in 8 s, {MOST:.0f} allowed")
    return used > MOST


if __name__ == "__main__":
    rig3.run(FOLDER, play)
