import random
import select
import socket
from unittest import mock

from behave import given
from behave import then
from behave import when
from twisted.internet import udp

from godwitloft.gateway.allowances import former_use
from godwitloft.links import datagrams
from godwitloft.links.generated.datagrams import ttypes

DAMAGE = {
    "half of its bytes": lambda data: data[: len(data) // 2],
    "no bytes": lambda _data: b"",
    "random bytes": lambda data: random.Random(1).randbytes(len(data)),
    "a length past its end": lambda data: data.replace(b"\x02u1", b"\x7fu1"),
    "a length above the bound": lambda data: data.replace(
        b"\x02u1", b"\xff\xff\x7fu1"
    ),
    "a list above the bound": lambda _data: b"\xf9\xfc\xff\xff\x07",
    "60000 structs within each other": lambda _data: b"\x1c" * 60_000,
    "lists within each other": lambda _data: b"\xf9" + b"\x19" * 60_000,
}


def grant(sequence):
    return datagrams.encode(
        grant=ttypes.SlotGrant(
            upstream="u1",
            gateway="g1",
            agent="a1",
            sequence=sequence,
            start_limit=3,
            unread_elsewhere=0,
        )
    )


@given("datagrams are decoded by the {codec} codec")
def use_codec(context, codec):
    if codec == "Python":
        patched = mock.patch.object(
            datagrams._SHARED_PROTOCOL, "_fast_decode", None
        )
        patched.start()
        context.add_cleanup(patched.stop)


@when("a datagram with {damage} is received")
def receive_damaged(context, damage):
    damaged = DAMAGE[damage](grant(1))
    assert damaged != grant(1)
    context.decoded = datagrams.decode(damaged)


@then("it is ignored")
def check_ignored(context):
    assert context.decoded is None, context.decoded


@then("the next one is decoded, and what is encoded can be decoded")
def check_next(context):
    decoded = datagrams.decode(grant(2))
    assert decoded is not None and decoded.grant.sequence == 2, decoded


class CountedSocket:
    """A socket that counts reads."""

    def __init__(self, wrapped):
        self.wrapped = wrapped
        self.reads = 0

    def __getattr__(self, name):
        return getattr(self.wrapped, name)

    def recvfrom(self, size):
        self.reads += 1
        return self.wrapped.recvfrom(size)


@given("a socket for datagrams")
def open_socket(context):
    reactor = mock.Mock()

    def listen_udp(number, port, interface, **settings):
        listening = udp.Port(
            number, port, interface, reactor=reactor, **settings
        )
        listening.startListening()
        return listening

    reactor.listenUDP = listen_udp
    context.received = []
    port = datagrams.Port(lambda *message: context.received.append(message))
    context.listening = datagrams.listen(reactor, 0, port, "127.0.0.1")
    context.add_cleanup(context.listening.socket.close)
    context.counted = CountedSocket(context.listening.socket)
    context.listening.socket = context.counted


@when("{number:d} datagrams are sent to it, {together:d} at a time")
def send_datagrams(context, number, together):
    address = context.counted.getsockname()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for first in range(0, number, together):
            for sequence in range(first, first + together):
                sender.sendto(grant(sequence), address)
            while select.select([context.counted.wrapped], [], [], 0)[0]:
                context.listening.doRead()


@when(
    "a gateway tells it what {gateways:d} others had used of {teams:d}"
    " allowances"
)
def tell_former(context, gateways, teams):
    committed = former_use.encode_committed(
        {
            f"team-of-customer-{number:03d}": 100_000.0
            for number in range(teams)
        }
    )
    sharing = ttypes.Sharing(
        gateway="g0",
        demands=committed,
        crashing=[],
        answers=True,
        former=committed,
        others=[
            ttypes.FormerUse(f"edge-riga-a-{number}", 1, committed)
            for number in range(gateways)
        ],
    )
    data = datagrams.encode(sharing=sharing)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(data, context.counted.getsockname())
        select.select([context.counted.wrapped], [], [], 1)
        context.listening.doRead()


@then("it reads of {gateways:d}")
def check_former(context, gateways):
    told = [datagram.sharing.others for datagram, _ in context.received]
    assert [len(others) for others in told] == [gateways], told


@then("{number:d} are received by at most {most:d} reads")
def check_reads(context, number, most):
    assert len(context.received) == number, len(context.received)
    assert context.counted.reads <= most, context.counted.reads
