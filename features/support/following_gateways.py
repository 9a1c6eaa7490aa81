"""Gateways that follow one stand-in store and exchange datagrams."""

from features.support import restored_store
from godwitloft.links import datagrams

STEP_MS = restored_store.STEP_MS
ANNOUNCE_STEPS = 3


class FollowingGateways:
    """The store, its upstreams, and gateways on one simulated clock."""

    def __init__(self, context, count, upstreams, new_rollouts=None):
        new_rollouts = new_rollouts or (lambda: None)
        first = restored_store.RestoredStore(context, rollouts=new_rollouts())
        self.first = first
        self.reactor = first.reactor
        self.members = {"127.0.0.1": first}
        for number in range(1, count):
            host = f"127.0.0.{number + 1}"
            self.members[host] = restored_store.RestoredStore(
                context,
                first.rows,
                f"g{number}",
                host,
                rollouts=new_rollouts(),
            )
        self.parted = set()
        self.datagram_ms = 2
        self.steps = 0
        for host, member in self.members.items():
            self.connect(host, member)
        first.configure(5)
        for name in upstreams:
            first.start(name, born_ms=1)
        first.advance(100)
        for member in self.members.values():
            member.start_watching()
        self.advance(3000)

    def connect(self, host, member):
        """Lets a gateway exchange datagrams with the others."""

        def send(data, where):
            self.reactor.callLater(
                self.datagram_ms / 1000, self.deliver, host, data, where[0]
            )

        member.world.sharing.announcer.send = send
        member.gateway.confirmation.send = send

    def kill_host(self, host):
        """Kills a gateway: nothing of it goes on."""
        member = self.members.pop(host)
        member.watch.stop()
        member.client.cut = True
        self.parted.add(host)

    def deliver(self, sender, data, host):
        if sender in self.parted or host in self.parted:
            return
        member = self.members[host]
        member.gateway.on_datagram(datagrams.decode(data), (sender, 1))

    def advance(self, duration_ms):
        for _ in range(duration_ms // STEP_MS):
            self.first.advance(STEP_MS)
            self.steps += 1
            for member in self.members.values():
                member.client.poll()
                if self.steps % ANNOUNCE_STEPS == 0:
                    member.gateway.announce()

    def one(self, is_poller):
        """Returns a gateway that polls the store, or one that doesn't."""
        return next(
            (host, member)
            for host, member in self.members.items()
            if member.gateway.confirmation.is_poller() == is_poller
        )

    def leave(self, name):
        """Removes the row of an upstream that serves on."""
        self.first.upstreams.pop(name).end()

    def expire(self, name):
        """Removes the row of an upstream that can't write it."""
        self.first.rows.put("servers", name, None)

    def take_away(self, away_ms):
        """Makes the store refuse all calls for a while."""
        rows = self.first.rows
        rows.away_until = self.reactor.seconds() + away_ms / 1000

    def users(self, name):
        """Returns the gateways that would send a request to an upstream."""
        return [
            host
            for host, member in self.members.items()
            if name in member.usable()
        ]
