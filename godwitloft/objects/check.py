"""Checks a whole set of objects before it is published.

All problems are reported together, not only the first, so that an operator
can correct them in one pass.
"""

import collections
import dataclasses
import itertools
import re
import typing

from godwitloft import decode
from godwitloft.objects import parse
from godwitloft.objects import types

MAX_OBJECTS: typing.Mapping[str, int] = {
    "tiers": 32,
    "services": 1000,
    "teams": 50_000,
    "pools": 1000,
}
MAX_PROBLEMS = 200
MAX_KEYS_PER_TEAM = 32
MAX_CALLS_PER_SERVICE = 200
MAX_TEXT_CHARACTERS = 500
ROLES = ("serve", "prefill", "decode")
METHODS = ("*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

# Names are used in URLs, headers, metric labels and table keys.
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]*")
HASH_PATTERN = re.compile(r"[0-9a-f]{64}")


@dataclasses.dataclass(frozen=True)
class Problem:
    """A problem in a set of objects.

    :param kind: ``tier``, ``service``, ``team`` or ``pool``
    :param object: name of the object
    :param field: dotted path of the field
    :param value: the invalid value, shortened when long
    :param reason: what is wrong, with the closest existing name if any
    """

    kind: str
    object: str
    field: str
    value: str
    reason: str

    def __str__(self) -> str:
        """Returns the problem as one line."""
        return (
            f"{self.kind} {decode.show(self.object)}: field {self.field!r}: "
            f"{self.value} {self.reason}"
        )


Problems = typing.Iterator[Problem]


def check(objects: types.ObjectSet) -> tuple[Problem, ...]:
    """Finds the problems in a set.

    :param objects: the whole set
    :return: the first problems, at most :data:`MAX_PROBLEMS`, because the
        search for the closest name is slow; empty when the set is valid
    """
    return tuple(itertools.islice(_check_all(objects), MAX_PROBLEMS))


def _check_all(objects: types.ObjectSet) -> Problems:
    names = {
        plural: {member.name: member for member in getattr(objects, plural)}
        for plural in parse.KINDS
    }
    for plural in parse.KINDS:
        yield from _check_names(plural, getattr(objects, plural))
    yield from _check_ranks(objects.tiers)
    for service in objects.services:
        yield from _check_service(service, names)
    for team in objects.teams:
        yield from _check_team(team, names)
    yield from _check_shared_keys(objects.teams)
    for pool in objects.pools:
        yield from _check_pool(pool)


def _problem(
    kind: str, name: str, field: str, value: object, reason: str
) -> Problem:
    return Problem(kind, name, field, decode.show(value), reason)


def _check_names(plural: str, objects: tuple[typing.Any, ...]) -> Problems:
    kind = parse.singular(plural)
    limit = MAX_OBJECTS[plural]
    if len(objects) > limit:
        yield _problem(
            kind,
            "*",
            "name",
            len(objects),
            f"{plural} exceed the limit of {limit}",
        )
    counts = collections.Counter(member.name for member in objects)
    for name, count in counts.items():
        if count > 1:
            yield _problem(
                kind, name, "name", name, f"is the name of {count} {plural}"
            )
        if not NAME_PATTERN.fullmatch(name):
            yield _problem(
                kind,
                name,
                "name",
                name,
                "may contain only letters, digits and . _ : / -, and must"
                " begin with a letter or digit",
            )


def _check_ranks(tiers: tuple[types.Tier, ...]) -> Problems:
    name_by_rank: dict[int, str] = {}
    for tier in tiers:
        other = name_by_rank.setdefault(tier.rank, tier.name)
        if other != tier.name:
            yield _problem(
                "tier",
                tier.name,
                "rank",
                tier.rank,
                f"is also the rank of tier {other!r}",
            )


def _check_references(
    kind: str,
    name: str,
    field: str,
    references: tuple[str, ...],
    target: str,
    existing: typing.Mapping[str, object],
) -> Problems:
    seen = set()
    for reference in references:
        if reference in seen:
            yield _problem(kind, name, field, reference, "is listed twice")
        elif reference not in existing:
            hint = decode.nearest(reference, existing)
            yield _problem(
                kind, name, field, reference, f"is no known {target}{hint}"
            )
        seen.add(reference)


def _check_service(
    service: types.Service,
    names: typing.Mapping[str, typing.Mapping[str, typing.Any]],
) -> Problems:
    name = service.name
    yield from _check_references(
        "service", name, "pools", service.pools, "pool", names["pools"]
    )
    yield from _check_references(
        "service", name, "tier", (service.tier,), "tier", names["tiers"]
    )
    pools = [names["pools"][p] for p in service.pools if p in names["pools"]]
    for pool in pools:
        if pool.kind is not service.kind:
            yield _problem(
                "service",
                name,
                "pools",
                pool.name,
                f"is a pool of kind {pool.kind.value!r}, the service is of"
                f" kind {service.kind.value!r}",
            )
    yield from _check_calls(service)


