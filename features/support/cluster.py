"""Entries, agents and engines in one process, on a simulated clock.

Messages take a fixed time and keep their order on each link, as on TCP.
"""

import dataclasses
import functools
import json
import random
import zlib

from twisted.internet import task

from godwitloft import audit
from godwitloft import clock as clocks
from godwitloft import metrics
from godwitloft import trace
from godwitloft.agent import dispatcher as dispatchers
from godwitloft.agent import upstream as upstreams
from godwitloft.entry import call as calls
from godwitloft.entry import request_manager as request_managers
from godwitloft.links.generated.messages import ttypes
from godwitloft.policy import prefix
from godwitloft.standins import engine as engines

LINK_MS = 2
TICK_MS = 15
HEARTBEAT_MS = 500
START_S = 1000.0
TIERS = ("gold", "silver", "bronze")


@dataclasses.dataclass
class CallerRequest:
    """A request and the parts of the answer that its caller received."""

    call: calls.Call
    sent_ms: int
    parts: list = dataclasses.field(default_factory=list)
    last_part_ms: int = 0

    @property
    def outcome(self):
        if not self.parts:
            return "open"
        last = self.parts[-1]
        kind = type(last).__name__.lower()
        reason = getattr(last, "reason", None)
        return f"{kind}:{reason.value}" if reason else kind


class Cluster:
    """The request managers, agents and engines, and the links between."""

    def __init__(self):
        self.reactor = task.Clock()
        self.reactor.advance(START_S)
        self.clock = clocks.Clock(self.now_ms, self.now_ms)
        self.lines = []
        self.managers = {}
        self.agents = {}
        self.engines = {}
        self.links = set()
        self.requests = []
        self.sent = []
        self.heartbeat_count = 0
        self.later(TICK_MS, self.tick)

    def now_ms(self):
        return round(self.reactor.seconds() * 1000)

    def later(self, ms, act, *arguments):
        return self.reactor.callLater(ms / 1000, act, *arguments)

    def tick(self):
        for ticking in (*self.agents.values(), *self.managers.values()):
            ticking.tick()
        if self.now_ms() // HEARTBEAT_MS != self.heartbeat_count:
            self.heartbeat_count = self.now_ms() // HEARTBEAT_MS
            self.send_heartbeats()
        self.later(TICK_MS, self.tick)

    def send_heartbeats(self):
        for name, agent in self.agents.items():
            body = ttypes.Heartbeat(0)
            agent.fill_heartbeat(body)
            for entry in self.managers:
                self.send(name, self.managers, entry, "heartbeat", body)

    def run(self, ms):
        for _ in range(ms):
            self.reactor.advance(0.001)

    def recorder(self, name, **fields):
        recorder = trace.Recorder(
            self.clock, name, f"{name}-1", self.lines.append
        )
        recorder.record(trace.Kind.PROCESS_STARTED, generation=0, **fields)
        return recorder

    def send(self, sender, owners, peer, name, body):
        if (sender, peer) not in self.links:
            return False
        self.sent.append((sender, peer, name, body))
        self.later(LINK_MS, self.deliver, sender, owners, peer, name, body)
        return True

    def deliver(self, sender, owners, peer, name, body):
        if (sender, peer) in self.links:
            owners[peer].receive(sender, name, body)

    def add_entry(self, name, **settings):
        self.managers[name] = request_managers.RequestManager(
            clock=self.clock,
            incarnation=f"{name}-1",
            send=functools.partial(self.send, name, self.agents),
            recorder=self.recorder(name, role="entry"),
            instruments=metrics.discard(),
            settings=request_managers.RequestManagerSettings(**settings),
            generation=lambda: 0,
        )
        return self.managers[name]

    def add_agent(self, name, cap=64, resumable=True, **settings):
        engine = engines.Engine(
            engines.EngineSettings(resumable=resumable, **settings),
            self.reactor,
        )
        self.engines[name] = engine
        port = EnginePort(self, name, engine).port()
        return self.add_dispatcher(
            name,
            port,
            dispatchers.DispatcherSettings(
                max_running=cap, resumable=resumable
            ),
        )

    def add_plain(self, name, failing):
        port = PlainPort(self, name, failing)
        settings = dispatchers.DispatcherSettings(is_model=False)
        self.add_dispatcher(name, port.port(), settings)
        return port

    def add_dispatcher(self, name, port, settings):
        self.agents[name] = dispatchers.Dispatcher(
            clock=self.clock,
            send=functools.partial(self.send, name, self.managers),
            upstream=port,
            recorder=self.recorder(
                name, role="agent", pool="p", resumable=settings.resumable
            ),
            instruments=metrics.discard(),
            settings=settings,
        )
        return self.agents[name]

    def link_all(self):
        for entry in self.managers:
            for agent in self.agents:
                self.link(entry, agent)

    def link(self, entry, agent):
        self.links |= {(entry, agent), (agent, entry)}
        self.agents[agent].peer_up(hello("entry", entry))
        self.managers[entry].peer_up(hello("agent", agent))

    def cut(self, entry, agent):
        self.links -= {(entry, agent), (agent, entry)}
        self.agents[agent].peer_down(entry)
        self.managers[entry].peer_down(agent)

    def send_request(self, entry, rank=0, **fields):
        call = make_call(rank, **fields)
        request = CallerRequest(call, self.now_ms())

        def answer(part):
            request.parts.append(part)
            request.last_part_ms = self.now_ms()

        self.requests.append(request)
        request.request_id = self.managers[entry].accept(call, answer)
        return request

    def audit(self):
        return audit.audit(self.lines)


