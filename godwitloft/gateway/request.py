"""State of a request from its arrival to its end."""

import dataclasses
import enum
import functools
import hashlib
import typing

from godwitloft import answer_end
from godwitloft import attempt as attempts
from godwitloft import whole_number
from godwitloft.gateway import checked_attempt
from godwitloft.gateway import model
from godwitloft.gateway.allowances import allowance
from godwitloft.gateway.callers import dialect as dialects
from godwitloft.gateway.callers import headers as header_lists
from godwitloft.gateway.callers import http_server
from godwitloft.gateway.crashes import crash_causes
from godwitloft.gateway.crashes import crash_reports
from godwitloft.gateway.upstreams import fleet

if typing.TYPE_CHECKING:
    from godwitloft.gateway import answer as answers
    from godwitloft.gateway.placing import service_floor

MAX_TOKENS = 10_000_000
MAX_SHARED_PARTS = 16
MAX_PART_ID_LENGTH = 64


class State(enum.Enum):
    """Stage of a request."""

    WAITING = "waiting"
    SENT = "sent"
    ANSWERING = "answering"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True)
class Sizes:
    """Size of a request.

    :param prompt_tokens: number of prompt tokens
    :param output_tokens: maximum number of generated tokens
    :param stated: whether the caller stated the numbers
    """

    prompt_tokens: int
    output_tokens: int
    stated: bool


@dataclasses.dataclass(frozen=True)
class Facts:
    """Properties of a request that are fixed when it arrives.

    :param id: the caller's id of this attempt
    :param route: its route
    :param service: service chosen among the route's targets
    :param team: team of its key, None on a public route
    :param sizes: size of the request
    :param rank: importance as rank of the team and of the route, 0 is the
        highest
    :param arrived_ms: when its head was read
    :param caller_deadline_ms: when its caller stops waiting
    :param deadline_ms: when the answer must have ended
    :param first_data_deadline_ms: when its caller disconnects unless an answer
        has begun
    :param fingerprint: hash that is equal for equal requests of the same
        caller
    :param shared_parts: ids of the parts of its prompt that other requests may
        have as well
    :param resumed_id: id of the attempt that began the stream that this one
        continues, empty if the caller doesn't say; None if it continues none
    """

    id: str
    route: model.Route
    service: str
    team: model.Team | None
    sizes: Sizes
    rank: tuple[int, int]
    arrived_ms: int
    caller_deadline_ms: int
    deadline_ms: int
    first_data_deadline_ms: int
    fingerprint: bytes
    shared_parts: tuple[str, ...] = ()
    resumed_id: str | None = None

    @functools.cached_property
    def request_cause(self) -> str:
        """The whole request as a cause of crashes."""
        return crash_reports.request_cause(self.fingerprint)

    @functools.cached_property
    def part_causes(self) -> tuple[str, ...]:
        """The shared parts of its prompt as causes of crashes."""
        return crash_reports.part_causes(self.shared_parts)

    @property
    def possible_causes(self) -> tuple[str, ...]:
        """What in it may crash an upstream."""
        return (*self.part_causes, self.request_cause)

    @property
    def may_repeat(self) -> bool:
        """Whether the request may run more than once."""
        if self.route.kind is model.Kind.STREAM:
            return self.route.resumable
        return self.route.kind is model.Kind.IDEMPOTENT

    @property
    def begins_resumable_stream(self) -> bool:
        """Whether its answer begins a stream that may be taken up again."""
        return (
            self.route.kind is model.Kind.STREAM
            and self.route.resumable
            and self.resumed_id is None
        )

    @property
    def takes_up_stream(self) -> bool:
        """Whether its caller may go on with a stream that broke off.

        Its caller has a part of the answer already, and has few tries.
        """
        return self.resumed_id is not None and self.route.resumable

    @property
    def target_at_ms(self) -> int:
        """When the answer, or the first data of a stream, is due."""
        return self.arrived_ms + self.route.target_ms


