"""Runs a gateway on the Lakeshore platform.

Only this package uses the names in the platform's documentation. It
translates them to the types of :mod:`godwitloft.gateway`.
"""
