"""A gateway that follows a stand-in store, all on a simulated clock."""

import base64
import collections
import dataclasses
import json
import random
import urllib.parse

from twisted.internet import defer

from features.support import gateway_world
from features.support import lakeshore as settings
from features.support import logs
from godwitloft.platform import lease_keeper
from godwitloft.platform import rollout_watch
from godwitloft.platform import row_decoder
from godwitloft.platform import store as stores
from godwitloft.platform import stream_table
from godwitloft.platform import watch as watches
from godwitloft.standins import lakeshore

STEP_MS = 20
HEARTBEAT_MS = 1_000
OPERATOR_MS = 3_000
POLL_MS = 1_000


@dataclasses.dataclass
class Waiting:
    """A long poll that has not been answered."""

    table: str
    after: int
    until_s: float
    answer: defer.Deferred


class StoreClient:
    """Calls the stand-in store without connections."""

    def __init__(self, rows, reactor, on_headers):
        self.rows = rows
        self.reactor = reactor
        self.on_headers = on_headers
        self.cut = False
        # Whether long polls pass although the store is cut off.
        self.polls_pass = False
        # Answers to a process that stands still, None while it runs.
        self.unread = None
        # How long reads and writes take, and whether writes fail.
        self.read_ms = 0
        self.write_ms = 0
        self.writes_fail = False
        # Number of writes that take effect, but whose answers are lost.
        self.lose_answers = 0
        # After what time writes are performed whose answers are lost, None
        # while no answer is lost.
        self.late_ms = None
        # Returns how long calls take behind a full link, None for no such
        # link.
        self.link_ms = None
        self.waiting = []
        # Calls by path and table.
        self.calls = collections.Counter()

    def call(self, method, target, body=b"", timeout_ms=1000):
        path, _, query = target.partition("?")
        table = dict(urllib.parse.parse_qsl(query)).get("table", "")
        self.calls[path, table] += 1
        if self.link_ms is not None:
            return self.call_through_link(target, body, timeout_ms)
        is_write = target.startswith("/rows-tx")
        if is_write and self.late_ms is not None:
            return self.perform_late(target, body, timeout_ms)
        if is_write and self.lose_answers:
            self.lose_answers -= 1
            answer = self.call_now(target, body)
            answer.addErrback(lambda _failure: None)
            return defer.fail(stores.StoreError(target, 0, "lost"))
        if is_write and self.writes_fail:
            return defer.fail(stores.StoreError(target, 503, "failed"))
        is_read = target.startswith("/rows-get")
        if is_write and self.write_ms:
            return self.call_later(target, body, self.write_ms, timeout_ms)
        if is_read and self.read_ms:
            return self.call_later(target, body, self.read_ms, timeout_ms)
        answer = self.call_now(target, body)
        if self.unread is None:
            return answer
        late = defer.Deferred()
        self.unread.append((answer, late))
        return late

    def call_later(self, target, body, delay_ms, timeout_ms):
        """Calls after a while, or never if the caller gives up before."""
        late = defer.Deferred()

        def end():
            if delay_ms > timeout_ms:
                late.errback(stores.StoreError(target, 0, "timeout"))
            else:
                self.call_now(target, body).chainDeferred(late)

        self.reactor.callLater(min(delay_ms, timeout_ms) / 1000, end)
        return late

    def perform_late(self, target, body, timeout_ms):
        """Performs a write later, also if the caller has ended by then."""
        lost = defer.Deferred()
        self.reactor.callLater(
            self.late_ms / 1000, self.rows.transact, json.loads(body)
        )
        self.reactor.callLater(
            timeout_ms / 1000,
            lambda: lost.errback(stores.StoreError(target, 0, "timeout")),
        )
        return lost

    def call_through_link(self, target, body, timeout_ms):
        """Calls behind callers' bytes; only the way to the store is slow."""
        late = defer.Deferred()

        def reach():
            if not late.called:
                self.call_now(target, body).addCallbacks(answer, fail)

        def answer(result):
            if not late.called:
                late.callback(result)

        def fail(failure):
            if not late.called:
                late.errback(failure)

        def time_out():
            if not late.called:
                late.errback(stores.StoreError(target, 0, "timeout"))

        self.reactor.callLater(self.link_ms() / 1000, reach)
        self.reactor.callLater(timeout_ms / 1000, time_out)
        return late

    def wake(self):
        """Delivers the answers that came while the process stood still."""
        unread, self.unread = self.unread, None
        for answer, late in unread:
            answer.addCallbacks(late.callback, late.errback)

    def call_now(self, target, body):
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        if self.cut and not (self.polls_pass and path == "/rows-feed"):
            return defer.fail(stores.StoreError(path, 0, "not connected"))
        if self.rows.is_away():
            return self.answer(path, 503, {})
        if path == "/rows-get":
            keys = fields.get("from", ""), fields.get("to", "")
            found = self.rows.read(fields["table"], *keys)
            return self.answer(path, 200, found)
        if path == "/rows-tx":
            if not self.rows.transact(json.loads(body)):
                return self.answer(path, 412, {})
            return self.answer(path, 200, self.rows.answer([]))
        until_s = self.reactor.seconds() + int(fields["wait-ms"]) / 1000
        answer = defer.Deferred()
        poll = Waiting(fields["table"], int(fields["after"]), until_s, answer)
        self.waiting.append(poll)
        return answer

    def answer(self, path, status, body):
        headers = [(b"store-era", b"%d" % self.rows.timeline)]
        self.on_headers(status, headers)
        if status == 410:
            return defer.fail(stores.HistoryLostError(path, 410, "gone"))
        if status == 412:
            return defer.fail(stores.ConditionError(path, 412, "changed"))
        if status != 200:
            return defer.fail(stores.StoreError(path, status, "failed"))
        return defer.succeed(stores.Answer(body, self.rows.timeline))

    def poll(self):
        """Answers the long polls that can be answered."""
        for waiting in list(self.waiting):
            answer = self.try_poll(waiting)
            if answer is not None:
                self.waiting.remove(waiting)
                answer.addCallbacks(
                    waiting.answer.callback, waiting.answer.errback
                )

    def try_poll(self, waiting):
        rows = self.rows
        if self.cut and not self.polls_pass:
            return defer.fail(stores.StoreError("/rows-feed", 0, "cut"))
        if rows.is_away():
            return self.answer("/rows-feed", 503, {})
        if not rows.oldest_version <= waiting.after <= rows.version:
            return self.answer("/rows-feed", 410, {})
        changes = rows.changes(waiting.table, waiting.after)
        if changes["rows"] or self.reactor.seconds() >= waiting.until_s:
            return self.answer("/rows-feed", 200, changes)
        return None


