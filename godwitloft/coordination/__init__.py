"""Embeddable parts for agreement between daemons."""
