"""Default values of all settings, in one place."""

# Addresses.
LOOPBACK_ADDRESS = "127.0.0.1"
ANY_FREE_PORT = 0

# Logs.
LOG_LEVEL = "info"
LOG_STYLE = "json"

# Bounds on input of callers and operators.
HEADER_BYTES = 16 * 1024
BODY_BYTES = 4 * 1024 * 1024
CONNECTIONS = 4096

# Bounds on what one entry holds for its callers.
QUEUE_REQUESTS = 10_000
QUEUE_BYTES = 256 * 1024 * 1024

# How long a leaving process waits for requests in flight.
DRAIN_LIMIT_MS = 600_000

# How long an operator's command waits for an answer.
OPERATOR_TIMEOUT_MS = 30_000
