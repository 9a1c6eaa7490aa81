"""Soak test: runs the real programs under random faults.

:mod:`plan` draws the faults from a seed, :mod:`deployment` starts the
programs and injects the faults from outside, :mod:`callers` sends the
requests, :mod:`verdict` checks the promises against what callers and runners
observed. The logs of the programs under test are not used as evidence.
"""
