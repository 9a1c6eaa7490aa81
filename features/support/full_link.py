"""A link that callers' answers fill, and a process that they keep busy."""

import collections
import random

from features.support import gateway_world
from features.support import restored_store
from godwitloft.gateway import daemon as daemons

STEP_MS = restored_store.STEP_MS
# 10 Mbit/s, and a queue of the system that takes 1.2 s.
BYTES_PER_MS = 1250
QUEUE_BYTES = 1_500_000
# A lost packet is sent again after a second when a connection is made, and
# after this time later.
REPEAT_MS = (1000, 400)
LOSS_AT_FULL = 0.1
DATAGRAM_LOSS_AT_FULL = 0.9


class FullLink:
    """The link of a gateway. Callers' bytes wait in it and before it.

    :param member: a gateway that follows the store
    :param load: bytes that callers are to get, as a multiple of the link's
    :param daemon: sheds requests, None for a gateway that doesn't
    """

    def __init__(self, member, load, daemon=None):
        self.member = member
        self.load = load
        self.daemon = daemon
        self.rng = random.Random(5)
        self.queue = 0.0
        self.unsent = 0.0
        self.reasons = collections.Counter()
        member.client.link_ms = self.call_ms
        self.send_free = member.world.sharing.announcer.send
        member.world.sharing.announcer.send = self.send
        member.gateway.confirmation.send = self.send

    @property
    def is_full(self):
        return self.queue >= QUEUE_BYTES * 0.95

    def step(self):
        asked = self.load * BYTES_PER_MS * STEP_MS
        if self.daemon is not None:
            asked *= 1 - self.daemon.guard.share
        waiting = self.unsent + asked
        self.queue = max(0.0, self.queue - BYTES_PER_MS * STEP_MS)
        sent = min(waiting, QUEUE_BYTES - self.queue)
        self.queue += sent
        self.unsent = waiting - sent

    def call_ms(self):
        """Returns how long connection and request take to the store."""
        total = 0.0
        for repeat_ms in REPEAT_MS:
            while self.is_full and self.rng.random() < LOSS_AT_FULL:
                total += repeat_ms
            total += self.queue / BYTES_PER_MS
        return total

    def send(self, data, where):
        if self.is_full and self.rng.random() < DATAGRAM_LOSS_AT_FULL:
            return
        delay_s = self.queue / BYTES_PER_MS / 1000
        self.member.reactor.callLater(delay_s, self.send_free, data, where)

    def ask(self, world):
        """Sends a request that tells whether the configuration is proven."""
        caller = gateway_world.Caller(world)
        caller.ask("r", "nowhere")
        self.reasons[caller.received.split(b'"')[5].decode()] += 1


def daemon_of(member):
    """Returns a daemon without ports, whose connections callers use.

    :param member: its gateway; who plays its load lets its guard look at it
    """
    daemon = daemons.GatewayDaemon(
        member.reactor,
        member.world.clock,
        member.gateway,
        daemons.ConfigurationSource(lambda: None, lambda: None),
        daemons.ListenOptions("", 0, None),
    )
    daemon.rng = random.Random(3)
    member.world.front = daemon.caller_factory
    return daemon
