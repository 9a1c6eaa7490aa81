"""The task that owns the requests of a gateway.

It has no sockets: exchanges, attempts and time come through parameters, so
that a test can drive every order of events. Decisions are in
:mod:`godwitloft.gateway.placement`.
"""

import dataclasses
import random
import typing

from godwitloft import clock as clocks
from godwitloft import events
from godwitloft import metrics
from godwitloft.gateway import admission as admissions
from godwitloft.gateway import answer as answers
from godwitloft.gateway import attempt as attempts
from godwitloft.gateway import dialect as dialects
from godwitloft.gateway import fleet as fleets
from godwitloft.gateway import front
from godwitloft.gateway import intake as intakes
from godwitloft.gateway import knowledge as knowledges
from godwitloft.gateway import model
from godwitloft.gateway import news
from godwitloft.gateway import options as options_module
from godwitloft.gateway import ordering
from godwitloft.gateway import outcomes
from godwitloft.gateway import pace as paces
from godwitloft.gateway import placing as placings
from godwitloft.gateway import refusals
from godwitloft.gateway import reports
from godwitloft.gateway import request as requests
from godwitloft.gateway import retrying as retryings
from godwitloft.gateway import sharing as sharings
from godwitloft.gateway import slot_client as slot_clients
from godwitloft.links import datagrams
from godwitloft.links.generated.datagrams import ttypes


@dataclasses.dataclass(frozen=True)
class Surroundings:
    """What a gateway is built on.

    :param clock: tells the time
    :param send: sends a request to an upstream
    :param rng: draws the split of a route
    :param instruments: what is counted
    :param slot_client: speaks with the upstreams' agents
    :param sharing: speaks with other gateways
    """

    clock: clocks.Clock
    send: typing.Callable[
        [model.Upstream, attempts.Outgoing, attempts.AttemptOwner],
        attempts.Attempt,
    ]
    rng: random.Random
    instruments: metrics.Instruments
    slot_client: slot_clients.SlotClient
    sharing: sharings.Sharing


