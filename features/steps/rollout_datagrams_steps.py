import contextlib

from behave import then
from behave import when

from godwitloft.gateway.peers import peer_status
from godwitloft.links import datagrams
from godwitloft.links.generated.datagrams import ttypes
from godwitloft.rollouts import evidence

INCARNATION = "edge-a-1-0123456789abcdef"
# Numbers of the last fields of a release without roll-outs.
EARLIER_FIELDS = {ttypes.Sharing: 19, ttypes.NewsAnswer: 6}
ODD_COUNTS = {
    "more failures than answers": {"answers": 2, "failed": 3},
    "a negative number of failures": {"failed": -1},
    "a negative number of answers": {"answers": -1, "failed": -1},
    "a negative number of times": {"times": [3, -1]},
    "more times than there are": {"times": [0] * (evidence.BOUNDS + 1)},
    "no version": {"version": None},
    "no upstream": {"upstream": None},
    "no times": {"times": None},
}


def key_of(number, name):
    return evidence.Key(
        service="s" * name,
        order_version=412,
        version=f"v{number % 2}",
        route="r" * name,
        upstream=f"{number:0{name}}",
    )


def announcement(teams, name):
    return ttypes.Sharing(
        gateway="edge-a-1",
        demands=[
            ttypes.TeamDemand(f"{number:0{name}}", 1_000, 50_000)
            for number in range(teams)
        ],
        crashing=[],
    )


@when(
    "a gateway tells {phases:d} phases and {cells:d} counts beside {teams:d}"
    " teams, with names of {name:d} characters"
)
def tell(context, phases, cells, teams, name):
    context.told = evidence.PeerRollouts(
        "edge-a-1",
        INCARNATION,
        tuple(
            evidence.KnownPhase(
                f"{number}" + "s" * (name - 1), 412, "moving", number > 0, 70
            )
            for number in range(phases)
        ),
        tuple(
            (
                key_of(number, name),
                evidence.Cell(9_000 + number, number, (0,) * 8 + (70,) * 10),
            )
            for number in range(cells)
        ),
    )
    sharing = announcement(teams, name)
    peer_status.encode(peer_status.PeerStatus(rollouts=context.told), sharing)
    context.data = datagrams.encode(sharing=sharing)


@then("its datagram has at most {most:d} bytes")
def check_bytes(context, most):
    assert len(context.data) <= most, len(context.data)


@then(
    "it tells both phases, the last count and {least:d} or more counts, as"
    " they were"
)
def check_told(context, least):
    sharing = datagrams.decode(context.data).sharing
    found = peer_status.decode(sharing).rollouts
    assert found.gateway == "edge-a-1", found
    assert found.incarnation == INCARNATION, found
    assert found.phases == context.told.phases, found
    assert len(found.cells) >= least, len(found.cells)
    assert set(found.cells) <= set(context.told.cells), found
    assert set(context.told.cells[-1:]) <= set(found.cells), found


@when("a gateway tells counts with {what}")
def tell_odd_counts(context, what):
    good = {
        "version": "v2",
        "route": "r",
        "upstream": "u1",
        "answers": 5,
        "failed": 1,
        "times": [0, 4],
    }
    context.sharing = announcement(0, 1)
    context.sharing.incarnation = INCARNATION
    context.sharing.rollouts = [
        ttypes.RolloutNews(
            "desk",
            412,
            counts=[
                ttypes.AnswerCounts(**good | ODD_COUNTS[what]),
                ttypes.AnswerCounts(**good | {"upstream": "u2"}),
            ],
        )
    ]


def learned(context):
    data = datagrams.encode(sharing=context.sharing)
    return peer_status.decode(datagrams.decode(data).sharing).rollouts


@then("its other counts are learned, and these are not")
def check_other_counts(context):
    key = evidence.Key("desk", 412, "v2", "r", "u2")
    found = learned(context)
    assert found.cells == ((key, evidence.Cell(5, 1, (0, 4))),), found


@when("a gateway tells a roll-out without {what}")
def tell_odd_rollout(context, what):
    context.sharing = announcement(0, 1)
    context.sharing.incarnation = INCARNATION
    fields = {"service_name": "desk", "order_version": 412, "phase": "moving"}
    fields["service_name" if what == "a service" else "order_version"] = None
    context.sharing.rollouts = [ttypes.RolloutNews(**fields)]


@when("a gateway tells no {what}")
def tell_nothing(context, what):
    context.sharing = announcement(0, 1)
    if what == "incarnation":
        news = ttypes.RolloutNews("desk", 412, "moving")
        context.sharing.rollouts = [news]
    else:
        context.sharing.incarnation = INCARNATION


@then("nothing is learned of roll-outs")
def check_nothing(context):
    found = learned(context)
    assert found is None or not (found.phases or found.cells), found


@then("a release without roll-outs reads {what} as before")
def check_earlier(context, what):
    if what == "the announcement":
        data, name = context.data, "sharing"
        expected = {"demands": announcement(2, 8).demands, "rollouts": None}
    else:
        answer = ttypes.NewsAnswer("edge-a-1", 1, 2, 3, 4, 5, 6, 7)
        data, name = datagrams.encode(answer=answer), "answer"
        expected = {"list_age_ms": 5, "rows_digest": None}
    with contextlib.ExitStack() as stack:
        for _, _, _, nested, _ in ttypes.Datagram.thrift_spec[1:]:
            kind, spec = nested
            last = EARLIER_FIELDS.get(kind, len(spec))
            stack.callback(nested.__setitem__, 1, spec)
            nested[1] = spec[: last + 1]
        found = getattr(datagrams.decode(data), name)
    for field, value in expected.items():
        assert getattr(found, field) == value, found
