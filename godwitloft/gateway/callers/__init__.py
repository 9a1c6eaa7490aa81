"""Reads the requests of callers and writes their answers."""
