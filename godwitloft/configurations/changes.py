"""Compares a configuration with the one in force, in words.

What takes something away from callers comes first.
"""

import dataclasses
import enum
import typing

from godwitloft.configurations import findings
from godwitloft.gateway import model


class Effect(enum.Enum):
    """What a change does to callers, the most dangerous first."""

    LOSES = "callers lose"
    CHANGES = "changes"
    GAINS = "callers gain"


EFFECTS: typing.Final = tuple(Effect)


@dataclasses.dataclass(frozen=True)
class Change:
    """One difference between two configurations.

    :param effect: what it does to callers
    :param kind: ``route``, ``service``, ``team``, ``limits`` or
        ``configuration``
    :param name: name of the entry, empty for the limits or the whole
    :param text: what is different
    """

    effect: Effect
    kind: str
    name: str
    text: str

    def __str__(self) -> str:
        """Returns the change as one line."""
        entry = f"{self.kind} {self.name!r}" if self.name else self.kind
        return f"{self.effect.value}: {entry}: {self.text}"


Changes = typing.Iterator[Change]
# Fields of which more is better for callers, with their units.
ROUTE_NUMBERS: typing.Final = (
    ("timeout_ms", "timeout", " ms"),
    ("max_attempts", "maximum number of attempts", ""),
)
TEAM_NUMBERS: typing.Final = (
    ("tokens_per_s", "allowance per second", ""),
    ("burst_tokens", "burst", ""),
)
LIMIT_NUMBERS: typing.Final = (
    ("header_bytes", "maximum size of a head", " bytes"),
    ("body_bytes", "maximum size of a body", " bytes"),
    ("header_timeout_ms", "time for a head", " ms"),
    ("idle_timeout_ms", "time that an idle connection is kept", " ms"),
)


def compare(
    before: model.Configuration, after: model.Configuration
) -> tuple[Change, ...]:
    """Returns the differences between two configurations.

    :param before: the one in force
    :param after: the one to be sent
    :return: differences, the most dangerous first
    """
    found = [
        *compare_versions(before, after),
        *compare_routes(before, after),
        *compare_teams(before, after),
        *compare_services(before, after),
        *compare_numbers(
            before.limits, after.limits, "limits", "", LIMIT_NUMBERS
        ),
    ]
    return tuple(
        sorted(
            found,
            key=lambda change: (
                EFFECTS.index(change.effect),
                change.kind,
                change.name,
            ),
        )
    )


def compare_versions(
    before: model.Configuration, after: model.Configuration
) -> Changes:
    """Tells whether gateways would take the new version at all.

    :param before: the one in force
    :param after: the one to be sent
    """
    if after.version <= before.version and after != before:
        yield Change(
            Effect.LOSES,
            "configuration",
            "",
            f"version {after.version} isn't newer than {before.version}, so"
            " gateways ignore it",
        )


def compare_routes(
    before: model.Configuration, after: model.Configuration
) -> Changes:
    """Returns the differences between routes of the same name.

    :param before: the one in force
    :param after: the one to be sent
    """
    old = {route.name: route for route in before.routes}
    new = {route.name: route for route in after.routes}
    for name in old.keys() - new.keys():
        yield Change(
            Effect.LOSES,
            "route",
            name,
            f"is removed: {place(old[name])} gets 404 or another route",
        )
    for name in new.keys() - old.keys():
        yield Change(
            Effect.GAINS, "route", name, f"is added: {place(new[name])}"
        )
    for name in old.keys() & new.keys():
        if old[name] != new[name]:
            yield from compare_route(old[name], new[name])


def compare_route(old: model.Route, new: model.Route) -> Changes:
    """Returns the differences between two routes.

    :param old: the one in force
    :param new: the one to be sent
    """

    def change(effect: Effect, text: str) -> Change:
        return Change(effect, "route", old.name, text)

    if place(old) != place(new):
        yield change(Effect.LOSES, f"moves from {place(old)} to {place(new)}")
    if old.public and not new.public:
        yield change(Effect.LOSES, "needs a key from now on")
    if new.public and not old.public:
        yield change(Effect.CHANGES, "needs no key any more: anyone may call")
    if old.kind is not new.kind:
        yield change(
            Effect.CHANGES,
            f"kind {old.kind.value} becomes {new.kind.value}",
        )
    if old.targets != new.targets:
        lost = {target.service for target in old.targets} - {
            target.service for target in new.targets
        }
        effect = Effect.LOSES if lost else Effect.CHANGES
        yield change(effect, f"services {split(old)} become {split(new)}")
    if old.resumable != new.resumable:
        effect = Effect.GAINS if new.resumable else Effect.LOSES
        verb = "may" if new.resumable else "may no longer"
        yield change(effect, f"streams {verb} be resumed")
    if old.rank != new.rank:
        effect = Effect.GAINS if new.rank < old.rank else Effect.LOSES
        yield change(
            effect, f"priority {old.rank} becomes {new.rank} (0 is highest)"
        )
    if old.target_ms != new.target_ms:
        yield change(
            Effect.CHANGES,
            f"target latency {old.target_ms} ms becomes {new.target_ms} ms",
        )
    if old.max_gap_ms != new.max_gap_ms:
        yield change(
            Effect.CHANGES,
            f"longest pause {old.max_gap_ms} ms becomes {new.max_gap_ms} ms",
        )
    yield from compare_numbers(old, new, "route", old.name, ROUTE_NUMBERS)


