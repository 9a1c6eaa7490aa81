"""Simulates a network of real request managers and dispatchers.

The test chooses which of the possible events happens next: a message arrives,
time passes, a run makes progress or something fails. Links, time, callers and
upstreams are simple fakes.
"""

import collections
import dataclasses
import json
import logging

from godwitloft import audit
from godwitloft import clock as clocks
from godwitloft import events
from godwitloft import metrics
from godwitloft import trace
from godwitloft.agent import dispatcher as dispatchers
from godwitloft.agent import upstream as upstreams
from godwitloft.entry import answers
from godwitloft.entry import call as calls
from godwitloft.entry import request_manager as request_managers
from godwitloft.links.generated.messages import ttypes

PARTS_PER_ANSWER = 2
TIMEOUTS_MS = (20_000, 3_600_000)
FAULT_STEPS_MS = (20, 1_500, 6_000, 25_000, 700_000)
SETTLE_STEPS_MS = (2_000,) * 20 + (700_000,) * 10
FINAL = (answers.Complete, answers.Refused, answers.Failed)
KINDS = ("model", "idempotent", "fixed")


def answer_parts(body, run_id):
    """Returns the parts of an answer.

    Each run gets a different answer, so that a mix of the answers of two runs
    is detected.
    """
    name = run_id.encode()
    return [
        b"%s:%s:%d;" % (body, name, part) for part in range(PARTS_PER_ANSWER)
    ]


class Caller:
    def __init__(self, kind, stream, body):
        self.kind = kind
        self.stream = stream
        self.body = body
        self.received = []
        self.entry = None
        self.request_id = ""

    def final_answers(self):
        return [
            answer for answer in self.received if isinstance(answer, FINAL)
        ]

    def data(self):
        parts = [
            answer.data
            for answer in self.received
            if isinstance(answer, answers.Data)
        ]
        return b"".join(parts)


