"""Finds the route of a request and the team of a key."""

import typing

from godwitloft.gateway import model


class Router:
    """Finds routes and teams in one configuration.

    :param configuration: the configuration
    """

    def __init__(self, configuration: model.Configuration) -> None:
        self.configuration = configuration
        self.routes: dict[str, dict[str, model.Route]] = {}
        self.depths: dict[str, list[int]] = {}
        self.teams = {
            key: team for team in configuration.teams for key in team.keys
        }
        for route in configuration.routes:
            self.routes.setdefault(route.host, {})[route.prefix] = route
        for host, prefixes in self.routes.items():
            depths = {prefix.count("/") for prefix in prefixes}
            self.depths[host] = sorted(depths, reverse=True)

    def route(self, host: str, path: str) -> model.Route | None:
        """Returns the route with the longest matching prefix.

        :param host: value of the ``Host`` header; a port is ignored
        :param path: path without the query
        :return: the route, None if none matches
        """
        name = host.rsplit(":", 1)[0].lower()
        prefixes = self.routes.get(name)
        if prefixes is None:
            return None
        ends = _slash_ends(path)
        for depth in self.depths[name]:
            if depth > len(ends):
                continue
            route = prefixes.get(path[: ends[depth - 1]])
            if route is not None:
                return route
        return None

    def team(self, key: str) -> model.Team | None:
        """Returns the team of a key.

        :param key: key sent by the caller
        :return: the team, None if the key is unknown
        """
        return self.teams.get(key)


def _slash_ends(path: str) -> list[int]:
    return [at + 1 for at, letter in enumerate(path) if letter == "/"]


def pick_target(
    targets: typing.Sequence[model.Target], point: float
) -> model.Target:
    """Chooses a target in proportion to the weights.

    :param targets: targets, at least one
    :param point: random number from 0 to less than 1
    :return: one of the targets
    """
    remaining = point * sum(target.weight for target in targets)
    for target in targets:
        remaining -= target.weight
        if remaining < 0:
            return target
    return targets[-1]