def compare_teams(
    before: model.Configuration, after: model.Configuration
) -> Changes:
    """Returns the differences between teams; keys themselves aren't shown.

    :param before: the one in force
    :param after: the one to be sent
    """
    old = {team.name: team for team in before.teams}
    new = {team.name: team for team in after.teams}
    for name in old.keys() - new.keys():
        yield Change(
            Effect.LOSES,
            "team",
            name,
            f"is removed with {keys(len(old[name].keys))}",
        )
    for name in new.keys() - old.keys():
        yield Change(
            Effect.GAINS,
            "team",
            name,
            f"is added with {keys(len(new[name].keys))}",
        )
    if not before.teams and after.teams:
        yield Change(
            Effect.LOSES,
            "configuration",
            "",
            "requests need a key from now on",
        )
    if before.teams and not after.teams:
        yield Change(
            Effect.CHANGES,
            "configuration",
            "",
            "requests need no key any more: anyone may call",
        )
    for name in old.keys() & new.keys():
        yield from compare_team(old[name], new[name])


def compare_team(old: model.Team, new: model.Team) -> Changes:
    """Returns the differences between two teams.

    :param old: the one in force
    :param new: the one to be sent
    """
    revoked = len(set(old.keys) - set(new.keys))
    added = len(set(new.keys) - set(old.keys))
    if revoked:
        yield Change(
            Effect.LOSES,
            "team",
            old.name,
            f"{revoked} of {keys(len(old.keys))} revoked",
        )
    if added:
        yield Change(Effect.GAINS, "team", old.name, f"{keys(added)} added")
    if old.rank != new.rank:
        yield Change(
            Effect.CHANGES,
            "team",
            old.name,
            f"priority {shown_rank(old)} becomes {shown_rank(new)}",
        )
    if old.counts_tokens != new.counts_tokens:
        unit = "tokens" if new.counts_tokens else "requests"
        yield Change(
            Effect.LOSES, "team", old.name, f"the allowance counts {unit}"
        )
    if old.default_tokens != new.default_tokens:
        more = new.default_tokens > old.default_tokens
        yield Change(
            Effect.LOSES if more else Effect.GAINS,
            "team",
            old.name,
            f"a request without a size counts as {new.default_tokens}, not"
            f" {old.default_tokens}",
        )
    if (old.tokens_per_s > 0) != (new.tokens_per_s > 0):
        is_limited = new.tokens_per_s > 0
        yield Change(
            Effect.LOSES if is_limited else Effect.GAINS,
            "team",
            old.name,
            f"gets a limit of {new.tokens_per_s:g} a second"
            if is_limited
            else "has no limit any more",
        )
        return
    yield from compare_numbers(old, new, "team", old.name, TEAM_NUMBERS)


def compare_services(
    before: model.Configuration, after: model.Configuration
) -> Changes:
    """Returns the differences between services.

    :param before: the one in force
    :param after: the one to be sent
    """
    old, new = before.services, after.services
    for name in old.keys() - new.keys():
        routes = [
            route.name
            for route in before.routes
            if any(target.service == name for target in route.targets)
        ]
        used = f", which served {findings.shown(routes)}" if routes else ""
        yield Change(Effect.LOSES, "service", name, f"is removed{used}")
    for name in new.keys() - old.keys():
        yield Change(Effect.GAINS, "service", name, "is added")
    for name in old.keys() & new.keys():
        for field in ("max_connections", "is_engine", "memory_tokens"):
            was, becomes = getattr(old[name], field), getattr(new[name], field)
            if was != becomes:
                yield Change(
                    Effect.CHANGES,
                    "service",
                    name,
                    f"{field} {was} becomes {becomes}",
                )


def compare_numbers(
    old: object,
    new: object,
    kind: str,
    name: str,
    fields: typing.Iterable[tuple[str, str, str]],
) -> Changes:
    """Returns the differences between numbers of which more is better.

    :param old: the entry in force
    :param new: the entry to be sent
    :param kind: kind of the entry
    :param name: its name
    :param fields: attribute, name and unit of each number
    """
    for field, title, unit in fields:
        was, becomes = getattr(old, field), getattr(new, field)
        if was == becomes:
            continue
        effect = Effect.LOSES if becomes < was else Effect.GAINS
        yield Change(
            effect,
            kind,
            name,
            f"{title} {number(was)}{unit} becomes {number(becomes)}{unit}",
        )


def number(value: float) -> str:
    """Returns a number for people.

    :param value: the number
    """
    return f"{value:,.0f}" if value == int(value) else f"{value:,}"


def keys(count: int) -> str:
    """Returns a number of keys for people.

    :param count: how many
    """
    return "1 key" if count == 1 else f"{count} keys"


def place(route: model.Route) -> str:
    """Returns where a route matches, for people.

    :param route: the route
    """
    return f"{route.host}{route.prefix}"


def split(route: model.Route) -> str:
    """Returns how a route's requests are split, for people.

    :param route: the route
    """
    total = sum(target.weight for target in route.targets)
    return ", ".join(
        f"{target.service} ({target.weight / total:.0%})"
        for target in route.targets
    )


def shown_rank(team: model.Team) -> str:
    """Returns a team's rank, for people.

    :param team: the team
    """
    return "that of the route" if team.rank is None else str(team.rank)
