"""Gateways before upstreams of unequal speed, on one simulated clock."""

import dataclasses
import math
import random

from features import heap_clock
from features.support import gateway_world
from godwitloft import attempt as attempts
from godwitloft.gateway import options
from godwitloft.gateway.placing import placement
from godwitloft.links import datagrams

TICK_MS = 25
DATAGRAM_MS = 2
ANNOUNCE_TICKS = 4
FIRST_SHARE = 0.4
NOISE = 0.2
# Time in which an answer is due, relative to the usual one alone.
TARGET = 5.0


@dataclasses.dataclass
class Upstream:
    """An upstream that is slower beyond its knee."""

    speed: float
    knee: float
    slots: int
    running: int = 0
    # Returns by what its time is multiplied at a time of the run.
    slowed: object = staticmethod(lambda _at_ms: 1.0)
    refuses_beyond: int = 1000
    most_running: int = 0

    def relative_time(self, load, at_ms):
        growth = max(1.0, load / self.knee)
        return growth * self.slowed(at_ms) / self.speed


class Attempt:
    """One request at an upstream."""

    def __init__(self, fleet, upstream, outgoing, callbacks):
        self.fleet = fleet
        self.upstream = upstream
        self.headers = dict(outgoing.headers)
        self.callbacks = callbacks
        self.sent = True
        self.is_closed = False
        self.timers = []
        self.over = False
        upstream.running += 1
        upstream.most_running = max(upstream.most_running, upstream.running)
        if upstream.running > upstream.refuses_beyond:
            self.later(1, self.refuse)
            return
        relative = upstream.relative_time(upstream.running, fleet.at_ms)
        noise = math.exp(fleet.rng.gauss(0.0, NOISE))
        took_ms = fleet.usual_ms * relative * noise
        self.later(fleet.first_share * took_ms, self.begin)
        self.later(took_ms, self.end)

    def later(self, delay_ms, function):
        self.timers.append(
            self.fleet.reactor.callLater(delay_ms / 1000, function)
        )

    def head(self, status):
        name = gateway_world.DIALECT.request_id
        head = [(name, self.headers[name]), (b"transfer-encoding", b"chunked")]
        head.append((gateway_world.DIALECT.seal, b"seal"))
        self.callbacks.on_head(status, head)

    def begin(self):
        self.head(200)
        self.callbacks.on_data(b"id: 1\ndata: ok\n\n")

    def refuse(self):
        self.head(503)
        self.end()

    def end(self):
        self.cancel()
        self.callbacks.on_end(attempts.End.COMPLETE, "")

    def cancel(self):
        if not self.over:
            self.over = True
            self.upstream.running -= 1
        for timer in self.timers:
            if timer.active():
                timer.cancel()

    def conclude(self):
        """Does nothing: no answer waits for a check of its upstream."""

    def pause_reading(self, _paused):
        """Does nothing: an answer is one short event."""


def oracle(fleet, world):
    """Tells a gateway the speeds and knees."""
    rooms = world.gateway.rooms

    def learn_rooms():
        for name, upstream in fleet.upstreams.items():
            state = world.gateway.fleet.states[name]
            state.learned_room = math.ceil(upstream.knee)

    rooms.check = learn_rooms
    rooms.record_answer = lambda *_: None
    rooms.relative_time = lambda state: fleet.upstreams[
        state.upstream.id
    ].relative_time(
        fleet.upstreams[state.upstream.id].running + 1, fleet.at_ms
    )
    rooms.usual.work = lambda _facts, is_engine: placement.Work(
        fleet.usual_ms * (1 - fleet.first_share if is_engine else 1.0),
        not is_engine,
    )


def previous(_fleet, world):
    """Lets a gateway choose as it did before it learned anything of rooms."""
    rooms = world.gateway.rooms
    rooms.check = lambda: None
    rooms.record_answer = lambda *_: None
    rooms.record_unanswered = lambda *_: None
    rooms.record_refusal = lambda *_: None
    rooms.reports = lambda: ()


def equal(fleet, world):
    """Lets a gateway use all upstreams alike."""
    previous(fleet, world)
    placer = world.gateway.placer
    place = placer.place

    def place_alike(state, now_ms):
        found = place(state, now_ms)
        return found and dataclasses.replace(
            found, slowness=1.0, pending_prompt_tokens=0
        )

    placer.place = place_alike


def learned(_fleet, _world):
    """Leaves a gateway as it is."""


MODES = {
    "oracle": oracle,
    "learned": learned,
    "previous": previous,
    "equal": equal,
}