class Engine:
    """The upstream of an agent; it outlives the agent's process."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.up = True
        self.ledger = []
        self.runs = {}

    def start(self, agent, dispatch):
        run_id = dispatch.request_id
        if not self.up:
            self.runs[run_id] = [agent, "refused", []]
            return
        self.ledger.append(run_id)
        if agent.incarnation in self.fleet.drained:
            self.fleet.breach(f"{run_id} started on draining {self.name}")
        if (agent.incarnation, run_id) in self.fleet.reported_never_started:
            self.fleet.breach(f"{run_id} started after never_started")
        self.fleet.started.add((agent.incarnation, run_id))
        parts = answer_parts(dispatch.body, run_id)
        self.runs[run_id] = [agent, "running", parts]

    def cancel(self, run_id):
        if run_id in self.runs:
            self.runs[run_id][1] = "cancelled"

    def step_run(self, run_id):
        """Sends the next part of a run, or ends it after the last."""
        agent, state, parts = self.runs[run_id]
        dispatcher = agent.dispatcher
        if state == "running" and parts:
            data = parts.pop(0)
            dispatcher.upstream_data(run_id, data, 1, 200, "text/plain")
            return
        del self.runs[run_id]
        end = {
            "running": upstreams.End.COMPLETED,
            "refused": upstreams.End.NEVER_STARTED,
            "cancelled": upstreams.End.FAILED,
        }[state]
        dispatcher.upstream_ended(run_id, end, state, 0, 200, "text/plain")

    def crash(self):
        for run_id, (agent, state, _) in tuple(self.runs.items()):
            if state != "refused":
                del self.runs[run_id]
                agent.dispatcher.upstream_ended(
                    run_id, upstreams.End.CRASHED, "connection_lost"
                )


class Process:
    """An entry or agent; after a crash a new one has the same name."""

    def __init__(self, fleet, name, role):
        self.fleet = fleet
        self.name = name
        self.role = role
        fleet.starts += 1
        self.incarnation = f"{name}-{fleet.starts}"
        self.links = {}
        self.dead = False
        self.paused = False

    def send(self, peer, name, body):
        link = self.links.get(peer)
        if link is None:
            return False
        link.queues[self.name].append((name, body))
        return True

    def hello(self):
        return ttypes.Hello(
            protocol_version=1,
            role=self.role,
            instance=self.name,
            incarnation=self.incarnation,
            availability_zone="z",
            generation=1,
            pool="p",
            upstream=self.name,
            draining=self.core.draining,
        )

    def drop_link(self, link, peer):
        if self.links.get(peer) is link:
            del self.links[peer]
            self.core.peer_down(peer)

    def receive_message(self, link, peer, name, body):
        if name == "hello":
            if peer in self.links:
                self.drop_link(self.links[peer], peer)
            self.links[peer] = link
            self.core.peer_up(body)
        elif self.links.get(peer) is link:
            if name == "query_answer":
                self.fleet.on_query_answer(peer, body)
            self.core.receive(peer, name, body)


class Entry(Process):
    def __init__(self, fleet, name):
        super().__init__(fleet, name, "entry")
        self.core = request_managers.RequestManager(
            clock=fleet.clock,
            incarnation=self.incarnation,
            send=self.send,
            recorder=fleet.recorder(self),
            instruments=fleet.instruments,
            settings=request_managers.RequestManagerSettings(),
            generation=lambda: 1,
        )


class Agent(Process):
    def __init__(self, fleet, name, engine):
        super().__init__(fleet, name, "agent")
        self.engine = engine
        self.core = self.dispatcher = dispatchers.Dispatcher(
            clock=fleet.clock,
            send=self.send,
            upstream=upstreams.Upstream(
                start=lambda dispatch: engine.start(self, dispatch),
                cancel=engine.cancel,
                suspend=lambda run_id: None,
                resume=lambda run_id: None,
                pause_reading=lambda run_id, paused: None,
            ),
            recorder=fleet.recorder(self),
            instruments=fleet.instruments,
            settings=dispatchers.DispatcherSettings(max_running=2),
        )


@dataclasses.dataclass(eq=False)
class Link:
    """A connection, with a queue of the messages that each end has sent."""

    ends: tuple
    queues: dict
    cut: bool = False


class Fleet:
    """The processes, the network between them and the callers."""

    def __init__(self, entries, agents):
        # Thousands of simulated fleets would fill the log.
        logging.getLogger(events.LOGGER_NAME).setLevel(logging.CRITICAL)
        self.manual_clock = clocks.ManualClock()
        self.clock = self.manual_clock.clock()
        self.instruments = metrics.discard()
        self.lines = []
        self.starts = 0
        self.started = set()
        self.reported_never_started = set()
        self.drained = set()
        self.breaches = []
        self.callers = []
        self.engines = {}
        self.entries = {}
        self.agents = {}
        self.links = {}
        for number in range(entries):
            name = f"e{number + 1}"
            self.entries[name] = Entry(self, name)
        for number in range(agents):
            name = f"a{number + 1}"
            self.engines[name] = Engine(self, name)
            self.agents[name] = Agent(self, name, self.engines[name])
        for entry in self.entries:
            for agent in self.agents:
                self.connect(entry, agent)

    def recorder(self, process):
        return trace.Recorder(
            self.clock, process.name, process.incarnation, self.lines.append
        )

    def breach(self, text):
        self.breaches.append(text)

    def process(self, name):
        return self.entries.get(name) or self.agents[name]

    # Events

    def connect(self, entry, agent):
        queues = {
            name: collections.deque([("hello", self.process(name).hello())])
            for name in (entry, agent)
        }
        self.links[entry, agent] = Link((entry, agent), queues)

    def cut(self, pair):
        """Breaks a connection; each end detects it later by its own event."""
        self.links[pair].cut = True
        for queue in self.links[pair].queues.values():
            queue.clear()

    def notice(self, pair, name):
        other = pair[0] if name == pair[1] else pair[1]
        self.process(name).drop_link(self.links[pair], other)

    def deliver(self, pair, sender, repeat=False):
        link = self.links[pair]
        queue = link.queues[sender]
        name, body = queue[0] if repeat else queue.popleft()
        receiver = pair[0] if sender == pair[1] else pair[1]
        self.process(receiver).receive_message(link, sender, name, body)

    def probe(self, entry, agent, run_id):
        """Queries a run from another entry, as claims do."""
        body = ttypes.Query(run_id, 0)
        self.entries[entry].send(agent, "query", body)

    def on_query_answer(self, agent, body):
        if body.state == "never_started":
            run = (self.agents[agent].incarnation, body.request_id)
            self.reported_never_started.add(run)
            if run in self.started:
                self.breach(f"{body.request_id} was reported as never started")

    def drain(self, name):
        self.drained.add(self.agents[name].incarnation)
        self.agents[name].core.drain()

    def swap(self, pair, sender):
        queue = self.links[pair].queues[sender]
        queue[0], queue[1] = queue[1], queue[0]

    def pause(self, name):
        self.process(name).paused = not self.process(name).paused

    def call(self, entry, kind, stream, timeout_ms=TIMEOUTS_MS[0]):
        caller = Caller(kind, stream, b"body%d" % len(self.callers))
        caller.entry = self.entries[entry]
        self.callers.append(caller)
        call = calls.Call(
            team="t",
            team_weight=1,
            tier="gold",
            tier_rank=0,
            service="s",
            pools=("p",),
            method="POST",
            path="/",
            headers={},
            body=caller.body,
            stream=stream,
            is_model=kind == "model",
            idempotent=kind != "fixed",
            timeout_ms=timeout_ms,
            prompt_tokens=10,
            output_tokens=10,
            prefix_keys=(),
            fingerprint=caller.body.decode(),
        )
        caller.request_id = caller.entry.core.accept(
            call, caller.received.append
        )

    def crash_entry(self, name):
        self.entries[name].dead = True
        self.cut_all(name)
        self.entries[name] = Entry(self, name)

    def crash_agent(self, name):
        """Restarts an agent: its connections close and its runs are lost.

        The upstream's ledger of started runs stays.
        """
        engine = self.engines[name]
        self.agents[name].dead = True
        engine.runs.clear()
        self.cut_all(name)
        self.agents[name] = Agent(self, name, engine)

    def cut_all(self, name):
        for pair in self.links:
            if name in pair:
                self.cut(pair)

    def advance(self, duration_ms):
        self.manual_clock.advance(duration_ms)
        for process in (*self.entries.values(), *self.agents.values()):
            if not process.paused:
                process.core.tick()

    # Possible events

    def normal_events(self):
        """Returns the possible events that are not faults."""
        found = []
        for pair, link in self.links.items():
            for sender, receiver in (pair, pair[::-1]):
                if link.queues[sender] and not self.process(receiver).paused:
                    found.append(("deliver", pair, sender))
        for name, engine in self.engines.items():
            if not self.agents[name].paused:
                found.extend(
                    ("step_run", name, run_id) for run_id in engine.runs
                )
        for pair, link in self.links.items():
            if link.cut:
                found.extend(self.link_events_after_cut(pair, link))
        return found

    def link_events_after_cut(self, pair, link):
        ends = [(pair[0], pair[1]), (pair[1], pair[0])]
        unaware = [
            name
            for name, other in ends
            if self.process(name).links.get(other) is link
        ]
        for name in unaware:
            if not self.process(name).paused:
                yield ("notice", pair, name)
        if len(unaware) < 2:
            yield ("connect", *pair)

    def faults(self):
        """Returns the faults that are possible now."""
        found = []
        for pair, link in self.links.items():
            if not link.cut:
                found.append(("cut", pair))
                for sender, queue in link.queues.items():
                    if queue:
                        found.append(("deliver", pair, sender, True))
                    if len(queue) > 1 and queue[0][0] != "hello":
                        found.append(("swap", pair, sender))
        found.extend(("crash_entry", name) for name in self.entries)
        found.extend(("crash_agent", name) for name in self.agents)
        found.extend(("crash_engine", name) for name in self.engines)
        found.extend(("stop_engine", name) for name in self.engines)
        found.extend(("drain", name) for name in self.agents)
        for caller in self.callers:
            found.extend(
                ("probe", entry, agent, caller.request_id)
                for entry in self.entries
                for agent in self.agents
                if self.entries[entry] is not caller.entry
            )
        found.extend(("pause", name) for name in (*self.entries, *self.agents))
        found.extend(("advance", ms) for ms in FAULT_STEPS_MS)
        for number, caller in enumerate(self.callers):
            if not caller.final_answers() and not caller.entry.dead:
                found.append(("cancel", number))
        return found

    def apply_event(self, event):
        name, *arguments = event
        if name == "step_run":
            self.engines[arguments[0]].step_run(arguments[1])
        elif name == "crash_engine":
            self.engines[arguments[0]].crash()
        elif name == "stop_engine":
            engine = self.engines[arguments[0]]
            engine.up = not engine.up
        elif name == "cancel":
            caller = self.callers[arguments[0]]
            caller.entry.core.cancel(caller.request_id)
        else:
            getattr(self, name)(*arguments)

    def run_until_idle(self):
        """Delivers all messages and ends all runs."""
        for _ in range(1_000):
            possible = self.normal_events()
            if not possible:
                return
            self.apply_event(possible[0])
        self.breach("messages never stop")

    def settle(self):
        """Repairs what failed and lets time pass until all work is done."""
        for engine in self.engines.values():
            engine.up = True
        for process in (*self.entries.values(), *self.agents.values()):
            process.paused = False
        for step_ms in SETTLE_STEPS_MS:
            self.run_until_idle()
            self.advance(step_ms)

    # Checks

    def check_invariants(self):
        """Compares what callers received with what upstreams ran."""
        runs = collections.Counter(
            run_id.partition(".")[0]
            for engine in self.engines.values()
            for run_id in engine.ledger
        )
        for caller in self.callers:
            self.check_caller(caller, runs[caller.request_id])
        for process in (*self.entries.values(), *self.agents.values()):
            unfinished = getattr(process.core, "requests", None)
            unfinished = unfinished or getattr(process.core, "runs", None)
            if unfinished:
                self.breach(f"{process.name} still holds {list(unfinished)}")
        return self.breaches

    def audit(self):
        """Audits the traces against the ledgers of the upstreams."""
        ledger = [
            json.dumps({"run_id": run_id})
            for engine in self.engines.values()
            for run_id in engine.ledger
        ]
        return audit.audit(self.lines, ledger)

    def check_caller(self, caller, runs):
        who = f"{caller.kind} {caller.request_id}"
        finals = caller.final_answers()
        if runs > 1 and caller.kind != "idempotent":
            self.breach(f"{who} ran {runs} times")
        if len(finals) != 1 and not (caller.entry.dead and not finals):
            self.breach(f"{who} received the outcomes {finals}")
        data = caller.data()
        wholes = self.possible_answers(caller)
        for final in finals:
            if isinstance(final, answers.Refused) and runs:
                self.breach(f"{who} received {final} but ran")
            if isinstance(final, answers.Complete) and data not in wholes:
                self.breach(f"{who} completed with {data!r}")
            partial = isinstance(final, answers.Failed) and not caller.stream
            if partial and data:
                self.breach(f"{who} failed after a part, {data!r}")
        if data and not any(whole.startswith(data) for whole in wholes):
            self.breach(f"{who} received {data!r}")

    def possible_answers(self, caller):
        """Returns every answer that a run of the call could give."""
        return [
            b"".join(answer_parts(caller.body, run_id))
            for engine in self.engines.values()
            for run_id in engine.ledger
            if run_id.partition(".")[0] == caller.request_id
        ]
