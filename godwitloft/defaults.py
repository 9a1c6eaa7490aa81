"""Default values of all settings, in one place."""

# Addresses.
LOOPBACK_ADDRESS = "127.0.0.1"
ANY_FREE_PORT = 0

# Logs.
LOG_LEVEL = "info"
LOG_STYLE = "json"

# Limits on input of callers and operators.
HEADER_BYTES = 16 * 1024
BODY_BYTES = 4 * 1024 * 1024
CONNECTIONS = 4096

# Limits on the requests that wait in one entry.
QUEUE_REQUESTS = 10_000
QUEUE_BYTES = 256 * 1024 * 1024

# How long a draining process waits for requests in flight.
DRAIN_LIMIT_MS = 600_000

# How long an operator's command waits for an answer.
OPERATOR_TIMEOUT_MS = 30_000
