"""The daemon that callers and operators talk to."""
