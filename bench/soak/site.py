"""Configuration of the soak test: bounds, teams and routes."""

import typing

from godwitloft.standins import lakeshore_words as words

HOST_NAME = "soak.example"
TIMEOUT_MS = 4_000
# Of routes whose streams are under way for seconds.
LONG_TIMEOUT_MS = 6_000
# Seconds between SIGTERM and SIGKILL.
LEAVE_S = 6
# Bounds that the programs are configured with and the verdict checks.
REVOKE_MS = 5_000
QUOTA_WINDOW_S = 8
QUOTA_OVERAGE = 0.1
QUOTA_SLACK_TOKENS = 500
RETRY_RATIO = 0.2
RETRY_EXTRA = 20
RETRY_WINDOW_S = 10
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_MS = 5_000
BOUNDS = words.Bounds(
    leave_s=LEAVE_S,
    revoke_ms=REVOKE_MS,
    allowance_window_s=QUOTA_WINDOW_S,
    allowance_overage=QUOTA_OVERAGE,
    allowance_slack=QUOTA_SLACK_TOKENS,
    retry_ratio=RETRY_RATIO,
    retry_extra=RETRY_EXTRA,
    retry_window_s=RETRY_WINDOW_S,
    exposure_share=EXPOSURE_SHARE,
    exposure_slack=EXPOSURE_SLACK,
    rollback_ms=ROLLBACK_MS,
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
    *(
        words.Route(
            name,
            "streaming",
            "model",
            resumable=True,
            max_attempts=attempts,
            timeout_ms=LONG_TIMEOUT_MS,
        )
        for name, attempts in (("single", 1), ("triple", 3))
    ),
)
RESUMABLE_ROUTES = tuple(route.name for route in ROUTES if route.resumable)
LONG_ROUTES = tuple(
    route.name for route in ROUTES if route.timeout_ms is not None
)


def timeout_ms(route: str) -> int:
    """Returns the timeout of a route.

    :param route: its name
    """
    return LONG_TIMEOUT_MS if route in LONG_ROUTES else TIMEOUT_MS


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
