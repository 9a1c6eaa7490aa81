"""Experiments on real processes."""
