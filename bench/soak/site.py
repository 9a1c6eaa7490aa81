"""What a soak's deployment is told: bounds, teams, routes and settings."""

import typing

HOST_NAME = "soak.example"
MS_PER_S = 1000
# Bounds that the programs are told and the verdict judges by.
GRACE_S = 6
REVOKE_MS = 5_000
QUOTA_WINDOW_S = 8
QUOTA_OVERAGE = 0.1
QUOTA_SLACK_TOKENS = 500
RETRY_RATIO = 0.2
RETRY_EXTRA = 20
RETRY_WINDOW_S = 10
TIMEOUT_MS = 4_000
# Team "small" has a limit that its callers exceed.
SMALL_RATE_PER_S = 200
SMALL_BURST = 200
PLAIN_TOKENS = 10

KEYS = {"key-large": "large", "key-small": "small", "key-guest": "guest"}
GUEST_KEY = "key-guest"
EXTRA_ROUTE = "extra"
ROUTES = (
    ("stream", "streaming", "model", True),
    ("once", "streaming", "model", False),
    ("lookup", "idempotent", "desk", False),
    ("post", "non_idempotent", "desk", False),
    (EXTRA_ROUTE, "idempotent", "desk", False),
)


def configuration(
    version: int, withdrawn: typing.Mapping[str, int]
) -> dict[str, typing.Any]:
    """Returns the operators' row.

    :param version: of the configuration
    :param withdrawn: keys and routes that are left out, if not 0
    :return: what JSON can hold, in the platform's words
    """
    routes = [
        {
            "name": f"r-{name}",
            "host": HOST_NAME,
            "prefix": f"/{name}/",
            "kind": kind,
            "timeout-ms": TIMEOUT_MS,
            "target-latency-ms": 400,
            "priority": number,
            "service": service,
            "max-attempts": 1 if kind == "non_idempotent" else 2,
            "public": False,
            "resumable": resumable,
        }
        for number, (name, kind, service, resumable) in enumerate(ROUTES)
        if not withdrawn.get(name)
    ]
    teams = [
        {
            "name": team,
            "api-keys": [] if withdrawn.get(key) else [key],
            "unit": "tokens",
            "plain-tokens": PLAIN_TOKENS,
            "rate-per-s": SMALL_RATE_PER_S if team == "small" else 10**6,
            "burst": SMALL_BURST if team == "small" else 10**6,
        }
        for key, team in KEYS.items()
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "model", "max-connections": 50, "engine": {"slots": 4}},
            {"name": "desk", "max-connections": 50},
        ],
        "limits": {},
        "tenants": teams,
    }


def boot(
    name: str, host: str, first_port: int, store: str, own: str, listen: str
) -> str:
    """Returns the settings file of a program.

    :param name: of the instance
    :param host: its IP number
    :param first_port: for use between instances
    :param store: address of the store
    :param own: lines before the tables
    :param listen: table of an entry's ports
    :return: TOML
    """
    return (
        f'node-name = "{name}"\nip = "{host}"\nzone = "a"\n'
        f"internal-port-range = [{first_port}, {first_port}]\n"
        f"heartbeat-ms = 400\n{own}{listen}"
        f"[bounds]\ngrace-s = {GRACE_S}\nstrict-revocation = true\n"
        f"revoke-ms = {REVOKE_MS}\nquota-window-s = {QUOTA_WINDOW_S}\n"
        f"quota-overage = {QUOTA_OVERAGE}\n"
        f"quota-slack = {QUOTA_SLACK_TOKENS}\n"
        f"retry-budget-ratio = {RETRY_RATIO}\n"
        f"retry-budget-extra = {RETRY_EXTRA}\n"
        f"budget-window-s = {RETRY_WINDOW_S}\n"
        f'[platform]\naddress = "{store}"\n'
    )
