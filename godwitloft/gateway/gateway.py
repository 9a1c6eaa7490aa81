"""Owns the waiting and running requests of a gateway.

It opens no sockets: exchanges, attempts and the clock are passed in, so that
a test can produce any order of events. Upstreams are chosen in
:mod:`godwitloft.gateway.placing.placement`.
"""

import collections
import dataclasses
import itertools
import random
import typing

from godwitloft import answer_end
from godwitloft import attempt as attempts
from godwitloft import clock as clocks
from godwitloft import events
from godwitloft import metrics
from godwitloft.gateway import answer as answers
from godwitloft.gateway import checked_attempt
from godwitloft.gateway import config_state as config_states
from godwitloft.gateway import final_answers
from godwitloft.gateway import model
from godwitloft.gateway import options as options_module
from godwitloft.gateway import outcomes
from godwitloft.gateway import refusals
from godwitloft.gateway import reports
from godwitloft.gateway import request as requests
from godwitloft.gateway import retry_policy as retry_policies
from godwitloft.gateway import rollouts as rollout_module
from godwitloft.gateway import send_checks
from godwitloft.gateway import shutdown as shutdowns
from godwitloft.gateway.allowances import announcer as announcers
from godwitloft.gateway.allowances import sharing as sharings
from godwitloft.gateway.callers import dialect as dialects
from godwitloft.gateway.callers import http_server
from godwitloft.gateway.callers import request_checker as request_checkers
from godwitloft.gateway.crashes import crash_evidence
from godwitloft.gateway.peers import peer_confirmation
from godwitloft.gateway.peers import peer_status
from godwitloft.gateway.peers import shared_knowledge
from godwitloft.gateway.peers import store_contact
from godwitloft.gateway.placing import admission as admissions
from godwitloft.gateway.placing import arbiter as arbiters
from godwitloft.gateway.placing import first_data
from godwitloft.gateway.placing import latency
from godwitloft.gateway.placing import ordering
from godwitloft.gateway.placing import placer as placers
from godwitloft.gateway.placing import slot_client as slot_clients
from godwitloft.gateway.streams import base_versions
from godwitloft.gateway.streams import continuations as continuation_module
from godwitloft.gateway.streams import restarted_upstreams
from godwitloft.gateway.streams import service_versions
from godwitloft.gateway.streams import stream_holds
from godwitloft.gateway.streams import stream_life
from godwitloft.gateway.streams import stream_origins
from godwitloft.gateway.streams import unmarked_end
from godwitloft.gateway.upstreams import fleet as fleets
from godwitloft.gateway.upstreams import learned_room
from godwitloft.gateway.upstreams import process_end
from godwitloft.gateway.upstreams import upstream_statements
from godwitloft.links import datagrams
from godwitloft.links.generated.datagrams import ttypes