class Request:
    """A request and its progress.

    :param exchange: the caller's request, which takes the answer
    :param facts: properties fixed when it arrived
    :param first_data_ms: estimated time from sending to first data
    """

    def __init__(
        self,
        exchange: http_server.Exchange,
        facts: Facts,
        first_data_ms: float = 0.0,
    ) -> None:
        self.exchange = exchange
        self.facts = facts
        # If sent later, the answer would begin after its target.
        self.start_by_ms = facts.target_at_ms - round(first_data_ms)
        # When its caller first sent it, in an earlier attempt if the time left
        # tells so.
        self.first_asked_ms = facts.arrived_ms
        # Whether it is above its team's share of what can be served.
        self.above_share = False
        # Whether it was found late while it waited for its first attempt.
        self.marked_late = False
        # Groups that are owed a part of what is served, and whether it waits
        # as a request that one of them is owed.
        self.groups: tuple[service_floor.Group, ...] = ()
        self.owed = False
        # Whether it had to wait for a more urgent one at another gateway.
        self.was_held = False
        self.state = State.WAITING
        self.attempt: (
            attempts.Attempt | checked_attempt.CheckedAttempt | None
        ) = None
        self.upstream_state: fleet.UpstreamState | None = None
        self.answer: answers.Answer | None = None
        # Attempts that may have run, and all attempts.
        self.runs = 0
        self.attempt_count = 0
        self.tried_upstreams: set[str] = set()
        # When its upstream was found to be another process than the listed
        # one, None if it was not.
        self.replaced_ms: int | None = None
        # It isn't sent again before this time.
        self.resend_at_ms = 0
        self.first_sent_ms = 0
        self.sent_ms = 0
        self.last_upstream_id = ""
        # Prompt tokens that were pending at its upstream when it was sent, and
        # its own while they are pending.
        self.prompt_tokens_ahead = 0
        self.pending_prompt_tokens = 0
        self.first_data_ms = 0
        # When its current attempt brought the first data, 0 before.
        self.answering_since_ms = 0
        self.last_data_ms = 0
        # Id of the last event that its caller has, None for none.
        self.last_event: bytes | None = None
        # Id of the first event with one that its caller got, None for none: an
        # upstream that begins anew sends it again.
        self.first_event: bytes | None = None
        # Whether the last event that its caller has tells where to go on.
        self.may_go_on = True
        # Where an attempt ended without a mark of the end; None if none did,
        # or the stream has gone on since.
        self.unmarked_end: answer_end.UnmarkedEnd | None = None
        # The software version at which its stream began, or which a caller's
        # stream has that it continues; None while any will do.
        self.version: str | None = None
        # Version of the upstream to which it was last sent.
        self.sent_version = ""
        # Whether it was sent without a check of the process that got it.
        self.was_unchecked = False
        # Whether its caller reads more slowly than it is answered, and
        # whether it did so since the request was last sent.
        self.congested = False
        self.was_congested = False
        # Work in progress at its upstream when it was sent.
        self.load_when_sent = 1
        # The figures by which its upstream was chosen.
        self.choice: typing.Mapping[str, typing.Any] = {}
        # Whether an upstream has answered for long enough to show that the
        # prompt doesn't crash it.
        self.proved_sound = not facts.shared_parts
        # The blamed causes of which it is a trial.
        self.tried_causes: frozenset[str] = frozenset()
        self.use: allowance.Use | None = None
        # What was logged as it was last sent, and of what came of that.
        self.sent_fields: typing.Mapping[str, typing.Any] = {}
        # Whether its last attempt was cancelled before its upstream ended it.
        self.was_cancelled = False
        # Why its last failed attempt was not followed by another.
        self.no_retry = ""

    @property
    def has_assumed_version(self) -> bool:
        """Whether it begins a stream at what was listed, without a check."""
        return self.was_unchecked and self.facts.begins_resumable_stream

    @property
    def standing(self) -> tuple[int, int, int]:
        """Importance: within its team's share or not, then its rank."""
        return (int(self.above_share), *self.facts.rank)

    def untried_causes(self) -> tuple[str, ...]:
        """Returns what may crash an upstream in it, but what it tries."""
        return tuple(
            cause
            for cause in self.facts.possible_causes
            if cause not in self.tried_causes
        )

    def has_begun_plain_answer(self) -> bool:
        """Returns whether no other attempt can continue its answer.

        :return: whether anything but a stream was forwarded in part
        """
        is_stream = self.facts.route.kind is model.Kind.STREAM
        return self.exchange.started and not is_stream

    def has_answered_for_long(self, now_ms: int) -> bool:
        """Returns whether its answer shows that its prompt is sound.

        :param now_ms: the current time
        :return: whether it has gone on for a while
        """
        return (
            self.answering_since_ms > 0
            and now_ms - self.answering_since_ms >= crash_causes.SOUND_AFTER_MS
        )

    def unproved_causes(self, now_ms: int) -> tuple[str, ...]:
        """Returns what in it may have crashed its upstream just now.

        :param now_ms: the current time
        :return: the whole request, and the shared parts of its prompt unless
            its answer had gone on for a while
        """
        if self.proved_sound or self.has_answered_for_long(now_ms):
            return (self.facts.request_cause,)
        return self.facts.possible_causes


