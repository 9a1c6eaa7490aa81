"""Which versions of a service a gateway sends requests to in a roll-out.

Designed for a new version that may be bad from the start, later, under load or
on one route only, and for stores and peers that may be away at any time.
"""

import dataclasses
import math
import typing

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft import metrics
from godwitloft.gateway import answer as answers
from godwitloft.gateway import options
from godwitloft.gateway import request as requests
from godwitloft.gateway import rollout_counts
from godwitloft.gateway.allowances import gateway_list
from godwitloft.gateway.placing import placement
from godwitloft.gateway.placing import placer as placers
from godwitloft.gateway.upstreams import fleet as fleets
from godwitloft.rollouts import evidence
from godwitloft.rollouts import exposure
from godwitloft.rollouts import held_rows
from godwitloft.rollouts import judgement
from godwitloft.rollouts import plan
from godwitloft.rollouts import types

# A new version is used only if the orders were current this long after it was
# first listed: an order may be written some time later than its upstreams.
ORDERS_DELAY_MS = 1_000
# A judgement of 280 counts takes 3 ms.
# A step takes this long at most where the store is reached.
TAKEOVER_MS = 800
JUDGE_INTERVAL_MS = 200
LOG_INTERVAL_MS = 1_000
# Counts in one announcement, which should fit into one packet.
MAX_CELLS = 16
# The new version's requests go to this part of its upstreams at a time, so
# that these have the load that all will have, and to others after so many.
USED_SHARE = 0.1
ANSWERS_PER_TURN = 12
RANK = {
    types.Phase.JUDGING: 0,
    types.Phase.MOVING: 1,
    types.Phase.COMPLETED: 2,
    types.Phase.ROLLED_BACK: 2,
}
NOTHING_KNOWN = judgement.Verdict(judgement.Kind.TOO_LITTLE, "no answers")


@dataclasses.dataclass
class Active:
    """A roll-out at this gateway.

    :param rollout: how far it has come, as far as this gateway knows
    :param exposure: credits for requests to the new version
    :param saved: the last read row, None for none
    :param verdict: what the evidence says
    :param has_stopped: whether nothing is sent to the new version any more
    :param answers: answers of the new version known from all gateways
    :param logged_ms: when its figures were last logged
    """

    rollout: types.Rollout
    exposure: exposure.Exposure
    saved: types.Saved | None = None
    verdict: judgement.Verdict = NOTHING_KNOWN
    has_stopped: bool = False
    answers: int = 0
    logged_ms: int = 0

    @property
    def row_version(self) -> int:
        """Version of the row in the store, 0 for none."""
        return self.saved.row_version if self.saved is not None else 0

    @property
    def is_lost(self) -> bool:
        """Whether the store has less than is known here."""
        if self.saved is None:
            return True
        return is_later(self.rollout, self.saved.rollout)


@dataclasses.dataclass(frozen=True)
class Peer:
    """What a peer told last, and when.

    :param phases: how far roll-outs are there, by service
    :param at_ms: when it told
    """

    phases: dict[str, evidence.KnownPhase]
    at_ms: int


