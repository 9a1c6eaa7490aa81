"""Stored form of a claim on an idempotency key: table row and object."""

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
    """Progress of a claimed call."""

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
    """Answer to the callers of a finished call, the first and later ones.

    :param outcome: how the call ended
    :param reason: why it failed, or empty
    :param status: HTTP status from the upstream, 0 if there was none
    :param content_type: content type of the body
    :param body: the whole body; None if it was too large to store
    """

    outcome: Outcome
    reason: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes | None = b""


@dataclasses.dataclass(frozen=True)
class Row:
    """Content of one row of the claims table.

    ``run_id`` is unique to the attempt that owns the claim. A row in state
    ``running`` means that the agent may have received the run, so it is
    written before the body is sent.

    :param run_id: id of the attempt's run
    :param fingerprint: hash of the target and body of the call
    :param state: progress of the call
    :param entry: incarnation of the entry that made the attempt
    :param agent: instance that the run is dispatched to
    :param agent_incarnation: identifies one start of the agent's process
    :param outcome: how the call ended
    :param reason: why it failed, or empty
    :param status: HTTP status of the answer
    :param content_type: content type of the answer
    :param inline_body: body of a small answer in base64, or None
    :param answer_object: name of the object that holds a larger body, or
        empty
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
    :param idempotency_key: the key that the caller sent
    :return: a hash in hexadecimal
    """
    parts = json.dumps([team, service, idempotency_key])
    return hashlib.sha256(parts.encode()).hexdigest()


def encode(row: Row) -> bytes:
    """Encodes a row.

    :param row: any row
    :return: canonical JSON
    """
    value = dataclasses.asdict(row)
    value["state"] = row.state.value
    value["outcome"] = row.outcome.value
    text = json.dumps(value, sort_keys=True, separators=(",", ":"))
    return text.encode()


def read(key: str, value: bytes) -> Row:
    """Decodes a row.

    :param key: key of the row, for the error message
    :param value: content of the row
    :return: the decoded row
    :raises RowError: if the content isn't a valid row
    """
    where = f"claim {key!r}"
    try:
        found = decode.decode_json(Row, value, where)
    except decode.DecodeError as error:
        raise RowError(str(error)) from error
    assert isinstance(found, Row)
    return found


def object_name(key: str, run_id: str) -> str:
    """Returns the name of the object that holds a large answer's body.

    :param key: key of the row
    :param run_id: id of the run that answered
    :return: name that is unique to the run
    """
    return f"answers/{key}/{run_id}"


def finished_row(running: Row, key: str, answer: Answer) -> Row:
    """Returns the row of a call that has ended.

    :param running: the row while it ran
    :param key: key of the row
    :param answer: the answer to the caller
    :return: the new content; if it names an object, the body must be stored
        in that object before the row is written
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
    :param body: content of the object that the row names, if any
    :return: the answer that the first caller got
    """
    if row.inline_body is not None:
        body = base64.b64decode(row.inline_body)
    return Answer(row.outcome, row.reason, row.status, row.content_type, body)
