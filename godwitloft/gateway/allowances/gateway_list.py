"""Keeps which other gateways there are, and what each announced last."""

import hashlib

from godwitloft import clock as clocks
from godwitloft.gateway.allowances import peers

PEER_TIMEOUT_MS = 2_000
MAX_PLACES = 1_000


class GatewayList:
    """The other gateways.

    :param clock: source of the time
    :param instance: name of this gateway
    """

    def __init__(self, clock: clocks.Clock, instance: str) -> None:
        self.clock = clock
        self.instance = instance
        # IP numbers, by instance.
        self.hosts: dict[str, str] = {}
        # What each announced last; also of some that are gone.
        self.peers: dict[str, peers.Peer] = {}
        # What place() has returned for these hosts, by subject.
        self.places: dict[str, int] = {}

    @property
    def count(self) -> int:
        """Number of gateways, including this one."""
        return 1 + len(self.hosts)

    def update(self, hosts: dict[str, str], since_ms: int) -> bool:
        """Updates the list.

        A gateway that has sent an announcement lately is kept even without a
        lease, as it may only be disconnected from the store.

        :param hosts: IP numbers of the gateways that hold a lease, without
            this one, by instance
        :param since_ms: what those without a lease announced before is dropped
        :return: whether some of them are new
        """
        now_ms = self.clock.monotonic_ms()
        alive = {
            name: host
            for name, host in self.hosts.items()
            if self.is_alive(name, now_ms)
        }
        has_new = bool(hosts.keys() - self.hosts.keys())
        self.hosts = alive | hosts
        self.places.clear()
        for name, peer in list(self.peers.items()):
            if name not in self.hosts and peer.received_ms < since_ms:
                del self.peers[name]
        return has_new

    def add(self, name: str, host: str) -> None:
        """Adds a gateway that announced itself and isn't listed.

        :param name: name of its instance
        :param host: its IP number
        """
        self.hosts[name] = host
        self.places.clear()

    def place(self, subject: str) -> int:
        """Returns the place of this gateway among all gateways.

        :param subject: text for which the order is made
        :return: from 0 on
        """
        found = self.places.get(subject)
        if found is None:
            if len(self.places) >= MAX_PLACES:
                self.places.clear()
            own = order(subject, self.instance)
            found = sum(order(subject, name) < own for name in self.hosts)
            self.places[subject] = found
        return found

    def is_alive(self, name: str, now_ms: int) -> bool:
        """Returns whether a gateway has sent an announcement lately.

        :param name: name of its instance
        :param now_ms: the current time
        :return: whether one arrived within :data:`PEER_TIMEOUT_MS`
        """
        return self.was_heard(name, now_ms - PEER_TIMEOUT_MS)

    def was_heard(self, name: str, since_ms: int) -> bool:
        """Returns whether a gateway has sent an announcement since a time.

        :param name: name of its instance
        :param since_ms: the time
        """
        peer = self.peers.get(name)
        return peer is not None and peer.received_ms >= since_ms

    def hears_any(self, since_ms: int) -> bool:
        """Returns whether one of them has announced itself since a time.

        :param since_ms: the time
        """
        return any(self.was_heard(name, since_ms) for name in self.hosts)

    def hears_majority(self, since_ms: int) -> bool:
        """Returns whether most gateways have announced themselves since then.

        :param since_ms: the time
        :return: whether more than half did, counting this one
        """
        heard = 1 + sum(self.was_heard(name, since_ms) for name in self.hosts)
        return 2 * heard > self.count


def order(subject: str, instance: str) -> bytes:
    """Returns the sort key of a gateway in the order for a subject.

    :param subject: text for which the order is made
    :param instance: name of the gateway's instance
    """
    text = f"{subject}/{instance}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
