import collections
import dataclasses
import random

from behave import given
from behave import then
from behave import when
import scripted_store
from twisted.internet import defer

from godwitloft import clock as clocks
from godwitloft.coordination import membership
from godwitloft.coordination import shares
from godwitloft.coordination import subset
from godwitloft.links.generated.messages import ttypes
from godwitloft.store import port

AGENT = port.Instance("a1", "agent", "127.0.0.1", 7000, "zone-a", "p1")
MOVED = dataclasses.replace(AGENT, address="127.0.0.2")
LEAVING = dataclasses.replace(AGENT, leaving=True)


def hello(incarnation, draining=False):
    return ttypes.Hello(
        protocol_version=1,
        role="agent",
        instance="a1",
        incarnation=incarnation,
        availability_zone="zone-a",
        generation=1,
        pool="p1",
        draining=draining,
    )


MEMBER_EVENTS = {
    "listed": lambda view: view.on_list([AGENT]),
    "moved": lambda view: view.on_list([MOVED]),
    "unlisted": lambda view: view.on_list([]),
    "list-leaving": lambda view: view.on_list([LEAVING]),
    "hello": lambda view: view.on_hello(hello("i1")),
    "new-hello": lambda view: view.on_hello(hello("i2")),
    "heard": lambda view: view.on_message("a1"),
    "drains": lambda view: view.on_message("a1", True),
    "lost": lambda view: view.on_link_lost("a1"),
    "farewell": lambda view: view.on_farewell("a1"),
    "paused": lambda view: view.on_pause(),
}


@given('a membership after these events of agent "a1": {events}')
def see_events(context, events):
    time = clocks.ManualClock()
    context.changes = []
    context.membership = membership.Membership(
        time.clock(), on_change=lambda *change: context.changes.append(change)
    )
    for event in events.split():
        name, _, duration = event.partition("-")
        if name == "wait":
            time.advance(int(duration))
            if not events.endswith("paused"):
                context.membership.check()
        else:
            MEMBER_EVENTS[event](context.membership)
    context.membership.check()


@then('the membership has "a1" as {state}')
def check_member(context, state):
    found = context.membership.members.get("a1")
    assert (found.state if found else "unknown") == state, found
    counted = context.membership.in_state("agent", [state])
    assert [instance.name for instance in counted] == (["a1"] if found else [])
    if found:
        assert context.changes[-1] == ("a1", state)


def connect(entries, agents):
    """Returns the connections of a fleet, as pairs of names."""
    pairs = set()
    for entry in entries:
        for name in subset.agents_for(entry, agents, len(entries)):
            pairs.add((entry.name, name))
    for agent in agents:
        for name in subset.entries_for(agent, entries):
            pairs.add((name, agent.name))
    return pairs


@given(
    "{entries:d} entries and {agents:d} agents in {zones:d} zones and"
    " {pools:d} pools"
)
def make_fleet(context, entries, agents, zones, pools):
    rng = random.Random(1)
    context.entries = [
        port.Instance(f"e{index}", "entry", "", 0, f"z{index % zones}")
        for index in range(entries)
    ]
    # A few pools are large, most are small.
    weights = [1 / (index + 1) for index in range(pools)]
    chosen = rng.choices(range(pools), weights, k=agents)
    context.agents = [
        port.Instance(
            f"a{index}", "agent", "", 0, f"z{rng.randrange(zones)}", f"p{pool}"
        )
        for index, pool in enumerate(chosen)
    ]
    context.pairs = connect(context.entries, context.agents)


@then(
    "each agent has at least {least:d} and on average at most {mean:d} entries"
)
def check_agents(context, least, mean):
    degrees = collections.Counter(agent for _, agent in context.pairs)
    counts = [degrees[agent.name] for agent in context.agents]
    assert min(counts) >= least, min(counts)
    assert sum(counts) / len(counts) <= mean, sum(counts) / len(counts)