MAX_NAMES_LOGGED = 20
# With these, an upstream tells that it has no room for a request.
OVERLOAD_STATUSES = (429, 503)
NOT_SENT_FOR_PAUSE = answers.AttemptOutcome(
    outcomes.Result.NOT_SENT, "upstream_paused", unusable=True
)


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Dependencies of a gateway.

    :param clock: source of the time
    :param send: sends a request to an upstream
    :param check_connection: finds out whether an upstream accepts connections,
        False if it refuses them, None if that can't be told
    :param check_life: finds out whether an upstream is still the listed
        process
    :param rng: chooses the target of a request and randomizes retry delays
    :param instruments: metrics
    :param slot_client: exchanges datagrams with the upstreams' agents
    :param sharing: shares allowances with other gateways
    :param call_later: calls a function after some milliseconds
    """

    clock: clocks.Clock
    send: typing.Callable[
        [model.Upstream, attempts.Outgoing, attempts.AttemptCallbacks],
        attempts.Attempt,
    ]
    check_connection: typing.Callable[
        [model.Upstream, typing.Callable[[bool | None], None]], None
    ]
    check_life: typing.Callable[
        [model.Upstream, checked_attempt.OnChecked], None
    ]
    rng: random.Random
    instruments: metrics.Instruments
    slot_client: slot_clients.SlotClient
    sharing: sharings.Sharing
    call_later: typing.Callable[[int, typing.Callable[[], None]], object]


class Gateway:
    """Admits requests, sends them to upstreams and answers their callers.

    :param options: settings
    :param dialect: names of the headers
    :param dependencies: clock, connections and metrics
    """

    def __init__(
        self,
        options: options_module.Options,
        dialect: dialects.Dialect,
        dependencies: Dependencies,
    ) -> None:
        self.options = options
        self.dialect = dialect
        self.dependencies = dependencies
        self.instruments = dependencies.instruments
        self.clock = dependencies.clock
        self.config_state = config_states.ConfigState(
            self.clock, options.key_proof_ms
        )
        self.fleet = fleets.Fleet()
        sharing = dependencies.sharing
        contact = store_contact.StoreContact(options.store_outage_ms)
        self.confirmation = peer_confirmation.PeerConfirmation(
            self.clock,
            sharing.announcer.send,
            sharing.instance,
            sharing.announcer.port,
            self.config_state,
            lambda: sharing.hosts,
            contact,
        )
        life = stream_life.StreamLife(
            self.clock, lambda: self.config_state.router
        )
        self.versions = service_versions.ServiceVersions(
            self.clock,
            contact,
            self.confirmation.list_confirmed_ms,
            sharing.others.hears_majority,
            lambda: sharing.start.restored,
            life.longest_ms,
        )
        self.bases = base_versions.BaseVersions(
            self.clock, self.confirmation.list_confirmed_ms, life.longest_ms
        )
        self.origins = stream_origins.StreamOrigins(
            self.clock,
            self.versions,
            self.bases.needs_record,
            lambda: sharing.gateways,
            life.longest_ms,
        )
        self.continuations = continuation_module.Continuations(
            self.clock,
            self.fleet,
            self.versions,
            self.bases,
            self.origins,
            continuation_module.Callbacks(
                on_located=self.enqueue,
                refuse=lambda *refused: self.final_answers.refuse(*refused),
                list_confirmed_ms=self.confirmation.list_confirmed_ms,
                read_list=self.confirmation.mark_list_outdated,
                gateways=lambda: sharing.gateways,
            ),
        )
        self.holds = stream_holds.StreamHolds(
            self.clock,
            self.fleet,
            self.bases,
            self.origins,
            self.send_again,
        )
        self.restarted_upstreams = restarted_upstreams.RestartedUpstreams(
            self.clock, self.fleet, self.origins
        )
        self.request_checker = request_checkers.RequestChecker(
            self.clock,
            dialect,
            self.config_state,
            self.fleet,
            dependencies.sharing,
            dependencies.rng,
        )
        self.rooms = learned_room.LearnedRooms(
            self.clock,
            dependencies.sharing,
            self.fleet,
            dependencies.instruments,
            options.policies.learned_room,
        )
        self.placer = placers.Placer(
            self.clock,
            options.zone,
            self.config_state,
            self.fleet,
            dependencies.sharing,
            dependencies.slot_client,
            self.rooms,
        )
        if options.policies.demand_shares:
            self.placer.room_shares.is_announcing = True
            sharing.announcer.room_demand = announcers.RoomDemand(
                self.placer.room_shares.refresh,
                self.placer.room_shares.to_send,
            )
        self.retry_policy = retry_policies.RetryPolicy(
            self.fleet, dependencies.sharing, options.retries
        )
        self.crash_evidence = crash_evidence.CrashEvidence(
            self.clock,
            self.retry_policy.crashes,
            sharing,
            lambda upstream, on_checked: self.dependencies.check_connection(
                upstream, on_checked
            ),
            dependencies.call_later,
        )
        self.shutdown = shutdowns.Shutdown(self.clock)
        self.admission = admissions.Admission(
            self.clock,
            dependencies.sharing,
            self.retry_policy.crashes,
            dependencies.rng,
            self.fleet,
            options.policies,
            self.placer.has_room,
        )
        self.send_checks = send_checks.SendChecks(
            self.config_state,
            self.request_checker,
            self.admission,
            self.shutdown,
        )
        self.latency = latency.LatencyEstimator()
        self.first_data = first_data.FirstData(
            self.retry_policy.crashes, self.latency, self.placer
        )
        self.reports = reports.Reports(
            self.clock,
            dependencies.instruments,
            self.config_state,
            self.shutdown,
        )
        self.final_answers = final_answers.FinalAnswers(
            sharing, self.admission, self.shutdown, self.reports
        )
        self.arbiter = arbiters.Arbiter(
            self.clock,
            dependencies.call_later,
            sharing.announcer.send,
            dependencies.slot_client.incarnation,
            self.fleet.zone_of,
            listens_anew=True,
            by_demand=options.policies.demand_shares,
        )
        self.statements = upstream_statements.UpstreamStatements(
            self.clock,
            dialect,
            self.fleet,
            sharing,
            dependencies.instruments,
            self.take_back_unsent,
        )
        self.rollouts = rollout_module.Rollouts(
            self.clock,
            sharing.others,
            self.fleet,
            dependencies.slot_client.incarnation,
            options.rollouts,
            dependencies.instruments,
            self.bases.version_of,
            lambda: (*self.running, *itertools.chain(*self.waiting.values())),
            sharing.announce_soon,
        )
        self.versions.knows_orders_of = self.rollouts.knows_orders_of
        self.knowledge = shared_knowledge.SharedKnowledge(
            self.clock,
            sharing,
            self.fleet,
            self.confirmation,
            contact,
            self.retry_policy.crashes,
            self.versions,
            self.rooms,
            lambda state: self.statements.mark_leaving(state, "peer"),
            lambda state, statement: self.statements.set_limit(
                state, statement, "peer"
            ),
            self.rollouts,
        )
        sharing.announcer.own_status = self.knowledge.status
        sharing.on_peer_status = self.knowledge.on_peer_status
        self.waiting: dict[str, list[requests.Request]] = {}
        self.scheduling: set[str] = set()
        self.running: set[requests.Request] = set()

    # Input from peers, agents, the list of upstreams and the process.

    def update_gateways(self, hosts: dict[str, str]) -> None:
        """Updates the gateways that share limits and upstreams with this one.

        :param hosts: IP numbers of the others, by instance
        """
        before = self.gateways
        self.dependencies.sharing.update_gateways(hosts)
        if self.gateways != before:
            events.log(
                events.GATEWAYS_CHANGED,
                number=self.gateways,
                before=before,
                others=sorted(hosts)[:MAX_NAMES_LOGGED],
            )

    @property
    def gateways(self) -> int:
        """Number of gateways, including this one."""
        return self.dependencies.sharing.gateways

    def on_datagram(
        self, datagram: ttypes.Datagram, address: datagrams.Address
    ) -> None:
        """Handles a datagram of an agent or another gateway.

        :param datagram: any datagram
        :param address: address of the sender
        """
        if datagram.grant is not None:
            self.on_grant(datagram.grant)
        elif datagram.want is not None:
            self.arbiter.on_datagram(datagram, address)
        elif datagram.sharing is not None:
            self.dependencies.sharing.on_announcement(
                datagram.sharing, address[0]
            )
        elif datagram.question is not None:
            self.dependencies.sharing.start.record_contact()
            self.confirmation.on_question(datagram.question, address[0])
        elif datagram.answer is not None:
            self.dependencies.sharing.start.record_contact()
            self.confirmation.on_answer(datagram.answer)

    def announce(self) -> None:
        """Announces usage to other gateways and asks a poller, each if due."""
        self.confirmation.ask_if_due()
        self.dependencies.sharing.announce_if_due()

    def on_store_restored(self, at_ms: int) -> None:
        """Heeds that the store has lost what was written lately.

        :param at_ms: when that was noticed
        """
        self.config_state.mark_restored(at_ms)
        self.origins.mark_unsaved()
        self.versions.mark_unsaved()
        self.bases.mark_restored()
        self.continuations.mark_restored(at_ms)

    def update_upstreams(self, upstreams: dict[str, model.Upstream]) -> None:
        """Replaces the list of upstreams.

        :param upstreams: upstreams by id
        """
        change = self.fleet.update(upstreams, self.clock.monotonic_ms())
        self.versions.update(upstreams.values())
        self.bases.update(upstreams.values())
        self.restarted_upstreams.correct(self.running)
        for kind, names in (
            ("added", change.added),
            ("leaving", change.leaving),
            ("removed", change.removed),
        ):
            for name in names:
                events.log(
                    events.UPSTREAM_LISTED,
                    upstream=name,
                    change=kind,
                    upstream_version=self.fleet.version_of(name),
                )
        self.schedule_all()

    def ready(self) -> bool:
        """Returns whether the balancer should send callers here.

        :return: whether requests can be served
        """
        return (
            not self.shutdown.has_begun
            and self.config_state.router is not None
            and self.fleet.has_list
            and self.dependencies.sharing.start.is_ready()
            and self.config_state.is_confirmation_fresh(
                self.clock.monotonic_ms()
            )
        )

    def start_draining(self, end_ms: int) -> None:
        """Starts draining: the gateway is no longer ready for the balancer.

        :param end_ms: when the process must end; requests that would take
            longer are refused from now on
        """
        self.shutdown.begin(end_ms, self.options.last_accept_ms)
        events.log(
            events.DRAINING,
            requests=self.unfinished(),
            limit_ms=end_ms - self.clock.monotonic_ms(),
            **self.count_by_state(),
        )

    def stop_accepting(self) -> None:
        """Refuses requests that arrive from now on."""
        self.request_checker.closing = True

    def unfinished(self) -> int:
        """Returns how many requests wait or run.

        :return: number of requests
        """
        waiting = sum(
            request.state is requests.State.WAITING
            for queue in self.waiting.values()
            for request in queue
        )
        return waiting + len(self.running) + len(self.continuations.pending)

    def count_by_state(self) -> typing.Mapping[str, int]:
        """Returns how many requests wait or run, for logs."""
        states = collections.Counter(request.state for request in self.running)
        sent = states[requests.State.SENT]
        answering = states[requests.State.ANSWERING]
        locating = len(self.continuations.pending)
        return {
            "waiting": self.unfinished() - len(self.running) - locating,
            "locating": locating,
            "sent": sent,
            "answering": answering,
        }

    def has_requests(self) -> bool:
        """Returns whether a request waits or runs.

        :return: whether there is one
        """
        return self.unfinished() > 0

    def end_all(self) -> None:
        """Answers all unfinished requests, before the process ends.

        Those that have not run are refused; what becomes of the others isn't
        known.
        """
        self.shutdown.is_over = True
        time_over = refusals.Refusal(504, request_checkers.LEAVING)
        for request in list(self.running):
            self.end_safely(self.end_running, request, time_over)
        self.end_safely(
            self.continuations.refuse_all, request_checkers.LEAVING_REFUSAL
        )
        for queue in self.waiting.values():
            for request in queue:
                if request.state is requests.State.WAITING:
                    self.end_safely(self.refuse_leaving, request)

    def refuse_leaving(self, request: requests.Request) -> None:
        """Refuses a waiting request, as the process ends.

        :param request: a waiting request
        """
        rejection = self.admission.rejection(request, request_checkers.LEAVING)
        self.final_answers.refuse(request, rejection)

    def end_safely(
        self, end: typing.Callable[..., None], *arguments: typing.Any
    ) -> None:
        """Ends requests; an error must not keep others from an answer.

        :param end: ends them
        :param arguments: what it is called with
        """
        try:
            end(*arguments)
        except Exception as problem:
            events.log_error(events.INTERNAL_ERROR, problem, task="stop")

    # Arrival of requests.

    def on_request(self, exchange: http_server.Exchange) -> None:
        """Handles a request from a caller's connection.

        :param exchange: a complete request
        """
        checked = self.request_checker.check(exchange)
        if isinstance(checked, refusals.Refusal):
            request_id = exchange.header(self.dialect.request_id) or b""
            self.reports.report_unadmitted(
                request_id.decode("latin-1"), checked
            )
            refusals.answer(exchange, checked)
            return
        request = requests.Request(
            exchange,
            checked,
            self.latency.first_data_ms(
                checked.route.name, checked.sizes.prompt_tokens
            ),
        )
        request.last_event = exchange.header(self.dialect.last_event) or None
        exchange.on_disconnect = lambda: self.on_caller_disconnect(request)
        exchange.on_congested = lambda congested: self.on_caller_congested(
            request, congested
        )
        if checked.resumed_id is not None:
            self.continuations.locate(request)
        else:
            self.enqueue(request)

    def enqueue(self, request: requests.Request) -> None:
        """Lets a request wait for an upstream, or refuses it.

        :param request: a request that was not admitted yet
        """
        service = request.facts.service
        queue = self.waiting.setdefault(service, [])
        if not self.shutdown.can_finish(request):
            self.final_answers.refuse(
                request, request_checkers.LEAVING_REFUSAL
            )
            return
        self.placer.room_shares.record_arrival(
            request, self.clock.monotonic_ms()
        )
        refusal = self.admission.admit(request, queue)
        if refusal is not None:
            self.final_answers.refuse(request, refusal)
            return
        queue.append(request)
        self.schedule(service)

    # Sending of requests.

    def schedule_all(self) -> None:
        """Sends the waiting requests of all services that can be sent."""
        router = self.config_state.router
        if router is None:
            return
        for service in router.configuration.services:
            self.schedule(service)

    def schedule(self, service: str) -> None:
        """Sends waiting requests of a service, the most important first.

        :param service: name of the service
        """
        if service in self.scheduling or self.shutdown.is_over:
            return
        self.scheduling.add(service)
        try:
            while self.place_waiting(service):
                pass
        finally:
            self.scheduling.discard(service)
        self.placer.send_wants(service, self.waiting.get(service, []))

    def place_waiting(self, service: str) -> bool:
        """Tries once to send each waiting request of a service.

        :param service: name of the service
        :return: whether further requests were queued meanwhile
        """
        queue = [
            request
            for request in self.waiting.get(service, [])
            if request.state is requests.State.WAITING
        ]
        self.waiting[service] = []
        if not queue:
            return False
        now_ms = self.clock.monotonic_ms()
        self.admission.load_of(service).floor.mark_owed(queue)
        queue.sort(key=lambda request: ordering.order_key(request, now_ms))
        states = self.fleet.usable(service)
        if self.versions.new:
            self.versions.use_new()
            states = [
                state
                for state in states
                if self.versions.may_begin_at(state.upstream)
            ]
        candidates = self.placer.candidates(states, now_ms)
        if self.rollouts.concerns(service):
            candidates.groups = self.rollouts.groups
        still_waiting = []
        for number, request in enumerate(queue):
            if not candidates.have_room():
                still_waiting.extend(queue[number:])
                break
            if request.state is not requests.State.WAITING:
                continue  # ended while others were sent
            if self.placer.room_shares.is_held(request, now_ms):
                still_waiting.append(request)
                self.reports.count_held(request)
                continue
            state = candidates.choose(request, self.holds.version_for(request))
            if state is None:
                still_waiting.append(request)
            else:
                self.send(request, state)
                candidates.update(state)
        added = self.waiting[service]
        self.waiting[service] = still_waiting + added
        return bool(added)

    def on_grant(self, grant: ttypes.SlotGrant) -> None:
        """Handles an agent's grant.

        :param grant: how many requests may start at its upstream
        """
        if grant.leaving_born_ms is not None:
            life = peer_status.Life(grant.upstream, grant.leaving_born_ms)
            state = self.fleet.state_of(life)
            if state is not None:
                self.statements.mark_leaving(state, "agent")
        service = self.dependencies.slot_client.on_grant(grant, self.fleet)
        if service is not None and self.waiting.get(service):
            self.schedule(service)

    def send(
        self, request: requests.Request, state: fleets.UpstreamState
    ) -> None:
        """Sends a request to an upstream.

        Only this method does so: the attempt is committed here, and from then
        on the request may run.

        :param request: a waiting request
        :param state: the upstream
        """
        now_ms = self.clock.monotonic_ms()
        facts = request.facts
        if request.exchange.notice_close():
            return
        refusal = self.send_checks.refusal(request, now_ms)
        if refusal is not None:
            self.final_answers.refuse(request, refusal)
            return
        self.crash_evidence.record_trial(request, now_ms)
        if facts.team is not None and request.use is not None:
            request.use = self.dependencies.sharing.move_to_now(
                facts.team, request.use
            )
        if request.attempt_count == 0:
            request.first_sent_ms = now_ms
            self.retry_policy.budget(facts.service).record_first(now_ms)
        request.attempt_count += 1
        request.runs += 1
        request.state = requests.State.SENT
        request.sent_ms = now_ms
        request.answering_since_ms = 0
        request.was_cancelled = False
        request.last_upstream_id = state.upstream.id
        request.sent_version = state.upstream.version
        request.upstream_state = state
        request.answer = answers.Answer(request, self.dialect)
        state.record_start(now_ms)
        self.rollouts.record_sent(request, state)
        self.placer.room_shares.record_start(facts.service)
        request.was_congested = request.congested
        request.load_when_sent = self.rooms.load(state)
        self.holds.record_origin(request)
        request.prompt_tokens_ahead = (
            state.pending_prompt_tokens + state.pending_prompt_tokens_elsewhere
        )
        state.pending_prompt_tokens += facts.sizes.prompt_tokens
        request.pending_prompt_tokens = facts.sizes.prompt_tokens
        self.running.add(request)
        self.admission.record_start(request, now_ms)
        self.dependencies.instruments.wait_ms.record(now_ms - facts.arrived_ms)
        self.reports.report_sent(
            request,
            state.running,
            self.placer.allowed(state, now_ms),
            self.placer.share_fields(state, now_ms),
        )
        attempt_number = request.attempt_count
        callbacks = attempts.AttemptCallbacks(
            on_head=lambda status, headers: self.on_head(
                request, attempt_number, status, headers
            ),
            on_data=lambda data: self.on_data(request, attempt_number, data),
            on_end=lambda end, reason: self.on_end(
                request, attempt_number, end, reason
            ),
            before_send=request.exchange.notice_close,
        )
        if self.holds.must_hold(request):
            callbacks = self.holds.hold(request, callbacks)
        self.start_attempt(request, state.upstream, callbacks)

    def start_attempt(
        self,
        request: requests.Request,
        upstream: model.Upstream,
        callbacks: attempts.AttemptCallbacks,
    ) -> None:
        """Starts an attempt, for a stream that goes on after a check.

        :param request: a request that is being sent
        :param upstream: the upstream
        :param callbacks: functions that the attempt calls
        """

        def start() -> attempts.Attempt:
            now_ms = self.clock.monotonic_ms()
            outgoing = requests.outgoing(
                request, upstream, self.dialect, now_ms
            )
            return self.dependencies.send(upstream, outgoing, callbacks)

        request.was_unchecked = not self.send_checks.must_check_life(
            request, upstream
        )
        if request.was_unchecked:
            request.attempt = start()
            return
        checked = checked_attempt.CheckedAttempt(
            lambda on_checked: self.dependencies.check_life(
                upstream, on_checked
            ),
            start,
            callbacks.on_end,
        )
        request.attempt = checked
        checked.begin()

    # Answers of upstreams.

    def on_head(
        self,
        request: requests.Request,
        attempt_number: int,
        status: int,
        headers: list[http_server.Header],
    ) -> None:
        """Handles the head of an upstream's answer.

        :param request: the request
        :param attempt_number: number of the attempt; an answer to an earlier
            attempt is ignored
        :param status: HTTP status
        :param headers: all headers
        """
        if (
            attempt_number == request.attempt_count
            and request.answer is not None
        ):
            request.answer.on_head(status, headers)
            self.statements.heed(request, status, headers)

    def has_lost_process(
        self,
        request: requests.Request,
        state: fleets.UpstreamState | None,
    ) -> bool:
        """Returns whether an answer may have ended with its process only.

        :param request: a request whose answer has ended
        :param state: the upstream to which it was sent
        :return: whether only the end of its connection marks that end, and
            another process has taken its upstream's place since it was sent
        """
        answer = request.answer
        if answer is None or answer.body_end is None or state is None:
            return False
        if answer.body_end.framing is not answer_end.Framing.CLOSE:
            return False
        sent_wall_ms = self.restarted_upstreams.sent_wall_ms(request)
        return process_end.is_replaced(state, self.fleet, sent_wall_ms)

    def take_back_unsent(self, state: fleets.UpstreamState) -> None:
        """Takes back requests whose connections are still being made.

        :param state: an upstream that wants no requests now
        """
        for other in list(self.running):
            attempt = other.attempt
            if other.upstream_state is not state or attempt is None:
                continue
            if not attempt.sent:
                self.cancel_attempt(other)
                other.runs -= 1
                self.requeue(other, NOT_SENT_FOR_PAUSE)

    def on_data(
        self, request: requests.Request, attempt_number: int, data: bytes
    ) -> None:
        """Handles a part of the body of an upstream's answer.

        :param request: the request
        :param attempt_number: number of the attempt
        :param data: the received bytes
        """
        if attempt_number != request.attempt_count or request.answer is None:
            return
        request.last_data_ms = self.clock.monotonic_ms()
        if not request.proved_sound and request.has_answered_for_long(
            request.last_data_ms
        ):
            self.crash_evidence.record_sound(request)
        if request.state is requests.State.SENT:
            self.first_data.record(request, request.answer)
            self.rollouts.record_first_data(request)
        request.answer.on_data(data)
        if unmarked_end.has_gone_on(request):
            self.reports.report_unknown_end(request, reports.EndFound.GOES_ON)
            request.unmarked_end = None
        if request.exchange.started and request.version is None:
            # From now on no other version may go on with the answer.
            request.version = request.sent_version
        overflow = request.answer.overflow
        if overflow and request.attempt is not None:
            request.attempt.end(attempts.End.BROKEN, overflow)

    def on_end(
        self,
        request: requests.Request,
        attempt_number: int,
        end: attempts.End,
        reason: str,
    ) -> None:
        """Handles the end of an attempt.

        :param request: the request
        :param attempt_number: number of the attempt
        :param end: how it ended
        :param reason: reason for logs and metrics
        """
        answer = request.answer
        if attempt_number != request.attempt_count or answer is None:
            return
        state = self.release(request)
        now_ms = self.clock.monotonic_ms()
        if reason == attempts.SERVER_GONE and not (
            state is None
            or process_end.has_died(state, self.fleet, self.running, now_ms)
        ):
            end = attempts.End.COMPLETE
        if end is attempts.End.COMPLETE and self.has_lost_process(
            request, state
        ):
            end, reason = attempts.End.BROKEN, attempts.SERVER_RESTARTED
        attempt_outcome = answer.classify_end(end, reason)
        self.reports.count_answer_end(answer, attempt_outcome)
        self.rollouts.record_end(request, attempt_outcome)
        is_end_unknown = attempt_outcome.result is outcomes.Result.END_UNKNOWN
        if reason == checked_attempt.Found.REPLACED.value:
            self.continuations.callbacks.read_list()
        if is_end_unknown and answer.may_mark_end():
            unmarked_end.mark(request)
        if state is not None:
            self.record_room(request, state, attempt_outcome, now_ms)
            self.retry_policy.record_end(
                request, state, attempt_outcome, now_ms
            )
            if attempt_outcome.result is outcomes.Result.BROKEN:
                self.crash_evidence.check_upstream(state)
        if attempt_outcome.result is outcomes.Result.DELIVER:
            if answer.is_valid_success():
                self.crash_evidence.record_complete(request)
                self.shutdown.record_complete(request)
            answer.deliver()
            if request.unmarked_end is not None:
                self.reports.report_unknown_end(
                    request, reports.EndFound.WHOLE
                )
            self.final_answers.end(
                request, outcomes.COMPLETED, attempt_outcome.reason
            )
        elif self.retry_policy.may_retry(request, attempt_outcome, now_ms):
            self.requeue(request, attempt_outcome)
        elif unmarked_end.counts_as_whole(request):
            self.final_answers.finish_unmarked(
                request, request.no_retry or attempt_outcome.reason
            )
        else:
            if is_end_unknown or request.unmarked_end is not None:
                self.reports.report_unknown_end(request, reports.EndFound.CUT)
            self.final_answers.fail(request, answer, attempt_outcome)
        self.schedule(request.facts.service)

    def record_room(
        self,
        request: requests.Request,
        state: fleets.UpstreamState,
        attempt_outcome: answers.AttemptOutcome,
        now_ms: int,
    ) -> None:
        """Learns from the end of an attempt how much its upstream handles.

        :param request: the request
        :param state: the upstream
        :param attempt_outcome: how the attempt ended
        :param now_ms: the current time
        """
        result = attempt_outcome.result
        answer = request.answer
        if result is outcomes.Result.NOT_RUN:
            if answer is not None and answer.status in OVERLOAD_STATUSES:
                self.rooms.record_refusal(state, now_ms)
        elif answer is not None and answer.is_valid_success():
            if result is outcomes.Result.DELIVER:
                self.rooms.record_answer(request, state, now_ms)

    def release(
        self, request: requests.Request
    ) -> fleets.UpstreamState | None:
        """Releases a request's slot at its upstream.

        :param request: a running request
        :return: the upstream, None if it was at none
        """
        state = request.upstream_state
        self.holds.release(request)
        request.upstream_state = None
        request.attempt = None
        self.running.discard(request)
        if state is not None:
            state.running -= 1
            self.placer.room_shares.record_end(
                request.facts.service,
                self.clock.monotonic_ms() - request.sent_ms,
            )
            state.pending_prompt_tokens -= request.pending_prompt_tokens
            request.pending_prompt_tokens = 0
        return state

    def cancel_attempt(
        self, request: requests.Request
    ) -> fleets.UpstreamState | None:
        """Cancels the current attempt of a request, if there is one.

        :param request: any request
        :return: the upstream, None if it was at none
        """
        attempt = request.attempt
        state = self.release(request)
        if attempt is not None:
            request.was_cancelled = True
            self.rollouts.record_cancelled(request)
            attempt.cancel()
        return state

    def requeue(
        self,
        request: requests.Request,
        attempt_outcome: answers.AttemptOutcome,
    ) -> None:
        """Puts a request back into the queue.

        :param request: the request whose attempt failed
        :param attempt_outcome: how the attempt ended
        """
        self.dependencies.instruments.retries.add(
            1, {"reason": attempt_outcome.reason}
        )
        request.state = requests.State.WAITING
        self.waiting.setdefault(request.facts.service, []).append(request)

    # End of requests.

    def on_caller_disconnect(self, request: requests.Request) -> None:
        """Cancels a request whose caller has disconnected.

        :param request: the caller's request
        """
        self.cancel_attempt(request)
        self.final_answers.end(
            request, outcomes.CALLER_LEFT, request.state.value
        )
        self.schedule(request.facts.service)

    def on_caller_congested(
        self, request: requests.Request, congested: bool
    ) -> None:
        """Stops reading an answer while its caller reads too slowly.

        :param request: the caller's request
        :param congested: whether too much of its answer is unsent
        """
        request.congested = congested
        request.was_congested |= congested
        # What isn't read can't arrive: this is no silence of the upstream.
        request.last_data_ms = self.clock.monotonic_ms()
        if request.attempt is not None:
            request.attempt.pause_reading(congested)

    def tick(self) -> None:
        """Ends requests that have timed out, and sends waiting ones.

        Called many times a second.
        """
        now_ms = self.clock.monotonic_ms()
        self.rollouts.check()
        self.continuations.check()
        self.holds.check()
        self.rooms.check()
        for queue in list(self.waiting.values()):
            for request in list(queue):
                self.check_waiting(request, now_ms)
        for request in list(self.running):
            if now_ms >= request.facts.deadline_ms:
                self.record_given_up(request, now_ms)
                self.end_running(request, refusals.Refusal(504, "timeout"))
            elif self.retry_policy.has_stalled(request, now_ms):
                self.record_given_up(request, now_ms)
                self.move_stalled_stream(request, now_ms)
        self.schedule_all()

    def record_given_up(self, request: requests.Request, now_ms: int) -> None:
        """Learns that an upstream has not answered for a long time.

        :param request: a running request
        :param now_ms: the current time
        """
        if request.upstream_state is not None:
            self.rooms.record_unanswered(
                request, request.upstream_state, now_ms
            )

    def move_stalled_stream(
        self, request: requests.Request, now_ms: int
    ) -> None:
        """Cancels a stalled stream and resumes it elsewhere, if permitted.

        :param request: a stream that may be resumed
        :param now_ms: the current time
        """
        state = request.upstream_state
        if not self.send_again(request, retry_policies.STALLED):
            return
        if state is not None:
            self.retry_policy.record_end(
                request, state, retry_policies.STALLED, now_ms
            )

    def send_again(
        self,
        request: requests.Request,
        attempt_outcome: answers.AttemptOutcome,
    ) -> bool:
        """Cancels an attempt and queues its request again, if permitted.

        Not if the process ends too soon: the attempt may still end in time.

        :param request: a request that was sent
        :param attempt_outcome: why its attempt is given up
        :return: whether it is permitted
        """
        if not self.shutdown.is_expected_to_finish(request):
            return False
        now_ms = self.clock.monotonic_ms()
        if not self.retry_policy.may_retry(request, attempt_outcome, now_ms):
            return False
        self.cancel_attempt(request)
        self.requeue(request, attempt_outcome)
        return True

    def check_waiting(self, request: requests.Request, now_ms: int) -> None:
        """Refuses a waiting request that should not wait any longer.

        :param request: a waiting request
        :param now_ms: the current time
        """
        if request.state is not requests.State.WAITING:
            return
        facts = request.facts
        if request.runs == 0 and not self.shutdown.can_finish(request):
            self.final_answers.refuse(
                request, request_checkers.LEAVING_REFUSAL
            )
            return
        if (
            request.version is not None
            and (
                self.fleet.has_lost(facts.service, request.version)
                or self.rollouts.is_excluded(facts.service, request.version)
            )
            and not self.continuations.awaits_list(request.replaced_ms)
        ):
            origin = stream_origins.Origin(facts.service, request.version)
            self.final_answers.refuse(
                request, continuation_module.version_gone(origin)
            )
            return
        queue = self.waiting[facts.service]
        reason = self.admission.rejection_reason(request, queue, now_ms)
        if not reason:
            return
        if request.runs > 0:
            if reason != admissions.UPSTREAMS_PAUSED:
                reason = "timeout"
            self.final_answers.refuse(request, refusals.Refusal(504, reason))
        else:
            self.final_answers.refuse(
                request, self.admission.rejection(request, reason, queue)
            )

    def end_running(
        self, request: requests.Request, refusal: refusals.Refusal
    ) -> None:
        """Ends a running request for which there is no more time.

        :param request: a running request
        :param refusal: what its caller is told unless the answer has ended
        """
        if request.attempt is not None:
            request.attempt.conclude()
        self.holds.conclude(request)
        if request in self.running:
            self.cancel_attempt(request)
            self.final_answers.refuse(request, refusal)
