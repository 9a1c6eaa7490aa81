"""Chooses which waiting request goes to which upstream, and when."""
