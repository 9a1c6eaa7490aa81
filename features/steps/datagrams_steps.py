import random
from unittest import mock

from behave import given
from behave import then
from behave import when

from godwitloft.links import datagrams
from godwitloft.links.generated.datagrams import ttypes

DAMAGE = {
    "half of its bytes": lambda data: data[: len(data) // 2],
    "no bytes": lambda _data: b"",
    "random bytes": lambda data: random.Random(1).randbytes(len(data)),
    "a length past its end": lambda data: data.replace(b"\x02u1", b"\x7fu1"),
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
