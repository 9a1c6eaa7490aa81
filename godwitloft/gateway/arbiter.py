"""The agent's task: grants the slots of the upstream beside it.

It keeps nothing: each gateway tells all that it runs and wants again and
again, and an agent that was started anew grants as soon as it has heard
them.
"""

import collections
import dataclasses
import typing

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft.gateway import slots
from godwitloft.links import datagrams
from godwitloft.links.generated.datagrams import ttypes

# A gateway that was not heard for so long runs nothing that it knows of.
CLAIM_LIFE_MS = 1_200
# After its start an agent first hears all gateways.
LISTEN_FIRST_MS = 400
GATHER_MS = 2
# A request that has just begun or ended is in one count and not the other.
REPORTS_COMPARED = 2


@dataclasses.dataclass(frozen=True)
class Heard:
    """The last want of a gateway.

    :param want: what it told
    :param address: where it is
    :param at_ms: when
    :param since_ms: since when it has waited without a start
    """

    want: ttypes.SlotWant
    address: datagrams.Address
    at_ms: int
    since_ms: int


class Book:
    """The claims on one upstream.

    :param upstream: its identity
    """

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.heard: dict[str, Heard] = {}
        self.told: dict[str, int] = {}


class Arbiter:
    """Grants starts to gateways.

    :param clock: tells the time
    :param call_later: runs a function after some milliseconds
    :param send: sends a datagram to an address
    :param incarnation: of this agent
    :param zone: its availability zone, and the upstream's
    """

    def __init__(
        self,
        clock: clocks.Clock,
        call_later: typing.Callable[[int, typing.Callable[[], None]], object],
        send: typing.Callable[[bytes, datagrams.Address], None],
        incarnation: str,
        zone: str,
    ) -> None:
        self.clock = clock
        self.call_later = call_later
        self.send = send
        self.incarnation = incarnation
        self.zone = zone
        self.started_ms = clock.monotonic_ms()
        self.books: dict[str, Book] = {}
        self.due: set[str] = set()
        self.foreign: collections.deque[int] = collections.deque(
            [0], maxlen=REPORTS_COMPARED
        )

    def report(self, busy: int) -> None:
        """Takes what the upstream says of itself.

        Gateways that lost touch with this agent may send it requests, too.

        :param busy: requests that it runs and that wait inside it
        """
        known = sum(
            heard.want.running
            for book in self.books.values()
            for heard in book.heard.values()
        )
        self.foreign.append(max(0, busy - known))

    def received(
        self, datagram: ttypes.Datagram, address: datagrams.Address
    ) -> None:
        """Takes a datagram of a gateway.

        :param datagram: any; only wants concern an agent
        :param address: of the gateway
        """
        want = datagram.want
        if want is None:
            return
        book = self.books.setdefault(want.upstream, Book(want.upstream))
        known = book.heard.get(want.gateway)
        if known is not None and want.sequence <= known.want.sequence:
            return
        if known is None:
            events.log(
                events.GATEWAY_HEARD,
                gateway=want.gateway,
                upstream=want.upstream,
                running=want.running,
            )
        now_ms = self.clock.monotonic_ms()
        since_ms = now_ms
        if known is not None and want.started == known.want.started:
            if any(known.want.waiting):
                since_ms = known.since_ms
        book.heard[want.gateway] = Heard(want, address, now_ms, since_ms)
        # Whoever has told something hears an answer, also the same one.
        book.told.pop(want.gateway, None)
        if want.upstream not in self.due:
            self.due.add(want.upstream)
            self.call_later(GATHER_MS, lambda: self.grant(book))

    def grant(self, book: Book) -> None:
        """Divides the slots anew and tells whom it concerns.

        :param book: of the upstream
        """
        self.due.discard(book.upstream)
        now_ms = self.clock.monotonic_ms()
        if now_ms - self.started_ms < LISTEN_FIRST_MS:
            return
        self.forget(book, now_ms)
        if not book.heard:
            self.books.pop(book.upstream, None)
            return
        longest_first = sorted(
            book.heard.values(), key=lambda heard: heard.since_ms
        )
        wants = [heard.want for heard in longest_first]
        starts = slots.allot(
            book.upstream,
            max(want.slots for want in wants),
            min(self.foreign),
            [
                slots.Claim(
                    want.gateway,
                    want.running,
                    tuple(want.waiting),
                    want.zone == self.zone,
                )
                for want in wants
            ],
        )
        unread = sum(want.unread for want in wants)
        for want in wants:
            limit = want.started + starts[want.gateway]
            if book.told.get(want.gateway) != limit:
                book.told[want.gateway] = limit
                self.tell(book, want, limit, unread - want.unread)

    def forget(self, book: Book, now_ms: int) -> None:
        """Drops gateways that have gone silent.

        :param book: of the upstream
        :param now_ms: the time
        """
        for gateway, heard in list(book.heard.items()):
            if now_ms - heard.at_ms > CLAIM_LIFE_MS:
                del book.heard[gateway]
                book.told.pop(gateway, None)
                events.log(
                    events.GATEWAY_SILENT,
                    gateway=gateway,
                    upstream=book.upstream,
                    running=heard.want.running,
                )

    def tell(
        self, book: Book, want: ttypes.SlotWant, limit: int, unread: int
    ) -> None:
        """Sends a grant.

        :param book: of the upstream
        :param want: the last one of the gateway
        :param limit: how many requests it may ever have started
        :param unread: prompt tokens that other gateways sent
        """
        grant = ttypes.SlotGrant(
            upstream=book.upstream,
            gateway=want.gateway,
            agent=self.incarnation,
            sequence=want.sequence,
            start_limit=limit,
            unread_elsewhere=unread,
        )
        self.send(
            datagrams.encode(grant=grant), book.heard[want.gateway].address
        )
