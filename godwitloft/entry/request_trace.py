"""Trace records of the start and end of requests."""

from godwitloft import trace
from godwitloft.entry import request as requests
from godwitloft.links.generated.messages import ttypes


def record_accepted(
    recorder: trace.Recorder, request: requests.Request
) -> None:
    """Writes the acceptance of a request to the trace.

    :param recorder: writes the trace
    :param request: the request
    """
    call = request.call
    recorder.record(
        trace.Kind.ACCEPTED,
        request.request_id,
        tier=call.tier,
        tier_rank=call.tier_rank,
        team=call.team,
        team_weight=call.team_weight,
        service=call.service,
        pools=list(call.pools),
        timeout_ms=call.timeout_ms,
        prompt_tokens=call.prompt_tokens,
        output_tokens=call.output_tokens,
        fingerprint=call.fingerprint,
        idempotent=call.idempotent,
        is_model=call.is_model,
        body_bytes=len(call.body),
    )


def record_ended(
    recorder: trace.Recorder,
    request: requests.Request,
    peer: str,
    body: ttypes.Ended,
) -> None:
    """Writes the end of a run to the trace.

    :param recorder: writes the trace
    :param request: the request
    :param peer: name of the agent's instance
    :param body: the message
    """
    recorder.record(
        trace.Kind.ENDED,
        request.request_id,
        run_id=body.request_id,
        agent=peer,
        outcome=body.outcome,
        reason=body.reason,
        prompt_tokens=body.prompt_tokens,
        output_tokens=body.output_tokens,
        count=body.count,
    )
