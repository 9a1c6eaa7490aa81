"""An in-memory platform for which a test chooses each answer.

Outcomes of a call: ``ok``; ``down`` (no effect); ``lost`` (took effect, the
answer is lost); ``dropped`` (no effect, the answer is lost); ``late`` (the
answer is lost, the effect comes at :meth:`Store.land`); ``stale`` (a read
returns the row before its last write); ``held`` (until released).
"""

from twisted.internet import defer

from godwitloft.store import port

WRITES = ("write_row", "delete_row", "write_object")


class Store:
    def __init__(self):
        self.rows = {}
        self.earlier = {}
        self.objects = {}
        self.instances = ()
        self.version = 0
        self.calls = []
        self.late = []
        self.held = []
        self.script = []
        self.is_down = False
        # Called with the name of the call and its arguments.
        self.choose = lambda name, args: "ok"

    def platform(self):
        names = port.Platform.__dataclass_fields__
        return port.Platform(**{name: self.call(name) for name in names})

    def call(self, name):
        def run(*args):
            self.calls.append((name, args))
            if self.is_down:
                outcome = "down"
            elif self.script and self.script[0][0] == name:
                outcome = self.script.pop(0)[1]
            else:
                outcome = self.choose(name, args)
            return self.answer(name, args, outcome)

        return run

    def answer(self, name, args, outcome):
        if outcome == "held":
            waiting = defer.Deferred()
            self.held.append((name, args, waiting))
            return waiting
        if outcome == "down":
            return defer.fail(port.StoreUnavailable(f"{name}: down"))
        if outcome in ("lost", "dropped", "late") and name in WRITES:
            if outcome == "lost":
                self.effect(name, *args)
            elif outcome == "late":
                self.late.append((name, args))
            return defer.fail(port.AnswerLost(f"{name}: {outcome}"))
        if outcome == "stale" and name == "read_row":
            return defer.succeed(self.earlier.get(args))
        return defer.succeed(self.effect(name, *args))

    def release(self, index=0, outcome="ok"):
        name, args, waiting = self.held.pop(index)
        self.answer(name, args, outcome).chainDeferred(waiting)

    def land(self):
        for name, args in self.late:
            self.effect(name, *args)
        self.late = []

    def effect(self, name, *args):
        return getattr(self, name)(*args)

    def read_row(self, table, key):
        return self.rows.get((table, key))

    def write_row(self, table, key, value, version, ttl_ms):
        row = self.rows.get((table, key))
        if (row.version if row else 0) != version:
            return port.Conflict(row)
        self.version += 1
        self.earlier[table, key] = row
        self.rows[table, key] = port.Row(key, value, self.version)
        return port.Swapped(self.rows[table, key])

    def delete_row(self, table, key, version):
        row = self.rows.get((table, key))
        if row is None or row.version != version:
            return port.Conflict(row)
        self.earlier[table, key] = row
        return port.Swapped(self.rows.pop((table, key)))

    def list_rows(self, table, prefix):
        return tuple(
            self.rows[place]
            for place in sorted(self.rows)
            if place[0] == table and place[1].startswith(prefix)
        )

    def read_object(self, name):
        return self.objects.get(name)

    def write_object(self, name, content):
        self.objects[name] = content

    def list_instances(self):
        return self.instances

    def read_weights(self, name):
        return None
