"""Parses and checks a caller's HTTP request.

Nothing here does I/O: :mod:`caller_http` passes in the parts of the request
and the objects in force.
"""

import dataclasses
import hashlib
import re
import typing

from godwitloft import decode
from godwitloft import errors
from godwitloft.entry import answers
from godwitloft.entry import call as calls
from godwitloft.objects import lookup
from godwitloft.objects import types
from godwitloft.policy import prefix

BEARER = "bearer "
TIER_HEADER = "x-tier"
TIMEOUT_HEADER = "x-request-timeout"
KEY_HEADER = "idempotency-key"
MAX_KEY_LENGTH = 200
MAX_TIMEOUT_S = 86_400.0
MS_PER_S = 1000
DEFAULT_OUTPUT_TOKENS = 128
FINGERPRINT_BYTES = 16
MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
VISIBLE = re.compile(r"[!-~]+")
CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
FORWARDED_HEADERS = ("content-type", "accept", KEY_HEADER)


class Rejected(errors.GodwitloftError):
    """A request is invalid or not allowed.

    :param status: HTTP status
    :param reason: why, for the counter
    :param message: error message for the caller
    """

    def __init__(
        self, status: int, reason: answers.Reason, message: str
    ) -> None:
        self.status = status
        self.reason = reason
        self.message = message
        super().__init__(message)


@dataclasses.dataclass(frozen=True)
class IncomingRequest:
    """The parts of a caller's HTTP request.

    :param method: HTTP method
    :param path: path and query for the upstream; for plain services, the part
        of the URL after the service's name
    :param headers: headers by lower-case name
    :param body: the whole body
    """

    method: str
    path: str
    headers: typing.Mapping[str, str]
    body: bytes


def authenticate(
    incoming: IncomingRequest, objects: lookup.Lookup
) -> types.Team:
    """Returns the team whose key a request carries.

    :param incoming: the request
    :param objects: the objects in force
    :return: the team
    :raises Rejected: when the team's key is missing or unknown
    """
    header = incoming.headers.get("authorization", "")
    if not header.lower().startswith(BEARER):
        raise Rejected(
            401,
            answers.Reason.UNKNOWN_TEAM,
            "header 'Authorization' must be 'Bearer KEY'",
        )
    key = header[len(BEARER) :].strip()
    team = objects.team_of_token(key)
    if team is None:
        raise Rejected(
            401, answers.Reason.UNKNOWN_TEAM, "no team has this key"
        )
    return team


def model_call(
    incoming: IncomingRequest, objects: lookup.Lookup
) -> calls.Call:
    """Parses a completion request.

    :param incoming: the request
    :param objects: the objects in force
    :return: the call
    :raises Rejected: when it is invalid or not allowed
    """
    team = authenticate(incoming, objects)
    _check_form(incoming)
    body = _json_object(incoming.body)
    model = body.get("model")
    if not isinstance(model, str):
        raise _bad("key 'model' must be a string")
    service = _service(objects, team, model, types.ServiceKind.MODEL)
    tier = _tier(incoming, objects, team, service)
    prompt = prefix.prompt_text(body)
    return calls.Call(
        team=team.name,
        team_weight=team.weight,
        tier=tier.name,
        tier_rank=tier.rank,
        service=service.name,
        pools=service.pools,
        method="POST",
        path=incoming.path,
        headers=_forwarded(incoming),
        body=incoming.body,
        stream=_flag(body, "stream"),
        is_model=True,
        idempotent=False,
        timeout_ms=_timeout_ms(incoming, tier),
        prompt_tokens=len(prompt.split()),
        output_tokens=_output_tokens(body),
        prefix_keys=prefix.prefix_keys(prompt),
        fingerprint=_fingerprint(service.name, incoming),
    )


def plain_call(
    incoming: IncomingRequest, service_name: str, objects: lookup.Lookup
) -> calls.Call:
    """Parses a call of a plain service.

    :param incoming: the request
    :param service_name: name of the service in the URL
    :param objects: the objects in force
    :return: the call
    :raises Rejected: when it is invalid or not allowed
    """
    team = authenticate(incoming, objects)
    _check_form(incoming)
    service = _service(objects, team, service_name, types.ServiceKind.PLAIN)
    tier = _tier(incoming, objects, team, service)
    rule = lookup.call_rule(
        service, incoming.method, incoming.path.partition("?")[0]
    )
    return calls.Call(
        team=team.name,
        team_weight=team.weight,
        tier=tier.name,
        tier_rank=tier.rank,
        service=service.name,
        pools=service.pools,
        method=incoming.method,
        path=incoming.path,
        headers=_forwarded(incoming),
        body=incoming.body,
        stream=False,
        is_model=False,
        idempotent=rule.idempotent,
        timeout_ms=_timeout_ms(incoming, tier),
        prompt_tokens=0,
        output_tokens=0,
        prefix_keys=(),
        fingerprint=_fingerprint(service.name, incoming),
    )


