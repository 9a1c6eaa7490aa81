"""Gateways before engines of several software versions, and their streams."""

import itertools

from features.support import following_gateways
from features.support import gateway_world
from features.support import restored_store
from godwitloft import attempt as attempts

STEP_MS = following_gateways.STEP_MS
BORN_MS = 1
SLOTS = 36
# Until an engine's first event.
FIRST_EVENT_STEPS = 4
# How often a stream that has begun says that it goes on.
COMMENT_STEPS = 25
LAST_EVENT = b"last-event-id"
REQUEST_ID = gateway_world.DIALECT.request_id


class Caller(gateway_world.Caller):
    """A caller of the route whose streams may be resumed."""

    def stream(self, request_id, resumes=None):
        extra = b""
        if resumes is not None:
            extra = b"Resumes: %s\r\nLast-Event-Id: 1\r\n" % resumes.encode()
        self.send(
            b"POST /stream/x HTTP/1.1\r\nHost: service.example\r\n"
            b"Godwitloft-Request-Id: %s\r\n"
            b"Godwitloft-Deadline-Ms: 4000\r\n"
            b"Authorization: Token key-a\r\n"
            b"Content-Length: 0\r\n%s\r\n" % (request_id.encode(), extra)
        )


class Stream:
    """A stream as its caller sees it, over all attempts."""

    def __init__(self, name):
        self.name = name
        # Version of the engine that brought each event.
        self.versions = []
        self.caller = None