class Gateway:
    """Waiting and running requests, and what they may use.

    :param options: what it is told at its start
    :param dialect: names of the headers
    :param surroundings: what it is built on
    """

    def __init__(
        self,
        options: options_module.Options,
        dialect: dialects.Dialect,
        surroundings: Surroundings,
    ) -> None:
        self.options = options
        self.dialect = dialect
        self.surroundings = surroundings
        self.clock = surroundings.clock
        self.knowledge = knowledges.Knowledge(self.clock, options.key_proof_ms)
        self.fleet = fleets.Fleet()
        sharing = surroundings.sharing
        self.news = news.News(
            self.clock,
            sharing.send,
            sharing.instance,
            sharing.port,
            self.knowledge,
            lambda: sharing.hosts,
        )
        self.intake = intakes.Intake(
            self.clock,
            dialect,
            self.knowledge,
            self.fleet,
            surroundings.sharing,
            surroundings.rng,
        )
        self.placing = placings.Placing(
            self.clock,
            options.zone,
            self.knowledge,
            self.fleet,
            surroundings.sharing,
            surroundings.slot_client,
        )
        self.retrying = retryings.Retrying(
            self.fleet, surroundings.sharing, options.retries
        )
        self.admission = admissions.Admission(
            self.clock,
            surroundings.sharing,
            self.retrying.crashes,
            surroundings.rng,
        )
        self.reports = reports.Reports(
            self.clock, surroundings.instruments, self.knowledge
        )
        self.pace = paces.Pace()
        self.leaving = False
        self.waiting: dict[str, list[requests.Request]] = {}
        self.pumping: set[str] = set()
        self.running: set[requests.Request] = set()

    # What the adapter tells.

    def list_gateways(self, hosts: dict[str, str]) -> None:
        """Takes the gateways that share limits and upstreams with this one.

        :param hosts: IP numbers of the others, by instance
        """
        before = self.gateways
        self.surroundings.sharing.members(hosts)
        if self.gateways != before:
            events.log(
                events.GATEWAYS_CHANGED, number=self.gateways, before=before
            )

    @property
    def gateways(self) -> int:
        """How many gateways hold a lease, with this one."""
        return self.surroundings.sharing.gateways

    def on_datagram(
        self, datagram: ttypes.Datagram, address: datagrams.Address
    ) -> None:
        """Takes what an agent or another gateway tells.

        :param datagram: any
        :param address: of the sender
        """
        if datagram.grant is not None:
            self.on_grant(datagram.grant)
        elif datagram.sharing is not None:
            self.surroundings.sharing.heard(datagram.sharing, address[0])
        elif datagram.question is not None:
            self.news.on_question(datagram.question, address[0])
        elif datagram.answer is not None:
            self.news.on_answer(datagram.answer)

    def tell_peers(self) -> None:
        """Tells other gateways what is used here, and asks them for news."""
        self.news.tick()
        self.surroundings.sharing.tell_if_due(
            tuple(self.retrying.crashes.recent)
        )

    def list_upstreams(self, upstreams: dict[str, model.Upstream]) -> None:
        """Takes a new list of upstreams.

        :param upstreams: by id
        """
        change = self.fleet.update(upstreams)
        for kind, names in (
            ("added", change.added),
            ("leaving", change.leaving),
            ("removed", change.removed),
        ):
            for name in names:
                events.log(events.UPSTREAM_LISTED, upstream=name, change=kind)
        self.pump_all()

    def ready(self) -> bool:
        """Tells whether new callers should come here.

        :return: whether requests can be served
        """
        return (
            not self.leaving
            and self.knowledge.router is not None
            and self.fleet.known
            and self.surroundings.sharing.restored
            and self.knowledge.proof_holds(self.clock.monotonic_ms())
        )

    def leave(self) -> None:
        """Tells the balancer to send no more callers."""
        self.leaving = True
        events.log(events.DRAINING, requests=self.unfinished())

    def close(self) -> None:
        """Refuses requests that come from now on."""
        self.intake.closing = True

    def unfinished(self) -> int:
        """Returns how many requests wait or run.

        :return: their number
        """
        waiting = sum(
            request.state is requests.State.WAITING
            for queue in self.waiting.values()
            for request in queue
        )
        return waiting + len(self.running)

    def busy(self) -> bool:
        """Tells whether a request waits or runs.

        :return: whether there is one
        """
        return self.unfinished() > 0

    def abandon(self) -> None:
        """Refuses what still waits, before the process ends."""
        for queue in self.waiting.values():
            for request in queue:
                if request.state is requests.State.WAITING:
                    self.refuse(
                        request, self.admission.turned_away(request, "leaving")
                    )

    # A request arrives.

    def on_request(self, exchange: front.Exchange) -> None:
        """Takes a request from its connection.

        :param exchange: a whole request
        """
        checked = self.intake.check(exchange)
        if isinstance(checked, refusals.Refusal):
            request_id = exchange.header(self.dialect.request_id) or b""
            self.reports.turned_away(request_id.decode("latin-1"), checked)
            refusals.answer(exchange, checked)
            return
        request = requests.Request(
            exchange,
            checked,
            self.pace.first_data_ms(
                checked.route.name, checked.sizes.prompt_tokens
            ),
        )
        exchange.on_left = lambda: self.caller_left(request)
        queue = self.waiting.setdefault(checked.service, [])
        refusal = self.admission.admit(request, queue)
        if refusal is not None:
            self.refuse(request, refusal)
            return
        queue.append(request)
        self.pump(checked.service)

    # A request is placed.

    def pump_all(self) -> None:
        """Places what can be placed, for all services."""
        router = self.knowledge.router
        if router is None:
            return
        for service in router.configuration.services:
            self.pump(service)

    def pump(self, service: str) -> None:
        """Places waiting requests of a service, the most important first.

        :param service: its name
        """
        if service in self.pumping:
            return
        self.pumping.add(service)
        try:
            while self.place_waiting(service):
                pass
        finally:
            self.pumping.discard(service)
        self.placing.tell_agents(service, self.waiting.get(service, []))

    def place_waiting(self, service: str) -> bool:
        """Tries once to place each waiting request of a service.

        :param service: its name
        :return: whether requests have come meanwhile
        """
        queue = self.waiting.get(service, [])
        self.waiting[service] = []
        if not queue:
            return False
        now_ms = self.clock.monotonic_ms()
        states = self.fleet.usable(service)
        queue.sort(key=lambda request: ordering.order_key(request, now_ms))
        left = []
        for request in queue:
            if request.state is not requests.State.WAITING:
                continue
            state = self.placing.place_for(request, states, now_ms)
            if state is None:
                left.append(request)
            else:
                self.send(request, state)
        added = self.waiting[service]
        self.waiting[service] = left + added
        return bool(added)

    def on_grant(self, grant: ttypes.SlotGrant) -> None:
        """Takes an agent's grant.

        :param grant: how many requests may start at its upstream
        """
        service = self.surroundings.slot_client.granted(grant, self.fleet)
        if service is not None and self.waiting.get(service):
            self.pump(service)

    def send(
        self, request: requests.Request, state: fleets.UpstreamState
    ) -> None:
        """Sends a request to an upstream: the one commit point.

        :param request: a waiting request
        :param state: where to
        """
        now_ms = self.clock.monotonic_ms()
        facts = request.facts
        if not self.still_permitted(request, now_ms):
            return
        if facts.team is not None and request.use is not None:
            request.use = self.surroundings.sharing.move(
                facts.team, request.use
            )
        if request.arrivals == 0:
            self.retrying.budget(facts.service).note_first(now_ms)
        request.arrivals += 1
        request.runs += 1
        request.state = requests.State.SENT
        request.sent_ms = now_ms
        request.sent_to = state.upstream.id
        request.placed = state
        request.answer = answers.Answer(request, self.dialect)
        state.running += 1
        state.started += 1
        request.read_ahead = state.unread + state.unread_elsewhere
        state.unread += facts.sizes.prompt_tokens
        request.unread = facts.sizes.prompt_tokens
        self.running.add(request)
        self.admission.started(request, now_ms)
        self.surroundings.instruments.wait_ms.record(now_ms - facts.arrived_ms)
        events.log(
            events.REQUEST_PLACED,
            request=facts.id,
            route=facts.route.name,
            team=facts.team.name if facts.team is not None else None,
            tokens=request.use.tokens if request.use is not None else None,
            upstream=state.upstream.id,
            waited_ms=now_ms - facts.arrived_ms,
            running=state.running,
            allowed=self.placing.allowed(state, now_ms),
            proof_age_ms=self.knowledge.proof_age_ms(now_ms),
        )
        number = request.arrivals
        owner = attempts.AttemptOwner(
            on_head=lambda status, headers: self.on_head(
                request, number, status, headers
            ),
            on_data=lambda data: self.on_data(request, number, data),
            on_end=lambda end, reason: self.on_end(
                request, number, end, reason
            ),
        )
        request.attempt = self.surroundings.send(
            state.upstream,
            requests.outgoing(request, state.upstream, self.dialect, now_ms),
            owner,
        )

    def still_permitted(self, request: requests.Request, now_ms: int) -> bool:
        """Checks again what may have changed while a request waited.

        :param request: a waiting request
        :param now_ms: the time
        :return: whether it may be sent; if not, it has been answered
        """
        team = request.facts.team
        router = self.knowledge.router
        if team is None or router is None:
            return True
        if not self.knowledge.proof_holds(now_ms):
            self.refuse(request, intakes.stale())
            return False
        if self.intake.team_of(request.exchange, router) is None:
            self.refuse(request, refusals.Refusal(401, "unknown_key"))
            return False
        return True

    # An answer comes.

    def on_head(
        self,
        request: requests.Request,
        number: int,
        status: int,
        headers: list[front.Header],
    ) -> None:
        """Takes the head of an upstream's answer.

        :param request: what it answers
        :param number: which of its attempts
        :param status: HTTP status
        :param headers: all headers
        """
        if number == request.arrivals and request.answer is not None:
            request.answer.take_head(status, headers)

    def on_data(
        self, request: requests.Request, number: int, data: bytes
    ) -> None:
        """Takes a part of an upstream's answer.

        :param request: what it answers
        :param number: which of its attempts
        :param data: the part
        """
        if number != request.arrivals or request.answer is None:
            return
        request.last_data_ms = self.clock.monotonic_ms()
        if request.state is requests.State.SENT:
            request.state = requests.State.ANSWERING
            request.first_data_ms = request.last_data_ms
            if request.placed is not None and request.answer.is_sound():
                self.retrying.crashes.sound(request.placed.upstream.id)
                took_ms = request.first_data_ms - request.sent_ms
                self.pace.learn(
                    request.facts.route.name,
                    request.facts.sizes.prompt_tokens,
                    took_ms,
                )
                request.placed.succeeded(
                    took_ms, request.unread + request.read_ahead
                )
                request.placed.unread -= request.unread
                request.unread = 0
        request.answer.take_data(data)

    def on_end(
        self,
        request: requests.Request,
        number: int,
        end: attempts.End,
        reason: str,
    ) -> None:
        """Handles the end of an attempt.

        :param request: whose attempt
        :param number: which of its attempts
        :param end: how it ended
        :param reason: why
        """
        answer = request.answer
        if number != request.arrivals or answer is None:
            return
        state = self.release(request)
        verdict = answer.judge(end, reason)
        now_ms = self.clock.monotonic_ms()
        if state is not None:
            self.retrying.note_end(request, state, verdict, now_ms)
        if verdict.result is outcomes.Result.DELIVER:
            answer.deliver()
            self.end(request, outcomes.COMPLETED, verdict.reason)
        elif self.retrying.may_try_again(request, verdict, now_ms):
            self.try_again(request, verdict)
        else:
            self.give_up(request, answer, verdict)
        self.pump(request.facts.service)

    def release(
        self, request: requests.Request
    ) -> fleets.UpstreamState | None:
        """Gives back the place of a request.

        :param request: what ran
        :return: where it was
        """
        state = request.placed
        request.placed = None
        request.attempt = None
        self.running.discard(request)
        if state is not None:
            state.running -= 1
            state.unread -= request.unread
            request.unread = 0
        return state

    def stop_run(
        self, request: requests.Request
    ) -> fleets.UpstreamState | None:
        """Stops the upstream's work on a request, if it is at one.

        :param request: any
        :return: where it was
        """
        attempt = request.attempt
        state = self.release(request)
        if attempt is not None:
            attempt.cancel()
        return state

    def try_again(
        self, request: requests.Request, verdict: answers.Verdict
    ) -> None:
        """Puts a request back among the waiting ones.

        :param request: whose attempt failed
        :param verdict: how
        """
        self.surroundings.instruments.retries.add(
            1, {"reason": verdict.reason}
        )
        request.state = requests.State.WAITING
        self.waiting.setdefault(request.facts.service, []).append(request)

    def give_up(
        self,
        request: requests.Request,
        answer: answers.Answer,
        verdict: answers.Verdict,
    ) -> None:
        """Answers a request whose last attempt has failed.

        :param request: what failed
        :param answer: what came from the upstream
        :param verdict: how it ended
        """
        if request.exchange.started:
            self.end(request, outcomes.CUT, verdict.reason)
            request.exchange.abort()
        elif answer.whole and not verdict.spoiled:
            answer.deliver()
            self.end(request, outcomes.FAILED, verdict.reason)
        elif (
            verdict.result
            in (
                outcomes.Result.NOT_SENT,
                outcomes.Result.NOT_RUN,
            )
            and request.runs == 0
        ):
            self.refuse(
                request, self.admission.turned_away(request, verdict.reason)
            )
        else:
            self.refuse(request, refusals.Refusal(502, verdict.reason))

    # A request ends.

    def refuse(
        self, request: requests.Request, refusal: refusals.Refusal
    ) -> None:
        """Answers a request with a refusal.

        A caller who has the head of an answer sees a cut; one whose request
        has run is not told that it hasn't.

        :param request: what is refused
        :param refusal: why
        """
        if request.exchange.started:
            self.end(request, outcomes.CUT, refusal.reason)
            request.exchange.abort()
            return
        if request.runs > 0 and refusal.status in outcomes.NOT_RUN_STATUSES:
            refusal = dataclasses.replace(
                refusal, status=504, retry_after_ms=None
            )
        self.reports.refused(request, refusal)
        request.state = requests.State.ENDED
        team = request.facts.team
        if request.runs == 0 and request.use is not None and team is not None:
            self.surroundings.sharing.window(team.name).take_back(request.use)
        refusals.answer(request.exchange, refusal)

    def end(
        self, request: requests.Request, outcome: str, reason: str
    ) -> None:
        """Ends a request that has its answer, or needs none.

        :param request: what ended
        :param outcome: in a word
        :param reason: why, if it failed
        """
        request.state = requests.State.ENDED
        self.reports.ended(request, outcome, reason)

    def caller_left(self, request: requests.Request) -> None:
        """Stops the work for a caller who has gone.

        :param request: theirs
        """
        self.stop_run(request)
        self.end(request, outcomes.CALLER_LEFT, request.state.value)
        self.pump(request.facts.service)

    def tick(self) -> None:
        """Ends requests whose time is over; called many times a second."""
        now_ms = self.clock.monotonic_ms()
        for queue in list(self.waiting.values()):
            for request in list(queue):
                self.check_waiting(request, now_ms)
        for request in list(self.running):
            if now_ms >= request.facts.until_ms:
                self.time_out(request)
            elif self.retrying.has_stalled(request, now_ms):
                self.go_on_elsewhere(request, now_ms)
        self.pump_all()

    def go_on_elsewhere(self, request: requests.Request, now_ms: int) -> None:
        """Takes a silent stream from its upstream, if another may go on.

        :param request: a stream that may be resumed
        :param now_ms: the time
        """
        if not self.retrying.may_try_again(request, retryings.STALLED, now_ms):
            return
        state = self.stop_run(request)
        if state is not None:
            self.retrying.note_end(request, state, retryings.STALLED, now_ms)
        self.try_again(request, retryings.STALLED)

    def check_waiting(self, request: requests.Request, now_ms: int) -> None:
        """Refuses a waiting request that is better turned away.

        :param request: a waiting request
        :param now_ms: the time
        """
        if request.state is not requests.State.WAITING:
            return
        queue = self.waiting[request.facts.service]
        reason = self.admission.gives_up(request, queue, now_ms)
        if not reason:
            return
        if request.runs > 0:
            self.refuse(request, refusals.Refusal(504, "timeout"))
        else:
            self.refuse(request, self.admission.turned_away(request, reason))

    def time_out(self, request: requests.Request) -> None:
        """Ends a running request whose time is over.

        :param request: a running request
        """
        self.stop_run(request)
        self.refuse(request, refusals.Refusal(504, "timeout"))
