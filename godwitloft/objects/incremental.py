"""Updates a lookup incrementally from the objects that changed.

Of 10,000 teams, usually one changes at a time. Decoding and indexing all of
them at each change would use most of the processor time that a daemon may
spend on control work. The cost here is that of decoding the changed objects
and copying the indexes.
"""

import collections
import types as builtin_types
import typing

from godwitloft import decode
from godwitloft.coordination import delta
from godwitloft.objects import errors
from godwitloft.objects import lookup
from godwitloft.objects import parse
from godwitloft.objects import types


def update(
    current: lookup.Lookup, changes: typing.Iterable[delta.ObjectChange]
) -> lookup.Lookup:
    """Returns a lookup with the changes applied.

    :param current: not modified; unchanged indexes are shared
    :param changes: objects added, changed and removed; the resulting set
        must be one that passed the check
    :return: equal to a lookup built from the whole new set
    :raises errors.ObjectsError: naming the object and field that is wrong
    """
    by_kind: dict[str, list[delta.ObjectChange]] = collections.defaultdict(
        list
    )
    for change in changes:
        by_kind[change.kind].append(change)
    only_teams_changed = by_kind.keys() <= {"teams"}
    changed_teams = {change.name for change in by_kind.get("teams", ())}
    members = {
        plural: _apply_changes(current, plural, by_kind.pop(plural, []))
        for plural in parse.KINDS
    }
    if by_kind:
        raise errors.ObjectsError(
            f"changes: {decode.show(next(iter(by_kind)))} is not a kind of"
            " object"
        )
    objects = types.ObjectSet(
        **{plural: tuple(named.values()) for plural, named in members.items()}
    )
    if not only_teams_changed:
        return lookup.build(objects)
    return lookup.Lookup(
        objects=objects,
        teams_by_key_hash=_update_key_index(
            current, members["teams"], changed_teams
        ),
        teams=builtin_types.MappingProxyType(members["teams"]),
        services=current.services,
        tiers=current.tiers,
        tiers_by_importance=current.tiers_by_importance,
        pools=current.pools,
        pools_of_service=current.pools_of_service,
        services_of_pool=current.services_of_pool,
    )


def _apply_changes(
    current: lookup.Lookup,
    plural: str,
    changes: typing.Iterable[delta.ObjectChange],
) -> dict[str, typing.Any]:
    before = getattr(current, plural)
    members = before | {}
    for change in changes:
        if change.text is None:
            members.pop(change.name, None)
        else:
            members[change.name] = _decode(plural, change.name, change.text)
    if members.keys() <= before.keys():
        # Without new names, the members are still sorted.
        return members
    return dict(sorted(members.items()))


def _decode(plural: str, name: str, text: str) -> typing.Any:
    where = f"{parse.singular(plural)} {decode.show(name)}"
    try:
        value = decode.parse_json(
            text.encode("utf-8", "replace"), where, parse.MAX_FILE_BYTES
        )
        decoded = decode.decode(parse.KINDS[plural], value, where)
    except decode.DecodeError as error:
        raise errors.ObjectsError(str(error)) from error
    if decoded.name != name:
        raise errors.ObjectsError(
            f"{where}: key 'name': {decode.show(decoded.name)} differs from"
            " the name of the change"
        )
    return decoded


def _update_key_index(
    current: lookup.Lookup,
    teams: typing.Mapping[str, types.Team],
    changed: typing.Iterable[str],
) -> builtin_types.MappingProxyType[str, types.Team]:
    keys = current.teams_by_key_hash | {}
    # A key may move between teams in one change, so all old keys are removed
    # before any new key is added.
    for name in changed:
        if name in current.teams:
            for key_hash in current.teams[name].key_hashes:
                keys.pop(key_hash, None)
    for name in changed:
        if name in teams:
            for key_hash in teams[name].key_hashes:
                keys[key_hash] = teams[name]
    return builtin_types.MappingProxyType(keys)