class UnequalUpstreams:
    """Gateways, upstreams and callers."""

    def __init__(self, upstreams, usual_ms, gateways=1, mode=learned, **kind):
        self.rng = random.Random(kind.get("seed", 5))
        self.route = kind.get("route", "post")
        # A plain service answers all at once.
        self.first_share = FIRST_SHARE if self.route == "class" else 1.0
        self.upstreams = {
            f"u{number}": upstream for number, upstream in enumerate(upstreams)
        }
        self.usual_ms = usual_ms
        self.reactor = heap_clock.HeapClock()
        self.reactor.advance(gateway_world.START_S)
        self.started_s = self.reactor.seconds()
        self.hosts = {f"g{number}": f"h{number}" for number in range(gateways)}
        self.asked = []
        self.answered = {}
        self.cut_off = set()
        self.pending = []
        self.ticks = 0
        self.worlds = [self.make_world(n) for n in range(gateways)]
        for world in self.worlds:
            mode(self, world)
        self.due = 0.0

    @property
    def at_ms(self):
        return (self.reactor.seconds() - self.started_s) * 1000

    def listed(self, born=None):
        service = "desk" if self.route in ("post", "lookup") else "model"
        return {
            name: dataclasses.replace(
                gateway_world.upstream(name, service, upstream.slots),
                born_ms=(born or {}).get(name, 1),
            )
            for name, upstream in self.upstreams.items()
        }

    def make_world(self, number):
        world = gateway_world.World(
            (),
            self.reactor,
            f"g{number}",
            policies=options.LoadPolicies(learned_room=True),
        )
        world.gateway.dependencies = dataclasses.replace(
            world.gateway.dependencies, send=self.send
        )
        config = gateway_world.configuration()
        routes = tuple(
            dataclasses.replace(
                route,
                target_ms=round(TARGET * self.usual_ms),
                timeout_ms=round(4 * TARGET * self.usual_ms),
            )
            for route in config.routes
        )
        config = dataclasses.replace(config, routes=routes, version=2)
        world.gateway.config_state.configure(config)
        world.gateway.update_upstreams(self.listed())

        def send(data, where):
            self.reactor.callLater(
                DATAGRAM_MS / 1000, self.deliver, number, data, where[0]
            )

        world.sharing.announcer.send = send
        others = dict(self.hosts)
        del others[f"g{number}"]
        world.gateway.update_gateways(others)
        return world

    def deliver(self, sender, data, host):
        number = int(host[1:])
        if sender not in self.cut_off and number not in self.cut_off:
            self.worlds[number].gateway.on_datagram(
                datagrams.decode(data), (f"h{sender}", 1)
            )

    def send(self, place, outgoing, callbacks):
        return Attempt(self, self.upstreams[place.id], outgoing, callbacks)

    @property
    def capacity_per_s(self):
        return sum(
            min(upstream.slots, upstream.knee)
            * upstream.speed
            / upstream.slowed(self.at_ms)
            for upstream in self.upstreams.values()
        ) / (self.usual_ms / 1000)

    def ask(self):
        world = self.rng.choice(self.worlds)
        left_ms = round(4 * TARGET * self.usual_ms)
        caller = world.ask(f"r{len(self.asked)}", self.route, left_ms=left_ms)
        self.pending.append(len(self.asked))
        self.asked.append((self.at_ms, caller))

    def run(self, duration_ms, load):
        for _ in range(round(duration_ms / TICK_MS)):
            self.due += (
                self.rng.uniform(0.5, 1.5)
                * load
                * self.capacity_per_s
                * TICK_MS
                / 1000
            )
            while self.due >= 1:
                self.due -= 1
                self.ask()
            self.reactor.advance(TICK_MS / 1000)
            self.ticks += 1
            for world in self.worlds:
                world.confirm()
                world.gateway.tick()
                if self.ticks % ANNOUNCE_TICKS == 0:
                    world.gateway.announce()
            self.note_answers()

    def note_answers(self):
        still_pending = []
        for number in self.pending:
            status = self.asked[number][1].status
            if status is None:
                still_pending.append(number)
            else:
                self.answered[number] = (self.at_ms, status)
        self.pending = still_pending

    def in_time(self, since_ms=0.0):
        """Returns the number of answers that came in time."""
        target_ms = TARGET * self.usual_ms
        return sum(
            status == 200 and at_ms - self.asked[number][0] <= target_ms
            for number, (at_ms, status) in self.answered.items()
            if self.asked[number][0] >= since_ms
        )

    def rooms(self):
        """Returns the room of each upstream at the first gateway."""
        states = self.worlds[0].gateway.fleet.states
        return {name: state.room for name, state in states.items()}


def compare(upstreams, gateways, load, duration_ms, route, usual_ms=150):
    """Returns what each mode finished in time over the same requests."""
    found = {}
    for name, mode in MODES.items():
        fleet = UnequalUpstreams(
            [dataclasses.replace(one) for one in upstreams],
            usual_ms,
            gateways,
            mode,
            route=route,
        )
        fleet.run(duration_ms, load)
        found[name] = fleet.in_time()
    return found
