import collections
import json
import random
from unittest import mock

from behave import given
from behave import then
from behave import when
import scripted_store
from twisted.internet import defer
from twisted.internet import task

from godwitloft import clock as clocks
from godwitloft.coordination import publish
from godwitloft.objects import types
from godwitloft.store import port

HEAD = (publish.TABLE, publish.HEAD_KEY)


def tiers_of(text):
    pairs = [word.split("=") for word in text.split()]
    return types.ObjectSet(
        tiers=tuple(types.Tier(name, int(rank)) for name, rank in pairs)
    )


def text_of(objects):
    return " ".join(
        sorted(f"{tier.name}={tier.rank}" for tier in objects.tiers)
    )


def check(objects):
    ranks = collections.Counter(tier.rank for tier in objects.tiers)
    return [f"rank {rank} is twice" for rank, n in ranks.items() if n > 1]


FORMAT = publish.Format(
    encode=lambda objects: json.dumps(text_of(objects)).encode(),
    decode=lambda content: tiers_of(json.loads(content)),
    check=check,
    empty=types.ObjectSet(),
)


class World:
    def __init__(self, seed=1):
        self.store = scripted_store.Store()
        self.reactor = task.Clock()
        self.rng = random.Random(seed)
        self.publisher = publish.Publisher(
            self.store.platform(),
            clocks.ManualClock().clock(),
            self.reactor,
            FORMAT,
            self.rng,
        )

    def start(self, author, text, base, publish_id):
        request = publish.Request(
            tiers_of(text), base, author, "a test", publish_id
        )
        return defer.ensureDeferred(self.publisher.publish(request))

    def head(self):
        return publish.decode_head(self.store.rows.get(HEAD))

    def tiers_in_force(self):
        name = publish.snapshot_name(self.head().snapshot_hash)
        return text_of(FORMAT.decode(self.store.objects[name]))


def run(context, author, text, base, publish_id):
    results = []
    context.world.start(author, text, base, publish_id).addBoth(results.append)
    for _ in range(50):
        context.world.reactor.advance(1)
    outcome = results[0]
    context.outcome = getattr(outcome, "value", outcome)


@given('generation 1 publishes "{text}" by "{author}"')
def publish_first(context, text, author):
    context.world = World()
    run(context, author, text, 0, "first")
    assert context.world.head().generation == 1


@given('the next store calls answer "{faults}"')
def script(context, faults):
    pairs = [word.split(":") for word in faults.split()]
    context.world.store.script = pairs


@given('the next store calls answer ""')
def script_nothing(context):
    pass


@given('the store answers every swap of the head "{fault}" and then goes down')
def script_down(context, fault):
    store = context.world.store

    def choose(name, args):
        if name == "write_row" and args[:2] == HEAD:
            store.is_down = True
            return fault
        return "ok"

    store.choose = choose


@when('"{author}" publishes "{text}" from generation {base:d}')
def publish_from(context, author, text, base):
    run(context, author, text, base, f"{author}-1")


@when(
    '"{author}" publishes "{text}" from generation {base:d}'
    " with the same publish id"
)
def publish_again(context, author, text, base):
    run(context, author, text, base, f"{author}-1")


@when("the store recovers and late writes take effect")
def recover(context):
    store = context.world.store
    store.is_down = False
    store.choose = lambda name, args: "ok"
    store.land()


@then("the publish ends as {outcome}")
def check_outcome(context, outcome):
    assert type(context.outcome).__name__ == outcome, context.outcome


@then('generation {generation:d} is in force with "{text}"')
def check_in_force(context, generation, text):
    assert context.world.head().generation == generation
    assert context.world.tiers_in_force() == text


@then('the refusal names "{names}"')
def check_names(context, names):
    outcome = context.outcome
    if isinstance(outcome, publish.Rejected):
        assert outcome.problems == (names,), outcome
    else:
        reported = [
            f"{change.name} by {change.head.author}"
            for change in outcome.conflicts
        ]
        assert reported == [names], reported


@then('the refusal names ""')
def check_no_names(context):
    assert not isinstance(
        context.outcome, publish.Rejected | publish.Conflicting
    )


def history_of(world):
    rows = dict(world.store.rows)
    heads = [
        publish.decode_head(row)
        for (_, key), row in rows.items()
        if key.startswith("history-")
    ]
    heads.append(world.head())
    return sorted(set(heads), key=lambda head: head.generation)


@then("the history of every generation is complete")
def check_history(context):
    world = context.world
    generations = [head.generation for head in history_of(world)]
    assert generations == list(range(1, world.head().generation + 1))
    read = defer.ensureDeferred(world.publisher.history(2, 5)).result
    assert [head.author for head in read] == ["ada"]


@then('"{author}" was accepted {count:d} time')
def check_accepted(context, author, count):
    heads = history_of(context.world)
    assert [head.author for head in heads].count(author) == count


# The orders of calls: each publisher's next call on the store waits until
# the test chooses one of them and its outcome.
OUTCOMES = ("ok", "ok", "ok", "ok", "down", "lost", "dropped", "late", "stale")


