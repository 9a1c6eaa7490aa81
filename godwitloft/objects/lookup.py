"""Indexes of a set of objects, for lookups on every request."""

import dataclasses
import hashlib
import types as builtin_types
import typing

from godwitloft.objects import types

UNSAFE_SEGMENTS = ("", ".", "..")
UNSAFE_CHARACTERS = "%\\;#?"

# Read-only, and faster to copy than a plain dict.
Index = builtin_types.MappingProxyType


@dataclasses.dataclass(frozen=True)
class Lookup:
    """A set of objects with indexes, built once per generation.

    :param objects: the set itself
    :param teams_by_key_hash: hexadecimal SHA-256 of a bearer token to team
    :param teams: by name
    :param services: by name
    :param tiers: by name
    :param tiers_by_importance: most important first
    :param pools: by name
    :param pools_of_service: name of a service to its pools
    :param services_of_pool: name of a pool to its services
    """

    objects: types.ObjectSet
    teams_by_key_hash: Index[str, types.Team]
    teams: Index[str, types.Team]
    services: Index[str, types.Service]
    tiers: Index[str, types.Tier]
    tiers_by_importance: tuple[types.Tier, ...]
    pools: Index[str, types.Pool]
    pools_of_service: Index[str, tuple[types.Pool, ...]]
    services_of_pool: Index[str, tuple[types.Service, ...]]

    def team_of_token(self, token: str) -> types.Team | None:
        """Returns the team that a bearer token belongs to.

        :param token: as the caller sent it
        :return: the team, or None when the token is unknown
        """
        digest = hashlib.sha256(token.encode("utf-8", "surrogateescape"))
        return self.teams_by_key_hash.get(digest.hexdigest())

    def may_call(self, team: types.Team, service: str) -> bool:
        """Returns whether a team may call a service.

        :param team: the caller
        :param service: name of the service
        :return: whether the team's list of services contains it or is empty
        """
        return not team.services or service in team.services

    def may_use(self, team: types.Team, tier: str) -> bool:
        """Returns whether a team may use a tier.

        :param team: the caller
        :param tier: name of the tier
        :return: whether the team's list of tiers contains it
        """
        return tier in team.tiers


def build(objects: types.ObjectSet) -> Lookup:
    """Builds the indexes of a set.

    :param objects: a set that passed the check
    :return: the lookup; its mappings are read-only
    """
    pools = {pool.name: pool for pool in objects.pools}
    services_of_pool: dict[str, tuple[types.Service, ...]] = {
        name: () for name in pools
    }
    for service in objects.services:
        for name in service.pools:
            services_of_pool[name] += (service,)
    tiers = sorted(objects.tiers, key=lambda tier: tier.rank)
    return Lookup(
        objects=objects,
        teams_by_key_hash=_freeze(
            {
                key_hash: team
                for team in objects.teams
                for key_hash in team.key_hashes
            }
        ),
        teams=_by_name(objects.teams),
        services=_by_name(objects.services),
        tiers=_by_name(objects.tiers),
        tiers_by_importance=tuple(tiers),
        pools=_freeze(pools),
        pools_of_service=_freeze(
            {
                service.name: tuple(pools[name] for name in service.pools)
                for service in objects.services
            }
        ),
        services_of_pool=_freeze(services_of_pool),
    )


def call_rule(service: types.Service, method: str, path: str) -> types.Call:
    """Returns the properties of a call of a plain service.

    A path that the service may interpret as a different one, such as a path
    with ``..`` or an encoded character, is always non-idempotent, so that a
    write can't be mistaken for a read.

    :param service: a plain service
    :param method: HTTP method, upper-case
    :param path: path below the service, without the query
    :return: the first matching call, or a non-idempotent one
    """
    relative_path = path.lstrip("/")
    if _is_ambiguous(path):
        return types.Call(method, relative_path, idempotent=False)
    for call in service.calls:
        if _matches(call, method, relative_path):
            return call
    return types.Call(method, relative_path, idempotent=False)


def _matches(call: types.Call, method: str, path: str) -> bool:
    if call.method not in ("*", method):
        return False
    pattern = call.path.lstrip("/")
    if pattern.endswith("*"):
        return path.startswith(pattern[:-1])
    return path == pattern


def _is_ambiguous(path: str) -> bool:
    trimmed = path.removeprefix("/").removesuffix("/")
    segments = trimmed.split("/") if trimmed else []
    return (
        any(segment in UNSAFE_SEGMENTS for segment in segments)
        or any(character in path for character in UNSAFE_CHARACTERS)
        or not path.isascii()
        or not path.isprintable()
    )


def _by_name(
    objects: typing.Iterable[typing.Any],
) -> Index[str, typing.Any]:
    return _freeze({member.name: member for member in objects})


def _freeze(
    mapping: dict[str, typing.Any],
) -> Index[str, typing.Any]:
    return builtin_types.MappingProxyType(mapping)
