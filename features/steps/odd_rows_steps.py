import base64
import json

from behave import given
from behave import then
from behave import when
from twisted.internet import defer

from features.support import gateway_world
from features.support import logs
from godwitloft import attempt as attempts
from godwitloft import decode
from godwitloft import trace
from godwitloft.audit import history
from godwitloft.audit import request_logs
from godwitloft.coordination import claims_row
from godwitloft.coordination import delta
from godwitloft.coordination import lease
from godwitloft.coordination import permits
from godwitloft.coordination import publish
from godwitloft.coordination import shares
from godwitloft.gateway.peers import peer_status
from godwitloft.links import datagrams
from godwitloft.links.generated.datagrams import ttypes
from godwitloft.platform import agent as agents
from godwitloft.platform import store as stores
from godwitloft.store import port

DEEP = b"[" * 100_000
LIFE = peer_status.Life("u0", 1)


def number_text(what):
    """Returns the JSON text that a row of a table describes."""
    if what.startswith("of "):
        return "1" + "0" * (int(what.split()[1]) - 1)
    return what


def row_content(field, what):
    """Returns the bytes of an upstream's row with one odd field."""
    if field == "content":
        return {
            "nested 100000 deep": DEEP,
            "that is a list": b"[1]",
            "that isn't UTF-8": b"\xff\xfe{}",
        }[what]
    row = {
        "service": '"model"',
        "address": '"127.0.0.1:9"',
        "zone": '"a"',
        "version": '"v1"',
        "slots": "4",
        "state": '"ready"',
        "sequence": "1",
        "born": "1",
    }
    if what == "missing":
        del row[field]
    elif what == "with a port of 5000 digits":
        row[field] = '"127.0.0.1:' + "1" * 5000 + '"'
    elif field != "key":
        row[field] = number_text(what)
    members = ",".join(f'"{name}":{value}' for name, value in row.items())
    return f"{{{members}}}".encode()


@when("a row of an upstream is left with {field} {what}")
def leave_row(context, field, what):
    restored = context.restored
    context.log = logs.record(context)
    key = json.loads(what) if field == "key" else "odd"
    content = base64.b64encode(row_content(field, what)).decode()
    restored.rows.put("servers", key, content)


@when("a row of a gateway is left with {field} {what}")
def leave_gateway_row(context, field, what):
    restored = context.restored
    context.log = logs.record(context)
    row = {
        "host": '"127.0.0.9"',
        "renewed_ms": str(restored.rows.now_ms()),
        "used": "{}",
        "blames": "[]",
        "versions": "{}",
        field: number_text(what),
    }
    members = ",".join(f'"{name}":{value}' for name, value in row.items())
    content = base64.b64encode(f"{{{members}}}".encode()).decode()
    restored.rows.put("gateways", "odd", content)


@when("the gateway reads the rows of gateways")
def read_gateways(context):
    context.restored.lease.renewals = 0
    context.restored.lease.renewed_ms = 0
    context.restored.advance(200)


@then("it has no peers")
def check_no_peers(context):
    assert not context.restored.world.sharing.hosts


@then('the gateway uses "{names}" and lists no other')
def check_used(context, names):
    restored = context.restored
    for _ in range(10):
        restored.gateway.tick()
        restored.gateway.announce()
        restored.advance(100)
    listed = sorted(restored.gateway.fleet.listed)
    assert listed == restored.usable() == names.split(","), listed


@then("no internal error was logged")
def check_errors(context):
    assert not context.log.fields("GL1009"), context.log.fields("GL1009")


@given("a call of the platform's client")
def call(context):
    context.failures = []
    result = defer.Deferred()
    result.addErrback(context.failures.append)
    context.call = stores.Call(
        "GET /x", result, lambda _status, _head: None, stores.HeldBytes()
    )


@when("it is answered with {what}")
def answer_call(context, what):
    content = {
        "nested 100000 deep": DEEP,
        "a number of 5000 digits": b'{"a":' + b"1" * 5000 + b"}",
        "that is a list": b"[]",
    }[what]
    context.call.on_head(200, [])
    context.call.on_data(content)
    context.call.on_end(attempts.End.COMPLETE, "")


@then("it fails with an error of the store")
def check_call(context):
    (failure,) = context.failures
    assert failure.check(stores.StoreError), failure


def refusal(read, *errors):
    """Returns the error with which something is refused, None without."""
    try:
        read()
    except errors as error:
        return error
    return None


@when("an engine reports {field} {what}")
def report(context, field, what):
    body = {"running": 1, "waiting": 1, "born": 1}
    body[field] = json.loads(number_text(what))
    context.error = refusal(
        lambda: agents.decode_report(stores.Answer(body, 0)),
        stores.StoreError,
    )


