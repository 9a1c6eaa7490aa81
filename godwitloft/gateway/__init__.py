"""An entry that sends requests to upstreams directly, not through agents."""