def _check_calls(service: types.Service) -> Problems:
    calls = service.calls
    if calls and service.kind is types.ServiceKind.MODEL:
        yield _problem(
            "service",
            service.name,
            "calls",
            len(calls),
            "calls are set on a model; only plain services may have calls",
        )
    if len(calls) > MAX_CALLS_PER_SERVICE:
        yield _problem(
            "service",
            service.name,
            "calls",
            len(calls),
            f"calls exceed the limit of {MAX_CALLS_PER_SERVICE}",
        )
        return
    for index, call in enumerate(calls):
        yield from _check_call(service, index, call)


def _check_call(
    service: types.Service, index: int, call: types.Call
) -> Problems:
    field = f"calls[{index}]"
    if call.method not in METHODS:
        hint = decode.nearest(call.method.upper(), METHODS)
        yield _problem(
            "service",
            service.name,
            f"{field}.method",
            call.method,
            f"is no known method{hint}",
        )
    if "*" in call.path[:-1] or len(call.path) > MAX_TEXT_CHARACTERS:
        yield _problem(
            "service",
            service.name,
            f"{field}.path",
            call.path,
            "may contain * only at its end and at most"
            f" {MAX_TEXT_CHARACTERS} characters",
        )
    for earlier in range(index):
        if _matches_all_of(service.calls[earlier], call):
            yield _problem(
                "service",
                service.name,
                field,
                f"{call.method} {call.path}",
                f"never applies: calls[{earlier}] matches every such call",
            )
            break


def _matches_all_of(earlier: types.Call, later: types.Call) -> bool:
    if earlier.method not in ("*", later.method):
        return False
    if earlier.path.endswith("*"):
        return later.path.startswith(earlier.path[:-1])
    return earlier.path == later.path


def _check_team(
    team: types.Team,
    names: typing.Mapping[str, typing.Mapping[str, typing.Any]],
) -> Problems:
    yield from _check_references(
        "team", team.name, "tiers", team.tiers, "tier", names["tiers"]
    )
    yield from _check_references(
        "team",
        team.name,
        "services",
        team.services,
        "service",
        names["services"],
    )
    if len(team.key_hashes) > MAX_KEYS_PER_TEAM:
        yield _problem(
            "team",
            team.name,
            "key_hashes",
            len(team.key_hashes),
            f"hashes exceed the limit of {MAX_KEYS_PER_TEAM}",
        )
    for index, key_hash in enumerate(team.key_hashes):
        if not HASH_PATTERN.fullmatch(key_hash):
            yield _problem(
                "team",
                team.name,
                f"key_hashes[{index}]",
                key_hash,
                "is not 64 lower-case hexadecimal digits",
            )


def _check_shared_keys(teams: tuple[types.Team, ...]) -> Problems:
    team_by_hash: dict[str, str] = {}
    for team in teams:
        for index, key_hash in enumerate(team.key_hashes):
            other = team_by_hash.setdefault(key_hash, team.name)
            if other != team.name:
                yield _problem(
                    "team",
                    team.name,
                    f"key_hashes[{index}]",
                    key_hash,
                    f"is also a key of team {other!r}",
                )


def _check_pool(pool: types.Pool) -> Problems:
    if pool.kind is types.ServiceKind.PLAIN:
        if pool.wanted is not None:
            yield _problem(
                "pool",
                pool.name,
                "wanted",
                pool.wanted.model,
                "is set on a pool of plain services, which accept no orders",
            )
        if pool.resumable:
            yield _problem(
                "pool",
                pool.name,
                "resumable",
                True,
                "is set on a pool of plain services, which have no streams",
            )
    if pool.wanted is not None:
        yield from _check_wanted(pool.name, pool.wanted)


def _check_wanted(name: str, wanted: types.WantedState) -> Problems:
    if wanted.role not in ROLES:
        hint = decode.nearest(wanted.role, ROLES)
        yield _problem(
            "pool",
            name,
            "wanted.role",
            wanted.role,
            f"is not one of {', '.join(ROLES)}{hint}",
        )
    for field in ("model", "version", "adapter"):
        text = getattr(wanted, field)
        if len(text) > MAX_TEXT_CHARACTERS:
            yield _problem(
                "pool",
                name,
                f"wanted.{field}",
                text,
                f"is longer than {MAX_TEXT_CHARACTERS} characters",
            )
    if not wanted.model:
        yield _problem(
            "pool",
            name,
            "wanted.model",
            "",
            "is empty; a model name is required",
        )
