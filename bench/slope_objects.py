"""Measures the cost of objects in a snapshot and of changing one."""

import dataclasses
import hashlib
import typing

from bench import slope_fit
from godwitloft.coordination import delta
from godwitloft.coordination import publish
from godwitloft.objects import canonical
from godwitloft.objects import check
from godwitloft.objects import incremental
from godwitloft.objects import lookup
from godwitloft.objects import parse
from godwitloft.objects import types

SIZES = (1000, 5000, 10_000)
MODELS = 28
TIERS = 4
LOOKUPS = 1000


def make_objects(teams: int) -> types.ObjectSet:
    """Returns a set of 28 models and a number of teams.

    :param teams: number of teams
    :return: a set that passes the check
    """
    tiers = tuple(types.Tier(f"tier-{rank}", rank) for rank in range(TIERS))
    pools = tuple(
        types.Pool(f"pool-{index}", types.ServiceKind.MODEL)
        for index in range(MODELS)
    )
    services = tuple(
        types.Service(
            f"model-{index}",
            types.ServiceKind.MODEL,
            (f"pool-{index}",),
            "tier-0",
        )
        for index in range(MODELS)
    )
    members = tuple(make_team(index) for index in range(teams))
    return types.ObjectSet(tiers, services, members, pools)


def make_team(index: int, weight: int = 1) -> types.Team:
    """Returns a team.

    :param index: makes its name and its token unique
    :param weight: its weight in fair sharing
    :return: the team
    """
    return types.Team(
        name=f"team-{index:05d}",
        key_hashes=(hashlib.sha256(token(index).encode()).hexdigest(),),
        tiers=("tier-0", "tier-1"),
        weight=weight,
        max_running=100,
        tokens_per_s=10_000,
    )


def token(index: int) -> str:
    """Returns the bearer token of a team.

    :param index: number of the team
    :return: the token
    """
    return f"token-{index}"


def snapshot_content(teams: int) -> bytes:
    """Returns a snapshot.

    :param teams: number of teams
    :return: canonical JSON
    """
    return canonical.encode(make_objects(teams))


def prepare_parse(teams: int) -> typing.Callable[[], object]:
    """Prepares the parsing of a snapshot.

    :param teams: number of teams
    :return: call that parses it
    """
    content = snapshot_content(teams)
    return lambda: parse.from_bytes(content, "snapshot")


def prepare_check(teams: int) -> typing.Callable[[], object]:
    """Prepares the check of a set.

    :param teams: number of teams
    :return: call that checks it
    """
    objects = make_objects(teams)

    def run() -> None:
        assert not check.check(objects)

    return run


def prepare_encode(teams: int) -> typing.Callable[[], object]:
    """Prepares the encoding of a snapshot and its hash.

    :param teams: number of teams
    :return: call that encodes and hashes it
    """
    objects = make_objects(teams)
    return lambda: canonical.hash_of(canonical.encode(objects))


def prepare_index(teams: int) -> typing.Callable[[], object]:
    """Prepares the building of the indexes.

    :param teams: number of teams
    :return: call that builds them
    """
    objects = make_objects(teams)
    return lambda: lookup.build(objects)


def prepare_find(teams: int) -> typing.Callable[[], object]:
    """Prepares one thousand look-ups of a team by its token.

    :param teams: number of teams
    :return: call that does the look-ups
    """
    index = lookup.build(make_objects(teams))
    tokens = [token(number % teams) for number in range(LOOKUPS)]

    def run() -> None:
        for bearer_token in tokens:
            assert index.team_of_token(bearer_token) is not None

    return run


def prepare_change(teams: int) -> typing.Callable[[], object]:
    """Prepares the work of a daemon when one team changes.

    :param teams: number of teams
    :return: call that applies the change, as the feed and the node do
    """
    objects = make_objects(teams)
    texts = delta.split(canonical.encode(objects))
    index = lookup.build(objects)
    changed = dataclasses.replace(
        objects, teams=(make_team(0, 7), *objects.teams[1:])
    )
    expected = canonical.encode(changed)
    encoded_delta = delta.encode(
        delta.difference(texts, delta.split(expected))
    )

    def run() -> None:
        changes = delta.decode(encoded_delta)
        content = delta.join(delta.patch(texts, changes))
        assert canonical.hash_of(content) == canonical.hash_of(expected)
        incremental.update(index, changes)

    return run


def prepare_hold(teams: int) -> typing.Callable[[], object]:
    """Prepares the data that a daemon keeps of a configuration.

    :param teams: number of teams
    :return: call that builds the snapshot, its parts and the indexes
    """

    def run() -> object:
        content = snapshot_content(teams)
        index = lookup.build(canonical.decode(content))
        return content, delta.split(content), index

    return run


def measure() -> list[slope_fit.Slope]:
    """Measures all slopes of this module.

    :return: the slopes
    """
    time_slope = slope_fit.time_slope
    assert publish.MAX_SNAPSHOT_BYTES > len(snapshot_content(SIZES[-1]))
    return [
        time_slope("snapshot_parse", "team", SIZES, prepare_parse, 1),
        time_slope("snapshot_check", "team", SIZES, prepare_check, 1),
        time_slope("snapshot_encode", "team", SIZES, prepare_encode, 1),
        time_slope("snapshot_index", "team", SIZES, prepare_index),
        time_slope(
            "snapshot_find", "team, 1,000 look-ups", SIZES, prepare_find
        ),
        time_slope(
            "snapshot_change", "team, for one change", SIZES, prepare_change
        ),
        slope_fit.memory_slope("snapshot_held", "team", SIZES, prepare_hold),
        slope_fit.fit(
            "snapshot_bytes",
            "team",
            "bytes",
            [(size, float(len(snapshot_content(size)))) for size in SIZES],
        ),
    ]
