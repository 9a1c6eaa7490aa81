"""Runs a gateway on the Lakeshore platform.

Only this package knows the names of the platform's pages; it turns them
into the types of :mod:`godwitloft.gateway`.
"""
