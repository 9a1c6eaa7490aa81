"""Finds out which requests, or parts of prompts, crash upstreams."""
