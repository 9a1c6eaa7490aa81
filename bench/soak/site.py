"""Configuration of the soak test: bounds, teams and routes."""

import typing

from godwitloft.standins import lakeshore_words as words

HOST_NAME = "soak.example"
TIMEOUT_MS = 4_000
# Bounds that the programs are configured with and the verdict checks.
REVOKE_MS = 5_000
QUOTA_WINDOW_S = 8
QUOTA_OVERAGE = 0.1
QUOTA_SLACK_TOKENS = 500
RETRY_RATIO = 0.2
RETRY_EXTRA = 20
RETRY_WINDOW_S = 10
BOUNDS = words.Bounds(
    leave_s=6,
    revoke_ms=REVOKE_MS,
    allowance_window_s=QUOTA_WINDOW_S,
    allowance_overage=QUOTA_OVERAGE,
    allowance_slack=QUOTA_SLACK_TOKENS,
    retry_ratio=RETRY_RATIO,
    retry_extra=RETRY_EXTRA,
    retry_window_s=RETRY_WINDOW_S,
)
# Callers exceed the rate limit of team "small".
SMALL_RATE_PER_S = 200
SMALL_BURST = 200

KEYS = {"key-large": "large", "key-small": "small", "key-guest": "guest"}
GUEST_KEY = "key-guest"
EXTRA_ROUTE = "extra"
ROUTES = (
    words.Route("stream", "streaming", "model", resumable=True),
    words.Route("once", "streaming", "model"),
    words.Route("lookup", "idempotent", "desk"),
    words.Route("post", "non_idempotent", "desk"),
    words.Route(EXTRA_ROUTE, "idempotent", "desk"),
)


def configuration(
    version: int, withdrawn: typing.Mapping[str, int]
) -> dict[str, typing.Any]:
    """Returns the row with the operators' configuration.

    :param version: of the configuration
    :param withdrawn: counts by key or route; those above 0 are left out
    :return: a JSON-compatible object
    """
    routes = [route for route in ROUTES if not withdrawn.get(route.name)]
    teams = [
        team(name, () if withdrawn.get(key) else (key,))
        for key, name in KEYS.items()
    ]
    return words.configuration(version, HOST_NAME, routes, teams, TIMEOUT_MS)


def team(name: str, keys: tuple[str, ...]) -> words.Team:
    """Returns a team with its rate limit.

    :param name: of the team
    :param keys: its API keys
    :return: the team
    """
    if name == "small":
        return words.Team(name, keys, SMALL_RATE_PER_S, SMALL_BURST)
    return words.Team(name, keys)
