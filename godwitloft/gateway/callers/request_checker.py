"""Checks whether a request is valid and permitted, and finds its route."""

import random

from godwitloft import clock as clocks
from godwitloft.gateway import config_state as config_states
from godwitloft.gateway import model
from godwitloft.gateway import refusals
from godwitloft.gateway import request as requests
from godwitloft.gateway.allowances import sharing as sharings
from godwitloft.gateway.callers import dialect as dialects
from godwitloft.gateway.callers import http_server
from godwitloft.gateway.callers import routing
from godwitloft.gateway.upstreams import fleet as fleets

UNCONFIGURED_RETRY_AFTER_MS = 500
LEAVING_RETRY_AFTER_MS = 50
# A caller disconnects from a stream that hasn't begun after the longest of two
# seconds, four times the target and eight times the longest pause.
MIN_FIRST_DATA_TIMEOUT_MS = 2_000
FIRST_DATA_TIMEOUT_TARGETS = 4
FIRST_DATA_TIMEOUT_GAPS = 8
LEAVING = "leaving"
LEAVING_REFUSAL = refusals.Refusal(503, LEAVING, LEAVING_RETRY_AFTER_MS)


class RequestChecker:
    """Checks requests against the configuration in force.

    :param clock: source of the time
    :param dialect: names of the headers
    :param config_state: the configuration in force
    :param fleet: the upstreams
    :param sharing: teams' allowances
    :param rng: chooses among the targets of a route
    """

    def __init__(
        self,
        clock: clocks.Clock,
        dialect: dialects.Dialect,
        config_state: config_states.ConfigState,
        fleet: fleets.Fleet,
        sharing: sharings.Sharing,
        rng: random.Random,
    ) -> None:
        self.clock = clock
        self.dialect = dialect
        self.config_state = config_state
        self.fleet = fleet
        self.sharing = sharing
        self.rng = rng
        self.closing = False

    def check(
        self, exchange: http_server.Exchange
    ) -> requests.Facts | refusals.Refusal:
        """Finds route, team and deadlines of a request.

        :param exchange: a complete request
        :return: properties of the request, or why it is refused
        """
        router = self.config_state.router
        is_initialized = self.fleet.has_list and self.sharing.start.restored
        if router is None or not is_initialized:
            return refusals.Refusal(
                503, "not_configured", UNCONFIGURED_RETRY_AFTER_MS
            )
        if self.closing:
            return LEAVING_REFUSAL
        problem = self.header_problem(exchange)
        if problem:
            return refusals.Refusal(400, problem)
        host = (exchange.header(b"host") or b"").decode("latin-1")
        target = exchange.target.decode("latin-1")
        route = router.route(host, target.partition("?")[0])
        now_ms = self.clock.monotonic_ms()
        if route is None:
            if not self.config_state.is_confirmation_fresh(now_ms):
                return unconfirmed_refusal()
            return refusals.Refusal(404, "no_route")
        team = None
        if router.configuration.teams and not route.public:
            team = self.team_of(exchange, router)
            if not self.config_state.is_confirmation_fresh(now_ms):
                return unconfirmed_refusal()
            if team is None:
                return refusals.Refusal(401, "unknown_key")
        return self.collect_facts(exchange, route, team)

    def header_problem(self, exchange: http_server.Exchange) -> str:
        """Returns why the headers of a request are malformed.

        :param exchange: a complete request
        :return: a reason, empty if they are well-formed
        """
        dialect = self.dialect
        if exchange.count(dialect.request_id) != 1:
            return "request_id_missing_or_repeated"
        for name in (
            b"host",
            b"authorization",
            dialect.time_left,
            dialect.token_counts,
            dialect.prompt_parts,
            dialect.resumes,
        ):
            if exchange.count(name) > 1:
                return "header_repeated"
        if not exchange.target.startswith(b"/"):
            return "target_not_a_path"
        return ""

    def team_of(
        self, exchange: http_server.Exchange, router: routing.Router
    ) -> model.Team | None:
        """Returns the team of a request's key.

        :param exchange: a complete request
        :param router: router of the configuration in force
        :return: the team, None if the key is missing or unknown
        """
        value = exchange.header(b"authorization") or b""
        scheme, _space, key = value.partition(b" ")
        if scheme.lower() != self.dialect.key_scheme.lower():
            return None
        return router.team(key.strip().decode("latin-1"))

    def collect_facts(
        self,
        exchange: http_server.Exchange,
        route: model.Route,
        team: model.Team | None,
    ) -> requests.Facts | refusals.Refusal:
        """Collects the properties of a request.

        :param exchange: a complete request
        :param route: its route
        :param team: its team
        :return: the properties, or why it is refused
        """
        sizes = requests.read_sizes(exchange, self.dialect)
        if sizes is None:
            return refusals.Refusal(400, "token_counts_unreadable")
        arrived_ms = exchange.arrived_ms
        remaining_ms = requests.read_time_left(exchange, self.dialect)
        if remaining_ms is None:
            remaining_ms = route.timeout_ms
        caller_deadline_ms = arrived_ms + remaining_ms
        deadline_ms = min(caller_deadline_ms, arrived_ms + route.timeout_ms)
        first_data_timeout_ms = remaining_ms
        if route.kind is model.Kind.STREAM:
            first_data_timeout_ms = max(
                MIN_FIRST_DATA_TIMEOUT_MS,
                FIRST_DATA_TIMEOUT_TARGETS * route.target_ms,
                FIRST_DATA_TIMEOUT_GAPS * route.max_gap_ms,
            )
        target = routing.pick_target(route.targets, self.rng.random())
        rank = route.rank
        if team is not None and team.rank is not None:
            rank = team.rank
        request_id = exchange.header(self.dialect.request_id) or b""
        resumed_id = None
        if route.kind is model.Kind.STREAM:
            resumed_id = requests.read_resumed_id(exchange, self.dialect)
        return requests.Facts(
            id=request_id.decode("latin-1"),
            route=route,
            service=target.service,
            team=team,
            sizes=sizes,
            rank=(rank, route.rank),
            arrived_ms=arrived_ms,
            caller_deadline_ms=caller_deadline_ms,
            deadline_ms=deadline_ms,
            first_data_deadline_ms=min(
                deadline_ms, arrived_ms + first_data_timeout_ms
            ),
            fingerprint=requests.fingerprint(exchange),
            shared_parts=requests.read_shared_parts(exchange, self.dialect),
            resumed_id=resumed_id,
        )


def unconfirmed_refusal() -> refusals.Refusal:
    """Returns the refusal while the configuration isn't confirmed.

    :return: a refusal
    """
    return refusals.Refusal(
        503, "configuration_unproven", UNCONFIGURED_RETRY_AFTER_MS
    )


def allowance_tokens(team: model.Team, sizes: requests.Sizes) -> float:
    """Returns the amount that a request uses of its team's allowance.

    :param team: the team
    :param sizes: size of the request
    :return: tokens, or 1 where the allowance counts requests
    """
    if not team.counts_tokens:
        return 1.0
    if not sizes.stated:
        return float(team.default_tokens)
    return float(sizes.prompt_tokens + sizes.output_tokens)
