"""Outcomes of attempts and requests, as reported to logs and callers."""

import enum

# These statuses guarantee to a caller that the request was not run.
NOT_RUN_STATUSES = (408, 429, 503)

COMPLETED = "completed"
FAILED = "failed"
CUT = "cut"
CALLER_LEFT = "caller_left"
REFUSED = "refused"


class Result(enum.Enum):
    """Result of an attempt."""

    DELIVER = "deliver"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    FAILED = "failed"
    BROKEN = "broken"
    # All that came is sound, and nothing tells whether more was to come.
    END_UNKNOWN = "end_unknown"
