"""Roll-outs whose steps a test decides, in place of those of a gateway."""

from godwitloft.rollouts import held_rows
from godwitloft.rollouts import types

PHASES = list(types.Phase)[:3]


class ScriptedRollouts:
    """Takes one step after another, while a test wants it to."""

    def __init__(self):
        self.in_use = False
        self.rows = held_rows.HeldRows()
        self.orders = {}
        self.held = {}
        self.known = {}
        # Whether it takes steps, and up to which phase.
        self.decides = False
        self.last_phase = types.Phase.COMPLETED

    def on_rows(self, orders, rollouts, asked_ms):
        self.rows.replace(orders, rollouts, asked_ms)
        self.orders, self.held = dict(orders), dict(rollouts)
        for service, saved in rollouts.items():
            self.learn(service, saved.rollout)

    def learn(self, service, rollout):
        known = self.known.get(service)
        if known is None or rank(known) < rank(rollout):
            self.known[service] = rollout

    def due_step(self, store_now_ms):
        if not self.decides:
            return None
        for service, order in sorted(self.orders.items()):
            saved = self.held.get(service)
            rollout = self.next_rollout(order, store_now_ms)
            if saved is None or saved.rollout != rollout:
                version = saved.row_version if saved is not None else 0
                return types.Step(rollout, version)
        return None

    def next_rollout(self, order, store_now_ms):
        """Returns what is to be in the row of an order's roll-out."""
        known = self.known.get(order.service)
        saved = self.held.get(order.service)
        if known is None or known.to != order.to:
            return self.rollout(order, PHASES[0], store_now_ms)
        if saved is None or rank(saved.rollout) < rank(known):
            return known
        if rank(known) >= PHASES.index(self.last_phase):
            return known
        phase = PHASES[rank(known) + 1]
        return self.rollout(order, phase, known.started_ms)

    def rollout(self, order, phase, started_ms):
        return types.Rollout(
            service=order.service,
            order_version=order.version,
            to=order.to,
            former=("v1",),
            phase=phase,
            started_ms=started_ms,
            duration_ms=order.duration_ms,
        )

    def on_step_written(self, step, row_version):
        service = step.rollout.service
        self.learn(service, step.rollout)
        self.held[service] = types.Saved(step.rollout, row_version)


def rank(rollout):
    return PHASES.index(rollout.phase)
