"""Scheduling decisions, mostly pure functions over immutable data."""