@when("the store answers with rows whose {field} is {what}")
def rows(context, field, what):
    body = {"rows": [], "ver": 1, "now-ms": 1}
    body[field] = json.loads(number_text(what))
    context.error = refusal(
        lambda: stores.decode_rows(stores.Answer(body, 0)), stores.StoreError
    )


@then("its report can't be used")
@then("the rows can't be used")
@then("it is refused as malformed")
def check_error(context):
    assert context.error is not None


@when("an answer of the store names the timeline {what}")
def timeline(context, what):
    context.timeline = stores.Timeline(lambda _before, _now: None)
    value = number_text(what).encode()
    context.timeline.on_headers(200, [(stores.TIMELINE_HEADER, value)])


@then("no timeline is known")
def check_timeline(context):
    assert context.timeline.current is None


@when('a caller states {what} tokens for "{route}"')
def state_tokens(context, what, route):
    context.caller = gateway_world.Caller(context.world)
    # The name of a header counts as well, so the digits are of one number.
    digits = number_text(what).encode()
    head = b"Godwitloft-Token-Counts: %s,1\r\n" % digits
    context.caller.ask("a", route, extra=head)


@when("a peer announces {what}")
def announce(context, what):
    subject, _of, text = what.rpartition(" of ")
    value = float(text)
    demand = ttypes.TeamDemand(
        team="team",
        tokens_per_s=int(value) if subject == "a demand" else 1,
        committed=int(value) if subject == "committed tokens" else 1,
    )
    sharing = ttypes.Sharing(gateway="g9", demands=[demand], crashing=[])
    if subject == "a limit":
        sharing.limits = [
            ttypes.UpstreamLimit(
                upstream=LIFE.id, born_ms=LIFE.born_ms, age_ms=0, per_s=value
            )
        ]
    context.world.sharing.on_announcement(sharing, "127.0.0.9")


@then("the share of its allowance is a part of it")
def check_share(context):
    world = context.world
    configuration = gateway_world.configuration(2, tokens_per_s=100.0)
    world.gateway.config_state.configure(configuration)
    (team,) = configuration.teams
    fraction = world.sharing.fraction(team)
    assert 0.0 < fraction <= 1.0, fraction
    remaining = world.sharing.remaining(team)
    assert 0.0 < remaining <= 10_000.0, remaining


@then("no upstream has a limit")
def check_limits(context):
    states = context.world.gateway.fleet.listed.values()
    assert all(state.limit is None for state in states)


@when("a row that is nested 100000 deep is read as {reader}")
def read_deep(context, reader):
    row = port.Row("k", DEEP, 1)
    read = {
        "a claim": lambda: claims_row.read("k", DEEP),
        "a head": lambda: publish.decode_head(row),
        "a share": lambda: shares.decode_row(row),
        "a lease": lambda: lease.decode_row(row),
        "a bucket": lambda: permits.decode_row(row),
        "a snapshot": lambda: delta.split(DEEP),
        "a delta": lambda: delta.decode(DEEP),
        "a line of a trace": lambda: trace.parse(DEEP.decode()),
        "a line of a log": lambda: refuse_none(
            request_logs.parse("p", 0, DEEP.decode())
        ),
        "a line of a ledger": lambda: refuse_none(
            next(iter(history.ledger_entries([DEEP.decode()])), None)
        ),
    }[reader]
    context.error = refusal(
        read,
        claims_row.RowError,
        decode.DecodeError,
        delta.DeltaError,
        trace.TraceError,
        LookupError,
    )


def refuse_none(value):
    """Turns a skipped line into an error, as other readers give one."""
    if value is None:
        raise LookupError("skipped")


@given("a gateway that has not reached the store yet")
def new_gateway(context):
    context.world = gateway_world.World()


@when("a peer answers that its {field} is {value:d}")
def answer_question(context, field, value):
    world = context.world
    world.sharing.update_gateways({"g9": "127.0.0.9"})
    fields = {
        "gateway": "g9",
        "asked_ms": 1,
        "version": 1,
        "version_age_ms": 1,
        "list_digest": 1,
        "list_age_ms": 1,
    }
    fields[field] = value
    data = datagrams.encode(answer=ttypes.NewsAnswer(**fields))
    world.gateway.on_datagram(datagrams.decode(data), ("127.0.0.9", 1))


@then("this gateway still announces itself to its peer")
def check_announces(context):
    world = context.world
    world.datagrams.clear()
    world.sharing.must_announce = True
    world.gateway.announce()
    sent = [datagrams.decode(data) for data, _where in world.datagrams]
    assert any(datagram.sharing is not None for datagram in sent), sent