class Rollouts:
    """The roll-outs that this gateway knows, and its part in them.

    :param clock: source of the time
    :param others: the other gateways
    :param fleet: the upstreams
    :param incarnation: name of the start of this process
    :param bounds: what a version that isn't known to be good may get
    :param instruments: metrics
    :param base_of: returns the base version of a service, None if unknown
    :param unfinished: returns the waiting and running requests
    :param announce_soon: lets peers know of a change at once
    """

    def __init__(
        self,
        clock: clocks.Clock,
        others: gateway_list.GatewayList,
        fleet: fleets.Fleet,
        incarnation: str,
        bounds: options.RolloutBounds,
        instruments: metrics.Instruments,
        base_of: typing.Callable[[str], str | None],
        unfinished: typing.Callable[[], typing.Iterable[requests.Request]],
        announce_soon: typing.Callable[[], None],
    ) -> None:
        self.clock = clock
        self.others = others
        self.fleet = fleet
        self.incarnation = incarnation
        self.bounds = bounds
        self.instruments = instruments
        self.base_of = base_of
        self.unfinished = unfinished
        self.announce_soon = announce_soon
        # Whether the platform has roll-outs at all; set by an adapter whose
        # store has orders.
        self.in_use = False
        self.rows = held_rows.HeldRows()
        self.orders: dict[str, types.Order] = {}
        # When each order was first read: its time counts from then on, also
        # if the gateway that should begin is gone.
        self.seen_ms: dict[types.Order, int] = {}
        self.active: dict[str, Active] = {}
        self.peers: dict[str, Peer] = {}
        self.counts = rollout_counts.RolloutCounts(instruments)
        self.evidence = evidence.Evidence()
        self.judged_ms = 0
        # Since when a step of each service has been due.
        self.due_since_ms: dict[str, int] = {}

    # What the store and the peers tell.

    def on_rows(
        self,
        orders: typing.Mapping[str, types.Order],
        rollouts: typing.Mapping[str, types.Saved],
        asked_ms: int,
    ) -> None:
        """Takes over all rows, as they were read from the store.

        :param orders: valid orders, by service
        :param rollouts: by service
        :param asked_ms: when the reading began
        """
        self.rows.replace(orders, rollouts, asked_ms)
        # An order whose row is gone says nothing of the operator's mind.
        self.orders = dict(orders)
        now_ms = self.clock.monotonic_ms()
        self.seen_ms = {
            order: self.seen_ms.get(order, now_ms) for order in orders.values()
        }
        for service, active in self.active.items():
            if service not in rollouts:
                active.saved = None
        for service, saved in rollouts.items():
            self.adopt(saved.rollout, "store")
            self.active[service].saved = saved

    def adopt(self, rollout: types.Rollout, source: str) -> bool:
        """Takes over a roll-out if it is later than the known one.

        :param rollout: what the store or a peer tells
        :param source: who tells
        :return: whether it is
        """
        service = rollout.service
        active = self.active.get(service)
        if active is not None and not is_later(rollout, active.rollout):
            return False
        if active is None or (
            active.rollout.order_version != rollout.order_version
        ):
            self.forget(service)
            active = Active(
                rollout, exposure.Exposure(self.bounds.exposure_share)
            )
            self.active[service] = active
        active.rollout = rollout
        if rollout.phase.has_ended:
            self.forget(service)
        self.instruments.rollout_phases.add(
            1, {"service": service, "phase": rollout.phase.value}
        )
        events.log(
            events.ROLLOUT_PHASE,
            service=service,
            to=rollout.to,
            former=list(rollout.former),
            phase=rollout.phase.value,
            order=rollout.order_version,
            reason=rollout.reason,
            decider=rollout.decider,
            source=source,
        )
        self.announce_soon()
        return True

    def forget(self, service: str) -> None:
        """Drops the counts of a roll-out that has ended.

        :param service: name of its service
        """
        self.counts.forget(service)
        self.evidence.forget(service)

    def status_for_peers(self) -> evidence.PeerRollouts | None:
        """Returns what peers should know, None if that is nothing."""
        if not self.active:
            return None
        phases = []
        for service, active in self.active.items():
            rollout = active.rollout
            if rollout.phase.has_ended and not self.is_contested(rollout):
                continue
            phases.append(
                evidence.KnownPhase(
                    service,
                    rollout.order_version,
                    rollout.phase.value,
                    active.has_stopped,
                    self.count_left(rollout),
                )
            )
        if not phases:
            return None
        return evidence.PeerRollouts(
            self.others.instance,
            self.incarnation,
            tuple(phases),
            self.counts.counters.to_tell(MAX_CELLS),
        )

    def is_contested(self, rollout: types.Rollout) -> bool:
        """Returns whether upstreams of both versions are listed.

        :param rollout: a roll-out
        """
        listed = {
            state.upstream.version
            for state in self.fleet.usable(rollout.service)
        }
        return rollout.to in listed and bool(listed & {*rollout.former})

    def on_peer(self, told: evidence.PeerRollouts) -> None:
        """Learns from what a peer tells.

        :param told: what it tells
        """
        self.peers[told.gateway] = Peer(
            {known.service: known for known in told.phases},
            self.clock.monotonic_ms(),
        )
        self.evidence.learn(
            told.incarnation,
            (
                (key, cell)
                for key, cell in told.cells
                if self.is_judged(key.service, key.order_version)
            ),
        )
        for known in told.phases:
            self.learn_phase(told.gateway, known)

    def is_judged(self, service: str, order_version: int) -> bool:
        """Returns whether a roll-out goes on.

        :param service: name of its service
        :param order_version: version of the row of its order
        """
        active = self.active.get(service)
        return (
            active is not None
            and active.rollout.order_version == order_version
            and not active.rollout.phase.has_ended
        )

    def learn_phase(self, gateway: str, known: evidence.KnownPhase) -> None:
        """Learns from a peer how far a roll-out has come.

        :param gateway: name of the peer
        :param known: what it tells
        """
        active = self.active.get(known.service)
        if active is None or (
            active.rollout.order_version != known.order_version
        ):
            order_version = active.rollout.order_version if active else 0
            if known.order_version > order_version:
                self.rows.outdated = True
            return
        if known.phase not in [phase.value for phase in types.Phase]:
            return
        phase = types.Phase(known.phase)
        reason = f"told by {gateway}"
        told = dataclasses.replace(active.rollout, phase=phase, reason=reason)
        if self.adopt(told, gateway):
            self.rows.outdated = True
        if known.has_stopped and not active.has_stopped:
            self.stop(
                active,
                dataclasses.replace(
                    active.verdict,
                    kind=judgement.Kind.BAD,
                    reason=f"found by {gateway}",
                ),
            )

    # Steps.

    def place(self, service: str) -> int:
        """Returns how many gateways go before this one in taking steps.

        :param service: name of the service
        """
        return self.deciders(service).index(self.others.instance)

    def decider(self, service: str) -> str:
        """Returns the gateway that takes the steps of a service.

        :param service: name of the service
        :return: the first one that was heard lately
        """
        return self.deciders(service)[0]

    def deciders(self, service: str) -> list[str]:
        """Returns the gateways that may take the steps of a service.

        :param service: name of the service
        :return: those heard lately, in the order in which they do
        """
        now_ms = self.clock.monotonic_ms()
        names = [
            name
            for name in self.others.hosts
            if self.others.is_alive(name, now_ms)
        ]
        names.append(self.others.instance)
        return sorted(
            names, key=lambda name: gateway_list.order(service, name)
        )

    def due_step(self, store_now_ms: int) -> types.Step | None:
        """Returns a step that this gateway should write now.

        The gateways after the first one take a step that has been due for
        longer than the first one needs: it may be cut off from the store.

        :param store_now_ms: the current time on the store's clock
        :return: the step, None if none is due or another gateway takes it
        """
        if self.rows.current_ms is None:
            return None
        now_ms = self.clock.monotonic_ms()
        for service in sorted(self.orders.keys() | self.active.keys()):
            step = self.next_step(service, store_now_ms)
            if step is None:
                self.due_since_ms.pop(service, None)
                continue
            since_ms = self.due_since_ms.setdefault(service, now_ms)
            if now_ms - since_ms >= TAKEOVER_MS * self.place(service):
                return step
        return None

    def next_step(self, service: str, store_now_ms: int) -> types.Step | None:
        """Returns the step of a service that is due, whoever takes it.

        :param service: name of the service
        :param store_now_ms: the current time on the store's clock
        """
        active = self.active.get(service)
        row_version = active.row_version if active is not None else 0
        after = self.next_rollout(service, store_now_ms)
        if after is not None:
            after = dataclasses.replace(after, decider=self.others.instance)
        elif active is not None and active.is_lost:
            after = active.rollout
        return types.Step(after, row_version) if after is not None else None

    def next_rollout(
        self, service: str, store_now_ms: int
    ) -> types.Rollout | None:
        """Returns what becomes of a service's roll-out now.

        :param service: name of the service
        :param store_now_ms: the current time on the store's clock
        :return: None if it stays as it is
        """
        active = self.active.get(service)
        order = self.pending_order(service)
        if order is not None:
            versions = {
                state.upstream.version
                for state in self.fleet.listed.values()
                if state.upstream.service == service
            }
            before = active.rollout if active is not None else None
            age_ms = self.clock.monotonic_ms() - self.seen_ms[order]
            start_ms = max(0, store_now_ms - age_ms)
            return plan.begin(order, versions, before, start_ms)
        if active is None:
            return None
        rollout = active.rollout
        left = self.count_left(rollout)
        progress = plan.Progress(
            has_upstreams=bool(self.fleet.usable(service, rollout.to)),
            confirmed=left == 0 and self.is_confirmed(rollout),
            left=left,
            exposure_share=self.bounds.exposure_share,
            exposure_slack=self.bounds.exposure_slack,
        )
        return plan.next_step(rollout, active.verdict, progress, store_now_ms)

    def pending_order(self, service: str) -> types.Order | None:
        """Returns an order for which no roll-out has begun, None for none.

        :param service: name of the service
        """
        order = self.orders.get(service)
        active = self.active.get(service)
        rollout = active.rollout if active is not None else None
        if order is None or not plan.begins_anew(rollout, order):
            return None
        return order

    def is_confirmed(self, rollout: types.Rollout) -> bool:
        """Returns whether no other gateway uses a former version.

        :param rollout: a roll-out
        :return: whether each that is listed has said lately that it knows the
            phase and has no requests left there
        """
        now_ms = self.clock.monotonic_ms()
        for name in self.others.hosts:
            peer = self.peers.get(name)
            known = peer.phases.get(rollout.service) if peer else None
            if peer is None or known is None:
                return False
            if now_ms - peer.at_ms > gateway_list.PEER_TIMEOUT_MS:
                return False
            if known.order_version != rollout.order_version or known.left:
                return False
            if known.phase != rollout.phase.value:
                return False
        return True

    def count_left(self, rollout: types.Rollout) -> int:
        """Returns how many requests run at former versions or must go there.

        :param rollout: a roll-out; counted only while requests move
        """
        if rollout.phase is not types.Phase.MOVING:
            return 0
        left = 0
        for request in self.unfinished():
            if request.facts.service != rollout.service:
                continue
            version = request.version
            if request.upstream_state is not None:
                version = request.sent_version
            left += version in rollout.former
        return left

    def on_step_written(self, step: types.Step, row_version: int) -> None:
        """Takes over a step that was written.

        :param step: what :meth:`due_step` has returned
        :param row_version: version of the row since then
        """
        rollout = step.rollout
        before = self.active.get(rollout.service)
        events.log(
            events.ROLLOUT_STEP,
            service=rollout.service,
            to=rollout.to,
            former=list(rollout.former),
            phase=rollout.phase.value,
            order=rollout.order_version,
            duration_ms=rollout.duration_ms,
            reason=rollout.reason,
            bad_answers=rollout.bad_answers,
            decider=rollout.decider,
            **(before.verdict.inputs if before is not None else {}),
        )
        self.adopt(rollout, "own step")
        active = self.active[rollout.service]
        active.saved = types.Saved(rollout, row_version)

    # Requests.

    def knows_orders_of(self, listed_ms: int) -> bool:
        """Returns whether an order for a new version would be known here.

        :param listed_ms: when the version was first listed
        """
        if not self.in_use:
            return True
        current_ms = self.rows.current_ms
        return (
            current_ms is not None
            and current_ms >= listed_ms + ORDERS_DELAY_MS
        )

    def concerns(self, service: str) -> bool:
        """Returns whether not all upstreams of a service may get requests.

        :param service: name of the service
        """
        if self.in_use and self.rows.current_ms is None:
            return True
        return service in self.active or service in self.orders

    def groups(
        self,
        request: requests.Request,
        version: str | None,
        candidates: placers.Candidates,
    ) -> typing.Iterator[list[placement.Place]]:
        """Yields the upstreams that a request may be sent to.

        :param request: a waiting request
        :param version: the version that it must be sent to, None for any
        :param candidates: upstreams of its service
        :return: those to be tried first, and then others
        """
        allowed = {
            known
            for known in candidates.versions_with_room()
            if version in (None, known)
            and self.may_send(request, known, version)
        }
        if not allowed:
            return
        active = self.active.get(request.facts.service)
        if (
            active is not None
            and version is None
            and active.rollout.phase is types.Phase.JUDGING
            and active.rollout.to in allowed
        ):
            allowed.discard(active.rollout.to)
            new = candidates.places_of(active.rollout.to)
            yield self.used_now(active, new)
        for known in allowed if len(allowed) == 1 else ():
            yield candidates.places_of(known)
        if len(allowed) > 1:
            yield [
                place
                for place in candidates.places.values()
                if candidates.states[place.id].upstream.version in allowed
            ]

    def used_now(
        self, active: Active, new: list[placement.Place]
    ) -> list[placement.Place]:
        """Returns the upstreams of a new version that get its requests now.

        :param active: the roll-out
        :param new: upstreams of its new version
        """
        new = [place for place in new if place.has_room]
        order_version = active.rollout.order_version
        new.sort(
            key=lambda place: gateway_list.order(str(order_version), place.id)
        )
        if not new:
            return new
        number = math.ceil(USED_SHARE * len(new))
        first = active.answers // ANSWERS_PER_TURN * number % len(new)
        return (new[first:] + new[:first])[:number]

    def may_send(
        self,
        request: requests.Request,
        upstream_version: str,
        version: str | None,
    ) -> bool:
        """Returns whether a request may be sent to upstreams of a version.

        :param request: a waiting request
        :param upstream_version: version of upstreams of its service
        :param version: the version that it must be sent to, None for any
        """
        service = request.facts.service
        if self.in_use and self.rows.current_ms is None:
            return self.may_send_unread(service, upstream_version)
        if self.is_excluded(service, upstream_version):
            return False
        active = self.active.get(service)
        if active is None or version is not None:
            return True
        rollout = active.rollout
        if rollout.phase.has_ended:
            return True
        if upstream_version != rollout.to:
            # While requests move, nothing new goes to the former versions.
            is_moving = rollout.phase is types.Phase.MOVING
            return upstream_version in rollout.former and (
                not is_moving or active.has_stopped
            )
        if rollout.phase is types.Phase.MOVING:
            return True
        return request.attempt_count == 0 and active.exposure.may_spend(
            request.facts.route.name
        )

    def may_send_unread(self, service: str, version: str) -> bool:
        """Returns whether a version may be used before orders were read.

        :param service: name of the service
        :param version: the version; if there are others, only the base
            version is known to be none under judgement
        """
        versions = {
            state.upstream.version for state in self.fleet.usable(service)
        }
        return len(versions) <= 1 or version == self.base_of(service)

    def is_excluded(self, service: str, version: str) -> bool:
        """Returns whether a version gets no request, not even for its streams.

        :param service: name of the service
        :param version: the version
        """
        order = self.pending_order(service) if self.orders else None
        if order is not None and order.to == version:
            return True
        active = self.active.get(service)
        if active is None:
            return False
        rollout = active.rollout
        if version in rollout.unused:
            return True
        if rollout.phase is types.Phase.COMPLETED:
            return version in rollout.former
        if rollout.phase is types.Phase.ROLLED_BACK or active.has_stopped:
            return version == rollout.to
        return False

    def record_sent(
        self, request: requests.Request, state: fleets.UpstreamState
    ) -> None:
        """Records that a request is sent.

        :param request: the request
        :param state: its upstream
        """
        active = self.active.get(request.facts.service)
        if active is None or active.rollout.phase.has_ended:
            return
        rollout = active.rollout
        route = request.facts.route.name
        is_new = state.upstream.version == rollout.to
        active.exposure.earn(route)
        if is_new:
            active.exposure.spend(route)
        is_compared = rollout.phase is types.Phase.JUDGING
        self.counts.record_sent(
            request, state, rollout.order_version, is_new, is_compared
        )

    def record_first_data(self, request: requests.Request) -> None:
        """Records that an answer has begun.

        :param request: its request
        """
        if self.counts.tracks:
            self.counts.record_first_data(request)

    def record_end(
        self,
        request: requests.Request,
        attempt_outcome: answers.AttemptOutcome,
    ) -> None:
        """Records how an attempt has ended.

        :param request: its request
        :param attempt_outcome: how it ended
        """
        if self.counts.tracks:
            now_ms = self.clock.monotonic_ms()
            self.counts.record_end(request, attempt_outcome, now_ms)

    def record_cancelled(self, request: requests.Request) -> None:
        """Records that an attempt was cancelled.

        :param request: its request
        """
        if self.counts.tracks:
            now_ms = self.clock.monotonic_ms()
            self.counts.record_cancelled(request, now_ms)

    # Judgement.

    def check(self) -> None:
        """Judges the new versions, if that is due."""
        if not self.active:
            return
        now_ms = self.clock.monotonic_ms()
        if now_ms - self.judged_ms < JUDGE_INTERVAL_MS:
            return
        self.judged_ms = now_ms
        self.evidence.learn(
            self.incarnation, self.counts.counters.take_grown()
        )
        for active in self.active.values():
            if not active.rollout.phase.has_ended:
                self.judge(active, now_ms)

    def judge(self, active: Active, now_ms: int) -> None:
        """Judges a new version, and stops using it if it is bad.

        :param active: its roll-out
        :param now_ms: the current time
        """
        if active.has_stopped:
            return
        rollout = active.rollout
        counts = self.evidence.merged(rollout.service, rollout.order_version)
        verdict = judgement.judge(counts, rollout.to, rollout.former)
        inputs = verdict.inputs
        active.answers = max(inputs["answers"], inputs["timed"])
        active.verdict = verdict
        if verdict.kind is judgement.Kind.BAD:
            self.stop(active, verdict)
        elif now_ms - active.logged_ms >= LOG_INTERVAL_MS:
            active.logged_ms = now_ms
            self.log_evidence(events.ROLLOUT_EVIDENCE, active)

    def stop(self, active: Active, verdict: judgement.Verdict) -> None:
        """Stops sending to a bad version, before that is written.

        :param active: its roll-out
        :param verdict: the evidence against it
        """
        if active.rollout.phase.has_ended:
            return
        active.has_stopped = True
        active.verdict = verdict
        self.log_evidence(events.ROLLOUT_STOPPED, active)
        self.announce_soon()

    def log_evidence(self, event: events.Event, active: Active) -> None:
        """Logs what is known of a new version.

        :param event: why it is logged
        :param active: its roll-out
        """
        rollout = active.rollout
        credits_used = active.exposure.spent.total()
        events.log(
            event,
            service=rollout.service,
            to=rollout.to,
            phase=rollout.phase.value,
            order=rollout.order_version,
            verdict=active.verdict.kind.value,
            reason=active.verdict.reason,
            bad_answers=active.verdict.bad_answers,
            sent=active.exposure.requests.total(),
            sent_to_new=credits_used,
            decider=self.decider(rollout.service),
            **active.verdict.inputs,
        )


def is_later(rollout: types.Rollout, known: types.Rollout) -> bool:
    """Returns whether a roll-out has come further than a known one.

    :param rollout: a roll-out
    :param known: another one of the same service
    """
    if rollout.order_version != known.order_version:
        return rollout.order_version > known.order_version
    return RANK[rollout.phase] > RANK[known.phase]