def read_sizes(
    exchange: http_server.Exchange, dialect: dialects.Dialect
) -> Sizes | None:
    """Returns the size that a request states.

    :param exchange: the request
    :param dialect: names of the headers
    :return: the size, zeros if none is stated; None if it can't be parsed
    """
    text = exchange.header(dialect.token_counts)
    if text is None:
        return Sizes(0, 0, False)
    parts = text.split(b",")
    counts = [
        whole_number.parse_clamped(part.strip(), MAX_TOKENS) for part in parts
    ]
    if len(counts) != 2:
        return None
    prompt, output = counts
    if prompt is None or output is None:
        return None
    return Sizes(prompt, output, True)


def read_shared_parts(
    exchange: http_server.Exchange, dialect: dialects.Dialect
) -> tuple[str, ...]:
    """Returns the parts of a prompt that other requests may have as well.

    :param exchange: the request
    :param dialect: names of the headers
    :return: ids of all parts but the last, which belongs to the request or its
        session; none if they aren't stated or can't be read
    """
    text = exchange.header(dialect.prompt_parts) or b""
    entries = text.decode("latin-1").split(",")[:-1]
    ids = [entry.partition(":")[0].strip().lower() for entry in entries]
    if any(not 0 < len(part) <= MAX_PART_ID_LENGTH for part in ids):
        return ()
    return tuple(ids[:MAX_SHARED_PARTS])


def read_resumed_id(
    exchange: http_server.Exchange, dialect: dialects.Dialect
) -> str | None:
    """Returns which attempt began the stream that a request continues.

    :param exchange: the request
    :param dialect: names of the headers
    :return: id of that attempt, empty if it isn't named; None if the request
        asks for no continuation
    """
    resumed = exchange.header(dialect.resumes)
    if resumed is not None:
        return resumed.decode("latin-1")
    if exchange.header(dialect.last_event) is not None:
        return ""
    return None


def read_time_left(
    exchange: http_server.Exchange, dialect: dialects.Dialect
) -> int | None:
    """Returns how long a caller will wait.

    :param exchange: the request
    :param dialect: names of the headers
    :return: milliseconds, None if the header is missing or can't be parsed
    """
    text = exchange.header(dialect.time_left)
    if text is None:
        return None
    try:
        return max(0, int(float(text)))
    except (ValueError, OverflowError):
        return None


def fingerprint(exchange: http_server.Exchange) -> bytes:
    """Returns a hash that is equal for equal requests of the same caller.

    :param exchange: the request
    :return: eight bytes
    """
    digest = hashlib.blake2b(digest_size=8)
    key = exchange.header(b"authorization") or b""
    for part in (exchange.method, exchange.target, key, exchange.body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.digest()


def outgoing(
    request: Request,
    upstream: model.Upstream,
    dialect: dialects.Dialect,
    now_ms: int,
) -> attempts.Outgoing:
    """Returns a request as it is sent to an upstream.

    :param request: the request
    :param upstream: the upstream
    :param dialect: names of the headers
    :param now_ms: the current time
    :return: head and body
    """
    exchange = request.exchange
    facts = request.facts
    own = dialect.reserved | {dialect.time_left, b"authorization"}
    if request.last_event is not None:
        own = own | {dialect.last_event}
    headers = [
        header
        for header in header_lists.end_to_end(exchange.headers)
        if header[0] not in own
    ]
    remaining_ms = max(1, facts.deadline_ms - now_ms)
    headers.append((dialect.time_left, b"%d" % remaining_ms))
    headers.append((dialect.expected_upstream, upstream.id.encode()))
    if facts.team is not None:
        headers.append((dialect.team, facts.team.name.encode()))
    if request.last_event is not None:
        headers.append((dialect.last_event, request.last_event))
    body = exchange.body
    if body or exchange.header(b"content-length") is not None:
        headers.append((b"content-length", b"%d" % len(body)))
    headers.append((b"connection", b"close"))
    return attempts.Outgoing(
        method=exchange.method,
        target=exchange.target,
        headers=headers,
        body=body,
    )
