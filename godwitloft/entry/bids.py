"""Builds the message that bids a request to an agent."""

from godwitloft.entry import request as requests
from godwitloft.links.generated.messages import ttypes


def bid_message(
    request: requests.Request,
    now_ms: int,
    hold_ms: int,
    generation: int,
    agent_count: int,
) -> ttypes.Bid:
    """Returns the message that bids a request to an agent.

    :param request: a waiting request
    :param now_ms: the current time
    :param hold_ms: how long the agent must wait before it starts it
    :param generation: generation of the configuration in force
    :param agent_count: number of agents that may run it
    :return: the message
    """
    call = request.call
    return ttypes.Bid(
        request_id=request.run_id,
        tier_rank=call.tier_rank,
        team=call.team,
        team_weight=call.team_weight,
        service_name=call.service,
        deadline_in_ms=max(0, request.deadline_ms - now_ms),
        prompt_tokens=call.prompt_tokens,
        output_tokens=call.output_tokens,
        prefix_keys=list(call.prefix_keys),
        fingerprint=call.fingerprint,
        urgent=request.urgent,
        hold_ms=hold_ms,
        generation=generation,
        isolate=request.isolate,
        agents=agent_count,
    )