def explore(seed):
    rng = random.Random(seed)
    world = World(seed)
    store = world.store
    accepted = {}
    log = []
    results = {}

    def watch(head):
        log.append(head)

    real = store.write_row

    def write_row(table, key, value, version, ttl_ms):
        answer = real(table, key, value, version, ttl_ms)
        if (table, key) == HEAD and isinstance(answer, port.Swapped):
            watch(publish.decode_head(answer.row))
        return answer

    store.write_row = write_row
    store.choose = lambda name, args: "held"
    for index in range(rng.randint(2, 3)):
        text = f"gold={rng.choice((1, 2, 6))} t{index}={index + 6}"
        if check(tiers_of(text)):
            text = f"t{index}={index + 6}"
        key = f"p{index}"
        waiting = world.start(key, text, 0, key)
        waiting.addBoth(lambda value, key=key: results.update({key: value}))
    for _ in range(400):
        if store.late and rng.random() < 0.2:
            store.land()
        if store.held:
            outcome = rng.choice(OUTCOMES) if rng.random() < 0.5 else "ok"
            store.release(rng.randrange(len(store.held)), outcome)
        world.reactor.advance(rng.random())
        if not store.held and not world.reactor.getDelayedCalls():
            break
    store.choose = lambda name, args: "ok"
    while store.held:
        store.release()
    for _ in range(60):
        world.reactor.advance(1)
    store.land()
    for key, value in results.items():
        if isinstance(value, publish.Published):
            accepted[key] = value.head
    return world, log, accepted, results


@when(
    "up to 3 publishers race through {count:d} seeded orders of calls"
    " and faults"
)
def explore_all(context, count):
    context.runs = [explore(seed) for seed in range(count)]


def reverts_of(log):
    generations = [head.generation for head in log]
    return generations != list(range(1, len(log) + 1))


def misreports_of(world, log, accepted, results):
    ids = [head.publish_id for head in log]
    reported = all(ids.count(key) == 1 for key in accepted)
    refused = [
        key
        for key, value in results.items()
        if isinstance(value, publish.Rejected | publish.Conflicting)
        or (hasattr(value, "check") and value.check(publish.PublishError))
    ]
    # Its own change isn't "unchanged".
    refused += [
        key
        for key, value in results.items()
        if isinstance(value, publish.Unchanged)
    ]
    denied = any(key in ids for key in refused)
    complete = [head.generation for head in history_of(world)] == list(
        range(1, len(log) + 1)
    )
    snapshots = all(
        publish.snapshot_name(head.snapshot_hash) in world.store.objects
        for head in log
    )
    if not (reported and not denied and complete and snapshots):
        return True
    sets = [
        FORMAT.decode(
            world.store.objects[publish.snapshot_name(head.snapshot_hash)]
        )
        for head in log
    ]
    # All start from nothing: "gold" of the first stays, as all set it.
    golds = {
        tier.rank
        for each in sets
        for tier in each.tiers
        if tier.name == "gold"
    }
    return len(golds) > 1 or any(check(each) for each in sets)


async def forget(self, head):
    pass


def forget_lost_swap(real):
    async def swap_head(self, new_head, version):
        try:
            return await real(self, new_head, version)
        except port.PlatformError as error:
            raise port.StoreUnavailable(str(error)) from error

    return swap_head


def swap_any_version(real):
    async def swap_head(self, new_head, version):
        row = await self.platform.read_row(*HEAD)
        return await real(self, new_head, row.version if row else 0)

    return swap_head


async def accept_without_check(self, request, row, head, since):
    rebased = head.generation != request.base_generation
    objects = request.objects
    if rebased:
        objects = await self._rebase(request, head, since)
        if isinstance(objects, publish.Conflicting):
            return objects
    content = self.object_format.encode(objects)
    return await self._accept(request, row, head, content, rebased)


Publisher = publish.Publisher
MUTANTS = {
    "history isn't written before the swap": (
        Publisher,
        "_ensure_history",
        forget,
    ),
    "a lost swap counts as not made": (
        Publisher,
        "_swap_head",
        forget_lost_swap(Publisher._swap_head),
    ),
    "the expected version isn't checked": (
        Publisher,
        "_swap_head",
        swap_any_version(Publisher._swap_head),
    ),
    "overlapping changes are merged": (
        publish.rebase,
        "conflicting_keys",
        lambda mine, theirs: (),
    ),
    "the merged set isn't checked": (
        Publisher,
        "_rebase_and_accept",
        accept_without_check,
    ),
    "the history isn't searched for the id": (
        publish,
        "_find_publish",
        lambda publish_id, heads: None,
    ),
}


@when('publishers race with the mutant "{mutant}"')
def race_with_mutant(context, mutant):
    context.mutant = mutant


@then("some order of calls shows a wrong history")
def check_wrong(context):
    with mock.patch.object(*MUTANTS[context.mutant]):
        runs = (explore(seed) for seed in range(2000))
        assert any(
            reverts_of(log) or misreports_of(world, log, accepted, results)
            for world, log, accepted, results in runs
        )


@then("no generation was accepted twice and none reverted")
def check_no_reverts(context):
    assert sum(len(log) for _, log, _, _ in context.runs) > 500
    for _, log, _, _ in context.runs:
        assert not reverts_of(log), log


@then("every publish reported as accepted is in the history once")
def check_reported(context):
    outcomes = collections.Counter()
    for world, log, accepted, results in context.runs:
        assert len(results) >= 2, results
        outcomes.update(type(value).__name__ for value in results.values())
        assert not misreports_of(world, log, accepted, results), results
    # Failure stands for an undecided publish or one not published.
    assert {"Published", "Conflicting", "Failure"} <= set(outcomes), outcomes
