"""Settings of a gateway."""

import dataclasses

from godwitloft.gateway import allowance
from godwitloft.gateway import retry_budget


@dataclasses.dataclass(frozen=True)
class Options:
    """What a gateway is told once, at its start.

    :param instance: name of the instance
    :param host: address to connect from, empty for any
    :param zone: its availability zone
    :param key_proof_ms: how old the proof that a key is valid may be, 0 for
        no bound
    :param leave_limit_ms: longest time from being told to leave to the end
    :param spread_ms: time in which a balancer notices that it leaves
    :param last_request_ms: time after which it takes no further request
    :param retries: bounds on repeats, of all gateways together
    :param tolerance: by how much teams may exceed their allowance
    """

    instance: str
    host: str
    zone: str
    key_proof_ms: int
    drain_limit_ms: int
    balancer_notice_ms: int
    last_accept_ms: int
    retries: retry_budget.BudgetSettings
    tolerance: allowance.Tolerance