def hello(role, name):
    return ttypes.Hello(1, role, name, f"{name}-1", "zone", 0, "p", name)


def make_call(
    rank, prompt="", prompt_words=100, output=20, timeout_ms=10_000, **fields
):
    rng = random.Random(repr((rank, prompt, prompt_words, sorted(fields))))
    words = prompt.split()
    while len(words) < prompt_words:
        words.append(f"w{rng.randrange(10**6)}")
    text = " ".join(words)
    body = {"prompt": text, "max_tokens": output}
    defaults = {
        "team": "roasters",
        "team_weight": 1,
        "service": "m",
        "pools": ("p",),
        "method": "POST",
        "path": "/v1/completions",
        "headers": {},
        "stream": True,
        "is_model": True,
        "idempotent": False,
    }
    return calls.Call(
        **(defaults | fields),
        tier=TIERS[rank],
        tier_rank=rank,
        body=json.dumps(body).encode(),
        timeout_ms=timeout_ms,
        prompt_tokens=len(words),
        output_tokens=output,
        prefix_keys=prefix.prefix_keys(text),
        fingerprint=str(zlib.crc32(text.encode())),
    )


class EnginePort:
    """Connects an engine to its agent as upstream, without HTTP."""

    def __init__(self, cluster, name, engine):
        self.cluster, self.name, self.engine = cluster, name, engine
        self.runs = {}

    def port(self):
        return upstreams.Upstream(
            start=self.start,
            cancel=lambda run_id: self.engine.cancel(self.runs[run_id]),
            suspend=lambda run_id: self.engine.suspend(self.runs[run_id]),
            resume=lambda run_id: self.engine.resume(self.runs[run_id]),
            pause_reading=lambda run_id, paused: None,
        )

    def start(self, dispatch):
        run_id = dispatch.request_id
        if self.engine.is_down:
            self.cluster.later(
                1, self.end, run_id, upstreams.End.NEVER_STARTED
            )
            return
        body = json.loads(dispatch.body)
        run = engines.Run(
            run_id,
            body["prompt"],
            body["max_tokens"],
            functools.partial(self.tokens, run_id, dispatch.stream),
            functools.partial(self.ended, run_id),
        )
        self.runs[run_id] = run
        self.engine.submit(run)

    def tokens(self, run_id, stream, first, end):
        if not stream:
            return
        agent = self.cluster.agents[self.name]
        agent.upstream_data(run_id, b"x" * (end - first), end - first, 200, "")

    def ended(self, run_id, outcome):
        end = {
            engines.COMPLETED: upstreams.End.COMPLETED,
            engines.CRASHED: upstreams.End.CRASHED,
        }.get(outcome, upstreams.End.FAILED)
        self.end(run_id, end)

    def end(self, run_id, end):
        agent = self.cluster.agents[self.name]
        agent.upstream_ended(run_id, end, end.value, status=200)


class PlainPort:
    """A plain upstream that takes 20 ms a call and fails the first calls."""

    def __init__(self, cluster, name, failing):
        self.cluster, self.name = cluster, name
        self.failing, self.calls = failing, 0

    def port(self):
        return upstreams.Upstream(
            start=self.start,
            cancel=lambda run_id: None,
            suspend=lambda run_id: None,
            resume=lambda run_id: None,
            pause_reading=lambda run_id, paused: None,
        )

    def start(self, dispatch):
        self.calls += 1
        fails = self.calls <= self.failing
        end = upstreams.End.FAILED if fails else upstreams.End.COMPLETED
        self.cluster.later(20, self.end, dispatch.request_id, end)

    def end(self, run_id, end):
        agent = self.cluster.agents[self.name]
        agent.upstream_ended(run_id, end, end.value, status=200)


def outcomes(requests):
    return [request.outcome for request in requests]
