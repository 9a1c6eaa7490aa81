"""An in-memory table and object store with a chosen fault for each call."""

import dataclasses

from twisted.internet import defer

from godwitloft.store import port


class FakeStore:
    """Keeps rows and objects; ``fault()`` chooses the fault of each call.

    ``ok``; ``down``: no effect, an error; ``lost``: takes effect, the answer
    is lost; ``late``: the answer is lost, takes effect after ``late_s``;
    ``never``: no effect, no answer; or the duration of the call in seconds.
    """

    def __init__(self, scheduler, fault=lambda: "ok", late_s=2.0):
        self.scheduler = scheduler
        self.fault = fault
        self.late_s = late_s
        self.rows = {}
        self.objects = {}
        self.versions = 0
        self.calls = 0

    def platform(self):
        names = {field.name for field in dataclasses.fields(port.Platform)}
        return port.Platform(
            **{
                name: getattr(self, name)
                for name in names
                if hasattr(self, name)
            }
        )

    def call(self, effect):
        self.calls += 1
        fault = self.fault()
        answer = defer.Deferred(lambda cancelled: None)
        if fault == "down":
            return defer.fail(port.StoreUnavailable("down"))
        if fault in ("lost", "late"):
            delay_s = self.late_s if fault == "late" else 0.0
            self.scheduler.callLater(delay_s, effect)
            lost = port.AnswerLost("lost")
            self.scheduler.callLater(0.0, _errback, answer, lost)
            return answer
        if fault == "never":
            return answer
        delay_s = 0.001 if fault == "ok" else float(fault)
        self.scheduler.callLater(delay_s, lambda: _callback(answer, effect()))
        return answer

    def read_row(self, table, key):
        return self.call(lambda: self.rows.get((table, key)))

    def write_row(self, table, key, value, version, time_to_live_ms=None):
        def effect():
            found = self.rows.get((table, key))
            if (found.version if found else 0) != version:
                return port.Conflict(found)
            self.versions += 1
            self.rows[table, key] = port.Row(key, value, self.versions)
            return port.Swapped(self.rows[table, key])

        return self.call(effect)

    def delete_row(self, table, key, version):
        def effect():
            found = self.rows.get((table, key))
            if found is None or found.version != version:
                return port.Conflict(found)
            return port.Swapped(self.rows.pop((table, key)))

        return self.call(effect)

    def read_object(self, name):
        return self.call(lambda: self.objects.get(name))

    def write_object(self, name, content):
        return self.call(lambda: self.objects.__setitem__(name, content))

    list_rows = list_instances = read_weights = None


def _callback(answer, value):
    if not answer.called:
        answer.callback(value)


def _errback(answer, error):
    if not answer.called:
        answer.errback(error)
