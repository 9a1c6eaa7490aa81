"""The platform's header names."""

from godwitloft.gateway.callers import dialect

PREFIX = b"godwitloft-"

DIALECT = dialect.Dialect(
    request_id=PREFIX + b"request-id",
    time_left=PREFIX + b"deadline-ms",
    token_counts=PREFIX + b"token-counts",
    prompt_parts=PREFIX + b"prompt-prefix",
    last_event=b"last-event-id",
    resumes=b"resumes",
    expected_upstream=PREFIX + b"target-instance",
    upstream_id=PREFIX + b"instance-id",
    team=PREFIX + b"tenant",
    not_run=PREFIX + b"not-executed",
    leaving=b"server-leaving",
    limit=b"server-limit",
    seal=PREFIX + b"response-seal",
    key_scheme=b"Token",
    reserved=frozenset(
        (
            PREFIX + b"target-instance",
            PREFIX + b"tenant",
            PREFIX + b"hold",
            PREFIX + b"pin-ms",
            PREFIX + b"kv-backup",
            b"kv-from",
            b"kv-fetch",
        )
    ),
)