def idempotency_key(incoming: IncomingRequest) -> str:
    """Returns the caller's idempotency key.

    :param incoming: the request
    :return: the key, or empty
    :raises Rejected: when it is too long
    """
    key = incoming.headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_LENGTH:
        raise _bad(f"header 'Idempotency-Key' is longer than {MAX_KEY_LENGTH}")
    return key


def _check_form(incoming: IncomingRequest) -> None:
    """Checks that an upstream can be sent the request.

    :param incoming: the request
    :raises Rejected: when HTTP can't carry a part that is forwarded
    """
    if not TOKEN.fullmatch(incoming.method):
        raise _bad(f"method {incoming.method!r:.80} is not an HTTP token")
    if not VISIBLE.fullmatch(incoming.path):
        raise _bad(
            f"path {incoming.path!r:.80} must have visible ASCII characters"
            " only"
        )
    for name, value in _forwarded(incoming).items():
        if CONTROL.search(value):
            raise _bad(f"header {name!r} has control characters")


def _bad(message: str) -> Rejected:
    return Rejected(400, answers.Reason.BAD_REQUEST, message)


def _json_object(content: bytes) -> dict[str, typing.Any]:
    try:
        body = decode.load_json(content)
    except ValueError as error:
        raise _bad(f"the body is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise _bad("the body is not a JSON object")
    return body


def _flag(body: typing.Mapping[str, typing.Any], key: str) -> bool:
    value = body.get(key, False)
    if value is None:
        return False
    if not isinstance(value, bool):
        raise _bad(f"key {key!r} must be true or false")
    return value


def _output_tokens(body: typing.Mapping[str, typing.Any]) -> int:
    for key in ("max_completion_tokens", "max_tokens"):
        value = body.get(key)
        if value is None:
            continue
        if isinstance(value, bool) or not isinstance(value, int) or value < 1:
            raise _bad(f"key {key!r} must be a positive whole number")
        return value
    return DEFAULT_OUTPUT_TOKENS


def _service(
    objects: lookup.Lookup,
    team: types.Team,
    name: str,
    kind: types.ServiceKind,
) -> types.Service:
    service = objects.services.get(name)
    if service is None or service.kind is not kind:
        raise Rejected(
            404,
            answers.Reason.UNKNOWN_SERVICE,
            f"{kind.value} service {name!r} does not exist",
        )
    if not objects.may_call(team, name):
        raise Rejected(
            403,
            answers.Reason.FORBIDDEN,
            f"team {team.name!r} may not call service {name!r}",
        )
    return service


def _tier(
    incoming: IncomingRequest,
    objects: lookup.Lookup,
    team: types.Team,
    service: types.Service,
) -> types.Tier:
    name = incoming.headers.get(TIER_HEADER, "")
    if not name:
        name = service.tier if service.tier in team.tiers else team.tiers[0]
    tier = objects.tiers.get(name)
    if tier is None:
        raise _bad(f"tier {name!r} does not exist")
    if not objects.may_use(team, name):
        raise Rejected(
            403,
            answers.Reason.FORBIDDEN,
            f"team {team.name!r} may not use tier {name!r}",
        )
    return tier


def _timeout_ms(incoming: IncomingRequest, tier: types.Tier) -> int:
    text = incoming.headers.get(TIMEOUT_HEADER, "")
    if not text:
        return tier.timeout_ms
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = -1.0
    if not 0 < timeout_s <= MAX_TIMEOUT_S:
        raise _bad(
            "header 'X-Request-Timeout' must be seconds above 0 and at most"
            f" {MAX_TIMEOUT_S:.0f}"
        )
    return max(1, int(timeout_s * MS_PER_S))


def _forwarded(incoming: IncomingRequest) -> dict[str, str]:
    return {
        name: incoming.headers[name]
        for name in FORWARDED_HEADERS
        if name in incoming.headers
    }


def _fingerprint(service: str, incoming: IncomingRequest) -> str:
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (service, incoming.method, incoming.path):
        digest.update(part.encode() + b"\0")
    digest.update(incoming.body)
    return digest.hexdigest()
