"""Gateways that start, end and share a team's allowance, with its callers."""

import dataclasses
import random

from features.support import following_gateways
from features.support import gateway_world
from features.support import restored_store

TEAM = gateway_world.configuration(tokens_per_s=1000.0).teams[0]
REQUEST_TOKENS = 100.0
WINDOW_MS = gateway_world.TOLERANCE.window_ms
START_LIMIT_MS = 30_000
# A killed process is back after this time.
BACK_MS = (400, 600)


class AllowanceFleet(following_gateways.FollowingGateways):
    """The store, gateways, and a team that asks for more than its rate."""

    def __init__(self, context, seed):
        self.context = context
        self.rng = random.Random(seed)
        self.first = restored_store.RestoredStore(context)
        self.reactor = self.first.reactor
        self.members = {}
        self.parted = set()
        self.datagram_ms = 2
        self.call_ms = 0
        self.steps = 0
        # Times the team's rate that is asked for.
        self.load = 0.0
        self.due = 0.0
        self.granted = []
        self.first.configure(5)
        self.first.start("u0", born_ms=1)
        self.first.advance(100)

    def now_ms(self):
        return self.first.now_ms()

    def start(self, number, host=None):
        host = host or f"127.0.0.{number + 1}"
        member = restored_store.RestoredStore(
            self.context,
            self.first.rows,
            f"g{number}",
            host,
            is_new=True,
        )
        member.client.read_ms = member.client.write_ms = self.call_ms
        self.parted.discard(host)
        self.members[host] = member
        self.connect(host, member)
        member.start_watching()

    def start_later(self, number, delay_ms):
        self.reactor.callLater(delay_ms / 1000, self.start, number)

    def kill(self, number):
        self.kill_host(f"127.0.0.{number + 1}")

    def kill_and_restart(self, number):
        if f"127.0.0.{number + 1}" not in self.members:
            return
        self.kill(number)
        self.start_later(number, self.rng.randint(*BACK_MS))

    def part_first(self, away_ms, datagrams):
        """Cuts the first gateway off from the store, or from the others too.

        :param away_ms: for how long
        :param datagrams: whether datagrams are lost as well
        """
        host, member = next(iter(self.members.items()))
        member.client.cut = True
        if datagrams:
            self.parted.add(host)

        def end():
            member.client.cut = False
            self.parted.discard(host)

        self.reactor.callLater(away_ms / 1000, end)

    def ready(self):
        return [
            member
            for member in self.members.values()
            if member.gateway.ready()
        ]

    def wait_until_ready(self, count):
        for _ in range(START_LIMIT_MS // following_gateways.STEP_MS):
            if len(self.ready()) == count:
                return
            self.advance(following_gateways.STEP_MS)
        raise AssertionError(f"{len(self.ready())} of {count} are ready")

    def advance(self, duration_ms):
        for _ in range(duration_ms // following_gateways.STEP_MS):
            super().advance(following_gateways.STEP_MS)
            self.ask()

    def ask(self):
        """Lets callers ask gateways that are ready, as a balancer does."""
        per_ms = self.load * TEAM.tokens_per_s / 1000
        self.due += per_ms * following_gateways.STEP_MS / REQUEST_TOKENS
        ready = self.ready()
        while self.due >= 1:
            self.due -= 1
            if not ready:
                continue
            sharing = self.rng.choice(ready).world.sharing
            if sharing.take(TEAM, REQUEST_TOKENS) is not None:
                self.granted.append((self.now_ms(), REQUEST_TOKENS))

    def ask_as_teams(self, count, load, duration_ms):
        """Lets several teams ask, each for a multiple of its rate.

        :param count: number of teams
        :param load: times the rate of each
        :param duration_ms: for how long
        :return: times and tokens granted, by team
        """
        teams = [
            dataclasses.replace(TEAM, name=f"team-{number:03d}")
            for number in range(count)
        ]
        granted = {team.name: [] for team in teams}
        per_step = load * TEAM.tokens_per_s * following_gateways.STEP_MS / 1000
        requests = per_step / REQUEST_TOKENS
        for _ in range(duration_ms // following_gateways.STEP_MS):
            self.advance(following_gateways.STEP_MS)
            for team in teams:
                asked = int(requests)
                asked += self.rng.random() < requests % 1
                for _ in range(asked):
                    member = self.rng.choice(self.ready())
                    if member.world.sharing.take(team, REQUEST_TOKENS):
                        now_ms = self.now_ms()
                        granted[team.name].append((now_ms, REQUEST_TOKENS))
        return granted

    def granted_since(self, at_ms, duration_ms):
        return sum(
            tokens
            for granted_ms, tokens in self.granted
            if at_ms <= granted_ms < at_ms + duration_ms
        )
