"""The parts of an answer as they are sent to a caller."""

import dataclasses
import enum


class Reason(enum.Enum):
    """Why a request was refused or failed; also a metric label."""

    NO_UPSTREAM = "no_upstream"
    QUEUE_FULL = "queue_full"
    SHED = "shed"
    DEADLINE_PASSED = "deadline_passed"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    TEAM_RUNNING_LIMIT = "team_running_limit"
    TEAM_WAITING_LIMIT = "team_waiting_limit"
    TEAM_TOKEN_LIMIT = "team_token_limit"
    LEAVING = "leaving"
    POISONOUS = "poisonous"
    STORE_UNAVAILABLE = "store_unavailable"
    KEY_REUSED = "key_reused"
    KEY_UNKNOWN = "key_unknown"
    CANCELLED = "cancelled"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_CRASHED = "upstream_crashed"
    AGENT_LOST = "agent_lost"
    DEADLINE_IN_FLIGHT = "deadline_in_flight"
    ANSWER_DAMAGED = "answer_damaged"
    BAD_REQUEST = "bad_request"
    NOT_CONFIGURED = "not_configured"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_TEAM = "unknown_team"
    FORBIDDEN = "forbidden"
    BODY_TOO_LARGE = "body_too_large"
    TOO_MANY_CONNECTIONS = "too_many_connections"


@dataclasses.dataclass(frozen=True)
class Head:
    """The first part of an answer.

    :param status: HTTP status of the upstream
    :param content_type: content type of the body
    """

    status: int
    content_type: str


@dataclasses.dataclass(frozen=True)
class Data:
    """The next part of the body.

    :param data: bytes as the upstream sent them
    """

    data: bytes


@dataclasses.dataclass(frozen=True)
class Complete:
    """The end of a complete answer; nothing follows."""


@dataclasses.dataclass(frozen=True)
class Refused:
    """The request was not run and never will be; nothing follows.

    :param reason: why
    :param message: human-readable message
    :param retry_after_ms: how long to wait before a retry, 0 if unknown
    """

    reason: Reason
    message: str
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Failed:
    """The request was run, or may have been; nothing follows.

    :param reason: why
    :param message: human-readable message
    :param outcome_known: False if it can't be determined whether it ran
    """

    reason: Reason
    message: str
    outcome_known: bool = True


Answer = Head | Data | Complete | Refused | Failed
