"""The agent: the daemon that dispatches requests to one upstream."""
