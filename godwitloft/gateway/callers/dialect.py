"""Names of the headers that a gateway reads and writes.

The gateway defines the meaning of each header; an adapter supplies the names
that callers and upstreams use. All names are lower-case bytes.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Dialect:
    """Header names, by the content of the header.

    :param request_id: identity of one attempt of a caller
    :param time_left: milliseconds that the sender will wait
    :param token_counts: number of prompt tokens and maximum number of output
        tokens, separated by a comma
    :param prompt_parts: ``ID:TOKENS`` entries of the prompt, separated by
        commas
    :param last_event: id of the last received event of a stream to resume
    :param resumes: identity of the attempt of a caller whose answer a stream
        goes on from
    :param expected_upstream: identity of the only upstream that may run it
    :param upstream_id: identity of the upstream that answers
    :param team: name of the caller's team
    :param not_run: an upstream's statement that it did not run the request
    :param leaving: an upstream's statement that it takes no new requests
    :param limit: how many requests a second an upstream takes at most, from
        all gateways together
    :param seal: response seal, which only upstreams set on their answers
    :param key_scheme: scheme of the ``Authorization`` header with a key
    :param reserved: headers that only a gateway may set; they are removed from
        callers' requests
    """

    request_id: bytes
    time_left: bytes
    token_counts: bytes
    prompt_parts: bytes
    last_event: bytes
    resumes: bytes
    expected_upstream: bytes
    upstream_id: bytes
    team: bytes
    not_run: bytes
    leaving: bytes
    limit: bytes
    seal: bytes
    key_scheme: bytes
    reserved: frozenset[bytes]
