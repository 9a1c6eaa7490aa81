"""A soak: real programs under random faults, held against the promises.

:mod:`plan` draws the faults from a seed, :mod:`deployment` starts the
programs and brings the faults about from outside, :mod:`callers` sends the
requests, :mod:`verdict` checks what callers and runners have seen. Our own
logs are never asked.
"""
