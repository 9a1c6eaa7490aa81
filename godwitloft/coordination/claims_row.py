"""What the platform's table and object store hold for an idempotency key."""

import base64
import dataclasses
import enum
import hashlib
import json

from godwitloft import decode
from godwitloft import errors

MAX_INLINE_BYTES = 16 * 1024
MAX_RECORDED_BYTES = 4 * 1024 * 1024


class RowError(errors.GodwitloftError):
    """A row of the claims table can't be read."""


class State(enum.Enum):
    """Where a claimed call stands."""

    RUNNING = "running"
    DONE = "done"


class Outcome(enum.Enum):
    """How a call ended."""

    NONE = "none"
    COMPLETED = "completed"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Answer:
    """What the caller of a finished call is told, now and later.

    :param outcome: how the call ended
    :param reason: why it failed, or empty
    :param status: HTTP status of the upstream, 0 without one
    :param content_type: of the body
    :param body: the whole body; None when it was too large to be kept
    """

    outcome: Outcome
    reason: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes | None = b""


@dataclasses.dataclass(frozen=True)
class Row:
    """The content of one row.

    ``run_id`` is the token of the attempt that owns the claim: no two
    attempts share one. A row in state ``running`` means that the agent may
    have been given the run; so it is written before the body goes out.

    :param run_id: id of the attempt's run
    :param fingerprint: hash of what is called, with its body
    :param state: where the call stands
    :param entry: incarnation of the entry that made the attempt
    :param agent: instance that was to run it
    :param agent_incarnation: which start of the agent's process
    :param outcome: how it ended
    :param reason: why it failed, or empty
    :param status: HTTP status of the answer
    :param content_type: of the answer
    :param inline_body: body of a small answer in base64, or None
    :param answer_object: name of the object with the body, or empty
    """

    run_id: str
    fingerprint: str
    state: State
    entry: str
    agent: str
    agent_incarnation: str
    outcome: Outcome = Outcome.NONE
    reason: str = ""
    status: int = 0
    content_type: str = ""
    inline_body: str | None = None
    answer_object: str = ""


def row_key(team: str, service: str, idempotency_key: str) -> str:
    """Returns the row key for a caller's idempotency key.

    :param team: name of the team; two teams never share a key
    :param service: name of the service
    :param idempotency_key: what the caller sent
    :return: a hash in hexadecimal
    """
    parts = json.dumps([team, service, idempotency_key])
    return hashlib.sha256(parts.encode()).hexdigest()


def encode(row: Row) -> bytes:
    """Returns the bytes of a row.

    :param row: any row
    :return: canonical JSON
    """
    value = dataclasses.asdict(row)
    value["state"] = row.state.value
    value["outcome"] = row.outcome.value
    text = json.dumps(value, sort_keys=True, separators=(",", ":"))
    return text.encode()


def read(key: str, value: bytes) -> Row:
    """Reads the bytes of a row.

    :param key: key of the row, for the error
    :param value: its content
    :return: the row
    :raises RowError: when it is no such row
    """
    where = f"claim {key!r}"
    try:
        found = decode.decode(Row, json.loads(value), where)
    except ValueError as error:
        raise RowError(f"{where}: not JSON: {error}") from error
    except decode.DecodeError as error:
        raise RowError(str(error)) from error
    assert isinstance(found, Row)
    return found


def object_name(key: str, run_id: str) -> str:
    """Returns where the body of a large answer is kept.

    :param key: key of the row
    :param run_id: id of the run that answered
    :return: name of an object that no other run writes
    """
    return f"answers/{key}/{run_id}"


def finished_row(running: Row, key: str, answer: Answer) -> Row:
    """Returns the row of a call that has ended.

    :param running: the row while it ran
    :param key: key of the row
    :param answer: what its caller is told
    :return: the new content; a body that isn't inline and isn't too large
        must be in the object it names before the row is written
    """
    inline, name = _place_body(running, key, answer.body)
    return dataclasses.replace(
        running,
        state=State.DONE,
        outcome=answer.outcome,
        reason=answer.reason,
        status=answer.status,
        content_type=answer.content_type,
        inline_body=inline,
        answer_object=name,
    )


def _place_body(
    running: Row, key: str, body: bytes | None
) -> tuple[str | None, str]:
    if body is None or len(body) > MAX_RECORDED_BYTES:
        return None, ""
    if len(body) > MAX_INLINE_BYTES:
        return None, object_name(key, running.run_id)
    return base64.b64encode(body).decode(), ""


def recorded_answer(row: Row, body: bytes | None) -> Answer:
    """Returns the answer of a finished call.

    :param row: a row in state ``done``
    :param body: content of the object that it names, if it names one
    :return: what the first caller was told
    """
    if row.inline_body is not None:
        body = base64.b64decode(row.inline_body)
    return Answer(row.outcome, row.reason, row.status, row.content_type, body)
