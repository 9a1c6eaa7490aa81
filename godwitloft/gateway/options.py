"""Settings of a gateway."""

import dataclasses

from godwitloft.gateway import retry_budget
from godwitloft.gateway.allowances import allowance


@dataclasses.dataclass(frozen=True)
class RolloutBounds:
    """Bounds on what a bad version may get in a roll-out.

    :param exposure_share: of the requests to its service, from the order to
        the end of the roll-out
    :param exposure_slack: requests in addition to that share
    :param rollback_ms: time after its 50th bad answer from which on it must
        get no request
    """

    exposure_share: float = 0.1
    exposure_slack: int = 50
    rollback_ms: int = 5_000


@dataclasses.dataclass(frozen=True)
class LoadPolicies:
    """Decisions under load that a deployment asks for; none by default.

    :param demand_shares: divide upstreams' room by all gateways' demand
    :param learned_room: find out how much each upstream handles well, and
        place requests by it
    :param retry_turns: tell refused callers the turn of their retry
    :param team_shares: keep teams to weighted max-min shares while room is
        scarce
    """

    demand_shares: bool = False
    learned_room: bool = False
    retry_turns: bool = False
    team_shares: bool = False


@dataclasses.dataclass(frozen=True)
class Options:
    """Settings of a gateway, fixed at its start.

    :param instance: name of the instance
    :param host: local address of outgoing connections, empty for any
    :param zone: its availability zone
    :param key_proof_ms: maximum age of the last confirmation of the
        configuration with which keys are accepted, 0 for no bound
    :param drain_limit_ms: maximum time from the start of a drain to the end of
        the process
    :param flush_limit_ms: maximum time after that for what was answered and
        isn't sent yet
    :param balancer_notice_ms: time in which a balancer notices that the
        gateway isn't ready
    :param last_accept_ms: time from the start of a drain after which requests
        are refused
    :param retries: bounds on retries, of all gateways together
    :param tolerance: by how much teams may exceed their allowance
    :param max_held_bytes: bytes of requests' bodies that may be held at once
    :param store_outage_ms: the shortest absence of the store in which the
        registration of a live upstream can expire
    :param rollouts: bounds on roll-outs
    :param has_rollouts: whether operators may order roll-outs
    :param policies: decisions under load that are switched on
    """

    instance: str
    host: str
    zone: str
    key_proof_ms: int
    drain_limit_ms: int
    flush_limit_ms: int
    balancer_notice_ms: int
    last_accept_ms: int
    retries: retry_budget.BudgetSettings
    tolerance: allowance.Tolerance
    max_held_bytes: int
    store_outage_ms: int
    rollouts: RolloutBounds = RolloutBounds()
    has_rollouts: bool = False
    policies: LoadPolicies = LoadPolicies()
