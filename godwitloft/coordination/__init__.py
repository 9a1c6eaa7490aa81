"""Embeddable parts by which daemons coordinate with one another."""
