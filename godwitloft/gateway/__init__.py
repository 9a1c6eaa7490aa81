"""Sends callers' requests directly to upstreams, not through agents."""