class StreamFleet(following_gateways.FollowingGateways):
    """Gateways whose engines answer each stream with one event and go on."""

    def __init__(self, context, count, versions):
        self.streams = []
        # Steps until the first event, by attempt; negative once it was sent.
        self.steps_left = {}
        self.engines = 0
        # Versions whose engines refuse connections.
        self.refusing = set()
        self.attempts = 0
        super().__init__(context, count, ())
        self.context = context
        self.names = {
            host: f"g{number}" for number, host in enumerate(self.members)
        }
        self.hosts = list(self.members)
        for version in versions:
            self.start_engine(version)
        self.advance(6000)

    def start_engine(self, version):
        name = f"e{self.engines}"
        self.engines += 1
        self.first.upstreams[name] = restored_store.Upstream(
            name, BORN_MS, self.first.rows, "model", version, SLOTS
        )

    def replace_unseen(self, number, version, born_ms):
        """Lets a new process have an engine's id; no connection has ended."""
        name = f"e{number - 1}"
        self.first.upstreams[name] = restored_store.Upstream(
            name, born_ms, self.first.rows, "model", version, SLOTS
        )

    def start_again(self, number, version):
        """Ends an engine; a new process has its id and a version."""
        name = f"e{number - 1}"
        born_ms = self.first.upstreams[name].born_ms + 1
        self.replace_unseen(number, version, born_ms)
        return self.break_connections_to(name)

    def break_connections_to(self, name):
        """Breaks all connections to an engine, and returns their streams."""
        broken = set()
        for member in self.members.values():
            for sent in list(member.world.sent):
                if sent.upstream.id == name and not sent.cancelled:
                    broken.add(sent.headers[REQUEST_ID].decode())
                    sent.end(attempts.End.BROKEN)
        self.advance(STEP_MS)
        return [stream for stream in self.streams if stream.name in broken]

    def born_of(self, name):
        """Returns the start of the process that has an engine's address."""
        engine = self.first.upstreams.get(name)
        return engine.born_ms if engine else None

    def version_of(self, sent):
        """Returns the version of the process that answers an attempt."""
        engine = self.first.upstreams.get(sent.upstream.id)
        return engine.version if engine else sent.upstream.version

    def advance(self, duration_ms):
        for member in self.members.values():
            member.world.born_of = self.born_of
        for _ in range(duration_ms // STEP_MS):
            super().advance(STEP_MS)
            for member in self.members.values():
                member.gateway.tick()
            self.answer_new()

    def answer_new(self):
        """Lets engines answer with one event, and then with comments."""
        comments_due = self.steps % COMMENT_STEPS == 0
        for member in self.members.values():
            for sent in list(member.world.sent):
                if sent.cancelled:
                    continue
                if sent.upstream.version in self.refusing:
                    if id(sent) not in self.steps_left:
                        self.steps_left[id(sent)] = -1
                        sent.end(attempts.End.NOT_SENT)
                    continue
                left = self.steps_left.get(id(sent), FIRST_EVENT_STEPS)
                self.steps_left[id(sent)] = left - 1
                if left < 0 and comments_due:
                    sent.callbacks.on_data(b": on\n\n")
                if left != 0:
                    continue
                sent.head()
                number = 2 if LAST_EVENT in sent.headers else 1
                version = self.version_of(sent).encode()
                sent.callbacks.on_data(
                    b"id: %d\ndata: %s\n\n" % (number, version)
                )

    def begin(self, count, number):
        """Begins streams at a gateway."""
        for _ in range(count):
            self.begin_one(number)
            self.advance(STEP_MS)
        self.advance((FIRST_EVENT_STEPS + 2) * STEP_MS)

    def begin_one(self, number):
        """Lets a caller ask for a stream."""
        stream = Stream(f"s{len(self.streams)}")
        self.streams.append(stream)
        self.ask(stream, stream.name, None, number)

    def ask(self, stream, request_id, resumes, number):
        member = self.members[self.hosts[number - 1]]
        stream.caller = Caller(member.world)
        stream.caller.stream(request_id, resumes)

    def collect(self):
        """Notes which versions brought the events of each stream."""
        for stream in self.streams:
            if stream.caller is not None:
                stream.versions += stream.caller.received.split(b"data: ")[1:]

    def break_connections(self):
        """Breaks the connections of all callers."""
        self.collect()
        for stream in self.streams:
            if stream.caller is not None and not stream.caller.closed:
                stream.caller.leave()
            stream.caller = None
        self.advance(STEP_MS)

    def break_off(self, version):
        """Lets the engines of a version break off all their streams."""
        for member in self.members.values():
            for sent in list(member.world.sent):
                if sent.upstream.version == version and not sent.cancelled:
                    if LAST_EVENT not in sent.headers:
                        sent.end(attempts.End.BROKEN)
        self.advance(10 * STEP_MS)

    def take_up(self, number):
        """Lets the callers take up at one gateway what broke off."""
        self.take_up_at([number])

    def take_up_at_others(self):
        """Lets them do so in turn at the gateways that are left."""
        self.take_up_at(
            [
                number
                for number, host in enumerate(self.hosts, 1)
                if host in self.members
            ]
        )

    def take_up_at(self, numbers):
        """Lets the callers take up what broke off, the last version first.

        In the order in which they began, each would get its engine again.
        """
        turns = itertools.cycle(numbers)
        for stream in sorted(
            self.streams, key=lambda stream: stream.versions, reverse=True
        ):
            if stream.versions and stream.caller is None:
                self.attempts += 1
                name = f"{stream.name}-{self.attempts}"
                self.ask(stream, name, stream.name, next(turns))
                self.advance(STEP_MS)
        self.advance(2000)

    def freeze(self, number):
        """Lets a gateway stand still: it learns of nothing."""
        host = self.hosts[number - 1]
        self.members[host].client.unread = []
        self.parted.add(host)

    def wake(self, number):
        """Lets a gateway go on, before it reads anything new."""
        host = self.hosts[number - 1]
        self.parted.discard(host)
        self.members[host].client.wake()

    def kill(self, number):
        self.kill_host(self.hosts[number - 1])

    def restart(self, number):
        host = self.hosts[number - 1]
        member = restored_store.RestoredStore(
            self.context, self.first.rows, self.names[host], host
        )
        self.parted.discard(host)
        self.members[host] = member
        self.connect(host, member)
        member.start_watching()

    def leave(self, version):
        """Removes the rows of the engines of a version."""
        for name, engine in list(self.first.upstreams.items()):
            if engine.version == version:
                super().leave(name)

    def held_versions(self, stream):
        """Returns the versions of all events of a stream."""
        found = list(stream.versions)
        if stream.caller is not None:
            found += stream.caller.received.split(b"data: ")[1:]
        return {event.split(b"\n")[0] for event in found}
