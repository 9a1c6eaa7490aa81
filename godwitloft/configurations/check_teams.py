"""Checks the teams of a configuration, and their allowances."""

import collections

from godwitloft.configurations import findings
from godwitloft.configurations import service_upstreams
from godwitloft.gateway import model

KIND = "team"


def check(
    configuration: model.Configuration,
    window_ms: int,
    known: service_upstreams.Known,
) -> findings.Findings:
    """Checks all teams.

    :param configuration: the configuration
    :param window_ms: window over which the settings sum usage up
    :param known: upstreams by service, None if they aren't known
    :return: the findings
    """
    yield from check_keys(configuration)
    room_tokens = total_memory(configuration, known)
    for team in configuration.teams:
        yield from check_allowance(team, window_ms, room_tokens)
    yield from check_bursts(configuration, room_tokens)


def check_keys(configuration: model.Configuration) -> findings.Findings:
    """Checks who is recognised by which key.

    :param configuration: the configuration
    """
    owners = collections.defaultdict(list)
    needs_keys = any(not route.public for route in configuration.routes)
    for team in configuration.teams:
        if not team.keys and needs_keys:
            yield findings.warning(
                KIND,
                team.name,
                "keys",
                "is empty, so no request is the team's",
            )
        for key in team.keys:
            owners[key].append(team.name)
            if not key or key != key.strip() or not key.isprintable():
                # The key itself is a secret.
                yield findings.error(
                    KIND,
                    team.name,
                    "keys",
                    "a key can't be sent in a header: it is empty, ends with"
                    " a space or isn't printable",
                )
    for names in owners.values():
        for name in names[:-1]:
            yield findings.error(
                KIND,
                name,
                "keys",
                "a key never matches: it is also that of"
                f" {'the same team' if name == names[-1] else names[-1]!r}",
            )
    if configuration.teams and not any(owners) and needs_keys:
        yield findings.error(
            "configuration",
            "",
            "teams",
            "no team has a key, so only public routes can be used",
        )


def total_memory(
    configuration: model.Configuration,
    known: service_upstreams.Known,
) -> int:
    """Returns how many tokens all engines hold.

    :param configuration: the configuration
    :param known: upstreams by service, None if they aren't known
    :return: tokens, 0 if that isn't known
    """
    if known is None:
        return 0
    return sum(
        service.memory_tokens * known[name].count
        for name, service in configuration.services.items()
        if service.is_engine and name in known
    )


def check_allowance(
    team: model.Team, window_ms: int, room_tokens: int
) -> findings.Findings:
    """Checks the allowance of one team.

    :param team: the team
    :param window_ms: window over which the settings sum usage up
    :param room_tokens: tokens that all engines hold, 0 if unknown
    """
    if team.tokens_per_s == 0:
        if team.burst_tokens > 0:
            yield findings.warning(
                KIND,
                team.name,
                "burst",
                "has no effect: a rate of 0 means no limit",
            )
        return
    most = team.tokens_per_s * window_ms / 1000 + team.burst_tokens
    least = team.default_tokens if team.counts_tokens else 1
    if least > most:
        yield findings.error(
            KIND,
            team.name,
            "rate",
            f"a request that counts as {least} never fits into the allowance"
            f" of {most:g} in {window_ms} ms",
        )
    if not team.counts_tokens and team.default_tokens:
        yield findings.warning(
            KIND,
            team.name,
            "default_tokens",
            "has no effect: the allowance counts requests",
        )
    if team.counts_tokens and 0 < room_tokens < team.burst_tokens:
        yield findings.warning(
            KIND,
            team.name,
            "burst",
            f"{team.burst_tokens:g} tokens exceed the {room_tokens} that all"
            " engines hold",
        )


def check_bursts(
    configuration: model.Configuration, room_tokens: int
) -> findings.Findings:
    """Checks whether the engines hold what all teams may use at once.

    :param configuration: the configuration
    :param room_tokens: tokens that all engines hold, 0 if unknown
    """
    bursts = [
        team.burst_tokens
        for team in configuration.teams
        if team.counts_tokens and team.tokens_per_s > 0
    ]
    if room_tokens and max(bursts, default=0) <= room_tokens < sum(bursts):
        yield findings.warning(
            "configuration",
            "",
            "teams",
            f"the bursts of {len(bursts)} teams add up to {sum(bursts):g}"
            f" tokens; all engines hold {room_tokens}",
        )
