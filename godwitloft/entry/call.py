"""A caller's request as the entry accepts it."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Call:
    """The properties of a request that don't change after its acceptance.

    :param team: name of the team
    :param team_weight: the team's weight relative to other teams
    :param tier: name of the tier
    :param tier_rank: 0 is the most important tier
    :param service: name of the service
    :param pools: names of the pools that may run it
    :param method: HTTP method for the upstream
    :param path: path and query for the upstream
    :param headers: headers for the upstream
    :param body: the body, unchanged
    :param stream: whether the answer is streamed to the caller
    :param is_model: whether a model engine runs it
    :param idempotent: whether it may be run again
    :param timeout_ms: how long the caller waits for the whole answer
    :param prompt_tokens: estimated length of the prompt
    :param output_tokens: expected length of the answer
    :param prefix_keys: a prefix key for each block of the prompt
    :param fingerprint: hash of service, method, path and body
    """

    team: str
    team_weight: int
    tier: str
    tier_rank: int
    service: str
    pools: tuple[str, ...]
    method: str
    path: str
    headers: typing.Mapping[str, str]
    body: bytes
    stream: bool
    is_model: bool
    idempotent: bool
    timeout_ms: int
    prompt_tokens: int
    output_tokens: int
    prefix_keys: tuple[int, ...]
    fingerprint: str
