"""Gateways before engines that crash, on one simulated clock."""

import collections
import dataclasses
import functools
import random

from features.support import gateway_world
from godwitloft import attempt as attempts
from godwitloft.links import datagrams

STEP_MS = 10
DATAGRAM_MS = 2
ANNOUNCE_STEPS = 5
HEAD_MS = 50
CRASH_MS = 60
EVENT_GAP_MS = 200
EVENT = b"id: 1\ndata: ok\n\n"
# The deployment's contact-ms.
CONTACT_MS = 3000
SLOTS = 6
# How often a gateway saves its row besides when something is to be kept.
SAVE_STEPS = 100


@dataclasses.dataclass
class Engine:
    """An engine that runs requests until it crashes."""

    name: str
    down_until_ms: int = 0
    # When its port closes, the connections made after the crash with it.
    accepts_until_ms: int = 0
    running: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that has reached an engine."""

    at_ms: int
    causes: frozenset[str]


class EngineAttempt:
    """One request at an engine."""

    def __init__(self, fleet, gateway, engine, outgoing, callbacks):
        self.fleet = fleet
        self.gateway = gateway
        self.engine = engine
        self.headers = dict(outgoing.headers)
        self.target = outgoing.target.decode()
        self.callbacks = callbacks
        self.sent = False
        # It chunks its answers, so that no end of a connection is checked.
        self.is_closed = False
        self.over = False
        self.timers = []

    def start(self):
        now_ms = self.fleet.now_ms()
        if now_ms < self.engine.accepts_until_ms:
            self.sent = True
            left_ms = self.engine.accepts_until_ms - now_ms
            reason = "connection_reset"
            self.later(left_ms, self.end, attempts.End.BROKEN, reason)
            return
        if now_ms < self.engine.down_until_ms:
            self.later(1, self.end, attempts.End.NOT_SENT, "not_connected")
            return
        self.sent = True
        self.engine.running.append(self)
        self.fleet.record_arrival(self)
        self.later(HEAD_MS, self.begin)

    @property
    def parts(self):
        text = self.headers.get(gateway_world.DIALECT.prompt_parts, b"")
        return [entry.partition(":")[0] for entry in text.decode().split(",")]

    @property
    def causes(self):
        """What in this request may crash its engine: parts, and the whole."""
        return frozenset([*self.parts, self.target])

    def begin(self):
        name = gateway_world.DIALECT.request_id
        head = [(name, self.headers[name]), (b"transfer-encoding", b"chunked")]
        head.append((gateway_world.DIALECT.seal, b"seal"))
        head.extend(self.fleet.signs(self))
        self.callbacks.on_head(200, head)
        crashing = self.fleet.bad & self.causes
        if crashing:
            if self.fleet.writes_before_crash:
                self.callbacks.on_data(EVENT)
            crash_ms = self.fleet.crash_ms
            self.later(crash_ms, self.fleet.crash, self.engine, *crashing)
            return
        for at_ms in range(0, self.fleet.answer_ms, EVENT_GAP_MS):
            self.later(at_ms, self.callbacks.on_data, EVENT)
        self.later(self.fleet.answer_ms, self.complete)

    def complete(self):
        self.callbacks.on_data(EVENT)
        self.end(attempts.End.COMPLETE, "")

    def end(self, how, reason):
        if not self.over:
            self.stop()
            self.callbacks.on_end(how, reason)

    def stop(self):
        self.over = True
        for timer in self.timers:
            if timer.active():
                timer.cancel()
        if self in self.engine.running:
            self.engine.running.remove(self)

    def cancel(self):
        self.stop()

    def conclude(self):
        """Does nothing: no answer waits for a check of its engine."""

    def later(self, delay_ms, function, *arguments):
        timer = self.fleet.reactor.callLater(
            delay_ms / 1000, function, *arguments
        )
        self.timers.append(timer)


class CrashingEngines:
    """Gateways, engines, and callers with sound and bad prompts."""

    def __init__(self, gateways, engines, seed=7, slots=SLOTS):
        self.rng = random.Random(seed)
        self.slots = slots
        self.engines = {
            f"u{number}": Engine(f"u{number}") for number in range(engines)
        }
        # Parts of prompts, and paths of requests, that crash engines.
        self.bad = set()
        self.writes_before_crash = False
        self.datagram_ms = DATAGRAM_MS
        # Share of the datagrams between gateways that are lost.
        self.datagram_loss = 0.0
        # Returns the shared parts of the request of a number that is repeated.
        self.repeated_parts = lambda _number: ()
        self.answer_ms = 100
        self.crash_ms = CRASH_MS
        self.down_ms = 3000
        # How long the port of an engine that crashes accepts connections.
        self.port_closes_ms = 0
        self.arrivals = []
        # When each bad part or request came to gateways.
        self.asked_ms = collections.defaultdict(list)
        self.crashes_ms = []
        self.crashes_by = collections.defaultdict(list)
        self.sound = []
        self.count = 0
        self.worlds = []
        # What each gateway has saved, and when.
        self.rows = {}
        self.reactor = None
        self.hosts = {f"g{number}": f"h{number}" for number in range(gateways)}
        for number in range(gateways):
            self.worlds.append(self.make_world(number))
        self.run(1000)

    def restart(self, number):
        """Replaces a gateway by one that knows what the rows hold."""
        world = self.worlds[number]
        for request in list(world.gateway.running):
            world.gateway.cancel_attempt(request)
        world = self.worlds[number] = self.make_world(number)
        for saved, saved_ms in self.rows.values():
            age_ms = self.now_ms() - saved_ms
            world.gateway.knowledge.restore_blames(saved, age_ms)

    def save(self, number, always):
        """Saves a gateway's row if it wants to, or always."""
        knowledge = self.worlds[number].gateway.knowledge
        if always or knowledge.needs_saving():
            knowledge.mark_saved()
            self.rows[number] = (knowledge.blame_reports(), self.now_ms())

    def make_world(self, number):
        world = gateway_world.World((), self.reactor, f"g{number}")
        self.reactor = world.reactor
        world.gateway.dependencies = dataclasses.replace(
            world.gateway.dependencies,
            send=functools.partial(self.send, number),
            check_connection=self.check_connection,
        )
        world.gateway.update_upstreams(
            {
                name: gateway_world.upstream(name, "model", slots=self.slots)
                for name in self.engines
            }
        )

        def send(data, where):
            self.reactor.callLater(
                self.datagram_ms / 1000,
                self.deliver,
                f"h{number}",
                data,
                where[0],
            )

        world.sharing.announcer.send = send
        others = dict(self.hosts)
        del others[f"g{number}"]
        world.gateway.update_gateways(others)
        return world

    def deliver(self, sender, data, host):
        if self.datagram_loss and self.rng.random() < self.datagram_loss:
            return
        world = self.worlds[int(host[1:])]
        world.gateway.on_datagram(datagrams.decode(data), (sender, 1))

    def now_ms(self):
        return round(self.reactor.seconds() * 1000)

    def record_arrival(self, attempt):
        """Records that a request has reached its engine."""
        self.arrivals.append(Arrival(self.now_ms(), attempt.causes))

    def signs(self, _attempt):
        """Returns what an engine says of itself in the head of an answer."""
        return []

    def send(self, gateway, upstream, outgoing, callbacks):
        engine = self.engines[upstream.id]
        attempt = EngineAttempt(self, gateway, engine, outgoing, callbacks)
        attempt.start()
        return attempt

    def check_connection(self, upstream, on_checked):
        engine = self.engines[upstream.id]
        now_ms = self.now_ms()
        accepts = (
            now_ms >= engine.down_until_ms or now_ms < engine.accepts_until_ms
        )
        self.reactor.callLater(0.002, on_checked, accepts)

    def crash(self, engine, cause=""):
        if self.now_ms() < engine.down_until_ms:
            return
        self.crashes_ms.append(self.now_ms())
        self.crashes_by[cause].append(self.now_ms())
        engine.down_until_ms = self.now_ms() + self.down_ms
        engine.accepts_until_ms = self.now_ms() + self.port_closes_ms
        for attempt in list(engine.running):
            attempt.end(attempts.End.BROKEN, "answer_cut")

    def ask(self, parts):
        """Sends a request with these shared parts to any gateway."""
        self.count += 1
        caller = self.send_request(f"/class/{self.count}", parts)
        for part in self.bad & set(parts):
            self.asked_ms[part].append(self.now_ms())
        if not self.bad & set(parts):
            self.sound.append((self.now_ms(), caller))
        return caller

    def ask_and_wait(self, parts):
        """Sends a request with these shared parts and waits for its end."""
        caller = self.ask(parts)
        while not caller.status:
            self.run(STEP_MS)

    def repeat(self, number):
        """Sends once more the request of this number, which is bad."""
        target = f"/class/bad{number}"
        self.bad.add(target)
        self.asked_ms[target].append(self.now_ms())
        self.count += 1
        self.send_request(target, self.repeated_parts(number))

    def send_request(self, target, parts):
        world = self.rng.choice(self.worlds)
        text = ",".join(f"{part}:60" for part in [*parts, f"{self.count:x}"])
        caller = gateway_world.Caller(world)
        caller.send(
            b"POST %s HTTP/1.1\r\nHost: h\r\n"
            b"Godwitloft-Request-Id: r%d\r\n"
            b"Godwitloft-Deadline-Ms: 5000\r\n"
            b"Authorization: Token key\r\n"
            b"Godwitloft-Prompt-Prefix: %s\r\n"
            b"Content-Length: 0\r\n\r\n"
            % (target.encode(), self.count, text.encode())
        )
        return caller

    def run(
        self,
        duration_ms,
        sound_gap_ms=0,
        bad_gap_ms=0,
        rare_gap_ms=0,
        repeat_gap_ms=0,
        repeated=1,
        bad_parts=1,
    ):
        """Lets time pass with a request of each kind in each gap.

        Of requests that crash engines as a whole, ``repeated`` ones come in
        turn, each the same again; of bad parts, ``bad_parts``.
        """
        for step in range(duration_ms // STEP_MS):
            at_ms = step * STEP_MS
            if repeat_gap_ms and at_ms % repeat_gap_ms == 0:
                self.repeat(at_ms // repeat_gap_ms % repeated)
            if sound_gap_ms and at_ms % sound_gap_ms == 0:
                self.ask([f"aa{self.rng.randrange(3)}"])
            if bad_gap_ms and at_ms % bad_gap_ms == 0:
                part = f"bad{at_ms // bad_gap_ms % bad_parts}"
                self.bad.add(part)
                self.ask([f"aa{self.rng.randrange(3)}", part])
            if rare_gap_ms and at_ms % rare_gap_ms == 0:
                self.ask(["aa0", "cc0"])
            self.reactor.advance(STEP_MS / 1000)
            for number, world in enumerate(self.worlds):
                world.confirm()
                self.save(number, step % SAVE_STEPS == 0)
                if step % 2 == 0:
                    world.gateway.tick()
                if step % ANNOUNCE_STEPS == 0:
                    world.gateway.announce()

    def begun_share(self, since_ms, until_ms):
        """Returns the share of sound requests that got an answer."""
        found = [
            caller.status == 200
            for at_ms, caller in self.sound
            if since_ms <= at_ms < until_ms
        ]
        return sum(found) / len(found)

    def late_arrivals(self, cause, crashes):
        """Returns when a cause of crashes reached engines too late."""
        times_ms = self.crashes_by[cause]
        if len(times_ms) < crashes:
            return []
        bound_ms = times_ms[crashes - 1] + CONTACT_MS
        return [
            arrival.at_ms
            for arrival in self.arrivals
            if cause in arrival.causes and arrival.at_ms > bound_ms
        ]
