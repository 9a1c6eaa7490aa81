"""The names of the headers that a gateway reads and writes.

The meaning of each header is the gateway's; its name is that of the callers
and upstreams, and an adapter supplies it. All names are lower-case bytes.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Dialect:
    """Header names, each by what the header holds.

    :param request_id: identity of one attempt of a caller
    :param time_left: milliseconds that the sender will wait
    :param token_counts: prompt tokens and most output tokens, with a comma
    :param prompt_parts: ``ID:TOKENS`` entries of the prompt, with commas
    :param last_event: last event of a stream that is to be resumed
    :param expected_upstream: identity of the only upstream that may run it
    :param upstream_id: identity of the upstream that answers
    :param team: name of the caller's team
    :param not_run: an upstream's proof that it did not run the request
    :param seal: mark that only upstreams put on their answers
    :param key_scheme: scheme of ``Authorization`` that carries a key
    :param reserved: headers that only a gateway may set; a caller's are
        dropped
    """

    request_id: bytes
    time_left: bytes
    token_counts: bytes
    prompt_parts: bytes
    last_event: bytes
    expected_upstream: bytes
    upstream_id: bytes
    team: bytes
    not_run: bytes
    seal: bytes
    key_scheme: bytes
    reserved: frozenset[bytes]
