"""How attempts and requests of a gateway end, as logs and callers are told."""

import enum

# A caller who gets one of these may rely on it that nothing ran.
NOT_RUN_STATUSES = (408, 429, 503)

COMPLETED = "completed"
FAILED = "failed"
CUT = "cut"
CALLER_LEFT = "caller_left"


class Result(enum.Enum):
    """What an attempt has led to."""

    DELIVER = "deliver"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    FAILED = "failed"
    BROKEN = "broken"