@then(
    "each entry has at most {most:d} agents and at least {least:d} of each"
    " pool"
)
def check_entries(context, most, least):
    pools = {agent.name: agent.pool for agent in context.agents}
    sizes = collections.Counter(pools.values())
    degrees = collections.Counter()
    by_pool = collections.Counter()
    for entry, agent in context.pairs:
        degrees[entry] += 1
        by_pool[entry, pools[agent]] += 1
    assert max(degrees.values()) <= most, max(degrees.values())
    for entry in context.entries:
        for pool, size in sizes.items():
            assert by_pool[entry.name, pool] >= min(least, size)


@then("each entry with 8 agents or more has agents in 2 zones or more")
def check_zones(context):
    zones = {agent.name: agent.availability_zone for agent in context.agents}
    found = collections.defaultdict(set)
    degrees = collections.Counter(entry for entry, _ in context.pairs)
    for entry, agent in context.pairs:
        found[entry].add(zones[agent])
    for entry, count in degrees.items():
        assert count < 8 or len(found[entry]) >= 2


@then("at least {own:d} of 100 connections of large pools stay in their zone")
def check_own_zone(context, own):
    members = [*context.entries, *context.agents]
    zones = {member.name: member.availability_zone for member in members}
    pools = {agent.name: agent.pool for agent in context.agents}
    near = [
        zones[entry] == zones[agent]
        for entry, agent in context.pairs
        if pools[agent] == "p0"
    ]
    assert sum(near) / len(near) * 100 >= own, sum(near) / len(near)


@when("one entry and one agent leave")
def leave(context):
    context.gone = {context.entries[1].name, context.agents[1].name}
    entries = [
        entry for entry in context.entries if entry.name not in context.gone
    ]
    agents = [
        agent for agent in context.agents if agent.name not in context.gone
    ]
    context.after = connect(entries, agents)


@then("at most {moved:d} of 1000 other connections change")
def check_moved(context, moved):
    kept = {pair for pair in context.pairs if not context.gone & set(pair)}
    changed = len(kept ^ context.after)
    assert changed * 1000 <= moved * len(kept), changed * 1000 / len(kept)


@given("entries that use {uses} of a team limited to {limit:d}")
def make_sharers(context, uses, limit):
    context.store = scripted_store.Store()
    context.limit = limit
    context.uses = {
        f"e{index}": float(word) for index, word in enumerate(uses.split())
    }
    context.live = set(context.uses)
    context.sharers = {
        name: shares.Shares(
            context.store.platform(),
            name,
            lambda: context.live,
            random.Random(name),
        )
        for name in context.uses
    }
    context.most = 0.0


def exchange(context, rounds):
    for _ in range(rounds):
        for name in sorted(context.live):
            use = shares.Usage(context.limit, context.uses[name])
            waiting = defer.ensureDeferred(
                context.sharers[name].exchange({"roasters": use})
            )
            waiting.addErrback(
                lambda problem: problem.trap(port.PlatformError)
            )
            context.most = max(context.most, sum(allowances_of(context)))


def allowances_of(context):
    return [
        context.sharers[name].allowance("roasters", context.limit)
        for name in sorted(context.live)
    ]


@when("they exchange shares {rounds:d} times with {fault}")
def exchange_with(context, rounds, fault):
    rng = random.Random(1)
    if fault == "the store down":
        context.store.is_down = True
    elif fault == "lost answers":
        context.store.choose = lambda name, args: rng.choice(
            ("ok", "lost", "dropped", "down")
        )
    exchange(context, rounds)
    if fault == "need that comes back":
        context.uses = dict.fromkeys(context.uses, 90.0)
        exchange(context, 8)
    elif fault == "a lender dead":
        context.live.discard("e2")
        exchange(context, 0)
        context.uses["e1"] = 90.0
        exchange(context, 8)


@then("their allowances are about {allowances}")
def check_allowances(context, allowances):
    found = [round(allowance) for allowance in allowances_of(context)]
    wanted = [int(word) for word in allowances.split()]
    close = [
        abs(actual - expected) <= 4
        for actual, expected in zip(found, wanted, strict=True)
    ]
    assert all(close), found


@then("the allowances never summed up to more than {limit:d}")
def check_sum(context, limit):
    assert context.most <= limit + 0.001, context.most