class RestoredStore:
    """The store, its writers, and a gateway that follows it.

    A gateway that follows the store of another one has the other's rows and
    reactor, and does not drive them.
    """

    def __init__(
        self,
        context,
        rows=None,
        instance="g0",
        host="127.0.0.1",
        is_new=False,
        rollouts=None,
    ):
        self.log = logs.record(context)
        self.world = gateway_world.World(
            upstreams=(),
            reactor=rows.reactor if rows else None,
            instance=instance,
            is_new=is_new,
        )
        self.gateway = self.world.gateway
        self.reactor = self.world.reactor
        self.rows = rows or lakeshore.Rows(self.reactor)
        self.timeline = stores.Timeline(self.on_restored)
        self.client = StoreClient(
            self.rows, self.reactor, self.timeline.on_headers
        )
        self.gateway.knowledge.store_timeline = lambda: self.timeline.current
        self.gateway.knowledge.on_peer_timeline = self.timeline.observe
        self.store = stores.Store(self.client, self.timeline)
        self.upstreams = {}
        # Since when the upstream of a row is silent.
        self.silent_s = {}
        self.gateway.config_state.key_proof_ms = 4000
        decoder = row_decoder.RowDecoder()
        self.rollouts = rollouts or self.gateway.rollouts
        self.gateway.confirmation.rollouts = self.rollouts
        self.rollout_watch = rollout_watch.RolloutWatch(
            self.world.clock,
            self.store,
            self.rollouts,
            self.gateway.confirmation,
            decoder.decode,
            self.configuration,
            self.listed,
            POLL_MS,
            lambda: self.lease.usage_restored,
        )
        sharing = self.world.sharing
        confirmation = self.gateway.confirmation
        self.lease = lease_keeper.LeaseKeeper(
            self.world.clock,
            self.store,
            lease_keeper.LeaseCallbacks(
                on_gateways=self.gateway.update_gateways,
                on_usage_restored=sharing.start.restore,
                on_usage_found=sharing.start.restore_newer,
                on_peer_usage_restored=sharing.start.restore_peer,
                on_registered=sharing.start.join,
                on_blames_restored=self.gateway.knowledge.restore_blames,
                on_versions_restored=self.gateway.versions.restore,
                usage=sharing.own.usage,
                blames=self.gateway.knowledge.blame_reports,
                versions=self.gateway.versions.to_save,
                needs_saving=self.gateway.knowledge.needs_saving,
                must_save=lambda: sharing.own.unsaved.must_save,
                before_save=self.gateway.knowledge.mark_saved,
                on_saved=self.gateway.versions.record_saved,
                on_restored_before=self.on_restored_before,
                count_cut_back=lambda _what, _number: None,
            ),
            confirmation.store_contact,
            confirmation.hosts,
            instance,
            host,
            decoder.decode,
            random.Random(1),
        )
        self.watch = watches.Watch(
            self.reactor,
            self.world.clock,
            self.store,
            watches.WatchCallbacks(
                on_configuration=self.gateway.config_state.configure,
                on_confirmed=self.gateway.config_state.confirm_stored,
                on_upstreams=self.gateway.update_upstreams,
                on_answered=self.gateway.knowledge.on_store_answered,
                on_restored=self.gateway.on_store_restored,
                settle_left_ms=self.gateway.config_state.settle_left_ms,
                count_cut_back=lambda _what, _number: None,
                on_operator_rows=self.rollout_watch.on_operator_rows,
                needs_operator_rows=self.rollout_watch.needs_orders,
            ),
            confirmation,
            self.lease,
            decoder.decode,
            4000,
            3 * HEARTBEAT_MS + 1000,
        )
        self.streams = stream_table.StreamTable(
            self.world.clock,
            self.store,
            self.gateway.continuations,
            f"{instance}-{random.getrandbits(32):x}",
            decoder.decode,
        )

    def start_watching(self):
        self.watch.start()
        streams = self.streams
        self.watch.start_loop("streams", streams.needs_reading, streams.read)
        self.watch.start_loop("records", streams.needs_writing, streams.write)
        rollouts = self.rollout_watch
        self.watch.start_loop(
            "roll-outs", rollouts.needs_reading, rollouts.read
        )
        self.watch.start_loop("steps", rollouts.needs_writing, rollouts.write)

    def configuration(self):
        router = self.gateway.config_state.router
        return router.configuration if router else None

    def listed(self):
        if self.gateway.confirmation.held_list is None:
            return None
        return [state.upstream for state in self.gateway.fleet.listed.values()]

    def on_restored(self, before, now):
        self.watch.on_store_restored(before, now)
        self.rollout_watch.on_restored()

    def on_restored_before(self, age_ms):
        self.gateway.config_state.mark_restored_before(age_ms)
        self.rollout_watch.mark_restored_before(age_ms)

    def now_ms(self):
        return self.world.clock.monotonic_ms()

    def advance(self, duration_ms):
        for _ in range(duration_ms // STEP_MS):
            self.reactor.advance(STEP_MS / 1000)
            self.client.poll()
            for upstream in self.upstreams.values():
                upstream.write_if_due(self.reactor.seconds())
            self.lapse()

    def lapse(self):
        """Removes rows whose upstreams have been silent for three beats."""
        now_s = self.reactor.seconds()
        for table, name in list(self.rows.rows):
            if table != "servers" or name in self.upstreams:
                self.silent_s.pop(name, None)
                continue
            since_s = self.silent_s.setdefault(name, now_s)
            if now_s - since_s > 3 * HEARTBEAT_MS / 1000:
                self.rows.put("servers", name, None)

    def configure(self, version):
        self.rows.put_json("op", "config", settings.config(version))

    def start(self, name, born_ms):
        self.upstreams[name] = Upstream(name, born_ms, self.rows)

    def drill(self, away_ms, copy_age_ms):
        self.rows.drill(away_ms, copy_age_ms, OPERATOR_MS)

    def usable(self):
        return sorted(
            state.upstream.id for state in self.gateway.fleet.usable("desk")
        )


class Upstream:
    """Writes its row when it changes, or when the store has lost it.

    At each heartbeat it looks; an unchanged row is not written again.
    """

    def __init__(
        self, name, born_ms, rows, service="desk", version="v1", slots=4
    ):
        self.name = name
        self.born_ms = born_ms
        self.rows = rows
        self.service = service
        self.version = version
        self.slots = slots
        self.state = "ready"
        self.due_s = 0.0

    def write_if_due(self, now_s):
        if now_s < self.due_s or self.rows.is_away():
            return
        self.due_s = now_s + HEARTBEAT_MS / 1000
        found = self.rows.rows.get(("servers", self.name))
        if found is not None and found[0] == encode(self.row()):
            return
        self.rows.put_json("servers", self.name, self.row())

    def row(self):
        """Returns the content of its row."""
        return {
            "service": self.service,
            "address": "127.0.0.1:9",
            "zone": "a",
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "sequence": 1,
            "born": self.born_ms,
        }

    def end(self):
        self.rows.put("servers", self.name, None)


def encode(row):
    return base64.b64encode(json.dumps(row).encode()).decode()
