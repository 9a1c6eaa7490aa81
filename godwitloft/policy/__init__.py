"""Scheduling decisions as pure functions over frozen data."""
